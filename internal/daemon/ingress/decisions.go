package ingress

import (
	"context"
	"log/slog"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// logs reports whether lines about single requests are written, so that their
// attributes are not computed in vain.
func (in *Ingress) logs() bool {
	return in.Log.Enabled(context.Background(), slog.LevelInfo)
}

// logRefused writes the line of a request that was refused before it was sent
// anywhere.
func (in *Ingress) logRefused(request fleet.CallerRequest, account string, version uint64, reply fleet.Reply) {
	if !in.logs() {
		return
	}

	in.Log.Info("request refused", "request", request.ID, "host", request.Request.Host,
		"client_account", account, "reason", reply.Reason, "detail", reply.Detail, "retry_after", reply.RetryAfter,
		"elapsed", time.Since(request.ReceivedAt), "version", version)
}

// logDone writes the line of a request that was sent to upstreams.
func (d *dispatcher) logDone(reply fleet.Reply) {
	if !d.logs() {
		return
	}

	status := 0
	if reply.Outcome == fleet.Ran {
		status = reply.Answer.Status
	}

	d.Log.Info("request done", "request", d.id, "route", d.route.Name, "service", d.service, "client_account", d.account.Name, "priority", d.rank(),
		"outcome", reply.Outcome.String(), "status", status, "reason", reply.Reason, "detail", reply.Detail,
		"attempt", reply.ID.String(), "sends", d.sends, "failed_at", d.tried, "nested", d.nested,
		"retry_after", reply.RetryAfter, "elapsed", time.Since(d.arrived), "left", time.Until(d.deadline), "version", d.version)
}

// logAttempt writes the line of an attempt that did not bring the request's
// answer.
func (d *dispatcher) logAttempt(s *sent, reply fleet.Reply) {
	if !d.logs() {
		return
	}

	status := 0
	if reply.Outcome == fleet.Ran {
		status = reply.Answer.Status
	}

	d.Log.Info("attempt ended", "request", d.id, "attempt", s.attempt.ID.String(), "upstream", s.candidate.Upstream,
		"egress", s.candidate.Daemon, "outcome", reply.Outcome.String(), "status", status, "reason", reply.Reason,
		"detail", reply.Detail, "may_wait", !s.attempt.NoWait, "forced", s.attempt.AllowSuspect, "accepted", s.accepted.Load(),
		"suspicion", reply.Load.Suspicion, "in_flight", reply.Load.InFlight, "queued", reply.Load.Queued,
		"wait", reply.Load.ExpectedWait, "elapsed", time.Since(s.began))
}
