// Package capacity measures the cost of a daemon's state and messages, and of the store,
// at three or more sizes and extrapolates it to the target of section 1.3 of the design.
package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

// The target of section 1.3 of the design.
const (
	daemons        = 3_500
	upstreams      = 150_000
	services       = 6_700
	routes         = 51_000
	accounts       = 280_000
	zones          = 32
	groups         = 256
	changesPerDay  = 6_700
	restartsPerDay = 11_000
	secondsPerDay  = 24 * 60 * 60

	upstreamsPerDaemon = 43
	requestsPerDaemon  = 2_000_000.0 / daemons
	accountsPerGroup   = accounts / groups
	requestsPerGroup   = 2_000_000.0 / groups
)

// Roles that the table names for a cost. The others are "egress" and "store".
const (
	everyDaemon = "every daemon"
	granterRole = "granter"
)

// streamOverheadBytes is the size of the six headers of 12 bytes that yamux adds to each
// exchange.
const streamOverheadBytes = 6 * 12

// unit is the unit of a cost, with the budget for it.
type unit struct {
	name string
	// scale is the factor that converts bytes, seconds of processor time per second,
	// bytes per second or calls per second to the unit.
	scale float64
	// budget is the largest value that fits, in the unit.
	budget float64
	// slopeUnit is the name of the unit of slopes.
	slopeUnit string
}

var (
	heapUnit    = unit{"MB", 1e-6, 32, "B"}
	coreUnit    = unit{"% of a core", 100, 1.7, "ns"}
	trafficUnit = unit{"KB/s", 1e-3, 3, "B/s"}
	// The budget of storeReadsUnit is the rate of reads that the store sustains for the
	// whole fleet.
	storeReadsUnit = unit{"reads/s", 1, 2000, "reads/s"}
)

// measure is one cost as a function of a size. mechanism names the data structure or the
// protocol that has the cost.
type measure struct {
	role, description string
	unit              unit
	// item is the name of one item of the size, in the singular.
	item      string
	mechanism string
	// sizes are the sizes at which the cost is measured, and target is the size to which it
	// is extrapolated.
	sizes  []int
	target float64
	// rate is how often per second the cost arises. It is 1 for memory and for a cost that
	// is already per second.
	rate float64
	cost func(size int) float64
	// summed includes the cost in the sum of the costs of each daemon.
	summed bool
}

// result is a measured cost. slope is the cost of one more item without rate and scale,
// and value is the cost at the target in the unit.
type result struct {
	measure
	slope, value float64
}

// run measures the cost at all sizes and extrapolates it to the target. A negative value
// becomes 0.
func (m measure) run() result {
	xs, ys := make([]float64, len(m.sizes)), make([]float64, len(m.sizes))
	for i, size := range m.sizes {
		xs[i], ys[i] = float64(size), m.cost(size)
	}
	slope, intercept := fitLine(xs, ys)

	return result{m, slope, max(0, intercept+slope*m.target) * m.rate * m.unit.scale}
}

// fitLine returns the least-squares line through the points.
func fitLine(xs, ys []float64) (slope, intercept float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)

	return slope, (sy - slope*sx) / n
}

// slopeText describes the cost of one more item. For processor time it begins with the
// cost of a call, because the cost of a lookup or a request hardly depends on the size.
func (r result) slopeText() string {
	if r.unit == coreUnit {
		return fmt.Sprintf("%.3g ns a call, %.3g ns per %s at %v", 1e9*r.value/r.rate/r.unit.scale, 1e9*r.slope, r.item, r.sizes)
	}

	return fmt.Sprintf("%.3g %s per %s at %v", r.slope*r.rate, r.unit.slopeUnit, r.item, r.sizes)
}

func (r result) row() table.Row {
	return table.Row{
		Measure: r.role + ": " + r.description,
		Setting: r.slopeText(),
		Policy:  fmt.Sprintf("%.3g %s", r.value, r.unit.name),
		Baselines: []table.Baseline{{
			Name: r.mechanism, Value: verdict(r.value, r.unit),
		}},
		Bound: fmt.Sprintf("%.3g %s", r.unit.budget, r.unit.name),
	}
}

func verdict(value float64, u unit) string {
	if value > u.budget {
		return "does not fit"
	}

	return "fits"
}

// Section returns one row for each cost, with its role and description, its slope, its
// value at the target, whether the value fits the budget and with which mechanism, and the
// budget. It measures only costs for which the string "role: description" contains match.
func Section(match string) table.Section {
	return table.Section{Name: "capacity", Run: func(int) []table.Row {
		return runAll(slices.DeleteFunc(measures(), func(m measure) bool { return !strings.Contains(m.role+": "+m.description, match) }))
	}}
}

func measures() []measure {
	var all []measure
	all = append(all, stateMeasures()...)
	all = append(all, processorMeasures()...)
	all = append(all, messageMeasures()...)

	return append(all, storeMeasures()...)
}

// runAll measures all costs and returns their rows, followed by the sums of the costs that
// each daemon has, by unit.
func runAll(all []measure) []table.Row {
	var rows []table.Row
	sums := map[string]float64{}
	for _, m := range all {
		r := m.run()
		rows = append(rows, r.row())
		if m.summed {
			sums[m.unit.name] += r.value
		}
	}
	for _, u := range []unit{heapUnit, coreUnit, trafficUnit} {
		if sums[u.name] > 0 {
			rows = append(rows, table.Row{
				Measure: "every daemon: sum of the rows that apply to each", Setting: "",
				Policy:    fmt.Sprintf("%.3g %s", sums[u.name], u.name),
				Baselines: []table.Baseline{{Name: "all of them", Value: verdict(sums[u.name], u)}},
				Bound:     fmt.Sprintf("%.3g %s", u.budget, u.name),
			})
		}
	}

	return rows
}

// measureHeap returns the bytes of live heap that the result of build adds.
func measureHeap(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)

	return max(0, float64(after)-float64(before))
}

func liveHeap() uint64 {
	// The second collection frees the memory that finalizers and pools still referenced
	// during the first.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)

	return stats.HeapAlloc
}

// processorTimePerCall calls f count times and returns the mean processor time of one call
// in seconds. It counts the whole process, garbage collection included.
func processorTimePerCall(count int, f func(i int)) float64 {
	before := usedProcessorTime()
	for i := range count {
		f(i)
	}

	return (usedProcessorTime() - before).Seconds() / float64(count)
}

// usedProcessorTime returns the processor time of the process so far, in user and system
// mode.
func usedProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Sprintf("capacity: read resource usage: %v", err))
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fractionsOf returns a quarter of n, half of n and n.
func fractionsOf(n int) []int { return []int{n / 4, n / 2, n} }
