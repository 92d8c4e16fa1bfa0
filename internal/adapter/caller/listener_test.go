package caller

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener is a listener whose Accept returns the in-memory connections that a test
// sends on the channel accept.
type pipeListener struct {
	accept chan net.Conn
	closed chan struct{}
}

func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-p.accept:
		return connection, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p pipeListener) Close() error {
	close(p.closed)

	return nil
}

func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against connections that are closed when their caller may be about to send a
// request, because the header timeout was counted from the start of the connection, and
// against headers that arrive so slowly that they occupy a connection forever.
func TestUnusedConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		unused time.Duration
		// pause is the time between the two halves of the header.
		pause time.Duration
		want  error
	}{
		{name: "used at once"},
		{name: "unused for longer than a header may take", unused: readHeaderTimeout + time.Second},
		{name: "unused until just before the idle timeout", unused: idleTimeout - time.Second},
		{name: "unused for too long", unused: idleTimeout + time.Second, want: io.ErrClosedPipe},
		{name: "a header in time", pause: readHeaderTimeout - time.Second},
		{name: "a header that takes too long", pause: readHeaderTimeout + time.Second, want: io.ErrClosedPipe},
		{name: "a late header that takes too long", unused: idleTimeout / 2, pause: readHeaderTimeout + time.Second, want: io.ErrClosedPipe},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &http.Server{
					Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
					ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
				}
				accepting := pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}

				go func() { _ = server.Serve(listener{accepting}) }()

				defer func() { _ = server.Close() }()

				clientConn, serverConn := net.Pipe()
				defer func() { _ = clientConn.Close() }()

				accepting.accept <- serverConn

				time.Sleep(c.unused)

				_, err := io.WriteString(clientConn, "GET / HTTP/1.1\r\n")
				if err == nil {
					time.Sleep(c.pause)

					_, err = io.WriteString(clientConn, "Host: a\r\n\r\n")
				}

				if !errors.Is(err, c.want) {
					t.Errorf("got error %v, want %v", err, c.want)
				}

				if c.want == nil {
					readAnswer(t, clientConn, http.StatusNoContent)
				}
			})
		})
	}
}

// failingListener returns EMFILE from the first Accept, as a listener does when the
// process has no file descriptor left.
type failingListener struct {
	net.Listener
	failed bool
}

func (s *failingListener) Accept() (net.Conn, error) {
	if !s.failed {
		s.failed = true

		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}

	return s.Listener.Accept()
}

// Guards against a daemon that accepts no more connections after it temporarily had no
// file descriptor left.
func TestTemporaryAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		}
		accepting := pipeListener{accept: make(chan net.Conn, 1), closed: make(chan struct{})}
		ended := make(chan error, 1)

		go func() { ended <- server.Serve(listener{&failingListener{Listener: accepting}}) }()

		defer func() { _ = server.Close() }()

		clientConn, serverConn := net.Pipe()
		defer func() { _ = clientConn.Close() }()

		accepting.accept <- serverConn

		time.Sleep(2 * time.Second)

		select {
		case err := <-ended:
			t.Fatalf("got a listener that ended with %v, want it to go on", err)
		default:
		}

		_, _ = io.WriteString(clientConn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")

		readAnswer(t, clientConn, http.StatusNoContent)
	})
}
