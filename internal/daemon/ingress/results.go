package ingress

import (
	"net/http"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// settle takes a result and reports whether it ends the request.
func (d *dispatcher) settle(result *attemptResult) bool {
	s, reply := result.sent, result.reply

	switch {
	case result.reclaimed && result.cancel != fleet.CancelNotRun:
		d.unconfirmed(s, result.cancel)

		return false
	case result.reclaimed && s.settled:
		return false
	case !result.reclaimed:
		d.pending--
	}

	if s.doubted {
		return d.settleDoubted(result)
	}

	if s.settled {
		d.drop(result)

		return false
	}

	d.end(s)

	if reply.Outcome == fleet.Ran {
		if !d.retryStatus(s, reply) {
			return true
		}

		d.logAttempt(s, reply)

		d.dropFailed()
		d.failed = &result.reply
		d.tried = append(d.tried, s.candidate.Upstream)
		d.retry = true
		d.last = fleet.Fail(fleet.ReasonUpstream, "the upstream answered "+http.StatusText(reply.Answer.Status))

		return false
	}

	d.logAttempt(s, reply)
	d.remember(s, reply)

	return false
}

// end takes the result of an attempt as the one that counts.
func (d *dispatcher) end(s *sent) {
	s.settled = true
	d.running--

	if d.late == s {
		d.late = nil
	}
}

func (d *dispatcher) drop(result *attemptResult) {
	if result.reply.Outcome == fleet.Ran && result.reply.Answer.Body != nil {
		_ = result.reply.Answer.Body.Close()
	}
}

// remember notes what an attempt without an answer tells about its upstream.
func (d *dispatcher) remember(s *sent, reply fleet.Reply) {
	if d.last.Outcome != fleet.Unknown || reply.Outcome == fleet.Unknown || d.sends == 1 {
		d.last = reply
	}

	upstream := s.candidate.Upstream
	if reply.Outcome == fleet.Unknown {
		d.tried = append(d.tried, upstream)
		d.retry = true

		return
	}

	if reply.Reason == fleet.ReasonFree {
		d.free = s

		return
	}

	visit := balance.Refusal{Upstream: upstream, Load: reply.Load}

	switch reply.Reason { //nolint:exhaustive // all others mean that the upstream takes no requests at present
	case fleet.ReasonBusy:
		visit.WouldAccept = true
	case fleet.ReasonSuspect:
		visit.WouldAccept, visit.Suspect = true, true
	case fleet.ReasonShed, fleet.ReasonMisdirected:
		// The request has reached the upstream, which counts against the budget.
		d.retry = true
	}

	at := slices.IndexFunc(d.visits, func(v balance.Refusal) bool { return v.Upstream == upstream })
	if at < 0 {
		d.visits = append(d.visits, visit)
	} else {
		// It was asked to wait and did not take the request.
		d.visits[at] = balance.Refusal{Upstream: upstream, Load: reply.Load}
	}
}

func (d *dispatcher) dropFailed() {
	if d.failed != nil {
		_ = d.failed.Answer.Body.Close()
		d.failed = nil
	}
}

// retryStatus reports whether an answer is better replaced by another
// upstream's. It spends the retry budget only through mayRetry.
func (d *dispatcher) retryStatus(s *sent, reply fleet.Reply) bool {
	if !d.route.Idempotent || len(d.tried)+1 >= d.mostAttempts() || d.sends >= maxSends {
		return false
	}

	// A second upstream needs about as long as the first.
	if time.Until(d.deadline) <= min(time.Since(s.began)/2, reply.ServiceTime/2) {
		return false
	}

	switch reply.Answer.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return d.choices.hasRetry(d.service)
	}

	return false
}

// hedge returns a channel that delivers when a second attempt is due.
func (d *dispatcher) hedge() <-chan time.Time {
	if !d.route.Idempotent || d.route.MaxAttempts > 0 || d.running != 1 || d.sends > 1 || d.late == nil {
		return nil
	}

	delay, ok := d.choices.hedgeDelay(d.service)
	if !ok {
		return nil
	}

	return time.After(delay)
}

// dropOthers closes the answers of attempts that lost against a hedge when they
// come. The attempts run on until the deadline: cancelling them would keep the
// answers of slow upstreams out of the evidence, and hedges are few.
func (d *dispatcher) dropOthers() {
	rest := d.pending
	if rest == 0 {
		return
	}

	go func() {
		for rest > 0 {
			result := <-d.results
			d.drop(result)

			if !result.reclaimed {
				rest--
			}
		}
	}()
}
