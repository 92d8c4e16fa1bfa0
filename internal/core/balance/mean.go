package balance

import (
	"math"
	"time"
)

const (
	// robustMeanMinSamples is the number of samples below which there is no value.
	robustMeanMinSamples = 5
	// robustMeanWindow is the number of samples that the moving mean covers: from then
	// on each new sample has a weight of 1/robustMeanWindow.
	robustMeanWindow = 40
	// robustMeanMaxStep bounds the distance of one sample from the mean, as a natural
	// logarithm, so that a few slow upstreams do not dominate the mean.
	robustMeanMaxStep = 0.7
)

// RobustMean is a moving geometric mean of durations that clamps outliers. A nil pointer
// is an empty mean whose Value is 0. It is not safe for concurrent use.
type RobustMean struct {
	// logMean is the mean of the natural logarithms of the durations in nanoseconds.
	logMean float64
	// count is the number of samples, at most robustMeanWindow.
	count int
}

// Add adds one duration. Values of 0 or less are ignored.
func (m *RobustMean) Add(d time.Duration) {
	if d <= 0 {
		return
	}

	logarithm := math.Log(float64(d))

	m.count = min(m.count+1, robustMeanWindow)
	if m.count == 1 {
		m.logMean = logarithm

		return
	}

	m.logMean += max(-robustMeanMaxStep, min(logarithm-m.logMean, robustMeanMaxStep)) / float64(m.count)
}

// Value returns the mean, or 0 while there are fewer than robustMeanMinSamples samples.
func (m *RobustMean) Value() time.Duration {
	if m == nil || m.count < robustMeanMinSamples {
		return 0
	}

	return time.Duration(math.Exp(m.logMean))
}
