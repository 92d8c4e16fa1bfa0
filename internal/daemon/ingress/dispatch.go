package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// maxAttempts bounds the upstreams that one request is sent to.
	maxAttempts = 4
	// cancelTimeout is how long a confirmation of a cancel is waited for,
	// which is the time an answer may come after the request's deadline.
	cancelTimeout = 200 * time.Millisecond
	// noUpstreamPause is the pause before looking again when a service has
	// no upstream, so that a request survives the moment of a takeover.
	noUpstreamPause = 50 * time.Millisecond
	// idempotencyHeader is the caller's own name for a request.
	idempotencyHeader = "Idempotency-Key"
)

// job is a request that passed the key check and the limits.
type job struct {
	route    fleet.Route
	account  fleet.ClientAccount
	request  fleet.Request
	deadline time.Time
}

// attemptResult is a finished attempt.
type attemptResult struct {
	reply fleet.Reply
}

// dispatcher sends one request to upstreams until one answers.
type dispatcher struct {
	*Ingress
	job
	ctx     context.Context
	results chan *attemptResult
	running int
	tried   []string
	// triedSpace holds the first elements of tried.
	triedSpace [2]string
	// last is the most telling result so far: Unknown goes before NotRun.
	last fleet.Reply
	// failed is an upstream's own error answer, kept for the case that no
	// other upstream does better.
	failed *fleet.Reply
}

func (in *Ingress) dispatch(ctx context.Context, j job) fleet.Reply {
	life := newLifetime(ctx, j.deadline)

	d := &dispatcher{
		Ingress: in, job: j, ctx: life.ctx,
		// Every attempt can deliver its result without a reader.
		results: make(chan *attemptResult, maxAttempts),
		last:    fleet.Refuse(fleet.ReasonNoUpstream, "the service has no upstream that takes requests"),
	}
	in.choices.request(j.route.Service)

	reply := d.run()
	if reply.Outcome != fleet.Ran {
		life.end()

		return reply
	}

	life.answered(d.running > 0)
	reply.Answer.Body = &tracked{ReadCloser: reply.Answer.Body, done: life.end}

	return reply
}

func (d *dispatcher) run() fleet.Reply {
	defer d.dropOthers()

	for {
		if d.running == 0 && !d.next() {
			if d.failed != nil {
				return *d.failed
			}

			return d.last
		}

		select {
		case result := <-d.results:
			d.running--

			if d.settle(result) {
				d.dropFailed()

				return result.reply
			}
		case <-d.hedge():
			if d.choices.spendHedge(d.route.Service) && d.start(true) {
				d.Metrics.Add("Hedges", 1)
			}
		}
	}
}

// next starts the next attempt, waiting for an upstream if there is none. It
// reports false when the request has to be given up.
func (d *dispatcher) next() bool {
	for len(d.tried) < maxAttempts && d.ctx.Err() == nil && d.mayRetry() {
		if d.start(false) {
			return true
		}

		select {
		case <-time.After(noUpstreamPause):
		case <-d.ctx.Done():
		}
	}

	if d.last.Outcome == fleet.NotRun && d.ctx.Err() != nil && len(d.tried) > 0 {
		d.last = fleet.Refuse(fleet.ReasonDeadline, "the deadline passed before the request was run")
	}

	return false
}

// mayRetry reports whether another attempt is safe and allowed.
func (d *dispatcher) mayRetry() bool {
	if len(d.tried) == 0 {
		return true
	}

	if d.last.Outcome == fleet.Unknown && !d.route.Idempotent {
		return false
	}

	switch d.last.Reason { //nolint:exhaustive // other reasons mean that the upstream was not troubled
	case fleet.ReasonTooLarge, fleet.ReasonBadRequest:
		return false
	case fleet.ReasonDraining, fleet.ReasonStopping, fleet.ReasonStale, fleet.ReasonNoUpstream,
		fleet.ReasonQueueFull, fleet.ReasonDeadline:
		if d.last.Outcome == fleet.NotRun {
			return true
		}
	case fleet.ReasonUnreachable:
		if d.last.Outcome == fleet.NotRun {
			return true
		}
	}

	if !d.choices.spendRetry(d.route.Service) {
		d.Metrics.Add("RetryBudgetEmpty", 1)

		return false
	}

	return true
}

// start chooses an upstream and begins an attempt at it. It reports false if no
// upstream may take the attempt.
func (d *dispatcher) start(hedge bool) bool {
	request := balance.Request{Idempotent: d.route.Idempotent, Tried: d.tried, Hedge: hedge}

	key := d.request.Header.Get(idempotencyHeader)
	if key != "" && !d.route.Idempotent {
		request.IdempotencyOwner = d.account.Name + "\x00" + key
	}

	candidate, ok := d.choices.choose(d.Candidates.Candidates(d.route.Service), request)
	if !ok {
		return false
	}

	attempt := d.attempt(candidate, key)

	if len(d.tried) == 0 {
		d.tried = d.triedSpace[:0]
	}

	d.tried = append(d.tried, candidate.Upstream)
	d.running++
	d.Metrics.Add("Attempts", 1)

	d.workers.Run(func() {
		d.results <- &attemptResult{reply: d.try(candidate, attempt)}
	})

	return true
}

