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

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

// startAnnouncements receives the announcements of local upstreams.
func (d *Daemon) startAnnouncements(context.Context) error {
	router := echo.New()
	if d.onPlatform() {
		wire.RegisterAnnouncements(router, d.egress)
	} else {
		upstream.Register(router, d.egress)
	}

	return d.serve("announcements", d.settings.LocalAddress, router)
}

// serve runs a small HTTP server until the daemon closes.
func (d *Daemon) serve(purpose string, address netip.AddrPort, router *echo.Echo) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("listen for %s on %s: %w", purpose, address, err)
	}

	server := &http.Server{
		Handler: router, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}

	d.running.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener ended", "purpose", purpose, "error", err)
		}
	})

	d.onClose(func() { _ = server.Close() })

	return nil
}
