package egress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/attempt"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// maxRecordedBody is kept of an answer for repeats with the same
	// idempotency key. The registry bounds the sum.
	maxRecordedBody = 64 << 10
	// timeoutShare is the part of its time that an attempt must have had for a
	// cancellation by its ingress to count as a timeout. The ingress's own
	// deadline ends about one network delay before the egress's.
	timeoutFraction = 0.9
	// typicalGain is the weight of the newest answer in the typical time of a
	// lane: about 8 answers of memory.
	latencyGain = 0.125
	// slowFactor is how many times the usual time to an answer counts as slow.
	// About one in 50 ordinary requests takes as long.
	slowFactor = 3
	// fairChance is how many typical times an attempt must have had for its
	// timeout to count. Less is left after a long wait in the queue, which
	// says nothing about the upstream.
	minTimeoutFactor = 2
)

// run is a started attempt.
type startedAttempt struct {
	egress   *Egress
	admitted *admittedAttempt
	upstream fleet.Upstream
	// parent is the ingress's context, ctx the one with the deadline.
	ingressContext, ctx context.Context
	cancel              context.CancelFunc
	started             time.Time
	served              time.Duration
	endOnce             sync.Once
}

func (e *Egress) newStartedAttempt(ctx context.Context, w *admittedAttempt) *startedAttempt {
	r := &startedAttempt{egress: e, admitted: w, ingressContext: ctx, started: time.Now()}
	limited, cancel := context.WithDeadline(ctx, w.deadline)
	unhook := context.AfterFunc(e.baseContext, cancel)
	r.ctx, r.cancel = limited, func() {
		unhook()
		cancel()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.upstream = w.upstream.announcement
	r.upstream.State = e.effectiveState(w.upstream)

	return r
}

func (r *startedAttempt) observation(result fleet.CallResult, status int) fleet.Observation {
	a := r.admitted.attempt

	return fleet.Observation{
		Service: a.Service, Upstream: a.Upstream, ClientAccount: a.ClientAccount, Route: a.Route,
		State: r.upstream.State, Result: result, Status: status, ServiceTime: r.served,
	}
}

// end frees the slot, records the outcome and reports the observation. Only
// the first call has an effect.
func (r *startedAttempt) end(result attempt.Result, observation fleet.Observation) fleet.Load {
	var load fleet.Load
	r.endOnce.Do(func() {
		now, e, l := time.Now(), r.egress, r.admitted.upstream
		cancelled := r.ctx.Err()
		r.cancel()
		e.mu.Lock()
		counts := r.isEvidence(now, cancelled, &observation)
		if counts {
			e.updateSuspicion(l, r, observation, now)
		}
		e.registry.Finish(r.admitted.attempt.ID, result, now)
		l.inFlight--
		e.running--
		if r.admitted.attempt.Repeat {
			e.runningRepeats--
		}
		l.queue.ObserveServiceTime(now.Sub(r.started))
		e.startQueued(l)
		e.deleteIfIdle(l)
		if e.stopping && e.running == 0 {
			close(e.idle)
		}
		load = e.loadFor(l, &r.admitted.attempt, now)
		e.mu.Unlock()
		e.countResult(observation)
		r.logAttempt(observation, counts, load)
		if counts {
			e.evidence.Observe(observation)
		}
	})

	return load
}

// judge updates the suspicion of an upstream. A failure is not held against it if
// a call that it made meanwhile failed, which is the likely cause.
func (e *Egress) updateSuspicion(l *localUpstream, r *startedAttempt, o fleet.Observation, now time.Time) {
	if o.Result == fleet.CallMisdirected {
		return
	}
	failed := o.Result != fleet.CallAnswered || o.Truncated || o.Status >= http.StatusInternalServerError
	if failed && o.Result == fleet.CallAnswered && !o.Truncated && e.nestedFailedAt.After(r.started) {
		return
	}
	l.suspicion.Observe(failed, now)
	l.lastTrialAt = time.Time{}
	if failed {
		l.lastTrialAt = now
	}
	if expected := r.admitted.attempt.ExpectedDuration; expected > 0 && !failed {
		l.updateSlowness(o.ServiceTime > slowFactor*expected, r.started, now)
	}
}

// judgeSpeed updates the suspicion that an upstream is slow. One pause of its
// instance delays all requests that run there at the time, and counts once.
func (l *localUpstream) updateSlowness(slow bool, started, now time.Time) {
	if slow {
		if started.Before(l.lastSlowEnd) {
			return
		}
		l.lastSlowEnd = now
	}
	l.slowness.Observe(slow, now)
}

// counts reports whether an observation says something about the upstream. A
// call that the ingress or the daemon's stop cancelled says nothing, unless
// the upstream had nearly all the attempt's time. Neither does a timeout that
// a healthy upstream would not have met.
func (r *startedAttempt) isEvidence(now time.Time, ended error, observation *fleet.Observation) bool {
	l, had := r.admitted.upstream, r.admitted.deadline.Sub(r.started)
	switch observation.Result {
	case fleet.CallShed, fleet.CallMisdirected, fleet.CallForeign:
		return true
	case fleet.CallAnswered:
		if l.typicalLatency == 0 {
			l.typicalLatency = r.served
		}
		l.typicalLatency += time.Duration(latencyGain * float64(r.served-l.typicalLatency))

		return true
	case fleet.CallFailed, fleet.CallNotSent:
		if !errors.Is(ended, context.Canceled) {
			return true
		}
		used := now.Sub(r.started)
		if r.ingressContext.Err() == nil || observation.Result == fleet.CallNotSent || float64(used) < timeoutFraction*float64(had) {
			return false
		}
		observation.Result = fleet.CallTimedOut
	case fleet.CallTimedOut:
	}

	return had >= minTimeoutFactor*l.typicalLatency
}

// stream returns the reply whose body holds the slot.
func (r *startedAttempt) streamReply(answer fleet.Answer) fleet.Reply {
	b := &answerBody{attempt: r, answer: answer, recording: r.admitted.attempt.IdempotencyKey != "" && !r.admitted.attempt.Idempotent}
	// Recorded before the receiver can change it.
	if b.recording {
		b.header = answer.Header.Clone()
	}
	e := r.egress
	e.mu.Lock()
	load := e.loadFor(r.admitted.upstream, &r.admitted.attempt, time.Now())
	e.mu.Unlock()
	// Frees the slot of a body that nobody reads when its time is over.
	b.stopWatching = context.AfterFunc(r.ctx, func() { b.finish(r.ctx.Err()) })
	answer.Body = b

	return fleet.Reply{Outcome: fleet.Ran, Answer: answer, Load: load, ServiceTime: r.served}
}

// body passes an answer's body on and notices how it ended.
type answerBody struct {
	attempt      *startedAttempt
	answer       fleet.Answer
	stopWatching func() bool
	recording    bool
	header       http.Header
	recorded     bytes.Buffer
	// reading says that the receiver waits for the upstream.
	reading atomic.Bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	b.reading.Store(true)
	n, err := b.answer.Body.Read(p)
	if b.recording && b.recorded.Len()+n > maxRecordedBody {
		b.recording = false
		b.recorded = bytes.Buffer{}
	}
	if b.recording {
		b.recorded.Write(p[:n])
	}
	if err != nil {
		b.stopWatching()
		b.finish(err)
	}
	b.reading.Store(false)

	return n, err
}

// Close implements io.Closer. Closing a body before its end cancels the call.
func (b *answerBody) Close() error {
	err := b.answer.Body.Close()
	b.stopWatching()
	b.finish(nil)

	return err
}

// settle ends the attempt. A nil error means that the receiver closed the body
// before its end. A deadline that passes while the receiver is not reading is
// the receiver's and no evidence against the upstream.
func (b *answerBody) finish(err error) {
	observation := b.attempt.observation(fleet.CallAnswered, b.answer.Status)
	result := attempt.Result{Outcome: fleet.Ran, Status: b.answer.Status}
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		observation.Truncated = true
	case errors.Is(err, context.DeadlineExceeded) && b.reading.Load():
		observation.Result = fleet.CallTimedOut
	case errors.Is(err, io.EOF) && b.recording:
		result.HasAnswer, result.Header, result.Body = true, b.header, b.recorded.Bytes()
		if b.answer.Trailer != nil {
			result.Trailer = b.answer.Trailer().Clone()
		}
	}
	b.attempt.end(result, observation)
}
