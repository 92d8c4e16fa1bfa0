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
	// Offered is the mean rate of requests per second. Unless it is above the
	// limit's rate, requests that a token bucket for the whole fleet would refuse
	// are left out, so that every request is inside the limit.
	Offered float64
	// Skew is the share of requests that arrive at one daemon; the rest is
	// spread evenly.
	Skew float64
	// Even spaces the requests evenly; otherwise they form a Poisson process.
	Even bool
	// Deadline is how long a request can wait, 1 s if zero, and OverLimitWait how long it
	// waits while its account is above the limit, as long if zero.
	Deadline, OverLimitWait time.Duration
}

// Count is what became of the requests of one client account, or of several.
type Count struct {
	Offered int
	// Conforming counts the requests that one token bucket for the whole fleet,
	// with the account's rate and burst and no waiting, would have admitted.
	Conforming int
	Admitted   int
	// RefusedConforming counts requests that were refused although they were inside, of
	// which Away because no granter was reached.
	RefusedConforming  int
	GranterUnreachable int
	// TotalWait is the sum of the waits of admitted requests.
	TotalWait time.Duration
	// Excess is by how many tokens the worst window exceeded rate × t + burst.
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

// RefusedRatio is the share of the requests inside the rate that were refused.
func (c Count) RefusedRatio() float64 {
	return float64(c.RefusedConforming) / max(1, float64(c.Conforming))
}

// meter is an ideal token bucket that starts full.
type meter struct {
	limit tokens.Limit
	level float64
	at    time.Duration
}

func newMeter(limit tokens.Limit) *meter { return &meter{limit: limit, level: limit.Burst} }

func (m *meter) take(at time.Duration, force bool) bool {
	m.level = min(m.limit.Burst, m.level+(at-m.at).Seconds()*m.limit.Rate)
	m.at = at
	if m.level < 1-1e-6 && !force {
		return false
	}
	m.level--

	return true
}

// Excess returns by how many tokens the admissions exceed rate × t + burst in
// the worst window, at most 0 if they keep the bound. The admissions are sorted.
func Excess(limit tokens.Limit, admissions []time.Duration) float64 {
	m := newMeter(limit)
	worst := math.Inf(-1)
	for _, at := range admissions {
		m.take(at, true)
		worst = max(worst, -m.level)
	}

	return worst
}

// traffic runs one load against a fleet and against the baseline.
type traffic struct {
	load       Load
	fleet      *Fleet
	inside     *meter
	admissions []time.Duration
	chosen     Count
	baseline   Count
	split      map[string]*splitBucket
}

// splitBucket is the baseline's bucket of one instance: rate / n, and the
// burst / n but at least 1. Requests wait for it as they do for the fleet's.
type splitBucket struct {
	level float64
	at    time.Duration
}

func (t *traffic) arrive() {
	f := t.fleet
	gap := 1 / t.load.Offered
	if !t.load.Even {
		gap *= f.Random.ExpFloat64()
	}
	f.After(time.Duration(gap*float64(time.Second)), t.arrive)
	daemon := t.choose()
	if daemon == nil {
		return
	}
	inside := t.inside.take(f.Now, false)
	if !inside && t.load.Offered <= t.load.Limit.Rate {
		return
	}
	deadline := cmp.Or(t.load.Deadline, time.Second)
	t.count(&t.baseline, inside, t.takeSplit(daemon.Name, deadline))
	begin := f.Now
	daemon.Take(t.load.Account, deadline, cmp.Or(t.load.OverLimitWait, deadline), func(take fleet.TokenResult) {
		t.count(&t.chosen, inside, take.Outcome)
		if take.Outcome == fleet.TokenGranted {
			t.chosen.TotalWait += f.Now - begin
			t.admissions = append(t.admissions, f.Now)
		}
	})
}

func (t *traffic) choose() *Daemon {
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

func (t *traffic) takeSplit(daemon string, deadline time.Duration) fleet.TokenOutcome {
	n := 0.0
	for _, d := range t.fleet.Daemons {
		if !d.Dead {
			n++
		}
	}
	burst := max(1, t.load.Limit.Burst/n)
	rate := t.load.Limit.Rate / n
	b := t.split[daemon]
	if b == nil {
		b = &splitBucket{level: burst, at: t.fleet.Now}
		t.split[daemon] = b
	}
	b.level = min(burst, b.level+(t.fleet.Now-b.at).Seconds()*rate)
	b.at = t.fleet.Now
	if (1-b.level)/rate > deadline.Seconds() {
		return fleet.OverLimit
	}
	b.level--

	return fleet.TokenGranted
}

func (t *traffic) count(c *Count, inside bool, outcome fleet.TokenOutcome) {
	c.Offered++
	if inside {
		c.Conforming++
	}
	switch {
	case outcome == fleet.TokenGranted:
		c.Admitted++
	case inside:
		c.RefusedConforming++
		if outcome == fleet.GranterUnreachable {
			c.GranterUnreachable++
		}
	}
}

// Result compares both ways in one scenario.
type Result struct {
	Scenario string
	// Policy and Baseline count all accounts that offered at most their rate.
	Policy, Baseline Count
	// OverLimit counts the accounts that offered more, in the chosen way.
	OverLimit Count
	// Accounts holds the chosen way's counts in the order of the loads.
	Accounts []Count
}

// Scenario is one measure.
type Scenario struct {
	Name    string
	Daemons int
	Loads   []Load
	// Length is how long traffic runs; the fault begins a fifth into it.
	Length time.Duration
	Fault  func(f *Fleet)
}

// warmUp lets the fleet elect a granter and the buckets fill.
const warmUp = 15 * time.Second

// Run measures the scenario.
func (s Scenario) Run(seed uint64) Result {
	limits := tokens.LimitMap{}
	for _, l := range s.Loads {
		limits[l.Account] = l.Limit
	}
	f := NewFleet(seed, s.Daemons, limits)
	f.Run(warmUp)
	var all []*traffic
	for _, l := range s.Loads {
		t := &traffic{load: l, fleet: f, inside: newMeter(l.Limit), split: map[string]*splitBucket{}}
		t.inside.at = f.Now
		all = append(all, t)
		f.After(0, t.arrive)
	}
	if s.Fault != nil {
		f.After(s.Length/5, func() { s.Fault(f) })
	}
	f.Run(warmUp + s.Length)
	result := Result{Scenario: s.Name}
	for _, t := range all {
		t.chosen.Excess = Excess(t.load.Limit, t.admissions)
		result.Accounts = append(result.Accounts, t.chosen)
		if t.load.Offered > t.load.Limit.Rate {
			result.OverLimit.add(t.chosen)

			continue
		}
		result.Policy.add(t.chosen)
		result.Baseline.add(t.baseline)
	}

	return result
}
