package egress

import (
	"context"
	"log/slog"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// logRefused writes the line of an attempt that did not reach its upstream. One
// that only asked for a free slot is left to its ingress.
func (e *Egress) logRefused(a *fleet.Attempt, reply fleet.Reply) {
	if reply.Reason == fleet.ReasonBusy || !e.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	e.log.Info("attempt refused", "request", a.RequestID, "attempt", a.ID.String(), "upstream", a.Upstream,
		"reason", reply.Reason, "detail", reply.Detail, "suspicion", reply.Load.Suspicion, "queued", reply.Load.Queued,
		"wait", reply.Load.ExpectedWait, "budget", a.DeadlineRemaining)
}

// logRun writes the line of an attempt that reached its upstream. Suspicion is
// that after its result was taken into account.
func (r *run) logRun(o fleet.Observation, counts bool, load fleet.Load) {
	log := r.egress.log
	if !log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	a := &r.waiter.attempt
	log.Info("attempt ran", "request", a.RequestID, "attempt", a.ID.String(), "upstream", a.Upstream,
		"run", r.upstream.Incarnation, "result", o.Result.String(), "status", o.Status, "truncated", o.Truncated,
		"served", o.ServiceTime, "expected", a.ExpectedDuration, "counts", counts, "suspicion", load.Suspicion, "suspect", load.Suspect,
		"idempotent", a.Idempotent, "nested", a.Nested, "forced", a.AllowSuspect, "trial", a.TrialAllowed,
		"in_flight", load.InFlight, "queued", load.Queued, "budget", a.DeadlineRemaining, "elapsed", time.Since(r.started))
}

// logUpstream writes the line of a change of an upstream.
func (e *Egress) logUpstream(what string, upstream fleet.Upstream) {
	e.log.Info(what, "upstream", upstream.Name, "service", upstream.Service, "address", upstream.Address,
		"state", upstream.State.String(), "slots", upstream.Slots, "run", upstream.Incarnation, "sequence", upstream.Sequence)
}
