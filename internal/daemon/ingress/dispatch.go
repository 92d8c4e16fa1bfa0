package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// maxAttempts bounds the upstreams that may run one request, unless its route
	// says otherwise.
	maxAttempts = 4
	// maxSends bounds the attempts of one request, with those that were refused
	// without running.
	maxSends = 10
	// noUpstreamPause is the pause before looking again when a service has
	// no upstream, so that a request survives the moment of a takeover.
	noUpstreamPause = 50 * time.Millisecond
	// noUpstreamPatience is how long a service may be without an upstream before
	// its requests are refused.
	noUpstreamPatience = time.Second
	// idempotencyHeader is the caller's own name for a request.
	idempotencyHeader = "Idempotency-Key"
)

// job is a request that passed the key check and the limits.
type job struct {
	id       string
	route    fleet.Route
	service  string
	account  fleet.ClientAccount
	request  fleet.Request
	nested   bool
	floor    floor
	arrived  time.Time
	deadline time.Time
	// version is that of the configuration in force.
	version uint64
}

// floor is the least capacity of a service that suspicion must leave.
type floor fleet.CapacityFloor

// Of returns the floor in slots.
func (f floor) Of(candidates []balance.Candidate) int {
	if f.Percent == 0 {
		return f.Slots
	}

	announced := 0
	for i := range candidates {
		announced += candidates[i].Slots
	}

	return (announced*f.Percent + 99) / 100
}

// attemptResult is a finished attempt, or what came of the cancel of a silent one.
type attemptResult struct {
	sent  *sent
	reply fleet.Reply
	// reclaimed says that the result is that of a cancel.
	reclaimed bool
	cancel    fleet.CancelResult
}

// sent is an attempt on its way.
type sent struct {
	candidate balance.Candidate
	attempt   fleet.Attempt
	began     time.Time
	result    attemptResult
	// accepted is set once the egress has said that the attempt arrived.
	accepted atomic.Bool
	// settled attempts have delivered the result that counts.
	settled bool
	// doubted attempts were given up without a result, which may still come.
	doubted bool
}

// dispatcher sends one request to upstreams until one answers.
type dispatcher struct {
	*Ingress
	job
	ctx     context.Context
	results chan *attemptResult
	// accepted has room for one signal that an attempt was accepted.
	accepted chan struct{}
	// running counts the attempts without a result that counts, and pending all
	// whose own result has not come.
	running int
	pending int
	// doubted counts the pending attempts that were given up.
	doubted int
	sends   int
	// reclaims counts the cancels of attempts that were not accepted.
	reclaims int
	// late is the last attempt that has not been accepted yet.
	late   *sent
	lateAt time.Time
	// tried are the upstreams that may have run the request, and visits those
	// that refused it without running it.
	tried  []string
	visits []balance.Refusal
	// free is an attempt that asked for a free slot and found one.
	free *sent
	// last is the most telling result so far: Unknown goes before NotRun.
	last fleet.Reply
	// failed is an upstream's own error answer, kept for the case that no
	// other upstream does better.
	failed *fleet.Reply
	// retry says that the next attempt is an extra one at an upstream, which
	// the retry budget has to allow.
	retry bool
	// repeat says that the request may be a call of a repeated run.
	repeat bool
}

func (in *Ingress) dispatch(ctx context.Context, j job) fleet.Reply {
	life := newLifetime(ctx, j.deadline)

	d := &dispatcher{
		Ingress: in, job: j, ctx: life.ctx,
		// Every attempt and every cancel can deliver its result without a reader.
		results: make(chan *attemptResult, maxSends+maxReclaims),
		last:    fleet.Refuse(fleet.ReasonNoUpstream, "the service has no upstream that takes requests"),
	}
	if in.AcceptTimeout > 0 {
		d.accepted = make(chan struct{}, 1)
	}

	d.count()

	reply := d.run()
	reply.Idempotent = j.route.Idempotent
	d.logDone(reply)

	if j.nested && in.NestedCalls != nil && failed(reply) {
		in.NestedCalls.NestedCallFailed()
	}

	if reply.Outcome != fleet.Ran {
		life.end()

		return reply
	}

	life.answered(d.running > 0)
	reply.Answer.Body = &tracked{ReadCloser: reply.Answer.Body, done: life.end}

	return reply
}

