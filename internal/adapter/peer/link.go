package peer

import (
	"bufio"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// link holds the outgoing session to one daemon, which is dialed on demand. There
// is at most one.
type link struct {
	// auxiliary is announced in the Hello of the session.
	auxiliary bool

	// mu guards the fields below.
	mu      sync.Mutex
	session *session
	// address is the address to which session was dialed.
	address netip.AddrPort
	// dialing is closed when the dial in progress ends, and nil if there is none.
	dialing chan struct{}

	// The backoff ends at retryAt, after failures consecutive failed dials. It
	// applies to failedAddress only: a daemon that moves to another address is
	// dialed at once.
	failedAddress netip.AddrPort
	failures      int
	retryAt       time.Time
}

// linkTo returns the link to a daemon for attempts and control messages.
func (n *Network) linkTo(daemon string) *link {
	return n.linkIn(n.links, daemon, false)
}

// linkIn returns the link to a daemon from links, which it adds if it is missing.
func (n *Network) linkIn(links map[string]*link, daemon string, auxiliary bool) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := links[daemon]
	if l == nil {
		l = &link{auxiliary: auxiliary}
		links[daemon] = l
	}

	return l
}

// acquireAuxiliary is like acquire, for a message that must not depend on the
// session that carries attempts, because that session may be unresponsive. It
// returns an auxiliary session if a main session is open, and otherwise opens the
// main session.
func (n *Network) acquireAuxiliary(ctx context.Context, daemon string) *session {
	l := n.linkTo(daemon)
	l.mu.Lock()
	connected := l.openSession() != nil
	l.mu.Unlock()
	if !connected {
		return n.acquire(ctx, daemon)
	}

	return n.acquireOn(ctx, n.linkIn(n.auxiliaryLinks, daemon, true), daemon)
}

// acquire returns the session to a daemon, which it dials if none is open, and
// counts one more active stream on it; the caller ends that with endStream. It
// returns nil if the daemon has no known address, cannot be reached or is in
// backoff, if the network is stopped, or if ctx ends first.
func (n *Network) acquire(ctx context.Context, daemon string) *session {
	return n.acquireOn(ctx, n.linkTo(daemon), daemon)
}

// acquireOn is acquire on the given link to the daemon. Concurrent callers share
// one dial.
func (n *Network) acquireOn(ctx context.Context, l *link, daemon string) *session {
	n.mu.Lock()
	directory := n.directory
	n.mu.Unlock()
	if directory == nil || n.isStopped() {
		return nil
	}
	for {
		l.mu.Lock()
		if s := l.openSession(); s != nil {
			s.beginStream()
			l.mu.Unlock()

			return s
		}
		dialing := l.dialing
		if dialing == nil {
			address, ok := directory.Address(daemon)
			if !ok || l.failedAddress == address && time.Now().Before(l.retryAt) {
				l.mu.Unlock()

				return nil
			}
			dialing = make(chan struct{})
			l.dialing = dialing
			go n.connect(l, daemon, address)
		}
		l.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil
		}
	}
}

// acquireAddress is like acquire, for a daemon whose name is not known yet. A new
// session is stored under the name from the daemon's Hello and replaces the
// session there. There is no backoff.
func (n *Network) acquireAddress(ctx context.Context, address netip.AddrPort) *session {
	n.mu.Lock()
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		if s := l.openSession(); s != nil && l.address == address {
			s.beginStream()
			l.mu.Unlock()

			return s
		}
		l.mu.Unlock()
	}
	if n.isStopped() {
		return nil
	}
	s := n.dialSession(ctx, "", address, false)
	if s == nil {
		return nil
	}
	s.beginStream()
	l := n.linkTo(s.peer.Daemon)
	l.mu.Lock()
	old := l.openSession()
	l.session, l.address = s, address
	l.mu.Unlock()
	if old != nil {
		_ = old.mux.Close()
	}

	return s
}

// openSession returns the session if it is open, or nil. The caller must hold mu.
func (l *link) openSession() *session {
	if l.session != nil && l.session.mux.IsClosed() {
		l.session = nil
	}

	return l.session
}

// removeIdle returns the open session, or nil if there is none. If the session has
// been idle for the limit, removeIdle takes it from the link and returns true; the
// caller then closes it.
func (l *link) removeIdle(now time.Time, limit time.Duration) (*session, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.openSession()
	if s == nil || s.idleTime(now) < limit {
		return s, false
	}
	l.session = nil

	return s, true
}

// close closes the session and ends the backoff.
func (l *link) close() {
	l.mu.Lock()
	s := l.session
	l.session = nil
	l.failures, l.retryAt = 0, time.Time{}
	l.mu.Unlock()
	if s != nil {
		_ = s.mux.Close()
	}
}

// connect dials a session for the link, stores it or starts the backoff, and wakes
// the callers that wait on l.dialing.
func (n *Network) connect(l *link, daemon string, address netip.AddrPort) {
	s := n.dialSession(context.Background(), daemon, address, l.auxiliary)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if s != nil {
		l.session, l.address = s, address
		l.failures, l.retryAt = 0, time.Time{}
		if n.isStopped() {
			go func() { _ = s.mux.Close() }()
		}

		return
	}
	if l.failedAddress != address {
		l.failures = 0
	}
	l.failedAddress = address
	pause := min(n.timing.BackoffMin<<min(l.failures, 16), n.timing.BackoffMax)
	l.failures++
	l.retryAt = time.Now().Add(pause)
}

// dialSession connects to an address and exchanges Hello frames. It returns nil
// if that fails, or if the peer's name is not daemon. If daemon is empty, any name
// except this daemon's own is accepted.
func (n *Network) dialSession(ctx context.Context, daemon string, address netip.AddrPort, auxiliary bool) *session {
	n.counters.Dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, n.timing.Dial)
	defer cancel()
	conn, err := n.dial(ctx, address)
	if err != nil {
		n.counters.DialFailures.Add(1)

		return nil
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	ownHello := n.hello()
	ownHello.Auxiliary = auxiliary
	reader := bufio.NewReaderSize(conn, helloBufferBytes)
	fail := func() *session {
		n.counters.DialFailures.Add(1)
		_ = conn.Close()

		return nil
	}
	if !writeFrame(conn, helloFrame(ownHello)) {
		return fail()
	}
	hello, ok := n.readHello(conn, reader)
	if !ok || hello.Name == ownHello.Name || daemon != "" && hello.Name != daemon {
		return fail()
	}
	_ = conn.SetDeadline(time.Time{})
	batch := newBatchConn(conn, reader)
	mux, err := yamux.Client(batch, n.muxConfig())
	if err != nil {
		_ = batch.Close()

		return fail()
	}
	s := &session{mux: mux, conn: batch}
	s.peer = fleet.Session{Daemon: hello.Name, Incarnation: hello.Incarnation, Number: ownHello.Session}
	s.idleSince.Store(time.Now().UnixNano())

	return s
}
