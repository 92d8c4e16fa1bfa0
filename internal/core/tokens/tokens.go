// Package tokens hands out the tokens of client accounts: the Granter of a
// group keeps token buckets (Turner, 1986) and grants batches that expire; each
// Holder spends its batches without asking again.
//
// The bound: available + outstanding never exceeds the burst, and a token is
// outstanding until it is reported spent or nobody can spend it any more. So
// the tokens spent in a window are at most those that existed at its start
// (burst) plus those created in it (rate × length, by the granter's clock).
package tokens

import "time"

const (
	// BatchTTL is how long a batch is valid from the moment its request was sent.
	BatchTTL = 250 * time.Millisecond
	// minValid is the shortest validity worth granting, a few round trips.
	minValid = 30 * time.Millisecond
	// waitingFresh is how long a granter believes a holder's number of waiting
	// requests; holders with waiting requests ask at least every retryMax.
	waitingFresh = 250 * time.Millisecond
	retryMin     = 5 * time.Millisecond
	retryMax     = 100 * time.Millisecond
	// awayRetry is the pause after a request without an answer from a granter.
	awayRetry = 50 * time.Millisecond
	// MinRequestInterval bounds a holder's requests to 500 per second and group.
	MinRequestInterval = 2 * time.Millisecond
	// reportDelay collects spent reports that need not hurry.
	reportDelay = 100 * time.Millisecond
	// reportShare is the part of the burst that is reported without delay when
	// spent, since the bucket does not refill while it counts as outstanding.
	reportShare = 8
	// returnBefore leaves time for the return of what is left to arrive before
	// the granter writes the batch off.
	returnBefore = 100 * time.Millisecond
	// prefetchHorizon is the demand that a busy client account holds in advance.
	prefetchHorizon = 250 * time.Millisecond
	// prefetchShare is the part of the available tokens one prefetch can take,
	// so that one holder does not empty the bucket in advance.
	prefetchShare = 4
	// holderShare is the part of the burst that one holder has in advance at
	// most. Tokens held in advance are missing where the next request arrives.
	holderShare = 16
	// maxRank is the least urgent rank that is told apart.
	maxRank = 15
	// shortage is how long less urgent requests of an account get next to no tokens
	// after a more urgent one got none.
	shortage = 300 * time.Millisecond
	// leastShare is the part of the tokens that less urgent requests get then.
	leastShare = 8
	// estimateInterval is the period of the demand estimate.
	estimateInterval = 100 * time.Millisecond
)

// AddClockMargin lengthens a duration that must not end before the same duration
// counted by another clock. Clocks that are 5% fast and 5% slow differ by a
// factor of 1.05 / 0.95 = 1.106, which a margin of 10% does not cover.
func AddClockMargin(d time.Duration) time.Duration { return d + d*12/100 }

// RemoveClockMargin is the inverse of Margin, rounded down.
func RemoveClockMargin(d time.Duration) time.Duration { return d * 100 / 112 }

// Limit is the limit of one client account over the whole fleet.
type Limit struct {
	// Rate is in tokens per second.
	Rate  float64
	Burst float64
}

// wait returns how long the bucket takes to refill by count tokens.
func (l Limit) wait(count float64) time.Duration {
	if count <= 0 {
		return 0
	}

	return time.Duration(min(count/l.Rate, 3600) * float64(time.Second))
}
