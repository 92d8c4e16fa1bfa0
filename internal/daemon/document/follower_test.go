package document

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
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
	objectKind = "Config"
	objectName = "Main"
	// installLimit is the time within which a change must be installed.
	installLimit = 2 * time.Second
)

// decodeVersion decodes a configuration that consists only of its version in decimal.
func decodeVersion(value []byte) (*fleet.Configuration, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("read the version: %w", err)
	}

	return &fleet.Configuration{Version: version}, nil
}

// fakeStore is a fake store with one configuration object.
type fakeStore struct {
	mu       sync.Mutex
	value    string
	revision uint64
	changed  chan struct{}
	outcome  fleet.StoreOutcome
	// dropWatches leaves watches without an answer.
	dropWatches bool
	// compacted makes the next watch fail with StoreCompacted, as after the store has
	// dropped the changes that the watch asks for.
	compacted bool
	// watchCalls and pageReads count calls.
	watchCalls int
	pageReads  int
}

func newStore(value string) *fakeStore {
	return &fakeStore{value: value, revision: 1, changed: make(chan struct{}), outcome: fleet.StoreOK}
}

// update applies a change under the lock, raises the revision and wakes watches.
func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Page(context.Context, string, string, bool) (fleet.ObjectPage, fleet.StoreOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageReads++
	if s.outcome != fleet.StoreOK {
		return fleet.ObjectPage{}, s.outcome
	}

	return fleet.ObjectPage{Revision: s.revision, Objects: []fleet.Object{
		{Kind: objectKind, Name: "Other", Value: []byte("99")}, {Kind: objectKind, Name: objectName, Value: []byte(s.value), Version: s.revision},
	}}, fleet.StoreOK
}

func (s *fakeStore) Events(
	ctx context.Context, _ string, after uint64, wait time.Duration,
) (fleet.ObjectEvents, fleet.StoreOutcome) {
	s.mu.Lock()
	s.watchCalls++
	changed, dropWatches, outcome, compacted, revision := s.changed, s.dropWatches, s.outcome, s.compacted, s.revision
	s.compacted = false
	s.mu.Unlock()
	switch {
	case dropWatches:
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
		events.Events = []fleet.ObjectEvent{{Object: fleet.Object{Kind: objectKind, Name: objectName, Value: []byte(s.value)}}}
	}

	return events, fleet.StoreOK
}

// fakePeers is a fake of the other daemons and of the entries that they replicate.
type fakePeers struct {
	mu    sync.Mutex
	relay bool
	// silent means that no daemon answers this one.
	silent           bool
	storeUnavailable bool
	heads            []fleet.Entry
	headChanged      chan struct{}
	// value is the value that the daemons have installed.
	value string
	// source, if set, answers requests for values in place of value, after callDelay each
	// way.
	source    *Follower
	callDelay time.Duration
	calls     int
}

func (p *fakePeers) Publish(entry fleet.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heads = append(p.heads, entry)
}

func (p *fakePeers) Range(_ fleet.EntryKind, visit func(fleet.Entry)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.heads {
		visit(entry)
	}
}

func (p *fakePeers) Subscribe(fleet.EntryKind) (<-chan struct{}, func()) {
	return p.headChanged, func() {}
}

func (p *fakePeers) PeersOwnZoneFirst(count int) []string { return []string{"b", "c", "d"}[:count] }

func (p *fakePeers) IsRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.relay
}

func (p *fakePeers) LastPeerContact() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		return time.Time{}
	}

	return time.Now()
}

// silence makes all daemons fall silent.
func (p *fakePeers) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func (p *fakePeers) SetStoreUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeUnavailable = unavailable
}

func (p *fakePeers) Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	if p.source != nil {
		time.Sleep(p.callDelay)
		part := p.source.HandleFetchPart(frame.GetFetchPart())
		time.Sleep(p.callDelay)

		return &peerpb.Frame{Body: &peerpb.Frame_Part{Part: part}}, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if daemon == "b" { // does not answer
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()

		return nil, false
	}

	return &peerpb.Frame{Body: &peerpb.Frame_Part{Part: &peerpb.Part{Found: true, Value: []byte(p.value)}}}, true
}

// publish installs a version on the other daemons and publishes its head.
func (p *fakePeers) publish(version uint64) {
	p.mu.Lock()
	p.value = strconv.FormatUint(version, 10)
	p.mu.Unlock()
	p.announce(version)
}

// announce publishes the head of a version.
func (p *fakePeers) announce(version uint64) {
	sum := sha256.Sum256([]byte(strconv.FormatUint(version, 10)))
	p.mu.Lock()
	p.heads = append(p.heads, headEntry(version, hex.EncodeToString(sum[:])))
	p.mu.Unlock()
	select {
	case p.headChanged <- struct{}{}:
	default:
	}
}

