package tokens

import (
	"math"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// bucket holds the tokens of one client account. A bucket of an account that
// left the configuration stays, with no limit, until nothing is outstanding.
type bucket struct {
	limit       Limit
	available   float64
	outstanding float64
	refilled    time.Time
	batches     map[uint64]*batch
	// full lists the recent times in which a full bucket forwent its refill.
	full    []interval
	waiting map[string]waiting
	// shortRank is the most urgent rank of which a request got no token last, at
	// shortAt. urgent counts the tokens that such requests got since, less those of
	// less urgent ones, which wanted one last at wantedAt.
	shortRank int
	shortAt   time.Time
	urgent    uint32
	wantedAt  time.Time
}

type batch struct {
	holder  string
	granted time.Time
	expires time.Time
	tokens  uint32
	spent   uint32
}

type interval struct{ from, to time.Time }

// waiting is what a holder's requests still wait for.
type waiting struct {
	count uint32
	// rank is the most urgent one.
	rank int
	at   time.Time
}

func newBucket(limit Limit, since time.Time) *bucket {
	return &bucket{limit: limit, refilled: since, batches: map[uint64]*batch{}, waiting: map[string]waiting{}}
}

// advance refills the bucket and writes expired batches off, in the order in
// which this happened.
func (b *bucket) advance(now time.Time) {
	for {
		var first *batch
		var id uint64
		for i, t := range b.batches {
			if !t.expires.After(now) && (first == nil || t.expires.Before(first.expires)) {
				first, id = t, i
			}
		}
		if first == nil {
			break
		}
		b.refill(first.expires)
		b.outstanding -= float64(first.tokens - first.spent)
		delete(b.batches, id)
	}
	b.refill(now)
}

func (b *bucket) refill(now time.Time) {
	if !now.After(b.refilled) {
		return
	}
	room := max(0, b.limit.Burst-b.outstanding-b.available)
	filled := b.refilled.Add(b.limit.wait(room))
	if b.limit.Rate <= 0 || filled.After(now) {
		b.available += now.Sub(b.refilled).Seconds() * b.limit.Rate
	} else {
		b.available += room
		b.full = append(b.full, interval{from: filled, to: now})
	}
	b.refilled = now
	for len(b.full) > 0 && now.Sub(b.full[0].to) > AddClockMargin(BatchTTL) {
		b.full = b.full[1:]
	}
}

// set changes the limit. What is outstanding stays, so windows that span the
// change are bound by the higher of both limits.
func (b *bucket) set(now time.Time, limit Limit) {
	b.advance(now)
	b.limit, b.full = limit, nil
	b.available = max(0, min(b.available, limit.Burst-b.outstanding))
}

// report takes the total spent of a batch. Repeated and reordered reports
// change nothing. The bucket would have refilled since the tokens were spent
// instead of being full, so the refill it forwent since then is made up for.
func (b *bucket) report(now time.Time, holder string, r *peerpb.BatchSpent) {
	t := b.batches[r.GetBatch()]
	if t == nil || t.holder != holder {
		return
	}
	if total := min(r.GetTokens(), t.tokens); total > t.spent {
		count := float64(total - t.spent)
		t.spent = total
		b.outstanding -= count
		spent := now.Add(-RemoveClockMargin(time.Duration(max(0, r.GetAgeNanoseconds()))))
		if spent.Before(t.granted) {
			spent = t.granted
		}
		b.available += b.makeUp(spent, count)
	}
	if left := float64(t.tokens - t.spent); r.GetClosed() || left == 0 {
		b.outstanding -= left
		b.available += left
		delete(b.batches, r.GetBatch())
	}
	b.available = max(0, min(b.available, b.limit.Burst-b.outstanding))
}

// makeUp uses up at most count tokens of the refill forgone since a time. Each
// moment is used once.
func (b *bucket) makeUp(since time.Time, count float64) float64 {
	made := 0.0
	for i := range b.full {
		f := &b.full[i]
		if f.from.Before(since) {
			// The part before since stays unused; giving it up is the safe side.
			f.from = since
		}
		if !f.to.After(f.from) {
			continue
		}
		take := min(count-made, f.to.Sub(f.from).Seconds()*b.limit.Rate)
		f.from = f.from.Add(time.Duration(math.Ceil(take / b.limit.Rate * float64(time.Second))))
		made += take
	}

	return made
}

// grant returns how many of the demanded tokens to hand out now.
func (b *bucket) grant(now time.Time, holder string, demand *peerpb.TokenDemand) uint32 {
	spare := uint32(math.Floor(b.available + 1e-9))
	first, left := uint32(0), waiting{at: now, rank: maxRank}
	for rank, count := range ranksOf(demand) {
		given := b.allowed(now, rank, min(count, spare-first))
		first += given
		b.count(now, rank, given)
		if given == count {
			continue
		}
		if left.count == 0 {
			left.rank = rank
		}
		left.count += count - given
		b.short(now, rank)
	}
	b.waiting[holder] = left
	if demand.GetTokens() <= demand.GetWaiting() || left.count > 0 || b.others(now, holder, maxRank) > 0 {
		return first
	}

	return first + min(demand.GetTokens()-demand.GetWaiting(), (spare-first)/prefetchShare)
}

// ranksOf returns how many requests of each rank wait.
func ranksOf(demand *peerpb.TokenDemand) []uint32 {
	ranks := demand.GetRanks()
	if len(ranks) == 0 || len(ranks) > maxRank+1 {
		return []uint32{demand.GetWaiting()}
	}

	return ranks
}

// allowed returns how many of the tokens at hand the requests of a rank may have.
// While urgent ones run short, others get one for every few of theirs.
func (b *bucket) allowed(now time.Time, rank int, count uint32) uint32 {
	others := b.urgent / leastShare
	switch {
	case now.Sub(b.shortAt) > shortage:
		return count
	case rank > b.shortRank:
		b.wantedAt = now

		return min(count, others)
	case others > 0 && now.Sub(b.wantedAt) <= shortage:
		return count - min(count, others) // kept for the others
	}

	return count
}

// count notes how many tokens the requests of a rank got.
func (b *bucket) count(now time.Time, rank int, given uint32) {
	switch {
	case now.Sub(b.shortAt) > shortage:
		b.urgent = 0
	case rank <= b.shortRank:
		b.urgent += given
	default:
		b.urgent -= min(b.urgent, given*leastShare)
	}
}

// short notes that a request of a rank got no token.
func (b *bucket) short(now time.Time, rank int) {
	if now.Sub(b.shortAt) > shortage || rank <= b.shortRank {
		b.shortRank, b.shortAt = rank, now
	}
}

// others returns how many requests of up to a rank wait at other holders.
func (b *bucket) others(now time.Time, holder string, rank int) float64 {
	count := 0.0
	for name, w := range b.waiting {
		if now.Sub(w.at) > waitingFresh || w.count == 0 {
			delete(b.waiting, name)
		} else if name != holder && w.rank <= rank {
			count += float64(w.count)
		}
	}

	return count
}
