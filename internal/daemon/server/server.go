// Package server assembles a daemon from its components, and starts and stops them.
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
	"github.com/kumquatshelf/kumquatshelf/internal/core/novelty"
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
	// groupCount is the number of groups of client accounts, which must be equal on
	// all daemons. Each group costs each owner four pledges a second.
	groupCount = 1
	// stopTimeout bounds a planned stop if the settings have no Bounds.StopGrace.
	stopTimeout = 30 * time.Second
	// stopMargin is the time between the deadline of a planned stop and the end of
	// Bounds.StopGrace, when the platform kills the process.
	stopMargin = 400 * time.Millisecond
	// lameDuckPeriod is how long a stopping daemon asks callers to close their connections
	// before it refuses new attempts, because its upstreams may well go on running. It is
	// at most the stop's time divided by lameDuckDivisor: running attempts need the rest.
	lameDuckPeriod  = 2 * time.Second
	lameDuckDivisor = 2
	// idleTimeout bounds how long a stopping daemon waits, after the lame-duck period,
	// for callers whose open connections have been idle since the stop began. If
	// Bounds.StopGrace is set, the wait is at most idleGraceFraction × Bounds.StopGrace,
	// because requests in flight need the rest of Bounds.StopGrace.
	idleTimeout       = 8 * time.Second
	idleGraceFraction = 0.25
	// auditTimeout bounds the write of the remaining audit records in a planned stop.
	// The store answers within milliseconds when it is available.
	auditTimeout = 2 * time.Second
	// maxLoggedProblems bounds the lines about unusable member entries in problemRetention.
	maxLoggedProblems = 64
	problemRetention  = time.Hour
	// readyPollInterval is how often a starting daemon checks whether it can serve.
	readyPollInterval = 50 * time.Millisecond
)

// configurationLoader is the component that keeps the daemon's configuration up to date.
type configurationLoader interface {
	// Current returns the installed configuration, or nil.
	Current() *fleet.Configuration
	// Subscribe returns a channel that receives a value after each installation, and
	// a function that ends the subscription.
	Subscribe() (<-chan struct{}, func())
	// HandleFetchPart answers another daemon's request for a part of the configuration.
	HandleFetchPart(request *peerpb.FetchPart) *peerpb.Part
	// LastStoreContact returns when the store last answered, or the zero time.
	LastStoreContact() time.Time
	// LastConfigurationRead returns the time as of which the configuration was last read
	// from the store, or the zero time.
	LastConfigurationRead() time.Time
	// LastKeyRead returns the time as of which keys were last read from the store, or the
	// zero time.
	LastKeyRead() time.Time
}

// Daemon is one daemon with all its components.
type Daemon struct {
	settings settings.Settings
	options  Options
	log      *slog.Logger
	// metrics receives the variables of all components.
	metrics *expvar.Map

	network    *peer.Network
	handler    *handler
	store      *wire.Store
	audit      *trail.Trail
	membership *membership.Membership
	directory  *directory.Directory
	keys       *keys.Table
	loader     configurationLoader
	limits     *limits.Limiter
	// registry discovers other daemons through the store. It is nil unless the daemon
	// runs on the platform; without it, seeds come from the settings alone.
	registry     *discovery.Registry
	egress       *egress.Egress
	ingress      *ingress.Ingress
	callerServer *caller.Server

	// stopGrace is Bounds.StopGrace in nanoseconds: a stop must end within it. It is 0 if
	// the settings have none.
	stopGrace atomic.Int64
	// accepting is true while the daemon accepts callers. The platform's readiness check
	// reports it, so that the platform sends callers only to daemons that accept them.
	accepting  atomic.Bool
	goroutines sync.WaitGroup
	// cleanUps are run in reverse order when the daemon closes.
	cleanUps []func()
	// unusableMembers counts the member entries that could not be used as a whole, and
	// problems has the daemons for which that was logged. It is used by one goroutine.
	unusableMembers expvar.Int
	problems        *novelty.Set
	// restart is closed when the daemon must be started anew: because peers know a
	// higher incarnation of it, or because accepting callers failed.
	restart     chan struct{}
	restartOnce sync.Once
}

// Options configure how a daemon opens connections. The zero value uses TCP.
type Options struct {
	// DialPeer opens connections to other daemons.
	DialPeer peer.Dial
	// Store configures the client of the platform's store.
	Store wire.StoreOptions
}

