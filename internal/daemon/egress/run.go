package egress

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/attempt"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
	"github.com/kumquatshelf/kumquatshelf/internal/core/suspicion"
)

// Run runs an attempt that arrived on a session. It returns when the attempt
// was refused, or when the head of the answer was received; the answer's body
// then streams, and the slot is held until the body is closed or ended. The
// context ends the attempt, including the body, as does the attempt's budget.
func (e *Egress) Run(ctx context.Context, session fleet.Session, a fleet.Attempt) fleet.Reply {
	if a.CheckOnly {
		reply := e.ask(&a)
		reply.ID = a.ID

		return reply
	}
	w, reply := e.admit(session, a)
	if w != nil {
		reply = e.runAdmitted(ctx, w)
	} else {
		e.logRefused(&a, reply)
	}
	reply.ID, reply.Idempotent = a.ID, a.Idempotent
	e.countReply(reply)

	return reply
}

func (e *Egress) runAdmitted(ctx context.Context, w *waiter) fleet.Reply {
	if w.attempt.OnAccepted != nil {
		w.attempt.OnAccepted()
	}
	began := time.Now()
	refusal := e.wait(ctx, w)
	if refusal == nil {
		e.waits.Add(time.Since(began))

		return e.call(ctx, w)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	refusal.Load = e.load(w.lane, &w.attempt, time.Now())
	e.logRefused(&w.attempt, *refusal)

	return *refusal
}

// admit queues the attempt, or returns its refusal.
func (e *Egress) admit(session fleet.Session, a fleet.Attempt) (*waiter, fleet.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	admission := e.registry.Admit(session, a, now)
	if admission.Verdict != attempt.Admitted {
		return nil, replyTo(admission)
	}
	l := e.lanes[a.Upstream]
	if reply, ok := e.check(l, &a, now); !ok {
		e.registry.Refuse(a.ID, now)

		return nil, reply
	}
	if !a.AllowSuspect && l.suspect(e.settings.SuspicionThreshold(l.upstream.Service), now) {
		l.triedAt = now
	}
	w := &waiter{attempt: a, lane: l, deadline: now.Add(a.DeadlineRemaining), decided: make(chan *fleet.Reply, 1)}
	e.waiting[a.ID] = w
	e.push(w, now)

	return w, fleet.Reply{}
}

// ask answers whether an attempt could start now, without taking it.
func (e *Egress) ask(a *fleet.Attempt) fleet.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if a.EgressIncarnation != 0 && a.EgressIncarnation != e.settings.Incarnation {
		return fleet.Refuse(fleet.ReasonStale, "the daemon has started again since")
	}
	l := e.lanes[a.Upstream]
	reply, ok := e.check(l, a, now)
	if ok {
		reply = fleet.Refuse(fleet.ReasonFree, "the attempt could start now")
		reply.Load = e.load(l, a, now)
	}

	return reply
}

// check reports whether an attempt may queue at an upstream, or returns its
// refusal.
func (e *Egress) check(l *lane, a *fleet.Attempt, now time.Time) (refusal fleet.Reply, ok bool) {
	switch {
	case e.stopping:
		return fleet.Refuse(fleet.ReasonStopping, "the daemon is stopping"), false
	case l == nil || !l.announced || a.Service != l.upstream.Service:
		return fleet.Refuse(fleet.ReasonNoUpstream, "the upstream is not announced for this service"), false
	case e.state(l) == fleet.Draining:
		return fleet.Refuse(fleet.ReasonDraining, "the upstream is draining"), false
	case e.avoids(l, a, now):
		refusal = fleet.Refuse(fleet.ReasonSuspect, "the upstream probably fails at present")
	case a.NoWait && l.inFlight >= l.upstream.Slots:
		refusal = fleet.Refuse(fleet.ReasonBusy, "the upstream has no free slot")
	default:
		return fleet.Reply{}, true
	}
	refusal.Load = e.load(l, a, now)

	return refusal, false
}

// avoids reports whether a suspect upstream is spared an attempt. It gets one that
// can be repeated elsewhere now and then, so that its recovery is noticed.
func (e *Egress) avoids(l *lane, a *fleet.Attempt, now time.Time) bool {
	if a.AllowSuspect || !l.suspect(e.settings.SuspicionThreshold(l.upstream.Service), now) {
		return false
	}
	pause := trialPause
	if a.NoAlternative {
		pause = pressedPause
	}

	return !a.TrialAllowed || now.Sub(l.triedAt) < pause
}

// slowMargin is the evidence, in nats, that slowness needs beyond the threshold.
// A slow answer is still an answer, and single ones are common.
const slowMargin = 2

// suspect reports whether the upstream probably fails or is slow at now.
func (l *lane) suspect(threshold float64, now time.Time) bool {
	return l.suspicion.FailureProbability(now) >= suspicion.ThresholdProbability(threshold) || l.slowness.FailureProbability(now) >= suspicion.ThresholdProbability(threshold+slowMargin)
}

// item returns how an attempt waits. The calls of upstreams are the most urgent:
// each holds the slot of the request that makes it.
func item(a *fleet.Attempt, now time.Time) queue.Item {
	i := queue.Item{
		ID: a.ID, ClientAccount: a.ClientAccount, Weight: a.Weight, ServiceTime: a.ExpectedDuration, Deadline: now.Add(a.DeadlineRemaining),
	}
	if !a.Nested {
		i.Level = min(1+a.Priority, queue.Levels-1)
	}
	if a.TargetRemaining != 0 {
		i.Target = now.Add(a.TargetRemaining)
	}

	return i
}

