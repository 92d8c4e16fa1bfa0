package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newCandidates(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{Upstream: fmt.Sprintf("u%d", i), Slots: 3, State: fleet.Ready}
	}

	return candidates
}

// TestChooseEligibility guards against requests for upstreams that must not get any,
// and against refusing a request while any upstream could serve it.
func TestChooseEligibility(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		change  func(c []Candidate)
		request Request
		// want lists the upstreams that may be chosen.
		want map[string]bool
	}{
		{
			"draining upstreams get nothing",
			func(c []Candidate) { c[0].State, c[1].State = fleet.Draining, fleet.Draining },
			Request{},
			map[string]bool{"u2": true},
		},
		{
			"all draining",
			func(c []Candidate) {
				c[0].State, c[1].State, c[2].State = fleet.Draining, fleet.Draining, fleet.Draining
			},
			Request{},
			map[string]bool{},
		},
		{
			"all in cold start still serve",
			func(c []Candidate) { c[0].State, c[1].State, c[2].State = fleet.Warming, fleet.Warming, fleet.Warming },
			Request{},
			map[string]bool{"u0": true, "u1": true, "u2": true},
		},
		{
			"tried upstreams come last", func([]Candidate) {},
			Request{Tried: []string{"u0", "u2"}},
			map[string]bool{"u1": true},
		},
		{
			"tried upstreams are chosen if there is no other", func([]Candidate) {},
			Request{Tried: []string{"u0", "u1", "u2"}},
			map[string]bool{"u0": true, "u1": true, "u2": true},
		},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			candidates := newCandidates(3)
			tt.change(candidates)

			tracker, random := NewTracker(), newRandom()
			seen := map[string]bool{}

			for range 300 {
				if i, ok := tracker.Choose(candidates, tt.request, now, random); ok {
					seen[candidates[i].Upstream] = true
				}
			}

			if fmt.Sprint(seen) != fmt.Sprint(tt.want) {
				t.Errorf("chosen: got %v, want %v", seen, tt.want)
			}
		})
	}
}

// TestChooseAvoidsSlowUpstream guards against a slow upstream keeping its share
// until it is ejected. An even share of 8 upstreams would be 125 of 1,000.
func TestChooseAvoidsSlowUpstream(t *testing.T) {
	t.Parallel()

	tracker, random, candidates := NewTracker(), newRandom(), newCandidates(8)
	now := time.Unix(1000, 0)
	slow := 0

	for range 1000 {
		i, _ := tracker.Choose(candidates, Request{}, now, random)

		latency := 10 * time.Millisecond
		if i == 0 {
			latency = 100 * time.Millisecond
			slow++
		}

		tracker.Started(candidates[i].Upstream)
		now = now.Add(time.Millisecond)
		tracker.Finished(candidates[i].Upstream, fleet.Load{Slots: 3, InFlight: 1}, latency, now)
	}

	if want := 1000 / 8 / 2; slow > want {
		t.Errorf("requests at the slow upstream: got %d, want at most %d", slow, want)
	}
}

// TestChooseTriesSlowUpstreamAgain guards against an upstream that was slow once and
// gets no more requests, so that neither its recovery nor its failure is noticed. The
// 14 requests per second are the traffic of one ingress of the site Lima.
func TestChooseTriesSlowUpstreamAgain(t *testing.T) {
	t.Parallel()

	tracker, random, candidates := NewTracker(), newRandom(), newCandidates(8)
	now := time.Unix(1000, 0)
	slow := 0

	for range 60 * 14 {
		i, _ := tracker.Choose(candidates, Request{}, now, random)

		latency := 15 * time.Millisecond
		if i == 0 {
			latency = 150 * time.Millisecond
			slow++
		}

		tracker.Started(candidates[i].Upstream)
		now = now.Add(time.Second / 14)
		tracker.Finished(candidates[i].Upstream, fleet.Load{Slots: 3, InFlight: 1}, latency, now)
	}

	// An even share would be 105 requests. The limits are one in 10 seconds and a fifth
	// of the even share.
	if slow < 6 || slow > 21 {
		t.Errorf("requests at the slow upstream in a minute: got %d, want 6 to 21", slow)
	}
}

