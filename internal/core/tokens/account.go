package tokens

import (
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Waiter is a request that waits for its token.
type Waiter struct {
	// Deadline is when the wait ends if no granter answers.
	Deadline time.Time
	// overLimitDeadline is when the wait ends once a granter has answered that the
	// account is above its limit.
	overLimitDeadline time.Time
	// rank is the urgency of the request, from 0 (most urgent) to maxRank.
	rank int
	// Result is the outcome. It is set when the waiter is returned as resolved.
	Result    fleet.TokenResult
	account   *account
	arrivedAt time.Time
}

// account is a holder's state of one client account.
type account struct {
	name    string
	limit   Limit
	batches []*heldBatch
	// waiters is ordered by rank, and by arrival within a rank.
	waiters []*Waiter
	// requests is the number of requests since countedSince.
	requests     int
	countedSince time.Time
	// demandRate is the estimated number of requests per second.
	demandRate float64
	// nextPrefetchAt is the earliest time of the next request for tokens in advance.
	nextPrefetchAt time.Time
	// nextRetryAt is the earliest time of the next request for the waiters' tokens.
	nextRetryAt time.Time
	// allServedAt is when the granter expects to have a token for each of the
	// unserved waiters.
	allServedAt time.Time
	// answeredAt is when the granter's last answer about the account was received.
	answeredAt time.Time
	// unserved is the number of waiters for which that answer had no token.
	unserved int
}

// heldBatch is a batch of tokens at its holder. A closed batch is retained until
// the granter has confirmed the report of its total.
type heldBatch struct {
	id        uint64
	remaining uint32
	spent     uint32
	// confirmed is the part of spent that the granter has confirmed.
	confirmed uint32
	// closed means that no token is taken from the batch any more and that the
	// remaining ones are returned to the granter.
	closed bool
	// expiresAt is the end of the validity by the holder's clock.
	expiresAt   time.Time
	lastSpentAt time.Time
}

// spendToken spends a token of the usable batch that expires first, and reports
// whether there was one.
func (a *account) spendToken(now time.Time) bool {
	var earliest *heldBatch
	for _, h := range a.batches {
		if !h.closed && h.remaining > 0 && now.Before(h.expiresAt) && (earliest == nil || h.expiresAt.Before(earliest.expiresAt)) {
			earliest = h
		}
	}
	if earliest == nil {
		return false
	}
	earliest.remaining--
	earliest.spent++
	earliest.lastSpentAt = now

	return true
}

// usableTokens returns the number of remaining tokens of the open batches that
// expire after until.
func (a *account) usableTokens(until time.Time) int {
	count := 0
	for _, h := range a.batches {
		if !h.closed && h.expiresAt.After(until) {
			count += int(h.remaining)
		}
	}

	return count
}

// updateDemandRate updates the estimated demand once per estimateInterval. The
// estimate follows a rise at once and falls by at most half per interval.
func (a *account) updateDemandRate(now time.Time) {
	elapsed := now.Sub(a.countedSince)
	if elapsed < estimateInterval {
		return
	}
	rate := float64(a.requests) / elapsed.Seconds()
	for range min(16, int(elapsed/estimateInterval)) {
		a.demandRate /= 2
	}
	a.demandRate = max(rate, a.demandRate+rate/2)
	a.requests, a.countedSince = 0, now
}

// expectedTokenTime returns when the waiter at a position in the queue is expected
// to get its token. The result ok is false if there is no estimate.
func (a *account) expectedTokenTime(now time.Time, position int) (at time.Time, ok bool) {
	if a.unserved == 0 || now.Sub(a.answeredAt) > 2*maxRetryDelay {
		// Without a recent answer, the estimate is the earliest possible time: a full
		// bucket holds the burst, and further tokens are added at the rate. For a
		// position within the burst, a token may be available now, so ok is false.
		return now.Add(a.limit.refillTime(float64(position+1) - a.limit.Burst)), a.limit.refillTime(float64(position+1)-a.limit.Burst) > 0
	}
	servingTime := a.allServedAt.Sub(a.answeredAt)
	if position < a.unserved {
		return a.answeredAt.Add(servingTime * time.Duration(position+1) / time.Duration(a.unserved)), true
	}

	return a.allServedAt.Add(a.limit.refillTime(float64(position + 1 - a.unserved))), true
}

// serveWaiters gives the usable tokens to the waiters in queue order, and refuses
// the waiters whose token is expected after their overLimitDeadline. It returns
// the waiters that it resolved.
func (a *account) serveWaiters(now time.Time) (resolved []*Waiter) {
	kept := a.waiters[:0]
	available := true
	for _, w := range a.waiters {
		if available {
			if available = a.spendToken(now); available {
				w.Result = fleet.TokenResult{Outcome: fleet.TokenGranted}
				resolved = append(resolved, w)

				continue
			}
		}
		if at, ok := a.expectedTokenTime(now, len(kept)); ok && at.After(w.overLimitDeadline) {
			w.Result = fleet.TokenResult{Outcome: fleet.OverLimit, RetryAfter: at.Sub(now)}
			resolved = append(resolved, w)

			continue
		}
		kept = append(kept, w)
	}
	clear(a.waiters[len(kept):])
	a.waiters = kept

	return resolved
}

// demandMessage returns the tokens to request and the spent tokens to report at
// now, and whether they require a request at now. ReportDue means that reports of
// any size are due.
func (a *account) demandMessage(now time.Time, reportDue bool) (out *peerpb.TokenDemand, due bool) {
	out = &peerpb.TokenDemand{ClientAccount: a.name}
	a.updateDemandRate(now)
	prefetchDemand := min(a.demandRate, a.limit.Rate) * prefetchHorizon.Seconds()
	usable := a.usableTokens(now.Add(returnLeadTime))
	if len(a.waiters) > 0 && !now.Before(a.nextRetryAt) {
		out.Waiting = uint32(len(a.waiters))
		out.Tokens = out.Waiting
		out.Ranks = a.waitersByRank()
		due = true
	}
	if prefetchTarget := int(min(prefetchDemand, a.limit.Burst/holderPrefetchDivisor)); prefetchTarget >= 1 && usable < (prefetchTarget+1)/2 && !now.Before(a.nextPrefetchAt) {
		out.Tokens = out.Waiting + uint32(prefetchTarget-usable)
		due = true
	}
	a.closeBatches(now)
	unconfirmed := uint32(0)
	for _, h := range a.batches {
		if !h.closed && h.spent == h.confirmed {
			continue
		}
		unconfirmed += h.spent - h.confirmed
		r := &peerpb.BatchSpent{Batch: h.id, Tokens: h.spent, Closed: h.closed}
		if h.spent > 0 {
			r.AgeNanoseconds = int64(now.Sub(h.lastSpentAt))
		}
		out.Spent = append(out.Spent, r)
	}
	reportNow := unconfirmed > 0 && float64(unconfirmed)*reportDivisor >= a.limit.Burst

	return out, due || reportNow || reportDue && len(out.Spent) > 0
}

// waitersByRank returns the number of waiters of each rank, or nil if all waiters
// have rank 0. There must be at least one waiter.
func (a *account) waitersByRank() []uint32 {
	leastUrgent := a.waiters[len(a.waiters)-1].rank
	if leastUrgent == 0 {
		return nil
	}
	counts := make([]uint32, leastUrgent+1)
	for _, w := range a.waiters {
		counts[w.rank]++
	}

	return counts
}

// enqueue inserts a waiter behind the other waiters of its rank.
func (a *account) enqueue(w *Waiter) {
	a.waiters = slices.Insert(a.waiters, a.queuePosition(w.rank), w)
}

// queuePosition returns the index at which enqueue inserts a waiter of a rank.
func (a *account) queuePosition(rank int) int {
	position := len(a.waiters)
	for position > 0 && a.waiters[position-1].rank > rank {
		position--
	}

	return position
}

// closeBatches closes the batches that have expired or are not expected to be used
// up before they expire. It drops the batches that expired at least 2*BatchTTL ago,
// which the granter has written off without receiving their reports.
func (a *account) closeBatches(now time.Time) {
	kept := a.batches[:0]
	for _, h := range a.batches {
		untilExpiry := h.expiresAt.Sub(now)
		h.closed = h.closed || untilExpiry <= 0 || untilExpiry < returnLeadTime && float64(h.remaining) > a.demandRate*untilExpiry.Seconds()
		if untilExpiry > -2*BatchTTL {
			kept = append(kept, h)
		}
	}
	clear(a.batches[len(kept):])
	a.batches = kept
}

// confirmReports records that the granter has received the given reports, and
// drops the batches that need no further report.
func (a *account) confirmReports(reports []*peerpb.BatchSpent) {
	for _, r := range reports {
		for i, h := range a.batches {
			if h.id != r.GetBatch() {
				continue
			}
			h.confirmed = max(h.confirmed, r.GetTokens())
			if r.GetClosed() || h.remaining == 0 && h.confirmed == h.spent {
				a.batches = append(a.batches[:i], a.batches[i+1:]...)
			}

			break
		}
	}
}

// idle reports whether the account has neither batches nor waiters nor recent
// demand, so that its state can be dropped.
func (a *account) idle() bool {
	return len(a.batches) == 0 && len(a.waiters) == 0 && a.requests == 0 && a.demandRate < 0.5
}
