package novelty

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a log that is flooded by a problem that repeats, or by ever new ones.
func TestRepeatedAndEndlessKeys(t *testing.T) {
	t.Parallel()
	const capacity = 10
	s, now := New(capacity, time.Hour), time.Unix(1_000_000, 0)
	fresh := 0
	for i := range 1000 {
		for range 2 {
			if s.IsNew(fmt.Sprint(i), now.Add(time.Duration(i)*time.Second)) {
				fresh++
			}
		}
	}
	if fresh != capacity {
		t.Errorf("got %d keys of 1000 as new, want %d", fresh, capacity)
	}
	if later := now.Add(time.Hour); !s.IsNew("0", later) || s.IsNew("0", later) {
		t.Error("got a key not once as new after the retention, want once")
	}
}
