package lease

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Plan returns the object that should replace current, or nil if current is
// good. Members are those alive. Seats whose daemon is alive at its address
// stay; a restart in place needs no replacement. The number of seats is odd,
// since an even number tolerates no more failures than one seat fewer.
func Plan(group int, current *peerpb.Seats, members []Member) *peerpb.Seats {
	count := min(MaxSeats, len(members))
	if count%2 == 0 {
		count--
	}
	if count < 1 {
		return nil
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(group, b.Name), weight(group, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	next := &peerpb.Seats{Group: uint32(group), Epoch: current.GetEpoch() + 1, Previous: current.GetSeats()} //nolint:gosec // groups are small and not negative
	alive := 0
	for _, s := range current.GetSeats() {
		if i := slices.IndexFunc(ranked, func(m Member) bool { return sits(m, s) }); i >= 0 {
			alive++
			next.Seats = append(next.Seats, seat(ranked[i]))
		}
	}
	next.Seats = next.Seats[:min(count, len(next.Seats))]
	if current != nil && alive == len(current.GetSeats()) && alive >= count {
		return nil
	}
	fill(next, ranked, count, true)
	fill(next, ranked, count, false)
	next.Forced = current != nil && alive < Majority(len(current.GetSeats()))

	return next
}

// fill adds members up to count seats, with spread only from availability
// zones that have none.
func fill(next *peerpb.Seats, ranked []Member, count int, spread bool) {
	for _, m := range ranked {
		if len(next.Seats) == count {
			return
		}
		if find(next.Seats, m.Name) == nil && (!spread || !hasZone(next.Seats, m.AvailabilityZone)) {
			next.Seats = append(next.Seats, seat(m))
		}
	}
}

func sits(m Member, s *peerpb.Seat) bool {
	return m.Name == s.GetName() && m.PeerAddress.String() == s.GetPeerAddress()
}

func weight(group int, name string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(group) + "/" + name)
}

func hasZone(seats []*peerpb.Seat, zone string) bool {
	return slices.ContainsFunc(seats, func(s *peerpb.Seat) bool { return s.GetAvailabilityZone() == zone })
}

func seat(m Member) *peerpb.Seat {
	return &peerpb.Seat{Name: m.Name, PeerAddress: m.PeerAddress.String(), AvailabilityZone: m.AvailabilityZone, Incarnation: m.Incarnation}
}
