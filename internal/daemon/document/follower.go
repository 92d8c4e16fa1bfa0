// Package document keeps a daemon up to date with a configuration that an operator
// writes as a single object of the store. Each daemon watches the object itself. A few
// daemons in each availability zone, the relays, renew their watch often and so notice
// first if watches have died. Daemons that the store does not serve get the object from
// others.
package document

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/broadcast"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/workers"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// originStore is the origin of values that the store delivered.
const originStore = "store"

// Store reads and watches the objects of the platform's store.
type Store interface {
	// Page returns a page of the objects of a kind whose names follow after. If stale
	// is true, the answer may come from a replica and be seconds old.
	Page(ctx context.Context, kind, after string, stale bool) (fleet.ObjectPage, fleet.StoreOutcome)
	// Events returns the changes of a kind after a revision. It waits for one for up to
	// wait.
	Events(ctx context.Context, kind string, after uint64, wait time.Duration) (fleet.ObjectEvents, fleet.StoreOutcome)
}

// ReplicatedEntries is the set of entries that is replicated to all daemons by gossip.
type ReplicatedEntries interface {
	// Publish merges an entry into the set.
	Publish(entry fleet.Entry)
	// Range calls visit for each entry of a kind.
	Range(kind fleet.EntryKind, visit func(fleet.Entry))
	// Subscribe returns a channel that receives a value after entries of the kind
	// changed, and a function that ends the subscription.
	Subscribe(kind fleet.EntryKind) (<-chan struct{}, func())
}

