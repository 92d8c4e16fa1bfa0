package limits

import (
	"context"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// OwnersKind and OwnersName are the kind and name of the object in the store that
// lists the owners. Its value is an encoded peerpb.Owners.
const (
	OwnersKind = "Owners"
	OwnersName = "Current"
)

// Clock is a source of the current time. It must include the time in which the
// instance is suspended, because leases expire during a suspension.
type Clock interface {
	Now() time.Time
}

// PeerCaller sends requests to other daemons.
type PeerCaller interface {
	// Call sends a frame to the named daemon and returns its answer. It returns
	// false if there is no answer before ctx ends.
	Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Store reads and conditionally writes the object that lists the owners.
type Store interface {
	Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome)
	Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome
}

// Members lists the daemons of the fleet.
type Members interface {
	// Live returns the names of the live daemons that are not about to leave, including
	// this one, in any order. The caller may modify the result.
	Live() []string
}
