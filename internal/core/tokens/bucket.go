package tokens

import (
	"math"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// bucket is the token bucket of one client account. The bucket of an account that
// was removed from the configuration is retained, with a zero limit, until none of
// its tokens are outstanding.
type bucket struct {
	limit Limit
	// available is the number of tokens that can be granted.
	available float64
	// outstanding is the number of granted tokens that were not reported as spent or
	// returned and whose batch has not expired.
	outstanding float64
	// refilledAt is the time up to which the refill has been added to available.
	refilledAt time.Time
	// batches holds the batches with outstanding tokens, by batch number.
	batches map[uint64]*batch
	// missedRefills lists the recent intervals in which the bucket was full and was
	// not refilled. Intervals that ended more than AddClockMargin(BatchTTL) ago are
	// dropped.
	missedRefills []interval
	// waitingByHolder holds the waiting requests by the name of the holder's daemon.
	waitingByHolder map[string]waitingRequests
	// shortageRank is the rank of the most urgent requests that recently got no
	// token, and shortageAt is when a request of that rank last got none. The shortage
	// ends shortageDuration later.
	shortageRank int
	shortageAt   time.Time
	// urgentCredit is the number of tokens granted during the shortage to requests
	// that are at least as urgent as shortageRank, minus lessUrgentDivisor for each
	// token granted to less urgent requests.
	urgentCredit uint32
	// lessUrgentAt is when a less urgent request last asked for a token during a
	// shortage.
	lessUrgentAt time.Time
}

// batch is a granted batch of tokens as recorded by its granter.
type batch struct {
	// holder is the name of the daemon that may spend the tokens.
	holder    string
	grantedAt time.Time
	// expiresAt is when the batch has expired by the clock of every holder.
	expiresAt time.Time
	tokens    uint32
	// spent is the number of tokens that the holder has reported as spent.
	spent uint32
}

type interval struct{ from, to time.Time }

// waitingRequests describes the requests of one holder that still waited for a
// token after its last request to the granter.
type waitingRequests struct {
	count uint32
	// mostUrgent is the lowest rank among these requests.
	mostUrgent int
	reportedAt time.Time
}

func newBucket(limit Limit, since time.Time) *bucket {
	return &bucket{limit: limit, refilledAt: since, batches: map[uint64]*batch{}, waitingByHolder: map[string]waitingRequests{}}
}

// advance brings the bucket to the state at now. It writes off the expired batches
// in the order of their expiry and refills the bucket in between, because
// outstanding tokens limit the refill.
func (b *bucket) advance(now time.Time) {
	for {
		var earliest *batch
		var id uint64
		for i, candidate := range b.batches {
			if !candidate.expiresAt.After(now) && (earliest == nil || candidate.expiresAt.Before(earliest.expiresAt)) {
				earliest, id = candidate, i
			}
		}
		if earliest == nil {
			break
		}
		b.refill(earliest.expiresAt)
		b.outstanding -= float64(earliest.tokens - earliest.spent)
		delete(b.batches, id)
	}
	b.refill(now)
}

// refill adds the tokens for the time from refilledAt to now, and records in
// missedRefills when the bucket was full.
func (b *bucket) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	freeCapacity := max(0, b.limit.Burst-b.outstanding-b.available)
	fullAt := b.refilledAt.Add(b.limit.refillTime(freeCapacity))
	if b.limit.Rate <= 0 || fullAt.After(now) {
		b.available += now.Sub(b.refilledAt).Seconds() * b.limit.Rate
	} else {
		b.available += freeCapacity
		b.missedRefills = append(b.missedRefills, interval{from: fullAt, to: now})
	}
	b.refilledAt = now
	for len(b.missedRefills) > 0 && now.Sub(b.missedRefills[0].to) > AddClockMargin(BatchTTL) {
		b.missedRefills = b.missedRefills[1:]
	}
}

// setLimit changes the limit. Outstanding tokens are not revoked, so a time window
// that includes the change is bounded by the higher of the two limits.
func (b *bucket) setLimit(now time.Time, limit Limit) {
	b.advance(now)
	b.limit, b.missedRefills = limit, nil
	b.available = max(0, min(b.available, limit.Burst-b.outstanding))
}

// applyReport records the total number of tokens spent from a batch, and takes
// back the unspent ones of a closed batch. Repeated and reordered reports change
// nothing. Until the report, the spent tokens counted as outstanding. If the bucket
// was full because of them, the refill that it missed since they were spent is added.
func (b *bucket) applyReport(now time.Time, holder string, r *peerpb.BatchSpent) {
	granted := b.batches[r.GetBatch()]
	if granted == nil || granted.holder != holder {
		return
	}
	if total := min(r.GetTokens(), granted.tokens); total > granted.spent {
		count := float64(total - granted.spent)
		granted.spent = total
		b.outstanding -= count
		spentAt := now.Add(-RemoveClockMargin(time.Duration(max(0, r.GetAgeNanoseconds()))))
		if spentAt.Before(granted.grantedAt) {
			spentAt = granted.grantedAt
		}
		b.available += b.reclaimRefill(spentAt, count)
	}
	if unspent := float64(granted.tokens - granted.spent); r.GetClosed() || unspent == 0 {
		b.outstanding -= unspent
		b.available += unspent
		delete(b.batches, r.GetBatch())
	}
	b.available = max(0, min(b.available, b.limit.Burst-b.outstanding))
}