// count adds the request to the use of its service.
func (d *dispatcher) count() {
	if !d.nested || d.NestedCalls == nil {
		d.choices.request(d.service)

		return
	}

	repeat := d.NestedCalls.RepeatShare()
	d.repeat = repeat > 0

	if d.choices.call(d.service, repeat) {
		d.workers.Run(func() { d.choices.report(d.service) })
	}
}

func (d *dispatcher) run() fleet.Reply {
	defer d.dropOthers()

	for {
		if d.running == 0 && !d.next() && d.doubted == 0 {
			if d.failed != nil {
				return *d.failed
			}

			return d.last
		}

		select {
		case result := <-d.results:
			if d.settle(result) {
				d.dropFailed()

				return result.reply
			}
		case <-d.accepted:
		case <-d.silence():
			d.reclaim()
		case <-d.hedge():
			if d.choices.spendHedge(d.service) && d.start(true) {
				d.Metrics.Add("Hedges", 1)
			}
		case <-d.expired():
			return d.expire()
		}
	}
}

// expired returns a channel that closes when the request has no time left. While
// the fate of an attempt that was not accepted is unknown, its result is awaited:
// a cancel that the egress confirms makes the request one that has not run.
func (d *dispatcher) expired() <-chan struct{} {
	if d.late != nil && !d.late.accepted.Load() && !d.route.Idempotent {
		return nil
	}

	return d.ctx.Done()
}

// expire gives the request up while attempts are running.
func (d *dispatcher) expire() fleet.Reply {
	if d.failed != nil {
		return *d.failed
	}

	reply := fleet.Fail(fleet.ReasonDeadline, "the deadline passed while an upstream ran the request")
	if time.Now().Before(d.deadline) {
		reply = fleet.Fail(fleet.ReasonCancelled, "the caller went away")
	}

	reply.ID = d.last.ID
	if d.late != nil {
		reply.ID = d.late.attempt.ID
	}

	return reply
}

// next starts the next attempt, waiting for an upstream if there is none. It
// reports false when the request has to be given up.
func (d *dispatcher) next() bool {
	waitUntil := d.arrived.Add(noUpstreamPatience)

	for d.ctx.Err() == nil && d.mayRetry() {
		if d.start(false) {
			return true
		}

		if d.sends > 0 || time.Now().After(waitUntil) {
			break
		}

		select {
		case <-time.After(noUpstreamPause):
		case <-d.ctx.Done():
		}
	}

	if d.last.Outcome == fleet.NotRun && d.ctx.Err() != nil && d.sends > 0 {
		id := d.last.ID
		d.last = fleet.Refuse(fleet.ReasonDeadline, "the deadline passed before the request was run")
		d.last.ID = id
	}

	return false
}

// mayRetry reports whether another attempt is safe and allowed.
func (d *dispatcher) mayRetry() bool {
	switch {
	case d.sends == 0:
		return true
	case d.sends >= maxSends || len(d.tried) >= d.mostAttempts():
		return false
	case d.last.Outcome == fleet.Unknown && !d.route.Idempotent:
		return false
	case d.last.Reason == fleet.ReasonTooLarge || d.last.Reason == fleet.ReasonBadRequest:
		return false
	case d.retry && !d.choices.spendRetry(d.service):
		d.Metrics.Add("RetryBudgetEmpty", 1)

		return false
	}

	d.retry = false

	return true
}

func (d *dispatcher) mostAttempts() int {
	if d.route.MaxAttempts > 0 {
		return d.route.MaxAttempts
	}

	return maxAttempts
}
