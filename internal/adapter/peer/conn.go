package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes holds one full stream window; a writer that is further
	// ahead of the network waits.
	maxPendingBytes = 256 << 10
	// keptPendingBytes bounds the buffer that an idle session keeps.
	keptPendingBytes = 16 << 10
	// flushTimeout bounds how long a closing session waits for a peer that
	// does not read.
	flushTimeout = 250 * time.Millisecond
)

// batchConn writes what yamux hands it in small pieces (a header of 12 bytes
// and a body) with one system call for everything that is pending.
type batchConn struct {
	net.Conn
	reader  *bufio.Reader
	arrived atomic.Uint64

	mu      sync.Mutex
	filled  sync.Cond
	drained sync.Cond
	pending []byte
	spare   []byte
	err     error
	closed  bool
	done    chan struct{}
}

func newBatchConn(conn net.Conn, reader *bufio.Reader) *batchConn {
	c := &batchConn{Conn: conn, reader: reader, done: make(chan struct{})}
	c.filled.L = &c.mu
	c.drained.L = &c.mu
	go c.flush()

	return c
}

func (c *batchConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.arrived.Add(uint64(n)) //nolint:gosec // n is not negative

	return n, err
}

func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPendingBytes && c.err == nil && !c.closed {
		c.drained.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, p...)
	c.filled.Signal()

	return len(p), nil
}

// Close flushes what is pending, so that an answer written before a planned
// stop is not cut off, and closes the connection.
func (c *batchConn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		_ = c.SetWriteDeadline(time.Now().Add(flushTimeout))
	}
	c.filled.Signal()
	c.drained.Broadcast()
	c.mu.Unlock()
	<-c.done

	return c.Conn.Close()
}

func (c *batchConn) flush() {
	defer close(c.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for len(c.pending) == 0 && !c.closed {
			c.filled.Wait()
		}
		if len(c.pending) == 0 {
			return
		}
		out := c.pending
		c.pending, c.spare = c.spare, nil
		c.mu.Unlock()
		_, err := c.Conn.Write(out)
		c.mu.Lock()
		if cap(out) <= keptPendingBytes {
			c.spare = out[:0]
		}
		c.drained.Broadcast()
		if err != nil {
			c.err = err
			c.pending = nil

			return
		}
	}
}
