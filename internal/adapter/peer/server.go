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

// maxStreams bounds the streams, and so the goroutines, of one session.
const maxStreams = 4096

type acceptedKey struct {
	daemon      string
	incarnation uint64
	auxiliary   bool
}

// accepted is a session that another daemon opened.
type accepted struct {
	session
	auxiliary bool
	mu        sync.Mutex
	opened    bool
	finished  bool
}

func (a *accepted) open(handler Handler) bool {
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

// finish closes the session and returns once Closed has returned.
func (a *accepted) finish(handler Handler) {
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
	defer n.running.Done()
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if n.isStopped() {
				return
			}
			time.Sleep(n.timing.BackoffMin) // out of file descriptors, for example

			continue
		}
		n.running.Add(1)
		go n.serve(conn)
	}
}

func (n *Network) serve(conn net.Conn) {
	defer n.running.Done()
	a := n.welcome(conn)
	if a == nil {
		_ = conn.Close()

		return
	}
	defer n.remove(a)
	if !a.open(n.handler) {
		return
	}
	n.counters.Accepted.Add(1)
	for {
		stream, err := a.mux.AcceptStream()
		if err != nil {
			return
		}
		a.begin()
		n.workers.Run(func() { n.serveStream(a, stream) })
	}
}

// welcome exchanges Hello and closes the older session of the same daemon and
// incarnation. It returns nil if the session is not acceptable.
func (n *Network) welcome(conn net.Conn) *accepted {
	_ = conn.SetDeadline(time.Now().Add(n.timing.Dial))
	reader := bufio.NewReaderSize(conn, helloBufferBytes)
	hello, ok := n.readHello(conn, reader)
	if !ok {
		n.counters.Refused.Add(1)

		return nil
	}
	own := n.hello()
	key := acceptedKey{hello.Name, hello.Incarnation, hello.Auxiliary}
	n.mu.Lock()
	old := n.accepted[key]
	if n.isStopped() || hello.Name == own.Name || old != nil && old.peer.Number >= hello.Session {
		n.mu.Unlock()
		n.counters.Refused.Add(1)
		writeFrame(conn, errorFrame("Refused", "the session is older than another one, or the daemon stops"))

		return nil
	}
	a := &accepted{auxiliary: hello.Auxiliary}
	a.peer = fleet.Session{Daemon: hello.Name, Incarnation: hello.Incarnation, Number: hello.Session}
	a.idleSince.Store(time.Now().UnixNano())
	if !writeFrame(conn, helloFrame(own)) {
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
	n.accepted[key] = a
	n.mu.Unlock()
	if old != nil {
		old.finish(n.handler)
	}

	return a
}

func (n *Network) remove(a *accepted) {
	a.finish(n.handler)
	key := acceptedKey{a.peer.Daemon, a.peer.Incarnation, a.auxiliary}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.accepted[key] == a {
		delete(n.accepted, key)
	}
}

func (n *Network) serveStream(a *accepted, stream *yamux.Stream) {
	defer a.end()
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(n.timing.FirstFrame))
	reader := newReader(stream)
	frame, result := readFrame(reader)
	freeReader(reader)
	if result != frameOK {
		n.reject(stream, result)

		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.workers.Run(func() { watch(ctx, stream, cancel) })
	switch body := frame.Body.(type) {
	case *peerpb.Frame_Attempt:
		n.serveAttempt(ctx, a, stream, body.Attempt)
	case *peerpb.Frame_Cancel:
		result := n.handler.Cancel(ctx, n.carrier(a), toID(body.Cancel.ID), body.Cancel.EgressIncarnation)
		writeFrame(stream, &peerpb.Frame{Body: &peerpb.Frame_CancelResult{
			CancelResult: &peerpb.CancelResult{Result: uint32(result)}, //nolint:gosec // results are small
		}})
	default:
		n.serveControl(ctx, a, stream, frame)
	}
}

// carrier returns the session that carries the attempts of the daemon at the
// other end, which for an auxiliary session is another one.
func (n *Network) carrier(a *accepted) fleet.Session {
	if !a.auxiliary {
		return a.peer
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if main := n.accepted[acceptedKey{a.peer.Daemon, a.peer.Incarnation, false}]; main != nil {
		return main.peer
	}

	return a.peer
}

// watch cancels when the opening side closes the stream or the session ends.
// Nothing may follow the first frame, so any further data cancels too.
func watch(ctx context.Context, stream *yamux.Stream, cancel context.CancelFunc) {
	var one [1]byte
	_, _ = stream.Read(one[:])
	if ctx.Err() != nil {
		return // the answer is complete
	}
	cancel()
	// Ends a write that waits for a reader that has gone.
	_ = stream.SetWriteDeadline(time.Unix(1, 0))
}

func (n *Network) serveControl(ctx context.Context, a *accepted, stream *yamux.Stream, frame *peerpb.Frame) {
	answer, ok := n.handler.Control(ctx, a.peer.Daemon, frame)
	if !ok || answer == nil {
		n.counters.Unsupported.Add(1)
		answer = errorFrame("Unsupported", "the daemon does not handle this frame")
	}
	if !writeFrame(stream, answer) {
		writeFrame(stream, errorFrame("Oversized", "the answer could not be encoded"))
	}
}

func (n *Network) serveAttempt(ctx context.Context, a *accepted, stream *yamux.Stream, attempt *peerpb.Attempt) {
	n.counters.Served.Add(1)
	if a.auxiliary {
		reply := fleet.Refuse(fleet.ReasonStale, "auxiliary sessions carry no attempts")
		writeFrame(stream, fromRefusal(&reply))

		return
	}
	if a.active.Load() > maxStreams {
		reply := fleet.Refuse(fleet.ReasonQueueFull, "too many attempts on one session")
		writeFrame(stream, fromRefusal(&reply))

		return
	}
	arrived := toAttempt(attempt)
	arrived.OnAccepted = func() {
		writeFrame(stream, &peerpb.Frame{Body: &peerpb.Frame_Accepted{Accepted: &peerpb.Accepted{}}})
	}
	reply := n.handler.Run(ctx, a.peer, arrived)
	if reply.Outcome == fleet.Ran {
		writeAnswer(stream, &reply)

		return
	}
	writeFrame(stream, fromRefusal(&reply))
}
