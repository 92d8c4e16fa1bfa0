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

// StoreOutcome is the result of a call of the store.
type StoreOutcome int

// Outcomes of calls of the store.
const (
	// OK means that the call took effect.
	OK StoreOutcome = iota
	// NotFound means that there is no such object.
	NotFound
	// Conflict means that the condition of a put did not hold.
	Conflict
	// Unavailable means that the call did not take effect.
	Unavailable
	// Ambiguous means that a put may have taken effect.
	Ambiguous
)

// Store reads and conditionally replaces objects of Kind.
type Store interface {
	// Get returns the value and the version of the object with a name.
	Get(ctx context.Context, kind, name string) (value []byte, version uint64, outcome StoreOutcome)
	// Put replaces the object of the given version, or creates it if the
	// version is 0.
	Put(ctx context.Context, kind, name string, value []byte, version uint64) StoreOutcome
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
