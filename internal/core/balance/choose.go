package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// slowStart is how long a new upstream takes to reach its full share.
	slowStart = 10 * time.Second
	// warmingShare is the share of an upstream in its cold start.
	warmingShare = 0.1
	// sheddingShare is the share of an upstream that refuses part of its work.
	sheddingShare = 0.5
	// unknownLatency stands in for an upstream that has not answered yet.
	unknownLatency = 5 * time.Millisecond
)

// usualCandidates is the number of upstreams of a service up to which a choice
// needs no memory from the heap. The services of the design have about 22.
const usualCandidates = 32

// Classes of candidates, best first. The last two serve only when no other
// candidate is left, because refusing the request would be worse.
const (
	classNormal = iota
	classAvoided
	classReduced
	classTried
	classes
)

// Choose returns the index of the candidate for the next attempt. It reports
// false if no candidate may take the request.
//
// It is the power of two choices (Mitzenmacher 1996) on the product of queue
// depth and latency, within the first class that has members.
func (t *Tracker) Choose(candidates []Candidate, request Request, now time.Time, random *rand.Rand) (int, bool) {
	var (
		space [classes][usualCandidates]int
		best  [classes][]int
	)

	for class := range best {
		best[class] = space[class][:0]
	}

	for i := range candidates {
		c := &candidates[i]
		if !eligible(c) || request.Hedge && !t.takesHedge(c, request, now) {
			continue
		}

		class := t.class(c, request, now, random)
		best[class] = append(best[class], i)
	}

	for _, class := range best {
		if len(class) == 0 {
			continue
		}

		if request.AffinityKey != "" {
			return owner(candidates, class, request.AffinityKey), true
		}

		return t.pick(candidates, class, now, random), true
	}

	return 0, false
}

func (t *Tracker) takesHedge(c *Candidate, request Request, now time.Time) bool {
	return t.of(c.Upstream).depth(now) < c.Slots && !slices.Contains(request.Tried, c.Upstream)
}

func (t *Tracker) class(c *Candidate, request Request, now time.Time, random *rand.Rand) int {
	switch {
	case slices.Contains(request.Tried, c.Upstream):
		return classTried
	case t.of(c.Upstream).avoided(now):
		return classAvoided
	case request.AffinityKey != "":
		return classNormal
	}

	if share := c.share(now); share < 1 && random.Float64() >= share {
		return classReduced
	}

	return classNormal
}

func (c *Candidate) share(now time.Time) float64 {
	switch c.State {
	case fleet.Warming:
		return warmingShare
	case fleet.Shedding:
		return sheddingShare
	case fleet.Ready, fleet.Draining:
	}

	age := now.Sub(c.StateSince)
	if c.StateSince.IsZero() || age >= slowStart || age < 0 {
		return 1
	}

	return warmingShare + (1-warmingShare)*float64(age)/float64(slowStart)
}

// pick prefers the own availability zone while it has a free slot.
func (t *Tracker) pick(candidates []Candidate, class []int, now time.Time, random *rand.Rand) int {
	var space [usualCandidates]int

	near := space[:0]

	for _, i := range class {
		c := &candidates[i]
		if c.SameZone && t.of(c.Upstream).depth(now) < c.Slots {
			near = append(near, i)
		}
	}

	if len(near) > 1 {
		class = near
	}

	if len(class) == 1 {
		return class[0]
	}

	a := random.IntN(len(class))

	b := random.IntN(len(class) - 1)
	if b >= a {
		b++
	}

	if t.score(&candidates[class[b]], now) < t.score(&candidates[class[a]], now) {
		a = b
	}

	return class[a]
}

func (t *Tracker) score(c *Candidate, now time.Time) float64 {
	s := t.of(c.Upstream)

	// An old latency counts for less, so that a slow upstream is tried now and
	// then: it may have recovered, and the arbiter needs evidence about it.
	latency := s.latency * math.Exp(-now.Sub(s.latencyAt).Seconds()/latencyDecay.Seconds())
	if s.latencyAt.IsZero() {
		latency = unknownLatency.Seconds()
	}

	return float64(s.depth(now)+1) / float64(max(1, c.Slots)) * latency
}

// owner returns the candidate with the highest rendezvous hash (Thaler and
// Ravishankar 1998) for the client account and idempotency key.
func owner(candidates []Candidate, class []int, name string) int {
	return slices.MaxFunc(class, func(a, b int) int {
		ha := xxhash.Sum64String(name + "\x00" + candidates[a].Upstream)
		hb := xxhash.Sum64String(name + "\x00" + candidates[b].Upstream)

		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}

		return strings.Compare(candidates[a].Upstream, candidates[b].Upstream)
	})
}
