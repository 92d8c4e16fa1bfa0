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

// fails answers at once with a failure of the upstream's own.
func fails(context.Context) (fleet.Answer, fleet.CallResult) {
	return fleet.Answer{Status: http.StatusInternalServerError, Header: http.Header{}, Body: http.NoBody}, fleet.CallAnswered
}

// serves answers at once with success.
func serves(context.Context) (fleet.Answer, fleet.CallResult) {
	return fleet.Answer{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, fleet.CallAnswered
}

// send runs one attempt to its end and returns its reply.
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

func plain(*fleet.Attempt) {}

func idempotent(a *fleet.Attempt) { a.Idempotent, a.TrialAllowed = true, true }

// Guards against requests that run at an upstream known to fail, and against one
// that gets no request again after it has recovered.
func TestSuspectUpstream(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		pause  time.Duration
		change func(*fleet.Attempt)
		want   fleet.Reason
	}{
		{"a request that must not run twice", time.Second, plain, fleet.ReasonSuspect},
		{"one that may, soon after a failure", time.Second, idempotent, fleet.ReasonSuspect},
		{"one that may, as a trial", trialPause, idempotent, ""},
		{"one that may, when it is needed", pressedPause, func(a *fleet.Attempt) { a.TrialAllowed, a.NoAlternative = true, true }, ""},
		{"one that must", 0, func(a *fleet.Attempt) { a.AllowSuspect = true }, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, fails)
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

// Guards against trials that follow each other while the upstream fails, and
// against waiting between them once it serves.
func TestTrials(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fails)
		sequence := uint64(0)
		// ran counts how many of the requests of a time ran, one each 100 ms.
		ran := func(length time.Duration) (count int) {
			for range length / (100 * time.Millisecond) {
				time.Sleep(100 * time.Millisecond)
				f.Announce(calendar) // keeps the upstream known
				sequence++
				if f.send(t, sequence, idempotent).Outcome == fleet.Ran {
					count++
				}
			}

			return count
		}
		ran(2 * time.Second)
		if got, most := ran(20*time.Second), int(20*time.Second/trialPause); got == 0 || got > most {
			t.Errorf("while it fails: got %d of 200 requests run, want 1 to %d", got, most)
		}
		f.mu.Lock()
		f.call = serves
		f.mu.Unlock()
		ran(3 * time.Second)
		if got := ran(2 * time.Second); got != 20 {
			t.Errorf("after it recovered: got %d of 20 requests run, want all", got)
		}
	})
}

// Guards against an upstream that is held responsible for the failure of a call
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

				return fails(ctx)
			})
			for i := range uint64(5) {
				f.send(t, i+1, func(a *fleet.Attempt) { a.AllowSuspect = true })
			}
			if got := f.send(t, 9, plain).Reason == fleet.ReasonSuspect; got == nested {
				t.Errorf("nested calls failed %v: got suspect %v, want %v", nested, got, !nested)
			}
		})
	}
}

// Guards against a question that takes a slot, or that is answered other than the
// attempt that would follow it.
func TestAsk(t *testing.T) {
	t.Parallel()
	ask := func(a *fleet.Attempt) { a.CheckOnly, a.NoWait = true, true }
	for _, tt := range []struct {
		name    string
		prepare func(t *testing.T, f *fixture)
		change  func(*fleet.Attempt)
		want    fleet.Reason
	}{
		{"free", func(*testing.T, *fixture) {}, ask, fleet.ReasonFree},
		{"busy", func(t *testing.T, f *fixture) {
			t.Helper()
			for i := range uint64(2) {
				go f.Run(t.Context(), session, attemptOf(i+1))
			}
			synctest.Wait()
		}, ask, fleet.ReasonBusy},
		{"draining", func(_ *testing.T, f *fixture) { f.Announce(withState(fleet.Draining)) }, ask, fleet.ReasonDraining},
		{"another upstream", func(*testing.T, *fixture) {}, func(a *fleet.Attempt) {
			ask(a)
			a.Upstream = "c2"
		}, fleet.ReasonNoUpstream},
		{"an earlier run of the daemon", func(*testing.T, *fixture) {}, func(a *fleet.Attempt) {
			ask(a)
			a.EgressIncarnation = 6
		}, fleet.ReasonStale},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, hangs)
				tt.prepare(t, f)
				before, _, slots := f.counts()
				got := f.send(t, 9, tt.change)
				if got.Outcome != fleet.NotRun || got.Reason != tt.want || got.ID.Sequence != 9 {
					t.Errorf("got %v %q about %v, want NotRun %q about attempt 9", got.Outcome, got.Reason, got.ID, tt.want)
				}
				if after, queued, used := f.counts(); after != before || queued != 0 || used != slots {
					t.Errorf("got %d running, %d queued, %d slots used, want %d, 0, %d", after, queued, used, before, slots)
				}
				// The ID of a question may be used again.
				if tt.want == fleet.ReasonFree {
					go f.Run(t.Context(), session, attemptOf(9))
					synctest.Wait()
					if running, _, _ := f.counts(); running != 1 {
						t.Errorf("got %d running after the attempt followed, want 1", running)
					}
				}
			})
		})
	}
}

