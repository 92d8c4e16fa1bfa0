package server

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// storeSite stands for the store where links name availability zones.
const storeSite = "store"

// way is one direction between two availability zones, or one and the store.
type path struct{ from, to string }

// links opens connections whose directions can be cut. A cut direction loses
// every byte while the connection stays open. A connection that lost bytes
// delivers no more in that direction after the cut has ended, because the bytes
// after the gap would be taken for those in it.
type network struct {
	mu    sync.Mutex
	sites map[string]string
	cuts  map[path]bool
	// kept are connections that were closed while their direction was cut.
	pendingClose []net.Conn
}

func newLinks() *network {
	return &network{sites: make(map[string]string), cuts: make(map[path]bool)}
}

// place tells which site an address belongs to.
func (l *network) setSite(address netip.AddrPort, site string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.sites[address.String()] = site
}

// sever cuts the given directions.
func (l *network) cut(ways ...path) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, w := range ways {
		l.cuts[w] = true
	}
}

// heal ends all cuts.
func (l *network) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()

	clear(l.cuts)

	for _, connection := range l.pendingClose {
		_ = connection.Close()
	}

	l.pendingClose = nil
}

func (l *network) closeOnRestore(connection net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.pendingClose = append(l.pendingClose, connection)
}

func (l *network) isCut(w path) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.cuts[w]
}

// dial connects a site to an address. A handshake needs both directions, and
// hangs if one of them is cut.
func (l *network) dial(ctx context.Context, site, address string) (net.Conn, error) {
	l.mu.Lock()
	out := path{site, l.sites[address]}
	l.mu.Unlock()

	in := path{out.to, out.from}
	if l.isCut(out) || l.isCut(in) {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	return &lossyConn{Conn: connection, links: l, in: lossyDirection{path: in}, out: lossyDirection{path: out}, closed: make(chan struct{})}, nil
}

// direction is one direction of a connection.
type lossyDirection struct {
	path
	mu   sync.Mutex
	lost bool
}

// loses reports whether bytes sent now are lost.
func (d *lossyDirection) loses(l *network) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.lost = d.lost || l.isCut(d.path)

	return d.lost
}

// link is a connection seen from the side that dialled it.
type lossyConn struct {
	net.Conn
	links   *network
	in, out lossyDirection
	once    sync.Once
	closed  chan struct{}
}

// Read returns what arrives. Bytes, and the end of the connection, that come
// from a cut direction are not seen.
func (c *lossyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)

		switch {
		case !c.in.loses(c.links):
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

// Write sends bytes or loses all of them.
func (c *lossyConn) Write(p []byte) (int, error) {
	if c.out.loses(c.links) {
		return len(p), nil
	}

	return c.Conn.Write(p)
}

// Close ends the connection. The other side does not learn of it through a
// direction that is cut until the cut ends.
func (c *lossyConn) Close() error {
	var err error

	c.once.Do(func() {
		close(c.closed)

		if !c.links.isCut(c.out.path) {
			err = c.Conn.Close()

			return
		}

		err = c.SetDeadline(time.Unix(1, 0))

		c.links.closeOnRestore(c.Conn)
	})

	return err
}
