package egress

import (
	"context"
	"log/slog"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// logRefused logs an attempt that did not reach its upstream. An attempt refused because
// it may not wait for a slot is logged by its ingress only.
func (e *Egress) logRefused(a *fleet.Attempt, reply fleet.Reply) {
	if reply.Reason == fleet.ReasonBusy || !e.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	e.log.Info("attempt refused", "request", a.RequestID, "attempt", a.ID.String(), "upstream", a.Upstream,
		"reason", reply.Reason, "detail", reply.Detail, "suspicion", reply.Load.Suspicion, "queued", reply.Load.Queued,
		"wait", reply.Load.ExpectedWait, "budget", a.DeadlineRemaining)
}

// logAttempt logs an attempt that was started. IsEvidence is true if its result is evidence
// about the upstream, and load is the upstream's load after the attempt ended, with the
// suspicion that includes this result.
func (s *startedAttempt) logAttempt(o fleet.Observation, isEvidence bool, load fleet.Load) {
	log := s.egress.log
	if !log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	a := &s.admitted.attempt
	log.Info("attempt ran", "request", a.RequestID, "attempt", a.ID.String(), "upstream", a.Upstream,
		"run", s.upstream.Incarnation, "result", o.Result.String(), "status", o.Status, "truncated", o.Truncated,
		"served", o.ServiceTime, "expected", a.ExpectedDuration, "counts", isEvidence, "suspicion", load.Suspicion, "suspect", load.Suspect,
		"idempotent", a.Idempotent, "nested", a.Nested, "forced", a.AllowSuspect, "trial", a.TrialAllowed,
		"in_flight", load.InFlight, "queued", load.Queued, "budget", a.DeadlineRemaining, "elapsed", time.Since(s.startedAt))
}

// logUpstream logs a change of an upstream under the given message.
func (e *Egress) logUpstream(message string, upstream fleet.Upstream) {
	e.log.Info(message, "upstream", upstream.Name, "service", upstream.Service, "address", upstream.Address,
		"state", upstream.State.String(), "slots", upstream.Slots, "run", upstream.Incarnation, "sequence", upstream.Sequence)
}
