// Package accounts measures how a service under overload and faults serves each
// of its client accounts: an event-driven model drives the balancer, queues,
// limits and ejection of internal/core and three baselines through the same
// traffic.
package accounts

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/health"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	slots = 3
	// deadline is that of the example team file in design section 4.
	deadline = 2 * time.Second
	// warmUp lets a granter be elected and the buckets fill; traffic starts
	// settle before it ends so that latencies are known.
	warmUp = 15 * time.Second
	settle = 5 * time.Second
	// length is the measured time, which begins with the fault.
	length = 20 * time.Second
	// headroom is the rate of a client account over its mean traffic, as long
	// as it keeps to its rate.
	headroom = 1.25
	// greedyAccount sends greedyFactor times its rate.
	greedyAccount = 3
	greedyFactor  = 10
	// skewedAccount is one of the large ones.
	skewedAccount = 1
	// coldLength is how long a restarted upstream announces that it is warming,
	// and coldSlow how much slower it is at first. It gets to its full speed
	// evenly in twice that time.
	coldLength = 5 * time.Second
	coldSlow   = 5
)

// deployment is one of design section 1.2.
type deployment struct {
	health.Deployment
	// distance is the time one way between availability zones.
	distance  time.Duration
	threshold float64
}

func deployments() []deployment {
	return []deployment{
		{health.Lima, 500 * time.Microsecond, health.LimaThreshold},
		{health.Villalobos, 1400 * time.Microsecond, health.VillalobosThreshold},
	}
}

// scenario is one case. Load is in parts of the service's capacity.
type scenario struct {
	name   string
	load   float64
	greedy bool
	// slow and cut describe upstream 0: the factor of its service time and the
	// share of its answers that are truncated.
	slow, cut float64
	// restart lets half of the upstreams start again.
	restart bool
	skewed  bool
}

func scenarios() []scenario {
	return []scenario{
		{name: "10× tenant, one upstream slow 10×", load: 0.5, greedy: true, slow: 10},
		{name: "10× tenant, one upstream cuts half", load: 0.5, greedy: true, cut: 0.5},
		{name: "load 70%", load: 0.7},
		{name: "load 90%", load: 0.9},
		{name: "load 110%", load: 1.1},
		{name: "half of the upstreams restart", load: 0.5, restart: true},
		{name: "an account at one ingress", load: 0.5, skewed: true},
	}
}

// policy selects the design's policy or a baseline.
type policy int

const (
	thisPolicy policy = iota
	// roundRobin sends in turn to FIFO queues without a deadline check and
	// without hedges.
	roundRobin
	// evenSplit gives each ingress an even part of each limit.
	evenSplit
	// leastQueue chooses the shortest queue, without latency, zones or hedges.
	leastQueue
	policies
)

func (p policy) String() string {
	return [...]string{"this policy", "round robin, FIFO", "even split", "least queue"}[p]
}

// conditionOf returns how much slower an upstream is, its share of truncated
// answers and its state, at a time since the fault began.
func (s scenario) conditionOf(d deployment, upstream int, since time.Duration) (slow, cut float64, state fleet.UpstreamState) {
	slow, state = 1, fleet.Ready
	if since < 0 {
		return slow, 0, state
	}
	if upstream == 0 {
		slow, cut = max(slow, s.slow), s.cut
	}
	if s.restart && 2*upstream < d.Upstreams {
		if since < coldLength {
			state = fleet.Warming
		}
		slow = max(1, coldSlow-(coldSlow-1)*float64(since)/float64(2*coldLength))
	}

	return slow, cut, state
}
