package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/peer"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// exchange connects memberships in one process.
type exchange struct {
	mu    sync.Mutex
	names map[netip.AddrPort]string
	all   map[string]*Membership
	cut   func(from, to string) bool
}

type endpoint struct {
	*exchange
	name string
}

func (e endpoint) Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	e.mu.Lock()
	to := e.all[daemon]
	cut := to == nil || e.cut != nil && (e.cut(e.name, daemon) || e.cut(daemon, e.name))
	e.mu.Unlock()
	if cut {
		<-ctx.Done()

		return nil, false
	}

	return to.Handle(ctx, e.name, frame)
}

func (e endpoint) CallAddress(ctx context.Context, address netip.AddrPort, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	e.mu.Lock()
	name := e.names[address]
	e.mu.Unlock()

	return e.Call(ctx, name, frame)
}

func (e *exchange) set(name string, m *Membership) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all[name] = m
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
}

func (e *exchange) start(i int, incarnation uint64, raised func(uint64)) (*Membership, func()) {
	name := fmt.Sprintf("d%d", i)
	m, stop := New(Settings{
		Name: name, AvailabilityZone: fmt.Sprintf("z%d", i%2), PeerAddress: address(i),
		Seeds: []netip.AddrPort{address(0)}, Incarnation: incarnation, OnIncarnationRaised: raised,
	}, endpoint{e, name}, rand.New(rand.NewPCG(uint64(i), 1)))
	e.mu.Lock()
	e.names[address(i)] = name
	e.mu.Unlock()
	e.set(name, m)

	return m, stop
}

func startFleet(size int) (*exchange, []*Membership, []func()) {
	e := &exchange{names: map[netip.AddrPort]string{}, all: map[string]*Membership{}}
	members, stops := make([]*Membership, size), make([]func(), size)
	for i := range size {
		members[i], stops[i] = e.start(i, 1, nil)
	}
	for _, m := range members {
		<-m.Joined()
	}
	time.Sleep(5 * time.Second)

	return e, members, stops
}

func stopAll(stops []func()) {
	for _, stop := range stops {
		stop()
	}
}

func key(i int, version uint64) fleet.Entry {
	return fleet.Entry{Kind: fleet.KindKey, Key: fmt.Sprint("key", i), Version: version}
}

// Guards against members or changes that do not reach everyone within the 3 s
// of R4 and R9.
func TestChangesReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, members, stops := startFleet(6)
		defer stopAll(stops)
		rumors := members[1].counters.Rumors.Value()
		members[1].Publish(key(1, 2))
		time.Sleep(2 * rumorInterval)
		if got := members[1].counters.Rumors.Value() - rumors; got < gossip.Fanout {
			t.Errorf("got %d rumors about the key, want at least %d", got, gossip.Fanout)
		}
		members[2].SetUpstreams([]fleet.Upstream{{Name: "u", Service: "s", Slots: 3, State: fleet.Draining}})
		members[3].SetConfigurationVersion(9)
		members[4].SetLeaving(true)
		time.Sleep(3 * time.Second)
		for i, m := range members {
			if e, ok := m.Get(fleet.KindKey, "key1"); !ok || e.Version != 2 {
				t.Errorf("member %d: got %v, want the withdrawn key", i, e)
			}
			if got, ok := m.Address("d4"); got != address(4) || !ok {
				t.Errorf("member %d: got address %v, want %v", i, got, address(4))
			}
			all := m.Members()
			if len(all) != 6 {
				t.Fatalf("member %d: got %d members, want 6", i, len(all))
			}
			for _, other := range all {
				switch other.Name {
				case "d2":
					if len(other.Upstreams) != 1 || other.Upstreams[0].State != fleet.Draining {
						t.Errorf("member %d: got %v, want a draining upstream", i, other.Upstreams)
					}
				case "d3":
					if other.ConfigurationVersion != 9 {
						t.Errorf("member %d: got version %d, want 9", i, other.ConfigurationVersion)
					}
				case "d4":
					if !other.Leaving || other.PeerAddress != address(4) {
						t.Errorf("member %d: got %+v, want it leaving", i, other)
					}
				}
			}
		}
	})
}

