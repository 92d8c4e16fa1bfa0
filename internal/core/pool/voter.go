package pool

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// voter decides to whom this daemon lends its share, and whom it asks for tokens.
type voter struct {
	// target is the granter at present, and turnedAt when it became that.
	target   string
	turnedAt time.Time
	// settledAt is when the last pledge was sent that the target answered as the
	// daemon with a majority, or zero.
	settledAt time.Time
	// granter is the daemon with a majority by what another daemon said at granterAt.
	granter   string
	granterAt time.Time
	// askAt is when another daemon is asked next who has a majority, and asked
	// counts those that were.
	askAt time.Time
	asked int
	// stamp is the target's last, of its incarnation, received at stampAt.
	stamp            uint64
	stampIncarnation uint64
	stampAt          time.Time
	// boundTo may use the share until boundUntil. A daemon that has just started
	// does not know whether it lent its share before.
	boundTo    Daemon
	boundUntil time.Time
	// freeAt is from when the share was free before it was lent, if lent is set.
	freeAt time.Time
	lent   bool
	// majorityAt is when the last pledge was sent that a granter with a majority
	// answered, or zero.
	majorityAt time.Time
	next       time.Time
	// outstanding is the target of a pledge that has not been answered.
	outstanding bool
	failures    int
	// avoid holds the granters that did not answer, and until when.
	avoid map[string]avoidance
	// older says that the target knew older owners.
	older bool
	// probe is a preferred granter that is asked whether it answers, before the
	// share is moved there. It has answered if probed is set.
	probe   string
	probed  bool
	probeAt time.Time
	// releasing is the granter that is asked to give the share back.
	releasing string
}

// avoidance is a time in which a granter is passed over.
type avoidance struct {
	until time.Time
	// length doubles with each failure in a row.
	length time.Duration
}

func newVoter(now time.Time) *voter {
	return &voter{boundUntil: now.Add(tokens.AddClockMargin(LeaseDuration)), next: now, avoid: map[string]avoidance{}}
}

// due is a pledge to send.
type due struct {
	to     string
	pledge *peerpb.Pledge
	// older asks for the owners to be added.
	older bool
}

func (v *voter) avoided(name string, now time.Time) bool {
	return now.Before(v.avoid[name].until)
}

// settled reports whether the target had a majority lately.
func (v *voter) settled(now time.Time) bool {
	return !v.settledAt.IsZero() && now.Sub(v.settledAt) < LeaseDuration
}

// reported returns the daemon with a majority by what another daemon said lately, or "".
func (v *voter) reported(now time.Time) string {
	if now.Sub(v.granterAt) >= LeaseDuration {
		return ""
	}

	return v.granter
}

// due returns the pledges to send now. Preferred is the daemon that should grant,
// ranked are all that may, owns says that this daemon has a share, and leaves that it
// lends it no more.
func (v *voter) due(now time.Time, preferred string, ranked []string, owns, leaves bool) []due {
	var out []due
	for _, name := range []string{v.turn(now, preferred), v.ask(now, ranked)} {
		if name != "" {
			out = append(out, due{to: name, pledge: &peerpb.Pledge{}})
		}
	}
	if v.releasing != "" {
		out = append(out, due{to: v.releasing, pledge: &peerpb.Pledge{Release: true}})
		v.releasing = ""
	}
	if v.target == "" || v.outstanding || now.Before(v.next) {
		return out
	}
	pledge := &peerpb.Pledge{}
	switch {
	case !owns || !v.mayLend(now):
	case leaves:
		pledge.Waived = true
	default:
		v.lend(now, pledge)
	}
	v.outstanding = true

	return append(out, due{to: v.target, pledge: pledge, older: v.older})
}

// turn changes the target to the preferred daemon once that has answered. It
// returns that daemon if it is to be asked whether it does.
func (v *voter) turn(now time.Time, preferred string) string {
	switch {
	case preferred == v.target:
		v.probe = ""
	case v.target == "" || preferred == "" || v.avoided(v.target, now) || v.probe == preferred && v.probed:
		v.turnTo(preferred, now)
	case v.probe != preferred || !now.Before(v.probeAt):
		v.probe, v.probed, v.probeAt = preferred, false, now.Add(probeInterval)

		return preferred
	}

	return ""
}

// ask returns another daemon to ask who has a majority, while the target has none.
// Daemons that have just started may prefer another one than those that know it.
func (v *voter) ask(now time.Time, ranked []string) string {
	if v.target == "" || v.settled(now) || now.Before(v.askAt) || len(ranked) == 0 {
		return ""
	}
	v.askAt = now.Add(renewInterval)
	v.asked++
	if other := ranked[v.asked%len(ranked)]; other != v.target {
		return other
	}

	return ""
}

