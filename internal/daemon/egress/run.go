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

// Run runs an attempt that arrived on a session. It returns when the attempt was refused
// or failed, or when the head of the answer has been received. The body is then read from
// the upstream as the receiver reads it, and the slot stays in use until the body has
// ended or is closed. The attempt, including the body, ends with ctx, or when the
// attempt's DeadlineRemaining has passed.
func (e *Egress) Run(ctx context.Context, session fleet.Session, a fleet.Attempt) fleet.Reply {
	if a.CheckOnly {
		reply := e.checkSlot(&a)
		reply.ID = a.ID

		return reply
	}
	admitted, reply := e.admit(session, a)
	if admitted != nil {
		reply = e.runAdmitted(ctx, admitted)
	} else {
		e.logRefused(&a, reply)
	}
	reply.ID, reply.Idempotent = a.ID, a.Idempotent
	e.countReply(reply)

	return reply
}

// runAdmitted waits until an admitted attempt may start, and runs it.
func (e *Egress) runAdmitted(ctx context.Context, admitted *admittedAttempt) fleet.Reply {
	if admitted.attempt.OnAccepted != nil {
		admitted.attempt.OnAccepted()
	}
	began := time.Now()
	refusal := e.awaitStart(ctx, admitted)
	if refusal == nil {
		e.waitTimes.Add(time.Since(began))

		return e.callUpstream(ctx, admitted)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	refusal.Load = e.loadFor(admitted.upstream, &admitted.attempt, time.Now())
	e.logRefused(&admitted.attempt, *refusal)

	return *refusal
}

// admit queues an attempt, which may start at once. If the attempt is not admitted, it
// returns nil and the reply.
func (e *Egress) admit(session fleet.Session, a fleet.Attempt) (*admittedAttempt, fleet.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	admission := e.registry.Admit(session, a, now)
	if admission.Verdict != attempt.Admitted {
		return nil, rejection(admission)
	}
	u := e.upstreams[a.Upstream]
	if reply, ok := e.checkUpstream(u, &a, now); !ok {
		e.registry.Refuse(a.ID, now)

		return nil, reply
	}
	if !a.AllowSuspect && u.isSuspect(e.settings.SuspicionThreshold(u.announcement.Service), now) {
		u.lastTrialAt = now
	}
	admitted := &admittedAttempt{attempt: a, upstream: u, deadline: now.Add(a.DeadlineRemaining), decision: make(chan *fleet.Reply, 1)}
	e.queued[a.ID] = admitted
	e.enqueue(admitted, now)

	return admitted, fleet.Reply{}
}

// checkSlot returns whether an attempt could start now, without queueing or starting it.
func (e *Egress) checkSlot(a *fleet.Attempt) fleet.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if a.EgressIncarnation != 0 && a.EgressIncarnation != e.settings.Incarnation {
		return fleet.Refuse(fleet.ReasonStale, "the daemon has started again since")
	}
	u := e.upstreams[a.Upstream]
	reply, ok := e.checkUpstream(u, a, now)
	if ok {
		reply = fleet.Refuse(fleet.ReasonFree, "the attempt could start now")
		reply.Load = e.loadFor(u, a, now)
	}

	return reply
}

// checkUpstream reports whether an attempt may queue at an upstream. If not, it returns
// the refusal.
func (e *Egress) checkUpstream(u *localUpstream, a *fleet.Attempt, now time.Time) (refusal fleet.Reply, ok bool) {
	switch {
	case e.stopping:
		return fleet.Refuse(fleet.ReasonStopping, "the daemon is stopping"), false
	case e.stopPlan != nil && !e.stopPlan.Takes(now, now.Add(a.DeadlineRemaining), a.ExpectedDuration):
		return fleet.Refuse(fleet.ReasonStopping, "the daemon stops before the attempt's deadline"), false
	case u == nil || !u.announced || a.Service != u.announcement.Service:
		return fleet.Refuse(fleet.ReasonNoUpstream, "the upstream is not announced for this service"), false
	case e.effectiveState(u) == fleet.Draining:
		return fleet.Refuse(fleet.ReasonDraining, "the upstream is draining"), false
	case e.refusesSuspect(u, a, now):
		refusal = fleet.Refuse(fleet.ReasonSuspect, "the upstream probably fails at present")
	case a.NoWait && u.inFlight >= u.announcement.Slots:
		refusal = fleet.Refuse(fleet.ReasonBusy, "the upstream has no free slot")
	case a.NoWait && u.paceWait(0, now) > 0:
		refusal = fleet.Refuse(fleet.ReasonBusy, "the upstream takes no more requests at present")
	default:
		return fleet.Reply{}, true
	}
	refusal.Load = e.loadFor(u, a, now)

	return refusal, false
}

