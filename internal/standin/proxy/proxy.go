// Package proxy is a TCP proxy on loopback for tests of link faults between processes.
// It can delay connections, hold back their data in one or both directions, and reset
// them.
package proxy

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// dialTimeout bounds dialing the target, which runs on the same machine.
	dialTimeout = time.Second
	// bufferBytes is the largest piece of data that is forwarded at once.
	bufferBytes = 32 << 10
)

// Faults are the faults that a Proxy injects into all its connections, also those that
// are open already. The zero value injects none.
type Faults struct {
	// Delay is the time by which each piece of data is delayed.
	Delay time.Duration
	// HoldToTarget holds back data on its way to the target, and HoldToCaller data on
	// its way to the caller. Held data is forwarded when the fault ends, unless the
	// connection was reset.
	HoldToTarget, HoldToCaller bool
}

// Proxy forwards TCP connections to one target.
type Proxy struct {
	listener *net.TCPListener
	target   netip.AddrPort

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	pairs         map[*connectionPair]struct{}
	goroutines    sync.WaitGroup
}

// connectionPair is a caller's connection and the connection to the target that carries
// its data.
type connectionPair struct {
	caller, target *net.TCPConn
	// resetSignal is closed when the pair is reset.
	resetSignal chan struct{}
	once        sync.Once
}

// New starts a proxy that listens on the given address and forwards to the target. The
// returned function closes the listener, resets the connections and waits for the proxy's
// goroutines to end. New fails if it cannot listen.
func New(address, target netip.AddrPort) (*Proxy, func(), error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, fmt.Errorf("listen for proxy on %s: %w", address, err)
	}

	p := &Proxy{listener: listener, target: target, faultsChanged: make(chan struct{}), pairs: make(map[*connectionPair]struct{})}

	p.goroutines.Go(p.acceptLoop)

	return p, func() {
		_ = listener.Close()

		p.ResetConnections()
		p.goroutines.Wait()
	}, nil
}

// SetFaults replaces the faults, with effect on open connections too.
func (p *Proxy) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.faults = faults

	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// ResetConnections resets all open connections. New ones are accepted as before.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for pair := range p.pairs {
		pair.resetBoth()
	}
}

func (p *Proxy) acceptLoop() {
	for {
		caller, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}

		p.goroutines.Go(func() { p.connect(caller) })
	}
}

// connect forwards a connection to the target until both directions have ended. If the
// target cannot be dialed, it resets the caller's connection, since a port without a
// listener answers with a reset too.
func (p *Proxy) connect(caller *net.TCPConn) {
	target, err := net.DialTimeout("tcp", p.target.String(), dialTimeout) //nolint:noctx // bounded by its timeout
	if err != nil {
		resetConnection(caller)

		return
	}

	pair := &connectionPair{caller: caller, target: target.(*net.TCPConn), resetSignal: make(chan struct{})} //nolint:forcetypeassert // tcp

	p.mu.Lock()
	p.pairs[pair] = struct{}{}
	p.mu.Unlock()

	var directions sync.WaitGroup

	directions.Go(func() { p.forward(pair, pair.target, pair.caller, func(f Faults) bool { return f.HoldToTarget }) })
	directions.Go(func() { p.forward(pair, pair.caller, pair.target, func(f Faults) bool { return f.HoldToCaller }) })
	directions.Wait()

	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()

	_, _ = pair.caller.Close(), pair.target.Close()
}

// forward copies data in one direction until it ends, and then closes that direction.
// held reports whether the faults hold back this direction.
func (p *Proxy) forward(pair *connectionPair, destination, source *net.TCPConn, held func(Faults) bool) {
	buffer := make([]byte, bufferBytes)

	for {
		n, readErr := source.Read(buffer)
		if !p.waitUntilAllowed(pair, held) {
			return
		}

		if n > 0 {
			if _, err := destination.Write(buffer[:n]); err != nil {
				pair.resetBoth()

				return
			}
		}

		if readErr != nil {
			_ = destination.CloseWrite() // the other direction may still carry an answer

			return
		}
	}
}

// waitUntilAllowed returns true once data may be forwarded, and false if the connection
// was reset.
func (p *Proxy) waitUntilAllowed(pair *connectionPair, held func(Faults) bool) bool {
	for {
		p.mu.Lock()
		faults, changed := p.faults, p.faultsChanged
		p.mu.Unlock()

		var delayed <-chan time.Time

		switch {
		case held(faults):
		case faults.Delay > 0:
			delayed = time.After(faults.Delay)
		default:
			return true
		}

		select {
		case <-delayed:
			return true
		case <-changed:
		case <-pair.resetSignal:
			return false
		}
	}
}

// resetBoth resets both connections of the pair, once.
func (c *connectionPair) resetBoth() {
	c.once.Do(func() {
		close(c.resetSignal)
		resetConnection(c.caller)
		resetConnection(c.target)
	})
}

// resetConnection closes a connection with a TCP reset instead of an orderly end.
func resetConnection(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}
