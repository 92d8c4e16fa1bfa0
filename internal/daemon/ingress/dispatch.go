package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// defaultMaxAttempts bounds the upstreams that may run one request, if its route
	// sets no limit of its own.
	defaultMaxAttempts = 4
	// maxSends bounds the attempts of one request, including those that were refused
	// without running.
	maxSends = 10
	// noUpstreamInterval is the time between two searches for an upstream while a
	// service has none. A short gap, as when a new instance takes over, then fails no
	// requests.
	noUpstreamInterval = 50 * time.Millisecond
	// maxNoUpstreamWait is the time, from its arrival, for which a request waits for
	// the first upstream of its service before it is refused.
	maxNoUpstreamWait = time.Second
)

// job is a request that has passed the key check and the limits.
type job struct {
	id      string
	route   fleet.Route
	service string
	account fleet.ClientAccount
	request fleet.Request
	// nested is true for a call that the local upstream makes.
	nested   bool
	floor    capacityFloor
	arrived  time.Time
	deadline time.Time
	// version is the version of the configuration that the request was admitted with.
	version uint64
}

// capacityFloor is the minimum capacity of a service at upstreams that are not suspect.
// If they have less, suspect upstreams get requests as well.
type capacityFloor fleet.CapacityFloor

// minSlots returns the floor as a number of slots, given the candidates of the service.
func (f capacityFloor) minSlots(candidates []balance.Candidate) int {
	if f.Percent == 0 {
		return f.Slots
	}

	total := 0
	for i := range candidates {
		total += candidates[i].Slots
	}

	return (total*f.Percent + 99) / 100
}

// attemptResult is the result of an attempt, or of the cancel of an attempt that was not
// accepted in time.
type attemptResult struct {
	sent  *sentAttempt
	reply fleet.Reply
	// fromCancel is true for the result of a cancel. The field cancel is set only then.
	fromCancel bool
	cancel     fleet.CancelResult
}

// sentAttempt is an attempt that has been sent to an egress.
type sentAttempt struct {
	candidate balance.Candidate
	attempt   fleet.Attempt
	startedAt time.Time
	result    attemptResult
	// accepted is set when the egress has confirmed that the attempt arrived.
	accepted atomic.Bool
	// resolved is true once the result that counts for this attempt is known.
	resolved bool
	// givenUp is true if the attempt was resolved without its own result, which may
	// still arrive.
	givenUp bool
}

// dispatcher sends one request to upstreams until one answers. It starts a second attempt
// while another is running only as a hedge, or if the egress did not accept the first in
// time. Fields that change are used only in the goroutine of run.
type dispatcher struct {
	*Ingress
	job
	ctx     context.Context
	results chan *attemptResult
	// accepted signals that an attempt was accepted. Its buffer holds one signal. It is
	// nil if attempts need no confirmation of arrival.
	accepted chan struct{}
	// running counts the attempts that are not resolved. pending counts the attempts
	// whose own result has not arrived, including those that were given up.
	running int
	pending int
	// givenUp counts the pending attempts that were given up.
	givenUp int
	// sends counts the attempts that were sent.
	sends int
	// cancels counts the cancels of attempts that were not accepted in time.
	cancels int
	// latest is the attempt that was sent last, or nil if it is resolved. It should be
	// accepted by acceptBy.
	latest   *sentAttempt
	acceptBy time.Time
	// tried lists the upstreams that may have run the request. refusals holds the last
	// refusal of each upstream that refused the request without running it.
	tried    []string
	refusals []balance.Refusal
	// confirmedSlot is an attempt that only asked for a free slot and found one. The next
	// attempt goes to the same upstream.
	confirmedSlot *sentAttempt
	// lastFailure is the reply if no upstream answers: the result of the last failed
	// attempt, except that NotRun does not replace Unknown.
	lastFailure fleet.Reply
	// errorAnswer is an upstream's 5xx answer. It is the reply if no other upstream
	// gives a better one.
	errorAnswer *fleet.Reply
	// nextIsRetry is true if an attempt has already reached an upstream, so that the
	// next one needs the permission of the retry budget.
	nextIsRetry bool
	// mayBeRepeat is true if the request is a nested call and the local upstream is
	// running at least one repeated request, which may have made the call.
	mayBeRepeat bool
}

