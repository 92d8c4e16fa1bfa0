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
	// minVariance and priorVariance are of log latency within a route.
	minVariance   = 0.04
	priorVariance = 0.25
	// varianceSamples is how many samples replace the prior.
	varianceSamples = 50
	// fastHalfLife follows service-wide changes; slowHalfLife gives rare
	// requests a baseline.
	fastHalfLife = 500 * time.Millisecond
	slowHalfLife = 5 * time.Second
	// usualHalfLife is that of an instance's own speed, which other load on the
	// instance changes for seconds.
	usualHalfLife = time.Minute
	// minBaselineRequests is the weight below which a window has no say.
	minBaselineRequests = 1.0
)

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

func decayAll(all map[uint32]*windows, elapsed time.Duration) {
	for key, w := range all {
		w.decay(elapsed)
		if w.slow.weight < 0.01 {
			delete(all, key)
		}
	}
}

func addTo(all map[uint32]*windows, key uint32, weight, sum, squares float64) {
	w := all[key]
	if w == nil {
		w = &windows{}
		all[key] = w
	}
	w.add(weight, sum, squares)
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

// failureBaseline is the failure rate that the service's upstreams share, less
// the excluded client account.
func (d *detector) failureBaseline(excluded uint32) float64 {
	var all []*windows
	for _, s := range d.upstreams {
		w := s.rate
		if a := s.accounts[excluded]; a != nil && excluded != otherAccounts {
			w.step.add(-a.step.weight, -a.step.sum, 0)
			w.fast.add(-a.fast.weight, -a.fast.sum, 0)
			w.slow.add(-a.slow.weight, -a.slow.sum, 0)
		}
		all = append(all, &w)
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

// failingAccount returns the client account with the most failures among those
// that fail at more than half of the upstreams, or otherAccounts. Its failures
// are its own: left in, they would raise the service's failure rate and hide a
// gray upstream.
func (d *detector) failingAccount() uint32 {
	account := uint32(otherAccounts)
	upstreams, failures := map[uint32]int{}, map[uint32]float64{}
	serving := 0
	for _, s := range d.upstreams {
		if s.rate.slow.weight >= minBaselineRequests {
			serving++
		}
		for a, w := range s.accounts {
			if w.slow.sum >= 1 && a != otherAccounts {
				upstreams[a]++
			}
			failures[a] += w.slow.sum
		}
	}
	for a, n := range upstreams {
		if 2*n <= serving {
			continue
		}
		if account == otherAccounts || failures[a] > failures[account] ||
			failures[a] == failures[account] && a < account {
			account = a
		}
	}

	return account
}