// startFollower starts a follower and returns it with its log and a function that
// stops it.
func startFollower(s *fakeStore, p *fakePeers) (*Follower, *bytes.Buffer, func()) {
	log := &bytes.Buffer{}
	f, stop := New(Dependencies{
		Source: Source{Kind: objectKind, Name: objectName, Decode: decodeVersion}, MaxDelay: installLimit, Store: s, Entries: p, Peers: p, Members: p,
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.NewTextHandler(log, nil)),
	})

	return f, log, stop
}

// Guards against a version that is not installed in time when a watch fails, a relay is
// replaced or the store is unavailable.
func TestChangesArriveInTime(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		relay bool
		steps func(s *fakeStore, o *fakePeers)
		// want is the version to install, or 0 for version 2.
		want uint64
	}{
		{"a relay's watch", true, func(s *fakeStore, _ *fakePeers) { s.update(func() { s.value = "2" }) }, 0},
		{"a watch without an answer", true, func(s *fakeStore, _ *fakePeers) {
			s.update(func() { s.dropWatches = true })
			time.Sleep(100 * time.Millisecond)
			s.update(func() { s.value, s.dropWatches = "2", false })
		}, 0},
		{"history dropped", true, func(s *fakeStore, _ *fakePeers) { s.update(func() { s.value, s.compacted = "2", true }) }, 0},
		{"after a store outage", true, func(s *fakeStore, _ *fakePeers) {
			s.update(func() { s.outcome = fleet.StoreUnavailable })
			time.Sleep(time.Minute)
			s.update(func() { s.outcome, s.value = fleet.StoreOK, "2" })
		}, 0},
		{"a watch of a daemon that is no relay", false, func(s *fakeStore, _ *fakePeers) { s.update(func() { s.value = "2" }) }, 0},
		{"a watch without an answer at a daemon that no other answers", false, func(s *fakeStore, p *fakePeers) {
			s.update(func() { s.dropWatches = true })
			time.Sleep(100 * time.Millisecond)
			p.silence()
			s.update(func() { s.value, s.dropWatches = "2", false })
		}, 0},
		{"a watch without an answer that other daemons make up for", false, func(s *fakeStore, p *fakePeers) {
			s.update(func() { s.dropWatches = true })
			time.Sleep(100 * time.Millisecond)
			p.publish(2)
			time.Sleep(installLimit)
			p.silence()
			s.update(func() { s.value, s.dropWatches = "3", false })
		}, 3},
		{"through other daemons", false, func(_ *fakeStore, p *fakePeers) { p.publish(2) }, 0},
		{"through other daemons during a store outage", true, func(s *fakeStore, p *fakePeers) {
			s.update(func() { s.outcome = fleet.StoreUnavailable })
			time.Sleep(time.Minute)
			p.publish(2)
		}, 0},
		{"a daemon that becomes a relay", false, func(s *fakeStore, p *fakePeers) {
			p.mu.Lock()
			p.relay = true
			p.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			s.update(func() { s.value = "2" })
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s, p := newStore("1"), &fakePeers{relay: tt.relay, headChanged: make(chan struct{}, 1)}
				f, _, stop := startFollower(s, p)
				defer stop()
				time.Sleep(time.Second)
				if got := f.installedVersion(); got != 1 {
					t.Fatalf("at the start: got version %d, want 1", got)
				}
				tt.steps(s, p)
				time.Sleep(installLimit)
				want := cmp.Or(tt.want, 2)
				if got := f.installedVersion(); got != want {
					t.Errorf("got version %d within %v, want %d", got, installLimit, want)
				}
			})
		})
	}
}

// Guards against a daemon that depends on others for changes that the store would tell it:
// one that is cut off from all of them, at whatever moment a change is made.
func TestChangesArriveWithoutPeers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, p := newStore("1"), &fakePeers{silent: true, headChanged: make(chan struct{}, 1)}
		f, _, stop := startFollower(s, p)
		defer stop()
		time.Sleep(time.Second)
		for version := uint64(2); version < 50; version++ {
			s.update(func() { s.value = strconv.FormatUint(version, 10) })
			time.Sleep(installLimit)
			if got := f.installedVersion(); got != version {
				t.Errorf("got version %d within %v, want %d", got, installLimit, version)
			}
			time.Sleep(time.Duration(version) * 137 * time.Millisecond)
		}
	})
}

