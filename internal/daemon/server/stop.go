package server

import (
	"context"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/config/settings"
	"github.com/kumquatshelf/kumquatshelf/internal/core/shutdown"
)

// Restart returns a channel that is closed when the daemon must be stopped and
// started anew.
func (d *Daemon) Restart() <-chan struct{} {
	return d.restart
}

// requestRestart closes the channel that Restart returns. It may be called repeatedly.
func (d *Daemon) requestRestart() {
	d.restartOnce.Do(func() { close(d.restart) })
}

// Reload applies Bounds.StopGrace of settings that were read again. All other changes
// take effect at the daemon's next start and are only logged.
func (d *Daemon) Reload(next settings.Settings) {
	d.stopGrace.Store(int64(next.Bounds.StopGrace))

	changed := settings.ChangedNames(d.settings, next)
	d.log.Info("settings read again", "changed", changed, "in_force", "Bounds.StopGrace", "stop_grace", next.Bounds.StopGrace)
}

// Stop performs a planned stop: it sends callers away while the local upstreams are still
// served, then refuses new attempts, lets requests in flight finish, and returns leases and
// tokens. It takes at most stopTimeout, or Bounds.StopGrace less stopMargin if that is set;
// attempts still running then are cut off. Requests and attempts whose deadlines are later
// than that are refused from the start, or, if they usually take a moment, from the end of
// the lame-duck period.
func (d *Daemon) Stop(ctx context.Context) {
	timeout := stopTimeout
	if grace := time.Duration(d.stopGrace.Load()); grace > 0 {
		timeout = grace - stopMargin
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	began, lameDuck := time.Now(), min(lameDuckPeriod, timeout/lameDuckDivisor)
	plan := shutdown.Plan{DrainUntil: began.Add(lameDuck), CutAt: began.Add(timeout)}

	d.log.Info("stopping", "requests_until", plan.DrainUntil, "cut_at", plan.CutAt)
	d.ingress.PlanStop(plan)
	d.egress.PlanStop(plan)
	d.accepting.Store(false)
	d.callerServer.Drain()

	select {
	case <-time.After(lameDuck):
	case <-ctx.Done():
	}

	d.membership.SetLeaving(true)

	stopped := make(chan int, 1)

	go func() { stopped <- d.egress.Stop(ctx) }()

	d.limits.StopGranting()
	d.awaitIdleCallers(ctx)
	d.callerServer.Stop(ctx)
	d.ingress.Stop(ctx)

	if running := <-stopped; running > 0 {
		d.log.Warn("stop timed out; cutting off running attempts", "attempts", running)
	}

	if !d.membership.Leave(ctx) {
		d.log.Warn("no peer confirmed the departure of this daemon")
	}

	d.flushAudit(ctx)

	d.log.Info("stopped")
}

// awaitIdleCallers waits until the callers have closed their idle connections. It waits
// for at most idleTimeout and, if Bounds.StopGrace is set, for at most
// idleGraceFraction × Bounds.StopGrace. Callers are still answered during the wait.
func (d *Daemon) awaitIdleCallers(ctx context.Context) {
	timeout := idleTimeout
	if grace := time.Duration(d.stopGrace.Load()); grace > 0 {
		timeout = min(timeout, time.Duration(idleGraceFraction*float64(grace)))
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	if left := d.callerServer.AwaitIdle(ctx); left > 0 {
		d.log.Info("closing idle connections of callers", "connections", left, "waited", lameDuckPeriod+timeout)
	}
}

// flushAudit writes the remaining audit records to the store. Records that are not
// written within auditTimeout are logged instead, because waiting for the store
// would prevent the replacement of a daemon during an outage.
func (d *Daemon) flushAudit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()

	if d.audit.Flush(ctx) {
		return
	}

	for _, record := range d.audit.PendingRecords() {
		d.log.Warn("audit record not written", "record", record)
	}
}
