package health

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// EjectionTTL is how long a published ejection is valid without renewal.
	EjectionTTL = 10 * time.Second
	// RenewInterval leaves three renewals to be lost within the TTL.
	RenewInterval = 2500 * time.Millisecond
	// spreadAllowance is the time an entry may take to reach every daemon. An
	// ejection counts against the floor for this long beyond its TTL.
	spreadAllowance = 2 * time.Second
	// MaxBackoff bounds the duration of one ejection.
	MaxBackoff = 5 * time.Minute
	// MaxLevel bounds the remembered ejections: from level 6 on the backoff is
	// MaxBackoff, and a few more delay forgetting.
	MaxLevel = 8
	// minBackoff doubles with each remembered ejection up to MaxBackoff.
	minBackoff = 5 * time.Second
	// memoryStep is the time in service after which one ejection is forgotten.
	memoryStep = 5 * time.Minute
	// probationRequests and minProbation have to pass without suspicion before
	// an upstream gets its full share again; an idle one waits maxProbation.
	probationRequests = 30
	minProbation      = 5 * time.Second
	maxProbation      = 30 * time.Second
	// probationThreshold is the part of the detection threshold that ejects
	// during probation, when a fault is more likely than before.
	probationThreshold = 0.5
)

// State is the decision about an upstream.
type State int

// Decisions about an upstream.
const (
	// None leaves the upstream in service.
	None State = iota
	// Ejected upstreams get no requests.
	Ejected
	// Probation upstreams get idempotent requests only, at a tenth of the
	// normal share.
	Probation
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case None:
		return "None"
	case Ejected:
		return "Ejected"
	case Probation:
		return "Probation"
	}

	return "Invalid"
}

// Reasons for an ejection.
const (
	ReasonFailures    = "Failures"
	ReasonLatency     = "Latency"
	ReasonUnreachable = "Unreachable"
)

// Ejection is the published decision about one upstream.
type Ejection struct {
	Service  string
	Upstream string
	State    State
	Reason   string
	// Arbiter is the daemon that decided.
	Arbiter string
	// Level counts the ejections that are still remembered.
	Level int
	// Until is the end of the backoff, by the local clock.
	Until time.Time
}

// Decision is an ejection to publish.
type Decision struct {
	Ejection
	// Changed is false for a renewal.
	Changed bool
	// Action names the change in the audit trail: Eject, Probation,
	// Reinstate or Lift.
	Action string
	// Score is the evidence in nats.
	Score float64
}

// Actions in the audit trail.
const (
	ActionEject     = "Eject"
	ActionProbation = "Probation"
	ActionReinstate = "Reinstate"
	// ActionLift ends an ejection for the sake of the floor.
	ActionLift = "Lift"
)

// Upstream is an announced upstream as the arbiter sees it.
type Upstream struct {
	Name  string
	Slots int
	State fleet.UpstreamState
	// Daemon owns the upstream; Alive says that it is a live member.
	Daemon           string
	Alive            bool
	AvailabilityZone string
}

func (u Upstream) serving() bool {
	return u.Alive && u.State == fleet.Ready
}

// RequiredSlots returns the slots that have to stay healthy.
func RequiredSlots(floor fleet.Floor, upstreams []Upstream) int {
	if floor.Percent == 0 {
		return floor.Slots
	}
	announced := 0
	for _, u := range upstreams {
		announced += u.Slots
	}

	return (announced*floor.Percent + 99) / 100
}

// HealthySlots returns the slots of the upstreams that are Ready, whose daemon
// is alive and that are not ejected.
func HealthySlots(upstreams []Upstream, ejected func(upstream string) bool) int {
	slots := 0
	for _, u := range upstreams {
		if u.serving() && !ejected(u.Name) {
			slots += u.Slots
		}
	}

	return slots
}
