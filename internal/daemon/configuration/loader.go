// Package configuration keeps a daemon's configuration and keys up to date with the
// store. In each availability zone a few daemons, the relays, watch the store; all
// others learn of changes and fetch them from other daemons.
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
	// peerDiscoveryDelay is how long a starting daemon that knows no peers waits to
	// discover peers. After that, it reads the whole configuration from the store. The
	// store's capacity for reads is scarcer than that of peers.
	peerDiscoveryDelay = time.Second
	// firstRetry and maxRetry are the bounds of the exponential backoff after failed
	// attempts. Even if both relays of an availability zone fail, a change takes effect
	// within the target of 17 s.
	firstRetry = 250 * time.Millisecond
	maxRetry   = 5 * time.Second
	// peersPerRound is how many peers are asked in parallel in one attempt.
	peersPerRound = 3
	// peerRoundsBeforeStore is how many attempts a running daemon that lacks a version
	// makes with its peers before it reads the store itself. If no peer answers, four
	// rounds of callTimeout leave seven of the target's 17 s.
	peerRoundsBeforeStore = 4
	// callTimeout bounds one request to a peer.
	callTimeout = 2 * time.Second
	// unreachablePeers is the time without an answer of any peer after which a daemon reads
	// the store itself, every maxRetry. Both together leave six of the target's 17 s.
	unreachablePeers = 6 * time.Second
	// headKey is the key of the only entry of fleet.KindHead, which holds the newest
	// version and the hash of its manifest's head.
	headKey = "Current"
)

// ReplicatedEntries is the set of entries that is replicated to all daemons by gossip.
type ReplicatedEntries interface {
	// Publish merges an entry into the set. It has no effect if the set has a newer
	// entry of the same kind and key.
	Publish(entry fleet.Entry)
	// Range calls visit for each entry of a kind.
	Range(kind fleet.EntryKind, visit func(fleet.Entry))
	// Subscribe returns a channel that receives a value after entries of the kind
	// changed, and a function that ends the subscription. Changes that were not
	// received yet are merged into one value.
	Subscribe(kind fleet.EntryKind) (<-chan struct{}, func())
}

// PeerCaller sends requests to other daemons, which are identified by name.
type PeerCaller interface {
	// Call sends a frame and returns the answer, or false if none was received.
	Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Membership reports the role of this daemon in the fleet.
type Membership interface {
	// IsRelay reports whether this daemon is a relay, which watches the store for its
	// availability zone.
	IsRelay() bool
	// LastPeerContact returns when another daemon last answered, or the zero time.
	LastPeerContact() time.Time
}

// Dependencies are the components that a loader uses.
type Dependencies struct {
	// Name is the name of this daemon.
	Name       string
	Store      publication.Store
	Entries    ReplicatedEntries
	Peers      PeerCaller
	Membership Membership
	Random     *rand.Rand
	Log        *slog.Logger
}

// Loader holds the installed configuration and keeps it up to date. The version of the
// installed configuration only rises. It is safe for concurrent use.
type Loader struct {
	Dependencies
	// store wraps the store of Dependencies and records when it last answered.
	store *contactTracker
	// keyReadAt is the value of LastKeyRead, nil before the first answered watch.
	keyReadAt atomic.Pointer[time.Time]
	// snapshot is the installed version, nil before the first installation. Only
	// installLoop replaces it.
	snapshot atomic.Pointer[publication.Snapshot]
	// manifestUpdates carries the newest manifest from the watch to installLoop.
	manifestUpdates chan []byte
	// withdrawnInStore is the set of hashes of keys that the store is known to have as
	// withdrawn. Entries are never removed, because a withdrawal is final.
	withdrawnInStore sync.Map
	// Subscribers are notified after each installation.
	broadcast.Subscribers
}

// New starts a loader. It also returns a function that stops the loader and waits for
// its goroutines.
func New(dependencies Dependencies) (*Loader, func()) {
	l := &Loader{
		Dependencies:    dependencies,
		store:           &contactTracker{Store: dependencies.Store},
		manifestUpdates: make(chan []byte, 1),
	}

	return l, workers.StartLoops(l.Random, l.installLoop, l.watchManifest, l.watchKeys, l.reconcileKeys)
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
	return l.store.lastContact()
}

// LastConfigurationRead returns when the store last answered, or the zero time.
func (l *Loader) LastConfigurationRead() time.Time { return l.store.lastContact() }

// LastKeyRead returns the start time of the last watch of the keys that the store
// answered, or the zero time. Other answers of the store do not prove that the keys are
// up to date. The start counts instead of the receipt, because the answer may have
// waited while the daemon was paused.
func (l *Loader) LastKeyRead() time.Time {
	if at := l.keyReadAt.Load(); at != nil {
		return *at
	}

	return time.Time{}
}

// HandleFetchPart answers another daemon's request for a part of the installed
// configuration. An empty hash requests the head of the manifest.
func (l *Loader) HandleFetchPart(request *peerpb.FetchPart) *peerpb.Part {
	value, found := l.snapshot.Load().Part(request.GetHash())

	return &peerpb.Part{Found: found, Value: value}
}

// installLoop installs new versions from the store or from peers until ctx ends. It is
// the only goroutine that replaces the snapshot.
func (l *Loader) installLoop(ctx context.Context, random *rand.Rand) {
	changed, unsubscribe := l.Entries.Subscribe(fleet.KindHead)
	defer unsubscribe()
	if len(l.peerCandidates(0, random)) == 0 {
		sleep(ctx, peerDiscoveryDelay)
	}
	// unreadManifest is the newest manifest from the watch while it has not been loaded.
	// It is kept, and loaded again in the next round, if reads of its parts from the
	// store fail.
	var unreadManifest []byte
	retry := time.NewTimer(0)
	defer retry.Stop()
	for round := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case unreadManifest = <-l.manifestUpdates:
		case <-changed:
		case <-retry.C:
		}
		if unreadManifest != nil && l.load(ctx, publication.NewStoreSource(l.store, unreadManifest)) {
			unreadManifest = nil
		}
		if l.Current() != nil && !l.Membership.IsRelay() && time.Since(l.Membership.LastPeerContact()) > unreachablePeers {
			l.load(ctx, publication.NewStoreSource(l.store, nil))
		}
		if l.catchUp(ctx, round, random) && unreadManifest == nil {
			round = 0
			retry.Reset(maxRetry)

			continue
		}
		retry.Reset(retryDelay(round, random))
		round++
	}
}

