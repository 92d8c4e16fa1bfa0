// Package configuration keeps a daemon's configuration and keys in step with
// the store, directly or through other daemons.
package configuration

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/broadcast"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/workers"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// joinGrace lets a starting daemon learn of peers before it reads the whole
	// configuration from the store, whose reads are scarcer.
	joinGrace = time.Second
	// firstRetry and maxRetry bound the wait after a failed attempt. With both
	// relays of an availability zone failing, a change still takes effect
	// within the 17 s of the target.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 5 * time.Second
	// peersPerRound is how many peers are asked in one attempt.
	peersPerRound = 3
	// roundsBeforeStore is how many attempts a daemon that is no relay makes
	// with its peers before it reads the store itself. Where no peer answers,
	// four rounds of callTimeout leave seven of the target's 17 s.
	roundsBeforeStore = 4
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// headKey is the only key of fleet.KindHead.
	headKey = "Current"
)

// ReplicatedEntries is the replicated set of entries.
type ReplicatedEntries interface {
	// Publish merges an entry into the set; an older one has no effect.
	Publish(entry fleet.Entry)
	// Range calls visit for each entry of a kind.
	Range(kind fleet.EntryKind, visit func(fleet.Entry))
	// Subscribe returns a channel that receives after entries of the kind
	// changed, with several changes merged into one, and a function that ends it.
	Subscribe(kind fleet.EntryKind) (<-chan struct{}, func())
}

// PeerCaller calls other daemons by name.
type PeerCaller interface {
	// Call returns false if no answer was received.
	Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Membership tells this daemon's part in the fleet.
type Membership interface {
	// IsRelay reports whether this daemon is one of those that watch the store.
	IsRelay() bool
}

// Dependencies are what a loader works with.
type Dependencies struct {
	// Name is this daemon's.
	Name       string
	Store      publication.Store
	Entries    ReplicatedEntries
	Peers      PeerCaller
	Membership Membership
	Random     *rand.Rand
	Log        *slog.Logger
}

// Loader holds the installed configuration. Its version only rises.
type Loader struct {
	Dependencies
	store    *contactStore
	keysRead atomic.Pointer[time.Time]
	snapshot atomic.Pointer[publication.Snapshot]
	// heads carries the latest manifest that the watch has seen.
	heads chan []byte
	// settled holds the hashes of keys that the store is known to have as
	// withdrawn. That never changes back.
	settled sync.Map
	// Subscribers learn of each version that is installed.
	broadcast.Subscribers
}

// New starts a loader and returns a function that stops it and waits.
func New(dependencies Dependencies) (*Loader, func()) {
	l := &Loader{
		Dependencies: dependencies,
		store:        &contactStore{Store: dependencies.Store},
		heads:        make(chan []byte, 1),
	}

	return l, workers.StartLoops(l.Random, l.install, l.watchManifest, l.watchKeys, l.reconcileKeys)
}

// Current returns the installed configuration, or nil if there is none yet.
func (l *Loader) Current() *fleet.Configuration {
	if snapshot := l.snapshot.Load(); snapshot != nil {
		return snapshot.Configuration
	}

	return nil
}

// LastStoreContact returns when the store last answered, or the zero time.
func (l *Loader) LastStoreContact() time.Time {
	return l.store.last()
}

// LastKeyRead returns when the last answered watch of the keys had begun, or the
// zero time. Other answers of the store say nothing about keys, and one that
// waited while the daemon was paused is older than its receipt.
func (l *Loader) LastKeyRead() time.Time {
	if at := l.keysRead.Load(); at != nil {
		return *at
	}

	return time.Time{}
}

// HandleFetchPart answers another daemon's request for a part.
func (l *Loader) HandleFetchPart(request *peerpb.FetchPart) *peerpb.Part {
	value, found := l.snapshot.Load().Part(request.GetHash())

	return &peerpb.Part{Found: found, Value: value}
}

// install owns the snapshot: it is the only goroutine that replaces it.
func (l *Loader) install(ctx context.Context, random *rand.Rand) {
	changed, stop := l.Entries.Subscribe(fleet.KindHead)
	defer stop()
	if len(l.candidates(0, random)) == 0 {
		sleep(ctx, joinGrace)
	}
	// failed is a manifest seen by the watch whose parts could not be read.
	var failed []byte
	retry := time.NewTimer(0)
	defer retry.Stop()
	for round := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case failed = <-l.heads:
		case <-changed:
		case <-retry.C:
		}
		if failed != nil && l.load(ctx, publication.NewStoreSource(l.store, failed)) {
			failed = nil
		}
		if l.follow(ctx, round, random) && failed == nil {
			round = 0
			retry.Reset(maxRetry)

			continue
		}
		retry.Reset(backOff(round, random))
		round++
	}
}

// follow brings the configuration up to the head that the fleet knows, or to
// the newest of several peers if there is none yet. It returns false if another
// attempt is needed.
func (l *Loader) follow(ctx context.Context, round int, random *rand.Rand) bool {
	head := l.head()
	installed := func() bool {
		current := l.snapshot.Load()

		return current != nil && current.Version() >= head.GetVersion()
	}
	if installed() {
		return true
	}
	starting := l.snapshot.Load() == nil
	hash := ""
	if round == 0 && !starting {
		// A peer without this version answers in a few bytes.
		hash = head.GetManifestHash()
	}
	sources, answered := l.ask(ctx, l.candidates(head.GetVersion(), random), hash)
	for _, source := range sources {
		l.load(ctx, source)
		if installed() || starting && l.snapshot.Load() != nil {
			return installed()
		}
	}
	// A daemon whose peers do not answer reads the store at once, since it may
	// be cut off from them.
	if starting && (!answered || l.mayRead(random)) || !starting && round >= roundsBeforeStore {
		l.load(ctx, publication.NewStoreSource(l.store, nil))
	}

	return installed()
}

// load installs what a source has, if it is newer. It returns false if another
// attempt may have another result.
func (l *Loader) load(ctx context.Context, source publication.Source) bool {
	current := l.snapshot.Load()
	next, outcome, findings := publication.Load(ctx, current, source)
	switch outcome {
	case publication.LoadInstalled:
		l.snapshot.Store(next)
		l.Log.Info("configuration installed", "Version", next.Version(), "OldVersion", current.Version())
		l.announce(next)
	case publication.LoadInvalid:
		l.Log.Error("configuration not installed", "Version", current.Version(), "Findings", findings.String())
	case publication.LoadNotNewer:
	default:
		return false
	}

	return true
}

// announce tells subscribers and the fleet about a version.
func (l *Loader) announce(snapshot *publication.Snapshot) {
	l.Notify()
	l.Entries.Publish(headEntry(snapshot))
}

func backOff(round int, random *rand.Rand) time.Duration {
	wait := min(firstRetry<<min(round, 10), maxRetry)

	return wait/2 + time.Duration(random.Int64N(int64(wait/2)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
