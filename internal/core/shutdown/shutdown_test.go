package shutdown

import (
	"testing"
	"time"
)

// Guards against requests that a stopping daemon takes although it cuts them off before their
// time is over, and against ones that it refuses although they can end.
func TestRequestTakenWithTooLittleTime(t *testing.T) {
	t.Parallel()
	began := time.Unix(1_000_000, 0)
	plan := Plan{DrainUntil: began.Add(2 * time.Second), CutAt: began.Add(5600 * time.Millisecond)}
	for _, tt := range []struct {
		at, left, usual time.Duration
		want            bool
	}{
		{0, 3 * time.Second, 0, true},
		{2600 * time.Millisecond, 3 * time.Second, 0, true},
		{2601 * time.Millisecond, 3 * time.Second, 0, false},
		{3200 * time.Millisecond, 3 * time.Second, 100 * time.Millisecond, false},
		{5 * time.Second, 600 * time.Millisecond, 0, true},
		{5600 * time.Millisecond, 0, 0, true},
		{5601 * time.Millisecond, time.Millisecond, 0, false},
		{time.Second, time.Minute, 0, false},
		{time.Second, time.Minute, 500 * time.Millisecond, true},
		{time.Second, time.Minute, 1200 * time.Millisecond, false},
		{1999 * time.Millisecond, time.Minute, 500 * time.Millisecond, true},
		{2 * time.Second, time.Minute, 500 * time.Millisecond, false},
	} {
		now := began.Add(tt.at)
		if got := plan.Takes(now, now.Add(tt.left), tt.usual); got != tt.want {
			t.Errorf("%v after the start, %v left, usually %v: got %v, want %v", tt.at, tt.left, tt.usual, got, tt.want)
		}
	}
}
