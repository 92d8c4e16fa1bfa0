// Package upstream is a stand-in for an HTTP upstream, for tests and the demo.
// It fails in the ways that the design's section 1.5 lists, switchable while
// it runs, and records what it ran.
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
	// announceTimeout keeps a daemon that does not answer from delaying the
	// next announcement.
	announceTimeout = 500 * time.Millisecond
)

// Settings of a stand-in.
type Settings struct {
	// Name is unique in the fleet.
	Name    string
	Service string
	// Address is where it listens; port 0 picks a free one.
	Address netip.AddrPort
	// Daemon is the local address of its daemon. If it is not valid, the
	// stand-in does not announce itself.
	Daemon netip.AddrPort
	// Slots is the number of requests it runs at once; it sheds more.
	Slots int
	// ServiceTime is the median time that a request takes.
	ServiceTime time.Duration
	// Sigma is the spread of the log-normal service time; 0 is constant.
	Sigma float64
	// ColdStart is the time from the start in which requests take ColdFactor
	// times as long.
	ColdStart  time.Duration
	ColdFactor float64
	// Seed of the random choices.
	Seed uint64
}

// Upstream is a running stand-in.
type Upstream struct {
	settings Settings
	address  netip.AddrPort
	server   *http.Server
	client   *http.Client
	started  time.Time
	nudge    chan struct{}
	record   record

	mu       sync.Mutex
	random   *rand.Rand
	mode     Mode
	modeAt   time.Time
	changed  chan struct{}
	inFlight int
}

// New starts a stand-in. The clean-up function withdraws it from its daemon,
// closes its connections and waits for its goroutines.
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
		settings: settings,
		address:  address,
		client:   &http.Client{Timeout: announceTimeout},
		started:  time.Now(),
		nudge:    make(chan struct{}, 1),
		random:   rand.New(rand.NewPCG(settings.Seed, 0)), //nolint:gosec // not for secrets
		modeAt:   time.Now(),
		changed:  make(chan struct{}),
	}
	u.server = &http.Server{Handler: u.handler(), ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = u.server.Serve(listener) })
	if settings.Daemon.IsValid() {
		loops.Go(func() { u.announceLoop(ctx) })
	}

	return u, func() {
		cancel()
		_ = u.server.Close()
		loops.Wait()
		u.client.CloseIdleConnections()
	}, nil
}

// Address returns where the stand-in listens.
func (u *Upstream) Address() netip.AddrPort { return u.address }

func (u *Upstream) handler() http.Handler {
	e := echo.New()
	e.PUT("/Mode", u.putMode)
	e.GET("/Mode", func(c echo.Context) error { return c.JSON(http.StatusOK, u.Mode()) })
	e.GET("/Record", func(c echo.Context) error { return c.JSON(http.StatusOK, u.Record()) })
	e.GET("/Health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.Any("/*", func(c echo.Context) error {
		u.serve(c.Response(), c.Request())

		return nil
	})

	return e
}

func (u *Upstream) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if !u.Mode().Silent {
			u.announce(ctx)
		}
		select {
		case <-ctx.Done():
			u.withdraw(ctx)

			return
		case <-u.nudge:
		case <-ticker.C:
		}
	}
}

// announce ignores failures; the next announcement follows in a second.
func (u *Upstream) announce(ctx context.Context) {
	body, err := json.Marshal(struct {
		Service, Address string
		Slots            int
		State            string
	}{u.settings.Service, u.address.String(), u.settings.Slots, u.state().String()})
	if err == nil {
		u.send(ctx, http.MethodPut, body)
	}
}

func (u *Upstream) withdraw(ctx context.Context) {
	u.send(context.WithoutCancel(ctx), http.MethodDelete, nil)
}

func (u *Upstream) send(ctx context.Context, method string, body []byte) {
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

// serviceTime draws the time that a request takes.
func (u *Upstream) serviceTime(mode Mode) time.Duration {
	u.mu.Lock()
	factor := math.Exp(u.settings.Sigma * u.random.NormFloat64())
	u.mu.Unlock()
	if mode.SlowFactor > 0 {
		factor *= mode.SlowFactor
	}
	if u.cold() && u.settings.ColdFactor > 0 {
		factor *= u.settings.ColdFactor
	}

	return time.Duration(factor * float64(u.settings.ServiceTime))
}

func (u *Upstream) cold() bool { return time.Since(u.started) < u.settings.ColdStart }

func (u *Upstream) chance(fraction float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.random.Float64() < fraction
}
