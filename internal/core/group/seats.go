package group

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/lease"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// readRetry is the time between reads of a daemon that lacks what the
	// store's object tells, such as a seat that may not vote.
	readRetry = time.Second
	// findInterval is the time between reads of a daemon without a seat that
	// finds no granter.
	findInterval = 10 * time.Second
	// replaceAfter gives a failed daemon time to restart in place.
	replaceAfter = 10 * time.Second
	// createAlone lets a daemon find the others before it creates an object that
	// names it alone: a lost majority of one seat stops the group for lease.Grace.
	createAlone = 3 * time.Second
	// growAfter leads from few seats to more, for the same reason.
	growAfter = time.Second
	// takeOverAfter leaves replacement to the granter while there is one.
	takeOverAfter = 30 * time.Second
	// forceAfter delays a forced repair, which stops the group for lease.Grace
	// if the old seats turn out to be alive but unable to acknowledge.
	forceAfter = 2 * time.Minute
)

// replicated is the least number of seats that tolerates a failure.
const replicated = 3

// ReadDue reports whether to read the seats object now, and counts as a read
// that was started.
func (g *Group) ReadDue(now time.Time) bool {
	if now.Before(g.nextRead) {
		return false
	}
	seated, active := g.Seated(now)
	switch {
	case g.Seats() == nil || seated && !active:
		g.nextRead = now.Add(readRetry)
	case !seated && !g.searching:
		return false
	default:
		g.nextRead = now.Add(findInterval)
	}

	return true
}

// Read takes over the object that a read sent at sent has found; seats is nil
// if the store has none. A read that failed is not reported.
func (g *Group) Read(now, sent time.Time, seats *peerpb.Seats) {
	g.missing = seats == nil
	if seats != nil {
		g.voter.Read(now, sent, seats)
		g.candidate.Observe(g.voter.Seats())
	}
	if seated, active := g.Seated(now); seated && active {
		g.nextRead = now.Add(lease.ReadInterval)
	}
}

// Concerned reports whether Propose can have a result. Daemons without a seat
// and without need for tokens leave the group to others.
func (g *Group) Concerned() bool {
	if g.Seats() == nil {
		return g.missing
	}

	return g.voter.Seated() || g.searching
}

// Propose returns the object to put into the store in place of the known one,
// or nil. Members are the live daemons, this one included.
func (g *Group) Propose(now time.Time, members []lease.Member) *peerpb.Seats {
	seats := g.Seats()
	elected := g.candidate.Elected(now)
	if !g.Concerned() {
		g.misplaced = time.Time{}

		return nil
	}
	if elected && (len(seats.GetPrevious()) > 0 || seats.GetForced()) {
		return &peerpb.Seats{Group: seats.GetGroup(), Epoch: seats.GetEpoch(), Seats: seats.GetSeats()}
	}
	next := lease.Plan(g.number, seats, members)
	if next == nil {
		g.misplaced = time.Time{}

		return nil
	}
	if seats == nil {
		if len(members) < replicated && now.Sub(g.started) < createAlone {
			return nil
		}

		return next
	}
	if g.misplaced.IsZero() {
		g.misplaced = now
	}
	if g.Held(now) && !elected || now.Sub(g.misplaced) < patience(seats, next, elected) {
		return nil
	}

	return next
}

// patience returns how long the seats must have been out of place before next
// replaces them.
func patience(seats, next *peerpb.Seats, elected bool) time.Duration {
	switch {
	case next.GetForced():
		return forceAfter
	case !elected:
		return takeOverAfter
	case len(next.GetSeats()) > len(seats.GetSeats()):
		return growAfter
	}

	return replaceAfter
}
