package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// maxRefusals bounds the upstreams that are asked for a free slot, one after
	// another, before the request queues at one of them. Each refusal costs a round
	// trip and the transfer of the request.
	maxRefusals = 5
	// lateAnswerValue is the value of an answer after the target latency, relative to 1
	// for an answer within it.
	lateAnswerValue = 0.3
	// maxWaitPenalty is the part of the value of an answer that is lost to a wait that
	// uses all remaining time; shorter waits lose proportionally less. A wait lowers the
	// value because it is only an estimate.
	maxWaitPenalty = 0.4
	// defaultServiceTime is the assumed service time of an upstream that has not answered
	// yet.
	defaultServiceTime = 100 * time.Millisecond
	// minServiceFraction is the service time of a short request as a fraction of the
	// usual one. With less time an answer before the deadline is not expected.
	minServiceFraction = 0.5
)

// Placement is the decision where to send the next attempt, and how.
type Placement struct {
	// Index is the index of the chosen candidate in the list given to Tracker.Place.
	Index int
	// NoWait asks the egress to refuse the attempt if it cannot start at once.
	NoWait bool
	// Forced asks the egress to run the attempt although the upstream is suspect.
	Forced bool
}

// Place returns where to send the next attempt of a request. It reports false if no
// candidate is expected to answer in time; wait is then the shortest expected wait for
// a slot, or 0 if it is not known.
//
// Upstreams are asked for a free slot one after another, those in the ingress's own
// availability zone first (late binding, as in Sparrow, Ousterhout et al. 2013). The
// ingress can't rely on the load that it has recorded for an upstream: most requests of an
// upstream come from other ingresses, so the records are old. If no slot is free, the
// request queues at the upstream with the highest expected value of the answer, or runs at
// a suspect upstream.
func (t *Tracker) Place(
	candidates []Candidate, request Request, now time.Time, random *rand.Rand,
) (placement Placement, wait time.Duration, ok bool) {
	if request.AffinityKey != "" || request.Hedge {
		index, ok := t.Choose(candidates, request, now, random)

		return Placement{Index: index, NoWait: request.Hedge}, 0, ok
	}

	belowMinTrusted := t.trustedSlots(candidates, request, now) < request.MinTrustedSlots
	index, found := t.pickUnasked(candidates, request, now, random)

	switch {
	case !found:
		return t.pickRefused(candidates, request, belowMinTrusted)
	case t.stats(candidates[index].Upstream).pathAvoided(now):
		// The egress of this candidate did not respond recently. Queueing at an upstream
		// that refused takes less time than another timeout.
		queued, wait, ok := t.pickRefused(candidates, request, belowMinTrusted)
		if ok && !refusedAsSuspect(request, candidates[queued.Index].Upstream) {
			return queued, wait, true
		}
	}

	return Placement{Index: index, NoWait: true, Forced: belowMinTrusted}, 0, true
}

// trustedSlots returns the number of slots of the upstreams that are not known to be
// suspect.
func (t *Tracker) trustedSlots(candidates []Candidate, request Request, now time.Time) int {
	slots := 0

	for i := range candidates {
		c := &candidates[i]
		if eligible(c) && !t.stats(c.Upstream).suspect(now) && !refusedAsSuspect(request, c.Upstream) {
			slots += c.Slots
		}
	}

	return slots
}

// suspect reports whether the last reported load marked the upstream as suspect. A
// report older than suspicionLifetime is ignored.
func (s *upstreamStats) suspect(now time.Time) bool {
	return now.Sub(s.loadAt) <= suspicionLifetime && s.load.Suspect
}

// limited reports whether the limit that the upstream names probably allows no request yet.
// The last reported load then had a wait although slots were free.
func (s *upstreamStats) limited(now time.Time) bool {
	return s.load.InFlight+s.load.Queued < s.load.Slots && now.Before(s.loadAt.Add(s.load.ExpectedWait))
}

// pickUnasked returns the index of the best candidate that has not refused the request.
// It reports false if there is none or after maxRefusals refusals.
func (t *Tracker) pickUnasked(
	candidates []Candidate, request Request, now time.Time, random *rand.Rand,
) (int, bool) {
	if len(request.Refusals) >= maxRefusals {
		return 0, false
	}

	var buffer [inlineCandidates]int

	best, tied := tier{classCount, false, false}, buffer[:0]

	for i := range candidates {
		c := &candidates[i]
		if !eligible(c) || slices.Contains(request.Tried, c.Upstream) || hasRefused(request, c.Upstream) {
			continue
		}

		switch current := t.tierOf(c, request, now, random); {
		case current.betterThan(best):
			best, tied = current, append(tied[:0], i)
		case current == best:
			tied = append(tied, i)
		}
	}

	if len(tied) == 0 {
		return t.pickTried(candidates, request, now, random)
	}

	return t.pickOfTwo(candidates, tied, now, random), true
}

// pickTried returns the index of a candidate that had an earlier attempt of the
// request. It does so only if no upstream refused the request: sending it to the same
// upstream again is better than refusing it.
func (t *Tracker) pickTried(
	candidates []Candidate, request Request, now time.Time, random *rand.Rand,
) (int, bool) {
	if len(request.Refusals) > 0 || len(request.Tried) == 0 {
		return 0, false
	}

	var members []int

	for i := range candidates {
		if eligible(&candidates[i]) {
			members = append(members, i)
		}
	}

	if len(members) == 0 {
		return 0, false
	}

	return t.pickOfTwo(candidates, members, now, random), true
}

