package balance

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// busyRefusal returns the refusal by an upstream without a free slot.
func busyRefusal(upstream string, wait time.Duration) Refusal {
	return Refusal{Upstream: upstream, WouldAccept: true, Load: fleet.Load{ExpectedWait: wait, ServiceTime: 100 * time.Millisecond, Slots: 3}}
}

// suspectRefusal returns the refusal by a suspect upstream.
func suspectRefusal(upstream string, suspicion float64) Refusal {
	return Refusal{
		Upstream: upstream, WouldAccept: true, Suspect: true,
		Load: fleet.Load{Suspicion: suspicion, Suspect: true, ServiceTime: 100 * time.Millisecond, Slots: 3},
	}
}

// TestPlaceAsksForFreeSlot guards against requests that wait in one queue while another
// upstream has a free slot, that are sent to another availability zone without need, or
// that go to an upstream known to fail.
func TestPlaceAsksForFreeSlot(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		// setUp changes the candidates u0 to u3, of which u0 and u1 are in the ingress's zone.
		setUp   func(tracker *Tracker, c []Candidate)
		request Request
		// want lists the upstreams that may be chosen.
		want map[string]bool
		// wantNoWait expects a placement at an upstream that has not refused the request.
		wantNoWait bool
	}{
		{
			"upstreams in the ingress's zone first", func(*Tracker, []Candidate) {},
			Request{},
			map[string]bool{"u0": true, "u1": true},
			true,
		},
		{
			"other zones after all refusals in the ingress's zone", func(*Tracker, []Candidate) {},
			Request{Refusals: []Refusal{busyRefusal("u0", 0), busyRefusal("u1", 0)}},
			map[string]bool{"u2": true, "u3": true},
			true,
		},
		{
			"suspect upstreams last", func(tracker *Tracker, _ []Candidate) {
				for _, name := range []string{"u0", "u1", "u2"} {
					tracker.Finished(name, fleet.Load{Slots: 3, Suspect: true}, 0, now)
				}
			},
			Request{Idempotent: true},
			map[string]bool{"u3": true},
			true,
		},
		{
			"an old suspicion is ignored", func(tracker *Tracker, _ []Candidate) {
				tracker.Finished("u0", fleet.Load{Slots: 3, Suspect: true}, 0, now.Add(-suspicionLifetime-1))
			},
			Request{},
			map[string]bool{"u0": true, "u1": true},
			true,
		},
		{
			"upstreams whose limit allows no request yet last", func(tracker *Tracker, _ []Candidate) {
				for _, name := range []string{"u0", "u1"} {
					tracker.Finished(name, fleet.Load{Slots: 3, ExpectedWait: time.Second}, 0, now.Add(-time.Second/2))
				}
				tracker.Finished("u2", fleet.Load{Slots: 3, ExpectedWait: time.Second}, 0, now.Add(-time.Second))
			},
			Request{},
			map[string]bool{"u2": true, "u3": true},
			true,
		},
		{
			"upstreams without a free slot last", func(tracker *Tracker, _ []Candidate) {
				for _, name := range []string{"u0", "u1"} {
					for range 3 {
						tracker.Started(name)
					}
				}
			},
			Request{},
			map[string]bool{"u2": true, "u3": true},
			true,
		},
		{
			"draining upstreams never", func(_ *Tracker, c []Candidate) {
				c[0].State, c[1].State, c[2].State = fleet.Draining, fleet.Draining, fleet.Draining
			},
			Request{Tried: []string{"u3"}},
			map[string]bool{"u3": true},
			true,
		},
		{
			"an unresponsive path before a suspect upstream", func(tracker *Tracker, _ []Candidate) { tracker.AcceptTimedOut("u3", now) },
			Request{Refusals: []Refusal{suspectRefusal("u0", 0.5), suspectRefusal("u1", 0.5), suspectRefusal("u2", 0.5)}},
			map[string]bool{"u3": true},
			true,
		},
		{
			"an unresponsive path before a wait that is too long", func(tracker *Tracker, _ []Candidate) { tracker.AcceptTimedOut("u3", now) },
			Request{Refusals: []Refusal{busyRefusal("u0", time.Hour), busyRefusal("u1", time.Hour), busyRefusal("u2", time.Hour)}},
			map[string]bool{"u3": true},
			true,
		},
		{
			"a short wait before an unresponsive path", func(tracker *Tracker, _ []Candidate) { tracker.AcceptTimedOut("u3", now) },
			Request{Refusals: []Refusal{busyRefusal("u0", time.Second/2), busyRefusal("u1", 0), busyRefusal("u2", time.Second/2)}},
			map[string]bool{"u1": true},
			false,
		},
		{
			"a tried upstream only if there is no other", func(_ *Tracker, c []Candidate) {
				c[2].State, c[3].State = fleet.Draining, fleet.Draining
			},
			Request{Tried: []string{"u0"}},
			map[string]bool{"u1": true},
			true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCandidates(4)
			c[0].SameZone, c[1].SameZone = true, true
			tracker, random := NewTracker(), newRandom()
			tt.setUp(tracker, c)
			tt.request.UntilDeadline, tt.request.UntilTarget = time.Second, time.Second
			for range 50 {
				got, _, ok := tracker.Place(c, tt.request, now, random)
				if !ok || !tt.want[c[got.Index].Upstream] || got.NoWait != tt.wantNoWait {
					t.Fatalf("got %s, no wait %v, %v, want one of %v", c[got.Index].Upstream, got.NoWait, ok, tt.want)
				}
			}
		})
	}
}

