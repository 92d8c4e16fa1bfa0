// Package server wires the parts of a daemon together.
package server

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/caller"
	"github.com/kumquatshelf/kumquatshelf/internal/adapter/peer"
	"github.com/kumquatshelf/kumquatshelf/internal/adapter/upstream"
	"github.com/kumquatshelf/kumquatshelf/internal/audit/trail"
	"github.com/kumquatshelf/kumquatshelf/internal/config/settings"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/core/suspicion"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/configuration"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/directory"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/discovery"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/document"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/egress"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/ingress"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/limits"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/membership"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
	wire "github.com/kumquatshelf/kumquatshelf/platform"
)

const (
	// groups is the number of groups of client accounts. All daemons use the same
	// number. Each group costs each owner four pledges a second.
	groups = 1
	// stopTimeout bounds a planned stop.
	stopTimeout = 30 * time.Second
	// stopMargin is what a planned stop leaves of the time after which the platform
	// kills a process.
	stopMargin = 400 * time.Millisecond
	// lameDuck is how long a stopping daemon goes on answering callers, asking
	// each to close its connection, while it already refuses new attempts.
	lameDuck = 2 * time.Second
	// idleTimeout bounds how much longer a stopping daemon answers callers that
	// have connections open and have not used them since it began to stop. On the
	// platform it is a share of the time until the process is killed, since requests
	// in flight need the rest.
	idleTimeout      = 8 * time.Second
	idleShareOfGrace = 0.25
	// auditTimeout is how long a stopping daemon tries to write its remaining
	// audit records; the store answers in milliseconds when it is up.
	auditTimeout = 2 * time.Second
	// readyInterval is how often a starting daemon looks whether it is ready.
	readyInterval = 50 * time.Millisecond
)

// configurations keep the daemon's configuration up to date.
type configurations interface {
	// Current returns the installed configuration, or nil.
	Current() *fleet.Configuration
	Subscribe() (<-chan struct{}, func())
	HandleFetchPart(request *peerpb.FetchPart) *peerpb.Part
	// LastStoreContact returns when the store answered last, and LastKeys when it told
	// about keys last.
	LastStoreContact() time.Time
	LastKeyRead() time.Time
}

// Daemon is one daemon.
type Daemon struct {
	settings settings.Settings
	options  Options
	log      *slog.Logger
	metrics  *expvar.Map

	network    *peer.Network
	handler    *handler
	store      *wire.Store
	audit      *trail.Trail
	membership *membership.Membership
	directory  *directory.Directory
	keys       *keys.Table
	loader     configurations
	limits     *limits.Limiter
	// registry is nil where the settings name the seeds.
	registry *discovery.Registry
	egress   *egress.Egress
	ingress  *ingress.Ingress
	front    *caller.Server

	// stopGrace is within how many nanoseconds a stop must end, or 0.
	stopGrace atomic.Int64
	// accepting says that callers should be sent to the daemon.
	accepting atomic.Bool
	running   sync.WaitGroup
	// cleanUps run in reverse order.
	cleanUps []func()
	// restart is closed when the daemon cannot go on: under its incarnation, or
	// without a listener for callers.
	restart     chan struct{}
	restartOnce sync.Once
}

// Options change how a daemon connects. The zero value uses TCP.
type Options struct {
	// DialPeer opens connections to other daemons.
	DialPeer peer.Dial
	// Store are the options of the store's client.
	Store wire.StoreOptions
}

// New starts a daemon and returns it with its clean-up function. Call Stop
// before that for a planned stop. Metrics receives the daemon's variables.
func New(s settings.Settings, options Options, log *slog.Logger, metrics *expvar.Map) (*Daemon, func(), error) {
	d := &Daemon{
		settings: s, options: options, log: log, metrics: metrics, keys: keys.NewTable(), restart: make(chan struct{}),
	}

	d.stopGrace.Store(int64(s.Bounds.StopGrace))
	metrics.Set("Process", processVariables())

	ctx, cancel := context.WithCancel(context.Background())
	d.cleanUps = append(d.cleanUps, func() {
		cancel()
		d.running.Wait()
	})

	d.running.Go(func() { tuneCollection(ctx) })

	for _, start := range []func(context.Context) error{
		d.startStore, d.startMembership, d.startControl, d.startData, d.startAnnouncements, d.startOperator,
		d.startReadiness, d.startMetrics, d.startFront,
	} {
		if err := start(ctx); err != nil {
			d.close()

			return nil, nil, err
		}
	}

	return d, d.close, nil
}

