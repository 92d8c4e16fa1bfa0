package pool

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// granterSelector selects the granter of this daemon: the daemon that it asks for
// tokens and to which it leases its share if it is an owner.
type granterSelector struct {
	// target is the name of the current granter, or "". It was selected at targetSince.
	target      string
	targetSince time.Time
	// targetMajorityAt is when this daemon sent the last pledge whose answer confirmed
	// that the target has a majority, or zero.
	targetMajorityAt time.Time
	// reportedGranter is another daemon that has a majority according to the answer to
	// a pledge sent at reportedAt.
	reportedGranter string
	reportedAt      time.Time
	// nextQueryAt is when the next candidate is asked which daemon has a majority.
	nextQueryAt time.Time
	queryCount  int
	// stamp is the latest stamp of the target, set by its run stampIncarnation. It is 0
	// until the target has answered.
	stamp            uint64
	stampIncarnation uint64
	stampReceivedAt  time.Time
	// lessee is the daemon that may use the share until leaseEnd. After a start it is
	// unknown, because the former run may have leased the share to any daemon.
	lessee   Daemon
	leaseEnd time.Time
	// previousLeaseEnd is the end of the lease before the one to lessee. If lessee
	// releases the share unused, the share is free from then. It is set if leased is
	// true.
	previousLeaseEnd time.Time
	leased           bool
	// majorityContactAt is when this daemon sent the last pledge that was answered by a
	// granter with a majority, or zero.
	majorityContactAt time.Time
	nextPledgeAt      time.Time
	// awaitingAnswer means that the last pledge to the target has not been answered.
	awaitingAnswer      bool
	consecutiveFailures int
	// avoidances holds the daemons that did not answer, by name.
	avoidances map[string]avoidance
	// targetOutdated means that the target knew the owners of a lower epoch.
	targetOutdated bool
	// probeTarget is a preferred granter that is probed before it becomes the target,
	// or "". It has answered if probeAnswered is true.
	probeTarget   string
	probeAnswered bool
	nextProbeAt   time.Time
	// releaseFrom is the former granter that is to be asked to end its lease, or "".
	releaseFrom string
}

// avoidance is the period in which a daemon is not selected as the granter.
type avoidance struct {
	until time.Time
	// duration doubles with each consecutive failure.
	duration time.Duration
}

func newGranterSelector(now time.Time) *granterSelector {
	return &granterSelector{leaseEnd: now.Add(tokens.AddClockMargin(LeaseDuration)), nextPledgeAt: now, avoidances: map[string]avoidance{}}
}

// duePledge is a pledge to send. The caller adds the fields that are the same in
// all pledges.
type duePledge struct {
	to     string
	pledge *peerpb.Pledge
	// includeOwners means that the pledge must contain the owners, because the receiver
	// knew those of a lower epoch.
	includeOwners bool
}

func (s *granterSelector) isAvoided(name string, now time.Time) bool {
	return now.Before(s.avoidances[name].until)
}

// targetHasMajority reports whether the target has confirmed within LeaseDuration
// that it has a majority.
func (s *granterSelector) targetHasMajority(now time.Time) bool {
	return !s.targetMajorityAt.IsZero() && now.Sub(s.targetMajorityAt) < LeaseDuration
}

// recentlyReportedGranter returns the name of the daemon with a majority that another
// daemon has reported within LeaseDuration, or "".
func (s *granterSelector) recentlyReportedGranter(now time.Time) string {
	if now.Sub(s.reportedAt) >= LeaseDuration {
		return ""
	}

	return s.reportedGranter
}

