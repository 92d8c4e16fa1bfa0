package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// retryShare and hedgeShare are the numbers of retries and hedges that each request
	// of a service adds to its budgets.
	retryShare = 0.10
	hedgeShare = 0.05
	// budgetMaximum is the number of extra attempts that a budget can accumulate.
	budgetMaximum = 10
	// hedgeQuantile is the quantile of a service's latency after which a hedge is sent.
	// At 0.95, ordinary latency used up all of hedgeShare, and nothing was left for the
	// requests at an upstream that became slow. 0.98 leaves part of the budget unspent
	// in normal operation.
	hedgeQuantile = 0.98
	// refusalCacheTime is how long after a refusal by the fleet-wide budget further
	// retries are expected to be refused too.
	refusalCacheTime = 300 * time.Millisecond
)

// serviceState is the state of one service, with the budgets of this daemon alone.
type serviceState struct {
	retries *balance.RetryBudget
	hedges  *balance.RetryBudget
	latency balance.QuantileEstimator
	// unreportedUsage has not been sent to the fleet-wide budget yet. repeatRemainder is
	// the fraction of a repeat, below 1, that it does not include yet.
	unreportedUsage fleet.ServiceUsage
	repeatRemainder float64
	// retryRefusedAt is when the fleet-wide budget last refused an extra attempt.
	retryRefusedAt time.Time
}

// balancer chooses services and upstreams, and holds the load, latency and budgets
// that the choices depend on. One mutex guards all of it.
type balancer struct {
	mu          sync.Mutex
	tracker     *balance.Tracker
	random      *rand.Rand
	fleetBudget RetryBudget
	services    map[string]*serviceState
	// serviceTimes are the usual times that upstreams need for a request, by route.
	serviceTimes map[string]*balance.RobustMean
}

// expectedServiceTime returns the time that upstreams usually need for a request of a
// route, or 0 if it is not known yet.
func (b *balancer) expectedServiceTime(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.serviceTimes[route].Value()
}

// recordServiceTime records the time that an upstream needed for a request of a route.
func (b *balancer) recordServiceTime(route string, served time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.serviceTimes[route] == nil {
		b.serviceTimes[route] = &balance.RobustMean{}
	}

	b.serviceTimes[route].Add(served)
}

func newBalancer(random *rand.Rand, fleetBudget RetryBudget) *balancer {
	return &balancer{
		tracker: balance.NewTracker(), random: random, fleetBudget: fleetBudget, services: make(map[string]*serviceState),
		serviceTimes: make(map[string]*balance.RobustMean),
	}
}

// chooseService returns the service for a request of a route. If the route is split
// between services, it draws one at random in proportion to their weights.
func (b *balancer) chooseService(route fleet.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}

	total := 0.0
	for _, part := range route.Split {
		total += part.Weight
	}

	b.mu.Lock()
	at := b.random.Float64() * total
	b.mu.Unlock()

	for _, part := range route.Split {
		if at -= part.Weight; at < 0 {
			return part.Service
		}
	}

	return route.Split[0].Service
}

// place chooses the upstream for the next attempt of a request and counts the attempt
// as started there. If no candidate can take it, ok is false, and wait is the time
// until a slot may be free, or 0 if that is not known.
func (b *balancer) place(
	candidates []balance.Candidate, request balance.Request,
) (candidate balance.Candidate, placement balance.Placement, wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	placement, wait, ok = b.tracker.Place(candidates, request, time.Now(), b.random)
	if !ok {
		return balance.Candidate{}, placement, wait, false
	}

	candidate = candidates[placement.Index]
	b.tracker.Started(candidate.Upstream)

	return candidate, placement, wait, true
}

// recordStart counts an attempt as started at an upstream that place did not choose,
// because an earlier attempt found a free slot there.
func (b *balancer) recordStart(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tracker.Started(upstream)
}

// jitter returns a random duration from 0 up to, but not including, limit.
func (b *balancer) jitter(limit time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	return time.Duration(b.random.Int64N(int64(limit)))
}

