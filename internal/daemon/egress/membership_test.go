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
)

// Guards against new work for an upstream that is leaving (R9), against losing
// an operator's drain, and against missed notifications.
func TestMembership(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answers("ok", io.EOF))
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

// Guards against a planned stop that interrupts a request (R10), and against a
// stop that never returns.
func TestStopLetsRunningFinish(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answers("ok", io.EOF))
		reply := f.Run(t.Context(), session, attemptOf(1))
		f.Withdraw("c1")
		f.Announce(calendar)
		if _, _, got := f.counts(); got != 1 {
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