// duePledges returns the pledges to send at now. Preferred is the daemon that should
// grant, and candidates lists all daemons that may. IsOwner means that this daemon has
// a share, and leaving means that this daemon no longer leases its share.
func (s *granterSelector) duePledges(now time.Time, preferred string, candidates []string, isOwner, leaving bool) []duePledge {
	var out []duePledge
	for _, name := range []string{s.switchOrProbe(now, preferred), s.candidateToQuery(now, candidates)} {
		if name != "" {
			out = append(out, duePledge{to: name, pledge: &peerpb.Pledge{}})
		}
	}
	if s.releaseFrom != "" {
		out = append(out, duePledge{to: s.releaseFrom, pledge: &peerpb.Pledge{Release: true}})
		s.releaseFrom = ""
	}
	if s.target == "" || s.awaitingAnswer || now.Before(s.nextPledgeAt) {
		return out
	}
	pledge := &peerpb.Pledge{}
	switch {
	case !isOwner || !s.canLease(now):
	case leaving:
		pledge.Waived = true
	default:
		s.addLease(now, pledge)
	}
	s.awaitingAnswer = true

	return append(out, duePledge{to: s.target, pledge: pledge, includeOwners: s.targetOutdated})
}

// switchOrProbe switches to the preferred daemon once it has answered a probe, or at
// once if there is no usable target. It returns the preferred daemon if a probe must
// be sent to it now, or "".
func (s *granterSelector) switchOrProbe(now time.Time, preferred string) string {
	switch {
	case preferred == s.target:
		s.probeTarget = ""
	case s.target == "" || preferred == "" || s.isAvoided(s.target, now) || s.probeTarget == preferred && s.probeAnswered:
		s.switchTo(preferred, now)
	case s.probeTarget != preferred || !now.Before(s.nextProbeAt):
		s.probeTarget, s.probeAnswered, s.nextProbeAt = preferred, false, now.Add(probeInterval)

		return preferred
	}

	return ""
}

// candidateToQuery returns the candidate to ask now which daemon has a majority, or "".
// The candidates are asked in turn while the target has no majority: daemons that have
// just started may prefer a different granter than the daemons that already have one.
func (s *granterSelector) candidateToQuery(now time.Time, candidates []string) string {
	if s.target == "" || s.targetHasMajority(now) || now.Before(s.nextQueryAt) || len(candidates) == 0 {
		return ""
	}
	s.nextQueryAt = now.Add(renewInterval)
	s.queryCount++
	if candidate := candidates[s.queryCount%len(candidates)]; candidate != s.target {
		return candidate
	}

	return ""
}

// switchTo changes the target. If the former target still has a lease, it is asked to
// release it, so that this daemon need not wait for the expiry.
func (s *granterSelector) switchTo(name string, now time.Time) {
	if s.target != "" && s.lessee.Name == s.target && now.Before(s.leaseEnd) {
		s.releaseFrom = s.target
	}
	s.target, s.stamp, s.consecutiveFailures, s.targetOutdated, s.awaitingAnswer, s.nextPledgeAt = name, 0, 0, false, false, now
	s.targetSince, s.targetMajorityAt, s.nextQueryAt = now, time.Time{}, now.Add(renewInterval)
	s.probeTarget, s.probeAnswered = "", false
}

// canLease reports whether the share can be leased to the target at now: the target
// has sent a stamp, and no other daemon may use the share.
func (s *granterSelector) canLease(now time.Time) bool {
	lessee := Daemon{s.target, s.stampIncarnation}

	return s.stamp > 0 && (s.lessee == lessee || !now.Before(s.leaseEnd))
}

// addLease makes a pledge lease the share to the target.
func (s *granterSelector) addLease(now time.Time, pledge *peerpb.Pledge) {
	pledge.Echo, pledge.EchoIncarnation = s.stamp, s.stampIncarnation
	if !s.majorityContactAt.IsZero() {
		pledge.ValidNanoseconds = int64(max(0, MajorityContactTTL-now.Sub(s.majorityContactAt)))
	}
	lessee := Daemon{s.target, s.stampIncarnation}
	if !s.leased || s.lessee != lessee {
		s.leased, s.previousLeaseEnd = true, s.leaseEnd
	}
	s.lessee = lessee
	if end := s.stampReceivedAt.Add(tokens.AddClockMargin(LeaseDuration)); end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
}

