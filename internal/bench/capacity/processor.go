package capacity

import (
	"fmt"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
	"github.com/kumquatshelf/kumquatshelf/internal/core/routing"
	"github.com/kumquatshelf/kumquatshelf/internal/core/suspicion"
)

// calls is the number of calls that a time is averaged over.
const calls = 200_000

func processorMeasures() []measure {
	timed := func(role, what, per, mechanism string, sizes []int, rate float64, cost func(int) float64) measure {
		return measure{
			role: role, what: what, unit: core, per: per, mechanism: mechanism, sizes: sizes,
			target: float64(sizes[len(sizes)-1]), rate: rate, cost: cost, every: role == everyDaemon || role == "egress",
		}
	}
	return []measure{
		timed(everyDaemon, "key lookups, 571/s", "key", "keys.Table", thirds(accounts), requestsPerDaemon, keyLookup),
		timed(everyDaemon, "route lookups, 571/s", "route", "routing.Table", thirds(routes), requestsPerDaemon, routeLookup),
		timed(everyDaemon, "installing changes, 6,700 a day", "team", "publication.Load", thirds(services), float64(changesPerDay)/secondsPerDay,
			func(n int) float64 { return installation(n).Next.Seconds() }),
		timed(everyDaemon, "building the route table, 6,700 a day", "route", "routing.New", thirds(routes), float64(changesPerDay)/secondsPerDay,
			func(n int) float64 {
				list := routeList(n)

				return processorTime(3, func(int) { routing.New(list) })
			}),
		timed("egress", "attempts, 571/s", "known record", "attempt.Registry", thirds(65_536), requestsPerDaemon, attempts),
		timed("egress", "queueing, 571/s", "waiting item", "queue.Queue", []int{4, 16, 64}, requestsPerDaemon, queueing),
		timed("egress", "judging results, 571/s", "upstream", "suspicion.Filter", []int{11, 22, perDaemon}, requestsPerDaemon, judging),
		timed(granterRole, "granting, 7,812 requests/s", "client account", "tokens.Granter", thirds(accountsPerGroup), requestsPerGroup, granting),
	}
}

func keyLookup(n int) float64 {
	t, _ := keyTable(n).(*keys.Table)
	hashes := make([]keys.Hash, 4096)
	for i := range hashes {
		hashes[i] = keyHash(sequence(i, n))
	}

	return processorTime(calls, func(i int) { t.Lookup(hashes[i%len(hashes)]) })
}

func routeLookup(n int) float64 {
	list := routeList(n)
	t := routing.New(list)
	targets := make([]string, 4096)
	for i := range targets {
		targets[i] = fmt.Sprintf("%s/a/b?c=%d", list[sequence(i, n)].PathPrefix, i)
	}

	return processorTime(calls, func(i int) {
		t.Match("GET", list[sequence(i%len(targets), n)].Host, targets[i%len(targets)])
	})
}

func attempts(n int) float64 {
	r := newRegistry()
	for i := range n {
		runAttempt(r, i)
	}

	return processorTime(calls, func(i int) { runAttempt(r, n+i) })
}

func queueing(n int) float64 {
	q := queue.New(2 * n)
	for i := range n {
		q.Push(item(i), 3, 0, begin)
	}

	return processorTime(calls, func(i int) {
		q.Push(item(n+i), 3, 0, begin)
		q.Pop(begin)
	})
}

func judging(n int) float64 {
	filters := make([]*suspicion.Filter, n)
	for i := range filters {
		filters[i] = suspicion.New(begin)
	}

	return processorTime(calls, func(i int) {
		filters[i%n].Observe(i%50 == 0, begin.Add(time.Duration(i)*time.Millisecond))
	})
}

func granting(n int) float64 {
	l := newLoad(n)
	for range int(2 * requestsPerGroup) {
		l.ask()
	}

	return processorTime(20_000, func(int) { l.ask() })
}