// recordNotAccepted records that an attempt at an upstream was not accepted in time.
func (b *balancer) recordNotAccepted(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tracker.AcceptTimedOut(upstream, time.Now())
}

// recordResponse records the end of an attempt. Answered is true if it brought a
// complete answer; only the latency of these counts for the hedge delay.
func (b *balancer) recordResponse(service, upstream string, load fleet.Load, latency time.Duration, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if !answered {
		latency = 0
	} else {
		b.state(service).latency.Add(latency)
	}

	b.tracker.Finished(upstream, load, latency, time.Now())
}

// recordUnreachable records that the daemon of an upstream could not be reached.
func (b *balancer) recordUnreachable(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tracker.Unreachable(upstream, time.Now())
}

// recordAbandoned records that an attempt was given up after elapsed, because its
// request ended.
func (b *balancer) recordAbandoned(upstream string, elapsed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.tracker.Cancelled(upstream, elapsed, time.Now())
}

// countRequest adds a caller's request to the usage and the budgets of its service.
func (b *balancer) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	s := b.state(service)
	s.unreportedUsage.Requests++
	s.retries.Credit()
	s.hedges.Credit()
}

// countNestedCall counts a call that the local upstream makes. Repeat, from 0 to 1, is the
// fraction of the upstream's running requests that are repeats, and counts as that part
// of a repeat. It returns true if usage should be reported to the fleet-wide budget.
func (b *balancer) countNestedCall(service string, repeat float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	s := b.state(service)
	s.hedges.Credit()

	s.repeatRemainder += repeat
	if s.repeatRemainder < 1 || b.fleetBudget == nil {
		return false
	}

	s.repeatRemainder--
	s.unreportedUsage.Repeats++

	return true
}

// reportUsage sends the unreported usage of a service to the fleet-wide budget.
func (b *balancer) reportUsage(service string) {
	b.mu.Lock()
	s := b.state(service)
	reported := s.unreportedUsage
	s.unreportedUsage = fleet.ServiceUsage{}
	b.mu.Unlock()

	uncounted := b.fleetBudget.ReportUsage(service, reported)

	b.mu.Lock()
	defer b.mu.Unlock()

	s.unreportedUsage.Add(uncounted)
}

// spendRetry takes an extra attempt from the fleet-wide budget, or from this daemon's
// own budget if there is none. It reports whether the attempt is allowed.
func (b *balancer) spendRetry(service string) bool {
	b.mu.Lock()
	s := b.state(service)

	if b.fleetBudget == nil {
		defer b.mu.Unlock()

		return s.retries.Spend()
	}

	reported := s.unreportedUsage
	s.unreportedUsage = fleet.ServiceUsage{}
	b.mu.Unlock()

	granted, uncounted := b.fleetBudget.SpendRetry(service, reported)

	b.mu.Lock()
	defer b.mu.Unlock()

	s.unreportedUsage.Add(uncounted)

	if !granted {
		s.retryRefusedAt = time.Now()
	}

	return granted
}

// retryAvailable reports whether spendRetry would probably allow an extra attempt.
func (b *balancer) retryAvailable(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	s := b.state(service)
	if b.fleetBudget == nil {
		return s.retries.Available()
	}

	return time.Since(s.retryRefusedAt) >= refusalCacheTime
}

// spendHedge takes a hedge from the budget and reports whether it is allowed.
func (b *balancer) spendHedge(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.state(service).hedges.Spend()
}

// hedgeDelay returns the time after which an attempt at a service should be hedged. It
// returns false if the budget is empty or the service's latency is not known yet.
func (b *balancer) hedgeDelay(service string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	s := b.state(service)
	if !s.hedges.Available() {
		return 0, false
	}

	return s.latency.At(hedgeQuantile)
}

// state returns the state of a service and creates it if needed. The caller holds mu.
func (b *balancer) state(name string) *serviceState {
	s := b.services[name]
	if s == nil {
		s = &serviceState{
			retries: balance.NewRetryBudget(retryShare, budgetMaximum),
			hedges:  balance.NewRetryBudget(hedgeShare, budgetMaximum),
		}
		b.services[name] = s
	}

	return s
}
