package egress

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// answerError is a call that is answered at once with status 500.
func answerError(context.Context) (fleet.Answer, fleet.CallResult) {
	return fleet.Answer{Status: http.StatusInternalServerError, Header: http.Header{}, Body: http.NoBody}, fleet.CallAnswered
}

// answerOK is a call that is answered at once with status 200.
func answerOK(context.Context) (fleet.Answer, fleet.CallResult) {
	return fleet.Answer{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, fleet.CallAnswered
}

// send runs an attempt, after change has been applied to it, and closes the answer.
func (f *fixture) send(t *testing.T, sequence uint64, change func(*fleet.Attempt)) fleet.Reply {
	t.Helper()
	a := attemptOf(sequence)
	change(&a)
	reply := f.Run(t.Context(), session, a)
	if reply.Outcome == fleet.Ran {
		_ = reply.Answer.Body.Close()
	}

	return reply
}

// nonIdempotent leaves an attempt of attemptOf as it is.
func nonIdempotent(*fleet.Attempt) {}

// idempotent makes an attempt idempotent and allows it as a trial.
func idempotent(a *fleet.Attempt) { a.Idempotent, a.TrialAllowed = true, true }

// TestSuspectUpstream guards against requests that run at an upstream that is known to
// fail, and against an upstream that gets no requests after it has recovered.
func TestSuspectUpstream(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		pause  time.Duration
		change func(*fleet.Attempt)
		want   fleet.Reason
	}{
		{"non-idempotent", time.Second, nonIdempotent, fleet.ReasonSuspect},
		{"idempotent, soon after a failure", time.Second, idempotent, fleet.ReasonSuspect},
		{"idempotent, as a trial", trialInterval, idempotent, ""},
		{"idempotent, without an alternative", noAlternativeTrialInterval, func(a *fleet.Attempt) { a.TrialAllowed, a.NoAlternative = true, true }, ""},
		{"forced", 0, func(a *fleet.Attempt) { a.AllowSuspect = true }, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, answerError)
				for i := range uint64(5) {
					f.send(t, i+1, func(a *fleet.Attempt) { a.AllowSuspect = true })
				}
				time.Sleep(tt.pause)
				if got := f.send(t, 9, tt.change); got.Reason != tt.want || got.Load.Suspicion == 0 {
					t.Errorf("got %v %q with suspicion %v, want %q", got.Outcome, got.Reason, got.Load.Suspicion, tt.want)
				}
			})
		})
	}
}

// TestTrialsOfSuspectUpstream guards against trials in quick succession while the upstream
// fails, and against refused requests after it has recovered.
func TestTrialsOfSuspectUpstream(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answerError)
		sequence := uint64(0)
		// ran sends a request every 100 ms for the given time, and counts those that ran.
		ran := func(length time.Duration) (count int) {
			for range length / (100 * time.Millisecond) {
				time.Sleep(100 * time.Millisecond)
				f.Announce(calendar) // before the announcement times out
				sequence++
				if f.send(t, sequence, idempotent).Outcome == fleet.Ran {
					count++
				}
			}

			return count
		}
		ran(2 * time.Second)
		if got, most := ran(20*time.Second), int(20*time.Second/trialInterval); got == 0 || got > most {
			t.Errorf("while it fails: got %d of 200 requests run, want 1 to %d", got, most)
		}
		f.mu.Lock()
		f.call = answerOK
		f.mu.Unlock()
		ran(3 * time.Second)
		if got := ran(2 * time.Second); got != 20 {
			t.Errorf("after it recovered: got %d of 20 requests run, want all", got)
		}
	})
}

// TestNestedFailures guards against an upstream that is blamed for the failure of a call
// that it made.
func TestNestedFailures(t *testing.T) {
	t.Parallel()
	for _, nested := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var f *fixture
			f = newFixture(t, func(ctx context.Context) (fleet.Answer, fleet.CallResult) {
				time.Sleep(time.Millisecond)
				if nested {
					f.NestedCallFailed()
				}

				return answerError(ctx)
			})
			for i := range uint64(5) {
				f.send(t, i+1, func(a *fleet.Attempt) { a.AllowSuspect = true })
			}
			if got := f.send(t, 9, nonIdempotent).Reason == fleet.ReasonSuspect; got == nested {
				t.Errorf("nested calls failed %v: got suspect %v, want %v", nested, got, !nested)
			}
		})
	}
}

