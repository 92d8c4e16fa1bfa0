// Package path measures what the way through the daemons adds to a request.
package path

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

// bound is section 1.3 of the design.
const bound = "1 ms added at p99"

// shares are the rates of the measured phases, as shares of the saturation.
var shares = []float64{0.2, 0.5, 0.7}

// Options say how to measure.
type Options struct {
	// Bin is the directory with the programs.
	Bin string
	// Length is the time of each phase.
	Length time.Duration
	// Saturation is the rate of which the levels are shares, in requests per
	// second. 0 means the one that the first phase finds.
	Saturation float64
}

// way is one way from callers to the upstream.
type way struct {
	name    string
	address netip.AddrPort
	traffic *traffic
}

// bench is one run.
type bench struct {
	Options
	fleet *fleet
	// direct, local and remote are the ways without a daemon, through the
	// daemon beside the upstream, and through the other daemon.
	direct, local, remote way
	rows                  []table.Row
}

// Section returns the measures, taken over one fleet of separate processes.
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
		return fmt.Errorf("make a directory for logs: %w", err)
	}

	defer func() { _ = os.RemoveAll(dir) }()

	running, stop, err := newFleet(ctx, b.Bin, dir)
	if err != nil {
		return err
	}

	defer stop()

	b.fleet = running
	daemons := running.cluster.Daemons

	b.direct = way{name: "direct", address: running.upstream}
	b.local = way{name: "one daemon", address: daemons[0].CallerAddress}
	b.remote = way{name: "two daemons", address: daemons[1].CallerAddress}

	for _, w := range []*way{&b.direct, &b.local, &b.remote} {
		w.traffic = newTraffic(w.address, running.key)
		defer w.traffic.close()
	}

	saturation := b.saturation()
	if b.Saturation > 0 {
		saturation = b.Saturation
	}

	for _, share := range shares {
		if err := b.level(ctx, share, saturation, seeds); err != nil {
			return err
		}
	}

	return nil
}

// saturation finds the rate that two daemons sustain.
func (b *bench) saturation() float64 {
	var baselines []table.Baseline

	rate := func(w way) (float64, string) {
		perSecond, failed := w.traffic.saturate(b.Length)

		return perSecond, fmt.Sprintf("%.0f/s, %d failed", perSecond, failed)
	}

	// The first run opens connections and warms the daemons up.
	_, _ = b.remote.traffic.saturate(b.Length / 2)

	perSecond, text := rate(b.remote)

	for _, w := range []way{b.local, b.direct} {
		_, text := rate(w)
		baselines = append(baselines, table.Baseline{Name: w.name, Value: text})
	}

	b.rows = append(b.rows, table.Row{
		Measure: "saturation", Setting: fmt.Sprintf("two daemons, %d callers", saturating), Policy: text, Baselines: baselines,
	})

	return perSecond
}

// level measures the three ways at one rate, in turn for each seed, so that the
// load of other processes meets all of them.
func (b *bench) level(ctx context.Context, share, saturation float64, seeds int) error {
	rate := share * saturation
	direct, local, remote := newSample(), newSample(), newSample()

	used := make([]usage, len(b.fleet.cluster.Daemons))

	for seed := range seeds {
		phase := func(w way) sample { return w.traffic.run(rate, b.Length, uint64(seed)+1) } //nolint:gosec // a small number
		direct.merge(phase(b.direct))
		local.merge(phase(b.local))

		before, err := b.fleet.usages(ctx)
		if err != nil {
			return err
		}

		remote.merge(phase(b.remote))

		after, err := b.fleet.usages(ctx)
		if err != nil {
			return err
		}

		for i := range used {
			used[i] = used[i].plus(after[i].minus(before[i]))
		}
	}

	setting := fmt.Sprintf("%.0f%%, %.0f/s", 100*share, rate)
	b.latencyRows(setting, direct, local, remote)

	for i, role := range []string{"egress", "ingress"} {
		b.rows = append(b.rows, used[i].row(role, setting, remote.latency.TotalCount()))
	}

	return nil
}

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
			row.Bound = bound
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

func (u usage) row(role, setting string, requests int64) table.Row {
	n := float64(max(requests, 1))

	return table.Row{
		Measure: "cost per request of the " + role, Setting: setting,
		Policy: fmt.Sprintf("%.0f µs processor, %.0f allocations, %.1f KB; %d collections, %d MB from the system",
			float64(u.processor.Microseconds())/n, float64(u.mallocs)/n, float64(u.bytes)/n/1e3, u.collections, u.system/1e6),
	}
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2f ms", d.Seconds()*1e3)
}
