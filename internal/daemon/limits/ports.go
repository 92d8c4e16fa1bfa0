package limits

import (
	"context"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/lease"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Kind is the kind of the store's objects that name the seats of each group.
// An object's name is the group's number in decimal, its value a peerpb.Seats.
const Kind = "Seats"

// Peers carries requests to other daemons.
type Peers interface {
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
	// Live returns the live daemons, this one included.
	Live() []lease.Member
}

// Entries is the replicated set.
type Entries interface {
	Publish(entry fleet.Entry)
	Lookup(kind fleet.EntryKind, key string) (fleet.Entry, bool)
}
