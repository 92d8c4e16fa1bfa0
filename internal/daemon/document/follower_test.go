package document

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	kind = "Config"
	name = "Main"
	// inForce is within which a change has to be installed.
	inForce = 2 * time.Second
)

// decode reads a version; everything else cannot be read.
func decode(value []byte) (*fleet.Configuration, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("read the version: %w", err)
	}

	return &fleet.Configuration{Version: version}, nil
}

// store is a fake of the store with one object.
type store struct {
	mu       sync.Mutex
	value    string
	revision uint64
	changed  chan struct{}
	outcome  fleet.StoreOutcome
	// silent makes watches, compacted all but the next read of history.
	silent    bool
	compacted bool
	watches   int
	pages     int
	stale     int
}

func newStore(value string) *store {
	return &store{value: value, revision: 1, changed: make(chan struct{}), outcome: fleet.StoreOK}
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) Page(_ context.Context, _, _ string, stale bool) (fleet.ObjectPage, fleet.StoreOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages++
	if stale {
		s.stale++
	}
	if s.outcome != fleet.StoreOK {
		return fleet.ObjectPage{}, s.outcome
	}

	return fleet.ObjectPage{Revision: s.revision, Objects: []fleet.Object{
		{Kind: kind, Name: "Other", Value: []byte("99")}, {Kind: kind, Name: name, Value: []byte(s.value), Version: s.revision},
	}}, fleet.StoreOK
}

func (s *store) Events(
	ctx context.Context, _ string, after uint64, wait time.Duration,
) (fleet.ObjectEvents, fleet.StoreOutcome) {
	s.mu.Lock()
	s.watches++
	changed, silent, outcome, compacted, revision := s.changed, s.silent, s.outcome, s.compacted, s.revision
	s.compacted = false
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()

		return fleet.ObjectEvents{}, fleet.StoreUnavailable
	case outcome != fleet.StoreOK:
		return fleet.ObjectEvents{}, outcome
	case compacted:
		return fleet.ObjectEvents{}, fleet.StoreCompacted
	case revision == after:
		select {
		case <-changed:
		case <-time.After(wait):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	events := fleet.ObjectEvents{Revision: s.revision}
	if s.revision > after {
		events.Events = []fleet.ObjectEvent{{Object: fleet.Object{Kind: kind, Name: name, Value: []byte(s.value)}}}
	}

	return events, fleet.StoreOK
}

// others is a fake of the other daemons.
type others struct {
	mu    sync.Mutex
	relay bool
	away  bool
	head  []fleet.Entry
	woken chan struct{}
	// value is what they have.
	value string
	calls int
}

func (o *others) Publish(entry fleet.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head = append(o.head, entry)
}

func (o *others) Range(_ fleet.EntryKind, visit func(fleet.Entry)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, entry := range o.head {
		visit(entry)
	}
}

func (o *others) Subscribe(fleet.EntryKind) (<-chan struct{}, func()) { return o.woken, func() {} }

func (o *others) PeersOwnZoneFirst(count int) []string { return []string{"b", "c", "d"}[:count] }

func (o *others) IsRelay() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.relay
}

func (o *others) SetStoreUnavailable(away bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.away = away
}

func (o *others) Call(ctx context.Context, daemon string, _ *peerpb.Frame) (*peerpb.Frame, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	if daemon == "b" { // does not answer
		o.mu.Unlock()
		<-ctx.Done()
		o.mu.Lock()

		return nil, false
	}

	return &peerpb.Frame{Body: &peerpb.Frame_Part{Part: &peerpb.Part{Found: true, Value: []byte(o.value)}}}, true
}

// publish lets the other daemons have a version and tell of it.
func (o *others) publish(version uint64) {
	o.mu.Lock()
	o.value = strconv.FormatUint(version, 10)
	o.head = append(o.head, headEntry(version, "hash"))
	o.mu.Unlock()
	o.woken <- struct{}{}
}

// follow starts a follower and returns what it logs.
func follow(s *store, o *others) (*Follower, *bytes.Buffer, func()) {
	log := &bytes.Buffer{}
	f, end := New(Dependencies{
		Source: Source{Kind: kind, Name: name, Decode: decode}, Store: s, Entries: o, Peers: o, Members: o,
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.NewTextHandler(log, nil)),
	})

	return f, log, end
}

