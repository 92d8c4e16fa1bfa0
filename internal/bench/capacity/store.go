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
	// watchesPerSecond is of one relay's two watches, which wait 20 s each.
	watchesPerSecond = 2.0 / 20
	// outageLength lets the waiting daemons reach their longest retry interval.
	outageLength = 12 * time.Second
	storeTeams   = 40
	// wholeReads is the reads of a daemon that reads the whole configuration from
	// the store: the manifest, its 64 buckets and the file of each team. A
	// publisher reads the same.
	wholeReads = 1 + 64 + services
	// startWindow is in what time the daemons that start have to have their
	// configuration: the time in which a change has to be in effect.
	startWindow = 17.0
)

// storeMeasures counts calls of the whole fleet. Simulated daemons are the
// loaders of internal/daemon/configuration at the stand-in.
func storeMeasures() []measure {
	clients := []int{10, 50, 100}
	fleetWide := func(what, per, mechanism string, sizes []int, target, rate float64, cost func(int) float64) measure {
		return measure{role: "store", what: what, unit: reads, per: per, mechanism: mechanism, sizes: sizes, target: target, rate: rate, cost: cost}
	}
	// With 400 teams or more, all 64 buckets of the manifest are in use.
	perSecond := float64(changesPerDay) / secondsPerDay

	return []measure{
		fleetWide("ordinary: watches (derived)", "relay", "two relays per zone, two watches each", clients, relays, watchesPerSecond,
			func(n int) float64 { return float64(n) }),
		fleetWide("ordinary: a change read by relays, 6,700 a day", "relay", "publication.Load", clients, relays, perSecond, changeReads),
		fleetWide("ordinary: publications, 6,700 a day", "team", "publisher reads the whole configuration", []int{400, 800, 1600}, services, perSecond, publicationReads),
		fleetWide("a zone returns: configuration within 17 s", "daemon", "peers first", clients, daemons/zones, 1/startWindow,
			func(n int) float64 { return starting(n, true).calls }),
		fleetWide("outage: daemons without configuration wait", "daemon", "retry up to every 5 s", clients, daemons, 1,
			func(n int) float64 { return waiting(n).rate }),
		fleetWide("back after an outage: configuration of 40 teams within 17 s", "daemon", "peers first, then the store", clients, daemons, 1/startWindow,
			func(n int) float64 { return waiting(n).calls }),
		fleetWide("back after an outage: configuration of 6,700 teams within 17 s (scaled)", "daemon", "peers first, then the store", clients, daemons, 1/startWindow,
			func(n int) float64 { return waiting(n).calls * wholeReads / publicationReads(storeTeams) }),
		fleetWide("new fleet: daemons without owners (derived)", "daemon", "one read a second", clients, daemons, 1,
			func(n int) float64 { return float64(n) }),
	}
}

// swarm is a set of loaders at one stand-in of the store. Entries are known to
// all at once.
type swarm struct {
	store *platform.Store

	mu      sync.Mutex
	entries map[string]fleet.Entry
	watched map[chan struct{}]fleet.EntryKind
	loaders map[string]*configuration.Loader
	stops   []func()
}

func newSwarm(teams int) *swarm {
	s := &swarm{
		store:   platform.New(rand.New(rand.NewPCG(1, 1))), //nolint:gosec // not for secrets
		entries: map[string]fleet.Entry{}, watched: map[chan struct{}]fleet.EntryKind{}, loaders: map[string]*configuration.Loader{},
	}
	var files []teamfile.File
	for i := range teams {
		files = append(files, team(i, 1))
	}
	s.publish(files...)

	return s
}

func team(i, rate int) teamfile.File {
	return teamfile.File{Name: fmt.Sprint(i), Content: fmt.Appendf(nil, "Team = T%04d\n[ClientAccount A%04d]\nRate = %d/s\nBurst = 1\n", i, i, rate)}
}

func (s *swarm) publish(files ...teamfile.File) {
	publisher := publication.NewPublisher(s.store, rand.New(rand.NewPCG(1, 2))) //nolint:gosec // not for secrets
	result := publisher.Publish(context.Background(), publication.Change{ID: uuid.New(), Files: files})
	if result.Outcome != publication.Accepted {
		panic(fmt.Sprintf("publication is %v: %v", result.Outcome, result.Findings))
	}
}

