package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func candidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Upstream: fmt.Sprintf("u%d", i), Slots: 3, State: fleet.Ready}
	}

	return list
}

// TestChooseExcludes guards against work for upstreams that must not get it,
// and against refusing a request while any upstream could take it.
func TestChooseExcludes(t *testing.T) {
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
			"draining ones get nothing",
			func(c []Candidate) { c[0].State, c[1].State = fleet.Draining, fleet.Draining },
			Request{},
			map[string]bool{"u2": true},
		},
		{
			"all leaving",
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
			"tried ones come last", func([]Candidate) {},
			Request{Tried: []string{"u0", "u2"}},
			map[string]bool{"u1": true},
		},
		{
			"tried ones come again when nothing else is left", func([]Candidate) {},
			Request{Tried: []string{"u0", "u1", "u2"}},
			map[string]bool{"u0": true, "u1": true, "u2": true},
		},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			list := candidates(3)
			tt.change(list)

			tracker, random := NewTracker(), newRandom()
			seen := map[string]bool{}

			for range 300 {
				if i, ok := tracker.Choose(list, tt.request, now, random); ok {
					seen[list[i].Upstream] = true
				}
			}

			if fmt.Sprint(seen) != fmt.Sprint(tt.want) {
				t.Errorf("chosen: got %v, want %v", seen, tt.want)
			}
		})
	}
}

// TestChooseLeavesSlowUpstream guards against a slow upstream keeping its share
// until it is ejected. An even share of 8 upstreams would be 125 of 1,000.
func TestChooseLeavesSlowUpstream(t *testing.T) {
	t.Parallel()

	tracker, random, list := NewTracker(), newRandom(), candidates(8)
	now := time.Unix(1000, 0)
	slow := 0

	for range 1000 {
		i, _ := tracker.Choose(list, Request{}, now, random)

		latency := 10 * time.Millisecond
		if i == 0 {
			latency = 100 * time.Millisecond
			slow++
		}

		tracker.Started(list[i].Upstream)
		now = now.Add(time.Millisecond)
		tracker.Finished(list[i].Upstream, fleet.Load{Slots: 3, InFlight: 1}, latency, now)
	}

	if want := 1000 / 8 / 2; slow > want {
		t.Errorf("requests at the slow upstream: got %d, want at most %d", slow, want)
	}
}

// TestChooseTriesSlowUpstreamAgain guards against an upstream that was slow once
// getting no request any more, so that neither its recovery nor its failure is
// noticed. The traffic is that of one ingress of Lima.
func TestChooseTriesSlowUpstreamAgain(t *testing.T) {
	t.Parallel()

	tracker, random, list := NewTracker(), newRandom(), candidates(8)
	now := time.Unix(1000, 0)
	slow := 0

	for range 60 * 14 {
		i, _ := tracker.Choose(list, Request{}, now, random)

		latency := 15 * time.Millisecond
		if i == 0 {
			latency = 150 * time.Millisecond
			slow++
		}

		tracker.Started(list[i].Upstream)
		now = now.Add(time.Second / 14)
		tracker.Finished(list[i].Upstream, fleet.Load{Slots: 3, InFlight: 1}, latency, now)
	}

	// Of an even share of 105, at least one in 10 seconds and at most a fifth.
	if slow < 6 || slow > 21 {
		t.Errorf("requests at the slow upstream in a minute: got %d, want 6 to 21", slow)
	}
}

// TestAbandonedCountsAsSlow guards against hedges hiding a slow upstream: its
// attempts are cancelled before they are answered.
func TestAbandonedCountsAsSlow(t *testing.T) {
	t.Parallel()

	tracker, random, list := NewTracker(), newRandom(), candidates(8)
	now := time.Unix(1000, 0)
	slow := 0

	for range 1000 {
		i, _ := tracker.Choose(list, Request{}, now, random)
		now = now.Add(time.Millisecond)
		tracker.Started(list[i].Upstream)

		if i == 0 {
			tracker.Cancelled("u0", 30*time.Millisecond, now)
			slow++
		} else {
			tracker.Finished(list[i].Upstream, fleet.Load{Slots: 3, InFlight: 1}, 10*time.Millisecond, now)
		}
	}

	if want := 1000 / 8 / 2; slow > want {
		t.Errorf("requests at the slow upstream: got %d, want at most %d", slow, want)
	}
}

// TestChooseAvoidsPath guards against a one-way partition costing every
// request a timeout.
func TestChooseAvoidsPath(t *testing.T) {
	t.Parallel()

	tracker, random, list := NewTracker(), newRandom(), candidates(3)
	now := time.Unix(1000, 0)

	tracker.Started("u0")
	tracker.Unreachable("u0", now)

	for range 100 {
		if i, _ := tracker.Choose(list, Request{}, now.Add(pathBackoff/2), random); i == 0 {
			t.Fatal("an upstream behind a failed path was chosen within the pause")
		}
	}

	again := 0

	for range 100 {
		if i, _ := tracker.Choose(list, Request{}, now.Add(pathBackoff), random); i == 0 {
			again++
		}
	}

	if again == 0 {
		t.Error("an upstream behind a failed path never came back")
	}
}

// TestIdempotencyOwner guards against a repeated request going to another
// upstream than the first one while that is still eligible.
func TestIdempotencyOwner(t *testing.T) {
	t.Parallel()

	tracker, random, list := NewTracker(), newRandom(), candidates(8)
	now := time.Unix(1000, 0)
	request := Request{AffinityKey: "Club\x00booking-1"}
	first, _ := tracker.Choose(list, request, now, random)

	for i := range list {
		if i != first {
			list[i].State = map[bool]fleet.UpstreamState{true: fleet.Draining, false: fleet.Ready}[i%2 == 0]
		}
	}

	for range 50 {
		if got, _ := tracker.Choose(list, request, now, random); got != first {
			t.Fatalf("owner: got %d, want %d", got, first)
		}
	}
}

// TestBudget guards against retries multiplying the load of an outage.
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

// TestQuantile guards against hedges being sent at the wrong delay.
func TestQuantile(t *testing.T) {
	t.Parallel()

	var q QuantileEstimator
	if _, ok := q.At(0.95); ok {
		t.Fatal("an estimate without samples")
	}

	for i := range 400 {
		q.Add(time.Duration(i%100+1) * time.Millisecond)
	}

	got, _ := q.At(0.95)
	if got < 85*time.Millisecond || got > 115*time.Millisecond {
		t.Errorf("p95: got %v, want 95 ms within a bucket", got)
	}
}

// TestHedgeNeedsFreeSlot guards against hedges that add load to a service
// without capacity to spare, and against losing them while there is some.
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

			tracker, list := NewTracker(), candidates(3)
			for i, n := range tt.inFlight {
				for range n {
					tracker.Started(list[i].Upstream)
				}
			}

			i, got := tracker.Choose(list, Request{Idempotent: true, Tried: []string{"u0"}, Hedge: true}, now, newRandom())
			if got != tt.want || got && i != 2 {
				t.Errorf("choice: got %d, %v, want 2 only if %v", i, got, tt.want)
			}
		})
	}
}
