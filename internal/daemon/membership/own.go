package membership

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// peerAddress reads the address of a member entry's value.
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
			Slots: uint32(max(u.Slots, 0)), //nolint:gosec // slots are few
			State: uint32(u.State),         //nolint:gosec // states are small
		}
		if !u.StateSince.IsZero() {
			out[i].StateSinceUnixNanoseconds = u.StateSince.UnixNano()
		}
	}

	return out
}
