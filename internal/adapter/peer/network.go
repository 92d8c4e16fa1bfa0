// Package peer transports attempts and control messages between daemons as
// length-delimited protobuf frames on yamux sessions over TCP.
package peer

import (
	"context"
	"expvar"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/workers"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// ProtocolVersion is the protocol version that both sides must send in their Hello.
const ProtocolVersion = 1

// Directory resolves the name of a daemon to the address on which it accepts
// sessions. Address returns false for an unknown daemon.
type Directory interface {
	Address(daemon string) (netip.AddrPort, bool)
}

// Handler serves the frames of other daemons. Its methods are called from many
// goroutines. Opened returns before any frame of its session is handled. If a daemon
// opens a new session in the same incarnation, Closed of its older session returns
// before Opened of the new session is called. Run may be called after Closed for a frame that
// was read before its session closed; the handler must refuse that attempt.
type Handler interface {
	// Opened and Closed are called once for each accepted session that is not
	// auxiliary.
	Opened(session fleet.Session)
	Closed(session fleet.Session)
	// Run serves an attempt. Its context ends when the sender closes the stream or
	// the session ends. The network closes the body of the reply's answer.
	Run(ctx context.Context, session fleet.Session, attempt fleet.Attempt) fleet.Reply
	// Cancel cancels an attempt that arrived on the session. The egress
	// incarnation is the one of this daemon to which the attempt was sent.
	Cancel(
		ctx context.Context, session fleet.Session, id fleet.AttemptID, egressIncarnation uint64,
	) fleet.CancelResult
	// Control returns the answer to any other frame, or false if the daemon does
	// not support the frame. From is the name of the sending daemon.
	Control(ctx context.Context, from string, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Identity is the description of a daemon that it sends in its Hello.
type Identity struct {
	Name             string
	Incarnation      uint64
	AvailabilityZone string
}

// Dial opens a connection to a daemon. Tests replace it to inject network faults.
type Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Timing holds the network's time limits.
type Timing struct {
	// Dial limits the time for connecting and exchanging Hello frames together.
	// On the accepting side it limits the exchange only.
	Dial time.Duration
	// BackoffMin is the pause after the first failed dial; it doubles with
	// each further failure up to BackoffMax.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// KeepAlive is both the interval between pings and the timeout of a ping, so
	// that an unresponsive peer is detected within twice this time.
	KeepAlive time.Duration
	// Idle is how long a session without open streams is kept before the dialing
	// side closes it.
	Idle time.Duration
	// FirstFrame limits the wait for the first frame of an accepted stream.
	FirstFrame time.Duration
	// Stop limits the wait for answers in progress when the network stops.
	Stop time.Duration
}

// DefaultTiming returns the time limits for a fleet within one region.
func DefaultTiming() Timing {
	return Timing{
		Dial:       time.Second,
		BackoffMin: 100 * time.Millisecond,
		BackoffMax: 2 * time.Second,
		KeepAlive:  time.Second,
		Idle:       time.Minute,
		FirstFrame: 10 * time.Second,
		Stop:       time.Second,
	}
}

// Network holds one daemon's sessions with all other daemons. It is safe for
// concurrent use.
type Network struct {
	listener net.Listener
	dial     Dial
	timing   Timing
	counters counters
	started  atomic.Bool
	stopOnce sync.Once
	// stopped is closed when the network begins to stop.
	stopped chan struct{}
	// lastSessionNumber is the number in the latest Hello. Peers reject a session
	// whose number is not above that of the daemon's session before it.
	lastSessionNumber atomic.Uint64
	// goroutines counts accept, maintain and the goroutine of each connection, for
	// which stopping waits.
	goroutines sync.WaitGroup
	// workers runs the goroutines of accepted streams.
	workers *workers.Pool
	// stopWorkers ends the idle goroutines of workers.
	stopWorkers func()

	// directory and handler are nil before Start and not changed after it.
	directory Directory
	handler   Handler

	// mu guards the fields below.
	mu       sync.Mutex
	identity Identity
	// links holds the main outgoing sessions by daemon name.
	links map[string]*link
	// auxiliaryLinks holds the outgoing sessions by daemon name that only carry
	// messages which must not wait for an unresponsive main session.
	auxiliaryLinks   map[string]*link
	acceptedSessions map[acceptedKey]*acceptedSession
}

// counters are published by Variables under the names of the fields.
type counters struct {
	Dials, DialFailures, Accepted, Refused             expvar.Int
	Malformed, Oversized, WrongVersion, Silent, Idle   expvar.Int
	Attempts, Served, Calls, CallFailures, Unsupported expvar.Int
}

// New returns a network that accepts sessions from the listener after Start, and a
// function that closes the listener and all sessions and waits up to timing.Stop
// for answers in progress. A nil dial connects over TCP. The network takes
// ownership of the listener.
func New(listener net.Listener, identity Identity, dial Dial, timing Timing) (*Network, func()) {
	if dial == nil {
		dialer := &net.Dialer{}
		dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address.String())
		}
	}
	n := &Network{
		listener:         listener,
		dial:             dial,
		timing:           timing,
		identity:         identity,
		stopped:          make(chan struct{}),
		links:            map[string]*link{},
		auxiliaryLinks:   map[string]*link{},
		acceptedSessions: map[acceptedKey]*acceptedSession{},
	}
	n.workers, n.stopWorkers = workers.New()

	return n, n.stop
}

// Start begins to accept sessions. It panics if it is called twice. The directory
// and the handler are not parameters of New because they may depend on the network
// themselves. Before Start only CallAddress reaches other daemons.
func (n *Network) Start(directory Directory, handler Handler) {
	n.mu.Lock()
	n.directory, n.handler = directory, handler
	n.mu.Unlock()
	if n.started.Swap(true) {
		panic("peer: network started twice")
	}
	n.goroutines.Add(2)
	go n.accept()
	go n.maintain()
}

// SetIncarnation replaces the incarnation of this daemon and closes all sessions,
// so that every peer receives the new incarnation in the Hello of its next session.
// It does nothing if the incarnation is unchanged.
func (n *Network) SetIncarnation(incarnation uint64) {
	n.mu.Lock()
	if n.identity.Incarnation == incarnation {
		n.mu.Unlock()

		return
	}
	n.identity.Incarnation = incarnation
	n.mu.Unlock()
	n.closeSessions()
}

// Incarnation returns the incarnation that a daemon sent when this daemon opened
// its main session to it, or false if no such session is open.
func (n *Network) Incarnation(daemon string) (uint64, bool) {
	n.mu.Lock()
	l := n.links[daemon]
	n.mu.Unlock()
	if l == nil {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil || l.session.mux.IsClosed() {
		return 0, false
	}

	return l.session.peer.Incarnation, true
}

// Variables returns the network's counters by name. The caller publishes them.
func (n *Network) Variables() *expvar.Map {
	variables := new(expvar.Map)
	c := &n.counters
	for name, counter := range map[string]*expvar.Int{
		"Dials": &c.Dials, "DialFailures": &c.DialFailures, "Accepted": &c.Accepted, "Refused": &c.Refused,
		"Malformed": &c.Malformed, "Oversized": &c.Oversized, "WrongVersion": &c.WrongVersion,
		"Silent": &c.Silent, "Idle": &c.Idle, "Attempts": &c.Attempts, "Served": &c.Served,
		"Calls": &c.Calls, "CallFailures": &c.CallFailures, "Unsupported": &c.Unsupported,
	} {
		variables.Set(name, counter)
	}

	return variables
}

func (n *Network) stop() {
	n.stopOnce.Do(n.shutDown)
}

// shutDown closes the listener, waits up to timing.Stop for the answers in progress,
// closes all sessions and waits for the goroutines.
func (n *Network) shutDown() {
	close(n.stopped)
	_ = n.listener.Close()
	deadline := time.Now().Add(n.timing.Stop)
	for n.hasOpenStreams() && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	n.closeSessions()
	n.goroutines.Wait()
	n.stopWorkers()
}

// hasOpenStreams reports whether an accepted session has an open stream.
func (n *Network) hasOpenStreams() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.acceptedSessions {
		if a.mux.NumStreams() > 0 {
			return true
		}
	}

	return false
}

func (n *Network) closeSessions() {
	n.mu.Lock()
	links := n.allLinks()
	sessions := make([]*acceptedSession, 0, len(n.acceptedSessions))
	for _, a := range n.acceptedSessions {
		sessions = append(sessions, a)
	}
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	for _, a := range sessions {
		_ = a.mux.Close()
	}
}

// allLinks returns the main and the auxiliary links. The caller must hold mu.
func (n *Network) allLinks() []*link {
	links := make([]*link, 0, len(n.links)+len(n.auxiliaryLinks))
	for _, l := range n.links {
		links = append(links, l)
	}
	for _, l := range n.auxiliaryLinks {
		links = append(links, l)
	}

	return links
}

func (n *Network) isStopped() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

// acceptBacklog is the maximum number of streams in one session that one side has
// opened and the other side has not accepted yet. 256 streams per round trip of
// 0.5 ms are more than one session carries. Yamux reserves 8 bytes for each of
// them at both ends.
const acceptBacklog = 256

// muxLogger discards the log messages of yamux.
var muxLogger = log.New(io.Discard, "", 0)

func (n *Network) muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = n.timing.KeepAlive
	// The keep-alive detects a peer that never accepts a stream. The timeout of
	// yamux would need a goroutine for each stream.
	config.StreamOpenTimeout = 0
	config.LogOutput = nil
	config.Logger = muxLogger

	return config
}
