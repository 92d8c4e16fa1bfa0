package membership

import (
	"fmt"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

// Section measures membership in a fleet of 100 members, and if full is set also at 1,000
// and the target of 3,500, which needs about 6 GB of memory. Its seed is fixed.
func Section(full bool) table.Section {
	return table.Section{Name: "membership", Run: func(int) (rows []table.Row) {
		sizes := []int{100}
		costs := []Cost{{Size: 100, Upstreams: 43, Keys: 10_000}}
		duration := 20 * time.Second
		if full {
			sizes = append(sizes, 1000, 3500)
			costs = append(costs, Cost{Size: 3500, Upstreams: 43, Keys: 280_000})
			duration = time.Minute
		}
		for _, size := range sizes {
			rows = append(rows, sizeRows(size)...)
		}
		for _, c := range costs {
			rows = append(rows, costRows(MeasureCost(c.Size, c.Upstreams, c.Keys, duration))...)
		}
		for _, c := range convergenceCases() {
			r := MeasureConvergence(c.name, 100, 4, c.faults)
			rows = append(rows, table.Row{
				Measure: "convergence", Setting: "100 members, " + c.name, Bound: "all",
				Policy: fmt.Sprintf("all %t after %d rounds, %d suspicions, %d faulty", r.Complete, r.Rounds, r.Suspicions, r.Faulty),
			})
		}

		return rows
	}}
}

func sizeRows(size int) []table.Row {
	s, d := MeasureDissemination(size, zonesOf(size)), MeasureDetection(size, zonesOf(size), 5, Faults{})
	setting := fmt.Sprintf("%d members", size)

	return []table.Row{
		{
			Measure: "rounds until all members have a rumor", Setting: setting, Policy: fmt.Sprint(s.RoundsAll),
			Bound: fmt.Sprintf("≤ %d in 3 s (R4)", int(3*time.Second/Step)),
		},
		{
			Measure: "seconds until all members believe a stopped one faulty", Setting: setting,
			Policy: fmt.Sprintf("mean %.1f, worst %.1f, %d false suspicions", d.MeanUntilFaultyAtAll, d.WorstUntilFaultyAtAll, d.FalseSuspicions),
		},
	}
}

func costRows(c Cost) []table.Row {
	setting := fmt.Sprintf("%d members, %d keys", c.Size, c.Keys)

	return []table.Row{
		{Measure: "bytes per second and daemon", Setting: setting, Policy: fmt.Sprintf("%.0f", c.BytesPerSecond), Bound: "≤ 3000"},
		{Measure: "share of a core", Setting: setting, Policy: fmt.Sprintf("%.3f%%", 100*c.CoreShare), Bound: "≤ 1.7%"},
		{Measure: "heap", Setting: setting, Policy: fmt.Sprintf("%.1f MB", c.HeapBytes/1e6), Bound: "≤ 32 MB"},
	}
}
