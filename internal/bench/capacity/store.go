package capacity

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/config/teamfile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/configuration"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	relays = 2 * zones
	// watchesPerSecond is the rate of reads of one relay, whose two watches wait 20 s each.
	watchesPerSecond = 2.0 / 20
	// outageLength is long enough for waiting daemons to reach their longest retry interval.
	outageLength = 12 * time.Second
	storeTeams   = 40
	// fullReads is the number of reads of a daemon that reads the whole configuration from
	// the store: the manifest, its 64 buckets and the file of each team. A publisher reads
	// the same objects.
	fullReads = 1 + 64 + services
	// startupSeconds is the time within which daemons that start must have their
	// configuration. It equals the time within which a change must take effect.
	startupSeconds = 17.0
)

// storeMeasures returns the costs in calls of the store, for the whole fleet. Each simulated
// daemon is a loader of internal/daemon/configuration that uses the stand-in of the store.
func storeMeasures() []measure {
	clients := []int{10, 50, 100}
	fleetWide := func(description, item, mechanism string, sizes []int, target, rate float64, cost func(int) float64) measure {
		return measure{role: "store", description: description, unit: storeReadsUnit, item: item, mechanism: mechanism, sizes: sizes, target: target, rate: rate, cost: cost}
	}
	// Sizes of publications start at 400 teams, because all 64 buckets of the manifest are
	// in use from that size.
	changesPerSecond := float64(changesPerDay) / secondsPerDay

	return []measure{
		fleetWide("ordinary: watches (derived)", "relay", "two relays per zone, two watches each", clients, relays, watchesPerSecond,
			func(n int) float64 { return float64(n) }),
		fleetWide("ordinary: a change read by relays, 6,700 a day", "relay", "publication.Load", clients, relays, changesPerSecond, changeReads),
		fleetWide("ordinary: publications, 6,700 a day", "team", "publisher reads the whole configuration", []int{400, 800, 1600}, services, changesPerSecond, publicationReads),
		fleetWide("a zone returns: configuration within 17 s", "daemon", "peers first", clients, daemons/zones, 1/startupSeconds,
			func(n int) float64 { return startBesideRunning(n, true).reads }),
		fleetWide("outage: daemons without configuration wait", "daemon", "retry up to every 5 s", clients, daemons, 1,
			func(n int) float64 { return startDuringOutage(n).readsPerSecond }),
		fleetWide("back after an outage: configuration of 40 teams within 17 s", "daemon", "peers first, then the store", clients, daemons, 1/startupSeconds,
			func(n int) float64 { return startDuringOutage(n).reads }),
		fleetWide("back after an outage: configuration of 6,700 teams within 17 s (scaled)", "daemon", "peers first, then the store", clients, daemons, 1/startupSeconds,
			func(n int) float64 { return startDuringOutage(n).reads * fullReads / publicationReads(storeTeams) }),
		fleetWide("new fleet: daemons without owners (derived)", "daemon", "one read a second", clients, daemons, 1,
			func(n int) float64 { return float64(n) }),
	}
}

// loaderFleet is a set of loaders that share one stand-in of the store. An entry that one
// of them publishes is visible to all at once.
type loaderFleet struct {
	store *platform.Store

	mu            sync.Mutex
	entries       map[string]fleet.Entry
	subscriptions map[chan struct{}]fleet.EntryKind
	loaders       map[string]*configuration.Loader
	stopFunctions []func()
}

func newLoaderFleet(teams int) *loaderFleet {
	f := &loaderFleet{
		store:   platform.New(rand.New(rand.NewPCG(1, 1))), //nolint:gosec // not for secrets
		entries: map[string]fleet.Entry{}, subscriptions: map[chan struct{}]fleet.EntryKind{}, loaders: map[string]*configuration.Loader{},
	}
	var files []teamfile.File
	for i := range teams {
		files = append(files, teamFile(i, 1))
	}
	f.publish(files...)

	return f
}

// teamFile returns the file of the i-th team, with one client account of the given rate.
func teamFile(i, rate int) teamfile.File {
	return teamfile.File{Name: fmt.Sprint(i), Content: fmt.Appendf(nil, "Team = T%04d\n[ClientAccount A%04d]\nRate = %d/s\nBurst = 1\n", i, i, rate)}
}

func (f *loaderFleet) publish(files ...teamfile.File) {
	publisher := publication.NewPublisher(f.store, rand.New(rand.NewPCG(1, 2))) //nolint:gosec // not for secrets
	result := publisher.Publish(context.Background(), publication.Change{ID: uuid.New(), Files: files})
	if result.Outcome != publication.Accepted {
		panic(fmt.Sprintf("capacity: publish configuration: %v: %v", result.Outcome, result.Findings))
	}
}

// start starts n loaders, as relays if relay is set. If published is set, it publishes them
// as members, so that other loaders can call them.
func (f *loaderFleet) start(prefix string, n int, relay, published bool) {
	for i := range n {
		name := fmt.Sprintf("%s%d", prefix, i)
		if published {
			value, _ := proto.Marshal(&peerpb.Member{Name: name})
			f.Publish(fleet.Entry{Kind: fleet.KindMember, Key: name, Version: 1, Value: value})
		}
		loader, stop := configuration.New(configuration.Dependencies{
			Name: name, Store: f.store, Entries: f, Peers: f, Membership: fixedRole(relay),
			Random: rand.New(rand.NewPCG(1, uint64(i))), Log: slog.New(slog.DiscardHandler), //nolint:gosec // not for secrets
		})
		f.mu.Lock()
		f.loaders[name] = loader
		f.stopFunctions = append(f.stopFunctions, stop)
		f.mu.Unlock()
	}
}

