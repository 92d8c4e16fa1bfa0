package balance

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// busy is a visit to an upstream without a free slot.
func busy(upstream string, wait time.Duration) Refusal {
	return Refusal{Upstream: upstream, WouldAccept: true, Load: fleet.Load{ExpectedWait: wait, ServiceTime: 100 * time.Millisecond, Slots: 3}}
}

// mistrusted is a visit to a suspect upstream.
func mistrusted(upstream string, suspicion float64) Refusal {
	return Refusal{
		Upstream: upstream, WouldAccept: true, Suspect: true,
		Load: fleet.Load{Suspicion: suspicion, Suspect: true, ServiceTime: 100 * time.Millisecond, Slots: 3},
	}
}

// Guards against requests that wait in one queue while another upstream has a free
// slot, that leave their availability zone without need, or that go to an upstream
// known to fail.
func TestPlaceLooksForAFreeSlot(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		// set changes the candidates u0 to u3; the first two are in the own zone.
		set     func(tracker *Tracker, c []Candidate)
		request Request
		want    map[string]bool
		// found says that an upstream is asked that was not visited yet.
		found bool
	}{
		{
			"own zone first", func(*Tracker, []Candidate) {},
			Request{},
			map[string]bool{"u0": true, "u1": true},
			true,
		},
		{
			"other zones when the own was visited", func(*Tracker, []Candidate) {},
			Request{Refusals: []Refusal{busy("u0", 0), busy("u1", 0)}},
			map[string]bool{"u2": true, "u3": true},
			true,
		},
		{
			"suspect ones last", func(tracker *Tracker, _ []Candidate) {
				for _, name := range []string{"u0", "u1", "u2"} {
					tracker.Finished(name, fleet.Load{Slots: 3, Suspect: true}, 0, now)
				}
			},
			Request{Idempotent: true},
			map[string]bool{"u3": true},
			true,
		},
		{
			"suspicion of old is forgotten", func(tracker *Tracker, _ []Candidate) {
				tracker.Finished("u0", fleet.Load{Slots: 3, Suspect: true}, 0, now.Add(-suspicionLifetime-1))
			},
			Request{},
			map[string]bool{"u0": true, "u1": true},
			true,
		},
		{
			"full ones last", func(tracker *Tracker, _ []Candidate) {
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
			"draining ones never", func(_ *Tracker, c []Candidate) {
				c[0].State, c[1].State, c[2].State = fleet.Draining, fleet.Draining, fleet.Draining
			},
			Request{Tried: []string{"u3"}},
			map[string]bool{"u3": true},
			true,
		},
		{
			"one behind a silent path before a suspect one", func(tracker *Tracker, _ []Candidate) { tracker.AcceptTimedOut("u3", now) },
			Request{Refusals: []Refusal{mistrusted("u0", 0.5), mistrusted("u1", 0.5), mistrusted("u2", 0.5)}},
			map[string]bool{"u3": true},
			true,
		},
		{
			"one behind a silent path before a wait that is too long", func(tracker *Tracker, _ []Candidate) { tracker.AcceptTimedOut("u3", now) },
			Request{Refusals: []Refusal{busy("u0", time.Hour), busy("u1", time.Hour), busy("u2", time.Hour)}},
			map[string]bool{"u3": true},
			true,
		},
		{
			"a short wait before one behind a silent path", func(tracker *Tracker, _ []Candidate) { tracker.AcceptTimedOut("u3", now) },
			Request{Refusals: []Refusal{busy("u0", time.Second/2), busy("u1", 0), busy("u2", time.Second/2)}},
			map[string]bool{"u1": true},
			false,
		},
		{
			"one that failed only if there is no other", func(_ *Tracker, c []Candidate) {
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
			c := candidates(4)
			c[0].SameZone, c[1].SameZone = true, true
			tracker, random := NewTracker(), newRandom()
			tt.set(tracker, c)
			tt.request.UntilDeadline, tt.request.UntilTarget = time.Second, time.Second
			for range 50 {
				got, _, ok := tracker.Place(c, tt.request, now, random)
				if !ok || !tt.want[c[got.Index].Upstream] || got.NoWait != tt.found {
					t.Fatalf("got %s, no wait %v, %v, want one of %v", c[got.Index].Upstream, got.NoWait, ok, tt.want)
				}
			}
		})
	}
}

