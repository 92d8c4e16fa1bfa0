package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// maxStreams is the number of open streams of one accepted session above which
// attempts are refused. It bounds the goroutines that one peer can occupy.
const maxStreams = 4096

// acceptedKey identifies the accepted session of a daemon. Each daemon has at most
// one main and one auxiliary session per incarnation.
type acceptedKey struct {
	daemon      string
	incarnation uint64
	auxiliary   bool
}

// acceptedSession is a session that another daemon opened.
type acceptedSession struct {
	session
	// auxiliary sessions carry no attempts and are not reported to the handler.
	auxiliary bool
	// mu serializes the calls of Opened and Closed, and guards the fields below.
	mu sync.Mutex
	// opened is set when Opened has returned, so that Closed must follow.
	opened bool
	// finished is set by finish.
	finished bool
}

// notifyOpened calls the handler's Opened. It returns false if the session is
// finished already, because a newer session of the daemon was accepted.
func (a *acceptedSession) notifyOpened(handler Handler) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return false
	}
	if a.auxiliary {
		return true
	}
	handler.Opened(a.peer)
	a.opened = true

	return true
}

// finish closes the session and calls the handler's Closed if Opened was called. It
// returns after Closed has returned.
func (a *acceptedSession) finish(handler Handler) {
	_ = a.mux.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	if a.opened {
		handler.Closed(a.peer)
	}
}

func (n *Network) accept() {
	defer n.goroutines.Done()
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if n.isStopped() {
				return
			}
			// Accept fails repeatedly while, for example, no file descriptor is left.
			time.Sleep(n.timing.BackoffMin)

			continue
		}
		n.goroutines.Add(1)
		go n.serve(conn)
	}
}

func (n *Network) serve(conn net.Conn) {
	defer n.goroutines.Done()
	a := n.acceptSession(conn)
	if a == nil {
		_ = conn.Close()

		return
	}
	defer n.remove(a)
	if !a.notifyOpened(n.handler) {
		return
	}
	n.counters.Accepted.Add(1)
	for {
		stream, err := a.mux.AcceptStream()
		if err != nil {
			return
		}
		a.beginStream()
		n.workers.Run(func() { n.serveStream(a, stream) })
	}
}

// acceptSession exchanges Hello frames and finishes the older session of the same
// daemon and incarnation. It returns nil if the exchange fails, the session number is
// not above that of the older session, the peer has this daemon's own name or the
// network is stopped. The caller then closes conn.
func (n *Network) acceptSession(conn net.Conn) *acceptedSession {
	_ = conn.SetDeadline(time.Now().Add(n.timing.Dial))
	reader := bufio.NewReaderSize(conn, helloBufferBytes)
	hello, ok := n.readHello(conn, reader)
	if !ok {
		n.counters.Refused.Add(1)

		return nil
	}
	ownHello := n.hello()
	key := acceptedKey{hello.Name, hello.Incarnation, hello.Auxiliary}
	n.mu.Lock()
	old := n.acceptedSessions[key]
	if n.isStopped() || hello.Name == ownHello.Name || old != nil && old.peer.Number >= hello.Session {
		n.mu.Unlock()
		n.counters.Refused.Add(1)
		writeFrame(conn, errorFrame("Refused", "the session is older than another one, or the daemon stops"))

		return nil
	}
	a := &acceptedSession{auxiliary: hello.Auxiliary}
	a.peer = fleet.Session{Daemon: hello.Name, Incarnation: hello.Incarnation, Number: hello.Session}
	a.idleSince.Store(time.Now().UnixNano())
	if !writeFrame(conn, helloFrame(ownHello)) {
		n.mu.Unlock()

		return nil
	}
	_ = conn.SetDeadline(time.Time{})
	a.conn = newBatchConn(conn, reader)
	mux, err := yamux.Server(a.conn, n.muxConfig())
	if err != nil {
		n.mu.Unlock()
		_ = a.conn.Close()

		return nil
	}
	a.mux = mux
	n.acceptedSessions[key] = a
	n.mu.Unlock()
	if old != nil {
		old.finish(n.handler)
	}

	return a
}

