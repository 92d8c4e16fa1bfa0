package capacity

import (
	"strings"
	"testing"
)

// Guards against an extrapolation that is wrong by the unit or the intercept,
// and against a cost above the budget that is reported as fitting.
func TestExtrapolation(t *testing.T) {
	t.Parallel()
	m := measure{
		role: "daemon", description: "state", unit: heapUnit, item: "item", mechanism: "map", sizes: []int{10, 20, 40}, target: 1_000_000, rate: 1, summed: true,
		cost: func(n int) float64 { return 5000 + 33*float64(n) },
	}
	rows := runAll([]measure{m})
	if got := rows[0]; got.Policy != "33 MB" || got.Baselines[0].Value != "does not fit" || !strings.HasPrefix(got.Setting, "33 B per item") {
		t.Errorf("got %+v, want 33 MB at 33 B per item, which does not fit", got)
	}
	if len(rows) != 2 || rows[1].Policy != "33 MB" {
		t.Errorf("got %+v, want the sum of what each daemon has", rows)
	}
}

// Guards against measures that panic or return no cost at small sizes.
func TestMeasuresAtSmallSizes(t *testing.T) {
	for _, m := range append(stateMeasures(), messageMeasures()...) {
		if m.unit == trafficUnit && m.item == "member" {
			continue // gossip takes seconds, and internal/bench/membership tests it
		}
		size := min(m.sizes[0], 500)
		if got := m.cost(size); got <= 0 {
			t.Errorf("%s, %s: got %v at %d, want a cost", m.role, m.description, got, size)
		}
	}
}