// turnTo changes the granter. The former one is asked to give the share back, so
// that it need not run out.
func (v *voter) turnTo(name string, now time.Time) {
	if v.target != "" && v.boundTo.Name == v.target && now.Before(v.boundUntil) {
		v.releasing = v.target
	}
	v.target, v.stamp, v.failures, v.older, v.outstanding, v.next = name, 0, 0, false, false, now
	v.turnedAt, v.settledAt, v.askAt = now, time.Time{}, now.Add(renewInterval)
	v.probe, v.probed = "", false
}

// mayLend reports whether the share can be lent to the target at now: it has
// given a stamp, and nobody else may use the share.
func (v *voter) mayLend(now time.Time) bool {
	own := Daemon{v.target, v.stampIncarnation}

	return v.stamp > 0 && (v.boundTo == own || !now.Before(v.boundUntil))
}

func (v *voter) lend(now time.Time, pledge *peerpb.Pledge) {
	pledge.Echo, pledge.EchoIncarnation = v.stamp, v.stampIncarnation
	if !v.majorityAt.IsZero() {
		pledge.ValidNanoseconds = int64(max(0, MajorityContactTTL-now.Sub(v.majorityAt)))
	}
	own := Daemon{v.target, v.stampIncarnation}
	if !v.lent || v.boundTo != own {
		v.lent, v.freeAt = true, v.boundUntil
	}
	v.boundTo = own
	if until := v.stampAt.Add(tokens.AddClockMargin(LeaseDuration)); until.After(v.boundUntil) {
		v.boundUntil = until
	}
}

// answer takes the result of a pledge that was sent at sent, or nil.
func (v *voter) answer(
	now, sent time.Time, from string, pledge *peerpb.Pledge, result *peerpb.PledgeResult, epoch uint64,
) {
	if pledge.GetRelease() {
		v.released(now, sent, from, result)

		return
	}
	v.hear(sent, from, result)
	if from != v.target {
		v.probed = v.probed || from == v.probe && result != nil

		return
	}
	v.outstanding = false
	if result == nil {
		v.failed(now, from)

		return
	}
	first := v.stamp == 0 || v.stampIncarnation != result.GetIncarnation()
	if v.boundTo.Name == from && v.boundTo.Incarnation != result.GetIncarnation() {
		// The run that was lent the share has ended, and what it granted expires.
		v.shorten(now)
	}
	v.failures = 0
	delete(v.avoid, from)
	v.older = result.GetEpoch() < epoch
	v.stamp, v.stampIncarnation, v.stampAt = result.GetStamp(), result.GetIncarnation(), now
	if result.GetMajority() && sent.After(v.majorityAt) {
		v.majorityAt = sent
	}
	v.next = sent.Add(renewInterval)
	if first || v.older {
		v.next = now
	}
	if v.boundTo.Name != from {
		v.lendWhenFree(now)
	}
}

// hear notes who has a majority by the answer to a pledge that was sent at sent.
func (v *voter) hear(sent time.Time, from string, result *peerpb.PledgeResult) {
	granter := result.GetGranter()
	if result.GetGrants() {
		granter = from
	}

	switch {
	case granter == "":
	case granter == v.target:
		if from == granter && sent.After(v.settledAt) {
			v.settledAt = sent
		}
	case sent.After(v.granterAt):
		v.granter, v.granterAt = granter, sent
	}
}

// lendWhenFree brings the next pledge forward to when the share can be lent.
func (v *voter) lendWhenFree(now time.Time) {
	if v.boundUntil.After(now) && v.boundUntil.Before(v.next) {
		v.next = v.boundUntil
	}
}

// released notes that a granter has given the share back. Tokens that it granted
// before can be spent a little longer, if there are any.
func (v *voter) released(now, sent time.Time, from string, result *peerpb.PledgeResult) {
	if result == nil || v.boundTo.Name != from || v.target == from || sent.Before(v.turnedAt) {
		return
	}
	v.lent = false
	v.shorten(now)
	if result.GetUnused() && v.boundTo.Incarnation == result.GetIncarnation() && v.freeAt.Before(v.boundUntil) {
		v.boundUntil = v.freeAt
	}
	if v.boundUntil.Before(v.next) {
		v.next = v.boundUntil
	}
}

func (v *voter) shorten(now time.Time) {
	if until := now.Add(tokens.AddClockMargin(tokens.BatchTTL)); until.Before(v.boundUntil) {
		v.boundUntil = until
	}
}

// failed notes that a daemon did not answer.
func (v *voter) failed(now time.Time, name string) {
	if name != v.target {
		return
	}
	v.outstanding = false
	v.failures++
	v.next = now.Add(pledgeRetry)
	if v.failures >= maxFailures {
		length := min(max(2*v.avoid[name].length, minAvoid), maxAvoid)
		v.avoid[name] = avoidance{now.Add(length), length}
		v.next = now
	}
	for other, a := range v.avoid {
		if now.Sub(a.until) > maxAvoid {
			delete(v.avoid, other)
		}
	}
}
