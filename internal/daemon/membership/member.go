package membership

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Member is one daemon as this daemon sees it.
type Member struct {
	Name                 string
	Incarnation          uint64
	AvailabilityZone     string
	Region               string
	PeerAddress          netip.AddrPort
	OperatorAddress      netip.AddrPort
	Upstreams            []fleet.Upstream
	ConfigurationVersion uint64
	Status               gossip.Status
	Leaving              bool
}

// DecodeMemberInfo reads what gossip needs from the value of a member entry, without
// decoding its upstreams.
func DecodeMemberInfo(value []byte) (d gossip.MemberInfo) {
	const zoneField, leavingField, awayField = 3, 7, 10 // Member.AvailabilityZone, Leaving, StoreAway
	for len(value) > 0 {
		number, kind, n := protowire.ConsumeTag(value)
		if n < 0 {
			break
		}
		value = value[n:]
		size := protowire.ConsumeFieldValue(number, kind, value)
		if size < 0 {
			break
		}
		switch {
		case number == zoneField && kind == protowire.BytesType:
			zone, _ := protowire.ConsumeBytes(value)
			d.AvailabilityZone = string(zone)
		case number == leavingField && kind == protowire.VarintType:
			bit, _ := protowire.ConsumeVarint(value)
			d.Leaving = bit != 0
		case number == awayField && kind == protowire.VarintType:
			bit, _ := protowire.ConsumeVarint(value)
			d.StoreUnavailable = bit != 0
		}
		value = value[size:]
	}

	return d
}

// DecodeMember reads the value of a member entry. The status is Alive.
func DecodeMember(e fleet.Entry) (Member, bool) {
	m := &peerpb.Member{}
	if proto.Unmarshal(e.Value, m) != nil {
		return Member{}, false
	}
	member := Member{
		Name: e.Key, Incarnation: e.Incarnation, AvailabilityZone: m.AvailabilityZone, Region: m.Region,
		Leaving: m.Leaving, ConfigurationVersion: m.ConfigurationVersion,
	}
	member.PeerAddress, _ = netip.ParseAddrPort(m.PeerAddress)
	member.OperatorAddress, _ = netip.ParseAddrPort(m.OperatorAddress)
	for _, u := range m.Upstreams {
		upstream := fleet.Upstream{
			Name: u.Name, Service: u.Service, Slots: int(u.Slots), State: fleet.UpstreamState(u.State),
		}
		if u.StateSinceUnixNanoseconds != 0 {
			upstream.StateSince = time.Unix(0, u.StateSinceUnixNanoseconds)
		}
		member.Upstreams = append(member.Upstreams, upstream)
	}

	return member, true
}
