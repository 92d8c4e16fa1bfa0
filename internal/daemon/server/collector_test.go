package server

import "testing"

// TestCollectionPercent guards against collections that follow each other
// without a pause, and against a heap that grows without bound before one.
func TestCollectionPercent(t *testing.T) {
	t.Parallel()

	for _, tt := range []struct {
		live uint64
		want int
	}{
		{0, mostPercent},
		{4 << 20, mostPercent},
		{collectionHeadroom / 2, 200},
		{collectionHeadroom, leastPercent},
		{1 << 30, leastPercent},
	} {
		if got := collectionPercent(tt.live); got != tt.want {
			t.Errorf("live heap of %d bytes: got %d%%, want %d%%", tt.live, got, tt.want)
		}
	}
}
