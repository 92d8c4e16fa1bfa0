package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Guards against a fleet that reads the whole configuration from the store once
// per daemon when the store is back.
func TestFleetStartsAfterOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.end()
		f.publish(t, 1)
		f.store.SetFaults(platform.Faults{Outage: true})
		const daemons = 100
		var names []string
		for i := range daemons {
			names = append(names, fmt.Sprint(i))
			f.start(names[i], i < 2)
		}
		f.gossip() // all know all members
		time.Sleep(effect)
		before := f.store.CallCounts().Get
		f.store.SetFaults(platform.Faults{})
		time.Sleep(effect)
		f.expect(t, "after the outage", 1, names...)
		// Without a bound it was 86, although some asked peers that had it.
		if got := f.store.CallCounts().Get - before; got > daemons/2 {
			t.Errorf("got %d reads, want at most %d", got, daemons/2)
		}
	})
}

// Guards against a configuration that does not reach every daemon in time, or
// is reverted (R11), under each fault of the store and of daemons.
func TestConfigurationReachesEveryDaemon(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]func(t *testing.T, f *testFleet){
		"no fault": func(t *testing.T, f *testFleet) {
			before := f.daemons["c"].loader.LastStoreContact()
			f.publish(t, 2)
			f.settle(effect)
			f.expect(t, "after a publication", 2, "a", "b", "c", "d")
			if got := f.daemons["c"].loader.LastStoreContact(); got != before {
				t.Errorf("got contact with the store at %v by a daemon that is no relay, want none after %v", got, before)
			}
		},
		"slow store": func(t *testing.T, f *testFleet) {
			f.store.SetFaults(platform.Faults{Latency: 2 * time.Second})
			f.publish(t, 2)
			f.settle(effect)
			f.expect(t, "slow", 2, "a", "b", "c", "d")
		},
		"parts unreadable at first": func(t *testing.T, f *testFleet) {
			for _, d := range f.daemons {
				d.mu.Lock()
				d.refuse = 3
				d.mu.Unlock()
			}
			f.publish(t, 2)
			f.settle(effect)
			f.expect(t, "after retries", 2, "a", "b", "c", "d")
		},
		"one relay cut off": func(t *testing.T, f *testFleet) {
			f.daemons["a"].setCut(true)
			f.publish(t, 2)
			f.settle(effect)
			f.expect(t, "without a", 2, "b", "c", "d")
			f.expect(t, "cut off", 1, "a")
			f.daemons["a"].setCut(false)
			f.settle(effect)
			f.expect(t, "resumed", 2, "a")
		},
		"both relays cut off until others have it": func(t *testing.T, f *testFleet) {
			f.daemons["a"].setCut(true)
			f.daemons["b"].setCut(true)
			f.publish(t, 2)
			e := f.start("e", true)
			f.settle(effect)
			f.expect(t, "through e", 2, "c", "d", "e")
			f.store.SetFaults(platform.Faults{Outage: true})
			f.daemons["a"].setCut(false)
			f.daemons["b"].setCut(false)
			f.settle(effect)
			f.expect(t, "resumed in an outage", 2, "a", "b")
			if got := e.loader.LastStoreContact(); got.IsZero() || time.Since(got) < effect {
				t.Errorf("got contact %v ago in an outage, want at least %v", time.Since(got), effect)
			}
		},
		"started in an outage beside an old daemon": func(t *testing.T, f *testFleet) {
			f.daemons["d"].setCut(true)
			f.publish(t, 2)
			f.settle(effect)
			f.store.SetFaults(platform.Faults{Outage: true})
			f.daemons["a"].setCut(true)
			f.daemons["d"].setCut(false)
			e := f.start("e", true)
			f.settle(5 * time.Second)
			f.expect(t, "started", 2, "e")
			if len(e.versions) != 1 {
				t.Errorf("got versions %v installed at the start, want only the newest", e.versions)
			}
		},
		"started in an outage without peers": func(t *testing.T, f *testFleet) {
			for _, d := range f.daemons {
				d.setCut(true)
			}
			f.store.SetFaults(platform.Faults{Outage: true})
			e := f.start("e", true)
			f.settle(effect)
			f.expect(t, "without any source", 0, "e")
			if e.loader.Current() != nil {
				t.Error("got a configuration, want none")
			}
			f.store.SetFaults(platform.Faults{})
			f.settle(effect)
			f.expect(t, "after the outage", 1, "e")
		},
		"no peer answers": func(t *testing.T, f *testFleet) {
			before := f.daemons["c"].loader.LastStoreContact()
			f.publish(t, 2)
			for _, name := range []string{"a", "b", "d"} {
				f.daemons[name].setCut(true)
			}
			f.settle(time.Second)
			f.daemons["c"].merge(fleet.Entry{Kind: fleet.KindHead, Key: headKey, Version: 2, Value: marshal(&peerpb.Head{Version: 2, ManifestHash: "x"})})
			f.settle(2 * callTimeout)
			if got := f.daemons["c"].loader.LastStoreContact(); got != before {
				t.Errorf("got contact with the store at %v before peers were asked, want none after %v", got, before)
			}
			f.settle(effect - 2*callTimeout)
			f.expect(t, "from the store", 2, "c")
		},
		"a peer that lies about the head": func(t *testing.T, f *testFleet) {
			f.daemons["c"].merge(fleet.Entry{Kind: fleet.KindHead, Key: headKey, Version: 9, Value: marshal(&peerpb.Head{Version: 9, ManifestHash: "x"})})
			f.settle(effect)
			f.expect(t, "after a false head", 1, "a", "b", "c", "d")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				defer f.end()
				for i, name := range []string{"a", "b", "c", "d"} {
					f.start(name, i < 2)
				}
				f.publish(t, 1)
				f.settle(effect)
				f.expect(t, "at first", 1, "a", "b", "c", "d")
				test(t, f)
				for name, d := range f.daemons {
					for i := 1; i < len(d.versions); i++ {
						if d.versions[i] <= d.versions[i-1] {
							t.Errorf("got versions %v on %s, want them to rise", d.versions, name)
						}
					}
				}
			})
		})
	}
}

