package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// idProtocol classifies an answer whose X-Id is not the attempt's request ID as the
// answer to another request.
type idProtocol struct{ OwnProtocol }

func (idProtocol) Classify(_ int, header http.Header, attempt fleet.Attempt) fleet.CallResult {
	if header.Get("X-Id") != attempt.RequestID {
		return fleet.CallForeign
	}

	return fleet.CallAnswered
}

// scriptedUpstream is an upstream that handles each connection with a function, which
// receives the number of the connection, from 1.
type scriptedUpstream struct {
	fleet.Upstream
	mu          sync.Mutex
	connections int
}

func newScriptedUpstream(t *testing.T, handle func(number int, conn net.Conn, reader *bufio.Reader)) *scriptedUpstream {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedUpstream{Upstream: fleet.Upstream{Name: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections++
			number := s.connections
			s.mu.Unlock()
			go func() {
				defer func() { _ = conn.Close() }()
				handle(number, conn, bufio.NewReader(conn))
			}()
		}
	}()

	return s
}

func (s *scriptedUpstream) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.connections
}

// readRequest reads a request with its body and returns its X-Id, or false if the
// connection ended.
func readRequest(reader *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)

	return request.Header.Get("X-Id"), true
}

// answerFor returns a complete answer to the request with the ID, with more header
// lines.
func answerFor(id, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(id), id)
}

// callWithID sends an idempotent request with the ID and returns the body of the
// answer, or "cut short" if it is truncated, and the result.
func callWithID(t *testing.T, c *Client, u fleet.Upstream, id string, body string) (string, fleet.CallResult) {
	t.Helper()
	attempt := attemptWith(http.MethodPost, "/", body, http.Header{"X-Id": {id}})
	attempt.RequestID, attempt.Idempotent = id, true
	got, result := c.Call(t.Context(), u, attempt)
	if result != fleet.CallAnswered {
		return "", result
	}
	text, err := io.ReadAll(got.Body)
	_ = got.Body.Close()
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("read body: %v", err)
	}
	if err != nil {
		return "cut short", result
	}

	return string(text), result
}

