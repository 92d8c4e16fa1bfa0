// Package proxy is a TCP proxy on loopback whose connections can be delayed, held
// in one direction or both, and reset, for tests of link faults between processes.
package proxy

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the connection to the target, which is on the same machine.
	dialTimeout = time.Second
	chunk       = 32 << 10
)

// Faults are those of all connections, present and future. The zero value has none.
type Faults struct {
	// Delay holds each piece of data back for a time.
	Delay time.Duration
	// HoldToTarget stops what flows to the target, and HoldToCaller what flows back. Held data
	// flows on when the fault ends, unless the connection was closed.
	HoldToTarget, HoldToCaller bool
}

// Proxy passes connections on to one target.
type Proxy struct {
	listener *net.TCPListener
	target   netip.AddrPort

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	links   map[*link]struct{}
	running sync.WaitGroup
}

// link is one connection and its way on to the target.
type link struct {
	near, far *net.TCPConn
	closed    chan struct{}
	once      sync.Once
}

// New starts a proxy at an address, and returns it with the function that closes
// it and its connections.
func New(address, target netip.AddrPort) (*Proxy, func(), error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, fmt.Errorf("listen for the proxy on %s: %w", address, err)
	}

	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), links: make(map[*link]struct{})}

	p.running.Go(p.accept)

	return p, func() {
		_ = listener.Close()

		p.ResetConnections()
		p.running.Wait()
	}, nil
}

// SetFaults replaces the faults.
func (p *Proxy) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.faults = faults

	close(p.changed)
	p.changed = make(chan struct{})
}

// ResetConnections resets all connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for l := range p.links {
		l.reset()
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}

		p.running.Go(func() { p.connect(near) })
	}
}

// connect links a connection to the target until both directions have ended. One
// that cannot be linked is reset, as a port without a listener does.
func (p *Proxy) connect(near *net.TCPConn) {
	far, err := net.DialTimeout("tcp", p.target.String(), dialTimeout) //nolint:noctx // bounded by its timeout
	if err != nil {
		reset(near)

		return
	}

	l := &link{near: near, far: far.(*net.TCPConn), closed: make(chan struct{})} //nolint:forcetypeassert // tcp

	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()

	var directions sync.WaitGroup

	directions.Go(func() { p.copy(l, l.far, l.near, func(f Faults) bool { return f.HoldToTarget }) })
	directions.Go(func() { p.copy(l, l.near, l.far, func(f Faults) bool { return f.HoldToCaller }) })
	directions.Wait()

	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()

	_, _ = l.near.Close(), l.far.Close()
}

// copy passes data on in one direction, and then its end.
func (p *Proxy) copy(l *link, to, from *net.TCPConn, held func(Faults) bool) {
	buffer := make([]byte, chunk)

	for {
		n, readErr := from.Read(buffer)
		if !p.wait(l, held) {
			return
		}

		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				l.reset()

				return
			}
		}

		if readErr != nil {
			_ = to.CloseWrite() // the other direction may still carry an answer

			return
		}
	}
}

// wait returns once data may flow, or false if the connection was reset.
func (p *Proxy) wait(l *link, held func(Faults) bool) bool {
	for {
		p.mu.Lock()
		faults, changed := p.faults, p.changed
		p.mu.Unlock()

		var after <-chan time.Time

		switch {
		case held(faults):
		case faults.Delay > 0:
			after = time.After(faults.Delay)
		default:
			return true
		}

		select {
		case <-after:
			return true
		case <-changed:
		case <-l.closed:
			return false
		}
	}
}

// reset ends both directions at once.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.closed)
		reset(l.near)
		reset(l.far)
	})
}

// reset closes a connection so that its peer sees a reset.
func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}
