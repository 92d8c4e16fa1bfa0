package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Guards against attempts of an older session that are handled after attempts of a
// newer session (R8), and against a delayed older session that replaces a newer one.
func TestNewSessionClosesOlder(t *testing.T) {
	fault := &linkFault{}
	run := answerWith(strings.NewReader(""), "0")
	client, server, r := newPair(t, fault.dial, testTiming(), run)
	_ = client.Run(t.Context(), "B", fleet.Attempt{}).Answer.Body.Close()
	client.linkTo("B").session = nil // still open at the server
	_ = client.Run(t.Context(), "B", fleet.Attempt{}).Answer.Body.Close()
	want := []string{"open A1", "run A1", "close A1", "open A2", "run A2"}
	r.mu.Lock()
	if !slices.Equal(r.events, want) {
		t.Errorf("got %v, want %v", r.events, want)
	}
	r.mu.Unlock()
	client.lastSessionNumber.Store(0)
	client.linkTo("B").session = nil
	if reply := client.Run(t.Context(), "B", fleet.Attempt{}); reply.Outcome != fleet.NotRun {
		t.Errorf("got %v for an older session number, want NotRun", reply.Outcome)
	}
	if server.counters.Refused.Value() != 1 {
		t.Error("the older session was not counted as refused")
	}
}

// Guards against small frames, such as requests for tokens, that wait behind whole uploads
// on the same session until they time out.
func TestUploadsLeaveRoomForOtherFrames(t *testing.T) {
	// The slowest links carry 10 Mbit/s, and a call for tokens times out after 200 ms. Two
	// batches, one on its way and the next one, must not take longer.
	const mostBytes = 10_000_000 / 8 / 5 / 2
	fault := &linkFault{}
	fault.delay.Store(int64(time.Millisecond))
	client, _, _ := newPair(t, fault.dial, testTiming(), func(ctx context.Context, a fleet.Attempt) fleet.Reply {
		return answerWith(strings.NewReader(""), "0")(ctx, a)
	})
	var uploads sync.WaitGroup
	for range 4 {
		uploads.Go(func() {
			reply := client.Run(t.Context(), "B", fleet.Attempt{Request: fleet.Request{Body: make([]byte, 1<<20)}})
			if reply.Outcome != fleet.Ran {
				t.Errorf("got %v %s for an upload, want Ran", reply.Outcome, reply.Detail)

				return
			}
			_ = reply.Answer.Body.Close()
		})
	}
	uploads.Wait()
	if got := fault.largestWrite.Load(); got > mostBytes {
		t.Errorf("got %d bytes in one write, want at most %d", got, mostBytes)
	}
}

// Guards against attempts sent to the wrong daemon after an address was reused, and
// against a new dial for each attempt while a daemon is unreachable.
func TestDialing(t *testing.T) {
	b := &addressBook{addresses: map[string]netip.AddrPort{}}
	newDaemon(t, b, "B", 7, nil, testTiming(), &recordingHandler{run: answerWith(strings.NewReader(""), "0")})
	b.addresses["Other"] = b.addresses["B"]
	timing := testTiming()
	timing.BackoffMin, timing.BackoffMax = time.Hour, time.Hour
	client := newDaemon(t, b, "A", 5, nil, timing, &recordingHandler{})
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

// Guards against idle sessions that are never closed, and against an unresponsive
// peer that is detected only by the next attempt.
func TestIdleSessionsAndUnresponsivePeers(t *testing.T) {
	timing := testTiming()
	timing.Idle = 100 * time.Millisecond
	client, server, _ := newPair(t, nil, timing, answerWith(strings.NewReader(""), "0"))
	_, _ = client.Call(t.Context(), "B", errorFrame("", ""))
	waitFor(t, "closing the idle session", func() bool {
		return client.counters.Idle.Value() == 1 && !server.hasOpenStreams()
	})
	fault := &linkFault{}
	client, _, r := newPair(t, fault.dial, testTiming(), answerWith(strings.NewReader(""), "0"))
	_ = client.Run(t.Context(), "B", fleet.Attempt{}).Answer.Body.Close()
	fault.dropWrites.Store(true)
	waitFor(t, "detecting the unresponsive peer", func() bool { return client.counters.Silent.Value() == 1 })
	waitFor(t, "closing at the other side", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()

		return slices.Contains(r.events, "close A1")
	})
	fault.dropWrites.Store(false)
	fault.delay.Store(int64(5 * time.Millisecond))
	if reply := client.Run(t.Context(), "B", fleet.Attempt{}); reply.Outcome != fleet.Ran {
		t.Errorf("got %v after the link healed, want Ran", reply.Outcome)
	}
}

// Guards against a planned stop that truncates answers in progress (R10), and against
// failures when more streams are open at once than acceptBacklog.
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

// Guards against bytes that are lost when a session closes, and against writers that
// block forever because the peer does not read.
func TestBatchConn(t *testing.T) {
	near, far := net.Pipe()
	c := newBatchConn(near, bufio.NewReader(near))
	received := make(chan []byte)
	go func() {
		time.Sleep(10 * time.Millisecond) // after all 100 writes
		data, _ := io.ReadAll(far)
		received <- data
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