// Guards against waiting where the answer comes too late, at an upstream that
// fails while another would answer in time, or at the least suspect one whatever
// the wait there.
func TestPlaceSettles(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	rest := []Refusal{busy("u2", time.Hour), busy("u3", time.Hour), busy("u4", time.Hour)}
	for _, tt := range []struct {
		name       string
		first      Refusal
		second     Refusal
		left       time.Duration
		target     time.Duration
		need       time.Duration
		want       string
		wantForced bool
	}{
		{"shorter wait", busy("u0", 100*ms), busy("u1", 50*ms), time.Second, time.Second, 0, "u1", false},
		{"a little suspicion and no wait", busy("u0", 600*ms), Refusal{
			Upstream: "u1", WouldAccept: true, Load: fleet.Load{Suspicion: 0.01, ExpectedWait: 50 * ms, ServiceTime: 100 * ms},
		}, time.Second, time.Second, 0, "u1", false},
		{"suspect and free", busy("u0", 100*ms), mistrusted("u1", 0.9), time.Second, time.Second, 0, "u0", false},
		{"late or suspect", busy("u0", 800*ms), mistrusted("u1", 0.5), time.Second, 500 * ms, 0, "u1", true},
		{"late or certain to fail", busy("u0", 800*ms), mistrusted("u1", 0.99), time.Second, 500 * ms, 0, "u0", false},
		{"too late", busy("u0", 2*time.Second), busy("u1", 3*time.Second), time.Second, time.Second, 0, "", false},
		{"too late for what it needs", busy("u0", 500*ms), busy("u1", 500*ms), time.Second, time.Second, 2 * time.Second, "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := candidates(5)
			request := Request{
				Refusals: append([]Refusal{tt.first, tt.second}, rest...), UntilDeadline: tt.left, UntilTarget: tt.target, ServiceTime: tt.need,
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

// Guards against a service whose upstreams are all suspect and get no requests,
// although its floor says how many must.
func TestPlaceKeepsTheFloor(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	tracker, c := NewTracker(), candidates(4)
	for _, one := range c[:3] {
		tracker.Finished(one.Upstream, fleet.Load{Slots: 3, Suspect: true}, 0, now)
	}
	for floor, want := range map[int]bool{0: false, 3: false, 4: true} {
		got, _, ok := tracker.Place(c, Request{MinTrustedSlots: floor, UntilDeadline: time.Second}, now, newRandom())
		if !ok || got.Forced != want {
			t.Errorf("floor of %d slots with 3 trusted: got forced %v, want %v", floor, got.Forced, want)
		}
	}
}

// Guards against an expected time that one slow upstream drags up.
func TestTypical(t *testing.T) {
	t.Parallel()
	var none *RobustMean
	if got := none.Value(); got != 0 {
		t.Errorf("got %v of nothing, want 0", got)
	}
	typical := &RobustMean{}
	for i := range 40 {
		d := 100 * time.Millisecond
		if i%8 == 7 {
			d = 20 * time.Second
		}
		typical.Add(d)
	}
	if got := typical.Value(); got < 90*time.Millisecond || got > 200*time.Millisecond {
		t.Errorf("got %v, want about 100 ms", got)
	}
}

// Guards against a status that shows a suspicion long after it was heard of.
func TestTrackerLoad(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tracker := NewTracker()
	if _, at := tracker.Load("a", now); !at.IsZero() {
		t.Errorf("got a load heard at %v of an upstream that did not answer, want none", at)
	}
	tracker.Finished("a", fleet.Load{Slots: 3, InFlight: 2, Suspect: true}, 0, now)
	for after, want := range map[time.Duration]bool{0: true, suspicionLifetime + 1: false} {
		load, at := tracker.Load("a", now.Add(after))
		if load.Suspect != want || load.InFlight != 2 || !at.Equal(now) {
			t.Errorf("%v later: got suspect %v, %d in flight, heard at %v, want %v, 2, %v", after, load.Suspect, load.InFlight, at, want, now)
		}
	}
}
