package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// linkFault injects faults into the connections that its dial opens.
type linkFault struct {
	// dropWrites discards the data that the dialing side sends, and dropReads the data
	// that the other side sends.
	dropWrites, dropReads atomic.Bool
	// delay is the time before each write, in nanoseconds.
	delay atomic.Int64
	// largestWrite is the number of bytes of the largest write.
	largestWrite atomic.Int64
	// mu guards conns.
	mu    sync.Mutex
	conns []net.Conn
}

func (f *linkFault) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, conn)

	return &faultConn{Conn: conn, fault: f}, nil
}

// closeConns closes all connections without flushing the sessions on them.
func (f *linkFault) closeConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
}

// faultConn applies the faults to one connection.
type faultConn struct {
	net.Conn
	fault *linkFault
}

func (c *faultConn) Write(p []byte) (int, error) {
	for largest := c.fault.largestWrite.Load(); int64(len(p)) > largest; largest = c.fault.largestWrite.Load() {
		c.fault.largestWrite.CompareAndSwap(largest, int64(len(p)))
	}
	time.Sleep(time.Duration(c.fault.delay.Load()))
	if c.fault.dropWrites.Load() {
		return len(p), nil
	}

	return c.Conn.Write(p)
}

func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.fault.dropReads.Load() {
			return n, err
		}
	}
}

// recordingHandler is a Handler that serves attempts with run and records the order
// of its calls.
type recordingHandler struct {
	run func(ctx context.Context, attempt fleet.Attempt) fleet.Reply
	// mu guards events.
	mu sync.Mutex
	// events are open, run or close with the daemon and the last digit of the session
	// number, such as "open A1".
	events []string
}

func (r *recordingHandler) record(event string, s fleet.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event+" "+s.Daemon+string(rune('0'+s.Number%10)))
}

func (r *recordingHandler) Opened(s fleet.Session) { r.record("open", s) }
func (r *recordingHandler) Closed(s fleet.Session) { r.record("close", s) }

func (r *recordingHandler) Run(ctx context.Context, s fleet.Session, attempt fleet.Attempt) fleet.Reply {
	r.record("run", s)

	return r.run(ctx, attempt)
}

func (r *recordingHandler) Cancel(context.Context, fleet.Session, fleet.AttemptID, uint64) fleet.CancelResult {
	return fleet.CancelStarted
}

func (r *recordingHandler) Control(_ context.Context, _ string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	if frame.GetProbe() == nil {
		return nil, false
	}

	return &peerpb.Frame{Body: &peerpb.Frame_ProbeResult{ProbeResult: &peerpb.ProbeResult{Reached: true}}}, true
}

// addressBook is a Directory to which newDaemon adds each daemon.
type addressBook struct {
	mu        sync.Mutex
	addresses map[string]netip.AddrPort
}

func (b *addressBook) Address(daemon string) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	address, ok := b.addresses[daemon]

	return address, ok
}

// testTiming returns the default limits with a shorter KeepAlive, so that tests of
// unresponsive peers are fast, and without closing of idle sessions.
func testTiming() Timing {
	timing := DefaultTiming()
	timing.KeepAlive = 100 * time.Millisecond
	timing.Idle = 10 * time.Minute

	return timing
}

// newDaemon starts a network on a free loopback port and adds its address to b.
func newDaemon(t testing.TB, b *addressBook, name string, incarnation uint64, dial Dial, timing Timing, handler Handler) *Network {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n, stop := New(listener, Identity{name, incarnation, "Z1"}, dial, timing)
	b.mu.Lock()
	b.addresses[name] = listener.Addr().(*net.TCPAddr).AddrPort()
	b.mu.Unlock()
	n.Start(b, handler)
	t.Cleanup(stop)

	return n
}

// newPair starts the daemons A (incarnation 5), which dials, and B (incarnation 7),
// which serves attempts with run. It returns A, B and the handler of B.
func newPair(t testing.TB, dial Dial, timing Timing, run func(context.Context, fleet.Attempt) fleet.Reply) (*Network, *Network, *recordingHandler) {
	t.Helper()
	b := &addressBook{addresses: map[string]netip.AddrPort{}}
	r := &recordingHandler{run: run}
	server := newDaemon(t, b, "B", 7, nil, timing, r)

	return newDaemon(t, b, "A", 5, dial, timing, &recordingHandler{}), server, r
}

// waitFor polls the condition every 10 ms, up to 1000 times.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s did not happen", what)
}

// answerWith returns a handler function that answers with the body and, unless
// length is empty, declares it as Content-Length.
func answerWith(body io.Reader, length string) func(context.Context, fleet.Attempt) fleet.Reply {
	return func(context.Context, fleet.Attempt) fleet.Reply {
		header := http.Header{"X-Binary": {"caf\xe9"}, "X-Two": {"a", "b"}}
		if length != "" {
			header.Set("Content-Length", length)
		}

		return fleet.Reply{Outcome: fleet.Ran, Answer: fleet.Answer{
			Status: 200, Header: header, Body: io.NopCloser(body),
			Trailer: func() http.Header { return http.Header{"X-End": {"1"}} },
		}}
	}
}