// refusesSuspect reports whether an attempt is refused because its upstream is suspect.
// From time to time, a suspect upstream gets an attempt that can be retried at another
// upstream, so that its recovery is detected.
func (e *Egress) refusesSuspect(u *localUpstream, a *fleet.Attempt, now time.Time) bool {
	if a.AllowSuspect || !u.isSuspect(e.settings.SuspicionThreshold(u.announcement.Service), now) {
		return false
	}
	interval := trialInterval
	if a.NoAlternative {
		interval = noAlternativeTrialInterval
	}

	return !a.TrialAllowed || now.Sub(u.lastTrialAt) < interval
}

// slownessMargin is the evidence, in nats, that a slow upstream must reach beyond the
// threshold to become suspect. A slow answer is still an answer, and single slow answers
// are common.
const slownessMargin = 2

// isSuspect reports whether the upstream is probably failing or slow at now.
func (u *localUpstream) isSuspect(threshold float64, now time.Time) bool {
	return u.suspicion.FailureProbability(now) >= suspicion.ThresholdProbability(threshold) || u.slowness.FailureProbability(now) >= suspicion.ThresholdProbability(threshold+slownessMargin)
}

// queueItem returns the queue's description of an attempt. Nested calls have the most
// urgent level, since the request that made the call occupies a slot meanwhile.
func queueItem(a *fleet.Attempt, now time.Time) queue.Item {
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

// enqueue queues an attempt and starts it if a slot is free, or refuses it. It also
// refuses the attempts that it displaces from a full queue. The caller holds mu.
func (e *Egress) enqueue(admitted *admittedAttempt, now time.Time) {
	u := admitted.upstream
	item := queueItem(&admitted.attempt, now)
	if wait := u.paceWait(u.queue.EstimateAhead(item), now); wait > 0 && now.Add(wait+item.ServiceTime/2).After(item.Deadline) {
		late := fleet.Refuse(fleet.ReasonDeadline, "the upstream's limit delays the attempt beyond its deadline")
		late.RetryAfter = wait
		e.refuse(admitted.attempt.ID, late)

		return
	}
	pushed := u.queue.Push(item, u.announcement.Slots, max(u.announcement.Slots-u.inFlight, 0), now)
	full := fleet.Refuse(fleet.ReasonQueueFull, "the queue is full and the client account has its share of it")
	full.RetryAfter = pushed.ExpectedWait
	for _, item := range pushed.Displaced {
		e.refuse(item.ID, full)
	}
	switch pushed.Verdict {
	case queue.Late:
		e.refuse(admitted.attempt.ID, fleet.Refuse(fleet.ReasonDeadline, "the expected wait exceeds the deadline"))
	case queue.Full:
		e.refuse(admitted.attempt.ID, full)
	case queue.Queued:
		e.startQueued(u)
	}
}

// startQueued starts queued attempts while slots are free and the upstream takes more
// requests. The caller holds mu.
func (e *Egress) startQueued(u *localUpstream) {
	now := time.Now()
	for u.inFlight < u.announcement.Slots {
		if wait := u.paceWait(0, now); wait > 0 && u.queue.Len() > 0 {
			e.startQueuedAfter(u, wait)

			return
		}
		item, found, expired := u.queue.Pop(now)
		for _, late := range expired {
			e.refuse(late.ID, fleet.Refuse(fleet.ReasonDeadline, "the deadline passed in the queue"))
		}
		if !found {
			return
		}
		if !e.registry.Start(item.ID) {
			continue
		}
		admitted := e.queued[item.ID]
		delete(e.queued, item.ID)
		u.inFlight++
		if u.pace != nil {
			u.pace.Take(now)
		}
		e.running++
		if admitted.attempt.Repeat {
			e.runningRepeats++
		}
		admitted.decision <- nil
	}
}

// refuse ends a queued attempt as not run. The caller holds mu.
func (e *Egress) refuse(id fleet.AttemptID, reply fleet.Reply) {
	e.registry.Refuse(id, time.Now())
	e.deliverRefusal(id, reply)
}

// deliverRefusal removes an attempt from the queue and passes its refusal to Run. The
// registry must no longer have the attempt as queued. The caller holds mu.
func (e *Egress) deliverRefusal(id fleet.AttemptID, reply fleet.Reply) {
	admitted := e.queued[id]
	if admitted == nil {
		return
	}
	delete(e.queued, id)
	admitted.upstream.queue.Remove(id)
	admitted.decision <- &reply
}

// drainQueue refuses all queued attempts of an upstream. The caller holds mu.
func (e *Egress) drainQueue(u *localUpstream, reason fleet.Reason, detail string) {
	for _, item := range u.queue.Drain() {
		e.refuse(item.ID, fleet.Refuse(reason, detail))
	}
}

// awaitStart waits until an attempt may start, and then returns nil. If the attempt is
// refused, it returns the refusal.
func (e *Egress) awaitStart(ctx context.Context, admitted *admittedAttempt) *fleet.Reply {
	// If a slot was free, the decision was made when the attempt was admitted, and no
	// timer is needed.
	select {
	case refusal := <-admitted.decision:
		return refusal
	default:
	}
	timer := time.NewTimer(time.Until(admitted.deadline))
	defer timer.Stop()
	reply := fleet.Refuse(fleet.ReasonDeadline, "the deadline passed in the queue")
	select {
	case refusal := <-admitted.decision:
		return refusal
	case <-timer.C:
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reply = fleet.Refuse(fleet.ReasonCancelled, "the ingress gave the attempt up")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.registry.Refuse(admitted.attempt.ID, time.Now()) {
		e.deliverRefusal(admitted.attempt.ID, reply)
	}

	return <-admitted.decision
}

// loadFor returns the load of an upstream, with the wait that attempt a would have in its queue.
// The caller holds mu.
func (e *Egress) loadFor(u *localUpstream, a *fleet.Attempt, now time.Time) fleet.Load {
	item := queueItem(a, now)
	load := fleet.Load{
		InFlight: u.inFlight, Queued: u.queue.Len(), Slots: u.announcement.Slots, State: e.effectiveState(u),
		ExpectedWait: u.queue.EstimateWait(item, u.announcement.Slots, u.announcement.Slots-u.inFlight), ServiceTime: u.typicalLatency,
	}
	load.ExpectedWait = max(load.ExpectedWait, u.paceWait(u.queue.EstimateAhead(item), now))
	if u.suspicion != nil {
		load.Suspicion = 1 - (1-u.suspicion.FailureProbability(now))*(1-u.slowness.FailureProbability(now))
		load.Suspect = u.isSuspect(e.settings.SuspicionThreshold(u.announcement.Service), now)
	}

	return load
}

// callUpstream calls the upstream of an attempt that has got a slot.
func (e *Egress) callUpstream(ctx context.Context, admitted *admittedAttempt) fleet.Reply {
	s := e.newStartedAttempt(ctx, admitted)
	answer, result := e.client.Call(s.ctx, s.upstream, admitted.attempt)
	s.serviceTime = time.Since(s.startedAt)
	if result == fleet.CallAnswered || result == fleet.CallShed {
		e.mu.Lock()
		if admitted.upstream.announcement.Incarnation == s.upstream.Incarnation {
			e.observeSignals(admitted.upstream, answer.Signals, s.startedAt, time.Now())
		}
		e.mu.Unlock()
	}
	if result == fleet.CallAnswered {
		e.serveTimes.Add(s.serviceTime)

		return s.streamReply(answer)
	}
	reply := failureReply(s.ctx, result)
	if result == fleet.CallShed {
		reply.RetryAfter = retryAfter(answer)
	}
	reply.Load = s.end(attempt.Result{Outcome: reply.Outcome}, s.observation(result, 0))
	reply.ServiceTime = s.serviceTime

	return reply
}

// failureReply returns the reply to an attempt whose call brought no answer. Ctx is the
// context of the call.
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

// retryAfter returns the value of an answer's Retry-After header, or 0 if it is missing or
// not a number of seconds.
func retryAfter(answer fleet.Answer) time.Duration {
	seconds, err := strconv.ParseUint(answer.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}

	return time.Duration(seconds) * time.Second //nolint:gosec // at most 65,535
}
