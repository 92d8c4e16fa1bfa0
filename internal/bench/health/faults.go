package health

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// condition is how an upstream behaves at a time.
type condition struct {
	slow       float64
	failing    float64
	truncating float64
	shed       float64
	state      fleet.UpstreamState
	lying      bool
}

// fault is one case. Times count from the beginning of the fault.
type fault struct {
	name string
	// gray is the number of upstreams, or -1 for half of them, that are to be
	// ejected; any other ejection is false.
	gray int
	// healthy marks times without fault; nil stands for none.
	healthy func(since time.Duration) bool
	// change sets the condition of the gray upstreams, or of those that others
	// selects.
	change func(c *condition, since time.Duration)
	others func(upstream int) bool
	// cutZones is the number of availability zones whose ingresses cannot reach
	// upstream 0.
	cutZones int
	// badStatus is what half of the first client account's requests get;
	// bound sends all of its requests to upstream 0.
	badStatus int
	bound     bool
}

func (f fault) grayCount(d Deployment) int {
	if f.gray < 0 {
		return d.Upstreams / 2
	}

	return f.gray
}

// faulty reports whether ejecting the upstream is right. For a moment after a
// fault ended it still is, because the evidence was sent before.
func (f fault) faulty(upstream int, since time.Duration, d Deployment) bool {
	if since < 0 || upstream >= f.grayCount(d) {
		return false
	}

	return f.healthy == nil || !f.healthy(since) || since >= time.Second && !f.healthy(since-time.Second)
}

func (f fault) at(upstream int, since time.Duration, d Deployment) condition {
	c := condition{slow: 1, state: fleet.Ready}
	hit := upstream < f.grayCount(d)
	if f.others != nil {
		hit = f.others(upstream)
	}
	if since < 0 || !hit || f.change == nil || f.healthy != nil && f.healthy(since) {
		return c
	}
	f.change(&c, since)

	return c
}

func (f fault) cut(ingress, upstream int, since time.Duration, d Deployment) bool {
	return since >= 0 && upstream == 0 && ingress%d.Zones < f.cutZones
}

func (f fault) affinity(account int, since time.Duration) (int, bool) {
	return 0, f.bound && account == 0 && since >= 0
}

func (f fault) bad(account int, since time.Duration) (int, bool) {
	return f.badStatus, f.badStatus != 0 && account == 0 && since >= 0
}

func first(upstream int) bool { return upstream == 0 }

// faults returns all cases.
func faults() []fault {
	slow := func(factor float64) func(*condition, time.Duration) {
		return func(c *condition, _ time.Duration) { c.slow = factor }
	}
	truncated := func(share float64) func(*condition, time.Duration) {
		return func(c *condition, _ time.Duration) { c.truncating = share }
	}

	return []fault{
		{name: "slow 3×", gray: 1, change: slow(3)},
		{name: "slow 10×", gray: 1, change: slow(10)},
		{name: "1% of answers cut", gray: 1, change: truncated(0.01)},
		{name: "10% of answers cut", gray: 1, change: truncated(0.1)},
		{name: "50% of answers cut", gray: 1, change: truncated(0.5)},
		{name: "healthy to probe, fails callers", gray: 1, change: func(c *condition, _ time.Duration) {
			c.failing, c.slow = 1, 0.1
		}},
		{name: "flapping every 5 s", gray: 1, change: truncated(0.5), healthy: func(since time.Duration) bool {
			return since%(10*time.Second) >= 5*time.Second
		}},
		{name: "half of the service gray", gray: -1, change: truncated(0.5)},
		{name: "10% of answers cut, client account's 5xx", gray: 1, change: truncated(0.1), badStatus: 500},
		{name: "lying load endpoint, slow 3×", gray: 1, change: func(c *condition, _ time.Duration) {
			c.slow, c.lying = 3, true
		}},
		{name: "lying load endpoint, healthy", others: first, change: func(c *condition, _ time.Duration) { c.lying = true }},
		{name: "one-way cut, one zone", cutZones: 1},
		{name: "cold start", others: first, change: func(c *condition, since time.Duration) {
			if since < 15*time.Second {
				c.state, c.slow, c.failing = fleet.Warming, 5, 0.2
			}
		}},
		{name: "shedding", others: first, change: func(c *condition, since time.Duration) {
			c.shed = 0.5
			if since >= time.Second {
				c.state = fleet.Shedding
			}
		}},
		{name: "service-wide slowdown 3×", others: func(int) bool { return true }, change: slow(3)},
		{name: "service-wide failures 20%", others: func(int) bool { return true }, change: func(c *condition, _ time.Duration) {
			c.failing = 0.2
		}},
		{name: "client account's 4xx", badStatus: 400},
		{name: "client account's 5xx", badStatus: 500},
		{name: "client account's 5xx, one upstream", badStatus: 500, bound: true},
	}
}

// none is the case without fault.
var none = fault{name: "no fault"}