// PeerCaller sends requests to other daemons, which are identified by name.
type PeerCaller interface {
	// Call sends a frame and returns the answer, or false if none was received.
	Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Members lists live daemons and assigns the role of relay.
type Members interface {
	// PeersOwnZoneFirst returns up to count other live daemons, chosen at random.
	// Daemons of this daemon's availability zone come first, and at least one of another
	// zone last.
	PeersOwnZoneFirst(count int) []string
	// IsRelay reports whether this daemon renews its watch often on behalf of its
	// availability zone.
	IsRelay() bool
	// LastPeerContact returns when another daemon last answered, or the zero time.
	LastPeerContact() time.Time
	// SetStoreUnavailable tells the other daemons whether the store fails to answer this
	// daemon.
	SetStoreUnavailable(unavailable bool)
}

// Source locates the object that holds the configuration and decodes it.
type Source struct {
	// Kind and Name identify the object.
	Kind string
	Name string
	// Decode reads the object's value. It returns an error if the value is not a usable
	// configuration.
	Decode func(value []byte) (*fleet.Configuration, error)
}

// Dependencies are the components that a follower uses.
type Dependencies struct {
	Source Source
	// MaxDelay is the time within which a change in the store must be installed.
	MaxDelay time.Duration
	Store    Store
	Entries  ReplicatedEntries
	Peers    PeerCaller
	Members  Members
	Random   *rand.Rand
	Log      *slog.Logger
}

// installedValue is an installed version with the value that it was decoded from.
type installedValue struct {
	configuration *fleet.Configuration
	value         []byte
	// hash is the SHA-256 hash of value in hex.
	hash string
}

// Follower holds the installed configuration and keeps it up to date. The version of
// the installed configuration only rises. It is safe for concurrent use.
type Follower struct {
	Dependencies
	// current is the installed value, nil before the first installation.
	current atomic.Pointer[installedValue]
	// storeContact is when the store last answered, nil before its first answer.
	storeContact atomic.Pointer[time.Time]
	// readFrom is when the last call began that the store has answered, nil before its
	// first answer.
	readFrom atomic.Pointer[time.Time]
	// storeUnavailable says that the store did not answer the last read.
	storeUnavailable atomic.Bool
	// behindSince is when this daemon learned of a head newer than the installed version,
	// nil while it knows of none.
	behindSince atomic.Pointer[time.Time]
	// missedSince is when this daemon first learned of a version that its present watch has
	// not delivered, nil if there is none.
	missedSince atomic.Pointer[time.Time]

	// Subscribers are notified after each installation.
	broadcast.Subscribers
	// mu serializes installations and guards rejectedHash.
	mu sync.Mutex
	// rejectedHash is the hash of the last value that could not be decoded. It avoids
	// logging the same value again.
	rejectedHash string
}

// New starts a follower. It also returns a function that stops the follower and waits
// for its goroutines.
func New(dependencies Dependencies) (*Follower, func()) {
	f := &Follower{Dependencies: dependencies}

	return f, workers.StartLoops(f.Random, f.watchLoop, f.catchUpLoop)
}

// Current returns the installed configuration, or nil if there is none yet.
func (f *Follower) Current() *fleet.Configuration {
	if current := f.current.Load(); current != nil {
		return current.configuration
	}

	return nil
}

// LastStoreContact returns when the store last answered, or the zero time.
func (f *Follower) LastStoreContact() time.Time {
	if at := f.storeContact.Load(); at != nil {
		return *at
	}

	return time.Time{}
}

// LastConfigurationRead returns when the last call began that the store has answered, or
// the zero time.
func (f *Follower) LastConfigurationRead() time.Time {
	if at := f.readFrom.Load(); at != nil {
		return *at
	}

	return time.Time{}
}

// LastKeyRead returns when keys were last read from the store, or the zero time. Keys
// are part of the configuration, so this is the last contact with the store.
func (f *Follower) LastKeyRead() time.Time { return f.LastStoreContact() }

// installedVersion returns the version of the installed configuration, or 0.
func (f *Follower) installedVersion() uint64 {
	if current := f.Current(); current != nil {
		return current.Version
	}

	return 0
}

// age returns the time since at, or 0 if at is nil.
func age(at *time.Time) time.Duration {
	if at == nil {
		return 0
	}

	return time.Since(*at)
}

// installObject installs the value of an object if it is the configuration's object. The
// parameter origin is logged.
func (f *Follower) installObject(object fleet.Object, origin string) {
	if object.Name == f.Source.Name {
		f.install(object.Value, origin)
	}
}

// install decodes a value and installs it if its version is higher than the installed
// one. The parameter origin is logged: "store" or the name of the daemon that sent the
// value. A value that cannot be decoded is logged once.
func (f *Follower) install(value []byte, origin string) {
	sum := sha256.Sum256(value)
	hash := hex.EncodeToString(sum[:])
	if current := f.current.Load(); current != nil && current.hash == hash {
		return
	}
	received := time.Now()
	configuration, err := f.Source.Decode(value)
	f.mu.Lock()
	if err != nil {
		alreadyLogged := f.rejectedHash == hash
		f.rejectedHash = hash
		f.mu.Unlock()
		if !alreadyLogged {
			f.Log.Error("configuration refused", "from", origin, "running", f.installedVersion(), "error", err)
		}

		return
	}
	old := f.installedVersion()
	if configuration.Version <= old {
		f.mu.Unlock()
		if head := f.newestHead().GetVersion(); head > configuration.Version {
			f.Log.Info("configuration received is old", "version", configuration.Version, "running", old, "newest_head", head, "from", origin)
		}

		return
	}
	f.current.Store(&installedValue{configuration, value, hash})
	f.mu.Unlock()
	f.Notify()
	f.Log.Info("configuration installed", "version", configuration.Version, "before", old, "from", origin,
		"behind", age(f.behindSince.Swap(nil)), "store_answer_age", age(f.storeContact.Load()), "decoding", time.Since(received),
		"routes", len(configuration.Routes), "client_accounts", configuration.ClientAccounts.Len(), "keys", len(configuration.Keys))
	for _, warning := range configuration.Warnings {
		f.Log.Warn("configuration has a value that is not known", "version", configuration.Version, "from", origin, "warning", warning)
	}
	f.Entries.Publish(headEntry(configuration.Version, hash))
}