// TestCancelledCountsAsSlow guards against hedges that hide a slow upstream because its
// attempts are cancelled before they are answered.
func TestCancelledCountsAsSlow(t *testing.T) {
	t.Parallel()

	tracker, random, candidates := NewTracker(), newRandom(), newCandidates(8)
	now := time.Unix(1000, 0)
	slow := 0

	for range 1000 {
		i, _ := tracker.Choose(candidates, Request{}, now, random)
		now = now.Add(time.Millisecond)
		tracker.Started(candidates[i].Upstream)

		if i == 0 {
			tracker.Cancelled("u0", 30*time.Millisecond, now)
			slow++
		} else {
			tracker.Finished(candidates[i].Upstream, fleet.Load{Slots: 3, InFlight: 1}, 10*time.Millisecond, now)
		}
	}

	if want := 1000 / 8 / 2; slow > want {
		t.Errorf("requests at the slow upstream: got %d, want at most %d", slow, want)
	}
}

// TestChooseAvoidsPath guards against a one-way partition in which every request to
// the unreachable egress waits for a timeout.
func TestChooseAvoidsPath(t *testing.T) {
	t.Parallel()

	tracker, random, candidates := NewTracker(), newRandom(), newCandidates(3)
	now := time.Unix(1000, 0)

	tracker.Started("u0")
	tracker.Unreachable("u0", now)

	for range 100 {
		if i, _ := tracker.Choose(candidates, Request{}, now.Add(pathBackoff/2), random); i == 0 {
			t.Fatal("an upstream behind a failed path was chosen within the pause")
		}
	}

	again := 0

	for range 100 {
		if i, _ := tracker.Choose(candidates, Request{}, now.Add(pathBackoff), random); i == 0 {
			again++
		}
	}

	if again == 0 {
		t.Error("an upstream behind a failed path was never chosen after the pause")
	}
}

// TestAffinityKey guards against a repeated request that goes to another upstream
// than the first one did while that upstream is still eligible.
func TestAffinityKey(t *testing.T) {
	t.Parallel()

	tracker, random, candidates := NewTracker(), newRandom(), newCandidates(8)
	now := time.Unix(1000, 0)
	request := Request{AffinityKey: "Club\x00booking-1"}
	first, _ := tracker.Choose(candidates, request, now, random)

	for i := range candidates {
		if i != first {
			candidates[i].State = map[bool]fleet.UpstreamState{true: fleet.Draining, false: fleet.Ready}[i%2 == 0]
		}
	}

	for range 50 {
		if got, _ := tracker.Choose(candidates, request, now, random); got != first {
			t.Fatalf("chosen for the same key: got candidate %d, want %d", got, first)
		}
	}
}

// TestBudget guards against retries that multiply the load during an outage.
func TestBudget(t *testing.T) {
	t.Parallel()

	budget := NewRetryBudget(0.1, 10)
	extra := 0

	for range 1000 {
		budget.Credit()

		for budget.Spend() {
			extra++
		}
	}

	if want := 10 + 100; extra > want {
		t.Errorf("extra attempts: got %d, want at most %d", extra, want)
	}
}

// TestQuantile guards against hedges that are sent after the wrong delay.
func TestQuantile(t *testing.T) {
	t.Parallel()

	var q QuantileEstimator
	if _, ok := q.At(0.95); ok {
		t.Fatal("got an estimate without samples")
	}

	for i := range 400 {
		q.Add(time.Duration(i%100+1) * time.Millisecond)
	}

	got, _ := q.At(0.95)
	if got < 85*time.Millisecond || got > 115*time.Millisecond {
		t.Errorf("p95: got %v, want 95 ms within a bucket", got)
	}
}

// TestHedgeNeedsFreeSlot guards against hedges that add load to a service without a
// free slot, and against suppressing them while a slot is free.
func TestHedgeNeedsFreeSlot(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)

	for _, tt := range []struct {
		name     string
		inFlight [3]int
		want     bool
	}{
		{"one slot is free", [3]int{1, 3, 2}, true},
		{"all slots are busy", [3]int{1, 3, 3}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			tracker, candidates := NewTracker(), newCandidates(3)
			for i, n := range tt.inFlight {
				for range n {
					tracker.Started(candidates[i].Upstream)
				}
			}

			i, got := tracker.Choose(candidates, Request{Idempotent: true, Tried: []string{"u0"}, Hedge: true}, now, newRandom())
			if got != tt.want || got && i != 2 {
				t.Errorf("choice: got %d, %v, want 2 only if %v", i, got, tt.want)
			}
		})
	}
}
