package ingress

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// start chooses an upstream and starts an attempt at it. Hedge is true if another attempt
// of the request is running. It returns false if no upstream may get the attempt.
func (d *dispatcher) start(hedge bool) bool {
	now := time.Now()
	request := balance.Request{
		Idempotent: d.route.Idempotent, Tried: d.tried, Refusals: d.refusals, Hedge: hedge, UntilDeadline: d.deadline.Sub(now),
	}
	candidates := d.Candidates.Candidates(d.service)
	request.MinTrustedSlots = d.floor.minSlots(candidates)

	request.ServiceTime = d.balancer.expectedServiceTime(d.route.Name)

	request.UntilTarget = request.UntilDeadline
	if remaining := d.untilTarget(); remaining != 0 {
		request.UntilTarget = min(request.UntilDeadline, remaining)
	}

	key := d.request.Header.Get(fleet.IdempotencyKeyHeader)
	if key != "" && !d.route.Idempotent {
		request.AffinityKey = d.account.Name + "\x00" + key
	}

	if hedge {
		// A hedge is not sent to the upstream whose result is still awaited.
		request.Tried = append(slices.Clone(d.tried), d.latest.candidate.Upstream)
	}

	var (
		candidate balance.Candidate
		placement balance.Placement
		confirmed = d.confirmedSlot != nil // an egress has confirmed a free slot
	)

	if confirmed {
		candidate, placement = d.confirmedSlot.candidate, balance.Placement{NoWait: true, Forced: d.confirmedSlot.attempt.AllowSuspect}
		d.balancer.recordStart(candidate.Upstream)
		d.confirmedSlot = nil
	} else {
		var (
			wait time.Duration
			ok   bool
		)

		candidate, placement, wait, ok = d.balancer.place(candidates, request)
		if !ok {
			if d.lastFailure.Outcome == fleet.NotRun && len(d.refusals) > 0 {
				d.lastFailure.RetryAfter = d.retryAfter(wait)
			}

			return false
		}
	}

	s := &sentAttempt{candidate: candidate, attempt: d.newAttempt(candidate, placement, key), startedAt: now}

	if !confirmed && placement.NoWait && !candidate.SameZone && d.SlotCheckMinBytes > 0 && d.size() > d.SlotCheckMinBytes {
		s.attempt.CheckOnly, s.attempt.Request = true, fleet.Request{}
	}

	s.result.sent = s
	d.latest, d.acceptBy = s, now.Add(d.AcceptTimeout+transferTime(len(s.attempt.Request.Body)))

	if d.AcceptTimeout > 0 {
		s.attempt.OnAccepted = func() { d.markAccepted(s) }
	}

	d.running++
	d.pending++
	d.sends++
	d.Metrics.Add("Attempts", 1)

	d.workers.Run(func() {
		s.result.reply = d.runAttempt(s)
		d.results <- &s.result
	})

	return true
}

// minTransferRate is the rate, in bytes per second, at which the body of an attempt
// reaches its egress over the slowest link of an instance, 10 Mbit/s, with some room for
// other traffic.
const minTransferRate = 1 << 20

// transferTime returns how long a body of that many bytes may be on its way.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minTransferRate
}

// size returns the approximate size of the request in bytes.
func (d *dispatcher) size() int {
	size := len(d.request.Target) + len(d.request.Body)

	for name, values := range d.request.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}

	return size
}

// markAccepted records that an attempt has arrived at its egress.
func (d *dispatcher) markAccepted(s *sentAttempt) {
	s.accepted.Store(true)

	select {
	case d.accepted <- struct{}{}:
	default: // a signal is already pending
	}
}

// retryAfter returns the time after which the caller should try again. It is at least
// wait, after which a slot is expected to be free, and has a random part, so that the
// refused callers do not all return at the same time.
func (d *dispatcher) retryAfter(wait time.Duration) time.Duration {
	return max(wait, minRetryAfter) + d.balancer.jitter(retryAfterJitter)
}

const (
	// minRetryAfter gives upstreams without a free slot the time to finish a request.
	minRetryAfter = 100 * time.Millisecond
	// retryAfterJitter is the time over which the returns of refused callers are spread.
	retryAfterJitter = 200 * time.Millisecond
)