// Guards against a daemon that falls behind while versions follow each other faster than
// they spread: when it asks for a version, the others have installed the next one.
func TestFetchOfReplacedVersion(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const interval, announceDelay, callDelay = 100 * time.Millisecond, 150 * time.Millisecond, 30 * time.Millisecond
		served, source := newStore("1"), &fakePeers{headChanged: make(chan struct{}, 1)}
		ahead, _, stop := startFollower(served, source)
		defer stop()
		away, peers := newStore("1"), &fakePeers{headChanged: make(chan struct{}, 1), source: ahead, callDelay: callDelay}
		f, _, stop := startFollower(away, peers)
		defer stop()
		time.Sleep(time.Second)
		away.update(func() { away.outcome = fleet.StoreUnavailable })
		for version := uint64(2); version < 100; version++ {
			served.update(func() { served.value = strconv.FormatUint(version, 10) })
			time.AfterFunc(announceDelay, func() { peers.announce(version) })
			time.Sleep(interval)
			if due := version - min(version, uint64(installLimit/interval)); f.installedVersion() < due {
				t.Fatalf("got version %d, want at least %d, which was installed elsewhere %v ago", f.installedVersion(), due, installLimit)
			}
		}
	})
}

// Guards against a reverted version, against an undecodable value that replaces a valid
// one or is logged repeatedly, and against a daemon that does not serve its installed
// value, so that others wait for the store.
func TestInstall(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, p := newStore("5"), &fakePeers{relay: true, headChanged: make(chan struct{}, 1)}
		f, log, stop := startFollower(s, p)
		defer stop()
		changed, unsubscribe := f.Subscribe()
		defer unsubscribe()
		time.Sleep(time.Second)
		for _, value := range []string{"4", "not a number", "5"} {
			s.update(func() { s.value = value })
			time.Sleep(10 * time.Second)
		}
		if got := f.installedVersion(); got != 5 {
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

// Guards against a daemon that does not report to the fleet that the store fails to
// answer it, and against a lost or restored store that is not logged.
func TestStoreUnavailable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, p := newStore("1"), &fakePeers{relay: true, headChanged: make(chan struct{}, 1)}
		f, log, stop := startFollower(s, p)
		defer stop()
		time.Sleep(time.Second)
		for _, outcome := range []fleet.StoreOutcome{fleet.StoreUnavailable, fleet.StoreOK} {
			s.update(func() { s.outcome = outcome })
			time.Sleep(5 * time.Second)
			p.mu.Lock()
			if want := outcome != fleet.StoreOK; p.storeUnavailable != want {
				t.Errorf("got store unavailable %v reported to the fleet, want %v", p.storeUnavailable, want)
			}
			p.mu.Unlock()
		}
		for _, line := range []string{"dependency lost", "dependency regained"} {
			if got := strings.Count(log.String(), line); got != 1 {
				t.Errorf("got %d lines %q, want 1", got, line)
			}
		}
		if since := time.Since(f.LastStoreContact()); since > installLimit {
			t.Errorf("got the last contact %v ago, want less than %v", since, installLimit)
		}
	})
}

// Guards against more calls than the store sustains: 2,000 a second from 3,500 daemons, in
// which changes must be installed within 17 s, while nothing changes and just after a
// change, also if the daemons do not hear from each other.
func TestStoreCallsOfLargeFleet(t *testing.T) {
	t.Parallel()
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			// A tenth of the fleet makes a tenth of the calls.
			const daemons, maxDelay, sustained = 3500 / 10, 17 * time.Second, 2000 / 10
			s, p := newStore("1"), &fakePeers{silent: silent}
			for i := range daemons {
				_, stop := New(Dependencies{
					Source:   Source{Kind: objectKind, Name: objectName, Decode: decodeVersion},
					MaxDelay: maxDelay, Store: s, Entries: p, Peers: p, Members: p,
					Random: rand.New(rand.NewPCG(1, uint64(i))), Log: slog.New(slog.DiscardHandler),
				})
				defer stop()
				time.Sleep(10 * time.Millisecond) // daemons do not start at the same moment
			}
			calls := func() int {
				s.mu.Lock()
				defer s.mu.Unlock()

				return s.watchCalls + s.pageReads
			}
			time.Sleep(time.Minute)
			before := calls()
			time.Sleep(time.Minute)
			if got, most := calls()-before, sustained*60; got > most {
				t.Errorf("silent %v: got %d calls in a minute without changes, want at most %d", silent, got, most)
			}
			s.update(func() { s.value = "2" })
			for range 5 {
				before = calls()
				time.Sleep(time.Second)
				if got := calls() - before; got > sustained {
					t.Errorf("silent %v: got %d calls in a second after a change, want at most %d", silent, got, sustained)
				}
			}
		})
	}
}

// Guards against excessive load on the store from daemons that are not relays. Other
// daemons notice for them that a watch has died, so they need few calls.
func TestNonRelaysLimitStoreReads(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, p := newStore("1"), &fakePeers{headChanged: make(chan struct{}, 1)}
		_, _, stop := startFollower(s, p)
		defer stop()
		time.Sleep(time.Minute)
		s.mu.Lock()
		defer s.mu.Unlock()
		if most := int(time.Minute/longWait) + 1; s.watchCalls > most || s.pageReads > 1 {
			t.Errorf("got %d watches and %d reads, want at most %d and 1", s.watchCalls, s.pageReads, most)
		}
	})
}
