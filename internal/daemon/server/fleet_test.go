package server

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/kumquatshelf/kumquatshelf/internal/config/keystore"
	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/config/settings"
	"github.com/kumquatshelf/kumquatshelf/internal/config/teamfile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/upstream"
	platformclient "github.com/kumquatshelf/kumquatshelf/platform"
)

const (
	slots       = 3
	serviceTime = 10 * time.Millisecond
	// callTimeout is longer than the services' deadlines.
	callTimeout = 10 * time.Second
	// settleTimeout bounds the start of a fleet and its return after a fault.
	settleTimeout = 30 * time.Second
	tolerated     = 3 * time.Second // the bound of R4 and R9

	host = "estanques.example"
	team = `Team = Ponds
[Service Calendar]
Floor = 60%
Deadline = 2s
DetectionThreshold = 5
[Service Booking]
Floor = 60%
Deadline = 2s
DetectionThreshold = 5
[Route CalendarRead]
Service = Calendar
Host = estanques.example
PathPrefix = /calendar
Methods = GET, HEAD
Idempotent = true
Open = false
[Route BookingWrite]
Service = Booking
Host = estanques.example
PathPrefix = /bookings
Methods = POST
Idempotent = false
Open = false
[ClientAccount Steady]
Rate = 400/s
Burst = 800
[ClientAccount Busy]
Rate = 60/s
Burst = 60
[ClientAccount Leaving]
Rate = 400/s
Burst = 800
`
)

// zones has the availability zone of each daemon in these tests.
var zones = []string{"a", "b", "c", "a", "b", "c"}

// testFleet is a set of complete daemons in one process, with the stand-in
// store and two upstreams beside each daemon.
type testFleet struct {
	links    *links
	store    *platform.Store
	settings []settings.Settings
	daemons  []*Daemon
	// stops end the daemons at once.
	stops     []func()
	upstreams []*upstream.Upstream
	// keys holds a key for each client account.
	keys map[string]string
	// cleanUps run in reverse order.
	cleanUps []func()
}

// newFleet starts one daemon for each zone given, publishes the team and waits
// until every daemon serves every client account. It starts again with other
// addresses if another process took one of them meanwhile.
func newFleet(t *testing.T, zones ...string) *testFleet {
	t.Helper()

	const tries = 5

	for try := 1; ; try++ {
		f := &testFleet{links: newLinks(), store: platform.New(rand.New(rand.NewPCG(1, 1))), keys: map[string]string{
			"Steady": "steady-" + uuid.NewString(), "Leaving": "leaving-" + uuid.NewString(),
			"Busy": "busy-" + uuid.NewString(),
		}}
		f.cleanUps = append(f.cleanUps, f.links.heal)
		f.prepare(t)

		if err := f.startAll(freeAddresses(t, 1+4*len(zones)), zones); err != nil {
			f.close()

			if errors.Is(err, syscall.EADDRINUSE) && try < tries {
				continue
			}

			t.Fatalf("start the fleet: %v", err)
		}

		t.Cleanup(f.close)

		for account := range f.keys {
			f.await(t, account)
		}

		return f
	}
}

func (f *testFleet) close() {
	for _, cleanUp := range slices.Backward(f.cleanUps) {
		cleanUp()
	}
}

func (f *testFleet) startAll(addresses []netip.AddrPort, zones []string) error {
	f.links.place(addresses[0], storeSite)

	if err := f.serveStore(addresses[0]); err != nil {
		return err
	}

	for i, zone := range zones {
		a := addresses[1+4*i:]
		f.links.place(a[1], zone)
		f.settings = append(f.settings, settings.Settings{
			Name: fmt.Sprintf("%s-%d", zone, i), AvailabilityZone: zone, Region: "local",
			CallerAddress: a[0], PeerAddress: a[1], LocalAddress: a[2], OperatorAddress: a[3],
			Platform: addresses[0], MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20,
		})
	}

	for i := range f.settings {
		for j := range f.settings {
			if i != j {
				f.settings[i].Seeds = append(f.settings[i].Seeds, f.settings[j].PeerAddress)
			}
		}
	}

	for i, s := range f.settings {
		if err := f.start(s, uint64(i)); err != nil {
			return err
		}
	}

	return nil
}

func (f *testFleet) serveStore(address netip.AddrPort) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}

	server := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}

	go func() { _ = server.Serve(listener) }()

	f.cleanUps = append(f.cleanUps, func() { _ = server.Close() })

	return nil
}

// prepare publishes the team and gives the keys.
func (f *testFleet) prepare(t *testing.T) {
	t.Helper()

	result := publication.NewPublisher(f.store, rand.New(rand.NewPCG(2, 2))).Publish(t.Context(), publication.Change{
		ID: uuid.New(), Files: []teamfile.File{{Name: "ponds.ini", Content: []byte(team)}},
	})
	if result.Outcome != publication.Accepted {
		t.Fatalf("publish: got %v %v, want Accepted", result.Outcome, result.Findings)
	}

	for account, key := range f.keys {
		if got := keystore.Issue(t.Context(), f.store, keystore.Hash(key), account); got != fleet.StoreOK {
			t.Fatalf("give a key to %s: got %v, want OK", account, got)
		}
	}
}