// reclaimRefill returns the refill that the bucket missed while it was full after
// since, at most count tokens. It removes the corresponding times from
// missedRefills, so that none is reclaimed twice.
func (b *bucket) reclaimRefill(since time.Time, count float64) float64 {
	reclaimed := 0.0
	for i := range b.missedRefills {
		missed := &b.missedRefills[i]
		if missed.from.Before(since) {
			// The part before since is discarded although a later report could use it.
			// This can only lower the number of tokens.
			missed.from = since
		}
		if !missed.to.After(missed.from) {
			continue
		}
		part := min(count-reclaimed, missed.to.Sub(missed.from).Seconds()*b.limit.Rate)
		missed.from = missed.from.Add(time.Duration(math.Ceil(part / b.limit.Rate * float64(time.Second))))
		reclaimed += part
	}

	return reclaimed
}

// grantable returns how many of the demanded tokens to grant at now. Waiting
// requests are served first, by rank; tokens in advance are granted only if no
// request waits for a token at any holder.
func (b *bucket) grantable(now time.Time, holder string, demand *peerpb.TokenDemand) uint32 {
	available := uint32(math.Floor(b.available + 1e-9))
	total, unserved := uint32(0), waitingRequests{reportedAt: now, mostUrgent: maxRank}
	for rank, count := range waitingByRank(demand) {
		granted := b.allowedAtRank(now, rank, min(count, available-total))
		total += granted
		b.recordGranted(now, rank, granted)
		if granted == count {
			continue
		}
		if unserved.count == 0 {
			unserved.mostUrgent = rank
		}
		unserved.count += count - granted
		b.recordShortage(now, rank)
	}
	b.waitingByHolder[holder] = unserved
	if demand.GetTokens() <= demand.GetWaiting() || unserved.count > 0 || b.waitingElsewhere(now, holder, maxRank) > 0 {
		return total
	}

	return total + min(demand.GetTokens()-demand.GetWaiting(), (available-total)/prefetchDivisor)
}

// waitingByRank returns the number of waiting requests of each rank. Without valid
// ranks, all requests count as rank 0.
func waitingByRank(demand *peerpb.TokenDemand) []uint32 {
	ranks := demand.GetRanks()
	if len(ranks) == 0 || len(ranks) > maxRank+1 {
		return []uint32{demand.GetWaiting()}
	}

	return ranks
}

// allowedAtRank returns how many of count available tokens the requests of a rank
// may get. During a shortage of tokens for urgent requests, less urgent ones get
// one token for every lessUrgentDivisor tokens of the urgent ones.
func (b *bucket) allowedAtRank(now time.Time, rank int, count uint32) uint32 {
	reserved := b.urgentCredit / lessUrgentDivisor
	switch {
	case now.Sub(b.shortageAt) > shortageDuration:
		return count
	case rank > b.shortageRank:
		b.lessUrgentAt = now

		return min(count, reserved)
	case reserved > 0 && now.Sub(b.lessUrgentAt) <= shortageDuration:
		// The reserved tokens remain for less urgent requests.
		return count - min(count, reserved)
	}

	return count
}

// recordGranted updates urgentCredit by the tokens granted to requests of a rank.
func (b *bucket) recordGranted(now time.Time, rank int, granted uint32) {
	switch {
	case now.Sub(b.shortageAt) > shortageDuration:
		b.urgentCredit = 0
	case rank <= b.shortageRank:
		b.urgentCredit += granted
	default:
		b.urgentCredit -= min(b.urgentCredit, granted*lessUrgentDivisor)
	}
}

// recordShortage records that a request of a rank got no token at now.
func (b *bucket) recordShortage(now time.Time, rank int) {
	if now.Sub(b.shortageAt) > shortageDuration || rank <= b.shortageRank {
		b.shortageRank, b.shortageAt = rank, now
	}
}

// waitingElsewhere returns the number of requests that wait at the other holders
// whose most urgent request has at most the given rank. It drops outdated reports.
func (b *bucket) waitingElsewhere(now time.Time, holder string, rank int) float64 {
	count := 0.0
	for name, w := range b.waitingByHolder {
		if now.Sub(w.reportedAt) > waitingTTL || w.count == 0 {
			delete(b.waitingByHolder, name)
		} else if name != holder && w.mostUrgent <= rank {
			count += float64(w.count)
		}
	}

	return count
}
