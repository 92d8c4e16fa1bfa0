package server

import (
	"context"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/config/settings"
)

// Restart is closed when the daemon should be stopped and started anew.
func (d *Daemon) Restart() <-chan struct{} {
	return d.restart
}

func (d *Daemon) requestRestart() {
	d.restartOnce.Do(func() { close(d.restart) })
}

// Reload takes over settings that were read again. All but the time for a stop
// come into force when the daemon starts again.
func (d *Daemon) Reload(next settings.Settings) {
	d.stopGrace.Store(int64(next.Bounds.StopGrace))

	changed := settings.ChangedNames(d.settings, next)
	d.log.Info("settings read again", "changed", changed, "in_force", "Bounds.StopGrace", "stop_grace", next.Bounds.StopGrace)
}

// Stop ends the daemon as planned: requests in flight finish, nothing new is
// begun, and leases and tokens are given back.
func (d *Daemon) Stop(ctx context.Context) {
	timeout := stopTimeout
	if grace := time.Duration(d.stopGrace.Load()); grace > 0 {
		timeout = grace - stopMargin
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	d.log.Info("stopping")
	d.accepting.Store(false)
	d.membership.SetLeaving(true)
	d.front.Drain()

	stopped := make(chan int, 1)

	go func() { stopped <- d.egress.Stop(ctx) }()

	d.limits.StopGranting()

	select {
	case <-time.After(lameDuck):
	case <-ctx.Done():
	}

	d.awaitIdleCallers(ctx)
	d.front.Stop(ctx)
	d.ingress.Stop(ctx)

	if running := <-stopped; running > 0 {
		d.log.Warn("attempts were cut at the end of the stop", "attempts", running)
	}

	if !d.membership.Leave(ctx) {
		d.log.Warn("no peer learned of the stop")
	}

	d.flushAudit(ctx)

	d.log.Info("stopped")
}

// awaitIdleCallers goes on answering until callers have let go of their idle
// connections.
func (d *Daemon) awaitIdleCallers(ctx context.Context) {
	timeout := idleTimeout
	if grace := time.Duration(d.stopGrace.Load()); grace > 0 {
		timeout = min(timeout, time.Duration(idleShareOfGrace*float64(grace)))
	}

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	if left := d.front.AwaitIdle(ctx); left > 0 {
		d.log.Info("closing idle connections of callers", "connections", left, "waited", lameDuck+timeout)
	}
}

// flushAudit writes the remaining audit records, or logs them if the store is
// away: waiting for it would keep a daemon from being replaced in an outage.
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
