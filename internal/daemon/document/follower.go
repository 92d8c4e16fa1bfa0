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

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/broadcast"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/workers"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// shortWaitShare is the share of MaxDelay, in eighths, for which the store holds a
	// watch that nobody else would replace: that of a relay, or of a daemon that no other
	// daemon answers. Other watches are held for longWait.
	shortWaitShare = 5
	longWait       = 20 * time.Second
	// watchMargin is how much longer than its wait a watch may take. The store may never
	// answer a watch, for example after it dropped its history.
	watchMargin = 400 * time.Millisecond
	// doubtShare is the share of MaxDelay, in eighths, after which a watch that has not
	// delivered a change that other daemons know of is abandoned.
	doubtShare = 2
	// doubtInterval is how often a daemon checks whether to abandon a long watch.
	doubtInterval = 200 * time.Millisecond
	// spreadShare is the share of MaxDelay, in eighths, over which daemons spread their
	// next watches after a change: 3,500 daemons would otherwise call the store at once.
	spreadShare = 1
	// readTimeout bounds reads other than watches. The store usually answers within
	// milliseconds.
	readTimeout = time.Second
	// firstRetry and maxRetry are the bounds of the exponential backoff after failed
	// reads of the store. A change made during an outage takes effect within maxRetry
	// of the end of the outage.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 1500 * time.Millisecond
	// peerTimeout bounds all requests to other daemons in one attempt.
	peerTimeout = 500 * time.Millisecond
	// peerRetryDelay is the delay before each attempt to fetch a version from peers.
	peerRetryDelay = 100 * time.Millisecond
	// peersPerFetch is how many peers are asked in one attempt. The next one is asked if
	// the one before has not answered within nextPeerDelay, which covers many round
	// trips within a region.
	peersPerFetch = 3
	nextPeerDelay = 100 * time.Millisecond
	// headKey is the key of the only entry of fleet.KindHead, which holds the newest
	// version and the hash of its value.
	headKey = "Current"
	// originStore is the origin of values that the store delivered.
	originStore = "store"
)

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

// HandleFetchPart answers another daemon's request for the installed value. The answer is
// a part that is not found if no value is installed, or neither its version is newer than
// the sender's nor its hash the requested one.
func (f *Follower) HandleFetchPart(request *peerpb.FetchPart) *peerpb.Part {
	current := f.current.Load()
	if current == nil {
		return &peerpb.Part{}
	}
	newer := request.GetNewerThan() > 0 && current.configuration.Version > request.GetNewerThan()
	if !newer && request.GetHash() != "" && request.GetHash() != current.hash {
		return &peerpb.Part{}
	}

	return &peerpb.Part{Found: true, Value: current.value}
}

// watchLoop installs changes of the object in the store until ctx ends. No daemon relies
// on others for this: it may be cut off from them while the store serves it.
func (f *Follower) watchLoop(ctx context.Context, random *rand.Rand) {
	revision, failures := uint64(0), 0
	for ctx.Err() == nil {
		before, began := f.installedVersion(), time.Now()
		next, outcome, abandoned := f.readStore(ctx, revision)
		if !abandoned {
			f.recordOutcome(outcome)
		}
		switch {
		case abandoned || outcome == fleet.StoreCompacted:
			revision = 0
		case outcome != fleet.StoreOK:
			// After a failure the daemon reads the object, which takes less time than
			// another watch that may not be answered.
			revision = 0
			sleep(ctx, retryDelay(failures, random))
			failures++
		default:
			revision, failures = next, 0
			f.readFrom.Store(&began)
			if before != 0 && f.installedVersion() != before {
				sleep(ctx, time.Duration(random.Int64N(int64(f.delayShare(spreadShare)))))
			}
		}
	}
}

