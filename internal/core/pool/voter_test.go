package pool

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Guards against a share that is lent again while tokens from it can be spent, and
// against one that waits for tokens that were never granted.
func TestReleasedShare(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	const stamp, incarnation = 7, 3
	for _, tt := range []struct {
		name   string
		result *peerpb.PledgeResult
		// early says that the release was sent before the daemon turned away.
		early bool
		want  time.Duration
	}{
		{"unused", &peerpb.PledgeResult{Incarnation: incarnation, Unused: true}, false, 0},
		{"used", &peerpb.PledgeResult{Incarnation: incarnation}, false, tokens.AddClockMargin(tokens.BatchTTL)},
		{"another run of the granter", &peerpb.PledgeResult{Incarnation: incarnation + 1, Unused: true}, false, tokens.AddClockMargin(tokens.BatchTTL)},
		{"not answered", nil, false, tokens.AddClockMargin(LeaseDuration)},
		{"answer to an earlier release", &peerpb.PledgeResult{Incarnation: incarnation, Unused: true}, true, tokens.AddClockMargin(LeaseDuration)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			v, now := newVoter(start), start.Add(2*time.Second)
			sent := now
			stamped := &peerpb.PledgeResult{Incarnation: incarnation, Stamp: stamp}
			meet := func(name string) {
				for _, d := range v.due(now, name, []string{name}, true, false) {
					v.answer(now, now, d.to, d.pledge, stamped, 1)
				}
			}
			meet("a") // is given a stamp
			meet("a") // lends
			if want := (Daemon{"a", incarnation}); v.boundTo != want {
				t.Fatalf("got a share lent to %v, want %v", v.boundTo, want)
			}
			if !tt.early {
				sent = now.Add(time.Millisecond)
			}
			v.turnTo("b", now.Add(time.Millisecond))
			v.answer(now, sent, "a", &peerpb.Pledge{Release: true}, tt.result, 1)
			v.stamp, v.stampIncarnation = stamp, incarnation
			for after, want := range map[time.Duration]bool{tt.want - 1: false, tt.want: true} {
				if after < 0 {
					continue
				}
				if got := v.mayLend(now.Add(after)); got != want {
					t.Errorf("got may lend %v after %v, want %v", got, after, want)
				}
			}
		})
	}
}

// Guards against daemons that lend to different granters for long after a start, and
// against a granter that loses its task to one that is preferred by rank.
func TestGranterIsKept(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name string
		hear func(v *voter)
		want string
	}{
		{"nothing heard", func(*voter) {}, "first"},
		{"the target has a majority", func(v *voter) {
			v.turnTo("second", now)
			v.hear(now, "second", &peerpb.PledgeResult{Grants: true})
		}, "second"},
		{"the target had a majority", func(v *voter) {
			v.turnTo("second", now.Add(-LeaseDuration))
			v.hear(now.Add(-LeaseDuration), "second", &peerpb.PledgeResult{Grants: true})
		}, "first"},
		{"another daemon names the granter", func(v *voter) {
			v.hear(now, "first", &peerpb.PledgeResult{Granter: "third"})
		}, "third"},
		{"the granter named does not answer", func(v *voter) {
			v.hear(now, "first", &peerpb.PledgeResult{Granter: "third"})
			v.avoid["third"] = avoidance{until: now.Add(time.Second)}
		}, "first"},
		{"the granter named is no member", func(v *voter) {
			v.hear(now, "first", &peerpb.PledgeResult{Granter: "gone"})
		}, "first"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := &Pool{voter: newVoter(now)}
			tt.hear(p.voter)
			p.SetCandidates([]string{"first", "second", "third"})
			if got := p.preferred(now); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against the share of an owner that left lying idle for long, and against
// its use by a granter while a later run of the owner lends it.
func TestWaivedShare(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	waive, ask := &peerpb.Pledge{Waived: true}, &peerpb.Pledge{}
	type sent struct {
		run    uint64
		pledge *peerpb.Pledge
	}
	for _, tt := range []struct {
		name string
		sent []sent
		want bool
	}{
		{"nothing said", nil, false},
		{"asked only", []sent{{1, ask}}, false},
		{"waived", []sent{{1, waive}}, true},
		{"asked and waived", []sent{{1, ask}, {1, waive}, {1, ask}}, true},
		{"started again", []sent{{1, waive}, {2, ask}}, false},
		{"late word of the former run", []sent{{1, waive}, {2, ask}, {1, waive}}, false},
		{"left again", []sent{{1, waive}, {2, ask}, {2, waive}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := newLedger(now)
			l.adopt(now, &peerpb.Owners{Epoch: 1, Names: []string{"a", "b", "c"}})
			for _, s := range tt.sent {
				l.take(now, Daemon{"a", s.run}, s.pledge, 1, 1)
			}
			if got := l.void("a", now); got != tt.want {
				t.Errorf("got void %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a leaving daemon that lends its share, or gives it up while tokens
// from it can be spent at another granter.
func TestLeavingOwner(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	stamped := &peerpb.PledgeResult{Incarnation: 3, Stamp: 7}
	for after, want := range map[time.Duration]bool{0: false, tokens.AddClockMargin(LeaseDuration): true} {
		v := newVoter(start)
		now := start.Add(after)
		for range 2 {
			for _, d := range v.due(now, "a", []string{"a"}, true, true) {
				if d.pledge.GetEcho() != 0 || d.pledge.GetWaived() && !want {
					t.Errorf("%v after the start: got pledge %v, want it to lend nothing and waive %v", after, d.pledge, want)
				}
				v.answer(now, now, d.to, d.pledge, stamped, 1)
			}
		}
	}
}