// Guards against members that are declared faulty without their 5 s, and
// against daemons that are gone but still count after 17 s; a leaving one must
// be known as gone within 3 s (R9).
func TestFailureAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, members, stops := startFleet(6)
		defer stopAll(stops)
		stops[5]()
		e.set("d5", nil)
		time.Sleep(gossip.SuspicionTimeout - time.Millisecond)
		if got, _ := members[0].Status("d5"); got == gossip.Faulty {
			t.Error("got Faulty before the suspicion timeout")
		}
		time.Sleep(12 * time.Second)
		if got, _ := members[0].Status("d5"); got != gossip.Faulty {
			t.Errorf("got %v after 17 s, want Faulty", got)
		}
		if !members[4].Leave(t.Context()) {
			t.Error("nobody heard of the leave")
		}
		time.Sleep(3 * time.Second)
		for i, m := range members[:4] {
			if got, _ := m.Status("d4"); got != gossip.Faulty {
				t.Errorf("member %d: got %v for the one that left, want Faulty", i, got)
			}
		}
	})
}

// Guards against a restarted daemon whose clock is behind its former life and
// whose sessions keep the old incarnation.
func TestRestartRaisesIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, members, stops := startFleet(4)
		members[3].SetLeaving(true)
		time.Sleep(3 * time.Second)
		stops[3]()
		raised := make(chan uint64, 8)
		restarted, stop := e.start(3, 1, func(incarnation uint64) { raised <- incarnation })
		stops[3] = stop
		defer stopAll(stops)
		if got := <-raised; got != 2 {
			t.Errorf("got incarnation %d, want 2", got)
		}
		time.Sleep(3 * time.Second)
		for _, other := range members[0].Members() {
			if other.Name == "d3" && (other.Incarnation != restarted.Incarnation() || other.Leaving) {
				t.Errorf("got %+v, want the new life", other)
			}
		}
	})
}

// Guards against a daemon that does not notice that it is cut off from the
// other availability zones, or takes itself for a fleet of one (2.5).
func TestLastContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, members, stops := startFleet(4)
		defer stopAll(stops)
		fresh := func() Contact { return members[0].LastContact() }
		for range 30 {
			time.Sleep(time.Second)
			if age := time.Since(fresh().OtherZone); age > 2*time.Second {
				t.Fatalf("got an age of %v without faults, want at most 2 s", age)
			}
		}
		e.mu.Lock()
		e.cut = func(from, to string) bool { return (from == "d0" || from == "d2") != (to == "d0" || to == "d2") }
		e.mu.Unlock()
		time.Sleep(30 * time.Second)
		got := fresh()
		if time.Since(got.OtherZone) < 29*time.Second || time.Since(got.AnyPeer) > 2*time.Second || !got.KnewOtherZone {
			t.Errorf("got %+v at %v, want contact with the own zone only", got, time.Now())
		}
	})
}

// Guards against a daemon that trusts its keys after a pause, because a probe
// was answered, before it has learned what it missed (R4).
func TestContactAfterGapFollowsCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, members, stops := startFleet(6)
		defer stopAll(stops)
		cut := func(cut func(from, to string) bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.cut = cut
		}
		cut(func(from, _ string) bool { return from == "d0" })
		time.Sleep(10 * time.Second)
		members[1].Publish(key(1, 2))
		time.Sleep(4 * time.Second)
		members[0].noteContact(time.Now(), true)
		if got := members[0].LastContact(); time.Since(got.AnyPeer) <= keys.FreshnessLimit || time.Since(got.OtherZone) <= keys.FreshnessLimit {
			t.Errorf("got contact %s ago by an answered probe after the gap, want that of before the gap", time.Since(got.AnyPeer))
		}
		cut(nil)
		for deadline := time.Now().Add(5 * time.Second); time.Since(members[0].LastContact().OtherZone) > keys.FreshnessLimit; {
			if time.Now().After(deadline) {
				t.Fatal("got no contact 5 s after the gap, want some")
			}
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		if got, _ := members[0].Get(fleet.KindKey, "key1"); got.Version != 2 {
			t.Errorf("got version %d of the key at the first contact after the gap, want 2", got.Version)
		}
	})
}

