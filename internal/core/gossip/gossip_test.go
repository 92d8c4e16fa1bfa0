package gossip_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	bench "github.com/kumquatshelf/kumquatshelf/internal/bench/membership"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
)

// stepsPerPeriod is the number of simulation steps in one protocol period.
const stepsPerPeriod = bench.StepsPerPeriod

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // the command line may override it
	m.Run()
}

// lastEntries holds the last entry observed at each member, by member, kind and key. check
// fails if an entry at a member was replaced by an older version. drop is called when a
// member restarts and so loses its entries.
type lastEntries map[string]fleet.Entry

func (l lastEntries) check(t interface{ Fatalf(string, ...any) }, f *bench.Fleet) {
	for i := range f.Size() {
		f.WithNode(i, func(node *gossip.Node) {
			for _, kind := range []fleet.EntryKind{fleet.KindMember, fleet.KindSuspicion, fleet.KindKey} {
				node.Range(kind, func(e fleet.Entry) {
					id := fmt.Sprint(i, kind, e.Key)
					if old, ok := l[id]; ok && old.Newer(e) {
						t.Fatalf("member %d: entry %v was replaced by the older %v", i, old, e)
					}
					l[id] = e
				})
			}
		})
	}
}

func (l lastEntries) drop(member int) {
	for id := range l {
		var i int
		_, _ = fmt.Sscan(id, &i)
		if i == member {
			delete(l, id)
		}
	}
}

// allAlive reports whether every member regards every member as alive.
func allAlive(f *bench.Fleet) bool {
	for i := range f.Size() {
		for j := range f.Size() {
			ok := true
			f.WithNode(i, func(node *gossip.Node) {
				status, known := node.Status(f.Name(j))
				ok = known && status == gossip.Alive
			})
			if !ok {
				return false
			}
		}
	}

	return true
}

// TestConvergence guards against members whose entries stay different, and against
// newer entries replaced by older ones, after any mix of message loss, reordering,
// one-way partitions, restarts and pauses.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 10).Draw(t, "size")
		f := bench.NewFleet(size, 3, 1, rapid.Uint64().Draw(t, "seed"))
		f.Faults.Loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		f.Faults.Delayed = rapid.Float64Range(0, 0.3).Draw(t, "late")
		cuts := map[[2]int]bool{}
		f.Faults.Cut = func(from, to int) bool { return cuts[[2]int{from, to}] }
		entries := lastEntries{}
		member := rapid.IntRange(0, size-1)
		for range rapid.IntRange(1, 12).Draw(t, "actions") {
			i, j := member.Draw(t, "i"), member.Draw(t, "j")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				cuts[[2]int{i, j}] = true
			case 1:
				f.Pause(i)
			case 2:
				f.Resume(i)
			case 3:
				entries.drop(i)
				f.Restart(i, uint64(rapid.IntRange(0, 1).Draw(t, "step")))
			default:
				version := uint64(rapid.IntRange(1, 2).Draw(t, "version"))
				f.Publish(i, fleet.Entry{Kind: fleet.KindKey, Key: fmt.Sprint("key", j), Version: version})
			}
			for range rapid.IntRange(1, 8*stepsPerPeriod).Draw(t, "steps") {
				f.Step()
			}
			entries.check(t, f)
		}
		clear(cuts)
		f.Faults.Loss, f.Faults.Delayed = 0, 0
		for i := range size {
			f.Resume(i)
		}
		if _, ok := f.StepsUntil(200*stepsPerPeriod, func() bool { return f.Converged() && allAlive(f) }); !ok {
			t.Fatalf("no convergence within 200 periods after all faults ended")
		}
		entries.check(t, f)
	})
}

