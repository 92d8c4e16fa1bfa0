package tokens

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Granter is the state of a group's granter during one tenure of the lease.
// It starts empty: when a daemon obtains the lease, every grant of an earlier
// tenure has expired, but how much was spent before is unknown. This also
// holds after a graceful release, since the leaving granter cuts its grants to
// the time left and releases the lease when they have expired.
type Granter struct {
	since   time.Time
	swept   time.Time
	batch   uint64
	limits  Limits
	buckets map[string]*bucket
	last    map[string]*lastRequest
}

// lastRequest lets a repeated request get the same batches again.
type lastRequest struct {
	at          time.Time
	incarnation uint64
	sequence    uint64
	result      *peerpb.TokenResult
}

// lastKept is longer than any copy of a request can be of use.
const lastKept = 10 * time.Second

// NewGranter returns the granter of a tenure that began at now. FirstBatch is
// random, so that reports for batches of other tenures match none of its own.
func NewGranter(now time.Time, firstBatch uint64, limits Limits) *Granter {
	return &Granter{since: now, swept: now, batch: firstBatch, limits: limits, buckets: map[string]*bucket{}, last: map[string]*lastRequest{}}
}

// Configure installs new limits. An account that is new starts empty.
func (g *Granter) Configure(now time.Time, limits Limits) {
	for name, limit := range limits.All() {
		if _, ok := g.limits.Get(name); !ok && g.buckets[name] == nil {
			g.buckets[name] = newBucket(limit, now)
		}
	}
	for name, limit := range g.limits.All() {
		if changed := limitOf(limits, name); changed != limit {
			g.bucket(name).set(now, changed)
		}
	}
	for name, b := range g.buckets {
		limit, ok := limits.Get(name)
		if b.limit != limit {
			b.set(now, limit)
		}
		if !ok && len(b.batches) == 0 {
			delete(g.buckets, name)
		}
	}
	g.limits = limits
}

func (g *Granter) bucket(name string) *bucket {
	b := g.buckets[name]
	if b == nil {
		b = newBucket(limitOf(g.limits, name), g.since)
		g.buckets[name] = b
	}

	return b
}

// Handle answers a holder. Left is how long grants can be valid without
// outliving the lease.
func (g *Granter) Handle(now time.Time, from string, request *peerpb.TokenRequest, left time.Duration) *peerpb.TokenResult {
	g.forget(now)
	for _, d := range request.GetDemands() {
		if b := g.buckets[d.GetClientAccount()]; b != nil {
			b.advance(now)
			for _, r := range d.GetSpent() {
				b.report(now, from, r)
			}
		}
	}
	last := g.last[from]
	if last != nil && last.incarnation == request.GetIncarnation() && last.sequence == request.GetSequence() {
		return last.result
	}
	result := &peerpb.TokenResult{Granter: true}
	if last != nil && (last.incarnation > request.GetIncarnation() || last.incarnation == request.GetIncarnation() && last.sequence > request.GetSequence()) {
		return result
	}
	valid := min(BatchTTL, left)
	for _, d := range request.GetDemands() {
		if _, ok := g.limits.Get(d.GetClientAccount()); ok && d.GetTokens() > 0 {
			result.Grants = append(result.Grants, g.grant(now, from, d, valid))
		}
	}
	g.last[from] = &lastRequest{at: now, incarnation: request.GetIncarnation(), sequence: request.GetSequence(), result: result}

	return result
}

func (g *Granter) grant(now time.Time, from string, demand *peerpb.TokenDemand, valid time.Duration) *peerpb.TokenGrant {
	b := g.bucket(demand.GetClientAccount())
	b.advance(now)
	out := &peerpb.TokenGrant{ClientAccount: demand.GetClientAccount(), ValidNanoseconds: int64(valid)}
	if valid >= minValid {
		out.Tokens = b.grant(now, from, demand)
	}
	if out.Tokens > 0 {
		g.batch++
		out.Batch = g.batch
		b.available = max(0, b.available-float64(out.Tokens))
		b.outstanding += float64(out.Tokens)
		b.batches[out.Batch] = &batch{holder: from, granted: now, expires: now.Add(AddClockMargin(valid)), tokens: out.Tokens}
	}
	if out.Tokens < demand.GetWaiting() {
		missing := float64(demand.GetWaiting()-out.Tokens) + b.others(now, from, b.waiting[from].rank) - b.available
		out.RetryNanoseconds = int64(b.limit.wait(missing))
	}

	return out
}

func (g *Granter) forget(now time.Time) {
	if now.Sub(g.swept) < lastKept {
		return
	}
	g.swept = now
	for name, last := range g.last {
		if now.Sub(last.at) > lastKept {
			delete(g.last, name)
		}
	}
}
