package limits

import (
	"fmt"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

// quickLength is the largest virtual time of a scenario that Section runs if full is not
// set.
const quickLength = 10 * time.Minute

// maxParallelRuns bounds the number of seeds that run at the same time.
const maxParallelRuns = 4

// Section returns the rows that compare the rate limiting of internal/core/pool with an
// even split of each limit across instances.
// Unless full is set, it omits the scenarios of more than 10 minutes of virtual time.
func Section(full bool) table.Section {
	return table.Section{Name: "limits", Run: func(seeds int) (rows []table.Row) {
		for _, s := range Scenarios() {
			if full || s.Length <= quickLength {
				rows = append(rows, resultRows(s.runAll(seeds))...)
			}
		}

		return rows
	}}
}

// runAll runs the scenario with the seeds 1 to seeds and adds up the results.
func (s Scenario) runAll(seeds int) Result {
	results := make([]Result, seeds)
	var group sync.WaitGroup
	running := make(chan struct{}, maxParallelRuns)
	for seed := range seeds {
		group.Go(func() {
			running <- struct{}{}
			results[seed] = s.Run(uint64(seed + 1)) //nolint:gosec // small
			<-running
		})
	}
	group.Wait()
	total := results[0]
	for _, r := range results[1:] {
		total.Policy.add(r.Policy)
		total.Baseline.add(r.Baseline)
		total.OverLimit.add(r.OverLimit)
	}

	return total
}

func resultRows(r Result) []table.Row {
	refused := func(c Count) string { return fmt.Sprintf("%d (%.3f%%)", c.RefusedConforming, 100*c.RefusedRatio()) }

	return []table.Row{
		{
			Measure: "refused inside the rate", Setting: r.Scenario, Policy: refused(r.Policy),
			Baselines: []table.Baseline{{Name: "even split", Value: refused(r.Baseline)}},
		},
		{
			Measure: "tokens above rate × t + burst, worst window", Setting: r.Scenario,
			Policy: fmt.Sprintf("%.3f", max(r.Policy.Excess, r.OverLimit.Excess)), Bound: "≤ 0 (R5)",
		},
	}
}
