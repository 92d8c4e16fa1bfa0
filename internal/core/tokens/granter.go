package tokens

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Granter is the state of a group's granter during one term of its lease. Its
// buckets start empty: when a daemon obtains the lease, every grant of an earlier
// term has expired, but the number of tokens spent before is unknown. This also
// holds after a graceful release, because the leaving granter limits its grants to
// the remaining term and releases the lease after they have expired.
type Granter struct {
	startedAt time.Time
	// sweptAt is when outdated entries of lastRequests were last dropped.
	sweptAt time.Time
	// lastBatch is the number of the batch that was granted last.
	lastBatch uint64
	limits    Limits
	// buckets holds the buckets by client account. They are created on first use.
	buckets map[string]*bucket
	// lastRequests holds the last request of each holder by the daemon's name.
	lastRequests map[string]*lastRequest
}

// lastRequest is the last request of a holder with its result. A repeated request
// gets the same result, and thus the same batches.
type lastRequest struct {
	receivedAt  time.Time
	incarnation uint64
	sequence    uint64
	result      *peerpb.TokenResult
}

// lastRequestRetention is how long the last request of a holder is kept. Duplicates that
// arrive later are of no use to the holder.
const lastRequestRetention = 10 * time.Second

// NewGranter returns the granter of a term that begins at now. FirstBatch must be
// random, so that reports about batches of other terms match no batch of this one.
func NewGranter(now time.Time, firstBatch uint64, limits Limits) *Granter {
	return &Granter{startedAt: now, sweptAt: now, lastBatch: firstBatch, limits: limits, buckets: map[string]*bucket{}, lastRequests: map[string]*lastRequest{}}
}

// Configure installs new limits. The bucket of an added account starts empty. A removed
// account gets no more tokens.
func (g *Granter) Configure(now time.Time, limits Limits) {
	for name, limit := range limits.All() {
		if _, ok := g.limits.Get(name); !ok && g.buckets[name] == nil {
			g.buckets[name] = newBucket(limit, now)
		}
	}
	for name, limit := range g.limits.All() {
		if changed := limitOrZero(limits, name); changed != limit {
			g.bucket(name).setLimit(now, changed)
		}
	}
	for name, b := range g.buckets {
		limit, ok := limits.Get(name)
		if b.limit != limit {
			b.setLimit(now, limit)
		}
		if !ok && len(b.batches) == 0 {
			delete(g.buckets, name)
		}
	}
	g.limits = limits
}

// bucket returns the bucket of a client account. A new bucket is refilled from the
// granter's start.
func (g *Granter) bucket(name string) *bucket {
	b := g.buckets[name]
	if b == nil {
		b = newBucket(limitOrZero(g.limits, name), g.startedAt)
		g.buckets[name] = b
	}

	return b
}

// Handle applies the reports of a holder and returns the tokens granted to it.
// From is the holder's daemon, and leaseRemaining the longest validity of a grant
// that does not outlast the lease. A repeated request gets the same result as before,
// and a request older than the holder's last one gets no tokens.
func (g *Granter) Handle(now time.Time, from string, request *peerpb.TokenRequest, leaseRemaining time.Duration) *peerpb.TokenResult {
	g.dropOldRequests(now)
	for _, d := range request.GetDemands() {
		if b := g.buckets[d.GetClientAccount()]; b != nil {
			b.advance(now)
			for _, r := range d.GetSpent() {
				b.applyReport(now, from, r)
			}
		}
	}
	previous := g.lastRequests[from]
	if previous != nil && previous.incarnation == request.GetIncarnation() && previous.sequence == request.GetSequence() {
		return previous.result
	}
	result := &peerpb.TokenResult{Granter: true}
	if previous != nil && (previous.incarnation > request.GetIncarnation() || previous.incarnation == request.GetIncarnation() && previous.sequence > request.GetSequence()) {
		return result
	}
	validity := min(BatchTTL, leaseRemaining)
	for _, d := range request.GetDemands() {
		if _, ok := g.limits.Get(d.GetClientAccount()); ok && d.GetTokens() > 0 {
			result.Grants = append(result.Grants, g.grant(now, from, d, validity))
		}
	}
	g.lastRequests[from] = &lastRequest{receivedAt: now, incarnation: request.GetIncarnation(), sequence: request.GetSequence(), result: result}

	return result
}

// grant grants a batch with as many of the demanded tokens as the bucket allows, maybe
// none. If that is too few for the waiting requests, RetryNanoseconds of the result is
// the time after which the bucket is expected to have the missing tokens.
func (g *Granter) grant(now time.Time, from string, demand *peerpb.TokenDemand, validity time.Duration) *peerpb.TokenGrant {
	b := g.bucket(demand.GetClientAccount())
	b.advance(now)
	out := &peerpb.TokenGrant{ClientAccount: demand.GetClientAccount(), ValidNanoseconds: int64(validity)}
	if validity >= minGrantValidity {
		out.Tokens = b.grantable(now, from, demand)
	}
	if out.Tokens > 0 {
		g.lastBatch++
		out.Batch = g.lastBatch
		b.available = max(0, b.available-float64(out.Tokens))
		b.outstanding += float64(out.Tokens)
		b.batches[out.Batch] = &batch{holder: from, grantedAt: now, expiresAt: now.Add(AddClockMargin(validity)), tokens: out.Tokens}
	}
	if out.Tokens < demand.GetWaiting() {
		shortfall := float64(demand.GetWaiting()-out.Tokens) + b.waitingElsewhere(now, from, b.waitingByHolder[from].mostUrgent) - b.available
		out.RetryNanoseconds = int64(b.limit.refillTime(shortfall))
	}

	return out
}

// dropOldRequests drops the requests older than lastRequestRetention, at most once per
// lastRequestRetention.
func (g *Granter) dropOldRequests(now time.Time) {
	if now.Sub(g.sweptAt) < lastRequestRetention {
		return
	}
	g.sweptAt = now
	for name, previous := range g.lastRequests {
		if now.Sub(previous.receivedAt) > lastRequestRetention {
			delete(g.lastRequests, name)
		}
	}
}
