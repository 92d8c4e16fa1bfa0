// Package suspicion estimates whether an upstream fails at present from the
// results of its requests. It does no I/O; time is passed in.
package suspicion

import (
	"math"
	"time"
)

const (
	// meanHealthy and meanFailing are how long an upstream stays in each state.
	// Gray failures last for seconds.
	meanHealthy = 30 * time.Second
	meanFailing = 5 * time.Second
	// failingRate is the share of requests that fail at a failing upstream.
	failingRate = 0.75
	// leastUsual and mostUsual bound the share of requests that fail at a healthy
	// upstream, and priorUsual is what is assumed before any was seen.
	leastUsual = 0.005
	mostUsual  = 0.2
	priorUsual = 0.02
	// usualMemory is how many requests the usual share remembers.
	usualMemory = 200
	// trusted is the probability below which results count for the usual share.
	trusted = 0.1
)

// DefaultThreshold is the evidence, in nats, from which an upstream is suspect
// unless its service says otherwise. Two failures in a row after many successes
// suffice, or one at an upstream that gets few requests.
const DefaultThreshold = 5

// restingOdds is the logarithm of the odds that an upstream fails whose requests
// have all succeeded for a while. Thresholds count from there.
const restingOdds = -6

// ThresholdProbability returns the probability that corresponds to a threshold.
func ThresholdProbability(threshold float64) float64 {
	return 1 / (1 + math.Exp(-(restingOdds + threshold)))
}

// Filter is the forward algorithm of a hidden Markov model with the states
// healthy and failing (Rabiner, 1989), with transitions in continuous time. It is
// not safe for concurrent use.
type Filter struct {
	// failing is the probability of the state failing at the time at.
	failing float64
	at      time.Time
	usual   float64
}

// New returns the filter of an upstream of which nothing is known.
func New(now time.Time) *Filter {
	return &Filter{failing: stationary, at: now, usual: priorUsual}
}

// stationary is the share of time in which an upstream fails.
const stationary = float64(meanFailing) / float64(meanHealthy+meanFailing)

// FailureProbability returns the probability that the upstream fails at the time now.
func (f *Filter) FailureProbability(now time.Time) float64 {
	elapsed := now.Sub(f.at)
	if elapsed <= 0 {
		return f.failing
	}
	rate := 1/meanHealthy.Seconds() + 1/meanFailing.Seconds()
	kept := math.Exp(-rate * elapsed.Seconds())

	return f.failing*kept + stationary*(1-kept)
}

// Observe takes the result of a request that ended at the time now.
func (f *Filter) Observe(failed bool, now time.Time) {
	before := f.FailureProbability(now)
	f.learn(failed, before)
	failing, healthy := 1-failingRate, 1-f.usual
	if failed {
		failing, healthy = failingRate, f.usual
	}
	f.failing = before * failing / (before*failing + (1-before)*healthy)
	if now.After(f.at) {
		f.at = now
	}
}

func (f *Filter) learn(failed bool, before float64) {
	if before > trusted {
		return
	}
	result := 0.0
	if failed {
		result = 1
	}
	f.usual += (result - f.usual) / usualMemory
	f.usual = min(max(f.usual, leastUsual), mostUsual)
}
