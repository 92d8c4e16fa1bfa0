package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// maxVisits bounds the upstreams that are asked for a free slot, one after
	// another, before the request waits at one of them. A visit takes a round
	// trip and the bytes of the request.
	maxVisits = 5
	// lateWorth is what a late answer is worth beside one within the target
	// latency.
	lateWorth = 0.3
	// waitCost is the part of the worth of an answer that a wait of all the time left
	// takes, because waits are estimates.
	waitCost = 0.4
	// unknownService stands in for the service time of an upstream that has not
	// answered yet.
	unknownService = 100 * time.Millisecond
	// shortAnswer is the part of the usual service time that a short request takes.
	shortAnswer = 0.5
)

// Placement is where to send the next attempt, and how.
type Placement struct {
	// Index is that of the candidate.
	Index int
	// NoWait asks the egress to refuse the attempt if it cannot start at once.
	NoWait bool
	// Forced asks the egress to run the attempt although the upstream is suspect.
	Forced bool
}

// Place returns where to send the next attempt of a request. It reports false if
// no candidate would bring an answer in time; wait is then when a slot may be
// free, or 0 if that is not known.
//
// Upstreams are asked for a free slot one after another, the own availability
// zone first (late binding, as in Sparrow, Ousterhout et al. 2013): what an
// ingress knows of their load is old, because it sends each of them a small part
// of its requests. If none is free, the request waits where the worth of its
// answer is expected to be highest, or runs at a suspect upstream.
func (t *Tracker) Place(
	candidates []Candidate, request Request, now time.Time, random *rand.Rand,
) (placement Placement, wait time.Duration, ok bool) {
	if request.AffinityKey != "" || request.Hedge {
		index, ok := t.Choose(candidates, request, now, random)

		return Placement{Index: index, NoWait: request.Hedge}, 0, ok
	}

	scarce := t.trusted(candidates, request, now) < request.MinTrustedSlots
	index, found := t.unvisited(candidates, request, now, random)

	switch {
	case !found:
		return t.settle(candidates, request, scarce)
	case t.of(candidates[index].Upstream).avoided(now):
		// Waiting for a slot takes less time than a path that does not answer.
		queued, wait, ok := t.settle(candidates, request, scarce)
		if ok && !visitedSuspect(request, candidates[queued.Index].Upstream) {
			return queued, wait, true
		}
	}

	return Placement{Index: index, NoWait: true, Forced: scarce}, 0, true
}

// trusted returns the slots of the upstreams that are not known to be suspect.
func (t *Tracker) trusted(candidates []Candidate, request Request, now time.Time) int {
	slots := 0

	for i := range candidates {
		c := &candidates[i]
		if eligible(c) && !t.of(c.Upstream).suspect(now) && !visitedSuspect(request, c.Upstream) {
			slots += c.Slots
		}
	}

	return slots
}

// suspect reports whether the upstream was suspect when it was last heard of.
func (s *stats) suspect(now time.Time) bool {
	return now.Sub(s.loadAt) <= suspicionLifetime && s.load.Suspect
}

// unvisited returns the best candidate that has not been asked yet.
func (t *Tracker) unvisited(
	candidates []Candidate, request Request, now time.Time, random *rand.Rand,
) (int, bool) {
	if len(request.Refusals) >= maxVisits {
		return 0, false
	}

	var space [usualCandidates]int

	best, members := tier{classes, false, false}, space[:0]

	for i := range candidates {
		c := &candidates[i]
		if !eligible(c) || slices.Contains(request.Tried, c.Upstream) || visited(request, c.Upstream) {
			continue
		}

		switch own := t.tier(c, request, now, random); {
		case own.before(best):
			best, members = own, append(members[:0], i)
		case own == best:
			members = append(members, i)
		}
	}

	if len(members) == 0 {
		return t.triedAgain(candidates, request, now, random)
	}

	return t.better(candidates, members, now, random), true
}

// triedAgain returns a candidate that failed before, if there is no other. The
// repeat is better than a refusal.
func (t *Tracker) triedAgain(
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

	return t.better(candidates, members, now, random), true
}

func eligible(c *Candidate) bool {
	return c.State != fleet.Draining
}

func visited(request Request, upstream string) bool {
	return slices.ContainsFunc(request.Refusals, func(v Refusal) bool { return v.Upstream == upstream })
}

func visitedSuspect(request Request, upstream string) bool {
	return slices.ContainsFunc(request.Refusals, func(v Refusal) bool { return v.Upstream == upstream && v.Suspect })
}

// tier orders candidates before their load is compared.
type tier struct {
	class int
	// doubtful candidates have no free slot, or are suspect, by what was last
	// heard of them.
	doubtful bool
	far      bool
}

func (a tier) before(b tier) bool {
	switch {
	case a.class != b.class:
		return a.class < b.class
	case a.doubtful != b.doubtful:
		return b.doubtful
	}

	return b.far && !a.far
}

func (t *Tracker) tier(c *Candidate, request Request, now time.Time, random *rand.Rand) tier {
	s := t.of(c.Upstream)
	doubtful := s.depth(now) >= c.Slots || s.suspect(now)

	return tier{class: t.class(c, request, now, random), doubtful: doubtful, far: !c.SameZone}
}

// better is the power of two choices among members.
func (t *Tracker) better(candidates []Candidate, members []int, now time.Time, random *rand.Rand) int {
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

// settle chooses among the upstreams that were visited and had no free slot or
// were suspect.
func (t *Tracker) settle(candidates []Candidate, request Request, scarce bool) (Placement, time.Duration, bool) {
	var (
		chosen      Placement
		found       bool
		most        float64
		soonest     time.Duration
		soonestDone time.Duration
	)

	for i := range candidates {
		c := &candidates[i]
		at := slices.IndexFunc(request.Refusals, func(v Refusal) bool { return v.Upstream == c.Upstream })

		if at < 0 || !eligible(c) || !request.Refusals[at].WouldAccept || slices.Contains(request.Tried, c.Upstream) {
			continue
		}

		visit := request.Refusals[at]
		if soonest == 0 || visit.Load.ExpectedWait < soonest {
			soonest = visit.Load.ExpectedWait
		}

		if scarce {
			visit.Load.Suspicion = 0
		}

		worth, done := expectedWorth(visit, request)
		if worth > most || worth == most && found && done < soonestDone {
			chosen = Placement{Index: i, Forced: visit.Suspect || scarce}
			found, most, soonestDone = worth > 0, worth, done
		}
	}

	return chosen, soonest, found
}

// expectedWorth returns what an answer of a visited upstream is worth, and when
// it is expected.
func expectedWorth(visit Refusal, request Request) (float64, time.Duration) {
	service := cmp.Or(request.ServiceTime, visit.Load.ServiceTime, unknownService)

	done := visit.Load.ExpectedWait + service
	certainty := 1 - visit.Load.Suspicion

	switch {
	case done <= request.UntilTarget:
		return certainty * (1 - waitCost*float64(visit.Load.ExpectedWait)/float64(request.UntilTarget)), done
	case visit.Load.ExpectedWait+time.Duration(shortAnswer*float64(service)) <= request.UntilDeadline:
		return certainty * lateWorth * (1 - waitCost*float64(visit.Load.ExpectedWait)/float64(request.UntilDeadline)), done
	}

	return 0, done
}
