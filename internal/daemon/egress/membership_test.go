package egress

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/shutdown"
)

// TestMembership guards against new attempts at an upstream that is draining (R9), against
// the loss of an operator's drain, and against missing notifications.
func TestMembership(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answerWith("ok", io.EOF))
		step := func(name string, wantChange bool, wantState fleet.UpstreamState) {
			t.Helper()
			select {
			case <-f.Changed():
				if !wantChange {
					t.Errorf("%s: got a notification, want none", name)
				}
			default:
				if wantChange {
					t.Errorf("%s: got no notification, want one", name)
				}
			}
			if got := f.Upstreams(); len(got) != 1 || got[0].State != wantState {
				t.Errorf("%s: got %+v, want one in state %v", name, got, wantState)
			}
		}
		f.Announce(calendar)
		step("renewed", false, fleet.Ready)
		f.Announce(withState(fleet.Shedding))
		step("sheds", true, fleet.Shedding)
		f.Drain("c1")
		step("drained", true, fleet.Draining)
		f.Announce(calendar)
		step("announced while drained", true, fleet.Draining)
		if got := f.Run(t.Context(), session, attemptOf(1)); got.Reason != fleet.ReasonDraining {
			t.Errorf("got %+v, want Draining", got)
		}
		f.Undrain("c1")
		step("undrained", true, fleet.Ready)
		other := calendar
		other.Address = netip.MustParseAddrPort("127.0.0.1:82")
		if got := f.Announce(other); got != fleet.NameTaken {
			t.Errorf("got %d for a second address, want NameTaken", got)
		}
		time.Sleep(announceTimeout - time.Millisecond)
		step("silent for less than 3 s", false, fleet.Ready)
		f.Drain("c1")
		time.Sleep(sweepInterval + time.Millisecond)
		if got := f.Upstreams(); len(got) != 0 {
			t.Errorf("got %+v after 3 s of silence, want none", got)
		}
		f.Announce(other)
		step("announced again", true, fleet.Draining)
		for i := range maxUpstreams - 1 {
			other.Name = "n" + string(rune('A'+i))
			f.Announce(other)
		}
		other.Name = "last"
		if got := f.Announce(other); got != fleet.TooManyUpstreams {
			t.Errorf("got %d for one upstream too many, want NoRoom", got)
		}
	})
}

// TestStopWaitsForRunningAttempts guards against a planned stop that interrupts a request
// (R10), and against a stop that never returns.
func TestStopWaitsForRunningAttempts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answerWith("ok", io.EOF))
		reply := f.Run(t.Context(), session, attemptOf(1))
		f.Withdraw("c1")
		f.Announce(calendar)
		if _, _, got := f.attemptsAndSlots(); got != 1 {
			t.Errorf("got %d slots in use after the upstream came back, want 1", got)
		}
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if got := f.Stop(short); got != 1 {
			t.Errorf("got %d running, want 1", got)
		}
		if got := f.Run(t.Context(), session, attemptOf(2)); got.Outcome != fleet.NotRun || got.Reason != fleet.ReasonStopping {
			t.Errorf("got %+v while stopping, want NotRun, Stopping", got)
		}
		time.AfterFunc(100*time.Millisecond, func() {
			if body, err := io.ReadAll(reply.Answer.Body); string(body) != "ok" || err != nil {
				t.Errorf("got %q, %v, want the complete answer", body, err)
			}
		})
		if got := f.Stop(t.Context()); got != 0 {
			t.Errorf("got %d running, want 0", got)
		}
		var got struct{ OutcomeNotRun, CallsAnswered int }
		if err := json.Unmarshal([]byte(f.Metrics().String()), &got); err != nil || got.OutcomeNotRun != 1 || got.CallsAnswered != 1 {
			t.Errorf("got counters %+v, error %v, want one NotRun and one answered", got, err)
		}
	})
}

// Guards against an attempt of another daemon that a stopping daemon takes and then cuts off,
// and against one that it refuses although it ends in time.
func TestAttemptBeyondThePlannedStop(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answerWith("ok", io.EOF))
		now := time.Now()
		f.PlanStop(shutdown.Plan{DrainUntil: now.Add(time.Second), CutAt: now.Add(3 * time.Second)})
		sequence := uint64(0)
		for _, tt := range []struct {
			left, usual time.Duration
			want        fleet.Outcome
		}{
			{3 * time.Second, 0, fleet.Ran},
			{3*time.Second + 1, 0, fleet.NotRun},
			{time.Minute, 500 * time.Millisecond, fleet.Ran},
			{time.Minute, time.Second, fleet.NotRun},
		} {
			sequence++
			a := attemptOf(sequence)
			a.DeadlineRemaining, a.ExpectedDuration = tt.left, tt.usual
			reply := f.Run(t.Context(), session, a)
			if reply.Outcome != tt.want || tt.want == fleet.NotRun && reply.Reason != fleet.ReasonStopping {
				t.Errorf("%v left, usually %v: got %v %s, want %v", tt.left, tt.usual, reply.Outcome, reply.Reason, tt.want)
			}
			if reply.Outcome == fleet.Ran {
				_ = reply.Answer.Body.Close()
			}
		}
	})
}