func (d *dispatcher) attempt(candidate balance.Candidate, idempotencyKey string) fleet.Attempt {
	return fleet.Attempt{
		ID: fleet.AttemptID{
			Ingress: d.Name, Incarnation: d.Incarnation, Sequence: d.sequence.Add(1),
		},
		EgressIncarnation: candidate.EgressIncarnation,
		Service:           d.route.Service,
		Route:             d.route.Name,
		Upstream:          candidate.Upstream,
		ClientAccount:     d.account.Name,
		Weight:            max(1, int(d.account.Rate)),
		Idempotent:        d.route.Idempotent,
		IdempotencyKey:    idempotencyKey,
		Budget:            time.Until(d.deadline),
		Request:           d.request,
	}
}

// try runs one attempt to its end and makes sure of its outcome.
func (d *dispatcher) try(candidate balance.Candidate, attempt fleet.Attempt) fleet.Reply {
	began := time.Now()
	reply := d.Egress.Run(d.ctx, candidate.Daemon, attempt)
	reply.ID = attempt.ID

	if reply.Outcome == fleet.Ran {
		return d.answered(candidate, reply, began)
	}

	abandoned := d.ctx.Err() != nil

	if reply.Outcome == fleet.Unknown && !d.route.Idempotent {
		reply = d.confirm(candidate, reply)
	}

	switch {
	case abandoned && reply.Reason != fleet.ReasonUnreachable:
		d.choices.abandoned(candidate.Upstream, time.Since(began))
	case reply.Reason == fleet.ReasonUnreachable:
		d.choices.unreached(candidate.Upstream)
		d.observe(candidate, false)
	default:
		d.choices.finished(d.route.Service, candidate.Upstream, reply.Load, time.Since(began), false)
		d.observe(candidate, true)
	}

	return reply
}

// answered reads the start of an answer, so that an answer cut short is found
// before any of it was passed on.
func (d *dispatcher) answered(candidate balance.Candidate, reply fleet.Reply, began time.Time) fleet.Reply {
	latency := time.Since(began)
	body, whole := peek(reply.Answer)

	d.choices.finished(d.route.Service, candidate.Upstream, reply.Load, latency, whole)
	d.observe(candidate, true)

	if !whole {
		_ = body.Close()

		d.Metrics.Add("TruncatedAnswers", 1)

		failure := fleet.Fail(fleet.ReasonTruncated, "the upstream's answer was cut short")
		failure.ID = reply.ID

		return failure
	}

	// The attempt's context ends with that of the request.
	reply.Answer.Body = body

	return reply
}

// confirm asks the egress to cancel an attempt of unknown outcome. Only its
// confirmation makes the attempt one that has not run.
func (d *dispatcher) confirm(candidate balance.Candidate, reply fleet.Reply) fleet.Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), cancelTimeout)
	defer cancel()

	if d.Egress.Cancel(ctx, candidate.Daemon, reply.ID, candidate.EgressIncarnation) != fleet.CancelNotRun {
		return reply
	}

	refusal := fleet.Refuse(reply.Reason, reply.Detail+"; it was cancelled before it ran")
	refusal.ID, refusal.Load = reply.ID, reply.Load

	return refusal
}

func (d *dispatcher) observe(candidate balance.Candidate, reached bool) {
	d.Evidence.ObservePath(fleet.PathObservation{
		Service: d.route.Service, Upstream: candidate.Upstream, Reached: reached,
	})
}

// settle takes a result and reports whether it ends the request.
func (d *dispatcher) settle(result *attemptResult) bool {
	if result.reply.Outcome == fleet.Ran {
		if !d.retryStatus(result.reply) {
			return true
		}

		d.dropFailed()
		d.failed = &result.reply
		d.last = fleet.Fail(fleet.ReasonUpstream, "the upstream answered "+http.StatusText(result.reply.Answer.Status))

		return false
	}

	if d.last.Outcome != fleet.Unknown || result.reply.Outcome == fleet.Unknown || len(d.tried) == 1 {
		d.last = result.reply
	}

	return false
}

func (d *dispatcher) dropFailed() {
	if d.failed != nil {
		_ = d.failed.Answer.Body.Close()
		d.failed = nil
	}
}

// retryStatus reports whether an answer is better replaced by another
// upstream's. It spends the retry budget only through mayRetry.
func (d *dispatcher) retryStatus(reply fleet.Reply) bool {
	if !d.route.Idempotent || len(d.tried) >= maxAttempts || time.Until(d.deadline) <= 0 {
		return false
	}

	switch reply.Answer.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return d.choices.hasRetry(d.route.Service)
	}

	return false
}

// hedge returns a channel that delivers when a second attempt is due.
func (d *dispatcher) hedge() <-chan time.Time {
	if !d.route.Idempotent || d.running != 1 || len(d.tried) > 1 {
		return nil
	}

	delay, ok := d.choices.hedgeDelay(d.route.Service)
	if !ok {
		return nil
	}

	return time.After(delay)
}

// dropOthers closes the answers of attempts that lost against a hedge when they
// come. The attempts run on until the deadline: cancelling them would keep the
// answers of slow upstreams out of the evidence, and hedges are few.
func (d *dispatcher) dropOthers() {
	rest := d.running
	if rest == 0 {
		return
	}

	go func() {
		for range rest {
			if result := <-d.results; result.reply.Outcome == fleet.Ran {
				_ = result.reply.Answer.Body.Close()
			}
		}
	}()
}
