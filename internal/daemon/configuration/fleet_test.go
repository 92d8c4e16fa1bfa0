package configuration

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/config/teamfile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// propagationLimit is the time within which a change must take effect on all daemons
// (section 1.3 of the requirements).
const propagationLimit = 17 * time.Second

// TestMain fixes the seed of the property tests, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// resumedReadDelay delays the store's answers to a daemon that was paused. The daemon
// then learns of newer versions from its peers before an old answer arrives.
const resumedReadDelay = 3 * time.Second

// daemon is a loader with its own copy of the replicated entries. It implements the
// loader's ReplicatedEntries, PeerCaller and Membership.
type daemon struct {
	fleet *testFleet
	name  string
	relay bool

	mu            sync.Mutex
	disconnected  bool // from the store and from all peers
	paused        bool // answers reach it only after it has resumed
	failPartReads int  // how many of the next reads of parts fail
	failPuts      int  // how many of the next writes fail
	// peerContact is when another daemon was last disconnected.
	peerContact time.Time
	entries     map[string]fleet.Entry
	subscribers map[chan struct{}]fleet.EntryKind
	versions    []uint64 // installed, in order
	loader      *Loader
	stop        func()
}

// testFleet is a set of loaders that share a stand-in store.
type testFleet struct {
	store    *platform.Store
	mu       sync.Mutex
	daemons  map[string]*daemon
	replaced []*daemon // stopped and started again under the same name
	started  uint64    // number of started daemons; each new number is also a random seed
}

func newFleet() *testFleet {
	return &testFleet{store: platform.New(rand.New(rand.NewPCG(1, 2))), daemons: map[string]*daemon{}}
}

// start starts a daemon that already has all entries of the other daemons.
func (f *testFleet) start(name string, relay bool) *daemon {
	d := &daemon{fleet: f, name: name, relay: relay, entries: map[string]fleet.Entry{}, subscribers: map[chan struct{}]fleet.EntryKind{}}
	f.mu.Lock()
	f.started++
	seed := f.started
	for _, other := range f.daemons {
		for _, entry := range other.allEntries() {
			d.merge(entry)
		}
	}
	f.daemons[name] = d
	f.mu.Unlock()
	d.Publish(fleet.Entry{Kind: fleet.KindMember, Key: name, Incarnation: seed, Value: marshalValue(&peerpb.Member{Name: name})})
	loader, stop := New(Dependencies{
		Name: name, Store: faultyStore{f.store, d}, Entries: d, Peers: d, Membership: d,
		Random: rand.New(rand.NewPCG(seed, 3)), Log: slog.New(slog.DiscardHandler),
	})
	d.mu.Lock()
	d.loader, d.stop = loader, stop
	d.mu.Unlock()

	return d
}

// gossip copies entries between all daemons that are not disconnected.
func (f *testFleet) gossip() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		for _, other := range f.daemons {
			if !d.isDisconnected() && !other.isDisconnected() {
				for _, entry := range other.allEntries() {
					d.merge(entry)
				}
			}
		}
	}
}

// runFor lets the given time pass and calls gossip once a second.
func (f *testFleet) runFor(duration time.Duration) {
	for range duration / time.Second {
		time.Sleep(time.Second)
		f.gossip()
	}
}

// stopAll stops all running daemons.
func (f *testFleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		d.stop()
	}
}

func (d *daemon) isDisconnected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.disconnected
}

