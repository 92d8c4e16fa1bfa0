package pace

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more requests in some window than the rate and a second's worth of burst
// allow, and against requests that wait longer than they were told.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		bucket, now := New(rate, start), start
		var taken []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "wait as told") {
				now = now.Add(bucket.Wait(0, now))
				if !bucket.Take(now) {
					t.Fatalf("got no token after the wait, at %v", now.Sub(start))
				}
			} else {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
				if !bucket.Take(now) {
					continue
				}
			}
			taken = append(taken, now)
		}
		effective := max(rate, minRate)
		for i, from := range taken {
			for j := i; j < len(taken); j++ {
				most := effective*taken[j].Sub(from).Seconds() + max(1, effective*burstTime.Seconds()) + 0.01
				if got := float64(j - i + 1); got > most {
					t.Fatalf("got %g requests in %v at rate %g, want at most %g", got, taken[j].Sub(from), rate, most)
				}
			}
		}
	})
}

// Guards against tokens saved at a high rate that are used after it was lowered, and against
// a lower rate that stays in force after it was raised.
func TestSetRate(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_800_000_000, 0)
	bucket := New(10, now)
	now = now.Add(time.Minute)
	bucket.SetRate(1, now)
	count := 0
	for bucket.Take(now) {
		count++
	}
	if count != 1 {
		t.Errorf("got %d requests at once after the rate fell to 1 a second, want 1", count)
	}
	if got := bucket.Wait(2, now); got < 3*time.Second || got > 3*time.Second+time.Millisecond {
		t.Errorf("got a wait of %v behind 2 others, want 3s", got)
	}
	bucket.SetRate(10, now)
	if got := bucket.Wait(0, now); got > 100*time.Millisecond+time.Millisecond {
		t.Errorf("got a wait of %v after the rate rose, want 100ms", got)
	}
}
