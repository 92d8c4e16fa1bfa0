package pool

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Guards against leasing a released share again while tokens granted from it can still
// be spent, and against delaying the next lease although none were granted.
func TestReleasedShare(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	const stamp, incarnation = 7, 3
	for _, tt := range []struct {
		name   string
		result *peerpb.PledgeResult
		// beforeSwitch means that the release was sent before the daemon switched to
		// another granter.
		beforeSwitch bool
		want         time.Duration
	}{
		{"unused", &peerpb.PledgeResult{Incarnation: incarnation, Unused: true}, false, 0},
		{"used", &peerpb.PledgeResult{Incarnation: incarnation}, false, tokens.AddClockMargin(tokens.BatchTTL)},
		{"another run of the granter", &peerpb.PledgeResult{Incarnation: incarnation + 1, Unused: true}, false, tokens.AddClockMargin(tokens.BatchTTL)},
		{"no answer", nil, false, tokens.AddClockMargin(LeaseDuration)},
		{"answer to an earlier release", &peerpb.PledgeResult{Incarnation: incarnation, Unused: true}, true, tokens.AddClockMargin(LeaseDuration)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s, now := newGranterSelector(start), start.Add(2*time.Second)
			sent := now
			stamped := &peerpb.PledgeResult{Incarnation: incarnation, Stamp: stamp}
			exchangePledges := func(name string) {
				for _, d := range s.duePledges(now, name, []string{name}, true, false) {
					s.handleAnswer(now, now, d.to, d.pledge, stamped, 1)
				}
			}
			exchangePledges("a") // the answer contains the stamp
			exchangePledges("a") // the pledge leases the share
			if want := (Daemon{"a", incarnation}); s.lessee != want {
				t.Fatalf("got a share leased to %v, want %v", s.lessee, want)
			}
			if !tt.beforeSwitch {
				sent = now.Add(time.Millisecond)
			}
			s.switchTo("b", now.Add(time.Millisecond))
			s.handleAnswer(now, sent, "a", &peerpb.Pledge{Release: true}, tt.result, 1)
			s.stamp, s.stampIncarnation = stamp, incarnation
			for after, want := range map[time.Duration]bool{tt.want - 1: false, tt.want: true} {
				if after < 0 {
					continue
				}
				if got := s.canLease(now.Add(after)); got != want {
					t.Errorf("got can lease %v after %v, want %v", got, after, want)
				}
			}
		})
	}
}

// Guards against daemons that lease to different granters for long after they start,
// and against replacing a granter that has a majority by a preferred candidate.
func TestGranterIsKept(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name  string
		setUp func(s *granterSelector)
		want  string
	}{
		{"no known granter", func(*granterSelector) {}, "first"},
		{"the target has a majority", func(s *granterSelector) {
			s.switchTo("second", now)
			s.recordGranter(now, "second", &peerpb.PledgeResult{Grants: true})
		}, "second"},
		{"the target had a majority", func(s *granterSelector) {
			s.switchTo("second", now.Add(-LeaseDuration))
			s.recordGranter(now.Add(-LeaseDuration), "second", &peerpb.PledgeResult{Grants: true})
		}, "first"},
		{"another daemon reports the granter", func(s *granterSelector) {
			s.recordGranter(now, "first", &peerpb.PledgeResult{Granter: "third"})
		}, "third"},
		{"the reported granter does not answer", func(s *granterSelector) {
			s.recordGranter(now, "first", &peerpb.PledgeResult{Granter: "third"})
			s.avoidances["third"] = avoidance{until: now.Add(time.Second)}
		}, "first"},
		{"the reported granter is not a candidate", func(s *granterSelector) {
			s.recordGranter(now, "first", &peerpb.PledgeResult{Granter: "gone"})
		}, "first"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := &Pool{selector: newGranterSelector(now)}
			tt.setUp(p.selector)
			p.SetCandidates([]string{"first", "second", "third"})
			if got := p.preferredGranter(now); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against not using the share of a departed owner until a time-out, although the
// owner waived it, and against using the share while a later run of the owner leases it.
func TestWaivedShare(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	waived, plain := &peerpb.Pledge{Waived: true}, &peerpb.Pledge{}
	type sentPledge struct {
		incarnation uint64
		pledge      *peerpb.Pledge
	}
	for _, tt := range []struct {
		name string
		sent []sentPledge
		want bool
	}{
		{"no pledge", nil, false},
		{"plain pledge only", []sentPledge{{1, plain}}, false},
		{"waived", []sentPledge{{1, waived}}, true},
		{"plain and waived", []sentPledge{{1, plain}, {1, waived}, {1, plain}}, true},
		{"started again", []sentPledge{{1, waived}, {2, plain}}, false},
		{"late pledge of the former run", []sentPledge{{1, waived}, {2, plain}, {1, waived}}, false},
		{"left again", []sentPledge{{1, waived}, {2, plain}, {2, waived}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := newLeaseTable(now)
			l.setOwners(now, &peerpb.Owners{Epoch: 1, Names: []string{"a", "b", "c"}})
			for _, s := range tt.sent {
				l.recordPledge(now, Daemon{"a", s.incarnation}, s.pledge, 1, 1)
			}
			if got := l.isUnclaimed("a", now); got != tt.want {
				t.Errorf("got unclaimed %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a leaving daemon that leases its share, or that waives it while
// another granter may still use it.
func TestLeavingOwner(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	stamped := &peerpb.PledgeResult{Incarnation: 3, Stamp: 7}
	for after, want := range map[time.Duration]bool{0: false, tokens.AddClockMargin(LeaseDuration): true} {
		s := newGranterSelector(start)
		now := start.Add(after)
		for range 2 {
			for _, d := range s.duePledges(now, "a", []string{"a"}, true, true) {
				if d.pledge.GetEcho() != 0 || d.pledge.GetWaived() && !want {
					t.Errorf("%v after the start: got pledge %v, want it to lease nothing and waive %v", after, d.pledge, want)
				}
				s.handleAnswer(now, now, d.to, d.pledge, stamped, 1)
			}
		}
	}
}
