package publication

import (
	"fmt"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Section compares the layouts of the configuration in the store at the target size.
var Section = table.Section{Name: "publication", Run: func(int) []table.Row {
	layouts := CompareLayouts(Target)
	chosen := len(layouts) - 1
	row := func(measure, bound string, value func(LayoutCost) int) table.Row {
		r := table.Row{
			Measure: measure, Setting: fmt.Sprintf("%d teams", Target.Teams),
			Policy: fmt.Sprint(value(layouts[chosen])), Bound: bound,
		}
		for _, l := range layouts[:chosen] {
			r.Baselines = append(r.Baselines, table.Baseline{Name: l.Layout, Value: fmt.Sprint(value(l))})
		}

		return r
	}

	return []table.Row{
		row("bytes read by a daemon per change", "", func(r LayoutCost) int { return r.ReadBytes }),
		row("bytes per second and daemon", "≤ 3000 (all of the control plane)", func(r LayoutCost) int { return int(r.BytesPerSecond) }),
		row("bytes of the largest object", fmt.Sprintf("≤ %d", fleet.MaxObjectBytes), func(r LayoutCost) int { return r.LargestObject }),
		row("objects written per change", "", func(r LayoutCost) int { return r.Writes }),
	}
}}
