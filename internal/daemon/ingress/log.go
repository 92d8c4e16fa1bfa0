package ingress

import (
	"context"
	"log/slog"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// logsRequests reports whether single requests are logged. If they are not, the
// attributes of their log lines need not be computed.
func (in *Ingress) logsRequests() bool {
	return in.Log.Enabled(context.Background(), slog.LevelInfo)
}

// logRefused logs a request that was refused before it was sent to an upstream.
func (in *Ingress) logRefused(request fleet.CallerRequest, account string, version uint64, reply fleet.Reply) {
	if !in.logsRequests() {
		return
	}

	in.Log.Info("request refused", "request", request.ID, "host", request.Request.Host,
		"client_account", account, "reason", reply.Reason, "detail", reply.Detail, "retry_after", reply.RetryAfter,
		"elapsed", time.Since(request.ReceivedAt), "version", version)
}

// logRequest logs the end of a request that passed the key check and the limits,
// whether or not an upstream ran it.
func (d *dispatcher) logRequest(reply fleet.Reply) {
	if !d.logsRequests() {
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

// logAttempt logs an attempt whose result did not become the reply to the request.
func (d *dispatcher) logAttempt(s *sentAttempt, reply fleet.Reply) {
	if !d.logsRequests() {
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
		"wait", reply.Load.ExpectedWait, "elapsed", time.Since(s.startedAt))
}
