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

// effect is the time in which a change takes effect everywhere (section 1.3).
const effect = 17 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// storeLate lets a resumed daemon hear newer versions from its peers before an
// old answer of the store arrives.
const storeLate = 3 * time.Second

// daemon is one loader with its copy of the replicated set.
type daemon struct {
	fleet *testFleet
	name  string
	relay bool

	mu          sync.Mutex
	cut         bool // from the store and from peers
	paused      bool // answers reach it only after it resumed
	refuse      int  // next reads of parts that fail
	refusePuts  int  // next writes that fail
	entries     map[string]fleet.Entry
	subscribers map[chan struct{}]fleet.EntryKind
	versions    []uint64 // as installed
	loader      *Loader
	stop        func()
}

type testFleet struct {
	store   *platform.Store
	mu      sync.Mutex
	daemons map[string]*daemon
	retired []*daemon // stopped by a restart
	count   uint64
}

func newFleet() *testFleet {
	return &testFleet{store: platform.New(rand.New(rand.NewPCG(1, 2))), daemons: map[string]*daemon{}}
}

func (f *testFleet) start(name string, relay bool) *daemon {
	d := &daemon{fleet: f, name: name, relay: relay, entries: map[string]fleet.Entry{}, subscribers: map[chan struct{}]fleet.EntryKind{}}
	f.mu.Lock()
	f.count++
	seed := f.count
	for _, other := range f.daemons {
		for _, entry := range other.all() {
			d.merge(entry)
		}
	}
	f.daemons[name] = d
	f.mu.Unlock()
	d.Publish(fleet.Entry{Kind: fleet.KindMember, Key: name, Incarnation: seed, Value: marshal(&peerpb.Member{Name: name})})
	loader, stop := New(Dependencies{
		Name: name, Store: cutStore{f.store, d}, Entries: d, Peers: d, Membership: d,
		Random: rand.New(rand.NewPCG(seed, 3)), Log: slog.New(slog.DiscardHandler),
	})
	d.mu.Lock()
	d.loader, d.stop = loader, stop
	d.mu.Unlock()

	return d
}

// gossip repairs missed updates between daemons that are not cut off.
func (f *testFleet) gossip() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		for _, other := range f.daemons {
			if !d.isCut() && !other.isCut() {
				for _, entry := range other.all() {
					d.merge(entry)
				}
			}
		}
	}
}

// settle lets time pass with gossip once a second.
func (f *testFleet) settle(duration time.Duration) {
	for range duration / time.Second {
		time.Sleep(time.Second)
		f.gossip()
	}
}

func (f *testFleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		d.stop()
	}
}

func (d *daemon) isCut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.cut
}

// hold delays an answer while the daemon is paused, and further by late.
func (d *daemon) hold(late time.Duration) {
	for held := false; ; held = true {
		d.mu.Lock()
		paused := d.paused
		d.mu.Unlock()
		if !paused && held {
			time.Sleep(late)
		}
		if !paused {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (d *daemon) setPaused(paused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused, d.cut = paused, paused
}

func (d *daemon) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
}

func (d *daemon) version() uint64 {
	if configuration := d.loader.Current(); configuration != nil {
		return configuration.Version
	}

	return 0
}

func (d *daemon) IsRelay() bool { return d.relay }

func (d *daemon) all() []fleet.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []fleet.Entry
	for _, entry := range d.entries {
		entries = append(entries, entry)
	}

	return entries
}

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

func (d *daemon) Publish(entry fleet.Entry) {
	if entry.Kind == fleet.KindHead {
		d.mu.Lock()
		d.versions = append(d.versions, entry.Version)
		d.mu.Unlock()
	}
	d.merge(entry)
}

func (d *daemon) Range(kind fleet.EntryKind, visit func(fleet.Entry)) {
	for _, entry := range d.all() {
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

func (d *daemon) Call(ctx context.Context, name string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	d.fleet.mu.Lock()
	other := d.fleet.daemons[name]
	d.fleet.mu.Unlock()
	if d.isCut() || other == nil || other.isCut() {
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
	d.hold(0)

	return &peerpb.Frame{Body: &peerpb.Frame_Part{Part: part}}, true
}

// cutStore is the store as a daemon reaches it.
type cutStore struct {
	*platform.Store
	daemon *daemon
}

func (s cutStore) Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	s.daemon.mu.Lock()
	refused := s.daemon.cut || kind == publication.PartKind && s.daemon.refuse > 0
	s.daemon.refuse--
	s.daemon.mu.Unlock()
	if refused {
		return fleet.Object{}, fleet.StoreUnavailable
	}

	object, outcome := s.Store.Get(ctx, kind, name)
	s.daemon.hold(storeLate)

	return object, outcome
}

func (s cutStore) Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	s.daemon.mu.Lock()
	refused := s.daemon.cut || s.daemon.refusePuts > 0
	s.daemon.refusePuts--
	s.daemon.mu.Unlock()
	if refused {
		return fleet.StoreUnavailable
	}

	return s.Store.Put(ctx, object, condition)
}

func (s cutStore) Watch(ctx context.Context, kind string, since uint64) ([]fleet.Object, fleet.StoreOutcome) {
	if s.daemon.isCut() {
		return nil, fleet.StoreUnavailable
	}
	objects, outcome := s.Store.Watch(ctx, kind, since)
	s.daemon.mu.Lock()
	cut := s.daemon.cut && !s.daemon.paused
	s.daemon.mu.Unlock()
	if cut {
		return nil, fleet.StoreUnavailable
	}
	s.daemon.hold(storeLate)

	return objects, outcome
}

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

func (f *testFleet) expect(t *testing.T, when string, want uint64, names ...string) {
	t.Helper()
	for _, name := range names {
		if got := f.daemons[name].version(); got != want {
			t.Errorf("%s: got version %d on %s, want %d", when, got, name, want)
		}
	}
}
