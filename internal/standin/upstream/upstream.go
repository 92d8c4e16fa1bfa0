// Package upstream is a stand-in for an HTTP upstream, for tests and the demo. It
// injects the faults of section 1.5 of the design, which can be changed while it runs,
// and records the requests that it ran.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	announceInterval = time.Second
	// announceTimeout bounds one announcement, so that a daemon that does not answer
	// does not delay the next announcement.
	announceTimeout = 500 * time.Millisecond
)

// Settings configure a stand-in.
type Settings struct {
	// Name identifies the upstream and is unique in the fleet.
	Name    string
	Service string
	// Address is the address to listen on; port 0 picks a free port.
	Address netip.AddrPort
	// Daemon is the local address of the daemon to announce the stand-in to. If it is
	// not valid, the stand-in is not announced.
	Daemon netip.AddrPort
	// Slots is the maximum number of requests that run at once; further ones are shed.
	Slots int
	// ServiceTime is the median time that a request takes.
	ServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the service time, which is
	// log-normally distributed; 0 makes it constant.
	Sigma float64
	// ColdStart is the time after the start in which requests take ColdFactor times as
	// long; a ColdFactor of 0 leaves the service time unchanged.
	ColdStart  time.Duration
	ColdFactor float64
	// Seed seeds the random service times and faults.
	Seed uint64
}

// Upstream is a running stand-in.
type Upstream struct {
	settings  Settings
	address   netip.AddrPort
	server    *http.Server
	client    *http.Client
	startedAt time.Time
	// announceNow triggers an announcement before the next tick.
	announceNow chan struct{}
	recorder    recorder

	mu        sync.Mutex
	random    *rand.Rand
	mode      Mode
	modeSetAt time.Time
	// modeChanged is closed and replaced when the mode changes.
	modeChanged chan struct{}
	inFlight    int
}

// New starts a stand-in. The returned function deregisters it from its daemon, closes
// its connections and waits for its goroutines to end. New fails if it cannot listen on
// the address.
func New(settings Settings) (*Upstream, func(), error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", settings.Address.String())
	if err != nil {
		return nil, nil, fmt.Errorf("listen for upstream %s: %w", settings.Name, err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("address of upstream %s: %w", settings.Name, err), listener.Close())
	}
	u := &Upstream{
		settings:    settings,
		address:     address,
		client:      &http.Client{Timeout: announceTimeout},
		startedAt:   time.Now(),
		announceNow: make(chan struct{}, 1),
		random:      rand.New(rand.NewPCG(settings.Seed, 0)), //nolint:gosec // not for secrets
		modeSetAt:   time.Now(),
		modeChanged: make(chan struct{}),
	}
	u.server = &http.Server{Handler: u.handler(), ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { _ = u.server.Serve(listener) })
	if settings.Daemon.IsValid() {
		goroutines.Go(func() { u.announceLoop(ctx) })
	}

	return u, func() {
		cancel()
		_ = u.server.Close()
		goroutines.Wait()
		u.client.CloseIdleConnections()
	}, nil
}

// Address returns the address that the stand-in listens on.
func (u *Upstream) Address() netip.AddrPort { return u.address }

func (u *Upstream) handler() http.Handler {
	e := echo.New()
	e.PUT("/Mode", u.handlePutMode)
	e.GET("/Mode", func(c echo.Context) error { return c.JSON(http.StatusOK, u.Mode()) })
	e.GET("/Record", func(c echo.Context) error { return c.JSON(http.StatusOK, u.Record()) })
	e.GET("/Health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.Any("/*", func(c echo.Context) error {
		u.serveRequest(c.Response(), c.Request())

		return nil
	})

	return e
}

// announceLoop announces the stand-in every second and after each change of the mode,
// and deregisters it when ctx ends.
func (u *Upstream) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if !u.Mode().Silent {
			u.announce(ctx)
		}
		select {
		case <-ctx.Done():
			u.deregister(ctx)

			return
		case <-u.announceNow:
		case <-ticker.C:
		}
	}
}

// announce sends one announcement. Failures are ignored, since the next announcement
// follows within 1 s.
func (u *Upstream) announce(ctx context.Context) {
	body, err := json.Marshal(struct {
		Service, Address string
		Slots            int
		State            string
	}{u.settings.Service, u.address.String(), u.settings.Slots, u.announcedState().String()})
	if err == nil {
		u.sendToDaemon(ctx, http.MethodPut, body)
	}
}

func (u *Upstream) deregister(ctx context.Context) {
	u.sendToDaemon(context.WithoutCancel(ctx), http.MethodDelete, nil)
}

// sendToDaemon sends a request about this upstream to the daemon and ignores the answer.
func (u *Upstream) sendToDaemon(ctx context.Context, method string, body []byte) {
	url := fmt.Sprintf("http://%s/Upstreams/%s", u.settings.Daemon, u.settings.Name)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := u.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// drawServiceTime returns a random service time under the given mode.
func (u *Upstream) drawServiceTime(mode Mode) time.Duration {
	u.mu.Lock()
	factor := math.Exp(u.settings.Sigma * u.random.NormFloat64())
	u.mu.Unlock()
	if mode.SlowFactor > 0 {
		factor *= mode.SlowFactor
	}
	if u.isColdStarting() && u.settings.ColdFactor > 0 {
		factor *= u.settings.ColdFactor
	}

	return time.Duration(factor * float64(u.settings.ServiceTime))
}

// isColdStarting reports whether the stand-in is still within ColdStart of its start.
func (u *Upstream) isColdStarting() bool { return time.Since(u.startedAt) < u.settings.ColdStart }

// randomlyTrue returns true with the given probability.
func (u *Upstream) randomlyTrue(fraction float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.random.Float64() < fraction
}
