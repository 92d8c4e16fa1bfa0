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

// linkFault injects faults into the connections of one dialer.
type linkFault struct {
	dropOut, dropIn atomic.Bool
	delay           atomic.Int64
	mu              sync.Mutex
	conns           []net.Conn
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

func (f *linkFault) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
}

type faultConn struct {
	net.Conn
	fault *linkFault
}

func (c *faultConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(c.fault.delay.Load()))
	if c.fault.dropOut.Load() {
		return len(p), nil
	}

	return c.Conn.Write(p)
}

func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.fault.dropIn.Load() {
			return n, err
		}
	}
}

// recorder is a Handler whose Run is given by the test.
type recorder struct {
	run    func(ctx context.Context, attempt fleet.Attempt) fleet.Reply
	mu     sync.Mutex
	events []string
}

func (r *recorder) note(event string, s fleet.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event+" "+s.Daemon+string(rune('0'+s.Number%10)))
}

func (r *recorder) Opened(s fleet.Session) { r.note("open", s) }
func (r *recorder) Closed(s fleet.Session) { r.note("close", s) }

func (r *recorder) Run(ctx context.Context, s fleet.Session, attempt fleet.Attempt) fleet.Reply {
	r.note("run", s)

	return r.run(ctx, attempt)
}

func (r *recorder) Cancel(context.Context, fleet.Session, fleet.AttemptID, uint64) fleet.CancelResult {
	return fleet.CancelStarted
}

func (r *recorder) Control(_ context.Context, _ string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	if frame.GetProbe() == nil {
		return nil, false
	}

	return &peerpb.Frame{Body: &peerpb.Frame_ProbeResult{ProbeResult: &peerpb.ProbeResult{Reached: true}}}, true
}

type book struct {
	mu        sync.Mutex
	addresses map[string]netip.AddrPort
}

func (b *book) Address(daemon string) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	address, ok := b.addresses[daemon]

	return address, ok
}

func testTiming() Timing {
	timing := DefaultTiming()
	timing.KeepAlive = 100 * time.Millisecond
	timing.Idle = 10 * time.Minute

	return timing
}

func newDaemon(t testing.TB, b *book, name string, incarnation uint64, dial Dial, timing Timing, handler Handler) *Network {
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

func newPair(t testing.TB, dial Dial, timing Timing, run func(context.Context, fleet.Attempt) fleet.Reply) (*Network, *Network, *recorder) {
	t.Helper()
	b := &book{addresses: map[string]netip.AddrPort{}}
	r := &recorder{run: run}
	server := newDaemon(t, b, "B", 7, nil, timing, r)

	return newDaemon(t, b, "A", 5, dial, timing, &recorder{}), server, r
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s did not happen", what)
}

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
