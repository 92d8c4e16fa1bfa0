package health

import (
	"math"
	"slices"
	"time"
)

const (
	// latencyShift is the shift of log latency that the latency test looks for.
	// Its drift turns positive at half the shift, a factor of 1.8, above the
	// usual spread between instances.
	latencyShift = 1.2
	// maxLatencyExcess bounds the excess of an interval's mean log latency, so
	// that a few very slow requests do not outweigh hundreds of normal ones.
	maxLatencyExcess = 2.3
	// maxLatencyStep bounds the latency evidence of one interval, in thresholds.
	// Requests of one interval share their pauses and are not independent; a
	// pause of a healthy upstream reaches into two intervals.
	maxLatencyStep = 1.0 / 3
	// maxUsualExcess bounds the excess log latency that is granted to an instance
	// as its own, a factor of 1.35. More would let slow degradation pass.
	maxUsualExcess = 0.3
	// minUsualRequests is the weight from which an instance's own excess counts.
	minUsualRequests = 100
	// scoreCap bounds accumulated evidence, in thresholds, so that an upstream
	// that the floor kept in service is cleared soon after it recovers.
	scoreCap = 3
	// soleCallerAfter is how long a second client account has to be absent
	// before the evidence of the only one counts alone.
	soleCallerAfter = 30 * time.Second
)

// alternatives are the failure rates that the failure test looks for: the
// first detects rare failures, the last total failure within a few requests.
var alternatives = [...]float64{0.01, 0.05, 0.3}

// cusum is the cumulative sum of one failure test, in total and with each
// failing client account left out. since counts from the last time that total
// was zero, the most likely beginning of the fault.
type cusum struct {
	total   float64
	without map[uint32]float64
	since   window
}

// suspicion is the evidence about one upstream.
type suspicion struct {
	failures [len(alternatives)]cusum
	latency  float64
	rate     windows
	// usual is the excess log latency over a long time.
	usual window
	// excess sums the excess log latency since latency was zero.
	excess window
	routes map[uint32]*windows
	// accounts counts the requests of client accounts that saw failures.
	accounts   map[uint32]*windows
	soleCaller uint32
	manySeen   time.Time
	pending    []Counts
	requests   int
}

func newSuspicion() *suspicion {
	s := &suspicion{routes: map[uint32]*windows{}, accounts: map[uint32]*windows{}}
	s.reset()

	return s
}

// reset forgets the evidence, at the start of a probation.
func (s *suspicion) reset() {
	for i := range s.failures {
		s.failures[i] = cusum{without: map[uint32]float64{}}
	}
	s.latency = 0
	s.requests = 0
	s.pending = nil
	s.rate = windows{}
	s.excess = window{}
	clear(s.routes)
	clear(s.accounts)
}

// detector runs the tests of Page (1954) for all upstreams of one service
// against the service's own medians.
type detector struct {
	upstreams map[string]*suspicion
	stepped   time.Time
}

func newDetector(now time.Time) *detector {
	return &detector{upstreams: map[string]*suspicion{}, stepped: now}
}

func (d *detector) of(upstream string) *suspicion {
	s := d.upstreams[upstream]
	if s == nil {
		s = newSuspicion()
		d.upstreams[upstream] = s
	}

	return s
}

// add keeps a report until the next step, so that reports of one interval are
// compared with each other however they were ordered on the network.
func (d *detector) add(counts Counts) {
	s := d.of(counts.Upstream)
	s.pending = append(s.pending, counts)
}

// step evaluates the reports since the last step.
func (d *detector) step(threshold float64, now time.Time) {
	elapsed := now.Sub(d.stepped)
	d.stepped = now
	for _, s := range d.upstreams {
		s.roll(elapsed, now)
	}
	excluded := d.failingAccount()
	p0 := d.failureBaseline(excluded)
	latency := d.latencyBaselines()
	for _, s := range d.upstreams {
		for _, counts := range s.pending {
			s.requests += counts.Requests
			if excluded != otherAccounts {
				counts = counts.without(excluded)
			}
			s.addFailures(counts, p0, scoreCap*threshold)
			s.addLatency(counts, latency, threshold)
		}
		s.pending = nil
	}
}