// Guards against a slow subscriber that holds up the daemon or misses a last
// change.
func TestSlowSubscriber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &exchange{names: map[netip.AddrPort]string{}, all: map[string]*Membership{}}
		m, stop := e.start(0, 1, nil)
		defer stop()
		m.Publish(key(0, 1))
		changes, unsubscribe := m.Subscribe(fleet.KindKey)
		const keys = 10 * subscriberBuffer
		for version := range uint64(3) {
			for i := range keys {
				m.Publish(key(i, version+1))
			}
		}
		last := map[string]uint64{}
		synctest.Wait()
		for len(changes) > 0 {
			entry := <-changes
			if entry.Version < last[entry.Key] {
				t.Errorf("%s went back to version %d", entry.Key, entry.Version)
			}
			last[entry.Key] = entry.Version
			synctest.Wait()
		}
		for i := range keys {
			if got := last[key(i, 0).Key]; got != 3 {
				t.Fatalf("key %d: got version %d last, want 3", i, got)
			}
		}
		unsubscribe()
		if _, ok := <-changes; ok {
			t.Error("the channel is open after unsubscribing")
		}
	})
}

type handler struct {
	peer.Handler
	*Membership
}

func (handler) Opened(fleet.Session) {}
func (handler) Closed(fleet.Session) {}

func (handler) Run(context.Context, fleet.Session, fleet.Attempt) fleet.Reply {
	return fleet.Refuse(fleet.ReasonStopping, "")
}

func (handler) Cancel(context.Context, fleet.Session, fleet.AttemptID, uint64) fleet.CancelResult {
	return fleet.CancelUnknown
}

func (h handler) Control(ctx context.Context, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	return h.Handle(ctx, from, frame)
}

// Guards against ports that do not fit together: membership over real sessions,
// with the membership as the directory of the network.
func TestOverNetwork(t *testing.T) {
	var seeds []netip.AddrPort
	members := make([]*Membership, 3)
	for i := range members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		seeds = append(seeds, address)
		identity := peer.Identity{Name: fmt.Sprintf("d%d", i), Incarnation: 1, AvailabilityZone: fmt.Sprintf("z%d", i)}
		network, stopNetwork := peer.New(listener, identity, nil, peer.DefaultTiming())
		m, stop := New(Settings{
			Name: identity.Name, AvailabilityZone: identity.AvailabilityZone, PeerAddress: address,
			Seeds: seeds[:1], Incarnation: 1, OnIncarnationRaised: network.SetIncarnation,
		}, network, rand.New(rand.NewPCG(1, uint64(i))))
		network.Start(m, handler{Membership: m})
		t.Cleanup(func() {
			stop()
			stopNetwork()
		})
		members[i] = m
	}
	for _, m := range members {
		<-m.Joined()
	}
	members[2].Publish(key(1, 2))
	for range 1000 {
		known := 0
		for _, m := range members {
			if _, ok := m.Get(fleet.KindKey, "key1"); ok && len(m.Members()) == 3 {
				known++
			}
		}
		if known == 3 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the key did not reach all members")
}

// Guards against configuration versions that take seconds to be known in a small
// fleet, or the budget of 3 KB a second in a large one (1.3).
func TestVersionDelay(t *testing.T) {
	if got := maxVersionDelay(32); got > 17*time.Second {
		t.Errorf("got %v at 32 members, want at most 17 s", got)
	}
	const members, announcementBytes = 3500, 2400
	mean := maxVersionDelay(members).Seconds() / 2
	if got := members / mean * announcementBytes; got > 1000 {
		t.Errorf("got %.0f bytes a second at %d members, want at most a third of 3 KB", got, members)
	}
}

// Guards against a daemon that goes on refusing keyed requests after a cut that
// was longer than the failure detector waits.
func TestContactAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, members, stops := startFleet(6)
		defer stopAll(stops)
		cut := func(is func(from, to string) bool) {
			e.mu.Lock()
			e.cut = is
			e.mu.Unlock()
		}
		even := func(name string) bool { return name == "d0" || name == "d2" || name == "d4" }
		for range 5 {
			cut(func(from, to string) bool { return even(from) != even(to) })
			time.Sleep(20 * time.Second)
			cut(nil)
			time.Sleep(2 * time.Second)
			for i, m := range members {
				if age := time.Since(m.LastContact().OtherZone); age > 2*time.Second {
					t.Errorf("got no contact of member %d for %v, want some within 2 s of the end of the cut", i, age)
				}
			}
			time.Sleep(20 * time.Second)
		}
	})
}
