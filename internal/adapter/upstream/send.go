package upstream

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// sealableConn counts the bytes that were handed to the connection. Once it is
// sealed, nothing more can be written.
type sealableConn struct {
	net.Conn
	mu     sync.Mutex
	begun  int64
	sealed bool
}

// Write counts the bytes before it writes them, so that seal never misses
// bytes of a write in progress.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()

		return 0, net.ErrClosed
	}
	c.begun += int64(len(p))
	c.mu.Unlock()

	return c.Conn.Write(p)
}

func (c *sealableConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.begun
}

func (c *sealableConn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	begun := c.begun
	c.mu.Unlock()
	_ = c.Close()

	return begun
}

// sendTracker knows whether any byte of one request was written.
type sendTracker struct {
	mu     sync.Mutex
	conns  []*sealableConn
	before []int64
}

func (t *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*sealableConn)
		if !ok {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.conns = append(t.conns, conn)
		t.before = append(t.before, conn.count())
	}}
}

// seal closes the request's connections and reports whether any byte of the
// request was written. Afterwards none will be: net/http may return an error
// while its writing goroutine has yet to run.
func (t *sendTracker) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for i, conn := range t.conns {
		sent = conn.seal() > t.before[i] || sent
	}

	return sent
}