func (s *suspicion) roll(elapsed time.Duration, now time.Time) {
	s.rate.decay(elapsed)
	s.usual.decay(elapsed, usualHalfLife)
	decayAll(s.routes, elapsed)
	decayAll(s.accounts, elapsed)
	for _, counts := range s.pending {
		s.rate.add(float64(counts.Requests), float64(counts.Failures), 0)
		if counts.Callers > 1 || counts.Callers == 1 && s.soleCaller != 0 && counts.SoleCaller != s.soleCaller {
			s.manySeen = now
		}
		if counts.Callers == 1 {
			s.soleCaller = counts.SoleCaller
		}
		for _, r := range counts.Routes {
			addTo(s.routes, r.Route, float64(r.Count), r.Sum, r.SumSquares)
		}
		for _, a := range counts.Accounts {
			addTo(s.accounts, a.Account, float64(a.Requests), float64(a.Failures), 0)
		}
	}
}

// without returns the counts less those of one client account.
func (c Counts) without(account uint32) Counts {
	for i, a := range c.Accounts {
		if a.Account == account {
			c.Requests -= a.Requests
			c.Failures -= a.Failures
			c.Accounts = slices.Concat(c.Accounts[:i], c.Accounts[i+1:])

			break
		}
	}

	return c
}

// addFailures adds the log-likelihood ratio of a failing upstream against a
// healthy one.
func (s *suspicion) addFailures(counts Counts, p0, limit float64) {
	for i, p1 := range alternatives {
		p1 = max(p1, 1-math.Pow(1-p0, 4))
		onFailure, onSuccess := math.Log(p1/p0), math.Log((1-p1)/(1-p0))
		ratio := func(requests, failures int) float64 {
			return float64(failures)*onFailure + float64(requests-failures)*onSuccess
		}
		c := &s.failures[i]
		step := ratio(counts.Requests, counts.Failures)
		for _, a := range counts.Accounts {
			if _, known := c.without[a.Account]; !known {
				c.without[a.Account] = c.total
			}
		}
		for account, sum := range c.without {
			own := 0.0
			for _, a := range counts.Accounts {
				if a.Account == account {
					own = ratio(a.Requests, a.Failures)
				}
			}
			c.without[account] = min(max(sum+step-own, 0), limit)
		}
		c.total = min(max(c.total+step, 0), limit)
		c.since.add(float64(counts.Requests), float64(counts.Failures), 0)
		if c.total == 0 {
			clear(c.without)
			c.since = window{}
		}
	}
}

func (s *suspicion) addLatency(counts Counts, baselines map[uint32]baseline, threshold float64) {
	step := 0.0
	usual := 0.0
	if s.usual.weight >= minUsualRequests {
		usual = max(s.usual.mean(), 0)
	}
	for _, r := range counts.Routes {
		b, ok := baselines[r.Route]
		if !ok || r.Count == 0 {
			continue
		}
		excess := min(r.Sum/float64(r.Count)-b.mean, maxLatencyExcess)
		s.usual.add(float64(r.Count), float64(r.Count)*min(excess, maxUsualExcess), 0)
		excess -= usual
		s.excess.add(float64(r.Count), float64(r.Count)*excess, 0)
		step += float64(r.Count) * latencyShift / b.variance * (excess - latencyShift/2)
	}
	most := maxLatencyStep * threshold
	step = min(max(step, -most), most)
	s.latency = min(max(s.latency+step, 0), scoreCap*threshold)
	if s.latency == 0 {
		s.excess = window{}
	}
}

// failureScore is the evidence that stands whichever single client account is
// left out, unless only one client account calls the upstream at all.
func (s *suspicion) failureScore(now time.Time) float64 {
	several := now.Sub(s.manySeen) < soleCallerAfter
	best := 0.0
	for i := range s.failures {
		score := s.failures[i].total
		if several {
			for _, sum := range s.failures[i].without {
				score = min(score, sum)
			}
		}
		best = max(best, score)
	}

	return best
}

// score adds the evidence of both tests, in nats. They are kept apart until
// here: the normal latency of an upstream that truncates its answers would
// otherwise cancel the evidence of its failures.
func (s *suspicion) score(now time.Time) float64 {
	return s.failureScore(now) + s.latency
}

// severity orders suspects: the share of requests that failed since the fault
// began, plus the excess latency on a scale on which ten times the latency
// equals failure of every request. The score is no measure of it, because
// accumulated evidence grows with time and is capped.
func (s *suspicion) severity() float64 {
	severity := 0.0
	for i := range s.failures {
		severity = max(severity, s.failures[i].since.mean())
	}

	return severity + max(s.excess.mean(), 0)/math.Ln10
}
