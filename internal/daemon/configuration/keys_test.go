package configuration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/config/keystore"
	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

// putKey gives or withdraws a key as the operators' client does.
func (f *testFleet) putKey(hash string, withdrawn bool) {
	for range 50 {
		var outcome fleet.StoreOutcome
		if withdrawn {
			_, outcome = keystore.Withdraw(context.Background(), f.store, hash, "A")
		} else {
			outcome = keystore.Issue(context.Background(), f.store, hash, "A")
		}
		if outcome == fleet.StoreOK || outcome == fleet.StoreConflict {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

type keyStep struct {
	Action string
	Key    int
	Daemon int
	Wait   time.Duration
}

func (s keyStep) String() string {
	return fmt.Sprintf("%s %d on %d, %v", s.Action, s.Key, s.Daemon, s.Wait)
}

func runKeys(steps []keyStep) []string {
	f := newFleet()
	defer f.end()
	names := []string{"a", "b", "c"}
	for i, name := range names {
		f.start(name, i < 2)
	}
	withdrawn, given := map[string]bool{}, map[string]bool{}
	for _, step := range steps {
		hash := publication.Hash(fmt.Append(nil, step.Key))
		switch step.Action {
		case "give":
			given[hash] = true
			go f.putKey(hash, false)
		case "withdraw in store":
			withdrawn[hash] = true
			go f.putKey(hash, true)
			// The operators' client tells a daemon too.
			f.daemons[names[step.Daemon]].Publish(KeyEntry(hash, keystore.Key{Withdrawn: true}))
		case "withdraw on daemon":
			withdrawn[hash] = true
			f.daemons[names[step.Daemon]].Publish(KeyEntry(hash, keystore.Key{Withdrawn: true}))
		case "outage":
			f.store.SetFaults(platform.Faults{Outage: true})
		case "slow":
			f.store.SetFaults(platform.Faults{Latency: 600 * time.Millisecond})
		case "refuse":
			for _, d := range f.daemons {
				d.mu.Lock()
				d.refusePuts = 1
				d.mu.Unlock()
			}
		case "lose":
			f.store.SetFaults(platform.Faults{LoseAnswers: 0.5})
		case "restart":
			name := names[step.Daemon]
			f.daemons[name].stop()
			f.mu.Lock()
			delete(f.daemons, name)
			f.mu.Unlock()
			f.start(name, step.Daemon < 2)
		case "well":
			f.store.SetFaults(platform.Faults{})
		}
		f.settle(step.Wait)
	}
	f.settle(time.Second)
	f.store.SetFaults(platform.Faults{})
	f.settle(time.Minute)

	return f.compareKeys(given, withdrawn)
}

func (f *testFleet) compareKeys(given, withdrawn map[string]bool) []string {
	var problems []string
	for hash := range withdrawn {
		object, _ := f.store.Get(context.Background(), keystore.Kind, hash)
		if !strings.Contains(string(object.Value), `"Withdrawn":true`) {
			problems = append(problems, fmt.Sprintf("got %s in the store, want the key withdrawn", object.Value))
		}
	}
	for name, d := range f.daemons {
		versions := map[string]uint64{}
		d.Range(fleet.KindKey, func(entry fleet.Entry) { versions[entry.Key] = entry.Version })
		for hash := range withdrawn {
			if versions[hash] != KeyVersionWithdrawn {
				problems = append(problems, fmt.Sprintf("got version %d on %s, want a withdrawn key", versions[hash], name))
			}
		}
		for hash := range given {
			if _, outcome := f.store.Get(context.Background(), keystore.Kind, hash); outcome == fleet.StoreOK && versions[hash] == 0 {
				problems = append(problems, fmt.Sprintf("got no entry on %s, want the given key", name))
			}
		}
		for hash, version := range versions {
			if !withdrawn[hash] && (version != KeyVersionGiven || !given[hash]) {
				problems = append(problems, fmt.Sprintf("got version %d on %s, want a given key", version, name))
			}
		}
	}

	return problems
}

// Guards against a withdrawn key that works again or is missing in the store
// (R4): give and withdraw race, the store fails and daemons restart.
func TestKeysOnlyMoveToWithdrawn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyStep {
			return keyStep{
				Action: rapid.SampledFrom([]string{"give", "give", "withdraw in store", "withdraw on daemon", "outage", "slow", "refuse", "lose", "well", "restart"}).Draw(t, "action"),
				Key:    rapid.IntRange(0, 3).Draw(t, "key"),
				Daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
				Wait:   time.Duration(rapid.IntRange(1, 4).Draw(t, "wait")) * time.Second,
			}
		}), 1, 12).Draw(rt, "steps")
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = runKeys(steps) })
		if len(problems) > 0 {
			rt.Fatalf("got problems:\n%s", strings.Join(problems, "\n"))
		}
	})
}
