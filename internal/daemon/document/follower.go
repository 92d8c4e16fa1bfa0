// Package document keeps a daemon in step with a configuration that an operator
// writes as one object of the store. Daemons that the store turns away get it
// from other daemons.
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
	// watchWait is how long the store holds a relay's watch without changes, and
	// watchMargin how much later the watch counts as lost. A watch can go silent
	// when the store drops its history. Together they stay below the 2 s within
	// which a change has to be in force.
	watchWait   = time.Second
	watchMargin = 400 * time.Millisecond
	// readTimeout bounds other reads. The store answers within milliseconds.
	readTimeout = time.Second
	// pollPause is the time between reads of a daemon that is no relay. They stand
	// in for relays that fail together, and may be answered from a replica.
	pollPause = 4 * time.Second
	// relayCheck is how late a daemon notices that it has become a relay.
	relayCheck = 200 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a call that failed. A change
	// made in an outage takes effect within maxRetry of its end.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 1500 * time.Millisecond
	// peerTimeout bounds a call to another daemon.
	peerTimeout = 500 * time.Millisecond
	// peerRetry is the pause after no peer had the wanted version.
	peerRetry = 100 * time.Millisecond
	// peersAsked is how many peers are asked in a row, the next one after askNext,
	// which is many round trips within a region.
	peersAsked = 3
	askNext    = 100 * time.Millisecond
	// headKey is the only key of fleet.KindHead.
	headKey = "Current"
)

// Store reads and watches objects.
type Store interface {
	Page(ctx context.Context, kind, after string, stale bool) (fleet.ObjectPage, fleet.StoreOutcome)
	Events(ctx context.Context, kind string, after uint64, wait time.Duration) (fleet.ObjectEvents, fleet.StoreOutcome)
}

// ReplicatedEntries is the replicated set of entries.
type ReplicatedEntries interface {
	Publish(entry fleet.Entry)
	Range(kind fleet.EntryKind, visit func(fleet.Entry))
	// Subscribe returns a channel that receives after entries of the kind changed.
	Subscribe(kind fleet.EntryKind) (<-chan struct{}, func())
}

