// Package balance chooses the upstream for an attempt and bounds extra attempts.
package balance

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Candidate is an upstream as the ingress knows it from membership.
type Candidate struct {
	Upstream string
	Daemon   string
	// EgressIncarnation is that of Daemon.
	EgressIncarnation uint64
	// SameZone says that it is in the ingress's own availability zone.
	SameZone   bool
	Slots      int
	State      fleet.UpstreamState
	StateSince time.Time
}

// Request is what matters about a request for the choice.
type Request struct {
	Idempotent bool
	// AffinityKey orders candidates by rendezvous hash, if not empty.
	AffinityKey string
	// Tried lists the upstreams of earlier attempts, which come last.
	Tried []string
	// Hedge limits the choice to other upstreams with a free slot. A hedge that
	// queues is no faster and delays the requests behind it.
	Hedge bool
	// Refusals are the refusals of earlier attempts of the request.
	Refusals []Refusal
	// MinTrustedSlots is the number of slots of a service below which suspicion leaves its
	// upstreams no less work.
	MinTrustedSlots int
	// ServiceTime is how long requests of the kind usually take at an upstream, or 0 if that
	// is not known.
	ServiceTime time.Duration
	// UntilDeadline is the time until the deadline, and TargetLeft until the time within
	// which an answer is worth most. A TargetLeft of 0 or less has passed.
	UntilDeadline time.Duration
	UntilTarget   time.Duration
}

// Refusal is an upstream whose egress refused an attempt without running it.
type Refusal struct {
	Upstream string
	// WouldAccept says that the egress would let the attempt wait or run if asked to.
	WouldAccept bool
	// Suspect says that the upstream probably fails at present.
	Suspect bool
	Load    fleet.Load
}
