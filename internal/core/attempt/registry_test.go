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

// smallLimits returns limits that a test can reach with few attempts.
func smallLimits() Limits {
	return Limits{
		Records: 12, RecordsPerIngress: 5, Ingresses: 2, IngressRetention: time.Minute,
		KeysPerUpstream: 4, KeyRetention: 10 * time.Minute, AnswerBytes: 100,
	}
}

// attemptOf returns an attempt of the session with the sequence number, sent to
// egressIncarnation.
func attemptOf(s fleet.Session, sequence uint64) fleet.Attempt {
	return fleet.Attempt{
		ID:                fleet.AttemptID{Ingress: s.Daemon, Incarnation: s.Incarnation, Sequence: sequence},
		EgressIncarnation: egressIncarnation,
		Upstream:          "u", ClientAccount: "c", Weight: 1, DeadlineRemaining: time.Second,
	}
}

// TestAdmit guards against an attempt that starts twice and against one that ran but is
// reported as NotRun. Each case is a sequence of calls and the verdict on the last attempt.
func TestAdmit(t *testing.T) {
	t.Parallel()
	next := fleet.Session{Daemon: "a", Incarnation: 1, Number: 2}
	restarted := fleet.Session{Daemon: "a", Incarnation: 2, Number: 1}
	one := attemptOf(session, 1)
	for name, tt := range map[string]struct {
		setUp   func(r *Registry)
		session fleet.Session
		attempt fleet.Attempt
		want    Verdict
	}{
		"first copy":            {func(*Registry) {}, session, one, Admitted},
		"sequence number 0":     {func(*Registry) {}, session, attemptOf(session, 0), Admitted},
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
		"copy of an attempt that was started but not run": {func(r *Registry) {
			start(r, session, 1)
			r.Finish(one.ID, Result{Outcome: fleet.NotRun}, epoch)
		}, session, one, Cancelled},
		"cancel arrived before the attempt": {func(r *Registry) {
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
			r.OpenSession(restarted, epoch)
		}, session, one, Stale},
		"older incarnation with a high session number": {func(r *Registry) {
			r.OpenSession(restarted, epoch)
			r.OpenSession(fleet.Session{Daemon: "a", Incarnation: 1, Number: 7}, epoch)
		}, fleet.Session{Daemon: "a", Incarnation: 1, Number: 7}, one, Stale},
		"other incarnation of the egress": {func(*Registry) {}, session, func() fleet.Attempt {
			misdirected := one
			misdirected.EgressIncarnation = egressIncarnation - 1

			return misdirected
		}(), WrongIncarnation},
		"all records of started attempts": {func(r *Registry) {
			startAll(r, 12)
		}, session, attemptOf(session, 13), Full},
		"cancel arrived before the attempt while no record was free": {func(r *Registry) {
			startAll(r, 12)
			r.Cancel(session, attemptOf(session, 13).ID, egressIncarnation, epoch)
			r.Finish(one.ID, Result{Outcome: fleet.Ran}, epoch)
		}, session, attemptOf(session, 13), Stale},
		"copy of an attempt for which no record was free": {func(r *Registry) {
			startAll(r, 13)
			r.Finish(one.ID, Result{Outcome: fleet.Ran}, epoch)
		}, session, attemptOf(session, 13), Stale},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(egressIncarnation, smallLimits())
			r.OpenSession(session, epoch)
			tt.setUp(r)
			if got := r.Admit(tt.session, tt.attempt, epoch).Verdict; got != tt.want {
				t.Errorf("got verdict %d, want %d", got, tt.want)
			}
		})
	}
}

