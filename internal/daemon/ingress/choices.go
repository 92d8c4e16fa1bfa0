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
)

// serviceState is what the ingress keeps per service.
type serviceState struct {
	retries *balance.Budget
	hedges  *balance.Budget
	latency balance.Quantile
}

// choices guards the decisions about upstreams with one lock.
type choices struct {
	mu       sync.Mutex
	tracker  *balance.Tracker
	random   *rand.Rand
	services map[string]*serviceState
}

func newChoices(random *rand.Rand) *choices {
	return &choices{tracker: balance.NewTracker(), random: random, services: make(map[string]*serviceState)}
}

func (c *choices) choose(candidates []balance.Candidate, request balance.Request) (balance.Candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	i, ok := c.tracker.Choose(candidates, request, time.Now(), c.random)
	if !ok {
		return balance.Candidate{}, false
	}

	c.tracker.Started(candidates[i].Upstream)

	return candidates[i], true
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

	c.tracker.Unreached(upstream, time.Now())
}

func (c *choices) abandoned(upstream string, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.tracker.Abandoned(upstream, elapsed, time.Now())
}

func (c *choices) request(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	s := c.service(service)
	s.retries.Request()
	s.hedges.Request()
}

func (c *choices) spendRetry(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.service(service).retries.Spend()
}

func (c *choices) hasRetry(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.service(service).retries.Available()
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
			retries: balance.NewBudget(retryShare, budgetMaximum),
			hedges:  balance.NewBudget(hedgeShare, budgetMaximum),
		}
		c.services[name] = s
	}

	return s
}
