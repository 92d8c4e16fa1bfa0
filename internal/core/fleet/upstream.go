// Package fleet defines the value types that the other packages share: client
// accounts, requests and attempts, the configuration, entries of the replicated
// set, objects of the store, and upstreams.
package fleet

import (
	"net/netip"
	"time"
)

// UpstreamState is the state that an upstream announces about itself.
type UpstreamState int

// States of an upstream.
const (
	// Warming marks an upstream that is still slow after its start.
	Warming UpstreamState = iota
	// Ready marks an upstream that takes its full share of requests.
	Ready
	// Shedding marks an upstream that refuses part of its requests.
	Shedding
	// Draining marks an upstream that takes no new requests.
	Draining
)

// String returns the state's name as written in announcements.
func (s UpstreamState) String() string {
	switch s {
	case Warming:
		return "Warming"
	case Ready:
		return "Ready"
	case Shedding:
		return "Shedding"
	case Draining:
		return "Draining"
	}

	return "Invalid"
}

// ParseUpstreamState returns the state with the given name. It reports false if no
// state has the name.
func ParseUpstreamState(name string) (UpstreamState, bool) {
	for s := Warming; s <= Draining; s++ {
		if s.String() == name {
			return s, true
		}
	}

	return 0, false
}

// Upstream is one instance of a service. It belongs to the daemon that it announces
// itself to.
type Upstream struct {
	// Name is unique in the fleet.
	Name    string
	Service string
	// Address is where the owning daemon calls the upstream.
	Address netip.AddrPort
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	State UpstreamState
	// StateSince is when the owning daemon first observed the upstream in State, by the
	// daemon's clock.
	StateSince time.Time
	// Incarnation is when the upstream process started, in milliseconds of Unix time
	// by the upstream's clock. It orders the restarts of an upstream. It is 0 if the
	// upstream does not announce it.
	Incarnation uint64
	// Sequence increases with each announcement of one incarnation. It is 0 if the
	// upstream does not announce it.
	Sequence uint64
}

// UpstreamSignals are what an upstream says about itself in an answer.
type UpstreamSignals struct {
	// HasLimit says that the answer names a limit.
	HasLimit bool
	// Limit is the number of requests a second that the upstream takes from all daemons
	// together, for as long as its answers name one. It is NaN or negative if the answer
	// names no usable number.
	Limit float64
	// Leaving says that the upstream is about to stop and takes no new requests.
	Leaving bool
}

// Load is the egress's view of an upstream. Every answer carries it to the ingress.
type Load struct {
	// InFlight is the number of running attempts.
	InFlight int
	// Queued is the number of attempts that wait for a slot.
	Queued int
	Slots  int
	State  UpstreamState
	// Suspicion is the probability that the upstream is failing, 0 to 1.
	Suspicion float64
	// Suspect says that the upstream is avoided because of Suspicion.
	Suspect bool
	// ExpectedWait is the expected wait for a slot, or until the limit that the upstream
	// names allows the request.
	ExpectedWait time.Duration
	// ServiceTime is the usual time from the start of a request to its answer, or 0 if it
	// is not known.
	ServiceTime time.Duration
}

// AnnounceResult is the daemon's decision about an upstream's announcement.
type AnnounceResult int

// Results of an announcement.
const (
	// Announced means that the announcement was accepted. The daemon removes the
	// upstream when no further announcement has arrived for 3 s.
	Announced AnnounceResult = iota
	// NameTaken means that another upstream has announced the name with a different
	// service or address.
	NameTaken
	// TooManyUpstreams means that the daemon already serves its maximum number of
	// upstreams.
	TooManyUpstreams
	// Outdated means that the daemon has received a later announcement, which stays
	// in force.
	Outdated
	// Unconfirmed means that the daemon cannot tell yet whether the announcement is from
	// before a departure that an earlier run of the daemon heard of. The upstream is not
	// used until a later announcement.
	Unconfirmed
	// Unrecorded means that the announcement is in force, but would be forgotten if the
	// daemon started again. It must not be acknowledged.
	Unrecorded
)
