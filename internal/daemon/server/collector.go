package server

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// collectionHeadroom is what may be allocated between two garbage
	// collections, beside the 32 MB that the control plane may take. The
	// runtime's default collected 5 to 10 times a second at 4,200 requests per
	// second, each time taking processors from requests. 32 MB were no better
	// at p99 and took 30 MB more from the system.
	collectionHeadroom = 16 << 20
	// leastPercent is the runtime's default, used once the live heap exceeds
	// the headroom. There is no memory limit: a burst of large answers would
	// then be collected all the time, exactly when there is the most to do.
	leastPercent = 100
	// mostPercent keeps the first collection at the headroom, because the
	// runtime begins with a goal of 4 MB at 100 percent.
	mostPercent = 100 * collectionHeadroom / (4 << 20)
	// collectionInterval is how often the setting follows the live heap.
	collectionInterval = time.Second
)

// tuneCollection keeps the distance between collections at the headroom until
// ctx ends, unless the environment says otherwise.
func tuneCollection(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}

	ticker := time.NewTicker(collectionInterval)
	defer ticker.Stop()

	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	current := 0

	for {
		metrics.Read(sample)

		// Setting the percentage stops the process for a moment, so small
		// changes are left alone.
		if wanted := collectionPercent(sample[0].Value.Uint64()); wanted < current*9/10 || wanted > current*11/10 {
			current = wanted
			debug.SetGCPercent(current)
		}

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// collectionPercent returns the growth over the live heap, in percent, after
// which the next collection is due.
func collectionPercent(live uint64) int {
	return int(min(max(100*collectionHeadroom/max(live, 1), leastPercent), mostPercent))
}
