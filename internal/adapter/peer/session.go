package peer

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// session is one connection to another daemon, opened by either side.
type session struct {
	mux  *yamux.Session
	conn *batchConn
	peer fleet.Session
	// activeStreams is the number of streams in use.
	activeStreams atomic.Int64
	// idleSince is when activeStreams last became 0, in Unix nanoseconds.
	idleSince atomic.Int64
	// carriesAttempts is set before the first attempt is sent on the session. Such a
	// session is pinged also while idle, so that an unresponsive peer is detected
	// before the next attempt is sent to it.
	carriesAttempts atomic.Bool
	// pinging is set while a ping is in progress, to prevent a second one.
	pinging atomic.Bool
}

func (s *session) beginStream() {
	s.activeStreams.Add(1)
}

func (s *session) endStream() {
	if s.activeStreams.Add(-1) == 0 {
		s.idleSince.Store(time.Now().UnixNano())
	}
}

// idleTime returns how long the session has had no stream, or 0 if it has one.
func (s *session) idleTime(now time.Time) time.Duration {
	if s.activeStreams.Load() > 0 {
		return 0
	}

	return now.Sub(time.Unix(0, s.idleSince.Load()))
}

// ping sends a ping and closes the session if the peer sent no byte at all before
// the ping timed out. A ping that is only delayed behind other data is not a
// failure.
func (n *Network) ping(s *session) {
	if s.pinging.Swap(true) {
		return
	}
	defer s.pinging.Store(false)
	before := s.conn.bytesRead.Load()
	if _, err := s.mux.Ping(); err == nil || s.mux.IsClosed() || s.conn.bytesRead.Load() != before {
		return
	}
	n.counters.Silent.Add(1)
	// An unresponsive peer would make batchConn.Close wait for flushTimeout, so
	// the TCP connection is closed first.
	_ = s.conn.Conn.Close()
	_ = s.mux.Close()
}

// maintain pings sessions with open streams or attempts and closes idle sessions,
// once per KeepAlive interval. Sessions that only carry control messages are not
// pinged while idle: with 3,500 daemons the pings would cost more than the whole
// budget for control messages.
func (n *Network) maintain() {
	defer n.goroutines.Done()
	ticker := time.NewTicker(n.timing.KeepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-n.stopped:
			return
		case now := <-ticker.C:
			n.maintainOnce(now)
		}
	}
}

func (n *Network) maintainOnce(now time.Time) {
	n.mu.Lock()
	links := n.allLinks()
	sessions := make([]*acceptedSession, 0, len(n.acceptedSessions))
	for _, a := range n.acceptedSessions {
		sessions = append(sessions, a)
	}
	n.mu.Unlock()
	for _, l := range links {
		s, expired := l.removeIdle(now, n.timing.Idle)
		switch {
		case expired:
			n.counters.Idle.Add(1)
			go func() { _ = s.mux.Close() }()
		case s != nil && (s.activeStreams.Load() > 0 || s.carriesAttempts.Load()):
			go n.ping(s)
		}
	}
	for _, a := range sessions {
		switch {
		case a.activeStreams.Load() > 0:
			go n.ping(&a.session)
		case a.idleTime(now) > 2*n.timing.Idle:
			// The dialing side closes idle sessions after Idle; this one failed to.
			go func() { _ = a.mux.Close() }()
		}
	}
}

// hello returns this daemon's Hello with the next session number.
func (n *Network) hello() *peerpb.Hello {
	n.mu.Lock()
	defer n.mu.Unlock()

	return &peerpb.Hello{
		ProtocolVersion:  ProtocolVersion,
		Name:             n.identity.Name,
		Incarnation:      n.identity.Incarnation,
		AvailabilityZone: n.identity.AvailabilityZone,
		Session:          n.lastSessionNumber.Add(1),
	}
}

func helloFrame(hello *peerpb.Hello) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: hello}}
}

// helloBufferBytes is smaller than the read buffer of yamux. After the Hello,
// bufio.Reader therefore passes the reads of yamux directly to the connection.
const helloBufferBytes = 512

// readHello returns the peer's Hello. It returns false if the frame is unreadable,
// is not a Hello or names another protocol version, and then sends an error frame
// with the reason, unless the stream ended or the peer sent an error frame itself.
func (n *Network) readHello(conn net.Conn, reader *bufio.Reader) (*peerpb.Hello, bool) {
	frame, result := readFrame(reader)
	if result != frameOK {
		n.rejectFrame(conn, result)

		return nil, false
	}
	hello := frame.GetHello()
	switch {
	case frame.GetError() != nil:
		return nil, false
	case hello == nil || !fleet.ValidName(hello.Name):
		n.rejectFrame(conn, frameMalformed)

		return nil, false
	case hello.ProtocolVersion != ProtocolVersion:
		n.counters.WrongVersion.Add(1)
		writeFrame(conn, errorFrame("WrongVersion", "this daemon speaks protocol version 1"))

		return nil, false
	}

	return hello, true
}

// rejectFrame counts a malformed or oversized frame and answers with an error
// frame.
func (n *Network) rejectFrame(conn net.Conn, result frameError) {
	switch result {
	case frameMalformed:
		n.counters.Malformed.Add(1)
		writeFrame(conn, errorFrame("Malformed", "the frame could not be decoded"))
	case frameOversized:
		n.counters.Oversized.Add(1)
		writeFrame(conn, errorFrame("Oversized", "the frame is larger than 1 MiB and 64 KiB"))
	case frameOK, frameStreamEnded:
	}
}
