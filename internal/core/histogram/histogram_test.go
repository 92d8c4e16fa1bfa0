package histogram_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/histogram"
)

// TestHistogram guards against durations that are counted in the wrong bucket or not at
// all, and against metrics that are not valid JSON.
func TestHistogram(t *testing.T) {
	var h histogram.Histogram

	for _, d := range []time.Duration{
		-time.Second, 0, 250 * time.Microsecond, 251 * time.Microsecond, time.Millisecond, 3 * time.Second, time.Hour,
	} {
		h.Add(d)
	}

	var got struct {
		Count  int64
		Sum    float64
		AtMost map[string]int64
	}

	if err := json.Unmarshal([]byte(h.String()), &got); err != nil {
		t.Fatalf("got %v for %s, want JSON", err, h.String())
	}

	if got.Count != 7 {
		t.Errorf("got a count of %d, want 7", got.Count)
	}

	if want := 3603.001501; got.Sum < want-1e-9 || got.Sum > want+1e-9 {
		t.Errorf("got a sum of %v, want %v", got.Sum, want)
	}

	for bound, want := range map[string]int64{"0.00025": 3, "0.0005": 4, "0.001": 5, "2.048": 5, "4.096": 6, "65.536": 6} {
		if got := got.AtMost[bound]; got != want {
			t.Errorf("at most %s s: got %d, want %d", bound, got, want)
		}
	}
}
