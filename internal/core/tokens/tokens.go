// Package tokens enforces the rate limits of client accounts with token buckets
// (Turner, 1986). The Granter of a group of accounts keeps the buckets and grants
// batches of tokens that expire. The Holder of each daemon spends its batches
// without asking the granter again.
//
// Invariant: available + outstanding tokens of a bucket never exceed the burst. A
// token is outstanding from its grant until it is reported as spent or returned, or
// its batch has expired by every daemon's clock. Therefore the number of tokens
// spent in a time window is at most the burst (the tokens that existed at the start
// of the window) plus rate × length of the window by the granter's clock (the
// tokens added during the window).
package tokens

import "time"

const (
	// BatchTTL is how long a batch is valid, counted from when the holder sent the
	// request for it.
	BatchTTL = 250 * time.Millisecond
	// minGrantValidity is the shortest validity worth granting: a few round trips.
	minGrantValidity = 30 * time.Millisecond
	// waitingTTL is how long a granter uses a holder's last reported number of
	// waiting requests. Holders with waiting requests ask at least every
	// maxRetryDelay.
	waitingTTL = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time until a holder asks again for
	// tokens that its waiting requests did not get.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
	// noAnswerDelay is the pause after a request that no granter answered.
	noAnswerDelay = 50 * time.Millisecond
	// MinRequestInterval is the minimum time between two requests of a holder. It
	// limits a daemon to 500 requests per second and group.
	MinRequestInterval = 2 * time.Millisecond
	// reportDelay is the interval at which spent tokens are reported if no other
	// request is due earlier, so that one request reports several tokens.
	reportDelay = 100 * time.Millisecond
	// reportDivisor sets how many unconfirmed spent tokens of an account cause a report
	// without delay: burst / reportDivisor. Until the report, spent tokens count as
	// outstanding and limit the refill of the bucket.
	reportDivisor = 8
	// returnLeadTime is how long before its expiry an unneeded batch is returned, so
	// that the return arrives before the granter writes off the batch.
	returnLeadTime = 100 * time.Millisecond
	// prefetchHorizon is the period whose expected demand a holder covers by requesting
	// tokens in advance.
	prefetchHorizon = 250 * time.Millisecond
	// prefetchDivisor limits the tokens of one prefetch to the available tokens /
	// prefetchDivisor, so that one holder does not empty the bucket.
	prefetchDivisor = 4
	// holderPrefetchDivisor limits the prefetched tokens of one holder to burst /
	// holderPrefetchDivisor, because requests at other daemons cannot use them.
	holderPrefetchDivisor = 16
	// maxRank is the rank of the least urgent requests. Larger ranks count as maxRank.
	maxRank = 15
	// shortageDuration is how long a shortage lasts after an urgent request of an
	// account got no token. During a shortage, less urgent requests get only the tokens
	// that lessUrgentDivisor allows.
	shortageDuration = 300 * time.Millisecond
	// lessUrgentDivisor is the number of tokens granted to urgent requests for each
	// token that less urgent requests may get during a shortage.
	lessUrgentDivisor = 8
	// estimateInterval is the interval at which the estimated demand of an account is
	// updated.
	estimateInterval = 100 * time.Millisecond
)

// AddClockMargin returns a duration extended by 12%, so that it does not end before the
// duration d measured by another daemon's clock. Clocks that are 5% fast and 5%
// slow differ by a factor of 1.05 / 0.95 = 1.106, which a margin of 10% does not
// cover.
func AddClockMargin(d time.Duration) time.Duration { return d + d*12/100 }

// RemoveClockMargin returns the duration that AddClockMargin extends to d, rounded
// down to whole nanoseconds.
func RemoveClockMargin(d time.Duration) time.Duration { return d * 100 / 112 }

// Limit is the rate limit of one client account over the whole fleet.
type Limit struct {
	// Rate is the number of tokens that are added per second.
	Rate float64
	// Burst is the capacity of the bucket in tokens.
	Burst float64
}

// refillTime returns how long the bucket takes to refill by count tokens, at most
// 1 hour.
func (l Limit) refillTime(count float64) time.Duration {
	if count <= 0 {
		return 0
	}

	return time.Duration(min(count/l.Rate, 3600) * float64(time.Second))
}
