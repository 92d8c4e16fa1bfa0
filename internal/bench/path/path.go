// Package path measures the latency and the cost that the daemons add to a request.
package path

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

// latencyBound is the requirement of section 1.3 of the design.
const latencyBound = "1 ms added at p99"

// loadShares are the rates of the measured phases, as shares of the saturation.
var loadShares = []float64{0.2, 0.5, 0.7}

// Options configures a run.
type Options struct {
	// Bin is the directory with the programs of the fleet.
	Bin string
	// Length is the duration of each phase.
	Length time.Duration
	// Saturation is the rate in requests per second that loadShares are multiplied by. If
	// it is 0, the first phase measures it.
	Saturation float64
}

// requestPath is one path from callers to the upstream.
type requestPath struct {
	name    string
	address netip.AddrPort
	traffic *traffic
}

// bench is one run of the measurements.
type bench struct {
	Options
	fleet *fleet
	// direct is the path without a daemon, local the path through the daemon beside the
	// upstream, and remote the path through both daemons, the other one first.
	direct, local, remote requestPath
	rows                  []table.Row
}

// Section returns the rows that are measured at one fleet of separate processes. If the
// run fails, the last row holds the error.
func Section(options Options) table.Section {
	return table.Section{Name: "request path", Run: func(seeds int) []table.Row {
		b := &bench{Options: options}
		if err := b.run(context.Background(), seeds); err != nil {
			b.rows = append(b.rows, table.Row{Measure: "not completed", Policy: err.Error()})
		}

		return b.rows
	}}
}

func (b *bench) run(ctx context.Context, seeds int) error {
	dir, err := os.MkdirTemp("", "kumquatshelf-path-")
	if err != nil {
		return fmt.Errorf("create log directory: %w", err)
	}

	defer func() { _ = os.RemoveAll(dir) }()

	runningFleet, stop, err := newFleet(ctx, b.Bin, dir)
	if err != nil {
		return err
	}

	defer stop()

	b.fleet = runningFleet
	daemons := runningFleet.cluster.Daemons

	b.direct = requestPath{name: "direct", address: runningFleet.upstream}
	b.local = requestPath{name: "one daemon", address: daemons[0].CallerAddress}
	b.remote = requestPath{name: "two daemons", address: daemons[1].CallerAddress}

	for _, p := range []*requestPath{&b.direct, &b.local, &b.remote} {
		p.traffic = newTraffic(p.address, runningFleet.key)
		defer p.traffic.close()
	}

	saturation := b.measureSaturation()
	if b.Saturation > 0 {
		saturation = b.Saturation
	}

	for _, share := range loadShares {
		if err := b.measureAtRate(ctx, share, saturation, seeds); err != nil {
			return err
		}
	}

	return nil
}

// measureSaturation returns the rate in requests per second that two daemons sustain, and
// adds a row that compares it with one daemon and with none.
func (b *bench) measureSaturation() float64 {
	var baselines []table.Baseline

	saturate := func(p requestPath) (float64, string) {
		perSecond, failed := p.traffic.saturate(b.Length)

		return perSecond, fmt.Sprintf("%.0f/s, %d failed", perSecond, failed)
	}

	// This run opens the connections and warms up the daemons.
	_, _ = b.remote.traffic.saturate(b.Length / 2)

	perSecond, text := saturate(b.remote)

	for _, p := range []requestPath{b.local, b.direct} {
		_, text := saturate(p)
		baselines = append(baselines, table.Baseline{Name: p.name, Value: text})
	}

	b.rows = append(b.rows, table.Row{
		Measure: "saturation", Setting: fmt.Sprintf("two daemons, %d callers", saturatingCallers), Policy: text, Baselines: baselines,
	})

	return perSecond
}

// measureAtRate measures the three paths at one rate. It alternates between them for each
// seed, so that the load of other processes affects all of them alike.
func (b *bench) measureAtRate(ctx context.Context, share, saturation float64, seeds int) error {
	rate := share * saturation
	direct, local, remote := newSample(), newSample(), newSample()

	used := make([]usage, len(b.fleet.cluster.Daemons))

	for seed := range seeds {
		phase := func(p requestPath) sample { return p.traffic.run(rate, b.Length, uint64(seed)+1) } //nolint:gosec // a small number
		direct.merge(phase(b.direct))
		local.merge(phase(b.local))

		usagesBefore, err := b.fleet.daemonUsages(ctx)
		if err != nil {
			return err
		}

		remote.merge(phase(b.remote))

		usagesAfter, err := b.fleet.daemonUsages(ctx)
		if err != nil {
			return err
		}

		for i := range used {
			used[i] = used[i].add(usagesAfter[i].sub(usagesBefore[i]))
		}
	}

	setting := fmt.Sprintf("%.0f%%, %.0f/s", 100*share, rate)
	b.latencyRows(setting, direct, local, remote)

	for i, role := range []string{"egress", "ingress"} {
		b.rows = append(b.rows, used[i].row(role, setting, remote.latency.TotalCount()))
	}

	return nil
}

// latencyRows adds a row for each quantile of the latency that the daemons add to the direct
// calls, and a row of failed requests if there were any.
func (b *bench) latencyRows(setting string, direct, local, remote sample) {
	for _, quantile := range []float64{50, 99, 99.9} {
		value := func(s sample) time.Duration { return time.Duration(s.latency.ValueAtQuantile(quantile)) }
		added := func(s sample) string { return milliseconds(value(s) - value(direct)) }

		row := table.Row{
			Measure: fmt.Sprintf("added at p%v", quantile), Setting: setting, Policy: added(remote),
			Baselines: []table.Baseline{
				{Name: "one daemon", Value: added(local)}, {Name: "direct call itself", Value: milliseconds(value(direct))},
			},
		}
		if quantile == 99 {
			row.Bound = latencyBound
		}

		b.rows = append(b.rows, row)
	}

	if failed := direct.failed + local.failed + remote.failed; failed > 0 {
		b.rows = append(b.rows, table.Row{
			Measure: "requests failed", Setting: setting, Policy: fmt.Sprint(remote.failed),
			Baselines: []table.Baseline{
				{Name: "one daemon", Value: fmt.Sprint(local.failed)}, {Name: "direct", Value: fmt.Sprint(direct.failed)},
			},
		})
	}
}

// row returns the usage per request, except for collections and memory from the system.
func (u usage) row(role, setting string, requests int64) table.Row {
	n := float64(max(requests, 1))

	return table.Row{
		Measure: "cost per request of the " + role, Setting: setting,
		Policy: fmt.Sprintf("%.0f µs processor, %.0f allocations, %.1f KB; %d collections, %d MB from the system",
			float64(u.processorTime.Microseconds())/n, float64(u.mallocs)/n, float64(u.allocatedBytes)/n/1e3, u.collections, u.systemBytes/1e6),
	}
}

// milliseconds formats a duration in milliseconds with two decimals.
func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2f ms", d.Seconds()*1e3)
}
