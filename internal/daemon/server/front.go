package server

import (
	"context"
	"expvar"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/caller"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	wire "github.com/kumquatshelf/kumquatshelf/platform"
)

// startCallerServer creates the HTTP server for callers. It starts to listen only
// once the daemon can serve requests, because before that every request would be
// refused.
func (d *Daemon) startCallerServer(ctx context.Context) error {
	metrics := new(expvar.Map).Init()
	d.metrics.Set("Callers", metrics)

	var callers caller.Protocol = caller.OwnProtocol{}
	if d.onPlatform() {
		callers = wire.CallerProtocol{}
	}

	front, cleanUp := caller.New(d.settings.CallerAddress, callers, d.ingress, caller.Limits{
		MaxHeaderBytes: d.settings.MaxHeaderBytes, MaxBodyBytes: int64(d.settings.MaxBodyBytes),
	}, d.log, metrics)
	d.callerServer = front
	d.onClose(cleanUp)
	d.goroutines.Go(func() { d.acceptCallers(ctx) })

	return nil
}

// acceptCallers waits until the daemon can serve requests and then accepts callers
// until the server is stopped. A failure to listen is logged; a failure while
// accepting also requests a restart of the daemon.
func (d *Daemon) acceptCallers(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()

	for !d.canServe() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}

	if err := d.callerServer.Listen(); err != nil {
		d.log.Error("listening for callers failed", "error", err)

		return
	}

	d.accepting.Store(true)
	d.log.Info("accepting callers", "address", d.settings.CallerAddress)

	if err := d.callerServer.Serve(); err != nil {
		d.accepting.Store(false)
		d.log.Error("accepting callers failed; requesting a restart", "error", err)
		d.requestRestart()
	}
}

// canServe reports whether a configuration is installed and the key table is recent
// enough to check keys.
func (d *Daemon) canServe() bool {
	contact := d.Contact()

	return d.loader.Current() != nil && contact.HasExchanged() && keys.Fresh(time.Now(), contact)
}
