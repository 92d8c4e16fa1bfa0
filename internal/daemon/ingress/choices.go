package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// retryShare and hedgeShare bound extra attempts per request of a service.
	retryShare = 0.10
	hedgeShare = 0.05
	// budgetMaximum is what a budget saves up in quiet times.
	budgetMaximum = 10
	// hedgeQuantile leaves part of the budget unspent in normal operation. At
	// 0.95 ordinary latency used all of hedgeShare and none was left for the
	// requests at an upstream that turned slow.
	hedgeQuantile = 0.98
	// refusalMemory is how long a refusal of the fleet's budget is taken as the
	// answer to the next question.
	refusalMemory = 300 * time.Millisecond
)

// serviceState is what the ingress keeps per service.
type serviceState struct {
	retries *balance.RetryBudget
	hedges  *balance.RetryBudget
	latency balance.QuantileEstimator
	// unreported is the use that the fleet's budget does not know of, and repeats
	// the part of a repeat that is not in it yet.
	unreported fleet.ServiceUsage
	repeats    float64
	// refusedAt is when the fleet's budget refused an extra attempt last.
	refusedAt time.Time
}

// choices guards the decisions about upstreams with one lock.
type choices struct {
	mu       sync.Mutex
	tracker  *balance.Tracker
	random   *rand.Rand
	retries  RetryBudget
	services map[string]*serviceState
	routes   map[string]*balance.RobustMean
}

// expected returns how long requests of a route usually take, or 0.
func (c *choices) expected(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.routes[route].Value()
}

// served takes the time that an upstream needed for a request of a route.
func (c *choices) served(route string, served time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.routes[route] == nil {
		c.routes[route] = &balance.RobustMean{}
	}

	c.routes[route].Add(served)
}

func newChoices(random *rand.Rand, retries RetryBudget) *choices {
	return &choices{
		tracker: balance.NewTracker(), random: random, retries: retries, services: make(map[string]*serviceState),
		routes: make(map[string]*balance.RobustMean),
	}
}

// portion draws the service of a request in proportion to the weights.
func (c *choices) portion(route fleet.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}

	total := 0.0
	for _, portion := range route.Split {
		total += portion.Weight
	}

	c.mu.Lock()
	at := c.random.Float64() * total
	c.mu.Unlock()

	for _, portion := range route.Split {
		if at -= portion.Weight; at < 0 {
			return portion.Service
		}
	}

	return route.Split[0].Service
}

// place chooses where the next attempt of a request goes. If it reports false,
// wait is when a slot may be free.
func (c *choices) place(
	candidates []balance.Candidate, request balance.Request,
) (candidate balance.Candidate, placement balance.Placement, wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	placement, wait, ok = c.tracker.Place(candidates, request, time.Now(), c.random)
	if !ok {
		return balance.Candidate{}, placement, wait, false
	}

	candidate = candidates[placement.Index]
	c.tracker.Started(candidate.Upstream)

	return candidate, placement, wait, true
}

// started counts an attempt that goes where one before it found a free slot.
func (c *choices) started(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.tracker.Started(upstream)
}

// spread returns a random duration below most.
func (c *choices) spread(most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	return time.Duration(c.random.Int64N(int64(most)))
}

// silent notes that an attempt at an upstream was not accepted in time.
func (c *choices) silent(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.tracker.AcceptTimedOut(upstream, time.Now())
}

// finished records a response. Only whole answers count for the latency at
// which hedges are sent.
func (c *choices) finished(service, upstream string, load fleet.Load, latency time.Duration, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !answered {
		latency = 0
	} else {
		c.service(service).latency.Add(latency)
	}

	c.tracker.Finished(upstream, load, latency, time.Now())
}

func (c *choices) unreached(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.tracker.Unreachable(upstream, time.Now())
}

func (c *choices) abandoned(upstream string, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.tracker.Cancelled(upstream, elapsed, time.Now())
}

// request counts a caller's request.
func (c *choices) request(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	s := c.service(service)
	s.unreported.Requests++
	s.retries.Credit()
	s.hedges.Credit()
}

// call counts an upstream's call, the given part of which is a repeat, and
// reports whether the fleet's budget should be told.
func (c *choices) call(service string, repeat float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	s := c.service(service)
	s.hedges.Credit()

	s.repeats += repeat
	if s.repeats < 1 || c.retries == nil {
		return false
	}

	s.repeats--
	s.unreported.Repeats++

	return true
}

// report tells the fleet's budget about repeats.
func (c *choices) report(service string) {
	c.mu.Lock()
	s := c.service(service)
	reported := s.unreported
	s.unreported = fleet.ServiceUsage{}
	c.mu.Unlock()

	if c.retries.ReportUsage(service, reported) {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	s.unreported.Requests += reported.Requests
	s.unreported.Repeats += reported.Repeats
}

// spendRetry takes an extra attempt from the budget of the fleet, or else from
// this daemon's own.
func (c *choices) spendRetry(service string) bool {
	c.mu.Lock()
	s := c.service(service)

	if c.retries == nil {
		defer c.mu.Unlock()

		return s.retries.Spend()
	}

	reported := s.unreported
	s.unreported = fleet.ServiceUsage{}
	c.mu.Unlock()

	granted, answered := c.retries.SpendRetry(service, reported)

	c.mu.Lock()
	defer c.mu.Unlock()

	if !answered {
		s.unreported.Requests += reported.Requests
		s.unreported.Repeats += reported.Repeats
	}

	if !granted {
		s.refusedAt = time.Now()
	}

	return granted
}

// hasRetry reports whether an extra attempt will probably be allowed.
func (c *choices) hasRetry(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	s := c.service(service)
	if c.retries == nil {
		return s.retries.Available()
	}

	return time.Since(s.refusedAt) >= refusalMemory
}

func (c *choices) spendHedge(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.service(service).hedges.Spend()
}

func (c *choices) hedgeDelay(service string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	s := c.service(service)
	if !s.hedges.Available() {
		return 0, false
	}

	return s.latency.At(hedgeQuantile)
}

func (c *choices) service(name string) *serviceState {
	s := c.services[name]
	if s == nil {
		s = &serviceState{
			retries: balance.NewRetryBudget(retryShare, budgetMaximum),
			hedges:  balance.NewRetryBudget(hedgeShare, budgetMaximum),
		}
		c.services[name] = s
	}

	return s
}