// TestCancel guards against confirming as not run an attempt that may have started.
func TestCancel(t *testing.T) {
	t.Parallel()
	id := attemptOf(session, 1).ID
	none := func(*Registry) {}
	const currentIncarnation = egressIncarnation
	for name, tt := range map[string]struct {
		setUp      func(r *Registry)
		sentTo     uint64
		want       fleet.CancelResult
		wantQueued bool
	}{
		"no record": {none, currentIncarnation, fleet.CancelNotRun, false},
		"no record, sent to an earlier incarnation": {none, currentIncarnation - 1, fleet.CancelUnknown, false},
		"no record, sent to an unknown incarnation": {none, 0, fleet.CancelUnknown, false},
		"no record, cancelled twice": {func(r *Registry) {
			r.Cancel(session, id, 0, epoch)
		}, currentIncarnation, fleet.CancelStarted, false},
		"queued":  {func(r *Registry) { r.Admit(session, attemptOf(session, 1), epoch) }, 0, fleet.CancelNotRun, true},
		"started": {func(r *Registry) { start(r, session, 1) }, currentIncarnation, fleet.CancelStarted, false},
		"ran": {func(r *Registry) {
			start(r, session, 1)
			r.Finish(id, Result{Outcome: fleet.Ran}, epoch)
		}, currentIncarnation, fleet.CancelStarted, false},
		"evicted": {func(r *Registry) {
			runAll(r, 6)
		}, currentIncarnation, fleet.CancelUnknown, false},
		"session closed": {func(r *Registry) { r.CloseSession(session, epoch) }, currentIncarnation, fleet.CancelUnknown, false},
		"repeat of a running key": {func(r *Registry) {
			keyed := attemptOf(session, 2)
			keyed.IdempotencyKey = "k"
			r.Admit(session, keyed, epoch)
			keyed.ID.Sequence = 1
			r.Admit(session, keyed, epoch)
		}, currentIncarnation, fleet.CancelStarted, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(egressIncarnation, smallLimits())
			r.OpenSession(session, epoch)
			tt.setUp(r)
			got, queued := r.Cancel(session, id, tt.sentTo, epoch)
			if got != tt.want || queued != tt.wantQueued {
				t.Errorf("got %d, %v, want %d, %v", got, queued, tt.want, tt.wantQueued)
			}
		})
	}
}

