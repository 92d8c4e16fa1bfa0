package membership

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// peerAddress decodes the peer address in a member entry's value. It reports false if
// the value or the address is malformed.
func peerAddress(value []byte) (netip.AddrPort, bool) {
	m := &peerpb.Member{}
	if proto.Unmarshal(value, m) != nil {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(m.PeerAddress)

	return address, err == nil
}

func fromUpstreams(upstreams []fleet.Upstream) []*peerpb.Upstream {
	out := make([]*peerpb.Upstream, len(upstreams))
	for i, u := range upstreams {
		out[i] = &peerpb.Upstream{
			Name: u.Name, Service: u.Service,
			Slots: uint32(max(u.Slots, 0)), //nolint:gosec // far below 2^32
			State: uint32(u.State),         //nolint:gosec // at most Draining
		}
		if !u.StateSince.IsZero() {
			out[i].StateSinceUnixNanoseconds = u.StateSince.UnixNano()
		}
	}

	return out
}