// handleAnswer processes the answer to a pledge that was sent at sent. The result is nil
// if there was no answer. Epoch is the epoch of the owners known to this daemon.
func (s *granterSelector) handleAnswer(
	now, sent time.Time, from string, pledge *peerpb.Pledge, result *peerpb.PledgeResult, epoch uint64,
) {
	if pledge.GetRelease() {
		s.handleRelease(now, sent, from, result)

		return
	}
	s.recordGranter(sent, from, result)
	if from != s.target {
		s.probeAnswered = s.probeAnswered || from == s.probeTarget && result != nil

		return
	}
	s.awaitingAnswer = false
	if result == nil {
		s.recordFailure(now, from)

		return
	}
	firstStamp := s.stamp == 0 || s.stampIncarnation != result.GetIncarnation()
	if s.lessee.Name == from && s.lessee.Incarnation != result.GetIncarnation() {
		// The run that had the lease has ended, so only the tokens that it granted
		// can still be spent, until they expire.
		s.shortenLease(now)
	}
	s.consecutiveFailures = 0
	delete(s.avoidances, from)
	s.targetOutdated = result.GetEpoch() < epoch
	s.stamp, s.stampIncarnation, s.stampReceivedAt = result.GetStamp(), result.GetIncarnation(), now
	if result.GetMajority() && sent.After(s.majorityContactAt) {
		s.majorityContactAt = sent
	}
	s.nextPledgeAt = sent.Add(renewInterval)
	if firstStamp || s.targetOutdated {
		s.nextPledgeAt = now
	}
	if s.lessee.Name != from {
		s.advanceNextPledge(now)
	}
}

// recordGranter records which daemon has a majority according to the answer to a
// pledge that was sent at sent.
func (s *granterSelector) recordGranter(sent time.Time, from string, result *peerpb.PledgeResult) {
	granter := result.GetGranter()
	if result.GetGrants() {
		granter = from
	}

	switch {
	case granter == "":
	case granter == s.target:
		if from == granter && sent.After(s.targetMajorityAt) {
			s.targetMajorityAt = sent
		}
	case sent.After(s.reportedAt):
		s.reportedGranter, s.reportedAt = granter, sent
	}
}

// advanceNextPledge schedules the next pledge for the end of the present lease, if it
// is due later, so that the share is leased to the target as soon as possible.
func (s *granterSelector) advanceNextPledge(now time.Time) {
	if s.leaseEnd.After(now) && s.leaseEnd.Before(s.nextPledgeAt) {
		s.nextPledgeAt = s.leaseEnd
	}
}

// handleRelease records that a former target has released its lease. Tokens that it
// granted from the share can be spent until they expire, unless the result says that
// there are none.
func (s *granterSelector) handleRelease(now, sent time.Time, from string, result *peerpb.PledgeResult) {
	if result == nil || s.lessee.Name != from || s.target == from || sent.Before(s.targetSince) {
		return
	}
	s.leased = false
	s.shortenLease(now)
	if result.GetUnused() && s.lessee.Incarnation == result.GetIncarnation() && s.previousLeaseEnd.Before(s.leaseEnd) {
		s.leaseEnd = s.previousLeaseEnd
	}
	if s.leaseEnd.Before(s.nextPledgeAt) {
		s.nextPledgeAt = s.leaseEnd
	}
}

// shortenLease ends the lease when tokens granted before now have expired.
func (s *granterSelector) shortenLease(now time.Time) {
	if end := now.Add(tokens.AddClockMargin(tokens.BatchTTL)); end.Before(s.leaseEnd) {
		s.leaseEnd = end
	}
}

// recordFailure records that a daemon did not answer a message. The target is avoided
// after maxConsecutiveFailures consecutive failures.
func (s *granterSelector) recordFailure(now time.Time, name string) {
	if name != s.target {
		return
	}
	s.awaitingAnswer = false
	s.consecutiveFailures++
	s.nextPledgeAt = now.Add(pledgeRetryDelay)
	if s.consecutiveFailures >= maxConsecutiveFailures {
		duration := min(max(2*s.avoidances[name].duration, minAvoidance), maxAvoidance)
		s.avoidances[name] = avoidance{now.Add(duration), duration}
		s.nextPledgeAt = now
	}
	for other, a := range s.avoidances {
		if now.Sub(a.until) > maxAvoidance {
			delete(s.avoidances, other)
		}
	}
}
