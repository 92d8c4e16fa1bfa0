package operator

import (
	"net/netip"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// HeaderOperator is the request header that names who acts.
const HeaderOperator = "Operator"

// Status is a daemon's view of the fleet, as JSON from GET /Status.
type Status struct {
	// Daemon is the name of the daemon that answered.
	Daemon               string
	ConfigurationVersion uint64
	Store                Store
	Daemons              []Daemon
	Services             []Service
	// ClientAccounts are those whose spend the daemon knows.
	ClientAccounts []ClientAccount
}

// Store is the health of the platform's store as the daemon sees it.
type Store struct {
	Reachable bool
	// LastContact is when the store last answered this daemon.
	LastContact time.Time `json:",omitzero"`
	// AuditPending and AuditDropped count audit records that are not written
	// yet, and those that never will be.
	AuditPending int
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
	// StoreContact is when the store last answered the daemon, if known.
	StoreContact time.Time `json:",omitzero"`
}

// Service is one service with its announced upstreams.
type Service struct {
	Name string
	// Floor is the least healthy capacity, in slots.
	Floor     int
	Slots     int
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
	// Alive says that the owning daemon is not known to have failed.
	Alive bool
	// Suspicion is the probability that it fails at present, and Suspect says that
	// it is spared for that.
	Suspicion float64
	Suspect   bool
	Slots     int
	InFlight  int
	Queued    int
	// HeardAt is when the daemon that answers learned of Suspicion, Suspect,
	// InFlight and Queued. It is the zero time if it never did. The owning daemon
	// knows them at all times; others learn of them from answers.
	HeardAt time.Time `json:",omitzero"`
}

// SumSlots sets Slots and Healthy to the sums over Upstreams.
func (s *Service) SumSlots() {
	s.Slots, s.Healthy = 0, 0

	for _, upstream := range s.Upstreams {
		s.Slots += upstream.Slots
		if upstream.Alive && upstream.State == fleet.Ready.String() && !upstream.Suspect {
			s.Healthy += upstream.Slots
		}
	}
}

// ClientAccount is the spend of one client account.
type ClientAccount struct {
	Name string
	// Rate is in requests per second.
	Rate  float64
	Burst int
	// Spent is the mean of the last ten seconds, in requests per second.
	Spent float64
	// Rejected counts requests over the limit since the daemon started.
	Rejected uint64
}

// Confirmation answers an operator's action, as JSON.
type Confirmation struct {
	// Daemon is the name of the daemon that accepted or refused the action.
	Daemon string
	// Detail says why an action was refused.
	Detail string
}