// PeerCaller calls other daemons by name.
type PeerCaller interface {
	Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Members names live daemons and divides the work between them.
type Members interface {
	// PeersOwnZoneFirst returns up to count other live daemons, chosen at random, those of the
	// own availability zone first.
	PeersOwnZoneFirst(count int) []string
	// IsRelay reports whether this daemon watches the store for its availability zone.
	IsRelay() bool
	// SetStoreUnavailable tells the others whether the store answers this daemon.
	SetStoreUnavailable(away bool)
}

// Source says which object holds the configuration and how to read it.
type Source struct {
	Kind   string
	Name   string
	Decode func(value []byte) (*fleet.Configuration, error)
}

// Dependencies are what a follower works with.
type Dependencies struct {
	Source  Source
	Store   Store
	Entries ReplicatedEntries
	Peers   PeerCaller
	Members Members
	Random  *rand.Rand
	Log     *slog.Logger
}

// installed is a version with the value that it was read from.
type installed struct {
	configuration *fleet.Configuration
	value         []byte
	hash          string
}

// Follower holds the installed configuration. Its version only rises.
type Follower struct {
	Dependencies
	current atomic.Pointer[installed]
	contact atomic.Pointer[time.Time]
	// away says that the store did not answer the last call.
	away atomic.Bool

	// Subscribers learn of each version that is installed.
	broadcast.Subscribers
	mu sync.Mutex
	// refused is the last value that could not be read, which is logged once.
	refused string
}

// New starts a follower and returns a function that stops it and waits.
func New(dependencies Dependencies) (*Follower, func()) {
	f := &Follower{Dependencies: dependencies}

	return f, workers.StartLoops(f.Random, f.watch, f.catchUp)
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
	if at := f.contact.Load(); at != nil {
		return *at
	}

	return time.Time{}
}

// LastKeyRead returns when keys were last read, which are part of the configuration.
func (f *Follower) LastKeyRead() time.Time { return f.LastStoreContact() }

// HandleFetchPart answers another daemon's request for the value with a hash, or for the
// installed one if the hash is empty.
func (f *Follower) HandleFetchPart(request *peerpb.FetchPart) *peerpb.Part {
	current := f.current.Load()
	if current == nil || request.GetHash() != "" && request.GetHash() != current.hash {
		return &peerpb.Part{}
	}

	return &peerpb.Part{Found: true, Value: current.value}
}

// watch follows the object in the store. Relays watch it, and all others read it
// now and then.
func (f *Follower) watch(ctx context.Context, random *rand.Rand) {
	revision, failures := uint64(0), 0
	for ctx.Err() == nil {
		relay := f.Members.IsRelay() || f.Current() == nil
		next, outcome := f.observe(ctx, revision, relay)
		f.note(outcome)
		switch {
		case outcome == fleet.StoreCompacted:
			revision = 0
		case outcome != fleet.StoreOK:
			sleep(ctx, backOff(failures, random))
			failures++
		default:
			revision, failures = next, 0
			if !relay {
				f.awaitTurn(ctx, random)
			}
		}
	}
}

// awaitTurn waits until the next read of a daemon that is no relay.
func (f *Follower) awaitTurn(ctx context.Context, random *rand.Rand) {
	until := time.Now().Add(pollPause/2 + time.Duration(random.Int64N(int64(pollPause))))
	for ctx.Err() == nil && time.Now().Before(until) && !f.Members.IsRelay() {
		sleep(ctx, relayCheck)
	}
}

// observe installs what the store has, or what changed since a revision. It
// returns the revision to go on from.
func (f *Follower) observe(ctx context.Context, revision uint64, relay bool) (uint64, fleet.StoreOutcome) {
	wait := readTimeout
	if revision != 0 && relay {
		wait = watchWait + watchMargin
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if revision == 0 || !relay {
		// Only the first read of a relay has to be the latest.
		page, outcome := f.Store.Page(ctx, f.Source.Kind, "", !relay)
		for _, object := range page.Objects {
			f.take(object, "store")
		}

		return page.Revision, outcome
	}
	events, outcome := f.Store.Events(ctx, f.Source.Kind, revision, watchWait)
	for _, event := range events.Events {
		if !event.Removed {
			f.take(event.Object, "store")
		}
	}

	return events.Revision, outcome
}

// note remembers whether the store answers, and logs when that changes.
func (f *Follower) note(outcome fleet.StoreOutcome) {
	away := outcome != fleet.StoreOK && outcome != fleet.StoreCompacted
	if !away {
		now := time.Now()
		f.contact.Store(&now)
	}
	if f.away.Swap(away) == away {
		return
	}
	f.Members.SetStoreUnavailable(away)
	if away {
		f.Log.Warn("dependency lost", "dependency", "store", "outcome", outcome.String(), "version", f.version())
	} else {
		f.Log.Info("dependency regained", "dependency", "store", "version", f.version())
	}
}

func (f *Follower) version() uint64 {
	if current := f.Current(); current != nil {
		return current.Version
	}

	return 0
}

func (f *Follower) take(object fleet.Object, from string) {
	if object.Name == f.Source.Name {
		f.install(object.Value, from)
	}
}

// install takes over a value if it is of a higher version.
func (f *Follower) install(value []byte, from string) {
	sum := sha256.Sum256(value)
	hash := hex.EncodeToString(sum[:])
	if current := f.current.Load(); current != nil && current.hash == hash {
		return
	}
	configuration, err := f.Source.Decode(value)
	f.mu.Lock()
	if err != nil {
		logged := f.refused == hash
		f.refused = hash
		f.mu.Unlock()
		if !logged {
			f.Log.Error("configuration refused", "from", from, "running", f.version(), "error", err)
		}

		return
	}
	old := f.version()
	if configuration.Version <= old {
		f.mu.Unlock()

		return
	}
	f.current.Store(&installed{configuration, value, hash})
	f.mu.Unlock()
	f.Notify()
	f.Log.Info("configuration installed", "version", configuration.Version, "before", old, "from", from,
		"routes", len(configuration.Routes), "client_accounts", configuration.ClientAccounts.Len(), "keys", len(configuration.Keys))
	f.Entries.Publish(headEntry(configuration.Version, hash))
}

// catchUp fetches versions that other daemons have and this one lacks.
func (f *Follower) catchUp(ctx context.Context, _ *rand.Rand) {
	changed, stop := f.Entries.Subscribe(fleet.KindHead)
	defer stop()
	for ctx.Err() == nil {
		head := f.head()
		if f.Current() != nil && head.GetVersion() <= f.version() {
			select {
			case <-ctx.Done():
			case <-changed:
			}

			continue
		}
		// The store usually delivers the version at the same time.
		sleep(ctx, peerRetry)
		if f.Current() == nil || f.head().GetVersion() > f.version() {
			f.fetch(ctx)
		}
	}
}

// fetch asks a few daemons for their version, the next one when the one before has
// not brought it soon.
func (f *Follower) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	before := f.version()
	hash := ""
	if f.Current() != nil {
		hash = f.head().GetManifestHash()
	}
	request := &peerpb.Frame{Body: &peerpb.Frame_FetchPart{FetchPart: &peerpb.FetchPart{Hash: hash}}}
	var calls sync.WaitGroup
	for _, daemon := range f.Members.PeersOwnZoneFirst(peersAsked) {
		if f.version() > before {
			break
		}
		done := make(chan struct{})
		calls.Go(func() {
			defer close(done)
			answer, ok := f.Peers.Call(ctx, daemon, request)
			if ok && answer.GetPart().GetFound() {
				f.install(answer.GetPart().GetValue(), daemon)
			}
		})
		timer := time.NewTimer(askNext)
		select {
		case <-done:
		case <-timer.C:
		}
		timer.Stop()
	}
	calls.Wait()
}

func (f *Follower) head() *peerpb.Head {
	newest := &peerpb.Head{}
	f.Entries.Range(fleet.KindHead, func(entry fleet.Entry) {
		var head peerpb.Head
		if proto.Unmarshal(entry.Value, &head) == nil && head.GetVersion() > newest.GetVersion() {
			newest = &head
		}
	})

	return newest
}

func headEntry(version uint64, hash string) fleet.Entry {
	value, err := proto.Marshal(&peerpb.Head{Version: version, ManifestHash: hash})
	if err != nil {
		panic("encoding a head entry: " + err.Error()) // only invalid UTF-8 fails
	}

	return fleet.Entry{Kind: fleet.KindHead, Key: headKey, Version: version, Value: value}
}

func backOff(failures int, random *rand.Rand) time.Duration {
	wait := min(firstRetry<<min(failures, 10), maxRetry)

	return wait/2 + time.Duration(random.Int64N(int64(wait/2)))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
