// Package fleet holds the value types that the other packages share.
package fleet

import (
	"net/netip"
	"time"
)

// UpstreamState is what an upstream announces about itself.
type UpstreamState int

// States of an upstream.
const (
	// Warming marks an upstream in its cold start.
	Warming UpstreamState = iota
	// Ready marks an upstream that takes its full share.
	Ready
	// Shedding marks an upstream that refuses part of its work.
	Shedding
	// Draining marks an upstream that takes no new work.
	Draining
)

// String returns the state's name as it stands in announcements.
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

// ParseUpstreamState returns the state with the given name.
func ParseUpstreamState(name string) (UpstreamState, bool) {
	for s := Warming; s <= Draining; s++ {
		if s.String() == name {
			return s, true
		}
	}

	return 0, false
}

// Upstream is one instance of a service behind a daemon.
type Upstream struct {
	// Name is unique in the fleet.
	Name    string
	Service string
	// Address is where the upstream's own daemon calls it.
	Address netip.AddrPort
	// Slots is the number of requests it runs at once.
	Slots int
	State UpstreamState
	// StateSince is when the owning daemon saw the state begin, by its clock.
	StateSince time.Time
	// Incarnation is when the upstream started, in milliseconds of Unix time by
	// its own clock, or 0 if it does not say. It orders the runs of an upstream.
	Incarnation uint64
	// Sequence rises with each announcement of one run, or is 0.
	Sequence uint64
}

// Load is the egress's view of an upstream, carried on every answer.
type Load struct {
	InFlight int
	Queued   int
	Slots    int
	State    UpstreamState
	// Suspicion is the probability that the upstream fails at present, 0 to 1.
	Suspicion float64
	// Suspect says that it is spared for that.
	Suspect bool
	// ExpectedWait is the expected wait for a slot.
	ExpectedWait time.Duration
	// ServiceTime is the usual time to an answer, or 0 if it is not known.
	ServiceTime time.Duration
}

// AnnounceResult is the daemon's decision about an upstream's announcement.
type AnnounceResult int

// Results of an announcement.
const (
	// Announced means that the upstream is known until it is silent for 3 s.
	Announced AnnounceResult = iota
	// NameTaken means that the name is announced with another service or
	// address.
	NameTaken
	// TooManyUpstreams means that the daemon serves its maximum number of upstreams.
	TooManyUpstreams
	// Outdated means that a later announcement is known, which stays in force.
	Outdated
)
