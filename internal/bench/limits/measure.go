package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
)

// Load is the traffic of one client account.
type Load struct {
	Account string
	Limit   tokens.Limit
	// Offered is the mean rate of requests per second. If it is at most the limit's
	// rate, requests that one token bucket for the whole fleet would refuse are not
	// sent, so that every request conforms to the limit.
	Offered float64
	// Skew is the share, 0 to 1, of requests that arrive at one daemon. The rest arrive
	// at daemons drawn at random.
	Skew float64
	// Even spaces the requests evenly; otherwise they form a Poisson process.
	Even bool
	// Deadline is how long a request may wait, 1 s if zero. OverLimitWait is how long it
	// waits while its account is above the limit, the same as Deadline if zero.
	Deadline, OverLimitWait time.Duration
}

// Count holds the outcomes of the requests of one or more client accounts.
type Count struct {
	Offered int
	// Conforming counts the requests that one token bucket for the whole fleet,
	// with the account's rate and burst and no waiting, would have admitted.
	Conforming int
	Admitted   int
	// RefusedConforming counts the conforming requests that were refused.
	RefusedConforming int
	// GranterUnreachable counts the refusals in RefusedConforming for which no granter
	// could be reached.
	GranterUnreachable int
	// TotalWait is the sum of the waits of admitted requests.
	TotalWait time.Duration
	// Excess is the number of tokens by which the worst window exceeded rate × t + burst.
	// It is negative if every window stayed below the bound.
	Excess float64
}

func (c *Count) add(o Count) {
	c.Offered += o.Offered
	c.Conforming += o.Conforming
	c.Admitted += o.Admitted
	c.RefusedConforming += o.RefusedConforming
	c.GranterUnreachable += o.GranterUnreachable
	c.TotalWait += o.TotalWait
	c.Excess = max(c.Excess, o.Excess)
}

// RefusedRatio returns the share, 0 to 1, of conforming requests that were refused.
func (c Count) RefusedRatio() float64 {
	return float64(c.RefusedConforming) / max(1, float64(c.Conforming))
}

// idealBucket is one token bucket for the whole fleet. It starts full.
type idealBucket struct {
	limit   tokens.Limit
	level   float64
	updated time.Duration
}

func newIdealBucket(limit tokens.Limit) *idealBucket {
	return &idealBucket{limit: limit, level: limit.Burst}
}

// take spends a token and reports whether the bucket had one. With force it spends the
// token in any case, so that the level may become negative. The tolerance of 1e-6 absorbs
// rounding errors of the level.
func (b *idealBucket) take(at time.Duration, force bool) bool {
	b.level = min(b.limit.Burst, b.level+(at-b.updated).Seconds()*b.limit.Rate)
	b.updated = at
	if b.level < 1-1e-6 && !force {
		return false
	}
	b.level--

	return true
}

// Excess returns the number of tokens by which the admissions exceed rate × t + burst in
// the worst window. It is at most 0 if no window exceeds the bound, and negative infinity
// without admissions. The admissions must be sorted.
func Excess(limit tokens.Limit, admissions []time.Duration) float64 {
	b := newIdealBucket(limit)
	worst := math.Inf(-1)
	for _, at := range admissions {
		b.take(at, true)
		worst = max(worst, -b.level)
	}

	return worst
}

// traffic sends the requests of one load to a fleet and to the baseline.
type traffic struct {
	load         Load
	fleet        *Fleet
	ideal        *idealBucket
	admissions   []time.Duration
	policy       Count
	baseline     Count
	splitBuckets map[string]*splitBucket
}

// splitBucket is the token bucket of one instance in the baseline. With n instances its
// rate is rate / n and its burst is burst / n but at least 1. Requests wait for its tokens
// up to their deadline, as they do in the fleet.
type splitBucket struct {
	level   float64
	updated time.Duration
}

// arrive sends one request to the fleet and the baseline and schedules the next one.
func (t *traffic) arrive() {
	f := t.fleet
	gap := 1 / t.load.Offered
	if !t.load.Even {
		gap *= f.Random.ExpFloat64()
	}
	f.After(time.Duration(gap*float64(time.Second)), t.arrive)
	daemon := t.chooseDaemon()
	if daemon == nil {
		return
	}
	conforming := t.ideal.take(f.Now, false)
	if !conforming && t.load.Offered <= t.load.Limit.Rate {
		return
	}
	deadline := cmp.Or(t.load.Deadline, time.Second)
	t.countOutcome(&t.baseline, conforming, t.takeSplit(daemon.Name, deadline))
	begin := f.Now
	daemon.Take(t.load.Account, deadline, cmp.Or(t.load.OverLimitWait, deadline), func(result fleet.TokenResult) {
		t.countOutcome(&t.policy, conforming, result.Outcome)
		if result.Outcome == fleet.TokenGranted {
			t.policy.TotalWait += f.Now - begin
			t.admissions = append(t.admissions, f.Now)
		}
	})
}

