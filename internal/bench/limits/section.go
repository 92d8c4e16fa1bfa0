package limits

import (
	"fmt"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

// quickLength is the longest scenario of a quick run.
const quickLength = 10 * time.Minute

// workers bounds the runs at the same time.
const workers = 4

// Section compares the limits with an even split across instances. Unless full
// is set, it leaves out the scenarios of more than 10 minutes of virtual time.
func Section(full bool) table.Section {
	return table.Section{Name: "limits", Run: func(seeds int) (rows []table.Row) {
		for _, s := range Scenarios() {
			if full || s.Length <= quickLength {
				rows = append(rows, rowsOf(s.runAll(seeds))...)
			}
		}

		return rows
	}}
}

// runAll adds up the results of all seeds.
func (s Scenario) runAll(seeds int) Result {
	results := make([]Result, seeds)
	var running sync.WaitGroup
	places := make(chan struct{}, workers)
	for seed := range seeds {
		running.Go(func() {
			places <- struct{}{}
			results[seed] = s.Run(uint64(seed + 1)) //nolint:gosec // small
			<-places
		})
	}
	running.Wait()
	joined := results[0]
	for _, r := range results[1:] {
		joined.Policy.add(r.Policy)
		joined.Baseline.add(r.Baseline)
		joined.OverLimit.add(r.OverLimit)
	}

	return joined
}

func rowsOf(r Result) []table.Row {
	wrong := func(c Count) string { return fmt.Sprintf("%d (%.3f%%)", c.RefusedConforming, 100*c.RefusedRatio()) }

	return []table.Row{
		{
			Measure: "refused inside the rate", Setting: r.Scenario, Policy: wrong(r.Policy),
			Baselines: []table.Baseline{{Name: "even split", Value: wrong(r.Baseline)}},
		},
		{
			Measure: "tokens above rate × t + burst, worst window", Setting: r.Scenario,
			Policy: fmt.Sprintf("%.3f", max(r.Policy.Excess, r.OverLimit.Excess)), Bound: "≤ 0 (R5)",
		},
	}
}
