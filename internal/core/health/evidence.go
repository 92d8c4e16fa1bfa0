// Package health detects gray failures of upstreams from the results of real
// requests and decides on ejection without crossing a service's floor.
package health

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// ReportInterval is the time between two reports of a daemon to an arbiter.
const ReportInterval = 250 * time.Millisecond

const (
	// maxAccounts bounds the failing client accounts that a report names. The
	// failures of all others count as those of one client account.
	maxAccounts = 8
	// maxRoutes bounds the routes in a report. Further routes are left out of
	// the latency evidence until the next interval.
	maxRoutes = 16
	// otherAccounts stands for the client accounts beyond maxAccounts.
	otherAccounts = 0
	// minLatency keeps the logarithm finite for answers from memory.
	minLatency = 10 * time.Microsecond
)

// Counts is the evidence about one upstream over one interval.
type Counts struct {
	Service  string
	Upstream string
	// Requests is the number of attempts that tell about the upstream's health.
	Requests int
	// Failures includes Truncated.
	Failures  int
	Truncated int
	// Shed is for operators only; it is no evidence.
	Shed int
	// Callers is the number of client accounts among Requests.
	Callers int
	// SoleCaller is the hash of the client account if Callers is 1.
	SoleCaller uint32
	// Accounts lists the client accounts that saw failures, most failures first.
	Accounts []AccountCounts
	Routes   []RouteLatency
}

// AccountCounts counts the requests of one client account.
type AccountCounts struct {
	Account  uint32
	Requests int
	Failures int
}

// RouteLatency sums the natural logarithm of the latency in milliseconds of
// the successful requests on one route.
type RouteLatency struct {
	Route      uint32
	Count      int
	Sum        float64
	SumSquares float64
}

// Hash returns the identity of a client account or route in reports.
func Hash(name string) uint32 {
	h := uint32(xxhash.Sum64String(name)) //nolint:gosec // the low half of the hash
	if h == otherAccounts {
		return otherAccounts + 1
	}

	return h
}

// classification is what one observation tells about its upstream.
type classification int

const (
	noEvidence classification = iota
	success
	failure
)

// classify tells what an observation is evidence for. Errors of the client (4xx), shed requests
// and results outside the Ready state are no evidence in either direction:
// counting them as successes would hide a failing upstream.
func classify(o fleet.Observation) classification {
	if o.State != fleet.Ready || o.Result == fleet.CallShed {
		return noEvidence
	}
	if o.Result != fleet.CallAnswered || o.Truncated {
		return failure
	}
	if o.Status >= http.StatusInternalServerError {
		return failure
	}
	if o.Status >= http.StatusBadRequest {
		return noEvidence
	}

	return success
}

type subject struct {
	service  string
	upstream string
}

type tally struct {
	requests, failures, truncated, shed int
	accounts                            map[uint32]AccountCounts
	routes                              map[uint32]RouteLatency
}

// Collector sums up the observations of an egress between two reports. It is
// not safe for concurrent use.
type Collector struct {
	tallies map[subject]*tally
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{tallies: map[subject]*tally{}}
}

// Add counts one observation.
func (c *Collector) Add(o fleet.Observation) {
	v := classify(o)
	if v == noEvidence && o.Result != fleet.CallShed {
		return
	}
	key := subject{o.Service, o.Upstream}
	t := c.tallies[key]
	if t == nil {
		t = &tally{accounts: map[uint32]AccountCounts{}, routes: map[uint32]RouteLatency{}}
		c.tallies[key] = t
	}
	if v == noEvidence {
		t.shed++

		return
	}
	t.add(o, v)
}

func (t *tally) add(o fleet.Observation, v classification) {
	t.requests++
	account := Hash(o.ClientAccount)
	a := t.accounts[account]
	a.Account = account
	a.Requests++
	if v == failure {
		t.failures++
		a.Failures++
		if o.Truncated {
			t.truncated++
		}
	}
	t.accounts[account] = a
	if v == success || o.Result == fleet.CallTimedOut || o.Truncated {
		t.addLatency(Hash(o.Route), o.Served)
	}
}

func (t *tally) addLatency(route uint32, served time.Duration) {
	r, known := t.routes[route]
	if !known && len(t.routes) >= maxRoutes {
		return
	}
	x := math.Log(max(served, minLatency).Seconds() * 1000)
	r.Route = route
	r.Count++
	r.Sum += x
	r.SumSquares += x * x
	t.routes[route] = r
}

// Take returns the evidence since the last call, ordered by service and
// upstream, and starts a new interval.
func (c *Collector) Take() []Counts {
	all := make([]Counts, 0, len(c.tallies))
	for key, t := range c.tallies {
		all = append(all, t.counts(key))
	}
	clear(c.tallies)
	slices.SortFunc(all, func(a, b Counts) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream))
	})

	return all
}

func (t *tally) counts(key subject) Counts {
	counts := Counts{
		Service: key.service, Upstream: key.upstream, Requests: t.requests,
		Failures: t.failures, Truncated: t.truncated, Shed: t.shed, Callers: len(t.accounts),
	}
	for _, a := range t.accounts {
		if len(t.accounts) == 1 {
			counts.SoleCaller = a.Account
		}
		if a.Failures > 0 {
			counts.Accounts = append(counts.Accounts, a)
		}
	}
	slices.SortFunc(counts.Accounts, func(a, b AccountCounts) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(a.Account, b.Account))
	})
	if len(counts.Accounts) > maxAccounts {
		other := AccountCounts{Account: otherAccounts}
		for _, a := range counts.Accounts[maxAccounts:] {
			other.Requests += a.Requests
			other.Failures += a.Failures
		}
		counts.Accounts = append(counts.Accounts[:maxAccounts], other)
	}
	for _, r := range t.routes {
		counts.Routes = append(counts.Routes, r)
	}
	slices.SortFunc(counts.Routes, func(a, b RouteLatency) int { return cmp.Compare(a.Route, b.Route) })

	return counts
}
