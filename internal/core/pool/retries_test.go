package pool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const window = 10 * time.Second

// Guards against more extra attempts in any window than the share of the requests
// and the slack allow, whoever asks when, and whatever part was made without
// asking.
func TestRetriesKeepTheBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		share, slack := rapid.Float64Range(0, 0.5).Draw(t, "share"), rapid.Float64Range(1, 100).Draw(t, "slack")
		r := &RetryBudget{Ratio: share, Slack: slack, Window: window}
		now := time.Unix(1000, 0)
		type event struct {
			at       time.Time
			requests int
			extra    bool
		}
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "gap")))
			requests := rapid.IntRange(0, 5).Draw(t, "requests")
			extra := r.Spend(now, "s", fleet.ServiceUsage{Requests: requests}, 1)
			events = append(events, event{now, requests, extra})
		}
		for i, first := range events {
			extra, requests := 0, 0
			for _, e := range events[i:] {
				if e.at.Sub(first.at) > window {
					break
				}
				if e.extra {
					extra++
				}
				requests += e.requests
			}
			if bound := share*float64(requests) + slack; float64(extra) > bound {
				t.Fatalf("got %d extra attempts in a window with %d requests, want at most %.1f", extra, requests, bound)
			}
		}
	})
}

// Guards against repeats that are made without asking and not counted, against a
// daemon without shares that allows any, and against services that share a budget.
func TestRetries(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	allowed := func(r *RetryBudget, service string, limits float64) (count int) {
		for r.Spend(now, service, fleet.ServiceUsage{}, limits) {
			count++
		}

		return count
	}
	r := &RetryBudget{Ratio: 0.2, Slack: 50, Window: window}
	if got := allowed(r, "a", 0); got != 0 {
		t.Errorf("without shares: got %d, want 0", got)
	}
	if got := allowed(&RetryBudget{}, "a", 1); got != 0 {
		t.Errorf("zero budget: got %d, want 0", got)
	}
	first := allowed(r, "b", 1)
	if got := allowed(r, "c", 1); got != first || first == 0 {
		t.Errorf("got %d for one service and %d for another, want the same", first, got)
	}
	r.Record(now, "d", fleet.ServiceUsage{Repeats: first}, 1)
	if got := allowed(r, "d", 1); got != 0 {
		t.Errorf("after %d repeats without asking: got %d, want 0", first, got)
	}
	now = now.Add(time.Hour)
	if got := allowed(r, "d", 1); got == 0 {
		t.Error("got none after an hour, want some")
	}
}