// newAttempt returns the attempt that carries the request to a candidate.
func (d *dispatcher) newAttempt(candidate balance.Candidate, placement balance.Placement, idempotencyKey string) fleet.Attempt {
	return fleet.Attempt{
		ID: fleet.AttemptID{
			Ingress: d.Name, Incarnation: d.Incarnation, Sequence: d.sequence.Add(1),
		},
		EgressIncarnation: candidate.EgressIncarnation,
		Service:           d.service,
		Route:             d.route.Name,
		Upstream:          candidate.Upstream,
		ClientAccount:     d.account.Name,
		Weight:            max(1, int(math.Min(d.account.Rate, math.MaxInt32))),
		Idempotent:        d.route.Idempotent,
		IdempotencyKey:    idempotencyKey,
		RequestID:         d.id,
		CallerService:     d.Service,
		Priority:          d.rank(),
		Nested:            d.nested,
		NoWait:            placement.NoWait,
		AllowSuspect:      placement.Forced,
		TrialAllowed:      d.canRetryElsewhere(),
		NoAlternative:     d.healthyUpstreamBusy(),
		Repeat:            d.mayBeRepeat || len(d.tried) > 0,
		ExpectedDuration:  d.balancer.expectedServiceTime(d.route.Name),
		TargetRemaining:   d.untilTarget(),
		DeadlineRemaining: time.Until(d.deadline),
		Request:           d.request,
	}
}

// healthyUpstreamBusy reports whether an upstream that is not suspect had no free slot.
func (d *dispatcher) healthyUpstreamBusy() bool {
	return slices.ContainsFunc(d.refusals, func(r balance.Refusal) bool { return r.WouldAccept && !r.Suspect })
}

// untilTarget returns the time left until the route's target latency, or 0 if the
// request has no target. Nested calls have none: the target that matters is the one of
// the request that made the call.
func (d *dispatcher) untilTarget() time.Duration {
	if d.route.TargetLatency == 0 || d.nested {
		return 0
	}

	return time.Until(d.arrived.Add(d.route.TargetLatency))
}

// canRetryElsewhere reports whether the request can be sent to another upstream if the
// next attempt fails.
func (d *dispatcher) canRetryElsewhere() bool {
	return d.route.Idempotent && len(d.tried)+1 < d.maxAttempts() && d.sends+1 < maxSends &&
		time.Until(d.deadline) > minTrialTime && d.balancer.retryAvailable(d.service)
}

// minTrialTime is the time that a request must have left to be sent to a suspect
// upstream as a trial, so that it can be retried at another one.
const minTrialTime = 300 * time.Millisecond

// rank returns the urgency of a request, from 0, the most urgent, to 15. It depends on
// the priority of the client account first and on the priority of the route second.
func (j *job) rank() int {
	return min(max(j.account.Priority-1, 0), priorityLevels-1)*priorityLevels + min(j.route.Priority, priorityLevels-1)
}

// priorityLevels is the number of different priorities of client accounts, and of
// routes, that rank distinguishes. Less urgent priorities count as the last level.
const priorityLevels = 4

// runAttempt runs one attempt to its end. If a non-idempotent attempt ends with an
// unknown outcome, it asks the egress whether the attempt has run.
func (d *dispatcher) runAttempt(s *sentAttempt) fleet.Reply {
	reply := d.Egress.Run(d.ctx, s.candidate.Daemon, s.attempt)
	reply.ID = s.attempt.ID

	if reply.Outcome == fleet.Ran {
		return d.checkAnswer(s, reply)
	}

	requestEnded := d.ctx.Err() != nil

	if reply.Outcome == fleet.Unknown && !d.route.Idempotent {
		reply = d.cancelUnknown(s, reply)
	}

	elapsed := time.Since(s.startedAt)

	switch {
	case requestEnded && reply.Reason != fleet.ReasonUnreachable:
		d.balancer.recordAbandoned(s.candidate.Upstream, elapsed)
	case reply.Reason == fleet.ReasonUnreachable:
		d.balancer.recordUnreachable(s.candidate.Upstream)
	default:
		d.balancer.recordResponse(d.service, s.candidate.Upstream, reply.Load, elapsed, false)
	}

	return reply
}

// checkAnswer reads the start of an answer, so that an answer that breaks off early is
// detected before any of it has been passed on to the caller.
func (d *dispatcher) checkAnswer(s *sentAttempt, reply fleet.Reply) fleet.Reply {
	latency := time.Since(s.startedAt)
	body, complete := peekBody(reply.Answer)

	d.balancer.recordResponse(d.service, s.candidate.Upstream, reply.Load, latency, complete)

	if complete && reply.Answer.Status < http.StatusBadRequest {
		d.balancer.recordServiceTime(d.route.Name, reply.ServiceTime)
	}

	if !complete {
		_ = body.Close()

		d.Metrics.Add("TruncatedAnswers", 1)

		failure := fleet.Fail(fleet.ReasonTruncated, "the upstream's answer was cut short")
		failure.ID = reply.ID

		return failure
	}

	// The body remains readable after this function has returned, since the context of the
	// attempt is the one of the whole request.
	reply.Answer.Body = body

	return reply
}
