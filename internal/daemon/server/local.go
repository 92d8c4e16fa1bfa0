package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/upstream"
	wire "github.com/kumquatshelf/kumquatshelf/platform"
)

// Limits of the daemon's small HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

// startAnnouncements serves the local address, where the upstreams beside the daemon
// announce themselves.
func (d *Daemon) startAnnouncements(ctx context.Context) error {
	router := echo.New()
	if d.onPlatform() {
		announcements := newAnnouncer(d.egress, d.registry, time.Now(), d.log)
		wire.RegisterAnnouncements(router, announcements)
		d.goroutines.Go(func() { announcements.restoreWhenKnown(ctx) })
	} else {
		upstream.Register(router, d.egress)
	}

	return d.serve("announcements", d.settings.LocalAddress, router)
}

// serve starts an HTTP server that runs until the daemon closes. The parameter
// purpose names the server in errors and logs. It returns an error if the address cannot
// be bound.
func (d *Daemon) serve(purpose string, address netip.AddrPort, router *echo.Echo) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("listen for %s on %s: %w", purpose, address, err)
	}

	server := &http.Server{
		Handler: router, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}

	d.goroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("HTTP server failed", "purpose", purpose, "error", err)
		}
	})

	d.onClose(func() { _ = server.Close() })

	return nil
}