// TestIdempotencyKey guards against a second run of a repeated request, and against
// keeping keys longer or in greater number than section 2.4 of the design allows.
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
		setUp      func(r *Registry, keyed fleet.Attempt)
		after      time.Duration
		change     func(repeat *fleet.Attempt)
		want       Verdict
		wantStatus int
		wantBody   string
	}{
		"first is queued":        {setUp: func(r *Registry, keyed fleet.Attempt) { r.Admit(session, keyed, epoch) }, want: KeyInProgress},
		"first answered":         {setUp: run(answer), after: 10*time.Minute - 1, want: Replayed, wantStatus: 201, wantBody: "done"},
		"answer too large":       {setUp: run(large), want: Replayed, wantStatus: 201},
		"first ended Unknown":    {setUp: run(Result{}), want: Replayed},
		"first did not run":      {setUp: run(Result{Outcome: fleet.NotRun}), want: Admitted},
		"expired":                {setUp: run(answer), after: 10 * time.Minute, want: Admitted},
		"other request":          {setUp: run(answer), change: func(a *fleet.Attempt) { a.Request.Body = []byte("x") }, want: KeyMisused},
		"other client account":   {setUp: run(answer), change: func(a *fleet.Attempt) { a.ClientAccount = "d" }, want: Admitted},
		"other upstream":         {setUp: run(answer), change: func(a *fleet.Attempt) { a.Upstream = "v" }, want: Admitted},
		"idempotent route":       {setUp: run(answer), change: func(a *fleet.Attempt) { a.Idempotent = true }, want: Admitted},
		"evicted by newer keys":  {setUp: fillKeys(4, true), want: Admitted},
		"not evicted while free": {setUp: fillKeys(3, true), want: Replayed},
		"all keys running":       {setUp: fillKeys(4, false), change: func(a *fleet.Attempt) { a.IdempotencyKey = "new" }, want: Full},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New(egressIncarnation, smallLimits())
			r.OpenSession(session, epoch)
			keyed := attemptOf(session, 1)
			keyed.IdempotencyKey = "k"
			tt.setUp(r, keyed)
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

// TestExpireFreesMemory guards against keys of upstreams without further requests that
// are never removed.
func TestExpireFreesMemory(t *testing.T) {
	t.Parallel()
	r := New(egressIncarnation, smallLimits())
	r.OpenSession(session, epoch)
	fillKeys(4, true)(r, attemptOf(session, 1))
	r.ExpireKeys(epoch.Add(10 * time.Minute))
	if len(r.keys.upstreams) != 0 || r.keys.answerBytes != 0 {
		t.Errorf("got %d upstreams, %d bytes, want none", len(r.keys.upstreams), r.keys.answerBytes)
	}
}

// TestIngressesAreBounded guards against memory that grows with each new ingress, and
// against removing an ingress whose messages may still arrive.
func TestIngressesAreBounded(t *testing.T) {
	t.Parallel()
	r := New(egressIncarnation, smallLimits())
	session, other := session, fleet.Session{Daemon: "b", Incarnation: 1, Number: 1}
	third := fleet.Session{Daemon: "c", Incarnation: 1, Number: 1}
	r.OpenSession(session, epoch)
	start(r, session, 1)
	r.OpenSession(other, epoch)
	if r.OpenSession(third, epoch.Add(time.Hour)).Accepted {
		t.Error("removed an ingress with an open session")
	}
	r.CloseSession(session, epoch)
	if r.OpenSession(third, epoch.Add(time.Minute-1)).Accepted {
		t.Error("removed an ingress before IngressRetention")
	}
	if !r.OpenSession(third, epoch.Add(time.Minute)).Accepted {
		t.Error("did not remove an ingress after IngressRetention")
	}
	r.CloseSession(other, epoch)
	session.Number++
	r.OpenSession(session, epoch.Add(time.Hour))
	id := attemptOf(session, 1).ID
	if got, _ := r.Cancel(session, id, egressIncarnation, epoch); got != fleet.CancelStarted {
		t.Errorf("got %d for a running attempt that started before its ingress was removed, want CancelStarted", got)
	}
	if !r.Finish(id, Result{Outcome: fleet.Ran}, epoch) || r.Len() != 0 {
		t.Errorf("got %d records after the last attempt ended, want 0", r.Len())
	}
	if got, _ := r.Cancel(session, id, egressIncarnation, epoch); got != fleet.CancelUnknown {
		t.Errorf("got %d for an ended attempt that started before its ingress was removed, want CancelUnknown", got)
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

// start admits and starts an attempt.
func start(r *Registry, s fleet.Session, sequence uint64) {
	r.Admit(s, attemptOf(s, sequence), epoch)
	r.Start(attemptOf(s, sequence).ID)
}

// fillKeys returns a function that runs one attempt with the key "k" and then one attempt
// for each of the other keys to its end. Without finish it only starts the attempts with
// the other keys, and none has the key "k".
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

// TestOlderSessionChangesNothing guards against a late hello of an older session or
// incarnation that closes the newer one.
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

// TestStartOnlyQueued guards against starting an attempt that was taken from the queue
// just before it was cancelled or refused or its session was closed.
func TestStartOnlyQueued(t *testing.T) {
	t.Parallel()
	id := attemptOf(session, 1).ID
	for name, setUp := range map[string]func(r *Registry){
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
			setUp(r)
			if r.Start(id) {
				t.Error("the attempt started")
			}
		})
	}
}

// TestCancelRelayed guards against an attempt that starts after its relayed cancel was
// confirmed, and against one that is confirmed as not run although it has run or may have
// run under another incarnation.
func TestCancelRelayed(t *testing.T) {
	t.Parallel()

	one := attemptOf(session, 1)
	for name, tt := range map[string]struct {
		setUp  func(r *Registry)
		id     fleet.AttemptID
		sentTo uint64
		want   fleet.CancelResult
	}{
		"not arrived":                   {func(*Registry) {}, one.ID, egressIncarnation, fleet.CancelNotRun},
		"not arrived, session closed":   {func(r *Registry) { r.CloseSession(session, epoch) }, one.ID, egressIncarnation, fleet.CancelNotRun},
		"queued":                        {func(r *Registry) { r.Admit(session, one, epoch) }, one.ID, egressIncarnation, fleet.CancelNotRun},
		"started":                       {func(r *Registry) { start(r, session, 1) }, one.ID, egressIncarnation, fleet.CancelStarted},
		"sent to another incarnation":   {func(*Registry) {}, one.ID, egressIncarnation - 1, fleet.CancelUnknown},
		"sent to an unknown one":        {func(*Registry) {}, one.ID, 0, fleet.CancelUnknown},
		"ingress never had a session":   {func(*Registry) {}, fleet.AttemptID{Ingress: "z", Incarnation: 1, Sequence: 1}, egressIncarnation, fleet.CancelUnknown},
		"earlier run of the ingress":    {func(*Registry) {}, fleet.AttemptID{Ingress: "a", Incarnation: 0, Sequence: 1}, egressIncarnation, fleet.CancelUnknown},
		"ran, then the session was cut": {func(r *Registry) { start(r, session, 1); r.CloseSession(session, epoch) }, one.ID, egressIncarnation, fleet.CancelStarted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			r := New(egressIncarnation, smallLimits())
			r.OpenSession(session, epoch)
			tt.setUp(r)

			got, _ := r.CancelRelayed(tt.id, tt.sentTo, epoch)
			if got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}

			r.OpenSession(session, epoch)

			if verdict := r.Admit(session, one, epoch).Verdict; got == fleet.CancelNotRun && verdict == Admitted {
				t.Error("the attempt was admitted after it was confirmed as not run")
			}
		})
	}
}
