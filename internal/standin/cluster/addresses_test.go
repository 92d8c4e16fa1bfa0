package cluster

import (
	"net"
	"testing"
	"time"
)

// Guards against a fleet that does not start because a reserved address is still in use
// for a moment.
func TestReservedAddressInUse(t *testing.T) {
	t.Parallel()

	addresses, err := ReserveAddresses(2)
	if err != nil {
		t.Fatal(err)
	}

	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addresses[0]))
	if err != nil {
		t.Fatal(err)
	}

	time.AfterFunc(10*pollInterval, func() { _ = listener.Close() })

	_, stop, err := startProxy(addresses[0], addresses[1])
	if err != nil {
		t.Fatalf("got %v, want a proxy once the address is free", err)
	}

	stop()
}