// New starts a daemon and returns it with its clean-up function, which ends it at
// once; call Stop first for a planned stop. The daemon's variables are added to
// metrics. If one of its addresses cannot be bound, New closes everything again and
// returns an error; the metrics' and the callers' addresses are exceptions, since
// failures there are only logged.
func New(s settings.Settings, options Options, log *slog.Logger, metrics *expvar.Map) (*Daemon, func(), error) {
	d := &Daemon{
		settings: s, options: options, log: log, metrics: metrics, keys: keys.NewTable(), restart: make(chan struct{}),
		problems: novelty.New(maxLoggedProblems, problemRetention),
	}

	metrics.Set("MembersUnusable", &d.unusableMembers)

	d.stopGrace.Store(int64(s.Bounds.StopGrace))
	metrics.Set("Process", processVariables())

	ctx, cancel := context.WithCancel(context.Background())
	d.cleanUps = append(d.cleanUps, func() {
		cancel()
		d.goroutines.Wait()
	})

	d.goroutines.Go(func() { tuneGC(ctx) })

	for _, start := range []func(context.Context) error{
		d.startStore, d.startMembership, d.startControl, d.startData, d.startAnnouncements, d.startOperator,
		d.startReadiness, d.startMetrics, d.startCallerServer,
	} {
		if err := start(ctx); err != nil {
			d.close()

			return nil, nil, err
		}
	}

	return d, d.close, nil
}

// close runs the clean-up functions in reverse order of their registration.
func (d *Daemon) close() {
	for i := len(d.cleanUps) - 1; i >= 0; i-- {
		d.cleanUps[i]()
	}

	d.cleanUps = nil
}

// onClose registers a function that close runs.
func (d *Daemon) onClose(cleanUp func()) {
	d.cleanUps = append(d.cleanUps, cleanUp)
}

// startMembership joins the fleet and waits up to joinTimeout for a peer. The daemon's
// incarnation is final when startMembership returns, before any other component uses it.
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

	joinEnded := make(chan struct{})
	d.membership, cleanUp = membership.New(membership.Settings{
		Name: d.settings.Name, AvailabilityZone: d.settings.AvailabilityZone, Region: d.settings.Region,
		PeerAddress: d.settings.PeerAddress, OperatorAddress: d.settings.OperatorAddress,
		Seeds: d.settings.Seeds, Incarnation: incarnation,
		DiscoverSeeds:       d.discoverPeers(),
		OnIncarnationRaised: func(incarnation uint64) { d.onIncarnationRaised(incarnation, joinEnded) },
	}, d.network, newRandom())
	d.onClose(cleanUp)
	d.metrics.Set("Membership", d.membership.Variables())
	d.directory = directory.New(d.settings.AvailabilityZone, d.membership.Status)
	d.handler = newHandler(d)
	d.network.Start(d.membership, d.handler)

	select {
	case <-d.membership.Joined():
	case <-time.After(joinTimeout):
		d.log.Warn("no peer answered within the join timeout; continuing without peers", "timeout", joinTimeout)
	case <-ctx.Done():
	}

	close(joinEnded)

	return nil
}

// onIncarnationRaised is called when peers remember a higher incarnation of this
// daemon, which happens after the clock was set back. Until the join has ended, the
// daemon adopts the new incarnation. After that, attempts depend on the old one, so
// the daemon requests a restart.
func (d *Daemon) onIncarnationRaised(incarnation uint64, joinEnded <-chan struct{}) {
	select {
	case <-joinEnded:
		d.log.Error("a higher incarnation of this daemon is known; restarting", "incarnation", incarnation)
		d.requestRestart()
	default:
		d.network.SetIncarnation(incarnation)
	}
}

// startStore creates the client of the platform's store. A daemon on the platform
// also registers its address in the store, where other daemons discover it.
func (d *Daemon) startStore(context.Context) error {
	var cleanUp func()

	options := d.options.Store
	if options.Log == nil {
		options.Log = d.log
	}

	d.store, cleanUp = wire.NewStore(d.settings.Platform.String(), options)
	d.onClose(cleanUp)
	d.metrics.Set("Store", d.store.Variables())

	if d.onPlatform() {
		d.registry, cleanUp = discovery.New(d.settings.Name, d.settings.PeerAddress, d.store, newRandom(), d.log)
		d.onClose(cleanUp)
	}

	return nil
}

// onPlatform reports whether the daemon uses the platform's protocols with callers,
// upstreams and operators instead of the fleet's own.
func (d *Daemon) onPlatform() bool {
	return d.settings.Interface == settings.InterfacePlatform
}

// discoverPeers returns a function that looks up the addresses of other daemons in the
// store, or nil if the daemon does not run on the platform.
func (d *Daemon) discoverPeers() func(ctx context.Context) []netip.AddrPort {
	if d.registry == nil {
		return nil
	}

	return func(ctx context.Context) []netip.AddrPort { return d.registry.Peers(ctx, joinPeers) }
}

// joinPeers is how many discovered daemons a starting daemon contacts to join. It is
// above 1 because some of them may have stopped since they registered.
const joinPeers = 3

