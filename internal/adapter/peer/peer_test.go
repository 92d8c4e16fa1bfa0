package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
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

// Guards against answers that lose, reorder or invent data, and against cut
// answers that look complete (R6).
func TestRunAnswers(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcdef"), 80<<10)
	cut := io.MultiReader(strings.NewReader("part"), failingReader{})
	for _, c := range []struct {
		name, length string
		body         io.Reader
		want         []byte
		err          error
	}{
		{"empty", "0", http.NoBody, nil, nil},
		{"small", "5", strings.NewReader("hello"), []byte("hello"), nil},
		{"large", "", bytes.NewReader(large), large, nil},
		{"large of known length", "1310720", bytes.NewReader(large), large, nil},
		{"truncated", "", cut, []byte("part"), io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, _, _ := newPair(t, nil, testTiming(), answerWith(c.body, c.length))
			reply := client.Run(t.Context(), "B", fleet.Attempt{ID: fleet.AttemptID{Ingress: "A", Sequence: 9}})
			if reply.Outcome != fleet.Ran || reply.ID.Sequence != 9 {
				t.Fatalf("got %+v, want Ran", reply)
			}
			got, err := io.ReadAll(reply.Answer.Body)
			if !errors.Is(err, c.err) || !bytes.Equal(got, c.want) {
				t.Errorf("got %d bytes and %v, want %d and %v", len(got), err, len(c.want), c.err)
			}
			if err == nil && reply.Answer.Trailer().Get("X-End") != "1" {
				t.Error("got no trailer")
			}
			if got := reply.Answer.Header["X-Binary"]; !slices.Equal(got, []string{"caf\xe9"}) {
				t.Errorf("got header %q, want bytes that are not UTF-8 unchanged", got)
			}
			_ = reply.Answer.Body.Close()
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a wrong claim that an attempt has not run (R7).
func TestRunOutcomes(t *testing.T) {
	hang := func(ctx context.Context, _ fleet.Attempt) fleet.Reply {
		<-ctx.Done()

		return fleet.Fail(fleet.ReasonCancelled, "")
	}
	fault := &linkFault{}
	for _, c := range []struct {
		name   string
		daemon string
		run    func(context.Context, fleet.Attempt) fleet.Reply
		body   int
		during func(cancel func())
		want   fleet.Outcome
		reason fleet.Reason
	}{
		{"no address", "C", hang, 0, nil, fleet.NotRun, fleet.ReasonUnreachable},
		{"larger than a frame", "B", hang, 2 << 20, nil, fleet.NotRun, fleet.ReasonTooLarge},
		{"refused", "B", func(context.Context, fleet.Attempt) fleet.Reply {
			return fleet.Refuse(fleet.ReasonDraining, "d")
		}, 0, nil, fleet.NotRun, fleet.ReasonDraining},
		{"failed", "B", func(context.Context, fleet.Attempt) fleet.Reply {
			return fleet.Fail(fleet.ReasonUpstream, "d")
		}, 0, nil, fleet.Unknown, fleet.ReasonUpstream},
		{"cancelled after sending", "B", hang, 0, func(cancel func()) { cancel() }, fleet.Unknown, fleet.ReasonCancelled},
		{"cut after sending", "B", hang, 0, func(func()) { fault.cut() }, fleet.Unknown, fleet.ReasonUnreachable},
		{"answers dropped", "B", hang, 0, func(func()) { fault.dropIn.Store(true) }, fleet.Unknown, fleet.ReasonUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			client, _, _ := newPair(t, fault.dial, testTiming(), func(ctx context.Context, a fleet.Attempt) fleet.Reply {
				close(started)
				defer close(ended)

				return c.run(ctx, a)
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.during != nil {
				go func() {
					<-started
					c.during(cancel)
				}()
			}
			reply := client.Run(ctx, c.daemon, fleet.Attempt{Request: fleet.Request{Body: make([]byte, c.body)}})
			if reply.Outcome != c.want || reply.Reason != c.reason {
				t.Errorf("got %v %v, want %v %v", reply.Outcome, reply.Reason, c.want, c.reason)
			}
			if c.during != nil {
				<-ended // the server's ctx must end, or the slot stays taken
			}
			fault.dropIn.Store(false)
		})
	}
}

// Guards against an early Close that leaves the upstream working.
func TestCloseCancels(t *testing.T) {
	ended := make(chan struct{})
	client, _, _ := newPair(t, nil, testTiming(), func(ctx context.Context, _ fleet.Attempt) fleet.Reply {
		read, write := io.Pipe()
		go func() {
			defer close(ended)
			<-ctx.Done()
			_ = write.CloseWithError(ctx.Err())
		}()

		return fleet.Reply{Outcome: fleet.Ran, Answer: fleet.Answer{Status: 200, Body: read}}
	})
	reply := client.Run(t.Context(), "B", fleet.Attempt{})
	_ = reply.Answer.Body.Close()
	<-ended
	if result := client.Cancel(t.Context(), "B", fleet.AttemptID{}, 0); result != fleet.CancelStarted {
		t.Errorf("got cancel result %v, want CancelStarted", result)
	}
}

// Guards against one slow reader holding up the other streams of a session.
func TestSlowReader(t *testing.T) {
	client, _, _ := newPair(t, nil, testTiming(), func(_ context.Context, a fleet.Attempt) fleet.Reply {
		return answerWith(bytes.NewReader(make([]byte, a.Weight<<10)), "")(nil, a)
	})
	slow := client.Run(t.Context(), "B", fleet.Attempt{Weight: 4096})
	for range 100 {
		reply := client.Run(t.Context(), "B", fleet.Attempt{Weight: 8})
		if n, err := io.Copy(io.Discard, reply.Answer.Body); n != 8<<10 || err != nil {
			t.Fatalf("got %d bytes and %v, want 8 KiB", n, err)
		}
	}
	if n, err := io.Copy(io.Discard, slow.Answer.Body); n != 4<<20 || err != nil {
		t.Errorf("got %d bytes and %v from the slow stream, want 4 MiB", n, err)
	}
}

// Guards against a bad peer disturbing others, and against faults without a
// count.
func TestBadFrames(t *testing.T) {
	hello := &peerpb.Hello{ProtocolVersion: ProtocolVersion, Name: "X", Session: 1}
	old := &peerpb.Hello{ProtocolVersion: ProtocolVersion + 1, Name: "X", Session: 1}
	encode := func(h *peerpb.Hello) []byte {
		b, _ := appendFrame(nil, helloFrame(h))

		return b
	}
	for _, c := range []struct {
		name, counter, reason string
		raw, stream           []byte
	}{
		{"malformed hello", "Malformed", "Malformed", []byte{3, 0xff, 0xff, 0xff}, nil},
		{"size that is no varint", "Malformed", "Malformed", bytes.Repeat([]byte{0xff}, 11), nil},
		{"empty frame", "Malformed", "Malformed", []byte{0}, nil},
		{"oversized hello", "Oversized", "Oversized", []byte{0xff, 0xff, 0xff, 0x7f}, nil},
		{"wrong version", "WrongVersion", "WrongVersion", encode(old), nil},
		{"malformed frame", "Malformed", "Malformed", encode(hello), []byte{2, 0xff, 0xff}},
		{"oversized frame", "Oversized", "Oversized", encode(hello), []byte{0xff, 0xff, 0xff, 0x7f}},
		{"unknown frame", "Unsupported", "Unsupported", encode(hello), encode(hello)},
		{"half a hello", "Refused", "", encode(hello)[:3], nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server, _ := newPair(t, nil, testTiming(), answerWith(strings.NewReader("ok"), "2"))
			probe := &peerpb.Frame{Body: &peerpb.Frame_Probe{Probe: &peerpb.Probe{}}}
			if _, ok := client.Call(t.Context(), "B", probe); !ok {
				t.Fatal("got no answer to a probe")
			}
			conn, err := net.Dial("tcp", server.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Write(c.raw)
			reader := newReader(conn)
			if c.stream == nil {
				_ = conn.(*net.TCPConn).CloseWrite()
			} else {
				_, _ = readFrame(reader)
				// A yamux data frame that opens stream 1, written by hand.
				_, _ = conn.Write(append([]byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, byte(len(c.stream))}, c.stream...))
				_, _ = io.ReadFull(reader, make([]byte, 24)) // the acknowledgement and a data header
			}
			if frame, _ := readFrame(reader); frame.GetError().GetReason() != c.reason {
				t.Errorf("got %v, want an error frame %q", frame, c.reason)
			}
			eventually(t, "the count", func() bool { return server.Variables().Get(c.counter).String() == "1" })
			if _, ok := client.Call(t.Context(), "B", probe); !ok || client.counters.Dials.Value() != 1 {
				t.Error("the other session was disturbed")
			}
		})
	}
}

// Guards against queued attempts of an older session being handled after those
// of a newer one (R8), and against a delayed older session taking over.
func TestNewSessionClosesOlder(t *testing.T) {
	fault := &linkFault{}
	run := answerWith(strings.NewReader(""), "0")
	client, server, r := newPair(t, fault.dial, testTiming(), run)
	_ = client.Run(t.Context(), "B", fleet.Attempt{}).Answer.Body.Close()
	client.link("B").session = nil // the client has forgotten it; the server still holds it
	_ = client.Run(t.Context(), "B", fleet.Attempt{}).Answer.Body.Close()
	want := []string{"open A1", "run A1", "close A1", "open A2", "run A2"}
	r.mu.Lock()
	if !slices.Equal(r.events, want) {
		t.Errorf("got %v, want %v", r.events, want)
	}
	r.mu.Unlock()
	client.sequence.Store(0)
	client.link("B").session = nil
	if reply := client.Run(t.Context(), "B", fleet.Attempt{}); reply.Outcome != fleet.NotRun {
		t.Errorf("got %v for an older session number, want NotRun", reply.Outcome)
	}
	if server.counters.Refused.Value() != 1 {
		t.Error("the older session was not counted as refused")
	}
}

// Guards against talking to the wrong daemon after an address was reused, and
// against callers waiting for an unreachable daemon.
func TestDialing(t *testing.T) {
	b := &book{addresses: map[string]netip.AddrPort{}}
	newDaemon(t, b, "B", 7, nil, testTiming(), &recorder{run: answerWith(strings.NewReader(""), "0")})
	b.addresses["Other"] = b.addresses["B"]
	timing := testTiming()
	timing.BackoffMin, timing.BackoffMax = time.Hour, time.Hour
	client := newDaemon(t, b, "A", 5, nil, timing, &recorder{})
	for range 3 {
		if reply := client.Run(t.Context(), "Other", fleet.Attempt{}); reply.Outcome != fleet.NotRun {
			t.Errorf("got %v for a daemon of another name, want NotRun", reply.Outcome)
		}
	}
	if got := client.counters.Dials.Value(); got != 1 {
		t.Errorf("got %d dials during the backoff, want 1", got)
	}
	probe := &peerpb.Frame{Body: &peerpb.Frame_Probe{Probe: &peerpb.Probe{}}}
	if _, ok := client.CallAddress(t.Context(), b.addresses["A"], probe); ok {
		t.Error("a daemon called itself")
	}
	if _, ok := client.CallAddress(t.Context(), b.addresses["B"], probe); !ok {
		t.Fatal("got no answer from the seed")
	}
	dials := client.counters.Dials.Value()
	if _, ok := client.Call(t.Context(), "B", probe); !ok || client.counters.Dials.Value() != dials {
		t.Error("the session opened by address was not used by name")
	}
	if got, ok := client.Incarnation("B"); got != 7 || !ok {
		t.Errorf("got incarnation %d, want 7", got)
	}
	client.SetIncarnation(6)
	if _, ok := client.Incarnation("B"); ok {
		t.Error("the session with the old incarnation is still open")
	}
}

// Guards against sessions that stay open for ever, and against a silent peer
// that is only noticed by its next user.
func TestIdleAndSilent(t *testing.T) {
	timing := testTiming()
	timing.Idle = 100 * time.Millisecond
	client, server, _ := newPair(t, nil, timing, answerWith(strings.NewReader(""), "0"))
	_, _ = client.Call(t.Context(), "B", errorFrame("", ""))
	eventually(t, "closing the idle session", func() bool {
		return client.counters.Idle.Value() == 1 && !server.serving()
	})
	fault := &linkFault{}
	client, _, r := newPair(t, fault.dial, testTiming(), answerWith(strings.NewReader(""), "0"))
	_ = client.Run(t.Context(), "B", fleet.Attempt{}).Answer.Body.Close()
	fault.dropOut.Store(true)
	eventually(t, "finding the silent peer", func() bool { return client.counters.Silent.Value() == 1 })
	eventually(t, "closing at the other side", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()

		return slices.Contains(r.events, "close A1")
	})
	fault.dropOut.Store(false)
	fault.delay.Store(int64(5 * time.Millisecond))
	if reply := client.Run(t.Context(), "B", fleet.Attempt{}); reply.Outcome != fleet.Ran {
		t.Errorf("got %v after the link healed, want Ran", reply.Outcome)
	}
}

// Guards against panics, unbounded allocation and frames that change when they
// are encoded again.
func FuzzFrame(f *testing.F) {
	for _, frame := range []*peerpb.Frame{
		errorFrame("Malformed", "x"),
		fromAttempt(&fleet.Attempt{Service: "S", Request: fleet.Request{Header: http.Header{"A": {"\xff"}}}}),
		helloFrame(&peerpb.Hello{Name: "A", Session: 3}),
	} {
		seed, _ := appendFrame(nil, frame)
		f.Add(seed)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := newReader(bytes.NewReader(data))
		defer freeReader(reader)
		frame, result := readFrame(reader)
		if (result == frameOK) != (frame != nil) {
			t.Fatalf("got frame %v with result %v", frame, result)
		}
		if frame == nil {
			return
		}
		_ = toAttempt(&peerpb.Attempt{Header: frame.GetAttempt().GetHeader()})
		again, ok := appendFrame(nil, frame)
		if !ok {
			t.Fatal("a frame that was read cannot be encoded")
		}
		back, result := readFrame(newReader(bytes.NewReader(again)))
		if result != frameOK || back.String() != frame.String() {
			t.Fatalf("got %v, want %v", back, frame)
		}
	})
}

// Guards against a planned stop that cuts off an answer in progress (R10), and
// against more streams at once than the accept backlog holds.
func TestStopFinishesAnswers(t *testing.T) {
	const requests, size = 4 * acceptBacklog, 64 << 10
	release := make(chan struct{})
	var running sync.WaitGroup
	running.Add(requests)
	timing := testTiming()
	timing.Stop = time.Minute // the race detector slows the answers down
	timing.KeepAlive = time.Minute
	client, server, _ := newPair(t, nil, timing, func(ctx context.Context, a fleet.Attempt) fleet.Reply {
		running.Done()
		<-release

		return answerWith(bytes.NewReader(make([]byte, size)), "")(ctx, a)
	})
	var done sync.WaitGroup
	for range requests {
		done.Go(func() {
			reply := client.Run(t.Context(), "B", fleet.Attempt{})
			if reply.Outcome != fleet.Ran {
				t.Errorf("got %v %s, want Ran", reply.Outcome, reply.Detail)

				return
			}
			if n, err := io.Copy(io.Discard, reply.Answer.Body); n != size || err != nil {
				t.Errorf("got %d bytes and %v, want %d", n, err, size)
			}
		})
	}
	running.Wait()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.stop()
	}()
	close(release)
	done.Wait()
	<-stopped
}

// Guards against bytes that are lost when a session closes, and against writers
// that wait for ever for a peer that does not read.
func TestBatchConn(t *testing.T) {
	near, far := net.Pipe()
	c := newBatchConn(near, bufio.NewReader(near))
	received := make(chan []byte)
	go func() {
		time.Sleep(10 * time.Millisecond) // all pieces are pending by then
		all, _ := io.ReadAll(far)
		received <- all
	}()
	for i := range 100 {
		_, _ = c.Write([]byte{byte(i), byte(i)})
	}
	_ = c.Close()
	if got := <-received; len(got) != 200 || got[199] != 99 {
		t.Errorf("got %d bytes, want 200", len(got))
	}
	near, _ = net.Pipe()
	c = newBatchConn(near, bufio.NewReader(near))
	time.AfterFunc(10*time.Millisecond, func() { _ = c.Close() })
	written := 0
	for {
		n, err := c.Write(make([]byte, 1<<10))
		if err != nil {
			break
		}
		if written += n; written > 2*maxPendingBytes+1<<10 {
			t.Fatalf("got %d bytes accepted, want at most two full buffers", written)
		}
	}
}
