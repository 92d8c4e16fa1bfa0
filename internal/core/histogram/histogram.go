// Package histogram implements a histogram of durations for the metrics.
package histogram

import (
	"encoding/json"
	"math/bits"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// firstBound is the upper bound of the first bucket. Each further bound is twice the
	// previous one. The last bucket has no upper bound.
	firstBound = 250 * time.Microsecond
	// bucketCount is the number of buckets. Their bounds range from 0.25 ms to 65 s.
	bucketCount = 20
)

// Histogram counts durations in buckets whose bounds double. The zero value is empty.
// It is safe for concurrent use and implements expvar.Var.
type Histogram struct {
	counts [bucketCount]atomic.Int64
	// sum is the total of all durations in nanoseconds.
	sum atomic.Int64
}

// Add counts one duration. A negative one counts in the first bucket and adds 0 to the
// sum.
func (h *Histogram) Add(d time.Duration) {
	h.counts[bucketIndex(d)].Add(1)
	h.sum.Add(int64(max(d, 0)))
}

// bucketIndex returns the index of the first bucket whose upper bound is at least d.
func bucketIndex(d time.Duration) int {
	if d <= firstBound {
		return 0
	}

	return min(bits.Len64(uint64((d-1)/firstBound)), bucketCount-1)
}

// String returns the histogram as JSON. Count is the number of all durations and Sum their
// sum in seconds. AtMost maps each bound in seconds to the number of durations that do not
// exceed it.
func (h *Histogram) String() string {
	atMost, count := make(map[string]int64, bucketCount), int64(0)

	for i := range h.counts {
		count += h.counts[i].Load()

		if i < bucketCount-1 {
			bound := firstBound << i
			atMost[strconv.FormatFloat(bound.Seconds(), 'g', -1, 64)] = count
		}
	}

	text, err := json.Marshal(struct {
		Count  int64
		Sum    float64
		AtMost map[string]int64
	}{count, time.Duration(h.sum.Load()).Seconds(), atMost})
	if err != nil {
		panic("histogram: encode counts: " + err.Error())
	}

	return string(text)
}
