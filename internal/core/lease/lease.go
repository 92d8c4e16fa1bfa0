// Package lease elects one holder per group by promises of a majority of
// seats. It follows the leases of Gray and Cheriton (1989) with majority
// voting as in Paxos (Lamport, 1998); expiry relies on bounded clock rates and
// not on synchronized clocks.
//
// Voter is the state of a seat and Candidate the state of a would-be holder.
// Both are pure: callers pass messages and the current time, under one lock.
package lease

import (
	"net/netip"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// Duration is how long a candidate counts a promise from the moment it sent
	// the request.
	Duration = 3 * time.Second
	// RenewInterval leaves two retries before a lease of Duration expires.
	RenewInterval = time.Second
	// Grace is how long a seat votes without a successful read of the store's
	// object.
	Grace = 6 * time.Hour
	// ReadInterval is the time between a seat's reads of the store's object.
	ReadInterval = 10 * time.Minute
	// MaxSeats tolerates two failed instances.
	MaxSeats = 5
	// roundTimeout is how long a candidate collects promises before it gives
	// them back, a few times the round trip between availability zones.
	roundTimeout = 250 * time.Millisecond
)

// Margin lengthens a duration that must not end before the same duration
// counted by another clock. Clocks that are 5% fast and 5% slow differ by a
// factor of 1.05 / 0.95 = 1.106, which a margin of 10% does not cover.
func Margin(d time.Duration) time.Duration { return d + d*12/100 }

// Shorten is the inverse of Margin, rounded down.
func Shorten(d time.Duration) time.Duration { return d * 100 / 112 }

// Daemon is one run of a daemon.
type Daemon struct {
	Name        string
	Incarnation uint64
}

// Member is a live daemon that can take a seat.
type Member struct {
	Name             string
	AvailabilityZone string
	PeerAddress      netip.AddrPort
	Incarnation      uint64
}

// Query is a message from a voter to the seat named To.
type Query struct {
	To      string
	Message *peerpb.SeatEpoch
}

// Ballot is a message from a candidate to the seat named To.
type Ballot struct {
	To      string
	Message *peerpb.PromiseRequest
}

// Majority returns how many of n seats form a majority.
func Majority(n int) int { return n/2 + 1 }

func find(seats []*peerpb.Seat, name string) *peerpb.Seat {
	for _, s := range seats {
		if s.GetName() == name {
			return s
		}
	}

	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
