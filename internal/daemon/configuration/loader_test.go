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

// Guards against a starting fleet in which every daemon reads the whole configuration
// from the store once the store recovers from an outage.
func TestFleetStartsAfterOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.stopAll()
		f.publish(t, 1)
		f.store.SetFaults(platform.Faults{Outage: true})
		const daemons = 100
		var names []string
		for i := range daemons {
			names = append(names, fmt.Sprint(i))
			f.start(names[i], i < 2)
		}
		f.gossip() // every daemon then knows all members
		time.Sleep(propagationLimit)
		before := f.store.CallCounts().Get
		f.store.SetFaults(platform.Faults{})
		time.Sleep(propagationLimit)
		f.expectVersion(t, "after the outage", 1, names...)
		// Without the bound of expectedStoreReaders there were 86 reads, although some
		// daemons fetched the configuration from peers.
		if got := f.store.CallCounts().Get - before; got > daemons/2 {
			t.Errorf("got %d reads, want at most %d", got, daemons/2)
		}
	})
}

// Guards against a configuration that does not reach every daemon in time, or that is
// reverted (requirement R11), under each single fault of the store and of daemons.
func TestConfigurationReachesEveryDaemon(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]func(t *testing.T, f *testFleet){
		"no fault": func(t *testing.T, f *testFleet) {
			contactBefore := f.daemons["c"].loader.LastStoreContact()
			f.publish(t, 2)
			f.runFor(propagationLimit)
			f.expectVersion(t, "after a publication", 2, "a", "b", "c", "d")
			if got := f.daemons["c"].loader.LastStoreContact(); got != contactBefore {
				t.Errorf("got contact with the store at %v by a daemon that is no relay, want none after %v", got, contactBefore)
			}
		},
		"slow store": func(t *testing.T, f *testFleet) {
			f.store.SetFaults(platform.Faults{Latency: 2 * time.Second})
			f.publish(t, 2)
			f.runFor(propagationLimit)
			f.expectVersion(t, "slow", 2, "a", "b", "c", "d")
		},
		"parts unreadable at first": func(t *testing.T, f *testFleet) {
			for _, d := range f.daemons {
				d.mu.Lock()
				d.failPartReads = 3
				d.mu.Unlock()
			}
			f.publish(t, 2)
			f.runFor(propagationLimit)
			f.expectVersion(t, "after retries", 2, "a", "b", "c", "d")
		},
		"one relay cut off": func(t *testing.T, f *testFleet) {
			f.daemons["a"].setDisconnected(true)
			f.publish(t, 2)
			f.runFor(propagationLimit)
			f.expectVersion(t, "without a", 2, "b", "c", "d")
			f.expectVersion(t, "cut off", 1, "a")
			f.daemons["a"].setDisconnected(false)
			f.runFor(propagationLimit)
			f.expectVersion(t, "resumed", 2, "a")
		},
		"both relays cut off until others have the version": func(t *testing.T, f *testFleet) {
			f.daemons["a"].setDisconnected(true)
			f.daemons["b"].setDisconnected(true)
			f.publish(t, 2)
			e := f.start("e", true)
			f.runFor(propagationLimit)
			f.expectVersion(t, "through e", 2, "c", "d", "e")
			f.store.SetFaults(platform.Faults{Outage: true})
			f.daemons["a"].setDisconnected(false)
			f.daemons["b"].setDisconnected(false)
			f.runFor(propagationLimit)
			f.expectVersion(t, "resumed in an outage", 2, "a", "b")
			if got := e.loader.LastStoreContact(); got.IsZero() || time.Since(got) < propagationLimit {
				t.Errorf("got contact %v ago in an outage, want at least %v", time.Since(got), propagationLimit)
			}
		},
		"started in an outage beside an old daemon": func(t *testing.T, f *testFleet) {
			f.daemons["d"].setDisconnected(true)
			f.publish(t, 2)
			f.runFor(propagationLimit)
			f.store.SetFaults(platform.Faults{Outage: true})
			f.daemons["a"].setDisconnected(true)
			f.daemons["d"].setDisconnected(false)
			e := f.start("e", true)
			f.runFor(5 * time.Second)
			f.expectVersion(t, "started", 2, "e")
			if len(e.versions) != 1 {
				t.Errorf("got versions %v installed at the start, want only the newest", e.versions)
			}
		},
		"started in an outage without peers": func(t *testing.T, f *testFleet) {
			for _, d := range f.daemons {
				d.setDisconnected(true)
			}
			f.store.SetFaults(platform.Faults{Outage: true})
			e := f.start("e", true)
			f.runFor(propagationLimit)
			f.expectVersion(t, "without any source", 0, "e")
			if e.loader.Current() != nil {
				t.Error("got a configuration, want none")
			}
			f.store.SetFaults(platform.Faults{})
			f.runFor(propagationLimit)
			f.expectVersion(t, "after the outage", 1, "e")
		},
		"no peer answers": func(t *testing.T, f *testFleet) {
			contactBefore := f.daemons["c"].loader.LastStoreContact()
			f.publish(t, 2)
			for _, name := range []string{"a", "b", "d"} {
				f.daemons[name].setDisconnected(true)
			}
			f.runFor(time.Second)
			f.daemons["c"].merge(fleet.Entry{Kind: fleet.KindHead, Key: headKey, Version: 2, Value: marshalValue(&peerpb.Head{Version: 2, ManifestHash: "x"})})
			f.runFor(2 * callTimeout)
			if got := f.daemons["c"].loader.LastStoreContact(); got != contactBefore {
				t.Errorf("got contact with the store at %v before peers were asked, want none after %v", got, contactBefore)
			}
			f.runFor(propagationLimit - 2*callTimeout)
			f.expectVersion(t, "from the store", 2, "c")
		},
		"no peer answers, and no head arrives": func(t *testing.T, f *testFleet) {
			for _, name := range []string{"a", "b", "d"} {
				f.daemons[name].setDisconnected(true)
			}
			f.publish(t, 2)
			f.runFor(propagationLimit)
			f.expectVersion(t, "from the store", 2, "c")
		},
		"a head whose manifest does not exist": func(t *testing.T, f *testFleet) {
			f.daemons["c"].merge(fleet.Entry{Kind: fleet.KindHead, Key: headKey, Version: 9, Value: marshalValue(&peerpb.Head{Version: 9, ManifestHash: "x"})})
			f.runFor(propagationLimit)
			f.expectVersion(t, "after a false head", 1, "a", "b", "c", "d")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				defer f.stopAll()
				for i, name := range []string{"a", "b", "c", "d"} {
					f.start(name, i < 2)
				}
				f.publish(t, 1)
				f.runFor(propagationLimit)
				f.expectVersion(t, "at first", 1, "a", "b", "c", "d")
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

// fleetStep is one action on the fleet, followed by a wait.
type fleetStep struct {
	Action string
	Daemon int
	Wait   time.Duration
}

// applyStep performs a step. It takes and returns the number of published versions.
func (f *testFleet) applyStep(t *testing.T, step fleetStep, published int) int {
	t.Helper()
	name := []string{"a", "b", "c", "d"}[step.Daemon]
	switch step.Action {
	case "publish":
		f.store.SetFaults(platform.Faults{})
		published++
		f.publish(t, published)
	case "cut":
		f.daemons[name].setDisconnected(true)
	case "pause":
		f.daemons[name].setPaused(true)
	case "resume":
		f.daemons[name].setPaused(false)
	case "restart":
		old := f.daemons[name]
		old.setPaused(false)
		old.stop()
		f.mu.Lock()
		f.replaced = append(f.replaced, old)
		delete(f.daemons, name)
		f.mu.Unlock()
		f.start(name, step.Daemon < 2)
	case "outage":
		f.store.SetFaults(platform.Faults{Outage: true})
	case "slow":
		f.store.SetFaults(platform.Faults{Latency: 3 * time.Second})
	case "recover":
		f.store.SetFaults(platform.Faults{})
	}
	f.runFor(step.Wait)

	return published
}

// Guards against a daemon that reverts to an older version, and against a version that
// some daemon never installs (requirement R11), after any sequence of faults.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleetStep {
			return fleetStep{
				Action: rapid.SampledFrom([]string{"publish", "publish", "cut", "pause", "pause", "resume", "restart", "outage", "slow", "recover"}).Draw(t, "action"),
				Daemon: rapid.IntRange(0, 3).Draw(t, "daemon"),
				Wait:   time.Duration(rapid.IntRange(0, 6).Draw(t, "wait")) * time.Second,
			}
		}), 1, 15).Draw(rt, "steps")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			defer f.stopAll()
			for i, name := range []string{"a", "b", "c", "d"} {
				f.start(name, i < 2)
			}
			f.publish(t, 1)
			f.runFor(propagationLimit)
			published := 1
			for _, step := range steps {
				published = f.applyStep(t, step, published)
			}
			f.store.SetFaults(platform.Faults{})
			for _, d := range f.daemons {
				d.setPaused(false)
			}
			f.runFor(propagationLimit)
			running := slices.Collect(maps.Values(f.daemons))
			for _, d := range running {
				if got := d.installedVersion(); got != uint64(published) {
					problems = append(problems, fmt.Sprintf("got version %d on %s, want %d", got, d.name, published))
				}
			}
			for _, d := range append(running, f.replaced...) {
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
