package server

import "testing"

// TestGCPercent guards against GOGC values that cause back-to-back collections, and
// against values that let the heap grow without bound between two collections.
func TestGCPercent(t *testing.T) {
	t.Parallel()

	for _, tt := range []struct {
		live uint64
		want int
	}{
		{0, maxGCPercent},
		{4 << 20, maxGCPercent},
		{gcHeadroom / 2, 200},
		{gcHeadroom, minGCPercent},
		{1 << 30, minGCPercent},
	} {
		if got := gcPercent(tt.live); got != tt.want {
			t.Errorf("live heap of %d bytes: got %d%%, want %d%%", tt.live, got, tt.want)
		}
	}
}
