package caller

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// listener accepts connections that may stay unused for idleTimeout before their
// first request, as they may between requests. http.Server counts its timeout for
// reading a header from the moment it accepts a connection, and so closes an unused
// one when its caller may be about to send on it.
type listener struct{ net.Listener }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // the server tries again after errors that it recognizes as temporary
	}

	return &connection{Conn: accepted}, nil
}

// connection begins the timeout of its first header when the first byte arrives.
type connection struct {
	net.Conn
	used atomic.Bool
}

// SetReadDeadline sets the deadline, or that of an unused connection.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.After(time.Now()) && !c.used.Load() {
		deadline = time.Now().Add(idleTimeout)
	}

	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set the deadline of a caller's connection: %w", err)
	}

	return nil
}

// Read reads what the caller sends.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.used.Swap(true) {
		// A connection that fails here fails again at the next read.
		_ = c.Conn.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	}

	return n, err //nolint:wrapcheck // the server tells its own errors apart
}

// CloseWrite lets the server finish its answer while the caller still sends.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // as above
	}

	return nil
}