// stopAll stops all loaders and waits for them.
func (f *loaderFleet) stopAll() {
	var group sync.WaitGroup
	for _, stop := range f.stopFunctions {
		group.Go(stop)
	}
	group.Wait()
}

// waitForVersion waits until all loaders have a configuration of the version or newer. It
// panics after 60 s.
func (f *loaderFleet) waitForVersion(version uint64) {
	for range 6000 {
		current := 0
		f.mu.Lock()
		for _, loader := range f.loaders {
			if c := loader.Current(); c != nil && c.Version >= version {
				current++
			}
		}
		all := current == len(f.loaders)
		f.mu.Unlock()
		if all {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic(fmt.Sprintf("capacity: version %d not installed on all simulated daemons after 60 s", version))
}

// readCount returns the number of get and list calls of the store so far.
func (f *loaderFleet) readCount() float64 {
	calls := f.store.CallCounts()

	return float64(calls.Get + calls.List)
}

// fixedRole implements configuration.Membership. It is true for relays.
type fixedRole bool

// IsRelay implements configuration.Membership.
func (r fixedRole) IsRelay() bool { return bool(r) }

// LastPeerContact implements configuration.Membership. Some peer answers all the time.
func (fixedRole) LastPeerContact() time.Time { return time.Now() }

// Publish implements configuration.ReplicatedEntries.
func (f *loaderFleet) Publish(e fleet.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := fmt.Sprint(e.Kind, e.Key)
	if old, ok := f.entries[id]; ok && !e.Newer(old) {
		return
	}
	f.entries[id] = fleet.Entry{Kind: e.Kind, Key: e.Key, Incarnation: e.Incarnation, Version: e.Version, Value: bytes.Clone(e.Value)}
	for changed, kind := range f.subscriptions {
		if kind == e.Kind {
			select {
			case changed <- struct{}{}:
			default: // the subscriber has not received the previous signal yet
			}
		}
	}
}

// Range implements configuration.ReplicatedEntries.
func (f *loaderFleet) Range(kind fleet.EntryKind, visit func(fleet.Entry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.entries {
		if e.Kind == kind {
			visit(e)
		}
	}
}

// Subscribe implements configuration.ReplicatedEntries.
func (f *loaderFleet) Subscribe(kind fleet.EntryKind) (<-chan struct{}, func()) {
	changed := make(chan struct{}, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscriptions[changed] = kind

	return changed, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscriptions, changed)
	}
}

// Call implements configuration.PeerCaller. A peer answers only requests for parts.
func (f *loaderFleet) Call(_ context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	f.mu.Lock()
	loader := f.loaders[daemon]
	f.mu.Unlock()
	if loader == nil {
		return nil, false
	}

	return &peerpb.Frame{Body: &peerpb.Frame_Part{Part: loader.HandleFetchPart(frame.GetFetchPart())}}, true
}

// changeReads returns the reads of n relays for the change of one team.
func changeReads(n int) float64 {
	f := newLoaderFleet(storeTeams)
	defer f.stopAll()
	f.start("relay", n, true, true)
	f.waitForVersion(1)
	time.Sleep(time.Second) // until no loader retries a read
	publisherReads := publicationReads(storeTeams)
	before := f.readCount()
	f.publish(teamFile(0, 2))
	f.waitForVersion(2)
	time.Sleep(time.Second)

	return max(0, f.readCount()-before-publisherReads)
}

// publicationReads returns the reads of one publication that changes one of the
// teams.
func publicationReads(teams int) float64 {
	f := newLoaderFleet(teams)
	before := f.readCount()
	f.publish(teamFile(0, 2))

	return f.readCount() - before
}

// startupCost is the cost of daemons that start without a configuration.
type startupCost struct {
	// readsPerSecond is the rate of reads during the store's outage.
	readsPerSecond float64
	// reads is the number of reads from the end of the outage, or from the start without an
	// outage, until all daemons have the configuration.
	reads float64
}

// startBesideRunning counts the reads of n daemons that start while 10 others run. If
// published is set, the running daemons are published as members, so that the starting ones
// can ask them before they ask the store.
func startBesideRunning(n int, published bool) startupCost {
	f := newLoaderFleet(storeTeams)
	defer f.stopAll()
	f.start("running", 10, false, published)
	f.waitForVersion(1)
	before := f.readCount()
	f.start("returning", n, false, false)
	f.waitForVersion(1)

	return startupCost{reads: f.readCount() - before}
}

// outageResults holds the results of startDuringOutage by the number of daemons, guarded by
// outageResultsMu.
var (
	outageResultsMu sync.Mutex
	outageResults   = map[int]startupCost{}
)

// startDuringOutage counts the reads of n daemons that start during an outage of the
// store, in its last half, and their reads after it. It measures each n only once.
func startDuringOutage(n int) startupCost {
	outageResultsMu.Lock()
	defer outageResultsMu.Unlock()
	if measured, ok := outageResults[n]; ok {
		return measured
	}
	f := newLoaderFleet(storeTeams)
	defer f.stopAll()
	f.store.SetFaults(platform.Faults{Outage: true})
	f.start("waiting", n, false, true)
	time.Sleep(outageLength / 2)
	before := f.readCount()
	time.Sleep(outageLength / 2)
	result := startupCost{readsPerSecond: (f.readCount() - before) / (outageLength / 2).Seconds()}
	f.store.SetFaults(platform.Faults{})
	before = f.readCount()
	f.waitForVersion(1)
	result.reads = f.readCount() - before
	outageResults[n] = result

	return result
}