// TestPlaceAfterRefusals guards against queueing where the answer comes too late, at an
// upstream that fails while another would answer in time, or at the least suspect
// upstream regardless of its wait.
func TestPlaceAfterRefusals(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	others := []Refusal{busyRefusal("u2", time.Hour), busyRefusal("u3", time.Hour), busyRefusal("u4", time.Hour)}
	for _, tt := range []struct {
		name          string
		first         Refusal
		second        Refusal
		untilDeadline time.Duration
		untilTarget   time.Duration
		serviceTime   time.Duration
		want          string
		wantForced    bool
	}{
		{"shorter wait", busyRefusal("u0", 100*ms), busyRefusal("u1", 50*ms), time.Second, time.Second, 0, "u1", false},
		{"little suspicion and a short wait", busyRefusal("u0", 600*ms), Refusal{
			Upstream: "u1", WouldAccept: true, Load: fleet.Load{Suspicion: 0.01, ExpectedWait: 50 * ms, ServiceTime: 100 * ms},
		}, time.Second, time.Second, 0, "u1", false},
		{"suspect with a free slot", busyRefusal("u0", 100*ms), suspectRefusal("u1", 0.9), time.Second, time.Second, 0, "u0", false},
		{"late or suspect", busyRefusal("u0", 800*ms), suspectRefusal("u1", 0.5), time.Second, 500 * ms, 0, "u1", true},
		{"late or certain to fail", busyRefusal("u0", 800*ms), suspectRefusal("u1", 0.99), time.Second, 500 * ms, 0, "u0", false},
		{"too late", busyRefusal("u0", 2*time.Second), busyRefusal("u1", 3*time.Second), time.Second, time.Second, 0, "", false},
		{"too late for its service time", busyRefusal("u0", 500*ms), busyRefusal("u1", 500*ms), time.Second, time.Second, 2 * time.Second, "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCandidates(5)
			request := Request{
				Refusals: append([]Refusal{tt.first, tt.second}, others...), UntilDeadline: tt.untilDeadline, UntilTarget: tt.untilTarget, ServiceTime: tt.serviceTime,
			}
			got, _, ok := NewTracker().Place(c, request, time.Unix(1000, 0), newRandom())
			name := ""
			if ok {
				name = c[got.Index].Upstream
			}
			if name != tt.want || got.Forced != tt.wantForced || got.NoWait {
				t.Errorf("got %q, forced %v, want %q, %v", name, got.Forced, tt.want, tt.wantForced)
			}
		})
	}
}

// TestPlaceForcesBelowMinTrustedSlots guards against a service with too few trusted upstreams
// whose suspect upstreams get no requests, although MinTrustedSlots requires more slots.
func TestPlaceForcesBelowMinTrustedSlots(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tracker, c := NewTracker(), newCandidates(4)
	for _, suspect := range c[:3] {
		tracker.Finished(suspect.Upstream, fleet.Load{Slots: 3, Suspect: true}, 0, now)
	}
	for minimum, want := range map[int]bool{0: false, 3: false, 4: true} {
		got, _, ok := tracker.Place(c, Request{MinTrustedSlots: minimum, UntilDeadline: time.Second}, now, newRandom())
		if !ok || got.Forced != want {
			t.Errorf("minimum of %d slots with 3 trusted: got forced %v, want %v", minimum, got.Forced, want)
		}
	}
}

// TestRobustMean guards against an expected service time that one slow upstream raises.
func TestRobustMean(t *testing.T) {
	t.Parallel()
	var nilMean *RobustMean
	if got := nilMean.Value(); got != 0 {
		t.Errorf("got %v from a nil pointer, want 0", got)
	}
	mean := &RobustMean{}
	for i := range 40 {
		d := 100 * time.Millisecond
		if i%8 == 7 {
			d = 20 * time.Second
		}
		mean.Add(d)
	}
	if got := mean.Value(); got < 90*time.Millisecond || got > 200*time.Millisecond {
		t.Errorf("got %v, want about 100 ms", got)
	}
}

// TestTrackerLoad guards against a status that shows a suspicion long after it was
// reported.
func TestTrackerLoad(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tracker := NewTracker()
	if _, at := tracker.Load("a", now); !at.IsZero() {
		t.Errorf("got a load reported at %v by an upstream that did not answer, want none", at)
	}
	tracker.Finished("a", fleet.Load{Slots: 3, InFlight: 2, Suspect: true}, 0, now)
	for after, want := range map[time.Duration]bool{0: true, suspicionLifetime + 1: false} {
		load, at := tracker.Load("a", now.Add(after))
		if load.Suspect != want || load.InFlight != 2 || !at.Equal(now) {
			t.Errorf("%v later: got suspect %v, %d in flight, reported at %v, want %v, 2, %v", after, load.Suspect, load.InFlight, at, want, now)
		}
	}
}
