package attempt

import (
	"net/http"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const egressIncarnation = 9

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	session = fleet.Session{Daemon: "a", Incarnation: 1, Number: 1}
)

func smallLimits() Limits {
	return Limits{
		Records: 12, RecordsPerIngress: 5, Ingresses: 2, IngressRetention: time.Minute,
		KeysPerUpstream: 4, KeyRetention: 10 * time.Minute, AnswerBytes: 100,
	}
}

func attemptOf(s fleet.Session, sequence uint64) fleet.Attempt {
	return fleet.Attempt{
		ID:                fleet.AttemptID{Ingress: s.Daemon, Incarnation: s.Incarnation, Sequence: sequence},
		EgressIncarnation: egressIncarnation,
		Upstream:          "u", ClientAccount: "c", Weight: 1, DeadlineRemaining: time.Second,
	}
}

// Each case is a sequence of frames and the verdict on its last attempt. They
// guard against a second start and against a NotRun for an attempt that ran.
func TestAdmit(t *testing.T) {
	t.Parallel()
	next := fleet.Session{Daemon: "a", Incarnation: 1, Number: 2}
	reborn := fleet.Session{Daemon: "a", Incarnation: 2, Number: 1}
	one := attemptOf(session, 1)
	for name, tt := range map[string]struct {
		before  func(r *Registry)
		session fleet.Session
		attempt fleet.Attempt
		want    Verdict
	}{
		"first copy":            {func(*Registry) {}, session, one, Admitted},
		"first sequence of all": {func(*Registry) {}, session, attemptOf(session, 0), Admitted},
		"session never opened":  {func(*Registry) {}, next, one, Stale},
		"ID of another ingress": {func(*Registry) {}, session, attemptOf(fleet.Session{Daemon: "b", Incarnation: 1}, 1), Stale},
		"copy of a queued attempt": {func(r *Registry) {
			r.Admit(session, one, epoch)
		}, session, one, Duplicate},
		"copy of a started attempt": {func(r *Registry) {
			start(r, session, 1)
		}, session, one, Duplicate},
		"copy of an attempt that ran": {func(r *Registry) {
			start(r, session, 1)
			r.Finish(one.ID, Result{Outcome: fleet.Ran}, epoch)
		}, session, one, Duplicate},
		"copy of a refused attempt": {func(r *Registry) {
			r.Admit(session, one, epoch)
			r.Refuse(one.ID, epoch)
		}, session, one, Cancelled},
		"copy of an attempt that was not sent": {func(r *Registry) {
			start(r, session, 1)
			r.Finish(one.ID, Result{Outcome: fleet.NotRun}, epoch)
		}, session, one, Cancelled},
		"cancel overtook the attempt": {func(r *Registry) {
			r.Cancel(session, one.ID, egressIncarnation, epoch)
		}, session, one, Cancelled},
		"cancel of the queued attempt": {func(r *Registry) {
			r.Admit(session, one, epoch)
			r.Cancel(session, one.ID, egressIncarnation, epoch)
		}, session, one, Cancelled},
		"record evicted": {func(r *Registry) {
			runAll(r, 6)
		}, session, one, Stale},
		"session replaced": {func(r *Registry) {
			r.OpenSession(next, epoch)
		}, session, one, Stale},
		"replaced session reopened": {func(r *Registry) {
			r.OpenSession(next, epoch)
			r.OpenSession(session, epoch)
		}, session, one, Stale},
		"queued by the replaced session": {func(r *Registry) {
			r.Admit(session, one, epoch)
			r.OpenSession(next, epoch)
		}, next, one, Cancelled},
		"closed session reopened": {func(r *Registry) {
			r.CloseSession(session, epoch)
			r.OpenSession(session, epoch)
		}, session, one, Stale},
		"older incarnation": {func(r *Registry) {
			r.OpenSession(reborn, epoch)
		}, session, one, Stale},
		"older incarnation with a high session number": {func(r *Registry) {
			r.OpenSession(reborn, epoch)
			r.OpenSession(fleet.Session{Daemon: "a", Incarnation: 1, Number: 7}, epoch)
		}, fleet.Session{Daemon: "a", Incarnation: 1, Number: 7}, one, Stale},
		"other incarnation of the egress": {func(*Registry) {}, session, func() fleet.Attempt {
			other := one
			other.EgressIncarnation = egressIncarnation - 1

			return other
		}(), WrongIncarnation},
		"all records live": {func(r *Registry) {
			startAll(r, 12)
		}, session, attemptOf(session, 13), Full},
		"cancel overtook the attempt while all records were live": {func(r *Registry) {
			startAll(r, 12)
			r.Cancel(session, attemptOf(session, 13).ID, egressIncarnation, epoch)
			r.Finish(one.ID, Result{Outcome: fleet.Ran}, epoch)
		}, session, attemptOf(session, 13), Stale},
		"copy of an attempt that found all records live": {func(r *Registry) {
			startAll(r, 13)
			r.Finish(one.ID, Result{Outcome: fleet.Ran}, epoch)
		}, session, attemptOf(session, 13), Stale},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(egressIncarnation, smallLimits())
			r.OpenSession(session, epoch)
			tt.before(r)
			if got := r.Admit(tt.session, tt.attempt, epoch).Verdict; got != tt.want {
				t.Errorf("got verdict %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against confirming NotRun for an attempt that may have started.
func TestCancel(t *testing.T) {
	t.Parallel()
	id := attemptOf(session, 1).ID
	nothing := func(*Registry) {}
	const here = egressIncarnation
	for name, tt := range map[string]struct {
		before     func(r *Registry)
		sentTo     uint64
		want       fleet.CancelResult
		wantQueued bool
	}{
		"unknown":                        {nothing, here, fleet.CancelNotRun, false},
		"unknown, sent to a predecessor": {nothing, here - 1, fleet.CancelUnknown, false},
		"unknown, sent to any":           {nothing, 0, fleet.CancelUnknown, false},
		"unknown, cancelled twice": {func(r *Registry) {
			r.Cancel(session, id, 0, epoch)
		}, here, fleet.CancelStarted, false},
		"queued":  {func(r *Registry) { r.Admit(session, attemptOf(session, 1), epoch) }, 0, fleet.CancelNotRun, true},
		"started": {func(r *Registry) { start(r, session, 1) }, here, fleet.CancelStarted, false},
		"ran": {func(r *Registry) {
			start(r, session, 1)
			r.Finish(id, Result{Outcome: fleet.Ran}, epoch)
		}, here, fleet.CancelStarted, false},
		"evicted": {func(r *Registry) {
			runAll(r, 6)
		}, here, fleet.CancelUnknown, false},
		"session closed": {func(r *Registry) { r.CloseSession(session, epoch) }, here, fleet.CancelUnknown, false},
		"repeat of a running key": {func(r *Registry) {
			keyed := attemptOf(session, 2)
			keyed.IdempotencyKey = "k"
			r.Admit(session, keyed, epoch)
			keyed.ID.Sequence = 1
			r.Admit(session, keyed, epoch)
		}, here, fleet.CancelStarted, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(egressIncarnation, smallLimits())
			r.OpenSession(session, epoch)
			tt.before(r)
			got, queued := r.Cancel(session, id, tt.sentTo, epoch)
			if got != tt.want || queued != tt.wantQueued {
				t.Errorf("got %d, %v, want %d, %v", got, queued, tt.want, tt.wantQueued)
			}
		})
	}
}

// Guards against a second run of a repeated request, and against keeping keys
// longer or in greater number than section 2.4 of the design says.
func TestIdempotencyKey(t *testing.T) {
	t.Parallel()
	answer := Result{Outcome: fleet.Ran, Status: 201, HasAnswer: true, Header: http.Header{"A": {"b"}}, Body: []byte("done")}
	large := Result{Outcome: fleet.Ran, Status: 201, HasAnswer: true, Body: make([]byte, 101)}
	run := func(result Result) func(r *Registry, keyed fleet.Attempt) {
		return func(r *Registry, keyed fleet.Attempt) {
			r.Admit(session, keyed, epoch)
			r.Start(keyed.ID)
			r.Finish(keyed.ID, result, epoch)
		}
	}
	for name, tt := range map[string]struct {
		before     func(r *Registry, keyed fleet.Attempt)
		after      time.Duration
		change     func(repeat *fleet.Attempt)
		want       Verdict
		wantStatus int
		wantBody   string
	}{
		"first is queued":        {before: func(r *Registry, keyed fleet.Attempt) { r.Admit(session, keyed, epoch) }, want: KeyInProgress},
		"first answered":         {before: run(answer), after: 10*time.Minute - 1, want: Replayed, wantStatus: 201, wantBody: "done"},
		"answer too large":       {before: run(large), want: Replayed, wantStatus: 201},
		"first ended Unknown":    {before: run(Result{}), want: Replayed},
		"first did not run":      {before: run(Result{Outcome: fleet.NotRun}), want: Admitted},
		"expired":                {before: run(answer), after: 10 * time.Minute, want: Admitted},
		"other request":          {before: run(answer), change: func(a *fleet.Attempt) { a.Request.Body = []byte("x") }, want: KeyMisused},
		"other client account":   {before: run(answer), change: func(a *fleet.Attempt) { a.ClientAccount = "d" }, want: Admitted},
		"other upstream":         {before: run(answer), change: func(a *fleet.Attempt) { a.Upstream = "v" }, want: Admitted},
		"idempotent route":       {before: run(answer), change: func(a *fleet.Attempt) { a.Idempotent = true }, want: Admitted},
		"evicted by newer keys":  {before: fillKeys(4, true), want: Admitted},
		"not evicted while free": {before: fillKeys(3, true), want: Replayed},
		"all keys running":       {before: fillKeys(4, false), change: func(a *fleet.Attempt) { a.IdempotencyKey = "new" }, want: Full},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(egressIncarnation, smallLimits())
			r.OpenSession(session, epoch)
			keyed := attemptOf(session, 1)
			keyed.IdempotencyKey = "k"
			tt.before(r, keyed)
			repeat := keyed
			repeat.ID.Sequence = 100
			if tt.change != nil {
				tt.change(&repeat)
			}
			got := r.Admit(session, repeat, epoch.Add(tt.after))
			if got.Verdict != tt.want || got.Result.Status != tt.wantStatus || string(got.Result.Body) != tt.wantBody {
				t.Errorf("got %+v, want verdict %d, status %d, body %q", got, tt.want, tt.wantStatus, tt.wantBody)
			}
		})
	}
}

// Guards against keys that are kept although nothing asks for them again.
func TestExpireFreesMemory(t *testing.T) {
	t.Parallel()
	r := New(egressIncarnation, smallLimits())
	r.OpenSession(session, epoch)
	fillKeys(4, true)(r, attemptOf(session, 1))
	r.ExpireKeys(epoch.Add(10 * time.Minute))
	if len(r.keys.upstreams) != 0 || r.keys.bytes != 0 {
		t.Errorf("got %d upstreams, %d bytes, want none", len(r.keys.upstreams), r.keys.bytes)
	}
}

// Guards against unbounded memory from ingresses that come and go, and against
// forgetting one whose messages may still arrive.
func TestIngressesAreBounded(t *testing.T) {
	t.Parallel()
	r := New(egressIncarnation, smallLimits())
	session, other := session, fleet.Session{Daemon: "b", Incarnation: 1, Number: 1}
	third := fleet.Session{Daemon: "c", Incarnation: 1, Number: 1}
	r.OpenSession(session, epoch)
	start(r, session, 1)
	r.OpenSession(other, epoch)
	if r.OpenSession(third, epoch.Add(time.Hour)).Accepted {
		t.Error("forgot an ingress with an open session")
	}
	r.CloseSession(session, epoch)
	if r.OpenSession(third, epoch.Add(time.Minute-1)).Accepted {
		t.Error("forgot an ingress before IngressIdle")
	}
	if !r.OpenSession(third, epoch.Add(time.Minute)).Accepted {
		t.Error("did not forget an idle ingress")
	}
	r.CloseSession(other, epoch)
	session.Number++
	r.OpenSession(session, epoch.Add(time.Hour))
	id := attemptOf(session, 1).ID
	if got, _ := r.Cancel(session, id, egressIncarnation, epoch); got != fleet.CancelStarted {
		t.Errorf("got %d for an attempt that runs since before its ingress was forgotten, want CancelStarted", got)
	}
	if !r.Finish(id, Result{Outcome: fleet.Ran}, epoch) || r.Len() != 0 {
		t.Errorf("got %d records after the last attempt ended, want 0", r.Len())
	}
	if got, _ := r.Cancel(session, id, egressIncarnation, epoch); got != fleet.CancelUnknown {
		t.Errorf("got %d for an attempt that ran before its ingress was forgotten, want CancelUnknown", got)
	}
}

// startAll starts attempts 1 to n of the session.
func startAll(r *Registry, n uint64) {
	for sequence := uint64(1); sequence <= n; sequence++ {
		start(r, session, sequence)
	}
}

// runAll runs attempts 1 to n of the session to their end.
func runAll(r *Registry, n uint64) {
	for sequence := uint64(1); sequence <= n; sequence++ {
		start(r, session, sequence)
		r.Finish(attemptOf(session, sequence).ID, Result{Outcome: fleet.Ran}, epoch)
	}
}

func start(r *Registry, s fleet.Session, sequence uint64) {
	r.Admit(s, attemptOf(s, sequence), epoch)
	r.Start(attemptOf(s, sequence).ID)
}

// fillKeys adds an answered key "k" and then others.
func fillKeys(others int, finish bool) func(r *Registry, keyed fleet.Attempt) {
	return func(r *Registry, keyed fleet.Attempt) {
		for i := range others + 1 {
			if i == 0 && !finish {
				continue
			}
			a := keyed
			a.ID.Sequence = uint64(i + 1)
			a.IdempotencyKey = "k"
			if i > 0 {
				a.IdempotencyKey = string(rune('0' + i))
			}
			r.Admit(session, a, epoch)
			r.Start(a.ID)
			if finish {
				r.Finish(a.ID, Result{Outcome: fleet.Ran}, epoch)
			}
		}
	}
}

// Guards against a late hello of an older session or incarnation that closes
// the newer one.
func TestOlderSessionChangesNothing(t *testing.T) {
	t.Parallel()
	current := fleet.Session{Daemon: "a", Incarnation: 2, Number: 2}
	for name, older := range map[string]fleet.Session{
		"older incarnation": {Daemon: "a", Incarnation: 1, Number: 7},
		"older session":     {Daemon: "a", Incarnation: 2, Number: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(egressIncarnation, smallLimits())
			r.OpenSession(current, epoch)
			r.Admit(current, attemptOf(current, 1), epoch)
			if got := r.OpenSession(older, epoch); got.Accepted || len(got.ClosedSessions)+len(got.RemovedAttempts) > 0 {
				t.Errorf("got %+v, want nothing", got)
			}
			if got := r.CloseSession(older, epoch); len(got) > 0 {
				t.Errorf("got %v removed by its close, want none", got)
			}
			if !r.Start(attemptOf(current, 1).ID) {
				t.Error("the newer session's attempt was removed")
			}
		})
	}
}

// Guards against running an attempt that was taken from the queue just before
// it was cancelled, refused or closed with its session.
func TestStartOnlyQueued(t *testing.T) {
	t.Parallel()
	id := attemptOf(session, 1).ID
	for name, before := range map[string]func(r *Registry){
		"cancelled":        func(r *Registry) { r.Cancel(session, id, egressIncarnation, epoch) },
		"refused":          func(r *Registry) { r.Refuse(id, epoch) },
		"started":          func(r *Registry) { r.Start(id) },
		"session closed":   func(r *Registry) { r.CloseSession(session, epoch) },
		"session replaced": func(r *Registry) { r.OpenSession(fleet.Session{Daemon: "a", Incarnation: 1, Number: 2}, epoch) },
		"ingress restarted": func(r *Registry) {
			r.OpenSession(fleet.Session{Daemon: "a", Incarnation: 2, Number: 1}, epoch)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(egressIncarnation, smallLimits())
			r.OpenSession(session, epoch)
			r.Admit(session, attemptOf(session, 1), epoch)
			before(r)
			if r.Start(id) {
				t.Error("the attempt started")
			}
		})
	}
}
