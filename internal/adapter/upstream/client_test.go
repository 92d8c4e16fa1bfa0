package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// rawUpstream starts an upstream that answers the n-th request over all connections
// with the n-th text. It closes the connection after a text without the suffix "keep",
// and sends nothing for the text "silence". The channel receives a value per request.
func rawUpstream(t *testing.T, answers ...string) (fleet.Upstream, chan struct{}) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRequests(conn, received, answers)
		}
	}()

	return fleet.Upstream{Name: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}, received
}

func serveRequests(conn net.Conn, received chan struct{}, answers []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		received <- struct{}{}
		text, keep := strings.CutSuffix(answers[min(len(received), len(answers))-1], "keep")
		if text == "silence" {
			_, _ = reader.ReadByte()

			return
		}
		_, _ = io.WriteString(conn, text)
		if !keep {
			return
		}
	}
}

// deadlineContext exceeds its deadline when the channel is closed.
type deadlineContext struct {
	context.Context
	deadline chan struct{}
}

func (c deadlineContext) Done() <-chan struct{} { return c.deadline }

func (c deadlineContext) Err() error {
	select {
	case <-c.deadline:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// contextEndingAfter returns a context that exceeds its deadline when the upstream has
// received n requests.
func contextEndingAfter(t *testing.T, received chan struct{}, n int) context.Context {
	ctx := deadlineContext{t.Context(), make(chan struct{})}
	go func() {
		for len(received) < n {
			time.Sleep(time.Millisecond)
		}
		close(ctx.deadline)
	}()

	return ctx
}

func attemptWith(method, target, body string, header http.Header) fleet.Attempt {
	return fleet.Attempt{Request: fleet.Request{
		Method: method, Host: "estanques.example", Target: target, Header: header, Body: []byte(body),
	}}
}

// Guards against the result NotSent for a request that may have run, and against an
// HTTP client that repeats a request by itself, as net/http does.
func TestCallResult(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	const never = 100
	key := http.Header{"Idempotency-Key": {"12345678"}, "X-Idempotency-Key": {"12345678"}}
	for name, tt := range map[string]struct {
		answers       []string
		method        string
		body          string
		header        http.Header
		calls         int
		deadlineAfter int // number of received requests after which the deadline passes
		want          fleet.CallResult
		wantRequests  int
		wantErr       error
	}{
		"answered":                               {[]string{ok}, "GET", "", nil, 1, never, fleet.CallAnswered, 1, nil},
		"closed without answer":                  {[]string{""}, "POST", "x", nil, 1, never, fleet.CallFailed, 1, nil},
		"not HTTP":                               {[]string{"hello\r\n\r\n"}, "GET", "", nil, 1, never, fleet.CallFailed, 1, nil},
		"upgrade":                                {[]string{"HTTP/1.1 101 Switching Protocols\r\n\r\n"}, "GET", "", nil, 1, never, fleet.CallFailed, 1, nil},
		"GET on a reused connection that closes": {[]string{ok + "keep", ""}, "GET", "", nil, 2, never, fleet.CallFailed, 2, nil},
		"GET with a body on a reused connection that closes": {[]string{ok + "keep", ""}, "GET", "x", nil, 2, never, fleet.CallFailed, 2, nil},
		"keyed POST on a reused connection that closes":      {[]string{ok + "keep", ""}, "POST", "x", key, 2, never, fleet.CallFailed, 2, nil},
		"keyed empty POST on a reused connection that ends":  {[]string{ok + "keep", ""}, "POST", "", key, 2, never, fleet.CallFailed, 2, nil},
		"deadline before the answer":                         {[]string{"silence"}, "POST", "x", nil, 1, 1, fleet.CallTimedOut, 1, nil},
		"deadline before the call":                           {[]string{ok}, "POST", "x", nil, 1, 0, fleet.CallNotSent, 0, nil},
		"method that cannot be sent":                         {[]string{ok}, "B AD", "", nil, 1, never, fleet.CallNotSent, 0, nil},
		"header that cannot be sent":                         {[]string{ok}, "GET", "", http.Header{"A": {"b\n"}}, 1, never, fleet.CallNotSent, 0, nil},
		"shed":                                               {[]string{"HTTP/1.1 503 Busy\r\nKumquatshelf-Shed: true\r\nContent-Length: 0\r\n\r\n"}, "GET", "", nil, 1, never, fleet.CallShed, 1, nil},
		"503 that ran":                                       {[]string{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}, "GET", "", nil, 1, never, fleet.CallAnswered, 1, nil},
		"body cut by length":                                 {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"}, "GET", "", nil, 1, never, fleet.CallAnswered, 1, io.ErrUnexpectedEOF},
		"body cut between chunks":                            {[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}, "GET", "", nil, 1, never, fleet.CallAnswered, 1, io.ErrUnexpectedEOF},
		"chunk that is not one":                              {[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}, "GET", "", nil, 1, never, fleet.CallAnswered, 1, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			upstream, received := rawUpstream(t, tt.answers...)
			client, cleanUp := NewClient(OwnProtocol{})
			defer cleanUp()
			var result fleet.CallResult
			var err error
			for range tt.calls {
				ctx := t.Context()
				if tt.deadlineAfter < never {
					ctx = contextEndingAfter(t, received, tt.deadlineAfter)
				}
				if tt.deadlineAfter == 0 {
					<-ctx.Done()
				}
				var got fleet.Answer
				got, result = client.Call(ctx, upstream, attemptWith(tt.method, "/", tt.body, tt.header))
				if result == fleet.CallAnswered {
					_, err = io.ReadAll(got.Body)
					_ = got.Body.Close()
				}
			}
			if result != tt.want || len(received) != tt.wantRequests || !errors.Is(err, tt.wantErr) {
				t.Errorf("got %d, %d requests, error %v, want %d, %d, %v",
					result, len(received), err, tt.want, tt.wantRequests, tt.wantErr)
			}
		})
	}
}

// Guards against a refused connection that is reported as a request that may have run.
func TestDialFailureIsNotSent(t *testing.T) {
	t.Parallel()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstream := fleet.Upstream{Address: netip.MustParseAddrPort(listener.Addr().String())}
	_ = listener.Close()
	client, cleanUp := NewClient(OwnProtocol{})
	defer cleanUp()
	if _, got := client.Call(t.Context(), upstream, attemptWith("POST", "/", "x", nil)); got != fleet.CallNotSent {
		t.Errorf("got %d, want CallNotSent", got)
	}
}

// Guards against an exceeded deadline or a cancelled caller that is reported as an
// answer truncated by the upstream, and against calls that continue after their caller
// has left.
func TestContextEndsBody(t *testing.T) {
	t.Parallel()
	upstream, _ := rawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nokkeep")
	client, cleanUp := NewClient(OwnProtocol{})
	defer cleanUp()
	ctx, cancel := context.WithCancel(t.Context())
	got, _ := client.Call(ctx, upstream, attemptWith("GET", "/", "", nil))
	defer func() { _ = got.Body.Close() }()
	_, _ = io.ReadFull(got.Body, make([]byte, 2))
	cancel()
	if _, err := got.Body.Read(make([]byte, 1)); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
}

// Guards against hop-by-hop headers that are forwarded, against changes to the target,
// the host or the body, and against a lost trailer.
func TestForwarding(t *testing.T) {
	t.Parallel()
	requests := make(chan *http.Request, 1)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			copied := r.Clone(context.Background())
			copied.Body = io.NopCloser(strings.NewReader(string(body)))
			requests <- copied
			w.Header().Set("Connection", "X-Private")
			w.Header().Set("X-Private", "1")
			w.Header().Set("Keep-Alive", "timeout=5")
			w.Header().Set("X-Kept", "1")
			w.Header().Set("Trailer", "X-Sum")
			_, _ = w.Write([]byte("ok"))
			w.Header().Set("X-Sum", "7")
		}),
	}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client, cleanUp := NewClient(OwnProtocol{})
	defer cleanUp()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	got, result := client.Call(ctx, fleet.Upstream{Address: netip.MustParseAddrPort(listener.Addr().String())},
		attemptWith("POST", "/a%2Fb//c?q=%20x;y", "body", http.Header{
			"Connection": {"close, X-Own"}, "X-Own": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
			"Proxy-Authorization": {"Basic x"}, "Expect": {"100-continue"}, "X-Kept": {"1", "2"},
			"Idempotency-Key": {"12345678"}, HeaderDeadline: {"999999"},
		}))
	if result != fleet.CallAnswered {
		t.Fatalf("got result %d, want CallAnswered", result)
	}
	_, _ = io.ReadAll(got.Body)
	_ = got.Body.Close()
	if got.Header.Get("X-Private")+got.Header.Get("Keep-Alive")+got.Header.Get("Connection") != "" ||
		got.Header.Get("X-Kept") != "1" || got.Trailer().Get("X-Sum") != "7" {
		t.Errorf("got answer header %v, trailer %v", got.Header, got.Trailer())
	}
	request := <-requests
	for _, name := range []string{"Connection", "X-Own", "Te", "Upgrade", "Proxy-Authorization", "Expect", "User-Agent", "Accept-Encoding"} {
		if value, found := request.Header[name]; found {
			t.Errorf("got request header %s: %q, want none", name, value)
		}
	}
	body, _ := io.ReadAll(request.Body)
	gotLine := strings.Join([]string{request.Host, request.RequestURI, string(body), request.Header.Get("Idempotency-Key"), strings.Join(request.Header["X-Kept"], "+")}, " ")
	if want := "estanques.example /a%2Fb//c?q=%20x;y body 12345678 1+2"; gotLine != want {
		t.Errorf("got request %q, want %q", gotLine, want)
	}
	if deadline := request.Header.Get(HeaderDeadline); len(deadline) != 5 || deadline > "60000" {
		t.Errorf("got deadline %q, want at most 60000 milliseconds", deadline)
	}
}

// Guards against additional header fields in requests without a body, and against a
// new connection for each such request, which takes about 1 ms.
func TestRequestWithoutBody(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE"} {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		want := method + " /a HTTP/1.1\r\nHost: estanques.example\r\n\r\n"
		got := make(chan string, 2)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = listener.Close()
			defer func() { _ = conn.Close() }()
			for range 2 {
				request := make([]byte, 1024)
				n, _ := conn.Read(request)
				got <- string(request[:n])
				_, _ = io.WriteString(conn, ok)
			}
		}()
		client, cleanUp := NewClient(OwnProtocol{})
		t.Cleanup(cleanUp)
		for range 2 {
			answer, result := client.Call(t.Context(),
				fleet.Upstream{Address: netip.MustParseAddrPort(listener.Addr().String())}, attemptWith(method, "/a", "", nil))
			if result != fleet.CallAnswered {
				t.Fatalf("%s: got result %d, want CallAnswered on the one connection", method, result)
			}
			_, _ = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if got := <-got; got != want {
				t.Errorf("got request %q, want %q", got, want)
			}
		}
	}
}