// startControl starts the audit trail, the component that follows the published
// configuration, and the limiter.
func (d *Daemon) startControl(context.Context) error {
	var cleanUp func()

	d.audit, cleanUp = trail.New(d.store, d.log)
	d.onClose(cleanUp)

	if d.onPlatform() {
		d.loader, cleanUp = document.New(document.Dependencies{
			Source: wire.ConfigurationSource(), MaxDelay: d.configurationDelay(), Store: d.store, Entries: coalescedEntries{d}, Peers: d.network,
			Members: d.membership, Random: newRandom(), Log: d.log,
		})
	} else {
		d.loader, cleanUp = configuration.New(configuration.Dependencies{
			Name: d.settings.Name, Store: d.store, Entries: coalescedEntries{d}, Peers: d.network,
			Membership: d, Random: newRandom(), Log: d.log,
		})
	}

	d.onClose(cleanUp)
	d.startLimits()

	return nil
}

// startData starts the egress and the ingress, through which requests pass, and the
// goroutines that forward changes of their inputs to them.
func (d *Daemon) startData(ctx context.Context) error {
	incarnation := d.membership.Incarnation()

	var upstreams upstream.Protocol = upstream.OwnProtocol{}

	egressSettings := egress.DefaultSettings(incarnation)

	if d.onPlatform() {
		upstreams = wire.UpstreamProtocol{}
		egressSettings.AnnounceTimeout = upstreamAnnounceTimeout
	}

	egressSettings.SuspicionThreshold = d.suspicionThreshold

	client, cleanUp := upstream.NewClient(upstreams)
	d.onClose(cleanUp)

	d.egress, cleanUp = egress.New(egressSettings, client, discardObserver{}, d.log)
	d.onClose(cleanUp)
	d.metrics.Set("Egress", d.egress.Metrics())

	ownSession := fleet.Session{Daemon: d.settings.Name, Incarnation: incarnation, Number: 1}
	d.egress.OpenSession(ownSession)

	requests := new(expvar.Map).Init()
	d.metrics.Set("Ingress", requests)

	dependencies := ingress.Dependencies{
		Name: d.settings.Name, Incarnation: incarnation, Service: d.settings.Service,
		Egress:  egressRouter{network: d.network, local: d.egress, ownSession: ownSession, relay: d.limits.CallThroughRelays},
		Limiter: d.limits, Candidates: d.directory, ContactSource: d, NestedCalls: d.egress,
		Keys: d.keys, Random: newRandom(), Log: d.log, Metrics: requests, AcceptTimeout: acceptTimeout,
	}
	if d.onPlatform() {
		dependencies.SlotCheckMinBytes, dependencies.RetryBudget = slotCheckMinBytes, d.limits
	}

	d.ingress, cleanUp = ingress.New(dependencies)
	d.onClose(cleanUp)

	d.handler.markStarted()
	d.startForwarding(ctx)

	return nil
}

const (
	// configurationDelay is the time within which a change of the configuration must be in
	// force if the settings have no Bounds.ConfigurationDelay. It is the target for fleets
	// of 3,500 daemons.
	configurationDelay = 17 * time.Second
	// upstreamAnnounceTimeout is how long an upstream on the platform stays registered
	// without an announcement. It is long because announcements can be delayed by
	// seconds, and the egress notices at the next call that an upstream is gone.
	upstreamAnnounceTimeout = 15 * time.Second
	// acceptTimeout is how long the ingress waits for an egress to confirm that an
	// attempt arrived. It covers many round trips within a region and an egress that
	// waits for processor time.
	acceptTimeout = 250 * time.Millisecond
	// slotCheckMinBytes is the request size in bytes above which the ingress first asks an
	// egress in another availability zone whether a slot is free. It is a few times the
	// size of that exchange.
	slotCheckMinBytes = 600
)

// suspicionThreshold returns the threshold at which an upstream of a service becomes
// suspect, in nats above the resting log odds of failing. It is the configured
// DetectionThreshold, or suspicion.DefaultThreshold if none is configured.
func (d *Daemon) suspicionThreshold(service string) float64 {
	if current := d.loader.Current(); current != nil && current.Services[service].DetectionThreshold > 0 {
		return current.Services[service].DetectionThreshold
	}

	return suspicion.DefaultThreshold
}

// discardObserver discards the egress's observations of finished attempts.
type discardObserver struct{}

// Observe does nothing.
func (discardObserver) Observe(fleet.Observation) {}

// startReadiness serves the platform's readiness check if the settings have an address
// for it. The daemon is ready while it accepts callers.
func (d *Daemon) startReadiness(context.Context) error {
	if !d.settings.ReadyAddress.IsValid() {
		return nil
	}

	router := echo.New()
	wire.RegisterReadiness(router, func() bool { return d.accepting.Load() })

	return d.serve("readiness", d.settings.ReadyAddress, router)
}

// newRandom returns a randomly seeded generator. It is not safe for concurrent use.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // balancing and jitter
}
