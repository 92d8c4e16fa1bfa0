// Package suspicion estimates the probability that an upstream is failing at present from
// the results of its requests. It does no I/O, and the caller passes the time.
package suspicion

import (
	"math"
	"time"
)

const (
	// meanHealthy and meanFailing are the mean times that an upstream stays in the states
	// healthy and failing. Gray failures last for seconds.
	meanHealthy = 30 * time.Second
	meanFailing = 5 * time.Second
	// failingFailureRate is the share of requests that fail at a failing upstream.
	failingFailureRate = 0.75
	// minHealthyFailureRate and maxHealthyFailureRate bound the share of requests that fail
	// at a healthy upstream. initialHealthyFailureRate is assumed before the first result.
	minHealthyFailureRate     = 0.005
	maxHealthyFailureRate     = 0.2
	initialHealthyFailureRate = 0.02
	// healthyFailureRateWindow is the number of results that the moving average of the
	// failure rate of a healthy upstream covers.
	healthyFailureRateWindow = 200
	// maxLearningProbability bounds the probability that the upstream is failing. Above it
	// a result does not change healthyFailureRate.
	maxLearningProbability = 0.1
)

// DefaultThreshold is the threshold in nats above restingLogOdds for services whose
// settings contain none. An upstream whose log odds of failing reach the threshold is
// suspect. DefaultThreshold is reached by two failures in a row after many successes, or by
// one failure of an upstream that gets few requests.
const DefaultThreshold = 5

// restingLogOdds is the natural logarithm of the odds that an upstream is failing if all of
// its recent requests have succeeded. Thresholds count from it.
const restingLogOdds = -6

// ThresholdProbability returns the probability, 0 to 1, that corresponds to a threshold in
// nats above restingLogOdds.
func ThresholdProbability(threshold float64) float64 {
	return 1 / (1 + math.Exp(-(restingLogOdds + threshold)))
}

// Filter estimates the probability that one upstream is failing. It implements the forward
// algorithm of a hidden Markov model with the states healthy and failing (Rabiner, 1989),
// with transitions in continuous time. It is not safe for concurrent use.
type Filter struct {
	// probability is the probability that the upstream is failing at updatedAt.
	probability float64
	updatedAt   time.Time
	// healthyFailureRate is the moving average of the share of requests that fail while
	// the upstream is healthy.
	healthyFailureRate float64
}

// New returns the filter of an upstream without any results.
func New(now time.Time) *Filter {
	return &Filter{probability: stationaryProbability, updatedAt: now, healthyFailureRate: initialHealthyFailureRate}
}

// stationaryProbability is the share of time during which an upstream is failing. It is the
// estimate if there are no recent results.
const stationaryProbability = float64(meanFailing) / float64(meanHealthy+meanFailing)

// FailureProbability returns the probability, 0 to 1, that the upstream is failing at the
// time now.
func (f *Filter) FailureProbability(now time.Time) float64 {
	elapsed := now.Sub(f.updatedAt)
	if elapsed <= 0 {
		return f.probability
	}
	transitionRate := 1/meanHealthy.Seconds() + 1/meanFailing.Seconds()
	retained := math.Exp(-transitionRate * elapsed.Seconds())

	return f.probability*retained + stationaryProbability*(1-retained)
}

// Observe updates the estimate with the result of a request that ended at the time now.
func (f *Filter) Observe(failed bool, now time.Time) {
	prior := f.FailureProbability(now)
	f.updateHealthyFailureRate(failed, prior)
	likelihoodFailing, likelihoodHealthy := 1-failingFailureRate, 1-f.healthyFailureRate
	if failed {
		likelihoodFailing, likelihoodHealthy = failingFailureRate, f.healthyFailureRate
	}
	f.probability = prior * likelihoodFailing / (prior*likelihoodFailing + (1-prior)*likelihoodHealthy)
	if now.After(f.updatedAt) {
		f.updatedAt = now
	}
}

// updateHealthyFailureRate adds a result to healthyFailureRate, unless the probability that
// the upstream is failing exceeds maxLearningProbability.
func (f *Filter) updateHealthyFailureRate(failed bool, probability float64) {
	if probability > maxLearningProbability {
		return
	}
	failure := 0.0
	if failed {
		failure = 1
	}
	f.healthyFailureRate += (failure - f.healthyFailureRate) / healthyFailureRateWindow
	f.healthyFailureRate = min(max(f.healthyFailureRate, minHealthyFailureRate), maxHealthyFailureRate)
}
