package tokens

import (
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Waiter is a request that waits for its token.
type Waiter struct {
	Deadline time.Time
	// patience is until when it waits if the account is above its limit.
	patience time.Time
	rank     int
	// Result is set when the waiter is returned as resolved.
	Result  fleet.TokenResult
	account *account
	since   time.Time
}

// account is a holder's part of one client account.
type account struct {
	name    string
	limit   Limit
	batches []*held
	waiters []*Waiter
	// takes counts requests since counted; demand is their rate per second.
	takes   int
	counted time.Time
	demand  float64
	// prefetchAt is when to ask again for tokens in advance, and retryAt for the
	// waiters; allBy is when the granter
	// expects to have served the first retryFor of them.
	prefetchAt time.Time
	retryAt    time.Time
	allBy      time.Time
	answered   time.Time
	retryFor   int
}

// held is a batch at its holder. It stays after it is closed until the granter
// has confirmed its total.
type held struct {
	id        uint64
	left      uint32
	spent     uint32
	confirmed uint32
	closed    bool
	expires   time.Time
	lastSpent time.Time
}

// spend takes a token of the batch that expires first.
func (a *account) spend(now time.Time) bool {
	var first *held
	for _, h := range a.batches {
		if !h.closed && h.left > 0 && now.Before(h.expires) && (first == nil || h.expires.Before(first.expires)) {
			first = h
		}
	}
	if first == nil {
		return false
	}
	first.left--
	first.spent++
	first.lastSpent = now

	return true
}

// usable returns the tokens that are left in batches that last beyond until.
func (a *account) usable(until time.Time) int {
	count := 0
	for _, h := range a.batches {
		if !h.closed && h.expires.After(until) {
			count += int(h.left)
		}
	}

	return count
}

// estimate updates the demand once per interval; it follows a rise at once and
// a fall by half per interval.
func (a *account) estimate(now time.Time) {
	elapsed := now.Sub(a.counted)
	if elapsed < estimateInterval {
		return
	}
	rate := float64(a.takes) / elapsed.Seconds()
	for range min(16, int(elapsed/estimateInterval)) {
		a.demand /= 2
	}
	a.demand = max(rate, a.demand+rate/2)
	a.takes, a.counted = 0, now
}

// expected returns when the waiter at a place in the queue gets its token; ok
// is false if nothing is known about it.
func (a *account) expected(now time.Time, place int) (at time.Time, ok bool) {
	if a.retryFor == 0 || now.Sub(a.answered) > 2*retryMax {
		// A bucket serves at most its burst at once and then one token per interval.
		return now.Add(a.limit.wait(float64(place+1) - a.limit.Burst)), a.limit.wait(float64(place+1)-a.limit.Burst) > 0
	}
	whole := a.allBy.Sub(a.answered)
	if place < a.retryFor {
		return a.answered.Add(whole * time.Duration(place+1) / time.Duration(a.retryFor)), true
	}

	return a.allBy.Add(a.limit.wait(float64(place + 1 - a.retryFor))), true
}

// serve gives the tokens at hand to the waiters in order and refuses those
// that would wait beyond their deadline.
func (a *account) serve(now time.Time) (resolved []*Waiter) {
	kept := a.waiters[:0]
	spent := true
	for _, w := range a.waiters {
		if spent {
			if spent = a.spend(now); spent {
				w.Result = fleet.TokenResult{Outcome: fleet.TokenGranted}
				resolved = append(resolved, w)

				continue
			}
		}
		if at, ok := a.expected(now, len(kept)); ok && at.After(w.patience) {
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

// demandMessage returns what to ask and to report now, and whether a request
// is due for it.
func (a *account) demandMessage(now time.Time, reports bool) (out *peerpb.TokenDemand, due bool) {
	out = &peerpb.TokenDemand{ClientAccount: a.name}
	a.estimate(now)
	horizon := min(a.demand, a.limit.Rate) * prefetchHorizon.Seconds()
	usable := a.usable(now.Add(returnBefore))
	if len(a.waiters) > 0 && !now.Before(a.retryAt) {
		out.Waiting = uint32(len(a.waiters))
		out.Tokens = out.Waiting
		out.Ranks = a.ranks()
		due = true
	}
	if wanted := int(min(horizon, a.limit.Burst/holderShare)); wanted >= 1 && usable < (wanted+1)/2 && !now.Before(a.prefetchAt) {
		out.Tokens = out.Waiting + uint32(wanted-usable)
		due = true
	}
	a.finish(now)
	unconfirmed := uint32(0)
	for _, h := range a.batches {
		if !h.closed && h.spent == h.confirmed {
			continue
		}
		unconfirmed += h.spent - h.confirmed
		r := &peerpb.BatchSpent{Batch: h.id, Tokens: h.spent, Closed: h.closed}
		if h.spent > 0 {
			r.AgeNanoseconds = int64(now.Sub(h.lastSpent))
		}
		out.Spent = append(out.Spent, r)
	}
	hurry := unconfirmed > 0 && float64(unconfirmed)*reportShare >= a.limit.Burst

	return out, due || hurry || reports && len(out.Spent) > 0
}

// ranks returns the number of waiters of each rank, or nil if all are of rank 0.
func (a *account) ranks() []uint32 {
	last := a.waiters[len(a.waiters)-1].rank
	if last == 0 {
		return nil
	}
	counts := make([]uint32, last+1)
	for _, w := range a.waiters {
		counts[w.rank]++
	}

	return counts
}

// enqueue adds a waiter behind those of its rank and returns its place.
func (a *account) enqueue(w *Waiter) {
	a.waiters = slices.Insert(a.waiters, a.place(w.rank), w)
}

// place returns where the next waiter of a rank would stand.
func (a *account) place(rank int) int {
	place := len(a.waiters)
	for place > 0 && a.waiters[place-1].rank > rank {
		place--
	}

	return place
}

// finish closes the batches that will not be needed before they expire, and
// drops those that the granter has written off without hearing of them.
func (a *account) finish(now time.Time) {
	kept := a.batches[:0]
	for _, h := range a.batches {
		left := h.expires.Sub(now)
		h.closed = h.closed || left <= 0 || left < returnBefore && float64(h.left) > a.demand*left.Seconds()
		if left > -2*BatchTTL {
			kept = append(kept, h)
		}
	}
	clear(a.batches[len(kept):])
	a.batches = kept
}

// confirm drops what the granter has taken in of the reports of a request.
func (a *account) confirm(reports []*peerpb.BatchSpent) {
	for _, r := range reports {
		for i, h := range a.batches {
			if h.id != r.GetBatch() {
				continue
			}
			h.confirmed = max(h.confirmed, r.GetTokens())
			if r.GetClosed() || h.left == 0 && h.confirmed == h.spent {
				a.batches = append(a.batches[:i], a.batches[i+1:]...)
			}

			break
		}
	}
}

// idle reports that nothing is left to do for the account.
func (a *account) idle() bool {
	return len(a.batches) == 0 && len(a.waiters) == 0 && a.takes == 0 && a.demand < 0.5
}
