package balance

import (
	"math"
	"time"
)

// RetryBudget is a token bucket that limits extra attempts (retries and hedges) to a
// share of the requests. It is not safe for concurrent use.
type RetryBudget struct {
	// creditPerRequest is the number of tokens that each request adds.
	creditPerRequest float64
	maxTokens        float64
	// tokens is the number of extra attempts that are allowed now, 0 to maxTokens.
	tokens float64
}

// NewRetryBudget returns a budget that gains share extra attempts with each request and
// accumulates at most maximum. It starts with maximum.
func NewRetryBudget(share, maximum float64) *RetryBudget {
	return &RetryBudget{creditPerRequest: share, maxTokens: maximum, tokens: maximum}
}

// Credit adds the tokens of one request.
func (b *RetryBudget) Credit() {
	b.tokens = math.Min(b.maxTokens, b.tokens+b.creditPerRequest)
}

// Available reports whether Spend would allow an extra attempt.
func (b *RetryBudget) Available() bool {
	return b.tokens >= 1
}

// Spend removes one token and reports true, or reports false if there is none. One
// token allows one extra attempt.
func (b *RetryBudget) Spend() bool {
	if !b.Available() {
		return false
	}

	b.tokens--

	return true
}

const (
	// quantileBuckets is the number of buckets. Durations above the upper bound of the last
	// bucket count in it.
	quantileBuckets = 96
	// quantileGrowth is the ratio of the upper bounds of two successive buckets.
	quantileGrowth = 1.15
	// quantileFirstBound is the upper bound of the first bucket.
	quantileFirstBound = 100 * time.Microsecond
	// quantileWindow is the number of samples at which all counts are halved, so that
	// recent samples weigh more.
	quantileWindow = 512
	// quantileMinSamples is the number of samples below which no estimate is returned.
	quantileMinSamples = 32
)

// QuantileEstimator estimates quantiles of recent durations from a histogram whose bucket
// bounds grow geometrically. It is not safe for concurrent use.
type QuantileEstimator struct {
	counts [quantileBuckets]uint32
	// total is the sum of counts.
	total uint32
}

// Add counts one duration.
func (q *QuantileEstimator) Add(d time.Duration) {
	bucket := 0
	if d > quantileFirstBound {
		bucket = int(math.Log(float64(d)/float64(quantileFirstBound))/math.Log(quantileGrowth)) + 1
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

// At returns the upper bound of the bucket that contains the quantile p, where p is
// 0 to 1. It reports false while there are fewer than quantileMinSamples samples.
func (q *QuantileEstimator) At(p float64) (time.Duration, bool) {
	if q.total < quantileMinSamples {
		return 0, false
	}

	remaining := uint32(math.Ceil(p * float64(q.total)))
	for i, count := range q.counts {
		if count >= remaining {
			return time.Duration(float64(quantileFirstBound) * math.Pow(quantileGrowth, float64(i))), true
		}

		remaining -= count
	}

	return 0, false
}
