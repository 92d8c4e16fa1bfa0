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

// Member is a daemon of the fleet as its member entry describes it.
type Member struct {
	Name                 string
	Incarnation          uint64
	AvailabilityZone     string
	Region               string
	PeerAddress          netip.AddrPort
	OperatorAddress      netip.AddrPort
	Upstreams            []fleet.Upstream
	ConfigurationVersion uint64
	// Status is this daemon's view of the member and not part of the entry.
	Status gossip.Status
	// Leaving says that the member is about to leave the fleet.
	Leaving bool
	// UnusableUpstreams is the number of upstreams in the entry that were left out, since
	// their names or numbers are out of range.
	UnusableUpstreams int
}

// DecodeMemberInfo decodes the fields of a member entry's value that gossip needs. It
// skips the upstreams, which are most of the value. Malformed input ends the decoding
// early.
func DecodeMemberInfo(value []byte) (d gossip.MemberInfo) {
	const zoneField, leavingField, storeAwayField = 3, 7, 10 // Member.AvailabilityZone, Leaving, StoreAway
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
		case number == storeAwayField && kind == protowire.VarintType:
			bit, _ := protowire.ConsumeVarint(value)
			d.StoreUnavailable = bit != 0
		}
		value = value[size:]
	}

	return d
}

// DecodeMember decodes a member entry. The Status of the result is Alive. It reports
// false if the value is malformed; addresses that cannot be parsed are left zero, and
// upstreams that cannot be used are left out.
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
		if !usable(u) {
			member.UnusableUpstreams++

			continue
		}
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

// usable reports whether an upstream that another daemon announces can be listed.
func usable(u *peerpb.Upstream) bool {
	return fleet.ValidName(u.GetName()) && fleet.ValidName(u.GetService()) &&
		u.GetSlots() <= fleet.MaxSlots && u.GetState() <= uint32(fleet.Draining)
}