// Guards against a version that is not in force in time, whatever happens to the
// watch, to the relays or to the store.
func TestChangesComeInTime(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		relay bool
		steps func(s *store, o *others)
	}{
		{"a relay's watch", true, func(s *store, _ *others) { s.set(func() { s.value = "2" }) }},
		{"a watch that goes silent", true, func(s *store, _ *others) {
			s.set(func() { s.silent = true })
			time.Sleep(100 * time.Millisecond)
			s.set(func() { s.value, s.silent = "2", false })
		}},
		{"history dropped", true, func(s *store, _ *others) { s.set(func() { s.value, s.compacted = "2", true }) }},
		{"the store is back", true, func(s *store, _ *others) {
			s.set(func() { s.outcome = fleet.StoreUnavailable })
			time.Sleep(time.Minute)
			s.set(func() { s.outcome, s.value = fleet.StoreOK, "2" })
		}},
		{"through other daemons", false, func(_ *store, o *others) { o.publish(2) }},
		{"through other daemons while the store is away", true, func(s *store, o *others) {
			s.set(func() { s.outcome = fleet.StoreUnavailable })
			time.Sleep(time.Minute)
			o.publish(2)
		}},
		{"a daemon that becomes a relay", false, func(s *store, o *others) {
			o.mu.Lock()
			o.relay = true
			o.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			s.set(func() { s.value = "2" })
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s, o := newStore("1"), &others{relay: tt.relay, woken: make(chan struct{}, 1)}
				f, _, end := follow(s, o)
				defer end()
				time.Sleep(time.Second)
				if got := f.version(); got != 1 {
					t.Fatalf("at the start: got version %d, want 1", got)
				}
				tt.steps(s, o)
				time.Sleep(inForce)
				if got := f.version(); got != 2 {
					t.Errorf("got version %d within %v, want 2", got, inForce)
				}
			})
		})
	}
}

// Guards against a version that goes back, an unreadable one that takes the place
// of a good one or is logged again and again, and daemons that wait for the store
// while others have the configuration.
func TestInstall(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, o := newStore("5"), &others{relay: true, woken: make(chan struct{}, 1)}
		f, log, end := follow(s, o)
		defer end()
		changed, unsubscribe := f.Subscribe()
		defer unsubscribe()
		time.Sleep(time.Second)
		for _, value := range []string{"4", "not a number", "5"} {
			s.set(func() { s.value = value })
			time.Sleep(10 * time.Second)
		}
		if got := f.version(); got != 5 {
			t.Errorf("got version %d, want 5", got)
		}
		<-changed
		select {
		case <-changed:
			t.Error("got a second signal, want one for one version")
		default:
		}
		if got := strings.Count(log.String(), "configuration refused"); got != 1 {
			t.Errorf("got %d lines about the unreadable version, want 1", got)
		}
		if got := f.HandleFetchPart(&peerpb.FetchPart{}); string(got.GetValue()) != "5" {
			t.Errorf("got %q for another daemon, want 5", got.GetValue())
		}
	})
}

// Guards against daemons that do not tell that the store does not answer them,
// and against a lost or regained store without a line in the log.
func TestStoreAway(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, o := newStore("1"), &others{relay: true, woken: make(chan struct{}, 1)}
		f, log, end := follow(s, o)
		defer end()
		time.Sleep(time.Second)
		for _, outcome := range []fleet.StoreOutcome{fleet.StoreUnavailable, fleet.StoreOK} {
			s.set(func() { s.outcome = outcome })
			time.Sleep(5 * time.Second)
			o.mu.Lock()
			if want := outcome != fleet.StoreOK; o.away != want {
				t.Errorf("got told away %v, want %v", o.away, want)
			}
			o.mu.Unlock()
		}
		for _, line := range []string{"dependency lost", "dependency regained"} {
			if got := strings.Count(log.String(), line); got != 1 {
				t.Errorf("got %d lines %q, want 1", got, line)
			}
		}
		if since := time.Since(f.LastStoreContact()); since > 2*watchWait {
			t.Errorf("got the last contact %v ago, want less than %v", since, 2*watchWait)
		}
	})
}

// Guards against daemons that all load the store: those that are no relays read
// now and then, from a replica.
func TestOthersSpareTheStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, o := newStore("1"), &others{woken: make(chan struct{}, 1)}
		_, _, end := follow(s, o)
		defer end()
		time.Sleep(time.Minute)
		s.mu.Lock()
		defer s.mu.Unlock()
		if most := int(time.Minute/(pollPause/2)) + 1; s.watches > 0 || s.pages > most || s.stale < s.pages-1 {
			t.Errorf("got %d watches and %d reads, %d of them from a replica, want none, at most %d, and all but the first",
				s.watches, s.pages, s.stale, most)
		}
	})
}