func (d *Daemon) close() {
	for i := len(d.cleanUps) - 1; i >= 0; i-- {
		d.cleanUps[i]()
	}

	d.cleanUps = nil
}

func (d *Daemon) onClose(cleanUp func()) {
	d.cleanUps = append(d.cleanUps, cleanUp)
}

// startMembership joins the fleet, so that the incarnation is settled before
// anything else depends on it.
func (d *Daemon) startMembership(ctx context.Context) error {
	address := cmp.Or(d.settings.PeerListenAddress, d.settings.PeerAddress)

	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return fmt.Errorf("listen for daemons on %s: %w", address, err)
	}

	incarnation := membership.IncarnationAt(time.Now())

	var cleanUp func()

	d.network, cleanUp = peer.New(listener, peer.Identity{
		Name: d.settings.Name, Incarnation: incarnation, AvailabilityZone: d.settings.AvailabilityZone,
	}, d.options.DialPeer, peer.DefaultTiming())
	d.onClose(cleanUp)
	d.metrics.Set("Peers", d.network.Variables())

	settled := make(chan struct{})
	d.membership, cleanUp = membership.New(membership.Settings{
		Name: d.settings.Name, AvailabilityZone: d.settings.AvailabilityZone, Region: d.settings.Region,
		PeerAddress: d.settings.PeerAddress, OperatorAddress: d.settings.OperatorAddress,
		Seeds: d.settings.Seeds, Incarnation: incarnation,
		DiscoverSeeds:       d.discover(),
		OnIncarnationRaised: func(incarnation uint64) { d.raised(incarnation, settled) },
	}, d.network, newRandom())
	d.onClose(cleanUp)
	d.metrics.Set("Membership", d.membership.Variables())
	d.directory = directory.New(d.settings.AvailabilityZone, d.membership.Status)
	d.handler = newHandler(d)
	d.network.Start(d.membership, d.handler)

	select {
	case <-d.membership.Joined():
	case <-time.After(joinTimeout):
		d.log.Warn("no peer answered; serving without one", "timeout", joinTimeout)
	case <-ctx.Done():
	}

	close(settled)

	return nil
}

// raised is called when peers remember a higher incarnation of this daemon,
// which happens after the clock was set back. Until the daemon has settled the
// new one is taken over; afterwards attempts depend on the old one, and the
// daemon has to start anew.
func (d *Daemon) raised(incarnation uint64, settled <-chan struct{}) {
	select {
	case <-settled:
		d.log.Error("a higher incarnation of this daemon is known; restarting", "incarnation", incarnation)
		d.requestRestart()
	default:
		d.network.SetIncarnation(incarnation)
	}
}

// startStore connects to the platform's store. A daemon on the platform registers
// there, so that others find it.
func (d *Daemon) startStore(context.Context) error {
	var cleanUp func()

	d.store, cleanUp = wire.NewStore(d.settings.Platform.String(), d.options.Store)
	d.onClose(cleanUp)
	d.metrics.Set("Store", d.store.Variables())

	if d.onPlatform() {
		d.registry, cleanUp = discovery.New(d.settings.Name, d.settings.PeerAddress, d.store, newRandom(), d.log)
		d.onClose(cleanUp)
	}

	return nil
}

// onPlatform reports whether the daemon speaks with the platform's callers,
// upstreams and operators.
func (d *Daemon) onPlatform() bool {
	return d.settings.Interface == settings.InterfacePlatform
}

// discover returns how to find other daemons where the settings do not name them.
func (d *Daemon) discover() func(ctx context.Context) []netip.AddrPort {
	if d.registry == nil {
		return nil
	}

	return func(ctx context.Context) []netip.AddrPort { return d.registry.Peers(ctx, joinThrough) }
}