// dispatch runs an admitted request and returns its reply. The attempts end with the
// request, or when the answer's body is closed.
func (in *Ingress) dispatch(ctx context.Context, j job) fleet.Reply {
	life := newLifetime(ctx, j.deadline)

	d := &dispatcher{
		Ingress: in, job: j, ctx: life.ctx,
		// The buffer holds the result of every attempt and cancel, so that their
		// goroutines end although nobody receives from the channel any more.
		results:     make(chan *attemptResult, maxSends+maxCancels),
		lastFailure: fleet.Refuse(fleet.ReasonNoUpstream, "the service has no upstream that takes requests"),
	}
	if in.AcceptTimeout > 0 {
		d.accepted = make(chan struct{}, 1)
	}

	d.countUsage()

	reply := d.run()
	reply.Idempotent = j.route.Idempotent
	d.logRequest(reply)

	if j.nested && in.NestedCalls != nil && replyFailed(reply) {
		in.NestedCalls.NestedCallFailed()
	}

	if reply.Outcome != fleet.Ran {
		life.end()

		return reply
	}

	life.keepAnswer(d.running > 0)
	reply.Answer.Body = &trackedBody{ReadCloser: reply.Answer.Body, done: life.end}

	return reply
}

// countUsage adds the request to the usage of its service.
func (d *dispatcher) countUsage() {
	if !d.nested || d.NestedCalls == nil {
		d.balancer.countRequest(d.service)

		return
	}

	repeatShare := d.NestedCalls.RepeatShare()
	d.mayBeRepeat = repeatShare > 0

	if d.balancer.countNestedCall(d.service, repeatShare) {
		d.workers.Run(func() { d.balancer.reportUsage(d.service) })
	}
}

// run starts attempts and handles their results until the request has a reply.
func (d *dispatcher) run() fleet.Reply {
	defer d.closeOtherAnswers()

	for {
		if d.running == 0 && !d.startNext() && d.givenUp == 0 {
			if d.errorAnswer != nil {
				return *d.errorAnswer
			}

			return d.lastFailure
		}

		select {
		case result := <-d.results:
			if d.handleResult(result) {
				d.discardErrorAnswer()

				return result.reply
			}
		case <-d.accepted:
		case <-d.acceptTimer():
			d.cancelUnaccepted()
		case <-d.hedgeTimer():
			if d.balancer.spendHedge(d.service) && d.start(true) {
				d.Metrics.Add("Hedges", 1)
			}
		case <-d.expired():
			return d.giveUp()
		}
	}
}

// expired returns a channel that is closed when the request has no time left or the
// caller went away. It returns nil while a non-idempotent attempt has not been accepted:
// the attempt's result is then still awaited, because if the egress confirms the cancel
// of the attempt, the request is known not to have run.
func (d *dispatcher) expired() <-chan struct{} {
	if d.latest != nil && !d.latest.accepted.Load() && !d.route.Idempotent {
		return nil
	}

	return d.ctx.Done()
}

// giveUp returns the reply to a request that ends while attempts are running.
func (d *dispatcher) giveUp() fleet.Reply {
	if d.errorAnswer != nil {
		return *d.errorAnswer
	}

	reply := fleet.Fail(fleet.ReasonDeadline, "the deadline passed while an upstream ran the request")
	if time.Now().Before(d.deadline) {
		reply = fleet.Fail(fleet.ReasonCancelled, "the caller went away")
	}

	reply.ID = d.lastFailure.ID
	if d.latest != nil {
		reply.ID = d.latest.attempt.ID
	}

	return reply
}

// startNext starts the next attempt. If the service has no upstream for the first
// attempt, it waits for one. It returns false if there can be no further attempt.
func (d *dispatcher) startNext() bool {
	waitUntil := d.arrived.Add(maxNoUpstreamWait)

	for d.ctx.Err() == nil && d.allowAttempt() {
		if d.start(false) {
			return true
		}

		if d.sends > 0 || time.Now().After(waitUntil) {
			break
		}

		select {
		case <-time.After(noUpstreamInterval):
		case <-d.ctx.Done():
		}
	}

	if d.lastFailure.Outcome == fleet.NotRun && d.ctx.Err() != nil && d.sends > 0 {
		id := d.lastFailure.ID
		d.lastFailure = fleet.Refuse(fleet.ReasonDeadline, "the deadline passed before the request was run")
		d.lastFailure.ID = id
	}

	return false
}

// allowAttempt reports whether another attempt is safe and allowed. It takes a retry
// from the budget if the attempt needs one.
func (d *dispatcher) allowAttempt() bool {
	switch {
	case d.sends == 0:
		return true
	case d.sends >= maxSends || len(d.tried) >= d.maxAttempts():
		return false
	case d.lastFailure.Outcome == fleet.Unknown && !d.route.Idempotent:
		return false
	case d.lastFailure.Reason == fleet.ReasonTooLarge || d.lastFailure.Reason == fleet.ReasonBadRequest:
		return false
	case d.nextIsRetry && !d.balancer.spendRetry(d.service):
		d.Metrics.Add("RetryBudgetEmpty", 1)

		return false
	}

	d.nextIsRetry = false

	return true
}

// maxAttempts returns how many upstreams may run the request.
func (d *dispatcher) maxAttempts() int {
	if d.route.MaxAttempts > 0 {
		return d.route.MaxAttempts
	}

	return defaultMaxAttempts
}