// TestSlotCheck guards against a slot check that occupies a slot, or whose result differs
// from the one of the attempt that would follow it.
func TestSlotCheck(t *testing.T) {
	t.Parallel()
	checkOnly := func(a *fleet.Attempt) { a.CheckOnly, a.NoWait = true, true }
	for _, tt := range []struct {
		name    string
		prepare func(t *testing.T, f *fixture)
		change  func(*fleet.Attempt)
		want    fleet.Reason
	}{
		{"free", func(*testing.T, *fixture) {}, checkOnly, fleet.ReasonFree},
		{"busy", func(t *testing.T, f *fixture) {
			t.Helper()
			for i := range uint64(2) {
				go f.Run(t.Context(), session, attemptOf(i+1))
			}
			synctest.Wait()
		}, checkOnly, fleet.ReasonBusy},
		{"draining", func(_ *testing.T, f *fixture) { f.Announce(withState(fleet.Draining)) }, checkOnly, fleet.ReasonDraining},
		{"another upstream", func(*testing.T, *fixture) {}, func(a *fleet.Attempt) {
			checkOnly(a)
			a.Upstream = "c2"
		}, fleet.ReasonNoUpstream},
		{"an earlier incarnation of the daemon", func(*testing.T, *fixture) {}, func(a *fleet.Attempt) {
			checkOnly(a)
			a.EgressIncarnation = 6
		}, fleet.ReasonStale},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, waitForDeadline)
				tt.prepare(t, f)
				before, _, slots := f.attemptsAndSlots()
				got := f.send(t, 9, tt.change)
				if got.Outcome != fleet.NotRun || got.Reason != tt.want || got.ID.Sequence != 9 {
					t.Errorf("got %v %q about %v, want NotRun %q about attempt 9", got.Outcome, got.Reason, got.ID, tt.want)
				}
				if after, queued, used := f.attemptsAndSlots(); after != before || queued != 0 || used != slots {
					t.Errorf("got %d running, %d queued, %d slots used, want %d, 0, %d", after, queued, used, before, slots)
				}
				// The ID of a slot check may be used again for the attempt.
				if tt.want == fleet.ReasonFree {
					go f.Run(t.Context(), session, attemptOf(9))
					synctest.Wait()
					if running, _, _ := f.attemptsAndSlots(); running != 1 {
						t.Errorf("got %d running after the attempt followed, want 1", running)
					}
				}
			})
		})
	}
}

// TestRepeatShare guards against calls that a repeated request makes and that are not
// counted as repeats.
func TestRepeatShare(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answerWith("", nil))
		if got := f.RepeatShare(); got != 0 {
			t.Errorf("idle: got %v, want 0", got)
		}
		for i := range uint64(2) {
			a := attemptOf(i + 1)
			a.Repeat = i == 0
			go func() {
				if reply := f.Run(t.Context(), session, a); reply.Outcome == fleet.Ran {
					_ = reply.Answer.Body.Close()
				}
			}()
		}
		synctest.Wait()
		if got := f.RepeatShare(); got != 0.5 {
			t.Errorf("one of two running: got %v, want 0.5", got)
		}
		time.Sleep(time.Second)
		if got := f.RepeatShare(); got != 0 {
			t.Errorf("after the end: got %v, want 0", got)
		}
	})
}

