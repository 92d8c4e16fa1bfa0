// Package server wires the parts of a daemon together.
package server

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/caller"
	"github.com/kumquatshelf/kumquatshelf/internal/adapter/peer"
	"github.com/kumquatshelf/kumquatshelf/internal/adapter/platform"
	"github.com/kumquatshelf/kumquatshelf/internal/adapter/upstream"
	"github.com/kumquatshelf/kumquatshelf/internal/audit/trail"
	"github.com/kumquatshelf/kumquatshelf/internal/config/settings"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/arbiter"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/configuration"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/directory"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/egress"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/ingress"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/limits"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/membership"
)

const (
	// groups is the number of groups of client accounts and services. All
	// daemons use the same number.
	groups = 16
	// stopTimeout bounds a planned stop.
	stopTimeout = 30 * time.Second
	// lameDuck is how long a stopping daemon goes on answering callers, asking
	// each to close its connection, while it already refuses new attempts.
	lameDuck = 2 * time.Second
	// auditTimeout is how long a stopping daemon tries to write its remaining
	// audit records; the store answers in milliseconds when it is up.
	auditTimeout = 2 * time.Second
	// readyInterval is how often a starting daemon looks whether it is ready.
	readyInterval = 50 * time.Millisecond
)

// Server is one daemon.
type Server struct {
	settings settings.Settings
	options  Options
	log      *slog.Logger
	metrics  *expvar.Map

	network    *peer.Network
	handler    *handler
	store      *platform.Client
	audit      *trail.Trail
	membership *membership.Membership
	directory  *directory.Directory
	keys       *keys.Table
	loader     *configuration.Loader
	limits     *limits.Limiter
	arbiter    *arbiter.Arbiter
	egress     *egress.Egress
	ingress    *ingress.Ingress
	front      *caller.Front

	running sync.WaitGroup
	// cleanUps run in reverse order.
	cleanUps []func()
	// restart is closed when the daemon cannot go on under its incarnation.
	restart chan struct{}
}

// Options change how a daemon connects. The zero value uses TCP.
type Options struct {
	// DialPeer opens connections to other daemons.
	DialPeer peer.Dial
	// Platform are the options of the store's client.
	Platform platform.Options
}

// New starts a daemon and returns it with its clean-up function. Call Stop
// before that for a planned stop. Metrics receives the daemon's variables.
func New(s settings.Settings, options Options, log *slog.Logger, metrics *expvar.Map) (*Server, func(), error) {
	d := &Server{
		settings: s, options: options, log: log, metrics: metrics, keys: keys.NewTable(), restart: make(chan struct{}),
	}

	metrics.Set("Process", processVariables())

	ctx, cancel := context.WithCancel(context.Background())
	d.cleanUps = append(d.cleanUps, func() {
		cancel()
		d.running.Wait()
	})

	d.running.Go(func() { tuneCollection(ctx) })

	for _, start := range []func(context.Context) error{
		d.startMembership, d.startControl, d.startData, d.startAnnouncements, d.startOperator, d.startFront,
	} {
		if err := start(ctx); err != nil {
			d.close()

			return nil, nil, err
		}
	}

	return d, d.close, nil
}

func (d *Server) close() {
	for i := len(d.cleanUps) - 1; i >= 0; i-- {
		d.cleanUps[i]()
	}

	d.cleanUps = nil
}

func (d *Server) onClose(cleanUp func()) {
	d.cleanUps = append(d.cleanUps, cleanUp)
}

// startMembership joins the fleet, so that the incarnation is settled before
// anything else depends on it.
func (d *Server) startMembership(ctx context.Context) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(d.settings.PeerAddress))
	if err != nil {
		return fmt.Errorf("listen for daemons on %s: %w", d.settings.PeerAddress, err)
	}

	incarnation := membership.Incarnation(time.Now())

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
		Raised: func(incarnation uint64) { d.raised(incarnation, settled) },
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
func (d *Server) raised(incarnation uint64, settled <-chan struct{}) {
	select {
	case <-settled:
		d.log.Error("a higher incarnation of this daemon is known; restarting", "incarnation", incarnation)

		select {
		case <-d.restart:
		default:
			close(d.restart)
		}
	default:
		d.network.SetIncarnation(incarnation)
	}
}