// joinThrough is how many daemons are asked when joining. They may be gone.
const joinThrough = 3

// startControl starts what keeps the daemon in step with the fleet.
func (d *Daemon) startControl(context.Context) error {
	var cleanUp func()

	d.audit, cleanUp = trail.New(d.store, d.log)
	d.onClose(cleanUp)

	if d.onPlatform() {
		d.loader, cleanUp = document.New(document.Dependencies{
			Source: wire.ConfigurationSource(), Store: d.store, Entries: signals{d}, Peers: d.network,
			Members: d.membership, Random: newRandom(), Log: d.log,
		})
	} else {
		d.loader, cleanUp = configuration.New(configuration.Dependencies{
			Name: d.settings.Name, Store: d.store, Entries: signals{d}, Peers: d.network,
			Membership: d, Random: newRandom(), Log: d.log,
		})
	}

	d.onClose(cleanUp)
	d.startLimits()

	return nil
}

// startData starts the two roles that requests pass through.
func (d *Daemon) startData(ctx context.Context) error {
	incarnation := d.membership.Incarnation()

	var upstreams upstream.Protocol = upstream.OwnProtocol{}

	egressSettings := egress.DefaultSettings(incarnation)

	if d.onPlatform() {
		upstreams = wire.UpstreamProtocol{}
		egressSettings.AnnounceTimeout = silentUpstream
	}

	egressSettings.SuspicionThreshold = d.threshold

	client, cleanUp := upstream.NewClient(upstreams)
	d.onClose(cleanUp)

	d.egress, cleanUp = egress.New(egressSettings, client, observer{}, d.log)
	d.onClose(cleanUp)
	d.metrics.Set("Egress", d.egress.Metrics())

	self := fleet.Session{Daemon: d.settings.Name, Incarnation: incarnation, Number: 1}
	d.egress.OpenSession(self)

	requests := new(expvar.Map).Init()
	d.metrics.Set("Ingress", requests)

	dependencies := ingress.Dependencies{
		Name: d.settings.Name, Incarnation: incarnation, Service: d.settings.Service,
		Egress:  forwarding{network: d.network, local: d.egress, self: self},
		Limiter: d.limits, Candidates: d.directory, ContactSource: d, NestedCalls: d.egress,
		Keys: d.keys, Random: newRandom(), Log: d.log, Metrics: requests, AcceptTimeout: acceptTimeout,
	}
	if d.onPlatform() {
		dependencies.SlotCheckMinBytes, dependencies.RetryBudget = askAbove, d.limits
	}

	d.ingress, cleanUp = ingress.New(dependencies)
	d.onClose(cleanUp)

	d.handler.ready()
	d.follow(ctx)

	return nil
}

const (
	// silentUpstream is how long an upstream stays known without an announcement.
	// Its daemon notices at the next call if it is gone, and announcements can be
	// delayed by seconds.
	silentUpstream = 15 * time.Second
	// acceptTimeout is many round trips within a region, and long enough for a
	// daemon that waits for its share of the processor.
	acceptTimeout = 250 * time.Millisecond
	// askAbove is a few times the size of a question and its answer.
	askAbove = 600
)

// threshold returns the evidence from which an upstream of a service is suspect.
func (d *Daemon) threshold(service string) float64 {
	if current := d.loader.Current(); current != nil && current.Services[service].DetectionThreshold > 0 {
		return current.Services[service].DetectionThreshold
	}

	return suspicion.DefaultThreshold
}

// observer takes what finished attempts tell about upstreams.
type observer struct{}

func (observer) Observe(fleet.Observation) {}

// startReadiness answers whether callers should be sent to the daemon.
func (d *Daemon) startReadiness(context.Context) error {
	if !d.settings.ReadyAddress.IsValid() {
		return nil
	}

	router := echo.New()
	wire.RegisterReadiness(router, func() bool { return d.accepting.Load() })

	return d.serve("readiness", d.settings.ReadyAddress, router)
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // balancing and jitter
}
