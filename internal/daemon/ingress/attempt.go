package ingress

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// start chooses an upstream and begins an attempt at it. It reports false if no
// upstream may take the attempt.
func (d *dispatcher) start(hedge bool) bool {
	now := time.Now()
	request := balance.Request{
		Idempotent: d.route.Idempotent, Tried: d.tried, Refusals: d.visits, Hedge: hedge, UntilDeadline: d.deadline.Sub(now),
	}
	candidates := d.Candidates.Candidates(d.service)
	request.MinTrustedSlots = d.floor.Of(candidates)

	request.ServiceTime = d.choices.expected(d.route.Name)

	request.UntilTarget = request.UntilDeadline
	if left := d.targetLeft(); left != 0 {
		request.UntilTarget = min(request.UntilDeadline, left)
	}

	key := d.request.Header.Get(idempotencyHeader)
	if key != "" && !d.route.Idempotent {
		request.AffinityKey = d.account.Name + "\x00" + key
	}

	if hedge {
		// An upstream without a result is not chosen a second time.
		request.Tried = append(slices.Clone(d.tried), d.late.candidate.Upstream)
	}

	var (
		candidate balance.Candidate
		placement balance.Placement
		asked     = d.free != nil
	)

	if asked {
		candidate, placement = d.free.candidate, balance.Placement{NoWait: true, Forced: d.free.attempt.AllowSuspect}
		d.choices.started(candidate.Upstream)
		d.free = nil
	} else {
		var (
			wait time.Duration
			ok   bool
		)

		candidate, placement, wait, ok = d.choices.place(candidates, request)
		if !ok {
			if d.last.Outcome == fleet.NotRun && len(d.visits) > 0 {
				d.last.RetryAfter = d.comeBack(wait)
			}

			return false
		}
	}

	s := &sent{candidate: candidate, attempt: d.attempt(candidate, placement, key), began: now}

	if !asked && placement.NoWait && !candidate.SameZone && d.SlotCheckMinBytes > 0 && d.size() > d.SlotCheckMinBytes {
		s.attempt.CheckOnly, s.attempt.Request = true, fleet.Request{}
	}

	s.result.sent = s
	d.late, d.lateAt = s, now.Add(d.AcceptTimeout)

	if d.AcceptTimeout > 0 {
		s.attempt.OnAccepted = func() { d.accept(s) }
	}

	d.running++
	d.pending++
	d.sends++
	d.Metrics.Add("Attempts", 1)

	d.workers.Run(func() {
		s.result.reply = d.try(s)
		d.results <- &s.result
	})

	return true
}

// size estimates the bytes of the request.
func (d *dispatcher) size() int {
	size := len(d.request.Target) + len(d.request.Body)

	for name, values := range d.request.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}

	return size
}

// accept notes that an attempt has arrived at its egress.
func (d *dispatcher) accept(s *sent) {
	s.accepted.Store(true)

	select {
	case d.accepted <- struct{}{}:
	default: // a signal is waiting already
	}
}

// comeBack tells the caller when a slot is expected to be free. Different
// callers get different times, so that they do not return together.
func (d *dispatcher) comeBack(wait time.Duration) time.Duration {
	return max(wait, leastComeBack) + d.choices.spread(comeBackSpread)
}

const (
	// leastComeBack leaves upstreams that refuse the time to finish a request.
	leastComeBack = 100 * time.Millisecond
	// comeBackSpread is the time over which refused callers return.
	comeBackSpread = 200 * time.Millisecond
)

func (d *dispatcher) attempt(candidate balance.Candidate, placement balance.Placement, idempotencyKey string) fleet.Attempt {
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
		TrialAllowed:      d.canFail(),
		NoAlternative:     d.pressed(),
		Repeat:            d.repeat || len(d.tried) > 0,
		ExpectedDuration:  d.choices.expected(d.route.Name),
		TargetRemaining:   d.targetLeft(),
		DeadlineRemaining: time.Until(d.deadline),
		Request:           d.request,
	}
}

// pressed reports whether an upstream without suspicion had no free slot.
func (d *dispatcher) pressed() bool {
	return slices.ContainsFunc(d.visits, func(v balance.Refusal) bool { return v.WouldAccept && !v.Suspect })
}

// targetLeft returns the time within which an answer is worth most, or 0 if there
// is no target. A late answer to the call of an upstream is as good as any, since
// the request that made it is what counts.
func (d *dispatcher) targetLeft() time.Duration {
	if d.route.TargetLatency == 0 || d.nested {
		return 0
	}

	return time.Until(d.arrived.Add(d.route.TargetLatency))
}

// canFail reports whether the request can be sent to another upstream if the next
// attempt fails.
func (d *dispatcher) canFail() bool {
	return d.route.Idempotent && len(d.tried)+1 < d.mostAttempts() && d.sends+1 < maxSends &&
		time.Until(d.deadline) > trialPatience && d.choices.hasRetry(d.service)
}

// trialPatience is the time that a request must have left to be sent to a suspect
// upstream.
const trialPatience = 300 * time.Millisecond

// rank orders requests by the priority of the client account and, where that is
// equal, of the route; 0 is the most urgent.
func (j *job) rank() int {
	return min(max(j.account.Priority-1, 0), ranks-1)*ranks + min(j.route.Priority, ranks-1)
}

// ranks is how many priorities of accounts, and of routes, are told apart.
const ranks = 4

// try runs one attempt to its end and makes sure of its outcome.
func (d *dispatcher) try(s *sent) fleet.Reply {
	reply := d.Egress.Run(d.ctx, s.candidate.Daemon, s.attempt)
	reply.ID = s.attempt.ID

	if reply.Outcome == fleet.Ran {
		return d.answered(s, reply)
	}

	abandoned := d.ctx.Err() != nil

	if reply.Outcome == fleet.Unknown && !d.route.Idempotent {
		reply = d.confirm(s, reply)
	}

	elapsed := time.Since(s.began)

	switch {
	case abandoned && reply.Reason != fleet.ReasonUnreachable:
		d.choices.abandoned(s.candidate.Upstream, elapsed)
	case reply.Reason == fleet.ReasonUnreachable:
		d.choices.unreached(s.candidate.Upstream)
	default:
		d.choices.finished(d.service, s.candidate.Upstream, reply.Load, elapsed, false)
	}

	return reply
}

// answered reads the start of an answer, so that an answer cut short is found
// before any of it was passed on.
func (d *dispatcher) answered(s *sent, reply fleet.Reply) fleet.Reply {
	latency := time.Since(s.began)
	body, whole := peek(reply.Answer)

	d.choices.finished(d.service, s.candidate.Upstream, reply.Load, latency, whole)

	if whole && reply.Answer.Status < http.StatusBadRequest {
		d.choices.served(d.route.Name, reply.ServiceTime)
	}

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
