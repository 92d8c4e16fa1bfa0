package server

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/kumquatshelf/kumquatshelf/internal/config/keystore"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

// around returns the ways from or to a zone, those to and from the store included.
func around(zone string, out bool) []way {
	var ways []way

	for _, other := range []string{"a", "b", "c", storeSite} {
		if other == zone {
			continue
		}

		if out {
			ways = append(ways, way{zone, other})
		} else {
			ways = append(ways, way{other, zone})
		}
	}

	return ways
}

// TestWithdrawalUnderCut guards against a withdrawn key that goes on working
// where the withdrawal cannot arrive, against isolated daemons that run keyed
// requests or say so wrongly, and against daemons that do not return.
func TestWithdrawalUnderCut(t *testing.T) {
	for _, test := range []struct {
		name string
		cuts []way
		// taken is the daemon at which the key is withdrawn.
		taken int
		away  bool
		// unheard says that the withdrawal cannot leave its zone before the end
		// of the cut.
		unheard bool
		// isolated is the zone whose daemons have to refuse keyed requests.
		isolated string
	}{
		{name: "withdrawn before the cut", cuts: []way{{"a", "b"}}, taken: 0},
		{name: "withdrawn behind the cut", cuts: []way{{"a", "b"}}, taken: 1},
		{name: "withdrawn before the cut, store away", cuts: []way{{"a", "b"}}, taken: 0, away: true},
		{name: "withdrawn behind the cut, store away", cuts: []way{{"a", "b"}}, taken: 1, away: true},
		{name: "zone cannot send", cuts: around("c", true), taken: 0, isolated: "c"},
		{name: "zone cannot receive", cuts: around("c", false), taken: 0, isolated: "c"},
		{name: "zone cannot send, withdrawn in it, store away", cuts: around("c", true), taken: 2, away: true, unheard: true, isolated: "c"},
		{name: "zone cannot receive, withdrawn in it, store away", cuts: around("c", false), taken: 2, away: true, isolated: "c"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFleet(t, zones...)

			var streams []load.Stream
			for i := range f.daemons {
				streams = append(streams, f.read("Leaving", 20, i), f.read("Steady", 10, i))
			}

			var cutAt, healedAt time.Time

			results := f.traffic(t, streams, func() {
				time.Sleep(time.Second)

				cutAt = time.Now()

				f.store.SetFaults(platform.Faults{Outage: test.away})
				f.links.sever(test.cuts...)
				f.daemons[test.taken].WithdrawKey(keys.HashKey(f.keys["Leaving"]), "test")
				time.Sleep(3 * tolerated)
				f.links.heal()
				f.store.SetFaults(platform.Faults{})

				healedAt = time.Now()

				f.await(t, "Steady")
				time.Sleep(tolerated)
			})

			f.judge(t, results, streams, func(result load.Result) string {
				i := slices.IndexFunc(streams, func(s load.Stream) bool { return s.Name == result.Stream })
				zone := f.settings[streams[i].DaemonIndex].AvailabilityZone
				// A watch that waits at the store since before the cut may bring
				// the withdrawal, and with it contact, within the bound of R4.
				during := result.Sent.Sub(cutAt) > tolerated+keys.FreshnessLimit && result.Sent.Before(healedAt)
				late := result.Sent.Sub(cutAt) > tolerated

				if test.unheard && zone != test.isolated {
					late = result.Sent.Sub(healedAt) > tolerated
				}

				switch {
				case streams[i].ClientAccount == "Leaving" && late && result.Verdict != load.NotRun:
					return "the withdrawn key worked"
				case zone == test.isolated && during && (result.Verdict != load.NotRun || reason(result) != "Isolated"):
					return "the isolated daemon did not refuse as Isolated"
				}

				return ""
			})
			f.withdrawnInStore(t)
		})
	}
}

// judge reports the results that wrong names a failure for, and requests that
// were said not to have run but did.
func (f *testFleet) judge(t *testing.T, results []load.Result, streams []load.Stream, wrong func(load.Result) string) {
	t.Helper()

	failures := make(map[string]int)
	ran := f.ran()

	for _, result := range results {
		if what := wrong(result); what != "" {
			failures[fmt.Sprintf("%s: %s %s %s", what, result.Stream, result.Verdict, reason(result))]++
		}

		if result.Verdict == load.NotRun && reason(result) == "Isolated" && ran[result.ID] > 0 {
			failures["refused as Isolated and run"]++
		}
	}

	for _, what := range slices.Sorted(maps.Keys(failures)) {
		t.Errorf("%d × %s", failures[what], what)
	}

	t.Logf("%+v", load.Compare(results, streams, ran, func(load.Result) bool { return true }))
}

// withdrawnInStore waits until the store has the key as withdrawn, and checks
// that it works nowhere.
func (f *testFleet) withdrawnInStore(t *testing.T) {
	t.Helper()

	for deadline := time.Now().Add(settleTimeout); ; time.Sleep(100 * time.Millisecond) {
		object, _ := f.store.Get(t.Context(), keystore.Kind, keystore.Hash(f.keys["Leaving"]))
		if stored, ok := keystore.Decode(object); ok && stored.Withdrawn {
			break
		}

		if time.Now().After(deadline) {
			t.Fatalf("the store did not learn of the withdrawal within %s", settleTimeout)
		}
	}

	client, closeClient := load.NewClient(f.callers(), "after-"+uuid.NewString(), callTimeout)
	defer closeClient()

	for i, address := range f.callers() {
		got := client.SendTo(t.Context(), f.read("Leaving", 1, i), uuid.NewString(), address)
		if got.Verdict != load.NotRun || !strings.Contains(got.Reason, "BadKey") {
			t.Errorf("daemon %s: got %s %s for the withdrawn key, want NotRun BadKey", f.settings[i].Name, got.Verdict, got.Reason)
		}
	}
}
