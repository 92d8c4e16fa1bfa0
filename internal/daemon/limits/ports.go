package limits

import (
	"context"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Kind and Name are those of the store's object that names the owners. Its value
// is a peerpb.Owners.
const (
	OwnersKind = "Owners"
	OwnersName = "Current"
)

// Clock tells the time. It must count the time in which the instance is
// suspended, since what was lent runs out meanwhile.
type Clock interface {
	Now() time.Time
}

// PeerCaller carries requests to other daemons.
type PeerCaller interface {
	// Call returns the answer of the named daemon, or false if none came.
	Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Store reads and conditionally replaces objects of Kind.
type Store interface {
	Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome)
	Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome
}

// Members tells which daemons are alive.
type Members interface {
	// Live returns the names of the live daemons that are not about to leave, this
	// one included.
	Live() []string
}
