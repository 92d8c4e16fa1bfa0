package accounts

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

// workers bounds the runs at the same time.
const workers = 4

// Section measures how each client account is served.
var Section = table.Section{Name: "client accounts", Run: run}

// tally is what became of the requests inside the rate of one client account.
type tally struct {
	offered, answered int
	// refused counts those that ended without having run.
	refused   int
	latencies []time.Duration
}

type result struct{ accounts []tally }

// p99 returns the 99th percentile of the latency, in which requests without an
// answer count with the deadline.
func (t tally) p99() time.Duration {
	all := slices.Clone(t.latencies)
	for range t.offered - t.answered {
		all = append(all, deadline)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)

	return all[(len(all)*99+99)/100-1]
}

func (t tally) share() float64 { return float64(t.answered) / float64(max(1, t.offered)) }

// worst returns the client account with the lowest share of answers.
func (r result) worst() (worst tally) {
	for i, t := range r.accounts {
		if t.offered > 0 && (i == 0 || worst.offered == 0 || t.share() < worst.share()) {
			worst = t
		}
	}

	return worst
}

func (r result) total() (total tally) {
	for _, t := range r.accounts {
		total.add(t)
	}

	return total
}

func (t *tally) add(o tally) {
	t.offered += o.offered
	t.answered += o.answered
	t.refused += o.refused
	t.latencies = append(t.latencies, o.latencies...)
}

// run plays all scenarios under all policies.
func run(seeds int) (rows []table.Row) {
	for _, d := range deployments() {
		for _, s := range scenarios() {
			rows = append(rows, rowsOf(d, s, playAll(d, s, seeds))...)
		}
	}

	return rows
}

// playAll returns the results of all seeds by policy.
func playAll(d deployment, s scenario, seeds int) (results [policies][]result) {
	var running sync.WaitGroup
	places := make(chan struct{}, workers)
	for p := range policies {
		results[p] = make([]result, seeds)
		for seed := range seeds {
			running.Go(func() {
				places <- struct{}{}
				results[p][seed] = play(d, s, p, uint64(seed+1)) //nolint:gosec // small
				<-places
			})
		}
	}
	running.Wait()

	return results
}

// join adds up a part of the results of all seeds.
func join(results []result, part func(result) tally) (joined tally) {
	for _, r := range results {
		joined.add(part(r))
	}

	return joined
}

func rowsOf(d deployment, s scenario, results [policies][]result) []table.Row {
	row := func(measure, bound string, value func([]result) string) table.Row {
		r := table.Row{
			Measure: measure, Setting: d.Name + ", " + s.name, Bound: bound, Policy: value(results[thisPolicy]),
		}
		for p := thisPolicy + 1; p < policies; p++ {
			r.Baselines = append(r.Baselines, table.Baseline{Name: p.String(), Value: value(results[p])})
		}

		return r
	}
	part := func(of func(result) tally) func([]result) string {
		return func(results []result) string {
			t := join(results, of)

			return fmt.Sprintf("%.2f%%, p99 %v", 100*t.share(), t.p99().Round(time.Millisecond))
		}
	}

	return []table.Row{
		row("worst account, answered in time", "", part(result.worst)),
		row("all accounts, answered in time", "", part(result.total)),
		row("refused inside the rate", "", func(results []result) string {
			return strconv.Itoa(join(results, result.total).refused)
		}),
	}
}
