package proxy_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/proxy"
)

// noDataWait is how long a test waits before it concludes that no data arrives.
const noDataWait = 50 * time.Millisecond

// Guards against a fault that affects the wrong direction or has no effect, so that the
// soak would inject other faults than its schedule lists.
func TestFaults(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		name   string
		faults proxy.Faults
		// in and out report whether data arrives at the target and at the caller.
		in, out bool
	}{
		{"none", proxy.Faults{}, true, true},
		{"held towards the target", proxy.Faults{HoldToTarget: true}, false, true},
		{"held towards the caller", proxy.Faults{HoldToCaller: true}, true, false},
		{"silent", proxy.Faults{HoldToTarget: true, HoldToCaller: true}, false, false},
		{"delayed for long", proxy.Faults{Delay: time.Hour}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			p, near, far := newConnection(t)
			p.SetFaults(c.faults)

			if got := passes(t, near, far, c.in); got != c.in {
				t.Errorf("got data towards the target: %v, want %v", got, c.in)
			}

			if got := passes(t, far, near, c.out); got != c.out {
				t.Errorf("got data towards the caller: %v, want %v", got, c.out)
			}

			p.SetFaults(proxy.Faults{})

			if !c.in && !arrives(t, far, true) || !c.out && !arrives(t, near, true) {
				t.Error("got no held data after the fault, want it")
			}
		})
	}
}

// Guards against connections that stay open after a reset.
func TestReset(t *testing.T) {
	t.Parallel()

	p, near, far := newConnection(t)
	p.ResetConnections()

	for _, connection := range []net.Conn{near, far} {
		_ = connection.SetReadDeadline(time.Now().Add(time.Minute))

		if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("got error %v, want a reset", err)
		}
	}
}

// newConnection returns a proxy and a connection through it: near is the caller's end, far the
// target's.
func newConnection(t *testing.T) (p *proxy.Proxy, near, far net.Conn) {
	t.Helper()

	target, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = target.Close() })

	reservation, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}

	address := netip.MustParseAddrPort(reservation.Addr().String())
	_ = reservation.Close()

	p, closeProxy, err := proxy.New(address, netip.MustParseAddrPort(target.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(closeProxy)

	near, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = near.Close() })

	far, err = target.Accept()
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = far.Close() })

	if !passes(t, near, far, true) {
		t.Fatal("got no data through a proxy without faults")
	}

	return p, near, far
}

// passes writes data to one end and reports whether it arrives at the other.
func passes(t *testing.T, from, to net.Conn, want bool) bool {
	t.Helper()

	if _, err := io.WriteString(from, "x"); err != nil {
		t.Fatal(err)
	}

	return arrives(t, to, want)
}

// arrives reports whether data arrives at a connection. It waits up to a minute if the
// test expects data, and noDataWait otherwise.
func arrives(t *testing.T, to net.Conn, want bool) bool {
	t.Helper()

	wait := noDataWait
	if want {
		wait = time.Minute
	}

	_ = to.SetReadDeadline(time.Now().Add(wait))

	_, err := to.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}

	return err == nil
}
