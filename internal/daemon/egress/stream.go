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
	timeoutShare = 0.9
	// typicalGain is the weight of the newest answer in the typical time of a
	// lane: about 8 answers of memory.
	typicalGain = 0.125
	// slowFactor is how many times the usual time to an answer counts as slow.
	// About one in 50 ordinary requests takes as long.
	slowFactor = 3
	// fairChance is how many typical times an attempt must have had for its
	// timeout to count. Less is left after a long wait in the queue, which
	// says nothing about the upstream.
	fairChance = 2
)

// run is a started attempt.
type run struct {
	egress   *Egress
	waiter   *waiter
	upstream fleet.Upstream
	// parent is the ingress's context, ctx the one with the deadline.
	parent, ctx context.Context
	cancel      context.CancelFunc
	started     time.Time
	served      time.Duration
	once        sync.Once
}

func (e *Egress) newRun(ctx context.Context, w *waiter) *run {
	r := &run{egress: e, waiter: w, parent: ctx, started: time.Now()}
	limited, cancel := context.WithDeadline(ctx, w.deadline)
	unhook := context.AfterFunc(e.base, cancel)
	r.ctx, r.cancel = limited, func() {
		unhook()
		cancel()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.upstream = w.lane.upstream
	r.upstream.State = e.state(w.lane)

	return r
}

func (r *run) observation(result fleet.CallResult, status int) fleet.Observation {
	a := r.waiter.attempt

	return fleet.Observation{
		Service: a.Service, Upstream: a.Upstream, ClientAccount: a.ClientAccount, Route: a.Route,
		State: r.upstream.State, Result: result, Status: status, ServiceTime: r.served,
	}
}

// end frees the slot, records the outcome and reports the observation. Only
// the first call has an effect.
func (r *run) end(result attempt.Result, observation fleet.Observation) fleet.Load {
	var load fleet.Load
	r.once.Do(func() {
		now, e, l := time.Now(), r.egress, r.waiter.lane
		cancelled := r.ctx.Err()
		r.cancel()
		e.mu.Lock()
		counts := r.counts(now, cancelled, &observation)
		if counts {
			e.judge(l, r, observation, now)
		}
		e.registry.Finish(r.waiter.attempt.ID, result, now)
		l.inFlight--
		e.running--
		if r.waiter.attempt.Repeat {
			e.repeats--
		}
		l.queue.ObserveServiceTime(now.Sub(r.started))
		e.dispatch(l)
		e.forget(l)
		if e.stopping && e.running == 0 {
			close(e.idle)
		}
		load = e.load(l, &r.waiter.attempt, now)
		e.mu.Unlock()
		e.countResult(observation)
		r.logRun(observation, counts, load)
		if counts {
			e.evidence.Observe(observation)
		}
	})

	return load
}

// judge updates the suspicion of an upstream. A failure is not held against it if
// a call that it made meanwhile failed, which is the likely cause.
func (e *Egress) judge(l *lane, r *run, o fleet.Observation, now time.Time) {
	if o.Result == fleet.CallMisdirected {
		return
	}
	failed := o.Result != fleet.CallAnswered || o.Truncated || o.Status >= http.StatusInternalServerError
	if failed && o.Result == fleet.CallAnswered && !o.Truncated && e.nestedFailedAt.After(r.started) {
		return
	}
	l.suspicion.Observe(failed, now)
	l.triedAt = time.Time{}
	if failed {
		l.triedAt = now
	}
	if expected := r.waiter.attempt.ExpectedDuration; expected > 0 && !failed {
		l.judgeSpeed(o.ServiceTime > slowFactor*expected, r.started, now)
	}
}

// judgeSpeed updates the suspicion that an upstream is slow. One pause of its
// instance delays all requests that run there at the time, and counts once.
func (l *lane) judgeSpeed(slow bool, started, now time.Time) {
	if slow {
		if started.Before(l.slowAt) {
			return
		}
		l.slowAt = now
	}
	l.slowness.Observe(slow, now)
}

// counts reports whether an observation says something about the upstream. A
// call that the ingress or the daemon's stop cancelled says nothing, unless
// the upstream had nearly all the attempt's time. Neither does a timeout that
// a healthy upstream would not have met.
func (r *run) counts(now time.Time, ended error, observation *fleet.Observation) bool {
	l, had := r.waiter.lane, r.waiter.deadline.Sub(r.started)
	switch observation.Result {
	case fleet.CallShed, fleet.CallMisdirected, fleet.CallForeign:
		return true
	case fleet.CallAnswered:
		if l.typical == 0 {
			l.typical = r.served
		}
		l.typical += time.Duration(typicalGain * float64(r.served-l.typical))

		return true
	case fleet.CallFailed, fleet.CallNotSent:
		if !errors.Is(ended, context.Canceled) {
			return true
		}
		used := now.Sub(r.started)
		if r.parent.Err() == nil || observation.Result == fleet.CallNotSent || float64(used) < timeoutShare*float64(had) {
			return false
		}
		observation.Result = fleet.CallTimedOut
	case fleet.CallTimedOut:
	}

	return had >= fairChance*l.typical
}

// stream returns the reply whose body holds the slot.
func (r *run) stream(answer fleet.Answer) fleet.Reply {
	b := &body{run: r, answer: answer, recording: r.waiter.attempt.IdempotencyKey != "" && !r.waiter.attempt.Idempotent}
	// Recorded before the receiver can change it.
	if b.recording {
		b.header = answer.Header.Clone()
	}
	e := r.egress
	e.mu.Lock()
	load := e.load(r.waiter.lane, &r.waiter.attempt, time.Now())
	e.mu.Unlock()
	// Frees the slot of a body that nobody reads when its time is over.
	b.unhook = context.AfterFunc(r.ctx, func() { b.settle(r.ctx.Err()) })
	answer.Body = b

	return fleet.Reply{Outcome: fleet.Ran, Answer: answer, Load: load, ServiceTime: r.served}
}

// body passes an answer's body on and notices how it ended.
type body struct {
	run       *run
	answer    fleet.Answer
	unhook    func() bool
	recording bool
	header    http.Header
	kept      bytes.Buffer
	// reading says that the receiver waits for the upstream.
	reading atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.reading.Store(true)
	n, err := b.answer.Body.Read(p)
	if b.recording && b.kept.Len()+n > maxRecordedBody {
		b.recording = false
		b.kept = bytes.Buffer{}
	}
	if b.recording {
		b.kept.Write(p[:n])
	}
	if err != nil {
		b.unhook()
		b.settle(err)
	}
	b.reading.Store(false)

	return n, err
}

// Close implements io.Closer. Closing a body before its end cancels the call.
func (b *body) Close() error {
	err := b.answer.Body.Close()
	b.unhook()
	b.settle(nil)

	return err
}

// settle ends the attempt. A nil error means that the receiver closed the body
// before its end. A deadline that passes while the receiver is not reading is
// the receiver's and no evidence against the upstream.
func (b *body) settle(err error) {
	observation := b.run.observation(fleet.CallAnswered, b.answer.Status)
	result := attempt.Result{Outcome: fleet.Ran, Status: b.answer.Status}
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		observation.Truncated = true
	case errors.Is(err, context.DeadlineExceeded) && b.reading.Load():
		observation.Result = fleet.CallTimedOut
	case errors.Is(err, io.EOF) && b.recording:
		result.HasAnswer, result.Header, result.Body = true, b.header, b.kept.Bytes()
		if b.answer.Trailer != nil {
			result.Trailer = b.answer.Trailer().Clone()
		}
	}
	b.run.end(result, observation)
}
