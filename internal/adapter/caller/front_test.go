package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// fakeForwarder replies to each request with reply. It counts the requests and stores
// the last one.
type fakeForwarder struct {
	reply func() fleet.Reply
	calls atomic.Int64
	last  atomic.Pointer[fleet.CallerRequest]
}

func (f *fakeForwarder) Forward(_ context.Context, request fleet.CallerRequest) fleet.Reply {
	f.calls.Add(1)
	f.last.Store(&request)

	return f.reply()
}

// ranReply returns a reply with an answer of status 200.
func ranReply(body io.Reader, header http.Header) fleet.Reply {
	return fleet.Reply{Outcome: fleet.Ran, Answer: fleet.Answer{Status: http.StatusOK, Header: header, Body: io.NopCloser(body)}}
}

// newServer starts a server on a free loopback port that accepts 4 KiB of header and
// 1 KiB of body, and stops it when the test ends.
func newServer(t testing.TB, f *fakeForwarder) *Server {
	t.Helper()

	server, cleanUp := New(netip.MustParseAddrPort("127.0.0.1:0"), OwnProtocol{}, f,
		Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 10}, slog.New(slog.DiscardHandler), new(expvar.Map).Init())

	if err := server.Listen(); err != nil {
		t.Fatalf("Listen: %v", err)
	}

	serving := make(chan error, 1)

	go func() { serving <- server.Serve() }()

	t.Cleanup(func() {
		cleanUp()

		if err := <-serving; err != nil {
			t.Errorf("got %v after a planned stop, want no error", err)
		}
	})

	return server
}

// sendRaw sends raw bytes on a new connection, closes the sending direction and returns
// the response.
func sendRaw(t *testing.T, server *Server, raw string) *http.Response {
	t.Helper()

	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Address().String())
	if err != nil {
		t.Fatalf("dial: %v", err)
	}

	t.Cleanup(func() { _ = connection.Close() })

	if _, err := io.WriteString(connection, raw); err != nil {
		t.Fatalf("write: %v", err)
	}

	_ = connection.(*net.TCPConn).CloseWrite()

	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}

	return answer
}

