package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes is the number of bytes from which on Write blocks until they have
	// been passed to the network. Small frames wait behind them, for about 25 ms on a link
	// of 10 Mbit/s.
	maxPendingBytes = 32 << 10
	// maxRetainedBytes is the capacity above which a write buffer is discarded
	// instead of reused, to bound the memory of an idle session.
	maxRetainedBytes = 16 << 10
	// flushTimeout limits how long Close waits for a peer that does not read.
	flushTimeout = 250 * time.Millisecond
)

// batchConn collects the small writes of yamux (a header of 12 bytes, then a body)
// and passes all pending bytes to the connection with one system call.
type batchConn struct {
	net.Conn
	// reader may hold bytes that followed the Hello.
	reader *bufio.Reader
	// bytesRead is compared by Network.ping to detect a peer that sends nothing.
	bytesRead atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// notEmpty wakes flushLoop when there are pending bytes or on Close.
	notEmpty sync.Cond
	// written wakes blocked writers when flushLoop has written a batch.
	written sync.Cond
	pending []byte
	// spare is the previous batch's buffer, reused for the next pending bytes.
	spare []byte
	// err is the error of the first failed write; later writes return it.
	err    error
	closed bool
	// flushLoopDone is closed when flushLoop has returned.
	flushLoopDone chan struct{}
}

func newBatchConn(conn net.Conn, reader *bufio.Reader) *batchConn {
	c := &batchConn{Conn: conn, reader: reader, flushLoopDone: make(chan struct{})}
	c.notEmpty.L = &c.mu
	c.written.L = &c.mu
	go c.flushLoop()

	return c
}

func (c *batchConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.bytesRead.Add(uint64(n)) //nolint:gosec // n is not negative

	return n, err
}

// Write queues p. It blocks while maxPendingBytes or more are pending, and returns
// the error of an earlier batch, if any.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPendingBytes && c.err == nil && !c.closed {
		c.written.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, p...)
	c.notEmpty.Signal()

	return len(p), nil
}

// Close flushes the pending bytes for up to flushTimeout, so that an answer written
// before a planned stop is not truncated, and closes the connection.
func (c *batchConn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		_ = c.SetWriteDeadline(time.Now().Add(flushTimeout))
	}
	c.notEmpty.Signal()
	c.written.Broadcast()
	c.mu.Unlock()
	<-c.flushLoopDone

	return c.Conn.Close()
}

// flushLoop writes pending bytes until the connection is closed and no bytes are
// pending, or a write fails.
func (c *batchConn) flushLoop() {
	defer close(c.flushLoopDone)
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for len(c.pending) == 0 && !c.closed {
			c.notEmpty.Wait()
		}
		if len(c.pending) == 0 {
			return
		}
		out := c.pending
		c.pending, c.spare = c.spare, nil
		c.mu.Unlock()
		_, err := c.Conn.Write(out)
		c.mu.Lock()
		if cap(out) <= maxRetainedBytes {
			c.spare = out[:0]
		}
		c.written.Broadcast()
		if err != nil {
			c.err = err
			c.pending = nil

			return
		}
	}
}
