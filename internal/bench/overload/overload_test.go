package overload

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
)

// play runs a pattern with several seeds and adds the results up.
func play(t *testing.T, pattern Pattern, policy Policy, seeds uint64) Result {
	t.Helper()
	sum := Result{}
	for seed := range seeds {
		synctest.Test(t, func(*testing.T) { sum = sum.Add(Run(pattern, policy, seed+1)) })
	}

	return sum
}

// TestTable prints what becomes of the requests of each pattern under the
// policies.
func TestTable(t *testing.T) {
	for _, load := range []float64{1, 1.5, 2} {
		for _, p := range []struct {
			name   string
			policy Policy
		}{{"all", Policy{}}} {
			pattern := Booking(load)
			r := play(t, pattern, p.policy, 3)
			t.Logf("%s x%v, %s: worth %.3f, %d KB across, %d attempts, %d visits, %d repeats",
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