// catchUp installs the version of the newest known replicated head or, without an
// installed version, the newest one that the asked peers have. The parameter round is the
// number of failed attempts so far. It returns false if another attempt is needed.
func (l *Loader) catchUp(ctx context.Context, round int, random *rand.Rand) bool {
	head := l.knownHead()
	isCurrent := func() bool {
		current := l.snapshot.Load()

		return current != nil && current.Version() >= head.GetVersion()
	}
	if isCurrent() {
		return true
	}
	starting := l.snapshot.Load() == nil
	hash := ""
	if round == 0 && !starting {
		// In the first round only this version is requested, so that a peer without it
		// answers with a few bytes.
		hash = head.GetManifestHash()
	}
	sources, answered := l.askPeers(ctx, l.peerCandidates(head.GetVersion(), random), hash)
	for _, source := range sources {
		l.load(ctx, source)
		if isCurrent() || starting && l.snapshot.Load() != nil {
			return isCurrent()
		}
	}
	// A starting daemon whose peers do not answer reads the store at once, because it
	// may be cut off from them.
	if starting && (!answered || l.shouldReadStore(random)) || !starting && round >= peerRoundsBeforeStore {
		l.load(ctx, publication.NewStoreSource(l.store, nil))
	}

	return isCurrent()
}

// load installs the version that a source has, if it is newer and valid. It returns
// false if a retry may succeed.
func (l *Loader) load(ctx context.Context, source publication.Source) bool {
	current := l.snapshot.Load()
	next, outcome, findings := publication.Load(ctx, current, source)
	switch outcome {
	case publication.LoadInstalled:
		l.snapshot.Store(next)
		l.Log.Info("configuration installed", "Version", next.Version(), "OldVersion", current.Version())
		l.publishInstalled(next)
	case publication.LoadInvalid:
		l.Log.Error("configuration not installed", "Version", current.Version(), "Findings", findings.String())
	case publication.LoadNotNewer:
	default:
		return false
	}

	return true
}

// publishInstalled notifies subscribers of an installed version and publishes its head
// to the fleet.
func (l *Loader) publishInstalled(snapshot *publication.Snapshot) {
	l.Notify()
	l.Entries.Publish(headEntry(snapshot))
}

// retryDelay returns the delay before the next attempt. It doubles with each failed
// round up to maxRetry, and the upper half of it is random.
func retryDelay(round int, random *rand.Rand) time.Duration {
	wait := min(firstRetry<<min(round, 10), maxRetry)

	return wait/2 + time.Duration(random.Int64N(int64(wait/2)))
}

// sleep waits for d, or until ctx ends if that is earlier.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
