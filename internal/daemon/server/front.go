package server

import (
	"context"
	"expvar"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/caller"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	wire "github.com/kumquatshelf/kumquatshelf/platform"
)

// startFront prepares the callers' address. Requests are accepted once the
// daemon can serve them, because until then it could only refuse them.
func (d *Daemon) startFront(ctx context.Context) error {
	metrics := new(expvar.Map).Init()
	d.metrics.Set("Callers", metrics)

	var callers caller.Protocol = caller.OwnProtocol{}
	if d.onPlatform() {
		callers = wire.CallerProtocol{}
	}

	front, cleanUp := caller.New(d.settings.CallerAddress, callers, d.ingress, caller.Limits{
		MaxHeaderBytes: d.settings.MaxHeaderBytes, MaxBodyBytes: int64(d.settings.MaxBodyBytes),
	}, d.log, metrics)
	d.front = front
	d.onClose(cleanUp)
	d.running.Go(func() { d.openFront(ctx) })

	return nil
}

// openFront begins to accept callers when a configuration is installed and keys
// can be checked.
func (d *Daemon) openFront(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()

	for !d.ready() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}

	if err := d.front.Listen(); err != nil {
		d.log.Error("callers cannot be accepted", "error", err)

		return
	}

	d.accepting.Store(true)
	d.log.Info("accepting callers", "address", d.settings.CallerAddress)

	if err := d.front.Serve(); err != nil {
		d.accepting.Store(false)
		d.log.Error("callers are accepted no longer; restarting", "error", err)
		d.requestRestart()
	}
}

func (d *Daemon) ready() bool {
	contact := d.Contact()

	return d.loader.Current() != nil && contact.HasExchanged() && keys.Fresh(time.Now(), contact)
}
