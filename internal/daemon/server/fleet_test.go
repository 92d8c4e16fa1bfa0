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
	// callTimeout bounds a caller's request. It exceeds the services' deadlines of 2 s,
	// so that the fleet and not the caller ends a request.
	callTimeout = 10 * time.Second
	// recoveryTimeout bounds the start of a fleet and its recovery after a fault.
	recoveryTimeout = 30 * time.Second
	// reactionLimit is the bound of requirements R4 and R9: within it a withdrawn key
	// must stop working, and reads must be answered again after a fault.
	reactionLimit = 3 * time.Second

	host = "estanques.example"
	// team is the team file from which the fleet's configuration is published.
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

// defaultZones lists the availability zone of each daemon of a fleet of six.
var defaultZones = []string{"a", "b", "c", "a", "b", "c"}

// testFleet is a fleet of complete daemons in one process, with the stand-in store
// and two upstreams beside each daemon.
type testFleet struct {
	network  *network
	store    *platform.Store
	settings []settings.Settings
	daemons  []*Daemon
	// killFuncs close the daemons at once, without a planned stop.
	killFuncs []func()
	upstreams []*upstream.Upstream
	// keys holds one key for each client account, by the account's name.
	keys map[string]string
	// cleanUps are run in reverse order when the fleet is closed.
	cleanUps []func()
}

// newFleet publishes the team, starts one daemon in each of the given zones and
// waits until every daemon serves every client account. It retries with other
// addresses if another process has bound one of them in the meantime.
func newFleet(t *testing.T, zones ...string) *testFleet {
	t.Helper()

	const tries = 5

	for try := 1; ; try++ {
		f := &testFleet{network: newNetwork(), store: platform.New(rand.New(rand.NewPCG(1, 1))), keys: map[string]string{
			"Steady": "steady-" + uuid.NewString(), "Leaving": "leaving-" + uuid.NewString(),
			"Busy": "busy-" + uuid.NewString(),
		}}
		f.cleanUps = append(f.cleanUps, f.network.restore)
		f.publishTeam(t)

		if err := f.startAll(freeAddresses(t, 1+4*len(zones)), zones); err != nil {
			f.close()

			if errors.Is(err, syscall.EADDRINUSE) && try < tries {
				continue
			}

			t.Fatalf("start the fleet: %v", err)
		}

		t.Cleanup(f.close)

		for account := range f.keys {
			f.awaitAccount(t, account)
		}

		return f
	}
}

// close runs the clean-up functions in reverse order.
func (f *testFleet) close() {
	for _, cleanUp := range slices.Backward(f.cleanUps) {
		cleanUp()
	}
}

// startAll starts the store at the first address and then one daemon in each zone. Each
// daemon gets the next four addresses. Its seeds are all other daemons.
func (f *testFleet) startAll(addresses []netip.AddrPort, zones []string) error {
	f.network.setSite(addresses[0], storeSite)

	if err := f.serveStore(addresses[0]); err != nil {
		return err
	}

	for i, zone := range zones {
		a := addresses[1+4*i:]
		f.network.setSite(a[1], zone)
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
		if err := f.startWithUpstreams(s, uint64(i)); err != nil {
			return err
		}
	}

	return nil
}

// serveStore serves the stand-in store over HTTP.
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

// publishTeam publishes the team file and stores the keys.
func (f *testFleet) publishTeam(t *testing.T) {
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

// startDaemon starts a daemon whose outgoing connections pass through the test
// network.
func (f *testFleet) startDaemon(s settings.Settings) (*Daemon, func(), error) {
	return New(s, Options{
		DialPeer: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return f.network.dial(ctx, s.AvailabilityZone, address.String())
		},
		Store: platformclient.StoreOptions{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.network.dial(ctx, s.AvailabilityZone, address)
		}},
	}, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})), new(expvar.Map).Init())
}