// TestInvalidRequests guards against invalid requests that are forwarded, and against an
// invalid request that affects the requests after it.
func TestInvalidRequests(t *testing.T) {
	t.Parallel()

	long := strings.Repeat("x", 9<<10)
	tests := []struct {
		name, raw  string
		wantStatus int
	}{
		{"malformed request line", "GET\r\n\r\n", http.StatusBadRequest},
		{"oversized header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"oversized body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n" + long[:2000], http.StatusRequestEntityTooLarge},
		{"half-closed body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\nabc", http.StatusBadRequest},
		{"oversized key", "GET / HTTP/1.1\r\nHost: a\r\nKumquatshelf-Key: " + long[:300] + "\r\n\r\n", http.StatusBadRequest},
		{"two keys", "GET / HTTP/1.1\r\nHost: a\r\nKumquatshelf-Key: a\r\nAuthorization: Bearer b\r\n\r\n", http.StatusBadRequest},
		{"bad timeout", "GET / HTTP/1.1\r\nHost: a\r\nKumquatshelf-Timeout: soon\r\n\r\n", http.StatusBadRequest},
		{"ID not UTF-8", "GET / HTTP/1.1\r\nHost: a\r\nRequest-ID: \xff\xfe\r\n\r\n", http.StatusBadRequest},
		{"query not UTF-8", "GET /?a=\xff HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
		{"idempotency key not UTF-8", "GET / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 12345678\xff\r\n\r\n", http.StatusBadRequest},
		{"upgrade", "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", http.StatusNotImplemented},
		{"connect", "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n", http.StatusNotImplemented},
	}

	f := &fakeForwarder{reply: func() fleet.Reply { return ranReply(strings.NewReader("ok"), http.Header{}) }}
	server := newServer(t, f)

	for _, tt := range tests {
		answer := sendRaw(t, server, tt.raw)
		if answer.StatusCode != tt.wantStatus {
			t.Errorf("%s: got status %d, want %d", tt.name, answer.StatusCode, tt.wantStatus)
		}

		if got := f.calls.Load(); got != 0 {
			t.Errorf("%s: got %d requests forwarded, want none", tt.name, got)
		}
	}

	answer := sendRaw(t, server, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if answer.StatusCode != http.StatusOK {
		t.Errorf("request after bad ones: got status %d, want %d", answer.StatusCode, http.StatusOK)
	}
}

// TestTruncatedAnswer guards against a truncated answer that looks complete to the
// caller, with and without a Content-Length.
func TestTruncatedAnswer(t *testing.T) {
	t.Parallel()

	for _, header := range []http.Header{{}, {"Content-Length": {"1000"}}} {
		f := &fakeForwarder{reply: func() fleet.Reply {
			return ranReply(io.MultiReader(bytes.NewBufferString("half"), brokenReader{}), header.Clone())
		}}
		server := newServer(t, f)

		for _, protocol := range []string{"HTTP/1.1", "HTTP/2"} {
			transport := &http.Transport{Protocols: &http.Protocols{}}
			transport.Protocols.SetHTTP1(protocol == "HTTP/1.1")
			transport.Protocols.SetUnencryptedHTTP2(protocol == "HTTP/2")

			request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address().String()+"/", http.NoBody)

			answer, err := (&http.Client{Transport: transport}).Do(request)
			if err != nil {
				continue // the caller received no answer that it could mistake for a complete one
			}

			if _, err := io.ReadAll(answer.Body); err == nil {
				t.Errorf("%s %v: got a whole answer, want an error", protocol, header)
			}

			_ = answer.Body.Close()
		}
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestRefusals guards against statuses and outcomes from which a caller would conclude
// that it can repeat a request that may have run.
func TestRefusals(t *testing.T) {
	t.Parallel()

	tests := []struct {
		reply       fleet.Reply
		wantStatus  int
		wantOutcome string
	}{
		{fleet.Refuse(fleet.ReasonLimit, ""), 429, "NotRun"},
		{fleet.Refuse(fleet.ReasonNoKey, ""), 401, "NotRun"},
		{fleet.Refuse(fleet.ReasonNoRoute, ""), 404, "NotRun"},
		{fleet.Refuse(fleet.ReasonDraining, ""), 503, "NotRun"},
		{fleet.Refuse(fleet.ReasonDeadline, ""), 504, "NotRun"},
		{fleet.Fail(fleet.ReasonDeadline, ""), 504, "Unknown"},
		{fleet.Fail(fleet.ReasonLimit, ""), 502, "Unknown"},
		{fleet.Fail(fleet.ReasonTruncated, ""), 502, "Unknown"},
	}
	for _, tt := range tests {
		f := &fakeForwarder{reply: func() fleet.Reply { return tt.reply }}

		answer := sendRaw(t, newServer(t, f), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if got := answer.Header.Get(OutcomeHeader); answer.StatusCode != tt.wantStatus || got != tt.wantOutcome {
			t.Errorf("%v %s: got %d %s, want %d %s", tt.reply.Outcome, tt.reply.Reason, answer.StatusCode, got, tt.wantStatus, tt.wantOutcome)
		}
	}
}

// TestHopByHopHeaders guards against hop-by-hop headers that are forwarded to an upstream
// or a caller.
func TestHopByHopHeaders(t *testing.T) {
	t.Parallel()

	f := &fakeForwarder{reply: func() fleet.Reply {
		return ranReply(strings.NewReader("ok"), http.Header{"Connection": {"X-B"}, "X-B": {"1"}})
	}}
	answer := sendRaw(t, newServer(t, f), "GET /p?q=1 HTTP/1.1\r\nHost: a\r\nConnection: X-A\r\nX-A: 1\r\nTe: trailers\r\nX-C: 1\r\n\r\n")

	got := f.last.Load().Request
	if got.Header.Get("X-A") != "" || got.Header.Get("Te") != "" || got.Header.Get("X-C") != "1" || got.Target != "/p?q=1" {
		t.Errorf("forwarded request: got %+v", got)
	}

	if answer.Header.Get("X-B") != "" {
		t.Errorf("answer header: got X-B, want none")
	}
}

// Guards against requests whose ID is lost, so that it cannot be found in logs, and
// against a key that is logged as part of the ID.
func TestRequestID(t *testing.T) {
	t.Parallel()

	for _, c := range []struct{ name, id, want string }{
		{"an ID", "booking-17", "booking-17"},
		{"none", "", ""},
		{"with the key in it", "x-secret-key-y", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			f := &fakeForwarder{reply: func() fleet.Reply { return ranReply(strings.NewReader(""), http.Header{}) }}
			server := newServer(t, f)
			sendRaw(t, server, "GET / HTTP/1.1\r\nHost: a\r\nKumquatshelf-Key: secret-key\r\nRequest-ID: "+c.id+"\r\n\r\n")

			if got := f.last.Load().ID; got != c.want {
				t.Errorf("got ID %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a server whose listener has failed without an error from Serve.
func TestServeReturnsAcceptError(t *testing.T) {
	t.Parallel()

	server, cleanUp := New(netip.MustParseAddrPort("127.0.0.1:0"), OwnProtocol{}, &fakeForwarder{},
		Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 10}, slog.New(slog.DiscardHandler), new(expvar.Map).Init())
	defer cleanUp()

	if err := server.Listen(); err != nil {
		t.Fatalf("Listen: %v", err)
	}

	_ = server.listener.Close()

	if got := server.Serve(); !errors.Is(got, net.ErrClosed) {
		t.Errorf("got %v, want %v", got, net.ErrClosed)
	}
}
