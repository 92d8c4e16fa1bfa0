package capacity

import (
	"fmt"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
	"github.com/kumquatshelf/kumquatshelf/internal/core/routing"
	"github.com/kumquatshelf/kumquatshelf/internal/core/suspicion"
)

// timedCalls is the number of calls over which a processor time is averaged.
const timedCalls = 200_000

// processorMeasures returns the costs in processor time. Each cost is the time of one call
// in seconds, and its rate is in calls per second.
func processorMeasures() []measure {
	timed := func(role, description, item, mechanism string, sizes []int, rate float64, cost func(int) float64) measure {
		return measure{
			role: role, description: description, unit: coreUnit, item: item, mechanism: mechanism, sizes: sizes,
			target: float64(sizes[len(sizes)-1]), rate: rate, cost: cost, summed: role == everyDaemon || role == "egress",
		}
	}
	return []measure{
		timed(everyDaemon, "key lookups, 571/s", "key", "keys.Table", fractionsOf(accounts), requestsPerDaemon, keyLookupTime),
		timed(everyDaemon, "route lookups, 571/s", "route", "routing.Table", fractionsOf(routes), requestsPerDaemon, routeLookupTime),
		timed(everyDaemon, "installing changes, 6,700 a day", "team", "publication.Load", fractionsOf(services), float64(changesPerDay)/secondsPerDay,
			func(n int) float64 { return installTeams(n).NextDuration.Seconds() }),
		timed(everyDaemon, "building the route table, 6,700 a day", "route", "routing.New", fractionsOf(routes), float64(changesPerDay)/secondsPerDay,
			func(n int) float64 {
				list := routeList(n)

				return processorTimePerCall(3, func(int) { routing.New(list) })
			}),
		timed("egress", "attempts, 571/s", "known record", "attempt.Registry", fractionsOf(65_536), requestsPerDaemon, attemptTime),
		timed("egress", "queueing, 571/s", "waiting item", "queue.Queue", []int{4, 16, 64}, requestsPerDaemon, queueTime),
		timed("egress", "judging results, 571/s", "upstream", "suspicion.Filter", []int{11, 22, upstreamsPerDaemon}, requestsPerDaemon, suspicionTime),
		timed(granterRole, "granting, 7,812 requests/s", "client account", "tokens.Granter", fractionsOf(accountsPerGroup), requestsPerGroup, grantTime),
	}
}

// keyLookupTime returns the seconds of processor time of one lookup in a table of n keys.
func keyLookupTime(n int) float64 {
	t, _ := newKeyTable(n).(*keys.Table)
	hashes := make([]keys.Hash, 4096)
	for i := range hashes {
		hashes[i] = keyHash(scatteredIndex(i, n))
	}

	return processorTimePerCall(timedCalls, func(i int) { t.Lookup(hashes[i%len(hashes)]) })
}

// routeLookupTime returns the seconds of processor time of one match among n routes.
func routeLookupTime(n int) float64 {
	list := routeList(n)
	t := routing.New(list)
	targets := make([]string, 4096)
	for i := range targets {
		targets[i] = fmt.Sprintf("%s/a/b?c=%d", list[scatteredIndex(i, n)].PathPrefix, i)
	}

	return processorTimePerCall(timedCalls, func(i int) {
		t.Match("GET", list[scatteredIndex(i%len(targets), n)].Host, targets[i%len(targets)])
	})
}

// attemptTime returns the seconds of processor time of one attempt in a registry that has n
// records before the first.
func attemptTime(n int) float64 {
	r := newRegistry()
	for i := range n {
		runAttempt(r, i)
	}

	return processorTimePerCall(timedCalls, func(i int) { runAttempt(r, n+i) })
}

// queueTime returns the seconds of processor time of one push and one pop with n waiting
// items.
func queueTime(n int) float64 {
	q := queue.New(2 * n)
	for i := range n {
		q.Push(item(i), 3, 0, epoch)
	}

	return processorTimePerCall(timedCalls, func(i int) {
		q.Push(item(n+i), 3, 0, epoch)
		q.Pop(epoch)
	})
}

// suspicionTime returns the seconds of processor time of one observation at one of n
// upstreams.
func suspicionTime(n int) float64 {
	filters := make([]*suspicion.Filter, n)
	for i := range filters {
		filters[i] = suspicion.New(epoch)
	}

	return processorTimePerCall(timedCalls, func(i int) {
		filters[i%n].Observe(i%50 == 0, epoch.Add(time.Duration(i)*time.Millisecond))
	})
}

// grantTime returns the seconds of processor time of one token request at a granter of n
// client accounts.
func grantTime(n int) float64 {
	l := newGrantLoad(n)
	for range int(2 * requestsPerGroup) {
		l.request()
	}

	return processorTimePerCall(20_000, func(int) { l.request() })
}
