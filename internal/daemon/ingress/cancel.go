package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// cancelTimeout is how long the ingress waits for the confirmation of a cancel. The
	// reply to a request may come this long after its deadline.
	cancelTimeout = 200 * time.Millisecond
	// maxCancels bounds, for each request, the cancels of attempts that were not accepted
	// in time.
	maxCancels = 4
	// cancelPause is the time between the timeout of one such cancel and the next.
	cancelPause = 250 * time.Millisecond
)

// acceptTimer returns a channel that delivers when the latest attempt should have been
// accepted, since a connection can stop delivering without an error, and packets can be
// lost. It returns nil if no acceptance is awaited.
func (d *dispatcher) acceptTimer() <-chan time.Time {
	if d.latest == nil || d.AcceptTimeout == 0 || d.latest.accepted.Load() || d.cancels >= maxCancels {
		return nil
	}

	return time.After(time.Until(d.acceptBy))
}

// cancelUnaccepted asks the egress, over another connection, to cancel the latest
// attempt, which was not accepted in time. If the egress confirms that the attempt has
// not run and never will, the request can be sent to another upstream. Otherwise the
// attempt continues.
func (d *dispatcher) cancelUnaccepted() {
	s := d.latest
	if s.accepted.Load() {
		return
	}

	d.cancels++
	d.acceptBy = time.Now().Add(cancelTimeout + cancelPause)
	d.Metrics.Add("SilentAttempts", 1)
	d.balancer.recordNotAccepted(s.candidate.Upstream)

	d.workers.Run(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), cancelTimeout)
		defer cancel()

		result := &attemptResult{
			sent: s, fromCancel: true,
			cancel: d.Egress.Cancel(ctx, s.candidate.Daemon, s.attempt.ID, s.candidate.EgressIncarnation),
		}
		if result.cancel == fleet.CancelNotRun {
			result.reply = fleet.Refuse(fleet.ReasonUnreachable, "the attempt was not accepted in time, and was cancelled before it ran")
			result.reply.ID = s.attempt.ID
		}
		d.results <- result
	})
}

// handleUnconfirmedCancel handles the result of a cancel that did not prevent an attempt
// from running. If neither the attempt nor the cancel reached the egress, the attempt of
// an idempotent request is given up, so that the request can go to another upstream. The
// first answer is the one that counts.
func (d *dispatcher) handleUnconfirmedCancel(s *sentAttempt, result fleet.CancelResult) {
	if result == fleet.CancelStarted {
		s.accepted.Store(true)
	}

	if s.resolved || s.accepted.Load() || !d.route.Idempotent {
		return
	}

	d.resolve(s)

	s.givenUp = true
	d.givenUp++

	failure := fleet.Fail(fleet.ReasonUnreachable, "the attempt was not accepted in time, nor was its cancel confirmed")
	failure.ID = s.attempt.ID
	d.logAttempt(s, failure)
	d.recordFailure(s, failure)
}

// handleLateResult handles the result of an attempt that was given up, and reports
// whether it ends the request.
func (d *dispatcher) handleLateResult(result *attemptResult) bool {
	d.givenUp--

	if result.reply.Outcome == fleet.Ran && result.reply.Answer.Status < http.StatusInternalServerError {
		return true
	}

	d.closeAnswer(result)

	return false
}

// cancelUnknown asks the egress to cancel an attempt of unknown outcome, and returns the
// reply with which the attempt ends. Only if the egress confirms the cancel is the
// outcome NotRun.
func (d *dispatcher) cancelUnknown(s *sentAttempt, reply fleet.Reply) fleet.Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), cancelTimeout)
	defer cancel()

	if d.Egress.Cancel(ctx, s.candidate.Daemon, reply.ID, s.candidate.EgressIncarnation) != fleet.CancelNotRun {
		return reply
	}

	refusal := fleet.Refuse(reply.Reason, reply.Detail+"; it was cancelled before it ran")
	refusal.ID, refusal.Load = reply.ID, reply.Load

	return refusal
}