// start starts loaders. Known ones are listed as members.
func (s *swarm) start(prefix string, n int, relay, known bool) {
	for i := range n {
		name := fmt.Sprintf("%s%d", prefix, i)
		if known {
			value, _ := proto.Marshal(&peerpb.Member{Name: name})
			s.Publish(fleet.Entry{Kind: fleet.KindMember, Key: name, Version: 1, Value: value})
		}
		loader, stop := configuration.New(configuration.Dependencies{
			Name: name, Store: s.store, Entries: s, Peers: s, Membership: role(relay),
			Random: rand.New(rand.NewPCG(1, uint64(i))), Log: slog.New(slog.DiscardHandler), //nolint:gosec // not for secrets
		})
		s.mu.Lock()
		s.loaders[name] = loader
		s.stops = append(s.stops, stop)
		s.mu.Unlock()
	}
}

func (s *swarm) end() {
	var stopping sync.WaitGroup
	for _, stop := range s.stops {
		stopping.Go(stop)
	}
	stopping.Wait()
}

// wait waits until all loaders have the version.
func (s *swarm) wait(version uint64) {
	for range 6000 {
		current := 0
		s.mu.Lock()
		for _, loader := range s.loaders {
			if c := loader.Current(); c != nil && c.Version >= version {
				current++
			}
		}
		all := current == len(s.loaders)
		s.mu.Unlock()
		if all {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic(fmt.Sprintf("version %d is not on all simulated daemons after 60 s", version))
}

func (s *swarm) gets() float64 {
	calls := s.store.CallCounts()

	return float64(calls.Get + calls.List)
}

type role bool

func (r role) IsRelay() bool { return bool(r) }

// Publish implements configuration.Entries.
func (s *swarm) Publish(e fleet.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprint(e.Kind, e.Key)
	if old, ok := s.entries[id]; ok && !e.Newer(old) {
		return
	}
	s.entries[id] = fleet.Entry{Kind: e.Kind, Key: e.Key, Incarnation: e.Incarnation, Version: e.Version, Value: bytes.Clone(e.Value)}
	for changed, kind := range s.watched {
		if kind == e.Kind {
			select {
			case changed <- struct{}{}:
			default: // the subscriber has yet to take the previous signal
			}
		}
	}
}

// Range implements configuration.Entries.
func (s *swarm) Range(kind fleet.EntryKind, visit func(fleet.Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.Kind == kind {
			visit(e)
		}
	}
}

// Subscribe implements configuration.Entries.
func (s *swarm) Subscribe(kind fleet.EntryKind) (<-chan struct{}, func()) {
	changed := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched[changed] = kind

	return changed, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watched, changed)
	}
}

// Call implements configuration.Peers.
func (s *swarm) Call(_ context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	s.mu.Lock()
	loader := s.loaders[daemon]
	s.mu.Unlock()
	if loader == nil {
		return nil, false
	}

	return &peerpb.Frame{Body: &peerpb.Frame_Part{Part: loader.HandleFetchPart(frame.GetFetchPart())}}, true
}

// changeReads returns the reads of n relays for the change of one team.
func changeReads(n int) float64 {
	s := newSwarm(storeTeams)
	defer s.end()
	s.start("relay", n, true, true)
	s.wait(1)
	time.Sleep(time.Second) // until nobody retries
	publisherReads := publicationReads(storeTeams)
	before := s.gets()
	s.publish(team(0, 2))
	s.wait(2)
	time.Sleep(time.Second)

	return max(0, s.gets()-before-publisherReads)
}

// publicationReads returns the reads of one publication that changes one of the
// teams.
func publicationReads(teams int) float64 {
	s := newSwarm(teams)
	before := s.gets()
	s.publish(team(0, 2))

	return s.gets() - before
}

// startup is the cost of daemons that start without a configuration.
type startup struct {
	// rate is of calls per second while the store is away.
	rate float64
	// calls is the number of reads until all have the configuration.
	calls float64
}

// starting counts the reads of n daemons that start while others run.
func starting(n int, known bool) startup {
	s := newSwarm(storeTeams)
	defer s.end()
	s.start("running", 10, false, known)
	s.wait(1)
	before := s.gets()
	s.start("returning", n, false, false)
	s.wait(1)

	return startup{calls: s.gets() - before}
}

var (
	waitedMu sync.Mutex
	waited   = map[int]startup{}
)

// waiting counts the calls of n daemons that start during an outage, in its last
// half, and their reads after it.
func waiting(n int) startup {
	waitedMu.Lock()
	defer waitedMu.Unlock()
	if known, ok := waited[n]; ok {
		return known
	}
	s := newSwarm(storeTeams)
	defer s.end()
	s.store.SetFaults(platform.Faults{Outage: true})
	s.start("waiting", n, false, true)
	time.Sleep(outageLength / 2)
	before := s.gets()
	time.Sleep(outageLength / 2)
	result := startup{rate: (s.gets() - before) / (outageLength / 2).Seconds()}
	s.store.SetFaults(platform.Faults{})
	before = s.gets()
	s.wait(1)
	result.calls = s.gets() - before
	waited[n] = result

	return result
}
