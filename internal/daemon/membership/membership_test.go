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

// testNetwork passes frames between memberships in one process. Frames are lost if
// partitioned returns true for either direction between two daemons.
type testNetwork struct {
	mu          sync.Mutex
	names       map[netip.AddrPort]string
	members     map[string]*Membership
	partitioned func(from, to string) bool
}

// endpoint is the network as one daemon uses it.
type endpoint struct {
	*testNetwork
	name string
}

func (e endpoint) Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	e.mu.Lock()
	to := e.members[daemon]
	unreachable := to == nil || e.partitioned != nil && (e.partitioned(e.name, daemon) || e.partitioned(daemon, e.name))
	e.mu.Unlock()
	if unreachable {
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

// set makes frames to the name reach m, or nobody if m is nil.
func (e *testNetwork) set(name string, m *Membership) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members[name] = m
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
}

func (e *testNetwork) start(i int, incarnation uint64, raised func(uint64)) (*Membership, func()) {
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

// startFleet starts daemons d0 to d(size-1) in two availability zones by turns and waits
// until they have joined and know each other.
func startFleet(size int) (*testNetwork, []*Membership, []func()) {
	e := &testNetwork{names: map[netip.AddrPort]string{}, members: map[string]*Membership{}}
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

func keyEntry(i int, version uint64) fleet.Entry {
	return fleet.Entry{Kind: fleet.KindKey, Key: fmt.Sprint("key", i), Version: version}
}

// TestChangesReachAll guards against members and changes that are not known to all
// members within the 3 s of R4 and R9.
func TestChangesReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, members, stops := startFleet(6)
		defer stopAll(stops)
		rumors := members[1].counters.Rumors.Value()
		members[1].Publish(keyEntry(1, 2))
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

// TestFailureAndLeave guards against members that are declared faulty before the 5 s of
// the suspicion timeout, and against stopped daemons that are not faulty after 17 s. A
// daemon that leaves must be faulty at all members within 3 s (R9).
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
			t.Error("got false from Leave, want a peer that answered")
		}
		time.Sleep(3 * time.Second)
		for i, m := range members[:4] {
			if got, _ := m.Status("d4"); got != gossip.Faulty {
				t.Errorf("member %d: got %v for the one that left, want Faulty", i, got)
			}
		}
	})
}

// TestRestartRaisesIncarnation guards against a restarted daemon whose clock is behind
// the clock of its previous run, so that its entries lose against the old ones and its
// sessions keep the old incarnation.
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
				t.Errorf("got %+v, want the entry of the restarted daemon", other)
			}
		}
	})
}

// TestLastContact guards against a daemon that does not notice that it is partitioned
// from the other availability zones, or takes itself for the only daemon (2.5).
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
		e.partitioned = func(from, to string) bool { return (from == "d0" || from == "d2") != (to == "d0" || to == "d2") }
		e.mu.Unlock()
		time.Sleep(30 * time.Second)
		got := fresh()
		if time.Since(got.OtherZone) < 29*time.Second || time.Since(got.AnyPeer) > 2*time.Second || !got.KnewOtherZone {
			t.Errorf("got %+v at %v, want contact with the own zone only", got, time.Now())
		}
	})
}

// TestContactAfterGapFollowsCatchUp guards against a daemon that accepts keys after a
// pause because a probe was answered, before it has received the withdrawals that it
// missed (R4).
func TestContactAfterGapFollowsCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, members, stops := startFleet(6)
		defer stopAll(stops)
		setPartition := func(partitioned func(from, to string) bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.partitioned = partitioned
		}
		setPartition(func(from, _ string) bool { return from == "d0" })
		time.Sleep(10 * time.Second)
		members[1].Publish(keyEntry(1, 2))
		time.Sleep(4 * time.Second)
		members[0].recordContact(time.Now(), true)
		if got := members[0].LastContact(); time.Since(got.AnyPeer) <= keys.FreshnessLimit || time.Since(got.OtherZone) <= keys.FreshnessLimit {
			t.Errorf("got contact %s ago by a probe that was answered after the gap, want the contact before the gap", time.Since(got.AnyPeer))
		}
		setPartition(nil)
		for deadline := time.Now().Add(5 * time.Second); time.Since(members[0].LastContact().OtherZone) > keys.FreshnessLimit; {
			if time.Now().After(deadline) {
				t.Fatal("got no contact within 5 s after the gap")
			}
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		if got, _ := members[0].Get(fleet.KindKey, "key1"); got.Version != 2 {
			t.Errorf("got version %d of the key at the first contact after the gap, want 2", got.Version)
		}
	})
}

// TestSlowSubscriber guards against a slow subscriber that blocks the daemon or does not
// receive the last change of an entry.
func TestSlowSubscriber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &testNetwork{names: map[netip.AddrPort]string{}, members: map[string]*Membership{}}
		m, stop := e.start(0, 1, nil)
		defer stop()
		m.Publish(keyEntry(0, 1))
		changes, unsubscribe := m.Subscribe(fleet.KindKey)
		const keys = 10 * subscriberBuffer
		for version := range uint64(3) {
			for i := range keys {
				m.Publish(keyEntry(i, version+1))
			}
		}
		last := map[string]uint64{}
		synctest.Wait()
		for len(changes) > 0 {
			entry := <-changes
			if entry.Version < last[entry.Key] {
				t.Errorf("%s was followed by its older version %d", entry.Key, entry.Version)
			}
			last[entry.Key] = entry.Version
			synctest.Wait()
		}
		for i := range keys {
			if got := last[keyEntry(i, 0).Key]; got != 3 {
				t.Fatalf("key %d: got version %d as the last, want 3", i, got)
			}
		}
		unsubscribe()
		if _, ok := <-changes; ok {
			t.Error("the channel is not closed after unsubscribing")
		}
	})
}

// handler passes the frames of the peer adapter's sessions to a membership and refuses
// attempts.
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

// TestOverNetwork runs membership over real sessions, with the membership as the address
// directory of the peer adapter. It guards against interfaces of the two packages that
// do not work together.
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
	members[2].Publish(keyEntry(1, 2))
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

// TestVersionDelay guards against configuration versions that are announced too late in
// a small fleet, or that use up the budget of 3 KB a second in a large one (1.3).
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

// TestContactAfterCut guards against a daemon that still refuses requests with keys after
// a partition that was longer than the failure detector's time-out.
func TestContactAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, members, stops := startFleet(6)
		defer stopAll(stops)
		partition := func(partitioned func(from, to string) bool) {
			e.mu.Lock()
			e.partitioned = partitioned
			e.mu.Unlock()
		}
		even := func(name string) bool { return name == "d0" || name == "d2" || name == "d4" }
		for range 5 {
			partition(func(from, to string) bool { return even(from) != even(to) })
			time.Sleep(20 * time.Second)
			partition(nil)
			time.Sleep(2 * time.Second)
			for i, m := range members {
				if age := time.Since(m.LastContact().OtherZone); age > 2*time.Second {
					t.Errorf("got no contact of member %d for %v, want contact within 2 s of the end of the partition", i, age)
				}
			}
			time.Sleep(20 * time.Second)
		}
	})
}
