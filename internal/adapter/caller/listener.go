package caller

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// listener accepts connections that may stay unused for idleTimeout before their first
// request, as between two requests. By itself, http.Server counts ReadHeaderTimeout from
// the moment it accepts a connection, and so could close an unused connection when its
// caller is about to send a request on it.
type listener struct{ net.Listener }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // http.Server accepts again after an error whose type it recognizes as temporary
	}

	return &connection{Conn: accepted}, nil
}

// connection starts readHeaderTimeout for its first request when the first byte arrives.
type connection struct {
	net.Conn
	// receivedData is set when the first byte has arrived.
	receivedData atomic.Bool
}

// SetReadDeadline sets the read deadline. On a connection that has not received data, a
// deadline in the future is replaced by the end of idleTimeout from now.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.After(time.Now()) && !c.receivedData.Load() {
		deadline = time.Now().Add(idleTimeout)
	}

	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}

	return nil
}

// Read reads from the connection and starts readHeaderTimeout at the first byte.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.receivedData.Swap(true) {
		// If this fails, the next read fails too and reports the error.
		_ = c.Conn.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	}

	return n, err //nolint:wrapcheck // http.Server distinguishes errors by their type
}

// CloseWrite closes the sending direction, if the connection supports that. http.Server
// uses it to end a response while the caller is still sending.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // http.Server distinguishes errors by their type
	}

	return nil
}
