// Package pace spaces the requests to an upstream that takes only so many a second. It is
// a token bucket (Turner, 1986) whose rate may change at any time.
package pace

import "time"

const (
	// minRate is the lowest rate, in requests a second. An upstream that names a lower
	// limit still gets a request from time to time, because only its answers can tell
	// that the limit has ended.
	minRate = 0.25
	// burstTime is the time of which requests may be made up for after a pause. A bucket
	// holds at least one token.
	burstTime = time.Second
)

// Bucket holds the tokens of one upstream. Each request takes one. It is not safe for
// concurrent use.
type Bucket struct {
	rate      float64
	tokens    float64
	updatedAt time.Time
}

// New returns an empty bucket that fills at a rate in requests a second.
func New(rate float64, now time.Time) *Bucket {
	return &Bucket{rate: max(rate, minRate), updatedAt: now}
}

// SetRate changes the rate, in requests a second, from now on.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.update(now)
	b.rate = max(rate, minRate)
	b.tokens = min(b.tokens, b.capacity())
}

// Take takes a token and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	b.update(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}

// Wait returns the time until a request gets a token if the given number of requests get
// one before it.
func (b *Bucket) Wait(ahead float64, now time.Time) time.Duration {
	b.update(now)
	missing := ahead + 1 - b.tokens
	if missing <= 0 {
		return 0
	}

	// Rounded up, so that a request that waited so long finds its token.
	return time.Duration(missing/b.rate*float64(time.Second)) + time.Microsecond
}

// capacity returns the greatest number of tokens.
func (b *Bucket) capacity() float64 { return max(1, b.rate*burstTime.Seconds()) }

// update adds the tokens for the time since the last update.
func (b *Bucket) update(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.rate, b.capacity())
		b.updatedAt = now
	}
}