// TestLateAnnouncements guards against requests at an upstream that has left or was
// replaced, and that a late announcement of the earlier incarnation adds again.
func TestLateAnnouncements(t *testing.T) {
	t.Parallel()
	announcement := func(name string, incarnation, sequence uint64) fleet.Upstream {
		u := calendar
		u.Name, u.Incarnation, u.Sequence = name, incarnation, sequence

		return u
	}
	type step struct {
		upstream   fleet.Upstream
		deregister bool
		want       fleet.AnnounceResult
	}
	for name, tt := range map[string]struct {
		steps []step
		want  []string
	}{
		"after the departure":                      {[]step{{announcement("a", 5, 1), false, fleet.Announced}, {announcement("a", 0, 0), true, 0}, {announcement("a", 5, 2), false, fleet.Outdated}}, nil},
		"of a new incarnation after the departure": {[]step{{announcement("a", 5, 1), false, fleet.Announced}, {announcement("a", 5, 0), true, 0}, {announcement("a", 6, 1), false, fleet.Announced}}, []string{"a"}},
		"of an earlier incarnation":                {[]step{{announcement("a", 6, 1), false, fleet.Announced}, {announcement("a", 5, 9), false, fleet.Outdated}}, []string{"a"}},
		"overtaken by a later one":                 {[]step{{announcement("a", 5, 3), false, fleet.Announced}, {announcement("a", 5, 2), false, fleet.Outdated}}, []string{"a"}},
		"of an earlier upstream at the address":    {[]step{{announcement("a", 5, 1), false, fleet.Announced}, {announcement("b", 6, 1), false, fleet.Announced}, {announcement("a", 5, 2), false, fleet.Outdated}}, []string{"b"}},
		"departure of an earlier incarnation":      {[]step{{announcement("a", 6, 1), false, fleet.Announced}, {announcement("a", 5, 0), true, 0}}, []string{"a"}},
		"departure before the announcement":        {[]step{{announcement("a", 5, 0), true, 0}, {announcement("a", 5, 1), false, fleet.Outdated}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, answerOK)
				f.Deregister("c1", 0)
				for i, s := range tt.steps {
					if s.deregister {
						f.Deregister(s.upstream.Name, s.upstream.Incarnation)
					} else if got := f.Announce(s.upstream); got != s.want {
						t.Errorf("step %d: got %v, want %v", i+1, got, s.want)
					}
				}
				var got []string
				for _, u := range f.Upstreams() {
					got = append(got, u.Name)
				}
				if len(got) != len(tt.want) || len(got) > 0 && got[0] != tt.want[0] {
					t.Errorf("got upstreams %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// TestSlowUpstreamIsSuspect guards against a slow upstream that keeps its share of the
// requests because all of its answers are successful.
func TestSlowUpstreamIsSuspect(t *testing.T) {
	t.Parallel()
	for serviceTime, want := range map[time.Duration]bool{20 * time.Millisecond: false, 200 * time.Millisecond: true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, func(ctx context.Context) (fleet.Answer, fleet.CallResult) {
				time.Sleep(serviceTime)

				return answerOK(ctx)
			})
			for i := range uint64(6) {
				f.send(t, i+1, func(a *fleet.Attempt) { a.AllowSuspect, a.ExpectedDuration = true, 20*time.Millisecond })
			}
			if got := f.send(t, 9, nonIdempotent).Reason == fleet.ReasonSuspect; got != want {
				t.Errorf("answers after %v where 20 ms are usual: got suspect %v, want %v", serviceTime, got, want)
			}
		})
	}
}

// TestLoadReportsSuspicion guards against a status that lacks the suspicion of an upstream.
// Without Load, the daemon that shows the status learns the suspicion only from replies,
// and it may have received none.
func TestLoadReportsSuspicion(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(context.Context) (fleet.Answer, fleet.CallResult) {
			return fleet.Answer{}, fleet.CallFailed
		})
		if _, got := f.Load("nobody"); got {
			t.Error("got a load of an upstream that is not announced, want none")
		}
		for i, want := range []bool{false, true} {
			if load, _ := f.Load(calendar.Name); load.Suspect != want {
				t.Errorf("after %d failures: got suspect %v, want %v", 4*i, load.Suspect, want)
			}
			for j := range uint64(4) {
				f.send(t, 10*uint64(i)+j+1, func(a *fleet.Attempt) { a.AllowSuspect = true })
			}
		}
	})
}

// TestOnePauseCountsOnce guards against an upstream that becomes suspect because one pause
// of its instance delayed all requests that were running.
func TestOnePauseCountsOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const usual, pause = 20 * time.Millisecond, 200 * time.Millisecond
		serviceTime := usual
		f := newFixture(t, func(ctx context.Context) (fleet.Answer, fleet.CallResult) {
			time.Sleep(serviceTime)

			return answerOK(ctx)
		})
		expect := func(a *fleet.Attempt) { a.ExpectedDuration = usual }
		for i := range uint64(50) {
			f.send(t, i+1, expect)
		}
		serviceTime = pause
		var running sync.WaitGroup
		for i := range uint64(calendar.Slots) {
			running.Go(func() { f.send(t, 100+i, expect) })
		}
		running.Wait()
		if load, _ := f.Load(calendar.Name); load.Suspect {
			t.Errorf("got suspect at %.3f after a pause with %d requests, want not suspect", load.Suspicion, calendar.Slots)
		}
		for i := range uint64(2) {
			f.send(t, 200+i, expect)
		}
		if load, _ := f.Load(calendar.Name); !load.Suspect {
			t.Errorf("got not suspect at %.3f after three slow answers in a row, want suspect", load.Suspicion)
		}
	})
}