// run starts a daemon whose connections pass through the links.
func (f *testFleet) run(s settings.Settings) (*Daemon, func(), error) {
	return New(s, Options{
		DialPeer: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return f.links.dial(ctx, s.AvailabilityZone, address.String())
		},
		Store: platformclient.StoreOptions{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.links.dial(ctx, s.AvailabilityZone, address)
		}},
	}, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})), new(expvar.Map).Init())
}

// start starts a daemon and the upstreams beside it.
func (f *testFleet) start(s settings.Settings, seed uint64) error {
	daemon, closeDaemon, err := f.run(s)
	if err != nil {
		return fmt.Errorf("daemon %s: %w", s.Name, err)
	}

	f.cleanUps = append(f.cleanUps, closeDaemon)
	f.daemons, f.stops = append(f.daemons, daemon), append(f.stops, closeDaemon)

	for _, service := range []string{"Calendar", "Booking"} {
		one, closeUpstream, err := upstream.New(upstream.Settings{
			Name: s.Name + "-" + service, Service: service, Address: netip.AddrPortFrom(s.PeerAddress.Addr(), 0),
			Daemon: s.LocalAddress, Slots: slots, ServiceTime: serviceTime, Seed: seed,
		})
		if err != nil {
			return fmt.Errorf("upstream: %w", err)
		}

		f.cleanUps = append(f.cleanUps, closeUpstream)
		f.upstreams = append(f.upstreams, one)
	}

	return nil
}

func (f *testFleet) callers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range f.settings {
		list = append(list, s.CallerAddress)
	}

	return list
}

// read is a stream of idempotent requests, pinned to a daemon if entry is not
// negative.
func (f *testFleet) read(account string, rate float64, entry int) load.Stream {
	return load.Stream{
		Name: fmt.Sprintf("Read%s%d", account, entry), ClientAccount: account, Key: f.keys[account], Method: http.MethodGet,
		Host: host, Path: "/calendar/pond", Rate: rate, Idempotent: true, DaemonIndex: entry,
	}
}

// book is a stream of non-idempotent requests.
func (f *testFleet) book(account string, rate float64, entry int) load.Stream {
	return load.Stream{
		Name: fmt.Sprintf("Book%s%d", account, entry), ClientAccount: account, Key: f.keys[account], Method: http.MethodPost,
		Host: host, Path: "/bookings", Rate: rate, DaemonIndex: entry,
	}
}

// await waits until every daemon runs requests of the client account.
func (f *testFleet) await(t *testing.T, account string) {
	t.Helper()

	client, closeClient := load.NewClient(f.callers(), "await-"+uuid.NewString(), callTimeout)
	defer closeClient()

	deadline := time.Now().Add(settleTimeout)

	for i, address := range f.callers() {
		for n := 0; ; n++ {
			result := client.SendTo(t.Context(), f.read(account, 1, i), fmt.Sprintf("await-%s-%d-%d", account, i, n), address)
			if result.Verdict == load.Ran {
				break
			}

			if time.Now().After(deadline) {
				t.Fatalf("daemon %s does not serve %s: %s %s", f.settings[i].Name, account, result.Verdict, result.Reason)
			}

			time.Sleep(100 * time.Millisecond)
		}
	}
}

// ran returns how often each request ran.
func (f *testFleet) ran() map[string]int {
	times := make(map[string]int)

	for _, one := range f.upstreams {
		for id, n := range one.Record().Runs {
			times[id] += n
		}
	}

	return times
}

// traffic sends the streams while during runs, and returns what callers saw.
func (f *testFleet) traffic(t *testing.T, streams []load.Stream, during func()) []load.Result {
	t.Helper()

	client, closeClient := load.NewClient(f.callers(), "traffic", callTimeout)
	defer closeClient()

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	finished := make(chan []load.Result, 1)

	go func() { finished <- client.Run(ctx, streams, 7) }()

	during()
	cancel()

	return <-finished
}

// freeAddresses returns addresses with ports below those that outgoing
// connections are given. They are on a loopback address that other fleets are
// unlikely to use, because a daemon opens its callers' port late, when another
// process could have taken it on 127.0.0.1.
func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	t.Helper()

	const lowest, highest = 20000, 32000

	var list []netip.AddrPort

	loopback := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})

	for range 100 * n {
		if len(list) == n {
			return list
		}

		address := netip.AddrPortFrom(loopback, uint16(lowest+rand.IntN(highest-lowest)))

		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err != nil {
			continue
		}

		defer func() { _ = listener.Close() }()

		list = append(list, address)
	}

	t.Fatalf("found only %d of %d free ports", len(list), n)

	return nil
}