type fleetStep struct {
	Action string
	Daemon int
	Wait   time.Duration
}

func (f *testFleet) step(t *testing.T, step fleetStep, published int) int {
	t.Helper()
	name := []string{"a", "b", "c", "d"}[step.Daemon]
	switch step.Action {
	case "publish":
		f.store.SetFaults(platform.Faults{})
		published++
		f.publish(t, published)
	case "cut":
		f.daemons[name].setCut(true)
	case "pause":
		f.daemons[name].setPaused(true)
	case "resume":
		f.daemons[name].setPaused(false)
	case "restart":
		old := f.daemons[name]
		old.setPaused(false)
		old.stop()
		f.mu.Lock()
		f.retired = append(f.retired, old)
		delete(f.daemons, name)
		f.mu.Unlock()
		f.start(name, step.Daemon < 2)
	case "outage":
		f.store.SetFaults(platform.Faults{Outage: true})
	case "slow":
		f.store.SetFaults(platform.Faults{Latency: 3 * time.Second})
	case "well":
		f.store.SetFaults(platform.Faults{})
	}
	f.settle(step.Wait)

	return published
}

// Guards against versions that fall, and against a version that some daemon
// never installs (R11), after any sequence of faults.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleetStep {
			return fleetStep{
				Action: rapid.SampledFrom([]string{"publish", "publish", "cut", "pause", "pause", "resume", "restart", "outage", "slow", "well"}).Draw(t, "action"),
				Daemon: rapid.IntRange(0, 3).Draw(t, "daemon"),
				Wait:   time.Duration(rapid.IntRange(0, 6).Draw(t, "wait")) * time.Second,
			}
		}), 1, 15).Draw(rt, "steps")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			defer f.end()
			for i, name := range []string{"a", "b", "c", "d"} {
				f.start(name, i < 2)
			}
			f.publish(t, 1)
			f.settle(effect)
			published := 1
			for _, step := range steps {
				published = f.step(t, step, published)
			}
			f.store.SetFaults(platform.Faults{})
			for _, d := range f.daemons {
				d.setPaused(false)
			}
			f.settle(effect)
			all := slices.Collect(maps.Values(f.daemons))
			for _, d := range all {
				if got := d.version(); got != uint64(published) {
					problems = append(problems, fmt.Sprintf("got version %d on %s, want %d", got, d.name, published))
				}
			}
			for _, d := range append(all, f.retired...) {
				if !slices.IsSorted(d.versions) || len(slices.Compact(slices.Clone(d.versions))) != len(d.versions) {
					problems = append(problems, fmt.Sprintf("got versions %v on %s, want them to rise", d.versions, d.name))
				}
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("got problems:\n%s", strings.Join(problems, "\n"))
		}
	})
}