// TestFaults guards against members that are declared faulty by single faults that
// the failure detector must tolerate (3.4), and against failures that it does not
// detect within the suspicion timeout.
func TestFaults(t *testing.T) {
	status := func(f *bench.Fleet, at, of int) (s gossip.Status) {
		f.WithNode(at, func(node *gossip.Node) { s, _ = node.Status(f.Name(of)) })

		return s
	}
	all := func(f *bench.Fleet, want gossip.Status) bool {
		for i := 1; i < f.Size(); i++ {
			if status(f, i, 0) != want {
				return false
			}
		}

		return true
	}
	steps := func(f *bench.Fleet, periods int) {
		for range periods * stepsPerPeriod {
			f.Step()
		}
	}
	for _, c := range []struct {
		name        string
		fault       func(f *bench.Fleet)
		want        gossip.Status // status of member 0 at all others after 60 periods
		noSuspicion bool          // no member may have been suspected
	}{
		{"no fault", func(*bench.Fleet) {}, gossip.Alive, true},
		{"member stops", func(f *bench.Fleet) { f.Pause(0) }, gossip.Faulty, false},
		{"member cannot send to its zone", func(f *bench.Fleet) {
			f.Faults.Cut = func(from, to int) bool { return from == 0 && f.Zone(to) == f.Zone(0) }
		}, gossip.Alive, true},
		{"one zone cannot send to another", func(f *bench.Fleet) {
			f.Faults.Cut = func(from, to int) bool { return f.Zone(from) == 0 && f.Zone(to) == 1 }
		}, gossip.Alive, true},
		{"member is paused and resumes", func(f *bench.Fleet) {
			f.Pause(0)
			steps(f, 20)
			f.Resume(0)
		}, gossip.Alive, false},
		{"member is partitioned in both directions and returns", func(f *bench.Fleet) {
			f.Faults.Cut = func(from, to int) bool { return from == 0 || to == 0 }
			steps(f, 60)
			f.Faults.Cut = nil
		}, gossip.Alive, false},
		{"half of the fleet is partitioned and returns", func(f *bench.Fleet) {
			f.Faults.Cut = func(from, to int) bool { return from%2 != to%2 }
			steps(f, 60)
			f.Faults.Cut = nil
		}, gossip.Alive, false},
		{"member restarts with a stopped clock", func(f *bench.Fleet) { f.Restart(0, 0) }, gossip.Alive, false},
		{"member leaves", func(f *bench.Fleet) {
			f.WithNode(0, func(node *gossip.Node) { node.Leave(f.Now()) })
			steps(f, 1)
			if !all(f, gossip.Faulty) {
				t.Error("the member that left is not faulty at all others after one period")
			}
			f.Pause(0)
		}, gossip.Faulty, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := bench.NewFleet(12, 3, 1, 7)
			c.fault(f)
			steps(f, 60)
			if !all(f, c.want) {
				t.Errorf("got %v at member 1, want %v at all members", status(f, 1, 0), c.want)
			}
			f.WithNode(1, func(node *gossip.Node) {
				node.Range(fleet.KindSuspicion, func(e fleet.Entry) {
					if c.noSuspicion {
						t.Errorf("got a suspicion of %s, want none", e.Key)
					}
				})
			})
		})
	}
}

// TestSuspicionTimeout guards against a member that is declared faulty before it had
// the time to refute, and against a process that was paused and declares others
// faulty before it has read their refutations.
func TestSuspicionTimeout(t *testing.T) {
	f := bench.NewFleet(3, 1, 0, 1)
	f.WithNode(0, func(node *gossip.Node) {
		start := f.Now()
		node.Suspect(f.Name(1), start)
		for _, c := range []struct {
			after time.Duration
			want  gossip.Status
		}{
			{2 * time.Second, gossip.Suspect},
			{4 * time.Second, gossip.Suspect},
			{60 * time.Second, gossip.Suspect}, // paused for 56 s
			{62 * time.Second, gossip.Faulty},
		} {
			node.Tick(start.Add(c.after))
			if got, _ := node.Status(f.Name(1)); got != c.want {
				t.Errorf("after %v: got %v, want %v", c.after, got, c.want)
			}
		}
	})
}

// TestForgetting guards against entries of faulty members that are never removed, and
// against old entries that add a forgotten member again. A forgotten member that is
// alive must be able to rejoin.
func TestForgetting(t *testing.T) {
	f := bench.NewFleet(3, 1, 0, 1)
	var stale fleet.Entry
	f.WithNode(0, func(node *gossip.Node) {
		stale, _ = node.Get(fleet.KindMember, f.Name(1))
		now := f.Now()
		node.Suspect(f.Name(1), now)
		for range 2 * int(gossip.FaultyRetention/(2*time.Second)) {
			now = now.Add(2 * time.Second)
			node.Tick(now)
		}
		if _, ok := node.Get(fleet.KindMember, f.Name(1)); ok {
			t.Fatal("the faulty member's entry was not removed")
		}
		tombstone := node.Merge([]fleet.Entry{stale}, now)
		if _, ok := node.Get(fleet.KindMember, f.Name(1)); ok || len(tombstone) != 1 {
			t.Fatalf("got %v, want the old entry refused with a tombstone", tombstone)
		}
		f.WithNode(1, func(other *gossip.Node) {
			other.Merge(tombstone, now)
			refuted, _ := other.Get(fleet.KindMember, f.Name(1))
			node.Merge([]fleet.Entry{refuted}, now)
		})
		if got, ok := node.Status(f.Name(1)); got != gossip.Alive || !ok {
			t.Errorf("got %v after the member's refutation, want Alive", got)
		}
	})
}

