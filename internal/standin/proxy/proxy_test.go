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

// short is how long a test waits to see that nothing arrives.
const short = 50 * time.Millisecond

// Guards against a soak that injects other faults than it says.
func TestFaults(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		name   string
		faults proxy.Faults
		// in and out say whether data arrives in each direction.
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

			p, near, far := linked(t)
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

// Guards against connections that survive a reset.
func TestReset(t *testing.T) {
	t.Parallel()

	p, near, far := linked(t)
	p.ResetConnections()

	for _, connection := range []net.Conn{near, far} {
		_ = connection.SetReadDeadline(time.Now().Add(time.Minute))

		if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("got error %v, want a reset", err)
		}
	}
}

// linked returns a proxy, and both ends of a connection through it.
func linked(t *testing.T) (p *proxy.Proxy, near, far net.Conn) {
	t.Helper()

	target, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = target.Close() })

	free, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}

	address := netip.MustParseAddrPort(free.Addr().String())
	_ = free.Close()

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

func passes(t *testing.T, from, to net.Conn, want bool) bool {
	t.Helper()

	if _, err := io.WriteString(from, "x"); err != nil {
		t.Fatal(err)
	}

	return arrives(t, to, want)
}

// arrives reports whether data arrives. It waits for long only if it should.
func arrives(t *testing.T, to net.Conn, want bool) bool {
	t.Helper()

	wait := short
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