// Guards against calls of a repeated run that are not counted as repeats.
func TestRepeatShare(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answers("", nil))
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

// Guards against requests at an upstream that has left or was replaced, because a
// late announcement of its former run brings it back.
func TestLateAnnouncements(t *testing.T) {
	t.Parallel()
	run := func(name string, incarnation, sequence uint64) fleet.Upstream {
		u := calendar
		u.Name, u.Incarnation, u.Sequence = name, incarnation, sequence

		return u
	}
	type step struct {
		upstream fleet.Upstream
		depart   bool
		want     fleet.AnnounceResult
	}
	for name, tt := range map[string]struct {
		steps []step
		want  []string
	}{
		"after it left":                  {[]step{{run("a", 5, 1), false, fleet.Announced}, {run("a", 0, 0), true, 0}, {run("a", 5, 2), false, fleet.Outdated}}, nil},
		"a new run after it left":        {[]step{{run("a", 5, 1), false, fleet.Announced}, {run("a", 5, 0), true, 0}, {run("a", 6, 1), false, fleet.Announced}}, []string{"a"}},
		"of an earlier run":              {[]step{{run("a", 6, 1), false, fleet.Announced}, {run("a", 5, 9), false, fleet.Outdated}}, []string{"a"}},
		"overtaken":                      {[]step{{run("a", 5, 3), false, fleet.Announced}, {run("a", 5, 2), false, fleet.Outdated}}, []string{"a"}},
		"of another at the same address": {[]step{{run("a", 5, 1), false, fleet.Announced}, {run("b", 6, 1), false, fleet.Announced}, {run("a", 5, 2), false, fleet.Outdated}}, []string{"b"}},
		"departure of an earlier run":    {[]step{{run("a", 6, 1), false, fleet.Announced}, {run("a", 5, 0), true, 0}}, []string{"a"}},
		"departure that came first":      {[]step{{run("a", 5, 0), true, 0}, {run("a", 5, 1), false, fleet.Outdated}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, serves)
				f.Deregister("c1", 0)
				for i, s := range tt.steps {
					if s.depart {
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

// Guards against a slow upstream that keeps its share of the requests because it
// answers in the end.
func TestSlowUpstreamIsSuspect(t *testing.T) {
	t.Parallel()
	for served, want := range map[time.Duration]bool{20 * time.Millisecond: false, 200 * time.Millisecond: true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, func(ctx context.Context) (fleet.Answer, fleet.CallResult) {
				time.Sleep(served)

				return serves(ctx)
			})
			for i := range uint64(6) {
				f.send(t, i+1, func(a *fleet.Attempt) { a.AllowSuspect, a.ExpectedDuration = true, 20*time.Millisecond })
			}
			if got := f.send(t, 9, plain).Reason == fleet.ReasonSuspect; got != want {
				t.Errorf("answers after %v where 20 ms are usual: got suspect %v, want %v", served, got, want)
			}
		})
	}
}

// Guards against a status that does not know of a suspicion because no request
// brought word of it.
func TestLoadTellsOfSuspicion(t *testing.T) {
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

// Guards against an upstream that is suspect because one pause of its instance
// delayed all the requests that ran at the time.
func TestOnePauseCountsOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const usual, pause = 20 * time.Millisecond, 200 * time.Millisecond
		served := usual
		f := newFixture(t, func(ctx context.Context) (fleet.Answer, fleet.CallResult) {
			time.Sleep(served)

			return serves(ctx)
		})
		expect := func(a *fleet.Attempt) { a.ExpectedDuration = usual }
		for i := range uint64(50) {
			f.send(t, i+1, expect)
		}
		served = pause
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
