package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Guards against a planned stop that closes a connection when its caller is about to send
// a request on it, which would be lost.
func TestAwaitIdle(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		name string
		// unused is true for a connection that has carried no request.
		unused bool
		// act is the caller's action on its idle connection.
		act      func(t *testing.T, connection net.Conn)
		wantIdle int
	}{
		{name: "the caller sends its last request", act: sendRequest, wantIdle: 0},
		{name: "the caller closes", act: func(_ *testing.T, connection net.Conn) { _ = connection.Close() }, wantIdle: 0},
		{name: "the caller does nothing", act: func(*testing.T, net.Conn) {}, wantIdle: 1},
		{name: "the caller has not used it yet", unused: true, act: sendRequest, wantIdle: 0},
		{name: "the caller does not use it", unused: true, act: func(*testing.T, net.Conn) {}, wantIdle: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			server := newServer(t, &fakeForwarder{reply: func() fleet.Reply {
				return ranReply(strings.NewReader("done"), http.Header{"Content-Length": {"4"}})
			}})

			connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Address().String())
			if err != nil {
				t.Fatal(err)
			}

			t.Cleanup(func() { _ = connection.Close() })

			if !c.unused {
				sendRequest(t, connection)
			}

			for server.idle.count() == 0 {
				time.Sleep(time.Millisecond)
			}

			server.Drain()

			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()

			idle := make(chan int, 1)

			go func() { idle <- server.AwaitIdle(ctx) }()

			c.act(t, connection)

			if c.wantIdle > 0 {
				cancel()
			}

			if got := <-idle; got != c.wantIdle {
				t.Errorf("got %d idle connections, want %d", got, c.wantIdle)
			}
		})
	}
}

// sendRequest sends a request and reads the response, which must have status 200.
func sendRequest(t *testing.T, connection net.Conn) {
	t.Helper()

	if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatalf("write: %v", err)
	}

	readAnswer(t, connection, http.StatusOK)
}

// readAnswer reads a response and checks its status.
func readAnswer(t *testing.T, connection net.Conn, want int) {
	t.Helper()

	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}

	if _, err := io.ReadAll(answer.Body); err != nil {
		t.Fatalf("read body: %v", err)
	}

	if answer.StatusCode != want {
		t.Errorf("got status %d, want %d", answer.StatusCode, want)
	}
}
