package overload

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
)

// runSeeds runs a pattern with the seeds 1 to seeds and adds up the results.
func runSeeds(t *testing.T, pattern Pattern, policy Policy, seeds uint64) Result {
	t.Helper()
	sum := Result{}
	for seed := range seeds {
		synctest.Test(t, func(*testing.T) { sum = sum.Add(Run(pattern, policy, seed+1)) })
	}

	return sum
}

// TestTable logs the outcomes of the requests of the booking pattern at 1, 1.5 and 2 times
// its load. It checks nothing beyond the end of each run.
func TestTable(t *testing.T) {
	for _, load := range []float64{1, 1.5, 2} {
		for _, p := range []struct {
			name   string
			policy Policy
		}{{"all", Policy{}}} {
			pattern := Booking(load)
			r := runSeeds(t, pattern, p.policy, 3)
			t.Logf("%s x%v, %s: earned %.3f, %d KB between zones, %d attempts, %d refused by egresses, %d repeats",
				pattern.Name, load, p.name, r.EarnedShare(pattern.Classes), r.CrossZoneBytes>>10, r.Attempts, r.EgressRefusals, r.Repeats)
			for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
				t.Logf("    %5d %s", r.Reasons[reason], reason)
			}
			for _, name := range r.ClassNames() {
				o := r.Classes[name]
				t.Logf("    %s: %+v served %.3f", name, o, o.ServedShare())
			}
		}
	}
}
