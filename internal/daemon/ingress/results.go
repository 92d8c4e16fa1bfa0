package ingress

import (
	"net/http"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// handleResult handles a result and reports whether it ends the request.
func (d *dispatcher) handleResult(result *attemptResult) bool {
	s, reply := result.sent, result.reply

	switch {
	case result.fromCancel && result.cancel != fleet.CancelNotRun:
		d.handleUnconfirmedCancel(s, result.cancel)

		return false
	case result.fromCancel && s.resolved:
		return false
	case !result.fromCancel:
		d.pending--
	}

	if s.givenUp {
		return d.handleLateResult(result)
	}

	if s.resolved {
		d.closeAnswer(result)

		return false
	}

	d.resolve(s)

	if reply.Outcome == fleet.Ran {
		if !d.shouldRetryStatus(s, reply) {
			return true
		}

		d.logAttempt(s, reply)

		d.discardErrorAnswer()
		d.errorAnswer = &result.reply
		d.tried = append(d.tried, s.candidate.Upstream)
		d.nextIsRetry = true
		d.lastFailure = fleet.Fail(fleet.ReasonUpstream, "the upstream answered "+http.StatusText(reply.Answer.Status))

		return false
	}

	d.logAttempt(s, reply)
	d.recordFailure(s, reply)

	return false
}

// resolve marks an attempt as resolved, so that later results of it do not count.
func (d *dispatcher) resolve(s *sentAttempt) {
	s.resolved = true
	d.running--

	if d.latest == s {
		d.latest = nil
	}
}

// closeAnswer closes the answer of a result that is not passed on to the caller.
func (d *dispatcher) closeAnswer(result *attemptResult) {
	if result.reply.Outcome == fleet.Ran && result.reply.Answer.Body != nil {
		_ = result.reply.Answer.Body.Close()
	}
}

// recordFailure records the reply of an attempt that brought no answer, for the choice of
// the next upstream and for the reply to the request.
func (d *dispatcher) recordFailure(s *sentAttempt, reply fleet.Reply) {
	if d.lastFailure.Outcome != fleet.Unknown || reply.Outcome == fleet.Unknown || d.sends == 1 {
		d.lastFailure = reply
	}

	upstream := s.candidate.Upstream
	if reply.Outcome == fleet.Unknown {
		d.tried = append(d.tried, upstream)
		d.nextIsRetry = true

		return
	}

	if reply.Reason == fleet.ReasonFree {
		d.confirmedSlot = s

		return
	}

	refusal := balance.Refusal{Upstream: upstream, Load: reply.Load}

	switch reply.Reason { //nolint:exhaustive // any other reason means that the upstream takes no requests at present
	case fleet.ReasonBusy:
		refusal.WouldAccept = true
	case fleet.ReasonSuspect:
		refusal.WouldAccept, refusal.Suspect = true, true
	case fleet.ReasonShed, fleet.ReasonMisdirected:
		// The request has reached an upstream, so the next attempt is a retry.
		d.nextIsRetry = true
	}

	index := slices.IndexFunc(d.refusals, func(r balance.Refusal) bool { return r.Upstream == upstream })
	if index < 0 {
		d.refusals = append(d.refusals, refusal)
	} else {
		// This attempt was allowed to wait there and was refused all the same, so the
		// request can no longer wait at this upstream.
		d.refusals[index] = balance.Refusal{Upstream: upstream, Load: reply.Load}
	}
}

// discardErrorAnswer closes the error answer that a better reply replaces, if any.
func (d *dispatcher) discardErrorAnswer() {
	if d.errorAnswer != nil {
		_ = d.errorAnswer.Answer.Body.Close()
		d.errorAnswer = nil
	}
}

// shouldRetryStatus reports whether the request should be sent to another upstream
// because of the answer's status. It takes nothing from the retry budget; allowAttempt
// does.
func (d *dispatcher) shouldRetryStatus(s *sentAttempt, reply fleet.Reply) bool {
	if !d.route.Idempotent || len(d.tried)+1 >= d.maxAttempts() || d.sends >= maxSends {
		return false
	}

	// A second upstream needs about as long as the first. With less than half of this
	// time left, a retry would be in vain.
	if time.Until(d.deadline) <= min(time.Since(s.startedAt)/2, reply.ServiceTime/2) {
		return false
	}

	switch reply.Answer.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return d.balancer.retryAvailable(d.service)
	}

	return false
}

// hedgeTimer returns a channel that delivers when a hedge is due, or nil if none is.
func (d *dispatcher) hedgeTimer() <-chan time.Time {
	if !d.route.Idempotent || d.route.MaxAttempts > 0 || d.running != 1 || d.sends > 1 || d.latest == nil {
		return nil
	}

	delay, ok := d.balancer.hedgeDelay(d.service)
	if !ok {
		return nil
	}

	return time.After(delay)
}

// closeOtherAnswers closes the answers of the attempts that are still pending when the
// request has its reply, as they arrive. The attempts may run until the deadline: if they
// were cancelled, the egress would not learn how slow its upstream is, and hedges are
// few.
func (d *dispatcher) closeOtherAnswers() {
	pending := d.pending
	if pending == 0 {
		return
	}

	go func() {
		for pending > 0 {
			result := <-d.results
			d.closeAnswer(result)

			if !result.fromCancel {
				pending--
			}
		}
	}()
}