// chooseDaemon returns the daemon at which a request arrives, or nil if none is up. The
// skewed share goes to a daemon that depends on the length of the account's name.
func (t *traffic) chooseDaemon() *Daemon {
	var up []*Daemon
	for _, d := range t.fleet.Daemons {
		if d.Up() {
			up = append(up, d)
		}
	}
	if len(up) == 0 {
		return nil
	}
	slices.SortFunc(up, func(a, b *Daemon) int { return cmp.Compare(a.Name, b.Name) })
	if t.fleet.Random.Float64() < t.load.Skew {
		return up[len(t.load.Account)%len(up)]
	}

	return up[t.fleet.Random.IntN(len(up))]
}

// takeSplit returns the baseline's outcome of a request at a daemon.
func (t *traffic) takeSplit(daemon string, deadline time.Duration) fleet.TokenOutcome {
	n := 0.0
	for _, d := range t.fleet.Daemons {
		if !d.Dead {
			n++
		}
	}
	burst := max(1, t.load.Limit.Burst/n)
	rate := t.load.Limit.Rate / n
	b := t.splitBuckets[daemon]
	if b == nil {
		b = &splitBucket{level: burst, updated: t.fleet.Now}
		t.splitBuckets[daemon] = b
	}
	b.level = min(burst, b.level+(t.fleet.Now-b.updated).Seconds()*rate)
	b.updated = t.fleet.Now
	if (1-b.level)/rate > deadline.Seconds() {
		return fleet.OverLimit
	}
	b.level--

	return fleet.TokenGranted
}

// countOutcome counts one request. Only refusals of conforming requests count as refused.
func (t *traffic) countOutcome(c *Count, conforming bool, outcome fleet.TokenOutcome) {
	c.Offered++
	if conforming {
		c.Conforming++
	}
	switch {
	case outcome == fleet.TokenGranted:
		c.Admitted++
	case conforming:
		c.RefusedConforming++
		if outcome == fleet.GranterUnreachable {
			c.GranterUnreachable++
		}
	}
}

// Result compares the rate limiting of internal/core/pool, the policy, with the baseline in
// one scenario.
type Result struct {
	Scenario string
	// Policy and Baseline add up the accounts that offered at most their rate.
	Policy, Baseline Count
	// OverLimit adds up the accounts that offered more than their rate. It counts their
	// outcomes under the policy, not those of the baseline.
	OverLimit Count
	// Accounts holds the policy's count of each account in the order of the loads.
	Accounts []Count
}

// Scenario is a fleet, its traffic and an optional fault.
type Scenario struct {
	Name    string
	Daemons int
	Loads   []Load
	// Length is the virtual time for which traffic is sent.
	Length time.Duration
	// Fault, if not nil, is called when a fifth of Length has passed.
	Fault func(f *Fleet)
}

// warmUp is the virtual time before the first request, in which the fleet elects a
// granter and the buckets fill.
const warmUp = 15 * time.Second

// Run runs the scenario in virtual time and returns the outcomes of its requests. The seed
// determines all random choices.
func (s Scenario) Run(seed uint64) Result {
	limits := tokens.LimitMap{}
	for _, l := range s.Loads {
		limits[l.Account] = l.Limit
	}
	f := NewFleet(seed, s.Daemons, limits)
	f.Run(warmUp)
	var accountTraffic []*traffic
	for _, l := range s.Loads {
		t := &traffic{load: l, fleet: f, ideal: newIdealBucket(l.Limit), splitBuckets: map[string]*splitBucket{}}
		t.ideal.updated = f.Now
		accountTraffic = append(accountTraffic, t)
		f.After(0, t.arrive)
	}
	if s.Fault != nil {
		f.After(s.Length/5, func() { s.Fault(f) })
	}
	f.Run(warmUp + s.Length)
	result := Result{Scenario: s.Name}
	for _, t := range accountTraffic {
		t.policy.Excess = Excess(t.load.Limit, t.admissions)
		result.Accounts = append(result.Accounts, t.policy)
		if t.load.Offered > t.load.Limit.Rate {
			result.OverLimit.add(t.policy)

			continue
		}
		result.Policy.add(t.policy)
		result.Baseline.add(t.baseline)
	}

	return result
}
