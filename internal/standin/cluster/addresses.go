package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// ReserveAddresses returns n free loopback addresses for one fleet. They share a random loopback
// address with consecutive ports, so that fleets that start at the same time do not take
// each other's ports. The ports lie below the system's range for outgoing connections, so
// that the ports of a restarting daemon are still free.
func ReserveAddresses(n int) ([]netip.AddrPort, error) {
	var failure error

	for range maxReservations {
		octet := func() byte { return byte(1 + rand.IntN(254)) } //nolint:gosec // 1 to 254, not for secrets
		host := netip.AddrFrom4([4]byte{127, octet(), octet(), octet()})

		addresses := make([]netip.AddrPort, n)
		for i := range addresses {
			addresses[i] = netip.AddrPortFrom(host, uint16(firstPort+i)) //nolint:gosec // a few hundred
		}

		if failure = checkFree(addresses); failure == nil {
			return addresses, nil
		}
	}

	return nil, failure
}

// checkFree returns an error unless each address can be listened on.
func checkFree(addresses []netip.AddrPort) error {
	for _, address := range addresses {
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err != nil {
			return fmt.Errorf("reserve %s: %w", address, err)
		}

		if err := listener.Close(); err != nil {
			return fmt.Errorf("release %s: %w", address, err)
		}
	}

	return nil
}

// waitForListener waits until the address accepts connections, for at most startTimeout.
func waitForListener(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()

	var dialer net.Dialer

	for {
		connection, err := dialer.DialContext(ctx, "tcp", address.String())
		if err == nil {
			return errors.Join(connection.Close())
		}

		select {
		case <-ctx.Done():
			return fmt.Errorf("nothing listens on %s after %s", address, startTimeout)
		case <-time.After(pollInterval):
		}
	}
}