// Guards against answers and unexpected bytes that are delivered to the wrong request,
// against requests on connections that the upstream has closed or is about to close,
// and against unnecessary connections.
func TestConnectionReuse(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		handle func(number int, conn net.Conn, reader *bufio.Reader)
		// pause is the time between the two requests.
		pause time.Duration
		body  string
		// want has the bodies or the failed results of requests r1 and r2.
		want        [2]string
		connections int
	}{
		{"kept", func(_ int, conn net.Conn, reader *bufio.Reader) {
			for id, found := readRequest(reader); found; id, found = readRequest(reader) {
				_, _ = io.WriteString(conn, answerFor(id, ""))
			}
		}, 0, "", [2]string{"r1", "r2"}, 1},
		{"closed by the header", func(_ int, conn net.Conn, reader *bufio.Reader) {
			id, _ := readRequest(reader)
			_, _ = io.WriteString(conn, answerFor(id, "Connection: close\r\n"))
			_, _ = reader.ReadByte() // keeps the connection open
		}, 0, "", [2]string{"r1", "r2"}, 2},
		{"closed while idle", func(_ int, conn net.Conn, reader *bufio.Reader) {
			id, _ := readRequest(reader)
			_, _ = io.WriteString(conn, answerFor(id, ""))
		}, 50 * time.Millisecond, "", [2]string{"r1", "r2"}, 2},
		{"about to be closed", func(_ int, conn net.Conn, reader *bufio.Reader) {
			for id, found := readRequest(reader); found; id, found = readRequest(reader) {
				_, _ = io.WriteString(conn, answerFor(id, "Keep-Alive: timeout=1\r\n"))
			}
		}, 0, "", [2]string{"r1", "r2"}, 2},
		{"stray bytes after an answer", func(_ int, conn net.Conn, reader *bufio.Reader) {
			for id, found := readRequest(reader); found; id, found = readRequest(reader) {
				_, _ = io.WriteString(conn, answerFor(id, "")+"HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 5\r\n\r\nstray")
			}
		}, 50 * time.Millisecond, "", [2]string{"r1", "r2"}, 2},
		{"answer of the request before", func(_ int, conn net.Conn, reader *bufio.Reader) {
			for id, found := readRequest(reader); found; id, found = readRequest(reader) {
				if id == "r2" {
					_, _ = io.WriteString(conn, answerFor("r1", ""))
				}
				_, _ = io.WriteString(conn, answerFor(id, ""))
			}
		}, 0, "", [2]string{"r1", "r2"}, 1},
		{"answers of others only", func(number int, conn net.Conn, reader *bufio.Reader) {
			for id, found := readRequest(reader); found; id, found = readRequest(reader) {
				if number == 1 {
					_, _ = io.WriteString(conn, strings.Repeat(answerFor("r0", ""), maxForeignAnswers))
				} else {
					_, _ = io.WriteString(conn, answerFor(id, ""))
				}
			}
		}, 0, "", [2]string{"Foreign", "r2"}, 2},
		{"answer before a long body was read", func(number int, conn net.Conn, reader *bufio.Reader) {
			if number > 1 {
				id, _ := readRequest(reader)
				_, _ = io.WriteString(conn, answerFor(id, ""))

				return
			}
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answerFor(request.Header.Get("X-Id"), ""))
			time.Sleep(200 * time.Millisecond)
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = readRequest(reader)
		}, 0, strings.Repeat("x", 16<<20), [2]string{"r1", "r2"}, 2},
		{"body without a length", func(_ int, conn net.Conn, reader *bufio.Reader) {
			id, _ := readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\n"+id)
		}, 0, "", [2]string{"r1", "r2"}, 2},
		{"reset in a body without a length", func(_ int, conn net.Conn, reader *bufio.Reader) {
			id, _ := readRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nhal")
			time.Sleep(50 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}, 0, "", [2]string{"cut short", "cut short"}, 2},
		{"reset instead of an answer", func(number int, conn net.Conn, reader *bufio.Reader) {
			id, _ := readRequest(reader)
			if number == 1 {
				_ = conn.(*net.TCPConn).SetLinger(0)

				return
			}
			_, _ = io.WriteString(conn, answerFor(id, ""))
		}, 0, "", [2]string{"Failed", "r2"}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedUpstream(t, tt.handle)
			client, cleanUp := NewClient(idProtocol{})
			defer cleanUp()
			for i, id := range []string{"r1", "r2"} {
				got, result := callWithID(t, client, s.Upstream, id, tt.body)
				if result != fleet.CallAnswered {
					got = result.String()
				}
				if got != tt.want[i] {
					t.Errorf("request %s: got %q, want %q", id, got, tt.want[i])
				}
				time.Sleep(tt.pause)
			}
			if got := s.connectionCount(); got != tt.connections {
				t.Errorf("got %d connections, want %d", got, tt.connections)
			}
		})
	}
}

// Guards against a request that is not idempotent on a connection that has been idle.
// The upstream may have discarded that connection without the client noticing.
func TestIdleConnectionsServeIdempotentOnly(t *testing.T) {
	t.Parallel()
	now := time.Now()
	for idle, want := range map[time.Duration][2]bool{
		0: {true, true}, maxIdleNonIdempotent + time.Second: {false, true}, idleTimeout: {false, false},
	} {
		s := newScriptedUpstream(t, func(_ int, _ net.Conn, reader *bufio.Reader) { _, _ = reader.ReadByte() })
		raw, err := net.Dial("tcp", s.Address.String())
		if err != nil {
			t.Fatal(err)
		}
		c := newConn(raw, s.Address)
		c.idleSince = now.Add(-idle)
		for i, idempotent := range []bool{false, true} {
			if got := c.usable(now, idempotent); got != want[i] {
				t.Errorf("idle for %v, idempotent %v: got %v, want %v", idle, idempotent, got, want[i])
			}
		}
		_ = raw.Close()
	}
}
