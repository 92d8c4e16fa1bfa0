package fleet

import "time"

// Departure is what an upstream said about its end. Announcements from before it do not bring
// the upstream back.
type Departure struct {
	// Name and Incarnation identify the run of the upstream. If it did not say which run it
	// is, Incarnation is the time at which it was heard, in milliseconds of Unix time: a
	// later run begins after it.
	Name        string
	Incarnation uint64
	// Gone says that the run has left. Otherwise it drains since the announcement with the
	// number Sequence.
	Gone     bool
	Sequence uint64
	// At is when the daemon beside the upstream heard of it, by the daemon's clock.
	At time.Time
}

// DepartureRetention is how long a departure is remembered. It is longer than an announcement
// can be delayed.
const DepartureRetention = time.Minute

// Expired reports whether a departure need not be remembered at now.
func (d Departure) Expired(now time.Time) bool { return now.Sub(d.At) >= DepartureRetention }

// Supersedes reports whether d says more than an earlier departure of the same name, or renews
// it: an upstream may drain for longer than DepartureRetention.
func (d Departure) Supersedes(earlier Departure) bool {
	switch {
	case d.Incarnation != earlier.Incarnation:
		return d.Incarnation > earlier.Incarnation
	case d.Gone != earlier.Gone:
		return d.Gone
	}

	return d.At.Sub(earlier.At) >= DepartureRetention/2
}

// Outdates reports whether an announcement was made before the departure, or cannot be told
// from one that was.
func (d Departure) Outdates(announcement Upstream) bool {
	switch {
	case announcement.Incarnation != d.Incarnation:
		return announcement.Incarnation < d.Incarnation
	case d.Gone:
		return true
	}

	return announcement.Sequence < d.Sequence
}