// startWithUpstreams starts a daemon and an upstream of each service beside it.
func (f *testFleet) startWithUpstreams(s settings.Settings, seed uint64) error {
	daemon, closeDaemon, err := f.startDaemon(s)
	if err != nil {
		return fmt.Errorf("daemon %s: %w", s.Name, err)
	}

	f.cleanUps = append(f.cleanUps, closeDaemon)
	f.daemons, f.killFuncs = append(f.daemons, daemon), append(f.killFuncs, closeDaemon)

	for _, service := range []string{"Calendar", "Booking"} {
		started, closeUpstream, err := upstream.New(upstream.Settings{
			Name: s.Name + "-" + service, Service: service, Address: netip.AddrPortFrom(s.PeerAddress.Addr(), 0),
			Daemon: s.LocalAddress, Slots: slots, ServiceTime: serviceTime, Seed: seed,
		})
		if err != nil {
			return fmt.Errorf("upstream: %w", err)
		}

		f.cleanUps = append(f.cleanUps, closeUpstream)
		f.upstreams = append(f.upstreams, started)
	}

	return nil
}

// callerAddresses returns the callers' address of each daemon.
func (f *testFleet) callerAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, s := range f.settings {
		addresses = append(addresses, s.CallerAddress)
	}

	return addresses
}

// readStream returns a stream of idempotent requests at rate per second. They are sent
// to the daemon with that index, or to any daemon if daemonIndex is negative.
func (f *testFleet) readStream(account string, rate float64, daemonIndex int) load.Stream {
	return load.Stream{
		Name: fmt.Sprintf("Read%s%d", account, daemonIndex), ClientAccount: account, Key: f.keys[account], Method: http.MethodGet,
		Host: host, Path: "/calendar/pond", Rate: rate, Idempotent: true, DaemonIndex: daemonIndex,
	}
}

// bookStream returns a stream of non-idempotent requests. Its arguments have the same
// meaning as those of readStream.
func (f *testFleet) bookStream(account string, rate float64, daemonIndex int) load.Stream {
	return load.Stream{
		Name: fmt.Sprintf("Book%s%d", account, daemonIndex), ClientAccount: account, Key: f.keys[account], Method: http.MethodPost,
		Host: host, Path: "/bookings", Rate: rate, DaemonIndex: daemonIndex,
	}
}

// awaitAccount waits until every daemon serves requests of the client account.
func (f *testFleet) awaitAccount(t *testing.T, account string) {
	t.Helper()

	client, closeClient := load.NewClient(f.callerAddresses(), "await-"+uuid.NewString(), callTimeout)
	defer closeClient()

	deadline := time.Now().Add(recoveryTimeout)

	for i, address := range f.callerAddresses() {
		for n := 0; ; n++ {
			result := client.SendTo(t.Context(), f.readStream(account, 1, i), fmt.Sprintf("await-%s-%d-%d", account, i, n), address)
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

// runCounts returns how often each request ran at any upstream, by request ID.
func (f *testFleet) runCounts() map[string]int {
	counts := make(map[string]int)

	for _, u := range f.upstreams {
		for id, n := range u.Record().Runs {
			counts[id] += n
		}
	}

	return counts
}

// runTraffic sends the streams' requests until action returns. It returns the callers'
// results.
func (f *testFleet) runTraffic(t *testing.T, streams []load.Stream, action func()) []load.Result {
	t.Helper()

	client, closeClient := load.NewClient(f.callerAddresses(), "traffic", callTimeout)
	defer closeClient()

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	finished := make(chan []load.Result, 1)

	go func() { finished <- client.Run(ctx, streams, 7) }()

	action()
	cancel()

	return <-finished
}

// freeAddresses returns n free addresses. Their ports lie below the range that the
// system assigns to outgoing connections. They share one random loopback address that
// other fleets are unlikely to use, because a daemon binds its callers' port late,
// when another process could already have bound it on 127.0.0.1.
func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	t.Helper()

	const lowestPort, highestPort = 20000, 32000

	var addresses []netip.AddrPort

	loopback := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})

	for range 100 * n {
		if len(addresses) == n {
			return addresses
		}

		address := netip.AddrPortFrom(loopback, uint16(lowestPort+rand.IntN(highestPort-lowestPort)))

		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err != nil {
			continue
		}

		defer func() { _ = listener.Close() }()

		addresses = append(addresses, address)
	}

	t.Fatalf("found only %d of %d free ports", len(addresses), n)

	return nil
}
