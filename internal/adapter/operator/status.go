package operator

import (
	"net/netip"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// HeaderOperator is the request header with the name of the operator who acts.
const HeaderOperator = "Operator"

// Status is a daemon's view of the fleet, the JSON response to GET /Status.
type Status struct {
	// Daemon is the name of the daemon that answered.
	Daemon               string
	ConfigurationVersion uint64
	Store                Store
	Daemons              []Daemon
	Services             []Service
	// ClientAccounts are the client accounts whose request rate the daemon knows.
	ClientAccounts []ClientAccount
}

// Store is the state of the platform's store as observed by the daemon.
type Store struct {
	Reachable bool
	// LastContact is when the store last answered this daemon, or the zero time if that
	// is not known.
	LastContact time.Time `json:",omitzero"`
	// AuditPending is the number of audit records that are not written yet.
	AuditPending int
	// AuditDropped is the number of audit records that were discarded unwritten.
	AuditDropped uint64
}

// Daemon is one member of the fleet.
type Daemon struct {
	Name                 string
	AvailabilityZone     string
	Region               string
	OperatorAddress      netip.AddrPort
	ConfigurationVersion uint64
	WithdrawnKeys        uint64
	Leaving              bool
	// StoreContact is when the store last answered the daemon, or the zero time if that
	// is not known.
	StoreContact time.Time `json:",omitzero"`
}

// Service is one service with its announced upstreams.
type Service struct {
	Name string
	// Floor is the minimum of healthy capacity, in slots.
	Floor int
	// Slots is the sum of slots over Upstreams.
	Slots int
	// Healthy is the sum of slots over the healthy upstreams; see SumSlots.
	Healthy   int
	Upstreams []Upstream
}

// Upstream is one announced upstream.
type Upstream struct {
	Name string
	// Daemon is the name of the owning daemon.
	Daemon string
	// State is the name of a fleet.UpstreamState.
	State string
	// Alive is false if the owning daemon is known to have failed.
	Alive bool
	// Suspicion is the estimated probability, 0 to 1, that the upstream currently fails.
	Suspicion float64
	// Suspect is true if requests avoid the upstream because of Suspicion.
	Suspect bool
	// Slots is the number of requests that the upstream accepts at the same time.
	Slots int
	// InFlight is the number of running requests, and Queued that of waiting ones.
	InFlight int
	Queued   int
	// HeardAt is when the reporting daemon received Suspicion, Suspect, InFlight and
	// Queued, or the zero time if it has not. The owning daemon always has current
	// values; other daemons receive them with answers.
	HeardAt time.Time `json:",omitzero"`
}

// SumSlots sets Slots to the sum over Upstreams, and Healthy to the sum over those
// upstreams that are alive, ready and not suspect.
func (s *Service) SumSlots() {
	s.Slots, s.Healthy = 0, 0

	for _, upstream := range s.Upstreams {
		s.Slots += upstream.Slots
		if upstream.Alive && upstream.State == fleet.Ready.String() && !upstream.Suspect {
			s.Healthy += upstream.Slots
		}
	}
}

// ClientAccount is the limit and the use of one client account.
type ClientAccount struct {
	Name string
	// Rate is the limit, in requests per second; 0 is no limit.
	Rate float64
	// Burst is the number of requests that may come at once.
	Burst int
	// Spent is the mean rate of the last ten seconds, in requests per second.
	Spent float64
	// Rejected is the number of requests over the limit since the daemon started.
	Rejected uint64
}

// Confirmation is the JSON response to an operator's action.
type Confirmation struct {
	// Daemon is the name of the daemon that accepted or refused the action.
	Daemon string
	// Detail is the reason why the action was refused, or empty.
	Detail string
}