// TestIncarnationRaised guards against a restarted daemon whose entries are older
// than the entries of its previous run and are therefore ignored.
func TestIncarnationRaised(t *testing.T) {
	f := bench.NewFleet(3, 1, 0, 1)
	f.WithNode(0, func(node *gossip.Node) {
		for _, e := range []fleet.Entry{
			{Kind: fleet.KindMember, Key: f.Name(0), Incarnation: 9, Version: 5},
			{Kind: fleet.KindSuspicion, Key: f.Name(0), Incarnation: 20, Version: 5},
		} {
			node.Merge([]fleet.Entry{e}, f.Now())
			own, _ := node.Get(fleet.KindMember, f.Name(0))
			if own.Incarnation != e.Incarnation+1 || node.Incarnation() != e.Incarnation+1 {
				t.Errorf("got incarnation %d, want %d", own.Incarnation, e.Incarnation+1)
			}
		}
	})
}

// TestRelays guards against members that select different relays, and against relays
// that are not alive.
func TestRelays(t *testing.T) {
	f := bench.NewFleet(12, 3, 0, 1)
	relays := func(i int) (out map[string][]string) {
		f.WithNode(i, func(node *gossip.Node) { out = node.Relays() })

		return out
	}
	before := relays(1)
	if fmt.Sprint(before) != fmt.Sprint(relays(2)) || len(before) != 3 || len(before["zone-00"]) != 2 {
		t.Fatalf("got %v and %v, want two relays in each of three zones, the same at both members", before, relays(2))
	}
	suspected := before["zone-00"][0]
	f.WithNode(1, func(node *gossip.Node) { node.Suspect(suspected, f.Now()) })
	if after := relays(1)["zone-00"]; len(after) != 2 || after[0] != before["zone-00"][1] {
		t.Errorf("got %v, want the second of %v and then a new relay", after, before["zone-00"])
	}
}

// TestPeersOwnZoneFirst guards against a member that asks only members of its own
// availability zone for what none of them has.
func TestPeersOwnZoneFirst(t *testing.T) {
	f := bench.NewFleet(30, 3, 0, 1)
	f.WithNode(0, func(node *gossip.Node) {
		for range 100 {
			peers := node.PeersOwnZoneFirst(3)
			if len(peers) != 3 || node.Zone(peers[0]) != "zone-00" || node.Zone(peers[1]) != "zone-00" || node.Zone(peers[2]) == "zone-00" {
				t.Fatalf("got %v, want two members of the own zone and then one of another", peers)
			}
		}
	})
}

// TestPeers guards against rumors that are sent to fewer peers than available, and
// against availability zones that are never chosen.
func TestPeers(t *testing.T) {
	f := bench.NewFleet(30, 3, 0, 1)
	zones := map[string]int{}
	f.WithNode(0, func(node *gossip.Node) {
		for range 1000 {
			peers := node.Peers(gossip.Fanout, f.Name(1), f.Name(3))
			seen := map[string]bool{f.Name(0): true, f.Name(1): true, f.Name(3): true}
			for _, name := range peers {
				if seen[name] {
					t.Fatalf("got %v, want different peers without the excluded ones", peers)
				}
				seen[name] = true
				zones[node.Zone(name)]++
			}
			if len(peers) != gossip.Fanout {
				t.Fatalf("got %v, want %d peers", peers, gossip.Fanout)
			}
		}
	})
	if zones["zone-00"] < zones["zone-01"] || zones["zone-01"] == 0 || zones["zone-02"] == 0 {
		t.Errorf("got peers by zone %v, want some of every zone and most of the own", zones)
	}
}

// TestKeys guards against keys that are lost, duplicated or confused with others in
// the packed records.
func TestKeys(t *testing.T) {
	const keys = 20_000
	f := bench.NewFleet(1, 1, 0, 1)
	entry := func(i int) fleet.Entry {
		return fleet.Entry{
			Kind: fleet.KindKey, Key: fmt.Sprintf("%064x", i*i), Version: uint64(1 + i%3),
			Value: []byte(fmt.Sprint("account", i)),
		}
	}
	f.WithNode(0, func(node *gossip.Node) {
		for i := range keys {
			older := entry(i)
			older.Version, older.Value = 1, []byte("a longer value than that of the newer version")
			if older.Version < entry(i).Version {
				node.Publish(older, f.Now())
			}
		}
		for i := range keys {
			node.Publish(entry(i), f.Now())
		}
		count := 0
		node.Range(fleet.KindKey, func(fleet.Entry) { count++ })
		if count != keys || node.Len() != keys+1 {
			t.Errorf("got %d keys among %d entries, want %d", count, node.Len(), keys)
		}
		for i := range keys {
			want := entry(i)
			got, ok := node.Get(want.Kind, want.Key)
			if !ok || got.Key != want.Key || got.Version != want.Version || string(got.Value) != string(want.Value) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}
