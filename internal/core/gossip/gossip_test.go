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

const period = bench.StepsPerPeriod

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // the command line may replace it
	m.Run()
}

// versions watches that no member's entry goes back to an older version while
// the member keeps its state.
type versions map[string]fleet.Entry

func (v versions) check(t interface{ Fatalf(string, ...any) }, f *bench.Fleet) {
	for i := range f.Size() {
		f.WithNode(i, func(node *gossip.Node) {
			for _, kind := range []fleet.EntryKind{fleet.KindMember, fleet.KindSuspicion, fleet.KindKey} {
				node.Range(kind, func(e fleet.Entry) {
					id := fmt.Sprint(i, kind, e.Key)
					if old, ok := v[id]; ok && old.Newer(e) {
						t.Fatalf("member %d: entry %v went back to %v", i, old, e)
					}
					v[id] = e
				})
			}
		})
	}
}

func (v versions) drop(member int) {
	for id := range v {
		var i int
		_, _ = fmt.Sscan(id, &i)
		if i == member {
			delete(v, id)
		}
	}
}

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

// Guards against members that stay apart, and against versions that go back,
// after any mix of loss, reorder, one-way cuts, restarts and pauses.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 10).Draw(t, "size")
		f := bench.NewFleet(size, 3, 1, rapid.Uint64().Draw(t, "seed"))
		f.Faults.Loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		f.Faults.Delayed = rapid.Float64Range(0, 0.3).Draw(t, "late")
		cuts := map[[2]int]bool{}
		f.Faults.Cut = func(from, to int) bool { return cuts[[2]int{from, to}] }
		seen := versions{}
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
				seen.drop(i)
				f.Restart(i, uint64(rapid.IntRange(0, 1).Draw(t, "step")))
			default:
				version := uint64(rapid.IntRange(1, 2).Draw(t, "version"))
				f.Publish(i, fleet.Entry{Kind: fleet.KindKey, Key: fmt.Sprint("key", j), Version: version})
			}
			for range rapid.IntRange(1, 8*period).Draw(t, "steps") {
				f.Step()
			}
			seen.check(t, f)
		}
		clear(cuts)
		f.Faults.Loss, f.Faults.Delayed = 0, 0
		for i := range size {
			f.Resume(i)
		}
		if _, ok := f.StepsUntil(200*period, func() bool { return f.Converged() && allAlive(f) }); !ok {
			t.Fatalf("no convergence within 200 periods after all faults ended")
		}
		seen.check(t, f)
	})
}

// Guards against single faults that the failure detector must survive (3.4) or
// find within the suspicion timeout.
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
		for range periods * period {
			f.Step()
		}
	}
	for _, c := range []struct {
		name  string
		fault func(f *bench.Fleet)
		want  gossip.Status // of member 0 at all others after 60 periods
		quiet bool          // nobody may have been suspected
	}{
		{"nothing", func(*bench.Fleet) {}, gossip.Alive, true},
		{"member stops", func(f *bench.Fleet) { f.Pause(0) }, gossip.Faulty, false},
		{"member cannot send to its zone", func(f *bench.Fleet) {
			f.Faults.Cut = func(from, to int) bool { return from == 0 && f.Zone(to) == f.Zone(0) }
		}, gossip.Alive, true},
		{"one zone cannot send to another", func(f *bench.Fleet) {
			f.Faults.Cut = func(from, to int) bool { return f.Zone(from) == 0 && f.Zone(to) == 1 }
		}, gossip.Alive, true},
		{"paused and back", func(f *bench.Fleet) {
			f.Pause(0)
			steps(f, 20)
			f.Resume(0)
		}, gossip.Alive, false},
		{"cut off in both directions and back", func(f *bench.Fleet) {
			f.Faults.Cut = func(from, to int) bool { return from == 0 || to == 0 }
			steps(f, 60)
			f.Faults.Cut = nil
		}, gossip.Alive, false},
		{"half the fleet cut off and back", func(f *bench.Fleet) {
			f.Faults.Cut = func(from, to int) bool { return from%2 != to%2 }
			steps(f, 60)
			f.Faults.Cut = nil
		}, gossip.Alive, false},
		{"restarted with a clock that stood still", func(f *bench.Fleet) { f.Restart(0, 0) }, gossip.Alive, false},
		{"leaves", func(f *bench.Fleet) {
			f.WithNode(0, func(node *gossip.Node) { node.Leave(f.Now()) })
			steps(f, 1)
			if !all(f, gossip.Faulty) {
				t.Error("a member that left has to be detected")
			}
			f.Pause(0)
		}, gossip.Faulty, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := bench.NewFleet(12, 3, 1, 7)
			c.fault(f)
			steps(f, 60)
			if !all(f, c.want) {
				t.Errorf("got %v at member 1, want %v at all", status(f, 1, 0), c.want)
			}
			f.WithNode(1, func(node *gossip.Node) {
				node.Range(fleet.KindSuspicion, func(e fleet.Entry) {
					if c.quiet {
						t.Errorf("got a suspicion of %s, want none", e.Key)
					}
				})
			})
		})
	}
}

// Guards against a faulty verdict without time to refute, and against a process
// that was paused accusing others before it has read their refutations.
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

// Guards against tombstones that are kept for ever, and against old entries
// that bring a forgotten member back; a member that is alive must still return.
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
			t.Fatal("the faulty member's entry is still there")
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
			t.Errorf("got %v, want the member back after it refuted", got)
		}
	})
}

// Guards against a restarted daemon whose entries lose against its former life.
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

// Guards against relays that differ between members or are not live.
func TestRelays(t *testing.T) {
	f := bench.NewFleet(12, 3, 0, 1)
	relays := func(i int) (out map[string][]string) {
		f.WithNode(i, func(node *gossip.Node) { out = node.Relays() })

		return out
	}
	before := relays(1)
	if fmt.Sprint(before) != fmt.Sprint(relays(2)) || len(before) != 3 || len(before["zone-00"]) != 2 {
		t.Fatalf("got %v and %v, want two in each zone, the same at all", before, relays(2))
	}
	gone := before["zone-00"][0]
	f.WithNode(1, func(node *gossip.Node) { node.Suspect(gone, f.Now()) })
	if after := relays(1)["zone-00"]; len(after) != 2 || after[0] != before["zone-00"][1] {
		t.Errorf("got %v, want the second of %v first and another after it", after, before["zone-00"])
	}
}

// Guards against rumors that go to fewer peers than there are, and against
// zones that are never chosen.
func TestPeers(t *testing.T) {
	f := bench.NewFleet(30, 3, 0, 1)
	zones := map[string]int{}
	f.WithNode(0, func(node *gossip.Node) {
		for range 1000 {
			peers := node.Peers(gossip.Fanout, f.Name(1), f.Name(3))
			seen := map[string]bool{f.Name(0): true, f.Name(1): true, f.Name(3): true}
			for _, name := range peers {
				if seen[name] {
					t.Fatalf("got %v, want different peers that are not excluded", peers)
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
		t.Errorf("got %v, want the own zone most often and every zone", zones)
	}
}

// Guards against keys that are lost, doubled or mixed up in the packed records.
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
