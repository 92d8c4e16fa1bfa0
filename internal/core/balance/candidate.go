// Package balance chooses the upstream for an attempt and bounds extra attempts.
package balance

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Candidate is an upstream that could serve an attempt, with its state as the
// ingress knows it from membership.
type Candidate struct {
	Upstream string
	// Daemon is the name of the egress daemon that serves the upstream.
	Daemon string
	// EgressIncarnation is the incarnation of Daemon.
	EgressIncarnation uint64
	// SameZone reports whether the upstream is in the ingress's availability zone.
	SameZone bool
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	State fleet.UpstreamState
	// StateSince is when the upstream entered State, or zero if that is not known.
	StateSince time.Time
}

// Request holds the properties of a request on which the choice of an upstream
// depends.
type Request struct {
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// AffinityKey is the key of the rendezvous hash that chooses the upstream, if
	// it is not empty, so that repeats of a request go to the same upstream.
	AffinityKey string
	// Tried lists the upstreams of earlier attempts. They are chosen only if no other
	// candidate remains.
	Tried []string
	// Hedge limits the choice to upstreams that are not in Tried and have a free slot. A
	// hedge that queues is no faster and delays the requests behind it.
	Hedge bool
	// Refusals lists the upstreams whose egress refused an earlier attempt of the request.
	Refusals []Refusal
	// MinTrustedSlots is the minimum number of slots at upstreams that are not suspect. If
	// the service has fewer, suspect upstreams get requests as well.
	MinTrustedSlots int
	// ServiceTime is the usual service time of requests of the route at an upstream, or 0
	// if it is not known.
	ServiceTime time.Duration
	// UntilDeadline is the time until the deadline of the request.
	UntilDeadline time.Duration
	// UntilTarget is the time until the target latency of the route is exceeded. It is 0 or
	// negative if the target latency has been exceeded. An answer after that has less
	// value.
	UntilTarget time.Duration
}

// Refusal describes an upstream whose egress refused an attempt without running it.
type Refusal struct {
	Upstream string
	// WouldAccept reports whether the egress would queue the attempt if it were sent
	// without Placement.NoWait, or run it if it were sent with Placement.Forced.
	WouldAccept bool
	// Suspect reports that the attempt was refused because the upstream is probably failing
	// at present.
	Suspect bool
	// Load is the load of the upstream at the time of the refusal.
	Load fleet.Load
}
