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
func (e *Egress) newStartedAttempt(ctx context.Context, admitted *admittedAttempt) *startedAttempt {
	s := &startedAttempt{egress: e, admitted: admitted, ingressContext: ctx, startedAt: time.Now()}
	limited, cancel := context.WithDeadline(ctx, admitted.deadline)
	detachBase := context.AfterFunc(e.baseContext, cancel)
	s.ctx, s.cancel = limited, func() {
		detachBase()
		cancel()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.upstream = admitted.upstream.announcement
	s.upstream.State = e.effectiveState(admitted.upstream)

	return s
}

func (s *startedAttempt) observation(result fleet.CallResult, status int) fleet.Observation {
	a := s.admitted.attempt

	return fleet.Observation{
		Service: a.Service, Upstream: a.Upstream, ClientAccount: a.ClientAccount, Route: a.Route,
		State: s.upstream.State, Result: result, Status: status, ServiceTime: s.serviceTime,
	}
}

// end frees the slot, records the outcome and, if it is evidence about the upstream,
// passes the observation to the observer. Only the first call has an effect; its result is
// the upstream's load.
func (s *startedAttempt) end(result attempt.Result, observation fleet.Observation) fleet.Load {
	var load fleet.Load
	s.endOnce.Do(func() {
		now, e, u := time.Now(), s.egress, s.admitted.upstream
		contextErr := s.ctx.Err()
		s.cancel()
		e.mu.Lock()
		isEvidence := s.isEvidence(now, contextErr, &observation)
		if isEvidence {
			e.updateSuspicion(u, s, observation, now)
		}
		e.registry.Finish(s.admitted.attempt.ID, result, now)
		u.inFlight--
		e.running--
		if s.admitted.attempt.Repeat {
			e.runningRepeats--
		}
		u.queue.ObserveServiceTime(now.Sub(s.startedAt))
		e.startQueued(u)
		e.deleteIfIdle(u)
		if e.stopping && e.running == 0 {
			close(e.idle)
		}
		load = e.loadFor(u, &s.admitted.attempt, now)
		e.mu.Unlock()
		e.countResult(observation)
		s.logAttempt(observation, isEvidence, load)
		if isEvidence {
			e.observer.Observe(observation)
		}
	})

	return load
}

// updateSuspicion updates the estimates of whether an upstream fails or is slow. An error
// answer does not count if a call made by a local upstream failed meanwhile, since that is
// the likely cause.
func (e *Egress) updateSuspicion(u *localUpstream, s *startedAttempt, o fleet.Observation, now time.Time) {
	if o.Result == fleet.CallMisdirected {
		return
	}
	failed := o.Result != fleet.CallAnswered || o.Truncated || o.Status >= http.StatusInternalServerError
	if failed && o.Result == fleet.CallAnswered && !o.Truncated && e.nestedFailedAt.After(s.startedAt) {
		return
	}
	u.suspicion.Observe(failed, now)
	u.lastTrialAt = time.Time{}
	if failed {
		u.lastTrialAt = now
	}
	if expected := s.admitted.attempt.ExpectedDuration; expected > 0 && !failed {
		u.updateSlowness(o.ServiceTime > slowFactor*expected, s.startedAt, now)
	}
}

// updateSlowness updates the estimate of whether an upstream is slow. A pause of its
// instance delays all requests that are running there, so slow answers to requests that
// overlap count as one.
func (u *localUpstream) updateSlowness(slow bool, started, now time.Time) {
	if slow {
		if started.Before(u.lastSlowEnd) {
			return
		}
		u.lastSlowEnd = now
	}
	u.slowness.Observe(slow, now)
}

// isEvidence reports whether an observation says something about the upstream. A call that
// was cancelled by the ingress or by the stop of the daemon says nothing, unless the
// ingress cancelled it after nearly all of the attempt's time; it then becomes a timeout.
// A timeout says nothing if the time was too short even for a healthy upstream. Answers
// also update the typical latency.
func (s *startedAttempt) isEvidence(now time.Time, contextErr error, observation *fleet.Observation) bool {
	u, available := s.admitted.upstream, s.admitted.deadline.Sub(s.startedAt)
	switch observation.Result {
	case fleet.CallShed, fleet.CallMisdirected, fleet.CallForeign:
		return true
	case fleet.CallAnswered:
		if u.typicalLatency == 0 {
			u.typicalLatency = s.serviceTime
		}
		u.typicalLatency += time.Duration(latencyGain * float64(s.serviceTime-u.typicalLatency))

		return true
	case fleet.CallFailed, fleet.CallNotSent:
		if !errors.Is(contextErr, context.Canceled) {
			return true
		}
		used := now.Sub(s.startedAt)
		if s.ingressContext.Err() == nil || observation.Result == fleet.CallNotSent || float64(used) < timeoutFraction*float64(available) {
			return false
		}
		observation.Result = fleet.CallTimedOut
	case fleet.CallTimedOut:
	}

	return available >= minTimeoutFactor*u.typicalLatency
}

// streamReply returns the reply to an answered attempt. The slot stays in use until the
// reply's body has ended or is closed.
func (s *startedAttempt) streamReply(answer fleet.Answer) fleet.Reply {
	b := &answerBody{attempt: s, answer: answer, recording: s.admitted.attempt.IdempotencyKey != "" && !s.admitted.attempt.Idempotent}
	// The header is copied before the receiver can change it.
	if b.recording {
		b.header = answer.Header.Clone()
	}
	e := s.egress
	e.mu.Lock()
	load := e.loadFor(s.admitted.upstream, &s.admitted.attempt, time.Now())
	e.mu.Unlock()
	// At the deadline this frees the slot, although nobody may be reading the body.
	b.detachContext = context.AfterFunc(s.ctx, func() { b.finish(s.ctx.Err()) })
	answer.Body = b

	return fleet.Reply{Outcome: fleet.Ran, Answer: answer, Load: load, ServiceTime: s.serviceTime}
}

// answerBody is the body of an upstream's answer. It detects how the body ended, and records
// the body if the attempt has an idempotency key.
type answerBody struct {
	attempt       *startedAttempt
	answer        fleet.Answer
	detachContext func() bool
	recording     bool
	header        http.Header
	recorded      bytes.Buffer
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
		b.detachContext()
		b.finish(err)
	}
	b.reading.Store(false)

	return n, err
}

// Close implements io.Closer. It cancels the call if the body has not ended.
func (b *answerBody) Close() error {
	err := b.answer.Body.Close()
	b.detachContext()
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
