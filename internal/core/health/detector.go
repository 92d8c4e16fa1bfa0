package health

import (
	"math"
	"slices"
	"time"
)

const (
	// minFailureRate is the failure rate that every service is granted. Below
	// it, single failures of an idle service would look like strong evidence.
	minFailureRate = 0.0005
	// maxFailureRate keeps the likelihoods finite.
	maxFailureRate = 0.999
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
	// minVariance and priorVariance are of log latency within a route.
	minVariance   = 0.04
	priorVariance = 0.25
	// varianceSamples is how many samples replace the prior.
	varianceSamples = 50
	// scoreCap bounds accumulated evidence, in thresholds, so that an upstream
	// that the floor kept in service is cleared soon after it recovers.
	scoreCap = 3
	// fastHalfLife follows service-wide changes; slowHalfLife gives rare
	// requests a baseline.
	fastHalfLife = 500 * time.Millisecond
	slowHalfLife = 5 * time.Second
	// minBaselineRequests is the weight below which a window has no say.
	minBaselineRequests = 1.0
	// soleCallerAfter is how long a second client account has to be absent
	// before the evidence of the only one counts alone.
	soleCallerAfter = 30 * time.Second
)

// alternatives are the failure rates that the failure test looks for: the
// first detects rare failures, the second total failure within a few requests.
var alternatives = [...]float64{0.02, 0.3}

// window is an exponentially decayed count.
type window struct {
	weight, sum, squares float64
}

func (w *window) decay(elapsed, halfLife time.Duration) {
	f := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	w.weight *= f
	w.sum *= f
	w.squares *= f
}

func (w *window) add(weight, sum, squares float64) {
	w.weight += weight
	w.sum += sum
	w.squares += squares
}

func (w *window) mean() float64 {
	if w.weight == 0 {
		return 0
	}

	return w.sum / w.weight
}

// windows holds the same count for the step that is evaluated, and over the
// fast and the slow half-life.
type windows struct {
	step, fast, slow window
}

func (w *windows) decay(elapsed time.Duration) {
	w.step = window{}
	w.fast.decay(elapsed, fastHalfLife)
	w.slow.decay(elapsed, slowHalfLife)
}

func (w *windows) add(weight, sum, squares float64) {
	w.step.add(weight, sum, squares)
	w.fast.add(weight, sum, squares)
	w.slow.add(weight, sum, squares)
}

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
	// excess sums the excess log latency since latency was zero.
	excess     window
	routes     map[uint32]*windows
	soleCaller uint32
	manySeen   time.Time
	pending    []Counts
	requests   int
}

func newSuspicion() *suspicion {
	s := &suspicion{routes: map[uint32]*windows{}}
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
	p0 := d.failureBaseline()
	latency := d.latencyBaselines()
	for _, s := range d.upstreams {
		for _, counts := range s.pending {
			s.requests += counts.Requests
			s.addFailures(counts, p0, scoreCap*threshold)
			s.addLatency(counts, latency, threshold)
		}
		s.pending = nil
	}
}

func (s *suspicion) roll(elapsed time.Duration, now time.Time) {
	s.rate.decay(elapsed)
	for _, r := range s.routes {
		r.decay(elapsed)
	}
	for _, counts := range s.pending {
		s.rate.add(float64(counts.Requests), float64(counts.Failures), 0)
		if counts.Callers > 1 || counts.Callers == 1 && s.soleCaller != 0 && counts.SoleCaller != s.soleCaller {
			s.manySeen = now
		}
		if counts.Callers == 1 {
			s.soleCaller = counts.SoleCaller
		}
		for _, r := range counts.Routes {
			w := s.routes[r.Route]
			if w == nil {
				w = &windows{}
				s.routes[r.Route] = w
			}
			w.add(float64(r.Count), r.Sum, r.SumSquares)
		}
	}
	for route, w := range s.routes {
		if w.slow.weight < 0.01 {
			delete(s.routes, route)
		}
	}
}

// lowerMedian returns the median, or the lower of the two middle values: with
// exactly half of the upstreams failing, the healthy half is the reference.
func lowerMedian(values []float64) (float64, bool) {
	if len(values) == 0 {
		return 0, false
	}
	slices.Sort(values)

	return values[(len(values)-1)/2], true
}

// commonMean returns the largest of the three windows' lower medians, so that
// neither the beginning nor the end of a service-wide change is held against
// single upstreams. The step's own window has a say if more than half of the
// upstreams with recent requests are in it.
func commonMean(all []*windows) (float64, bool) {
	var step, fast, slow []float64
	for _, w := range all {
		if w.step.weight > 0 {
			step = append(step, w.step.mean())
		}
		if w.fast.weight >= minBaselineRequests {
			fast = append(fast, w.fast.mean())
		}
		if w.slow.weight >= minBaselineRequests {
			slow = append(slow, w.slow.mean())
		}
	}
	common, ok := lowerMedian(slow)
	if m, okFast := lowerMedian(fast); okFast && ok {
		common = max(common, m)
	}
	if 2*len(step) > len(slow) && ok {
		m, _ := lowerMedian(step)
		common = max(common, m)
	}

	return common, ok
}

// failureBaseline is the failure rate that the service's upstreams share.
func (d *detector) failureBaseline() float64 {
	var all []*windows
	for _, s := range d.upstreams {
		all = append(all, &s.rate)
	}
	common, _ := commonMean(all)

	return min(max(common, minFailureRate), maxFailureRate)
}

// baseline is the expected log latency of a route and its variance.
type baseline struct {
	mean, variance float64
}

func (d *detector) latencyBaselines() map[uint32]baseline {
	all := map[uint32][]*windows{}
	for _, s := range d.upstreams {
		for route, w := range s.routes {
			all[route] = append(all[route], w)
		}
	}
	baselines := map[uint32]baseline{}
	for route, windows := range all {
		if mean, ok := commonMean(windows); ok {
			baselines[route] = baseline{mean, commonVariance(windows)}
		}
	}

	return baselines
}

// commonVariance is the lower median of the variances within the upstreams.
func commonVariance(all []*windows) float64 {
	var values []float64
	for _, w := range all {
		if w.slow.weight >= minBaselineRequests {
			mean := w.slow.mean()
			own := max(w.slow.squares/w.slow.weight-mean*mean, 0)
			known := min(w.slow.weight/varianceSamples, 1)
			values = append(values, known*own+(1-known)*priorVariance)
		}
	}
	v, _ := lowerMedian(values)

	return max(v, minVariance)
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
	for _, r := range counts.Routes {
		b, ok := baselines[r.Route]
		if !ok || r.Count == 0 {
			continue
		}
		excess := min(r.Sum/float64(r.Count)-b.mean, maxLatencyExcess)
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