// eligible reports whether the upstream accepts new requests.
func eligible(c *Candidate) bool {
	return c.State != fleet.Draining
}

// hasRefused reports whether the upstream's egress has refused the request.
func hasRefused(request Request, upstream string) bool {
	return slices.ContainsFunc(request.Refusals, func(r Refusal) bool { return r.Upstream == upstream })
}

// refusedAsSuspect reports whether the upstream's egress has refused the request because
// the upstream is probably failing.
func refusedAsSuspect(request Request, upstream string) bool {
	return slices.ContainsFunc(request.Refusals, func(r Refusal) bool { return r.Upstream == upstream && r.Suspect })
}

// tier ranks a candidate. Load is compared only among candidates of the same tier.
type tier struct {
	// class is one of classNormal to classTried.
	class int
	// likelyRefuses reports that the egress will probably refuse the attempt, because
	// according to the last reported load the upstream has no free slot or is suspect.
	likelyRefuses bool
	// otherZone reports that the candidate is outside the ingress's availability zone.
	otherZone bool
}

// betterThan reports whether candidates of tier a are asked before those of tier b.
func (a tier) betterThan(b tier) bool {
	switch {
	case a.class != b.class:
		return a.class < b.class
	case a.likelyRefuses != b.likelyRefuses:
		return b.likelyRefuses
	}

	return b.otherZone && !a.otherZone
}

// tierOf returns the tier of a candidate for this attempt.
func (t *Tracker) tierOf(c *Candidate, request Request, now time.Time, random *rand.Rand) tier {
	s := t.stats(c.Upstream)
	likelyRefuses := s.queueDepth(now) >= c.Slots || s.limited(now) || s.suspect(now)

	return tier{class: t.classify(c, request, now, random), likelyRefuses: likelyRefuses, otherZone: !c.SameZone}
}

// pickOfTwo draws two of the members at random and returns the one with the lower
// score (power of two choices, Mitzenmacher 1996).
func (t *Tracker) pickOfTwo(candidates []Candidate, members []int, now time.Time, random *rand.Rand) int {
	if len(members) == 1 {
		return members[0]
	}

	a := random.IntN(len(members))

	b := random.IntN(len(members) - 1)
	if b >= a {
		b++
	}

	if t.score(&candidates[members[b]], now) < t.score(&candidates[members[a]], now) {
		a = b
	}

	return members[a]
}

// pickRefused chooses among the upstreams that refused the request because they had no free
// slot or were suspect: the one with the highest expected value of the answer, and the
// earliest expected answer if values are equal. If forced is set, suspicions do not lower
// the values. pickRefused also returns the shortest expected wait among these upstreams. It
// reports false if no answer is expected in time.
func (t *Tracker) pickRefused(candidates []Candidate, request Request, forced bool) (Placement, time.Duration, bool) {
	var (
		chosen         Placement
		found          bool
		bestValue      float64
		shortestWait   time.Duration
		earliestAnswer time.Duration
	)

	for i := range candidates {
		c := &candidates[i]
		index := slices.IndexFunc(request.Refusals, func(r Refusal) bool { return r.Upstream == c.Upstream })

		if index < 0 || !eligible(c) || !request.Refusals[index].WouldAccept || slices.Contains(request.Tried, c.Upstream) {
			continue
		}

		refusal := request.Refusals[index]
		if shortestWait == 0 || refusal.Load.ExpectedWait < shortestWait {
			shortestWait = refusal.Load.ExpectedWait
		}

		if forced {
			refusal.Load.Suspicion = 0
		}

		value, untilAnswer := expectedValue(refusal, request)
		if value > bestValue || value == bestValue && found && untilAnswer < earliestAnswer {
			chosen = Placement{Index: i, Forced: refusal.Suspect || forced}
			found, bestValue, earliestAnswer = value > 0, value, untilAnswer
		}
	}

	return chosen, shortestWait, found
}

// expectedValue returns the expected value, 0 to 1, of an answer from an upstream that
// refused the request, and the expected time from now until that answer.
func expectedValue(refusal Refusal, request Request) (float64, time.Duration) {
	serviceTime := cmp.Or(request.ServiceTime, refusal.Load.ServiceTime, defaultServiceTime)

	untilAnswer := refusal.Load.ExpectedWait + serviceTime
	successProbability := 1 - refusal.Load.Suspicion

	switch {
	case untilAnswer <= request.UntilTarget:
		return successProbability * (1 - maxWaitPenalty*float64(refusal.Load.ExpectedWait)/float64(request.UntilTarget)), untilAnswer
	case refusal.Load.ExpectedWait+time.Duration(minServiceFraction*float64(serviceTime)) <= request.UntilDeadline:
		return successProbability * lateAnswerValue * (1 - maxWaitPenalty*float64(refusal.Load.ExpectedWait)/float64(request.UntilDeadline)), untilAnswer
	}

	return 0, untilAnswer
}
