package balance

import (
	"math"
	"time"
)

// RetryBudget bounds extra attempts to a share of the requests (retry budget).
// It is not safe for concurrent use.
type RetryBudget struct {
	share   float64
	maximum float64
	tokens  float64
}

// NewRetryBudget returns a budget of share extra attempts per request that saves up
// at most maximum and begins with it.
func NewRetryBudget(share, maximum float64) *RetryBudget {
	return &RetryBudget{share: share, maximum: maximum, tokens: maximum}
}

// Credit credits one request.
func (b *RetryBudget) Credit() {
	b.tokens = math.Min(b.maximum, b.tokens+b.share)
}

// Available reports whether Spend would allow an extra attempt.
func (b *RetryBudget) Available() bool {
	return b.tokens >= 1
}

// Spend takes one extra attempt and reports whether the budget allowed it.
func (b *RetryBudget) Spend() bool {
	if !b.Available() {
		return false
	}

	b.tokens--

	return true
}

const (
	quantileBuckets = 96
	// quantileGrowth is the ratio between the bounds of a bucket.
	quantileGrowth = 1.15
	quantileFirst  = 100 * time.Microsecond
	// quantileWindow is the number of samples after which old ones are halved.
	quantileWindow = 512
	// quantileLeast is the number of samples below which there is no estimate.
	quantileLeast = 32
)

// QuantileEstimator estimates a quantile of recent durations in geometric buckets.
// It is not safe for concurrent use.
type QuantileEstimator struct {
	counts [quantileBuckets]uint32
	total  uint32
}

// Add records one duration.
func (q *QuantileEstimator) Add(d time.Duration) {
	bucket := 0
	if d > quantileFirst {
		bucket = int(math.Log(float64(d)/float64(quantileFirst))/math.Log(quantileGrowth)) + 1
	}

	q.counts[min(bucket, quantileBuckets-1)]++

	q.total++
	if q.total < quantileWindow {
		return
	}

	q.total = 0
	for i := range q.counts {
		q.counts[i] /= 2
		q.total += q.counts[i]
	}
}

// At returns the upper bound of the bucket that holds the quantile p, 0 to 1.
// It reports false while there are too few samples.
func (q *QuantileEstimator) At(p float64) (time.Duration, bool) {
	if q.total < quantileLeast {
		return 0, false
	}

	rest := uint32(math.Ceil(p * float64(q.total)))
	for i, count := range q.counts {
		if count >= rest {
			return time.Duration(float64(quantileFirst) * math.Pow(quantileGrowth, float64(i))), true
		}

		rest -= count
	}

	return 0, false
}