func (n *Network) remove(a *acceptedSession) {
	a.finish(n.handler)
	key := acceptedKey{a.peer.Daemon, a.peer.Incarnation, a.auxiliary}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptedSessions[key] == a {
		delete(n.acceptedSessions, key)
	}
}

func (n *Network) serveStream(a *acceptedSession, stream *yamux.Stream) {
	defer a.endStream()
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(n.timing.FirstFrame))
	reader := newReader(stream)
	frame, result := readFrame(reader)
	freeReader(reader)
	if result != frameOK {
		n.rejectFrame(stream, result)

		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.workers.Run(func() { cancelOnClose(ctx, stream, cancel) })
	switch body := frame.Body.(type) {
	case *peerpb.Frame_Attempt:
		n.serveAttempt(ctx, a, stream, body.Attempt)
	case *peerpb.Frame_Cancel:
		result := n.handler.Cancel(ctx, n.attemptSession(a), toID(body.Cancel.ID), body.Cancel.EgressIncarnation)
		writeFrame(stream, CancelResultFrame(result))
	default:
		n.serveControl(ctx, a, stream, frame)
	}
}

// attemptSession returns the session on which the peer sends its attempts: for an
// auxiliary session the main session of the same daemon and incarnation, if it is
// open, and otherwise the session itself.
func (n *Network) attemptSession(a *acceptedSession) fleet.Session {
	if !a.auxiliary {
		return a.peer
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if main := n.acceptedSessions[acceptedKey{a.peer.Daemon, a.peer.Incarnation, false}]; main != nil {
		return main.peer
	}

	return a.peer
}

// cancelOnClose calls cancel when the opening side closes the stream or the session
// ends. No data may follow the first frame, so any further byte cancels as well.
// It returns without a call if ctx has ended by then.
func cancelOnClose(ctx context.Context, stream *yamux.Stream, cancel context.CancelFunc) {
	var buffer [1]byte
	_, _ = stream.Read(buffer[:])
	if ctx.Err() != nil {
		return // the answer is complete
	}
	cancel()
	// Unblocks a write of the answer to a peer that no longer reads it.
	_ = stream.SetWriteDeadline(time.Unix(1, 0))
}

func (n *Network) serveControl(ctx context.Context, a *acceptedSession, stream *yamux.Stream, frame *peerpb.Frame) {
	answer, ok := n.handler.Control(ctx, a.peer.Daemon, frame)
	if !ok || answer == nil {
		n.counters.Unsupported.Add(1)
		answer = errorFrame("Unsupported", "the daemon does not handle this frame")
	}
	if !writeFrame(stream, answer) {
		writeFrame(stream, errorFrame("Oversized", "the answer could not be encoded"))
	}
}

func (n *Network) serveAttempt(ctx context.Context, a *acceptedSession, stream *yamux.Stream, attempt *peerpb.Attempt) {
	n.counters.Served.Add(1)
	if a.auxiliary {
		reply := fleet.Refuse(fleet.ReasonStale, "auxiliary sessions carry no attempts")
		writeFrame(stream, fromRefusal(&reply))

		return
	}
	if a.activeStreams.Load() > maxStreams {
		reply := fleet.Refuse(fleet.ReasonQueueFull, "too many attempts on one session")
		writeFrame(stream, fromRefusal(&reply))

		return
	}
	received := toAttempt(attempt)
	received.OnAccepted = func() {
		writeFrame(stream, &peerpb.Frame{Body: &peerpb.Frame_Accepted{Accepted: &peerpb.Accepted{}}})
	}
	reply := n.handler.Run(ctx, a.peer, received)
	if reply.Outcome == fleet.Ran {
		writeAnswer(stream, &reply)

		return
	}
	writeFrame(stream, fromRefusal(&reply))
}
