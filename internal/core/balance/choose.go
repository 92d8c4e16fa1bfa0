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
	// slowStart is the time after an upstream became Ready over which its traffic grows
	// linearly from warmingShare to its full share.
	slowStart = 10 * time.Second
	// warmingShare is the part of its full share of the traffic that an upstream gets
	// during its cold start.
	warmingShare = 0.1
	// sheddingShare is the part of its full share of the traffic that an upstream gets
	// while it refuses some of its requests.
	sheddingShare = 0.5
	// defaultLatency is the assumed latency of an upstream that has not answered yet.
	defaultLatency = 5 * time.Millisecond
)

// inlineCandidates is the number of candidates up to which a choice allocates no heap
// memory. At the target size a service has about 22 upstreams.
const inlineCandidates = 32

// Classes of candidates, best first. A class is used only if all better ones are
// empty. The last two exist because refusing the request would be worse.
const (
	classNormal = iota
	// classAvoided candidates are behind an egress that recently did not respond.
	classAvoided
	// classReduced candidates are above their reduced share of the traffic.
	classReduced
	// classTried candidates had an earlier attempt of the request.
	classTried
	classCount
)

// Choose returns the index of the candidate for the next attempt. It reports
// false if no candidate may take the request.
//
// Within the first class that has members it uses the power of two choices (Mitzenmacher
// 1996) on the product of queue depth and latency, or the rendezvous hash if the request
// has an affinity key.
func (t *Tracker) Choose(candidates []Candidate, request Request, now time.Time, random *rand.Rand) (int, bool) {
	var (
		buffers [classCount][inlineCandidates]int
		byClass [classCount][]int
	)

	for class := range byClass {
		byClass[class] = buffers[class][:0]
	}

	for i := range candidates {
		c := &candidates[i]
		if !eligible(c) || request.Hedge && !t.eligibleForHedge(c, request, now) {
			continue
		}

		class := t.classify(c, request, now, random)
		byClass[class] = append(byClass[class], i)
	}

	for _, class := range byClass {
		if len(class) == 0 {
			continue
		}

		if request.AffinityKey != "" {
			return highestRendezvousHash(candidates, class, request.AffinityKey), true
		}

		return t.pickNear(candidates, class, now, random), true
	}

	return 0, false
}

// eligibleForHedge reports whether the upstream has a free slot and no attempt of the
// request yet.
func (t *Tracker) eligibleForHedge(c *Candidate, request Request, now time.Time) bool {
	return t.stats(c.Upstream).queueDepth(now) < c.Slots && !slices.Contains(request.Tried, c.Upstream)
}

// classify returns the class of a candidate for this attempt. A candidate with a
// reduced share of the traffic is put into classReduced at random.
func (t *Tracker) classify(c *Candidate, request Request, now time.Time, random *rand.Rand) int {
	switch {
	case slices.Contains(request.Tried, c.Upstream):
		return classTried
	case t.stats(c.Upstream).pathAvoided(now):
		return classAvoided
	case request.AffinityKey != "":
		return classNormal
	}

	if share := c.trafficShare(now); share < 1 && random.Float64() >= share {
		return classReduced
	}

	return classNormal
}

// trafficShare returns the part of its full share of the traffic that the upstream
// should get, 0 to 1.
func (c *Candidate) trafficShare(now time.Time) float64 {
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

// pickNear returns the index of a candidate by the power of two choices. It chooses among
// the members with a free slot in the ingress's own availability zone if there are at least
// two, otherwise among all members.
func (t *Tracker) pickNear(candidates []Candidate, members []int, now time.Time, random *rand.Rand) int {
	var buffer [inlineCandidates]int

	near := buffer[:0]

	for _, i := range members {
		c := &candidates[i]
		if c.SameZone && t.stats(c.Upstream).queueDepth(now) < c.Slots {
			near = append(near, i)
		}
	}

	if len(near) > 1 {
		members = near
	}

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

// score estimates the time until the upstream would answer one more request, in
// seconds. Lower is better.
func (t *Tracker) score(c *Candidate, now time.Time) float64 {
	s := t.stats(c.Upstream)

	// The latency decays with age, so that a slow upstream gets a request now and then:
	// it may have recovered, and the estimate of whether it fails needs new results.
	latency := s.latency * math.Exp(-now.Sub(s.latencyAt).Seconds()/latencyDecay.Seconds())
	if s.latencyAt.IsZero() {
		latency = defaultLatency.Seconds()
	}

	return float64(s.queueDepth(now)+1) / float64(max(1, c.Slots)) * latency
}

// highestRendezvousHash returns the member with the highest rendezvous hash (Thaler and
// Ravishankar 1998) for the key, which combines client account and idempotency key.
func highestRendezvousHash(candidates []Candidate, members []int, key string) int {
	return slices.MaxFunc(members, func(a, b int) int {
		ha := xxhash.Sum64String(key + "\x00" + candidates[a].Upstream)
		hb := xxhash.Sum64String(key + "\x00" + candidates[b].Upstream)

		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}

		return strings.Compare(candidates[a].Upstream, candidates[b].Upstream)
	})
}