// startControl starts what keeps the daemon in step with the fleet.
func (d *Server) startControl(context.Context) error {
	var cleanUp func()

	d.store, cleanUp = platform.New(d.settings.Platform.String(), d.options.Platform)
	d.onClose(cleanUp)

	d.audit, cleanUp = trail.New(d.store, d.log)
	d.onClose(cleanUp)

	d.loader, cleanUp = configuration.New(configuration.Dependencies{
		Name: d.settings.Name, Store: d.store, Entries: signals{d}, Peers: d.network,
		Membership: d, Random: newRandom(), Log: d.log,
	})
	d.onClose(cleanUp)

	d.startLimits()

	d.arbiter, cleanUp = arbiter.New(arbiter.Options{
		Name: d.settings.Name, AvailabilityZone: d.settings.AvailabilityZone, Groups: groups, Seed: rand.Uint64(), //nolint:gosec // jitter
	}, arbiter.Ports{
		Peers: d.network, Leases: d.limits, Entries: entriesPort{d}, Announced: d.directory,
		Services: d, Audit: auditPort{d},
	})
	d.onClose(cleanUp)
	d.directory.Decisions = d.arbiter.State

	losses := d.arbiter.Losses()
	counters := new(expvar.Map).Init()
	d.metrics.Set("Arbiter", counters)

	for name, counter := range map[string]*atomic.Int64{
		"ObservationsDropped": &losses.Observations, "ReportsDropped": &losses.Reports, "FramesDropped": &losses.Frames,
		"FramesMalformed": &losses.Malformed, "AuditRecordsDropped": &losses.Audits,
	} {
		counters.Set(name, expvar.Func(func() any { return counter.Load() }))
	}

	return nil
}

// startData starts the two roles that requests pass through.
func (d *Server) startData(ctx context.Context) error {
	incarnation := d.membership.Incarnation()

	client, cleanUp := upstream.NewClient()
	d.onClose(cleanUp)

	d.egress, cleanUp = egress.New(egress.DefaultSettings(incarnation), client, d.arbiter)
	d.onClose(cleanUp)
	d.metrics.Set("Egress", d.egress.Metrics())

	self := fleet.Session{Daemon: d.settings.Name, Incarnation: incarnation, Number: 1}
	d.egress.Opened(self)

	requests := new(expvar.Map).Init()
	d.metrics.Set("Ingress", requests)

	d.ingress, cleanUp = ingress.New(ingress.Dependencies{
		Name: d.settings.Name, Incarnation: incarnation,
		Egress:  forwarding{network: d.network, local: d.egress, self: self},
		Limiter: d.limits, Candidates: d.directory, Contacts: d, Evidence: d.arbiter,
		Keys: d.keys, Random: newRandom(), Log: d.log, Metrics: requests,
	})
	d.onClose(cleanUp)

	d.handler.ready()
	d.follow(ctx)

	return nil
}

// startFront prepares the callers' address. Requests are accepted once the
// daemon can serve them, because until then it could only refuse them.
func (d *Server) startFront(ctx context.Context) error {
	metrics := new(expvar.Map).Init()
	d.metrics.Set("Callers", metrics)

	front, cleanUp := caller.New(d.settings.CallerAddress, d.ingress, caller.Bounds{
		MaxHeaderBytes: d.settings.MaxHeaderBytes, MaxBodyBytes: int64(d.settings.MaxBodyBytes),
	}, d.log, metrics)
	d.front = front
	d.onClose(cleanUp)
	d.running.Go(func() { d.openFront(ctx) })

	return nil
}

// openFront begins to accept callers when a configuration is installed and keys
// can be checked.
func (d *Server) openFront(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()

	for !d.ready() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}

	if err := d.front.Start(); err != nil {
		d.log.Error("callers cannot be accepted", "error", err)

		return
	}

	d.log.Info("accepting callers", "address", d.settings.CallerAddress)
}

func (d *Server) ready() bool {
	contact := d.Contact()

	return d.loader.Current() != nil && contact.Informed() && keys.Fresh(time.Now(), contact)
}

// Restart is closed when the daemon should be stopped and started anew.
func (d *Server) Restart() <-chan struct{} {
	return d.restart
}

// Stop ends the daemon as planned: requests in flight finish, nothing new is
// begun, and leases and tokens are given back.
func (d *Server) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()

	d.log.Info("stopping")
	d.membership.SetLeaving(true)
	d.front.Drain()

	stopped := make(chan int, 1)

	go func() { stopped <- d.egress.Stop(ctx) }()

	// The leases go first, because a group grants nothing until its lease has
	// been taken over.
	released := make(chan struct{})

	go func() {
		defer close(released)

		d.stopLimits(ctx)
	}()

	select {
	case <-time.After(lameDuck):
	case <-ctx.Done():
	}

	d.front.Stop(ctx)
	d.ingress.Stop(ctx)

	if running := <-stopped; running > 0 {
		d.log.Warn("attempts were cut at the end of the stop", "attempts", running)
	}

	<-released

	if !d.membership.Leave(ctx) {
		d.log.Warn("no peer learned of the stop")
	}

	d.flushAudit(ctx)

	d.log.Info("stopped")
}

// flushAudit writes the remaining audit records, or logs them if the store is
// away: waiting for it would keep a daemon from being replaced in an outage.
func (d *Server) flushAudit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()

	if d.audit.Flush(ctx) {
		return
	}

	for _, record := range d.audit.Unwritten() {
		d.log.Warn("audit record not written", "record", record)
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // balancing and jitter
}

// auditPort records the arbiter's decisions.
type auditPort struct {
	*Server
}

// Record adds one audit record on behalf of this daemon.
func (a auditPort) Record(action, subject, detail string) {
	a.audit.Add(trail.Record{
		Who: "daemon " + a.settings.Name, When: time.Now(), Action: action, Subject: subject, Detail: detail,
	})
}