// delayAnswer blocks while the daemon is paused, and then for extra if it was paused.
func (d *daemon) delayAnswer(extra time.Duration) {
	for waited := false; ; waited = true {
		d.mu.Lock()
		paused := d.paused
		d.mu.Unlock()
		if !paused && waited {
			time.Sleep(extra)
		}
		if !paused {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// setPaused pauses or resumes the daemon. A paused daemon is also disconnected.
func (d *daemon) setPaused(paused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused, d.disconnected = paused, paused
}

func (d *daemon) setDisconnected(cut bool) {
	d.fleet.mu.Lock()
	for _, other := range d.fleet.daemons {
		other.mu.Lock()
		other.peerContact = time.Now()
		other.mu.Unlock()
	}
	d.fleet.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disconnected = cut
}

// installedVersion returns the installed version, or 0.
func (d *daemon) installedVersion() uint64 {
	if configuration := d.loader.Current(); configuration != nil {
		return configuration.Version
	}

	return 0
}

func (d *daemon) IsRelay() bool { return d.relay }

// LastPeerContact returns the present time if another daemon can answer, or else when the
// last one was disconnected.
func (d *daemon) LastPeerContact() time.Time {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	for _, other := range d.fleet.daemons {
		if other != d && !other.isDisconnected() && !d.isDisconnected() {
			return time.Now()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.peerContact
}

func (d *daemon) allEntries() []fleet.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []fleet.Entry
	for _, entry := range d.entries {
		entries = append(entries, entry)
	}

	return entries
}

// merge adds an entry to the daemon's copy if it is newer, and signals subscribers.
func (d *daemon) merge(entry fleet.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := fmt.Sprint(entry.Kind, entry.Key)
	if old, ok := d.entries[id]; ok && !entry.Newer(old) {
		return
	}
	d.entries[id] = entry
	for changed, kind := range d.subscribers {
		if kind == entry.Kind {
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	}
}

// Publish merges an entry and records the version of each published head.
func (d *daemon) Publish(entry fleet.Entry) {
	if entry.Kind == fleet.KindHead {
		d.mu.Lock()
		d.versions = append(d.versions, entry.Version)
		d.mu.Unlock()
	}
	d.merge(entry)
}

func (d *daemon) Range(kind fleet.EntryKind, visit func(fleet.Entry)) {
	for _, entry := range d.allEntries() {
		if entry.Kind == kind {
			visit(entry)
		}
	}
}

func (d *daemon) Subscribe(kind fleet.EntryKind) (<-chan struct{}, func()) {
	changed := make(chan struct{}, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers[changed] = kind

	return changed, func() {}
}

// Call passes a request for a part to another daemon. It blocks until ctx ends if
// either of the two is disconnected.
func (d *daemon) Call(ctx context.Context, name string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	d.fleet.mu.Lock()
	other := d.fleet.daemons[name]
	d.fleet.mu.Unlock()
	if d.isDisconnected() || other == nil || other.isDisconnected() {
		<-ctx.Done()

		return nil, false
	}
	other.mu.Lock()
	loader := other.loader
	other.mu.Unlock()
	if loader == nil { // not started yet
		return nil, false
	}

	part := loader.HandleFetchPart(frame.GetFetchPart())
	time.Sleep(time.Millisecond)
	d.delayAnswer(0)

	return &peerpb.Frame{Body: &peerpb.Frame_Part{Part: part}}, true
}

// faultyStore is the store as one daemon reaches it, with that daemon's faults.
type faultyStore struct {
	*platform.Store
	daemon *daemon
}

func (s faultyStore) Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	s.daemon.mu.Lock()
	refused := s.daemon.disconnected || kind == publication.PartKind && s.daemon.failPartReads > 0
	s.daemon.failPartReads--
	s.daemon.mu.Unlock()
	if refused {
		return fleet.Object{}, fleet.StoreUnavailable
	}

	object, outcome := s.Store.Get(ctx, kind, name)
	s.daemon.delayAnswer(resumedReadDelay)

	return object, outcome
}

func (s faultyStore) Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	s.daemon.mu.Lock()
	refused := s.daemon.disconnected || s.daemon.failPuts > 0
	s.daemon.failPuts--
	s.daemon.mu.Unlock()
	if refused {
		return fleet.StoreUnavailable
	}

	return s.Store.Put(ctx, object, condition)
}

func (s faultyStore) Watch(ctx context.Context, kind string, afterVersion uint64) ([]fleet.Object, fleet.StoreOutcome) {
	if s.daemon.isDisconnected() {
		return nil, fleet.StoreUnavailable
	}
	objects, outcome := s.Store.Watch(ctx, kind, afterVersion)
	s.daemon.mu.Lock()
	cut := s.daemon.disconnected && !s.daemon.paused
	s.daemon.mu.Unlock()
	if cut {
		return nil, fleet.StoreUnavailable
	}
	s.daemon.delayAnswer(resumedReadDelay)

	return objects, outcome
}

// publish publishes a configuration whose content depends on n.
func (f *testFleet) publish(t *testing.T, n int) {
	t.Helper()
	content := fmt.Sprintf("Team = T\n[ClientAccount A]\nRate = %d/s\nBurst = 1\n", n+1)
	change := publication.Change{ID: uuid.NewSHA1(uuid.Nil, fmt.Append(nil, n)), Files: []teamfile.File{{Name: "t.ini", Content: []byte(content)}}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if got := publication.NewPublisher(f.store, rand.New(rand.NewPCG(1, 2))).Publish(ctx, change); got.Outcome != publication.Accepted {
		t.Fatalf("got %v, want Accepted", got.Outcome)
	}
}

// expectVersion checks the installed version of the named daemons. The parameter when
// describes the situation in the error.
func (f *testFleet) expectVersion(t *testing.T, when string, want uint64, names ...string) {
	t.Helper()
	for _, name := range names {
		if got := f.daemons[name].installedVersion(); got != want {
			t.Errorf("%s: got version %d on %s, want %d", when, got, name, want)
		}
	}
}