func (e *Egress) push(w *waiter, now time.Time) {
	l := w.lane
	push := l.queue.Push(item(&w.attempt, now), l.upstream.Slots, max(l.upstream.Slots-l.inFlight, 0), now)
	full := fleet.Refuse(fleet.ReasonQueueFull, "the queue is full and the client account has its share of it")
	full.RetryAfter = push.ExpectedWait
	for _, item := range push.Displaced {
		e.refuse(item.ID, full)
	}
	switch push.Verdict {
	case queue.Late:
		e.refuse(w.attempt.ID, fleet.Refuse(fleet.ReasonDeadline, "the expected wait exceeds the deadline"))
	case queue.Full:
		e.refuse(w.attempt.ID, full)
	case queue.Queued:
		e.dispatch(l)
	}
}

// dispatch starts queued attempts while slots are free.
func (e *Egress) dispatch(l *lane) {
	now := time.Now()
	for l.inFlight < l.upstream.Slots {
		item, found, expired := l.queue.Pop(now)
		for _, late := range expired {
			e.refuse(late.ID, fleet.Refuse(fleet.ReasonDeadline, "the deadline passed in the queue"))
		}
		if !found {
			return
		}
		if !e.registry.Start(item.ID) {
			continue
		}
		w := e.waiting[item.ID]
		delete(e.waiting, item.ID)
		l.inFlight++
		e.running++
		if w.attempt.Repeat {
			e.repeats++
		}
		w.decided <- nil
	}
}

// refuse ends a queued attempt as not run.
func (e *Egress) refuse(id fleet.AttemptID, reply fleet.Reply) {
	e.registry.Refuse(id, time.Now())
	e.decide(id, reply)
}

// decide removes an attempt that the registry no longer has as queued.
func (e *Egress) decide(id fleet.AttemptID, reply fleet.Reply) {
	w := e.waiting[id]
	if w == nil {
		return
	}
	delete(e.waiting, id)
	w.lane.queue.Remove(id)
	w.decided <- &reply
}

func (e *Egress) drainQueue(l *lane, reason fleet.Reason, detail string) {
	for _, item := range l.queue.Drain() {
		e.refuse(item.ID, fleet.Refuse(reason, detail))
	}
}

// wait returns nil when the attempt has started, or its refusal.
func (e *Egress) wait(ctx context.Context, w *waiter) *fleet.Reply {
	// With a free slot the attempt was decided when it was admitted.
	select {
	case refusal := <-w.decided:
		return refusal
	default:
	}
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	reply := fleet.Refuse(fleet.ReasonDeadline, "the deadline passed in the queue")
	select {
	case refusal := <-w.decided:
		return refusal
	case <-timer.C:
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reply = fleet.Refuse(fleet.ReasonCancelled, "the ingress gave the attempt up")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.registry.Refuse(w.attempt.ID, time.Now()) {
		e.decide(w.attempt.ID, reply)
	}

	return <-w.decided
}

// load describes the upstream to the ingress of an attempt.
func (e *Egress) load(l *lane, a *fleet.Attempt, now time.Time) fleet.Load {
	load := fleet.Load{
		InFlight: l.inFlight, Queued: l.queue.Len(), Slots: l.upstream.Slots, State: e.state(l),
		ExpectedWait: l.queue.EstimateWait(item(a, now), l.upstream.Slots, l.upstream.Slots-l.inFlight), ServiceTime: l.typical,
	}
	if l.suspicion != nil {
		load.Suspicion = 1 - (1-l.suspicion.FailureProbability(now))*(1-l.slowness.FailureProbability(now))
		load.Suspect = l.suspect(e.settings.SuspicionThreshold(l.upstream.Service), now)
	}

	return load
}

// call runs a started attempt.
func (e *Egress) call(ctx context.Context, w *waiter) fleet.Reply {
	r := e.newRun(ctx, w)
	answer, result := e.caller.Call(r.ctx, r.upstream, w.attempt)
	r.served = time.Since(r.started)
	if result == fleet.CallAnswered {
		e.served.Add(r.served)

		return r.stream(answer)
	}
	reply := failureReply(r.ctx, result)
	if result == fleet.CallShed {
		reply.RetryAfter = retryAfter(answer)
	}
	reply.Load = r.end(attempt.Result{Outcome: reply.Outcome}, r.observation(result, 0))
	reply.ServiceTime = r.served

	return reply
}

func failureReply(ctx context.Context, result fleet.CallResult) fleet.Reply {
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case result == fleet.CallShed:
		return fleet.Refuse(fleet.ReasonShed, "the upstream sheds load")
	case result == fleet.CallNotSent && cancelled:
		return fleet.Refuse(fleet.ReasonCancelled, "the attempt was cancelled before it was sent")
	case result == fleet.CallNotSent && ctx.Err() != nil:
		return fleet.Refuse(fleet.ReasonDeadline, "the deadline passed before the attempt was sent")
	case result == fleet.CallMisdirected:
		return fleet.Refuse(fleet.ReasonMisdirected, "another upstream has the address")
	case result == fleet.CallNotSent:
		return fleet.Refuse(fleet.ReasonUnreachable, "the upstream could not be reached")
	case result == fleet.CallTimedOut:
		return fleet.Fail(fleet.ReasonDeadline, "the deadline passed while the upstream ran the request")
	case result == fleet.CallForeign:
		return fleet.Fail(fleet.ReasonForeign, "the upstream sent the answer to another request")
	case cancelled:
		return fleet.Fail(fleet.ReasonCancelled, "the attempt was cancelled while the upstream ran it")
	}

	return fleet.Fail(fleet.ReasonUpstream, "the upstream closed the connection without an answer")
}

func retryAfter(answer fleet.Answer) time.Duration {
	seconds, err := strconv.ParseUint(answer.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}

	return time.Duration(seconds) * time.Second //nolint:gosec // at most 65,535
}
