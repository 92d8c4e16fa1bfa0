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

// pathsAround returns all paths that leave a zone if out is true, or else all paths
// into it. They include the path to or from the store.
func pathsAround(zone string, out bool) []path {
	var paths []path

	for _, other := range []string{"a", "b", "c", storeSite} {
		if other == zone {
			continue
		}

		if out {
			paths = append(paths, path{zone, other})
		} else {
			paths = append(paths, path{other, zone})
		}
	}

	return paths
}

// TestWithdrawalUnderCut guards against a withdrawn key that keeps working where the
// withdrawal cannot arrive, against isolated daemons that run requests with keys or
// report them wrongly as not run, and against daemons that do not recover.
func TestWithdrawalUnderCut(t *testing.T) {
	for _, test := range []struct {
		name string
		cuts []path
		// withdrawnAt is the index of the daemon at which the key is withdrawn.
		withdrawnAt int
		outage      bool
		// contained says that the withdrawal cannot leave its zone before the cut ends.
		contained bool
		// isolated is the zone whose daemons must refuse requests with keys.
		isolated string
	}{
		{name: "withdrawn on the sending side", cuts: []path{{"a", "b"}}, withdrawnAt: 0},
		{name: "withdrawn on the receiving side", cuts: []path{{"a", "b"}}, withdrawnAt: 1},
		{name: "withdrawn on the sending side, store outage", cuts: []path{{"a", "b"}}, withdrawnAt: 0, outage: true},
		{name: "withdrawn on the receiving side, store outage", cuts: []path{{"a", "b"}}, withdrawnAt: 1, outage: true},
		{name: "zone cannot send", cuts: pathsAround("c", true), withdrawnAt: 0, isolated: "c"},
		{name: "zone cannot receive", cuts: pathsAround("c", false), withdrawnAt: 0, isolated: "c"},
		{name: "zone cannot send, withdrawn in it, store outage", cuts: pathsAround("c", true), withdrawnAt: 2, outage: true, contained: true, isolated: "c"},
		{name: "zone cannot receive, withdrawn in it, store outage", cuts: pathsAround("c", false), withdrawnAt: 2, outage: true, isolated: "c"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFleet(t, defaultZones...)

			var streams []load.Stream
			for i := range f.daemons {
				streams = append(streams, f.readStream("Leaving", 20, i), f.readStream("Steady", 10, i))
			}

			var cutAt, restoredAt time.Time

			results := f.runTraffic(t, streams, func() {
				time.Sleep(time.Second)

				cutAt = time.Now()

				f.store.SetFaults(platform.Faults{Outage: test.outage})
				f.network.cut(test.cuts...)
				f.daemons[test.withdrawnAt].WithdrawKey(keys.HashKey(f.keys["Leaving"]), "test")
				time.Sleep(3 * reactionLimit)
				f.network.restore()
				f.store.SetFaults(platform.Faults{})

				restoredAt = time.Now()

				f.awaitAccount(t, "Steady")
				time.Sleep(reactionLimit)
			})

			f.reportFailures(t, results, streams, func(result load.Result) string {
				i := slices.IndexFunc(streams, func(s load.Stream) bool { return s.Name == result.Stream })
				zone := f.settings[streams[i].DaemonIndex].AvailabilityZone
				// A watch that was sent to the store before the cut may still deliver
				// the withdrawal, which counts as contact, within the bound of
				// requirement R4.
				isolatedNow := result.Sent.Sub(cutAt) > reactionLimit+keys.FreshnessLimit && result.Sent.Before(restoredAt)
				late := result.Sent.Sub(cutAt) > reactionLimit

				if test.contained && zone != test.isolated {
					late = result.Sent.Sub(restoredAt) > reactionLimit
				}

				switch {
				case streams[i].ClientAccount == "Leaving" && late && result.Verdict != load.NotRun:
					return "the withdrawn key worked"
				case zone == test.isolated && isolatedNow && (result.Verdict != load.NotRun || refusalReason(result) != "Isolated"):
					return "the isolated daemon did not refuse as Isolated"
				}

				return ""
			})
			f.checkWithdrawnInStore(t)
		})
	}
}

// reportFailures fails the test for each result for which describeFailure returns a
// text that is not empty, and for requests that were refused as Isolated but ran.
func (f *testFleet) reportFailures(t *testing.T, results []load.Result, streams []load.Stream, describeFailure func(load.Result) string) {
	t.Helper()

	failures := make(map[string]int)
	ran := f.runCounts()

	for _, result := range results {
		if failure := describeFailure(result); failure != "" {
			failures[fmt.Sprintf("%s: %s %s %s", failure, result.Stream, result.Verdict, refusalReason(result))]++
		}

		if result.Verdict == load.NotRun && refusalReason(result) == "Isolated" && ran[result.ID] > 0 {
			failures["refused as Isolated and run"]++
		}
	}

	for _, failure := range slices.Sorted(maps.Keys(failures)) {
		t.Errorf("%d × %s", failures[failure], failure)
	}

	t.Logf("%+v", load.Compare(results, streams, ran, func(load.Result) bool { return true }))
}

// checkWithdrawnInStore waits until the store has the key of the client account
// Leaving as withdrawn, and checks that every daemon then refuses it as BadKey.
func (f *testFleet) checkWithdrawnInStore(t *testing.T) {
	t.Helper()

	for deadline := time.Now().Add(recoveryTimeout); ; time.Sleep(100 * time.Millisecond) {
		object, _ := f.store.Get(t.Context(), keystore.Kind, keystore.Hash(f.keys["Leaving"]))
		if stored, ok := keystore.Decode(object); ok && stored.Withdrawn {
			break
		}

		if time.Now().After(deadline) {
			t.Fatalf("the store did not learn of the withdrawal within %s", recoveryTimeout)
		}
	}

	client, closeClient := load.NewClient(f.callerAddresses(), "after-"+uuid.NewString(), callTimeout)
	defer closeClient()

	for i, address := range f.callerAddresses() {
		got := client.SendTo(t.Context(), f.readStream("Leaving", 1, i), uuid.NewString(), address)
		if got.Verdict != load.NotRun || !strings.Contains(got.Reason, "BadKey") {
			t.Errorf("daemon %s: got %s %s for the withdrawn key, want NotRun BadKey", f.settings[i].Name, got.Verdict, got.Reason)
		}
	}
}
