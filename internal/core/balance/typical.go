package balance

import (
	"math"
	"time"
)

const (
	// typicalLeast is the number of samples below which there is no value.
	typicalLeast = 5
	// typicalMemory is how many samples the value remembers.
	typicalMemory = 40
	// typicalStep bounds how far one sample moves the value, as a logarithm, so
	// that slow upstreams do not become the norm.
	typicalStep = 0.7
)

// RobustMean is the geometric mean of recent durations, with outliers pulled in.
// The nil value has none. It is not safe for concurrent use.
type RobustMean struct {
	mean  float64
	count int
}

// Add takes one duration.
func (t *RobustMean) Add(d time.Duration) {
	if d <= 0 {
		return
	}

	x := math.Log(float64(d))

	t.count = min(t.count+1, typicalMemory)
	if t.count == 1 {
		t.mean = x

		return
	}

	t.mean += max(-typicalStep, min(x-t.mean, typicalStep)) / float64(t.count)
}

// Value returns the mean, or 0 while there are too few samples.
func (t *RobustMean) Value() time.Duration {
	if t == nil || t.count < typicalLeast {
		return 0
	}

	return time.Duration(math.Exp(t.mean))
}
