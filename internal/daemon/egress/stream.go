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
	// maxRecordedBody bounds, in bytes, the body of an answer that is recorded for repeats
	// with the same idempotency key. The registry bounds the sum of all bodies.
	maxRecordedBody = 64 << 10
	// timeoutFraction is the fraction of its time after which an attempt that its ingress
	// cancels counts as timed out. The deadline at the ingress passes about one network
	// delay before the deadline at the egress.
	timeoutFraction = 0.9
	// latencyGain is the weight of the newest answer in the typical latency of an
	// upstream, which thus averages about 8 answers.
	latencyGain = 0.125
	// slowFactor is the multiple of the expected time to an answer above which the answer
	// counts as slow. About one in 50 ordinary requests takes this long.
	slowFactor = 3
	// minTimeoutFactor is the multiple of the typical latency that an attempt must have
	// had for its timeout to be evidence. After a long wait in the queue less time may be
	// left, and a timeout then says nothing about the upstream.
	minTimeoutFactor = 2
)

// startedAttempt is an attempt that occupies a slot of its upstream.
type startedAttempt struct {
	egress   *Egress
	admitted *admittedAttempt
	upstream fleet.Upstream
	// ingressContext is the context that was passed to Run. ctx is derived from it and
	// also ends at the deadline and with the egress.
	ingressContext, ctx context.Context
	cancel              context.CancelFunc
	startedAt           time.Time
	serviceTime         time.Duration
	endOnce             sync.Once
}

// newStartedAttempt prepares the call of an attempt whose slot is already counted.
func (e *Egress) newStartedAttempt(ctx context.Context, w *admittedAttempt) *startedAttempt {
	r := &startedAttempt{egress: e, admitted: w, ingressContext: ctx, startedAt: time.Now()}
	limited, cancel := context.WithDeadline(ctx, w.deadline)
	detachBase := context.AfterFunc(e.baseContext, cancel)
	r.ctx, r.cancel = limited, func() {
		detachBase()
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
		State: r.upstream.State, Result: result, Status: status, ServiceTime: r.serviceTime,
	}
}

// end frees the slot, records the outcome and, if it is evidence about the upstream,
// passes the observation to the observer. Only the first call has an effect; its result is
// the upstream's load.
func (r *startedAttempt) end(result attempt.Result, observation fleet.Observation) fleet.Load {
	var load fleet.Load
	r.endOnce.Do(func() {
		now, e, l := time.Now(), r.egress, r.admitted.upstream
		contextErr := r.ctx.Err()
		r.cancel()
		e.mu.Lock()
		counts := r.isEvidence(now, contextErr, &observation)
		if counts {
			e.updateSuspicion(l, r, observation, now)
		}
		e.registry.Finish(r.admitted.attempt.ID, result, now)
		l.inFlight--
		e.running--
		if r.admitted.attempt.Repeat {
			e.runningRepeats--
		}
		l.queue.ObserveServiceTime(now.Sub(r.startedAt))
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
			e.observer.Observe(observation)
		}
	})

	return load
}

// updateSuspicion updates the estimates of whether an upstream fails or is slow. An error
// answer does not count if a call made by a local upstream failed meanwhile, since that is
// the likely cause.
func (e *Egress) updateSuspicion(l *localUpstream, r *startedAttempt, o fleet.Observation, now time.Time) {
	if o.Result == fleet.CallMisdirected {
		return
	}
	failed := o.Result != fleet.CallAnswered || o.Truncated || o.Status >= http.StatusInternalServerError
	if failed && o.Result == fleet.CallAnswered && !o.Truncated && e.nestedFailedAt.After(r.startedAt) {
		return
	}
	l.suspicion.Observe(failed, now)
	l.lastTrialAt = time.Time{}
	if failed {
		l.lastTrialAt = now
	}
	if expected := r.admitted.attempt.ExpectedDuration; expected > 0 && !failed {
		l.updateSlowness(o.ServiceTime > slowFactor*expected, r.startedAt, now)
	}
}

// updateSlowness updates the estimate of whether an upstream is slow. A pause of its
// instance delays all requests that are running there, so slow answers to requests that
// overlap count as one.
func (l *localUpstream) updateSlowness(slow bool, started, now time.Time) {
	if slow {
		if started.Before(l.lastSlowEnd) {
			return
		}
		l.lastSlowEnd = now
	}
	l.slowness.Observe(slow, now)
}

// isEvidence reports whether an observation says something about the upstream. A call that
// was cancelled by the ingress or by the stop of the daemon says nothing, unless the
// ingress cancelled it after nearly all of the attempt's time; it then becomes a timeout.
// A timeout says nothing if the time was too short even for a healthy upstream. Answers
// also update the typical latency.
func (r *startedAttempt) isEvidence(now time.Time, contextErr error, observation *fleet.Observation) bool {
	l, available := r.admitted.upstream, r.admitted.deadline.Sub(r.startedAt)
	switch observation.Result {
	case fleet.CallShed, fleet.CallMisdirected, fleet.CallForeign:
		return true
	case fleet.CallAnswered:
		if l.typicalLatency == 0 {
			l.typicalLatency = r.serviceTime
		}
		l.typicalLatency += time.Duration(latencyGain * float64(r.serviceTime-l.typicalLatency))

		return true
	case fleet.CallFailed, fleet.CallNotSent:
		if !errors.Is(contextErr, context.Canceled) {
			return true
		}
		used := now.Sub(r.startedAt)
		if r.ingressContext.Err() == nil || observation.Result == fleet.CallNotSent || float64(used) < timeoutFraction*float64(available) {
			return false
		}
		observation.Result = fleet.CallTimedOut
	case fleet.CallTimedOut:
	}

	return available >= minTimeoutFactor*l.typicalLatency
}

// streamReply returns the reply to an answered attempt. The slot stays in use until the
// reply's body has ended or is closed.
func (r *startedAttempt) streamReply(answer fleet.Answer) fleet.Reply {
	b := &answerBody{attempt: r, answer: answer, recording: r.admitted.attempt.IdempotencyKey != "" && !r.admitted.attempt.Idempotent}
	// The header is copied before the receiver can change it.
	if b.recording {
		b.header = answer.Header.Clone()
	}
	e := r.egress
	e.mu.Lock()
	load := e.loadFor(r.admitted.upstream, &r.admitted.attempt, time.Now())
	e.mu.Unlock()
	// At the deadline this frees the slot, although nobody may be reading the body.
	b.stopWatching = context.AfterFunc(r.ctx, func() { b.finish(r.ctx.Err()) })
	answer.Body = b

	return fleet.Reply{Outcome: fleet.Ran, Answer: answer, Load: load, ServiceTime: r.serviceTime}
}

// answerBody is the body of an upstream's answer. It detects how the body ended, and records
// the body if the attempt has an idempotency key.
type answerBody struct {
	attempt      *startedAttempt
	answer       fleet.Answer
	stopWatching func() bool
	recording    bool
	header       http.Header
	recorded     bytes.Buffer
	// reading is true while the receiver is waiting for the upstream in Read.
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

// Close implements io.Closer. It cancels the call if the body has not ended.
func (b *answerBody) Close() error {
	err := b.answer.Body.Close()
	b.stopWatching()
	b.finish(nil)

	return err
}

// finish ends the attempt, with the error that ended the body, or nil if the receiver
// closed it. If the deadline passes while the receiver is not reading, the receiver is the
// cause, and the observation is not a timeout of the upstream.
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
