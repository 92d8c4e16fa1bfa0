package suspicion

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// observe feeds one result per gap: "." for a success, "x" for a failure.
func observe(f *Filter, results string, gap time.Duration) time.Time {
	now := epoch
	for _, r := range results {
		now = now.Add(gap)
		f.Observe(r == 'x', now)
	}

	return now
}

// Guards against an upstream that fails and stays trusted, one that is mistrusted
// for single failures of a service that often fails, and one that never recovers.
func TestSuspect(t *testing.T) {
	t.Parallel()
	healthy := strings.Repeat(".", 50)
	for name, tt := range map[string]struct {
		results string
		gap     time.Duration
		after   time.Duration
		want    bool
	}{
		"always well":                      {healthy, 100 * time.Millisecond, 0, false},
		"unknown":                          {"", 0, 0, false},
		"one failure of many requests":     {healthy + "x", 100 * time.Millisecond, 0, false},
		"one failure of few requests":      {healthy + "x", time.Second, 0, true},
		"two failures in a row":            {healthy + "xx", 100 * time.Millisecond, 0, true},
		"failure of a new upstream":        {"x", 100 * time.Millisecond, 0, true},
		"one success after failures":       {healthy + "xxx.", 100 * time.Millisecond, 0, true},
		"many successes after failures":    {healthy + "xxx" + strings.Repeat(".", 8), 100 * time.Millisecond, 0, false},
		"failures of old":                  {healthy + "xxx", 100 * time.Millisecond, time.Minute, false},
		"failures are common here":         {strings.Repeat("....x", 200) + ".........x", 100 * time.Millisecond, 0, false},
		"failures are common, more so now": {strings.Repeat("....x", 200) + ".........xxxx", 100 * time.Millisecond, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := New(epoch)
			now := observe(f, tt.results, tt.gap).Add(tt.after)
			if got := f.FailureProbability(now) >= ThresholdProbability(DefaultThreshold); got != tt.want {
				t.Errorf("got suspect %v at %.3f, want %v from %.3f", got, f.FailureProbability(now), tt.want, ThresholdProbability(DefaultThreshold))
			}
		})
	}
}

// Guards against probabilities outside of 0 to 1, a failure that lowers the
// suspicion, a success that raises it, and a clock that goes back.
func TestFilterBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f, now := New(epoch), epoch
		for range rapid.IntRange(1, 100).Draw(t, "results") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "gap")))
			before := f.FailureProbability(now)
			failed := rapid.Bool().Draw(t, "failed")
			f.Observe(failed, now)
			after := f.FailureProbability(now)
			switch {
			case after < 0 || after > 1:
				t.Fatalf("got probability %v", after)
			case failed && after < before, !failed && after > before:
				t.Fatalf("got %v after %v for failed %v", after, before, failed)
			}
		}
	})
}
