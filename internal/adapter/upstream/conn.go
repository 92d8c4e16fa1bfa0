package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// readBufferBytes is enough for the head of a typical answer.
const readBufferBytes = 4 << 10

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	address netip.AddrPort
	reader  *bufio.Reader
	// limit stops reader after maxHeadBytes while the head of an answer is read.
	limit io.LimitedReader
	// maxIdle is how long the connection may be idle and still be reused.
	maxIdle time.Duration
	// used is set when the connection has carried a request with its answer.
	used bool
	// idleSince is when the latest answer ended.
	idleSince time.Time
	// broken is set when a write failed or the connection was aborted, so that it is
	// not reused.
	broken atomic.Bool
}

// unlimited is a limit in bytes that no answer reaches.
const unlimited = 1 << 62

func newConn(raw net.Conn, address netip.AddrPort) *conn {
	c := &conn{Conn: raw, address: address, maxIdle: idleTimeout}
	c.limit = io.LimitedReader{R: raw, N: unlimited}
	c.reader = bufio.NewReaderSize(&c.limit, readBufferBytes)

	return c
}

// abort makes blocked and future reads and writes fail.
func (c *conn) abort() {
	c.broken.Store(true)
	_ = c.SetDeadline(time.Unix(1, 0))
}

var errSwitchingProtocols = errors.New("upstream switched protocols")

// readHead reads the head of the next final answer and skips informational ones
// (status 1xx). Status 101 is an error, because no request asks for another protocol.
// The method is that of the request, on which the length of the body depends.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.N = maxHeadBytes
	defer func() { c.limit.N = unlimited }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer head: %w", err)
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchingProtocols
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

// applyKeepAlive sets maxIdle from the timeout, in seconds, of the upstream's
// Keep-Alive header, if there is one.
func (c *conn) applyKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(value, 10, 16); err == nil {
			c.maxIdle = time.Duration(seconds)*time.Second - keepAliveMargin //nolint:gosec // 16 bits
		}
	}
}

// usable reports whether a request can be sent on the idle connection. An upstream
// may have discarded the connection without the client noticing. Since a request that
// is not idempotent cannot be repeated then, it needs a connection that has been idle
// for less than maxIdleNonIdempotent.
func (c *conn) usable(now time.Time, idempotent bool) bool {
	return c.reusable(now) && (idempotent || now.Sub(c.idleSince) < maxIdleNonIdempotent)
}

// reusable reports whether the connection is intact, has not been idle for too long,
// and has received neither data nor an end since the last answer.
func (c *conn) reusable(now time.Time) bool {
	return !c.broken.Load() && now.Sub(c.idleSince) < c.maxIdle && c.reader.Buffered() == 0 && c.noPendingInput()
}

// noPendingInput reports whether the socket has neither unread bytes nor an end of
// the stream or an error. It does not block. It returns true for connections that
// are not sockets.
func (c *conn) noPendingInput() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // a descriptor
		noInput = errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && noInput
}

// pool holds idle connections. It reuses the most recently used connection first.
type pool struct {
	dialer net.Dialer
	// mu guards the fields below.
	mu sync.Mutex
	// idle holds the connections of each upstream, the most recently used last.
	idle   map[netip.AddrPort][]*conn
	closed bool
	// lastSweep is when sweep was last called.
	lastSweep time.Time
}

func newPool() (*pool, func()) {
	p := &pool{dialer: net.Dialer{Timeout: dialTimeout}, idle: map[netip.AddrPort][]*conn{}}

	return p, p.close
}

// get returns an idle or a new connection to an address, or nil if none can be
// opened. The caller returns it with release or closes it with closeConn.
func (p *pool) get(ctx context.Context, address netip.AddrPort, idempotent bool) *conn {
	now := time.Now()
	for c := p.pop(address); c != nil; c = p.pop(address) {
		if c.usable(now, idempotent) {
			return c
		}
		if c.reusable(now) {
			p.add(c) // all others have been idle for longer

			break
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil
	}

	return newConn(raw, address)
}

// pop removes the most recently used connection from the pool, or returns nil.
func (p *pool) pop(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]

	return c
}

// release returns a connection after a complete answer. It closes a connection that
// is broken or has received data beyond the answer.
func (p *pool) release(c *conn) {
	if c.broken.Load() || c.reader.Buffered() > 0 {
		_ = c.Close()

		return
	}
	c.used, c.idleSince = true, time.Now()
	p.add(c)
}

// add stores an idle connection. If there are maxIdleConnsPerUpstream connections to
// the upstream already, add closes the least recently used one. If the pool is closed,
// add closes c instead.
func (p *pool) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()

		return
	}
	if now := time.Now(); now.Sub(p.lastSweep) >= idleTimeout {
		p.lastSweep = now
		p.sweep(now)
	}
	list := p.idle[c.address]
	if len(list) >= maxIdleConnsPerUpstream {
		_ = list[0].Close()
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.address] = append(list, c)
}

// sweep closes the connections that can no longer be reused. The caller must hold mu.
func (p *pool) sweep(now time.Time) {
	for address, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			if c.reusable(now) {
				return false
			}
			_ = c.Close()

			return true
		})
		if len(list) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = list
		}
	}
}

func (p *pool) closeConn(c *conn) { _ = c.Close() }

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}
