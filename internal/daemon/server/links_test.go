package server

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// storeSite is the site of the store. All other sites are availability zones.
const storeSite = "store"

// path is one direction between two sites.
type path struct{ from, to string }

// network opens connections between sites and can cut paths. A cut path drops every
// byte while its connections stay open. A connection that lost bytes delivers nothing
// more in that direction after the cut has ended, because the receiver would take the
// bytes after the gap for the missing ones.
type network struct {
	mu sync.Mutex
	// sites maps the addresses that listeners use to their sites.
	sites map[string]string
	cuts  map[path]bool
	// pendingClose are connections that were closed while their outgoing path was cut.
	// They are really closed when the cut ends.
	pendingClose []net.Conn
}

func newNetwork() *network {
	return &network{sites: make(map[string]string), cuts: make(map[path]bool)}
}

// setSite records the site of an address.
func (n *network) setSite(address netip.AddrPort, site string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.sites[address.String()] = site
}

// cut cuts the given paths.
func (n *network) cut(paths ...path) {
	n.mu.Lock()
	defer n.mu.Unlock()

	for _, p := range paths {
		n.cuts[p] = true
	}
}

// restore ends all cuts.
func (n *network) restore() {
	n.mu.Lock()
	defer n.mu.Unlock()

	clear(n.cuts)

	for _, connection := range n.pendingClose {
		_ = connection.Close()
	}

	n.pendingClose = nil
}

// closeOnRestore closes a connection when the cuts end.
func (n *network) closeOnRestore(connection net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.pendingClose = append(n.pendingClose, connection)
}

// isCut reports whether a path is cut now.
func (n *network) isCut(p path) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.cuts[p]
}

// dial opens a connection from a site to an address. Its handshake needs both
// directions, so dial blocks until ctx ends if one of them is cut.
func (n *network) dial(ctx context.Context, site, address string) (net.Conn, error) {
	n.mu.Lock()
	out := path{site, n.sites[address]}
	n.mu.Unlock()

	in := path{out.to, out.from}
	if n.isCut(out) || n.isCut(in) {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	return &lossyConn{Conn: connection, network: n, in: lossyDirection{path: in}, out: lossyDirection{path: out}, closed: make(chan struct{})}, nil
}

// lossyDirection is one direction of a connection.
type lossyDirection struct {
	path
	mu sync.Mutex
	// hasGap says that bytes were lost in this direction.
	hasGap bool
}

// dropsBytes reports whether bytes sent now are lost, during a cut or after a gap.
func (d *lossyDirection) dropsBytes(n *network) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.hasGap = d.hasGap || n.isCut(d.path)

	return d.hasGap
}

// lossyConn is the dialling side's end of a connection through the network.
type lossyConn struct {
	net.Conn
	network *network
	in, out lossyDirection
	once    sync.Once
	closed  chan struct{}
}

// Read reads the bytes that arrive. Bytes and the end of the connection are hidden
// while the incoming direction drops them.
func (c *lossyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)

		switch {
		case !c.in.dropsBytes(c.network):
			return n, err
		case err == nil:
			continue
		case os.IsTimeout(err):
			return 0, err
		}

		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Write sends all bytes, or drops all of them and reports success.
func (c *lossyConn) Write(p []byte) (int, error) {
	if c.out.dropsBytes(c.network) {
		return len(p), nil
	}

	return c.Conn.Write(p)
}

// Close closes the connection. If the outgoing path is cut, the other side learns of it
// only when the cut ends.
func (c *lossyConn) Close() error {
	var err error

	c.once.Do(func() {
		close(c.closed)

		if !c.network.isCut(c.out.path) {
			err = c.Conn.Close()

			return
		}

		err = c.SetDeadline(time.Unix(1, 0))

		c.network.closeOnRestore(c.Conn)
	})

	return err
}
