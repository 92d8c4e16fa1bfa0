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
type way struct{ from, to string }

// links opens connections whose directions can be cut. A cut direction loses
// every byte while the connection stays open. A connection that lost bytes
// delivers no more in that direction after the cut has ended, because the bytes
// after the gap would be taken for those in it.
type links struct {
	mu    sync.Mutex
	sites map[string]string
	cuts  map[way]bool
	// kept are connections that were closed while their direction was cut.
	kept []net.Conn
}

func newLinks() *links {
	return &links{sites: make(map[string]string), cuts: make(map[way]bool)}
}

// place tells which site an address belongs to.
func (l *links) place(address netip.AddrPort, site string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.sites[address.String()] = site
}

// sever cuts the given directions.
func (l *links) sever(ways ...way) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, w := range ways {
		l.cuts[w] = true
	}
}

// heal ends all cuts.
func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()

	clear(l.cuts)

	for _, connection := range l.kept {
		_ = connection.Close()
	}

	l.kept = nil
}

func (l *links) keep(connection net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.kept = append(l.kept, connection)
}

func (l *links) cut(w way) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.cuts[w]
}

// dial connects a site to an address. A handshake needs both directions, and
// hangs if one of them is cut.
func (l *links) dial(ctx context.Context, site, address string) (net.Conn, error) {
	l.mu.Lock()
	out := way{site, l.sites[address]}
	l.mu.Unlock()

	in := way{out.to, out.from}
	if l.cut(out) || l.cut(in) {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	return &link{Conn: connection, links: l, in: direction{way: in}, out: direction{way: out}, closed: make(chan struct{})}, nil
}

// direction is one direction of a connection.
type direction struct {
	way
	mu   sync.Mutex
	lost bool
}

// loses reports whether bytes sent now are lost.
func (d *direction) loses(l *links) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.lost = d.lost || l.cut(d.way)

	return d.lost
}

// link is a connection seen from the side that dialled it.
type link struct {
	net.Conn
	links   *links
	in, out direction
	once    sync.Once
	closed  chan struct{}
}

// Read returns what arrives. Bytes, and the end of the connection, that come
// from a cut direction are not seen.
func (c *link) Read(p []byte) (int, error) {
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
func (c *link) Write(p []byte) (int, error) {
	if c.out.loses(c.links) {
		return len(p), nil
	}

	return c.Conn.Write(p)
}

// Close ends the connection. The other side does not learn of it through a
// direction that is cut until the cut ends.
func (c *link) Close() error {
	var err error

	c.once.Do(func() {
		close(c.closed)

		if !c.links.cut(c.out.way) {
			err = c.Conn.Close()

			return
		}

		err = c.SetDeadline(time.Unix(1, 0))

		c.links.keep(c.Conn)
	})

	return err
}
