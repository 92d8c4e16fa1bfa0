package accounts

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/health"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/limits"
	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	core "github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
)

// The following have the values of internal/daemon/ingress and
// internal/daemon/egress.
const (
	maxAttempts     = 4
	retryShare      = 0.10
	hedgeShare      = 0.05
	budgetMaximum   = 10
	hedgeQuantile   = 0.98
	noUpstreamPause = 50 * time.Millisecond
	queueCapacity   = 330
)

const (
	// idempotentShare is the share of requests that may be tried again.
	idempotentShare = 0.8
	// localHop is the time one way within an availability zone.
	localHop = 50 * time.Microsecond
	// fifoAccount stands for all client accounts in a FIFO queue.
	fifoAccount = "all"
)

// epoch is the model's time zero.
var epoch = time.Unix(1_000_000, 0)

// never is a deadline beyond every run.
var never = epoch.Add(time.Hour)

// bucket is a token bucket that refuses instead of waiting beyond a time.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *bucket) take(now, wait time.Duration) bool {
	b.level = min(b.burst, b.level+(now-b.at).Seconds()*b.rate)
	b.at = now
	if (1-b.level)/b.rate > wait.Seconds() {
		return false
	}
	b.level--

	return true
}

type account struct {
	name   string
	limit  tokens.Limit
	mean   float64
	inside bucket
	// split holds one bucket per ingress for the even split.
	split []bucket
}

type ingress struct {
	tracker         *balance.Tracker
	retries, hedges *balance.Budget
	latency         balance.Quantile
	// inFlight counts attempts by upstream, for the baselines.
	inFlight []int
	turn     int
}

type upstream struct {
	queue   *queue.Queue
	running []*attempt
	speed   float64
	// since is when the present state began.
	since time.Time
	state fleet.UpstreamState
}

type request struct {
	account, ingress int
	idempotent       bool
	arrived          time.Duration
	tried            []string
	running          int
	done             bool
	// started says that an upstream began to run it.
	started bool
	last    fleet.Reply
}

type attempt struct {
	request  *request
	upstream int
	began    time.Duration
	id       fleet.AttemptID
}

// model is one run.
type model struct {
	deployment
	scenario
	policy      policy
	fleet       *limits.Fleet
	random      *rand.Rand
	arbitration *health.Arbitration
	accounts    []*account
	ingresses   []*ingress
	upstreams   []*upstream
	waiting     map[fleet.AttemptID]*attempt
	sequence    uint64
	result      result
}

func (m *model) now() time.Time { return epoch.Add(m.fleet.Now) }

func (m *model) since() time.Duration { return m.fleet.Now - warmUp }

var upstreamNames = [...]string{"u0", "u1", "u2", "u3", "u4", "u5", "u6", "u7"}

func (m *model) hop(ingress, upstream int) time.Duration {
	if ingress%m.Zones == upstream%m.Zones {
		return localHop
	}

	return m.distance
}

// play runs one scenario under one policy.
func play(d deployment, s scenario, p policy, seed uint64) result {
	m := &model{
		deployment: d, scenario: s, policy: p, waiting: map[fleet.AttemptID]*attempt{},
		random:      rand.New(rand.NewPCG(seed, 3)), //nolint:gosec // a model
		arbitration: health.NewArbitration(d.Deployment, d.threshold, seed),
	}
	capacity := float64(slots*d.Upstreams) / health.MeanService.Seconds()
	all := tokens.LimitMap{}
	for i, share := range health.AccountShares {
		a := &account{name: fmt.Sprint("account", i), mean: share * s.load * capacity}
		a.limit = tokens.Limit{Rate: headroom * a.mean, Burst: int(math.Ceil(2 * headroom * a.mean))}
		all[a.name] = a.limit
		a.inside = bucket{rate: a.limit.Rate, burst: float64(a.limit.Burst), level: float64(a.limit.Burst)}
		n := float64(d.Upstreams)
		part := bucket{rate: a.limit.Rate / n, burst: max(1, float64(a.limit.Burst)/n), level: max(1, float64(a.limit.Burst)/n)}
		for range d.Upstreams {
			a.split = append(a.split, part)
		}
		m.accounts = append(m.accounts, a)
	}
	m.result.accounts = make([]tally, len(m.accounts))
	m.fleet = limits.NewFleet(seed, d.Upstreams, all)
	for range d.Upstreams {
		m.upstreams = append(m.upstreams, &upstream{
			queue: queue.New(queueCapacity), state: fleet.Ready, speed: math.Exp(0.1 * m.random.NormFloat64()),
		})
		m.ingresses = append(m.ingresses, &ingress{
			tracker: balance.NewTracker(), retries: balance.NewBudget(retryShare, budgetMaximum),
			hedges: balance.NewBudget(hedgeShare, budgetMaximum), inFlight: make([]int, d.Upstreams),
		})
	}
	m.fleet.After(0, m.tick)
	m.fleet.Run(warmUp - settle)
	for i := range m.accounts {
		m.arrive(i)
	}
	m.fleet.Run(warmUp + length + deadline)

	return m.result
}

// tick applies the scenario and lets the arbiter decide.
func (m *model) tick() {
	m.fleet.After(core.ReportInterval, m.tick)
	for i, u := range m.upstreams {
		_, _, state := m.conditionOf(m.deployment, i, m.since())
		if state == u.state {
			continue
		}
		if state == fleet.Warming {
			m.restartUpstream(u)
		}
		u.state, u.since = state, m.now()
	}
	m.arbitration.Tick(m.fleet.Now, func(i int) fleet.UpstreamState { return m.upstreams[i].state })
}

// restartUpstream ends what the upstream was running without an answer.
func (m *model) restartUpstream(u *upstream) {
	lost := u.running
	u.running = nil
	for _, a := range lost {
		m.respond(a, fleet.Fail(fleet.ReasonUpstream, ""))
	}
}

func (m *model) arrive(i int) {
	a := m.accounts[i]
	rate := a.mean
	greedy := m.greedy && i == greedyAccount
	if greedy && m.since() >= 0 {
		rate = greedyFactor * a.limit.Rate
	}
	m.fleet.After(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() { m.arrive(i) })
	r := &request{
		account: i, ingress: m.random.IntN(len(m.ingresses)), arrived: m.fleet.Now,
		idempotent: m.random.Float64() < idempotentShare, last: fleet.Refuse(fleet.ReasonNoUpstream, ""),
	}
	if m.skewed && i == skewedAccount {
		r.ingress = 0
	}
	// Requests that one bucket for the whole fleet would refuse are left out,
	// except the greedy account's.
	if !a.inside.take(m.fleet.Now, 0) && !greedy {
		return
	}
	if m.policy == evenSplit {
		if a.split[r.ingress].take(m.fleet.Now, deadline) {
			m.dispatch(r)
		} else {
			m.finish(r, false)
		}

		return
	}
	m.fleet.Daemons[r.ingress].Take(a.name, deadline, func(take fleet.Take) {
		if take.Outcome == fleet.Taken {
			m.dispatch(r)
		} else {
			m.finish(r, false)
		}
	})
}

// serviceTime draws the time of a request at an upstream.
func (m *model) serviceTime(i int) time.Duration {
	slow, _, _ := m.conditionOf(m.deployment, i, m.since())
	// The mean of a log-normal distribution is exp(σ²/2).
	x := math.Exp(health.ServiceSigma*m.random.NormFloat64() - health.ServiceSigma*health.ServiceSigma/2)

	return time.Duration(float64(health.MeanService) * m.upstreams[i].speed * slow * x)
}