// readStore installs the object's value from the store. If revision is not 0, it waits for
// changes after the revision and installs those instead of reading the object. It returns
// the revision from which the next watch continues, and whether it abandoned the watch.
func (f *Follower) readStore(ctx context.Context, revision uint64) (next uint64, outcome fleet.StoreOutcome, abandoned bool) {
	if revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, outcome := f.Store.Page(ctx, f.Source.Kind, "", false)
		for _, object := range page.Objects {
			f.installObject(object, originStore)
		}

		return page.Revision, outcome, false
	}
	f.missedSince.Store(nil)
	wait := f.delayShare(shortWaitShare)
	short := f.needsShortWait()
	if !short {
		wait = max(wait, longWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	var doubts sync.WaitGroup
	doubted := false
	if !short {
		doubts.Go(func() {
			doubted = f.awaitDoubt(ctx)
			cancel()
		})
	}
	events, outcome := f.Store.Events(ctx, f.Source.Kind, revision, wait)
	cancel()
	doubts.Wait()
	for _, event := range events.Events {
		if !event.Removed {
			f.installObject(event.Object, originStore)
		}
	}

	return events.Revision, outcome, doubted && outcome != fleet.StoreOK
}

// needsShortWait reports whether no other daemon would make this one notice that its watch
// has died.
func (f *Follower) needsShortWait() bool {
	return f.Members.IsRelay() || time.Since(f.Members.LastPeerContact()) > f.delayShare(shortWaitShare)
}

// awaitDoubt waits until there is reason to believe that the present long watch has died.
// It returns false if ctx ends before.
func (f *Follower) awaitDoubt(ctx context.Context) bool {
	for {
		sleep(ctx, doubtInterval)
		if ctx.Err() != nil {
			return false
		}
		if f.needsShortWait() || age(f.missedSince.Load()) > f.delayShare(doubtShare) {
			return true
		}
	}
}

// delayShare returns a share of MaxDelay in eighths.
func (f *Follower) delayShare(eighths time.Duration) time.Duration {
	return f.MaxDelay * eighths / 8
}

// recordOutcome records whether the store answered, and when. If the store became
// available or unavailable, it reports that to the fleet and logs it.
func (f *Follower) recordOutcome(outcome fleet.StoreOutcome) {
	unavailable := outcome != fleet.StoreOK && outcome != fleet.StoreCompacted
	if !unavailable {
		now := time.Now()
		f.storeContact.Store(&now)
	}
	if f.storeUnavailable.Swap(unavailable) == unavailable {
		return
	}
	f.Members.SetStoreUnavailable(unavailable)
	if unavailable {
		f.Log.Warn("dependency lost", "dependency", "store", "outcome", outcome.String(), "version", f.installedVersion())
	} else {
		f.Log.Info("dependency regained", "dependency", "store", "version", f.installedVersion())
	}
}

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

// catchUpLoop fetches newer versions that other daemons have installed until ctx ends.
func (f *Follower) catchUpLoop(ctx context.Context, _ *rand.Rand) {
	changed, unsubscribe := f.Entries.Subscribe(fleet.KindHead)
	defer unsubscribe()
	for ctx.Err() == nil {
		head := f.newestHead()
		if f.Current() != nil && head.GetVersion() <= f.installedVersion() {
			select {
			case <-ctx.Done():
			case <-changed:
			}

			continue
		}
		now := time.Now()
		f.behindSince.CompareAndSwap(nil, &now)
		f.missedSince.CompareAndSwap(nil, &now)
		// Usually the store delivers the version during this delay, so that it need not
		// be fetched from peers.
		sleep(ctx, peerRetryDelay)
		if f.Current() == nil || f.newestHead().GetVersion() > f.installedVersion() {
			f.fetchFromPeers(ctx)
		}
	}
}

// fetchFromPeers requests a version newer than the installed one from up to peersPerFetch
// daemons, or any version if none is installed. Not only the newest known version is
// accepted, because the others may already have replaced it. The next daemon is asked if the one before did
// not deliver a newer version within nextPeerDelay.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	before := f.installedVersion()
	hash := ""
	if f.Current() != nil {
		hash = f.newestHead().GetManifestHash()
	}
	request := &peerpb.Frame{Body: &peerpb.Frame_FetchPart{FetchPart: &peerpb.FetchPart{Hash: hash, NewerThan: before}}}
	var calls sync.WaitGroup
	var asked, absent atomic.Int64
	for _, daemon := range f.Members.PeersOwnZoneFirst(peersPerFetch) {
		if f.installedVersion() > before {
			break
		}
		done := make(chan struct{})
		calls.Go(func() {
			defer close(done)
			asked.Add(1)
			answer, ok := f.Peers.Call(ctx, daemon, request)
			switch {
			case ok && answer.GetPart().GetFound():
				f.install(answer.GetPart().GetValue(), daemon)
			case ok:
				absent.Add(1)
			}
		})
		timer := time.NewTimer(nextPeerDelay)
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
	}
	calls.Wait()
	if f.installedVersion() == before && asked.Load() > 0 {
		f.Log.Info("configuration not fetched", "running", before, "newest_head", f.newestHead().GetVersion(),
			"asked", asked.Load(), "not_found", absent.Load(), "behind", age(f.behindSince.Load()))
	}
}

// newestHead returns the newest head among the replicated entries that this daemon has
// received, or an empty head if there is none.
func (f *Follower) newestHead() *peerpb.Head {
	newest := &peerpb.Head{}
	f.Entries.Range(fleet.KindHead, func(entry fleet.Entry) {
		var head peerpb.Head
		if proto.Unmarshal(entry.Value, &head) == nil && head.GetVersion() > newest.GetVersion() {
			newest = &head
		}
	})

	return newest
}

// headEntry returns the replicated entry that announces an installed version.
func headEntry(version uint64, hash string) fleet.Entry {
	value, err := proto.Marshal(&peerpb.Head{Version: version, ManifestHash: hash})
	if err != nil {
		panic("encode head entry: " + err.Error()) // only invalid UTF-8 fails
	}

	return fleet.Entry{Kind: fleet.KindHead, Key: headKey, Version: version, Value: value}
}

// retryDelay returns the delay before the next read. It doubles with each failure up
// to maxRetry, and the upper half of it is random.
func retryDelay(failures int, random *rand.Rand) time.Duration {
	wait := min(firstRetry<<min(failures, 10), maxRetry)

	return wait/2 + time.Duration(random.Int64N(int64(wait/2)))
}

// sleep waits for d, or until ctx ends if that is earlier.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
