package server

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// gcHeadroom is the number of bytes that may be allocated between two
	// garbage collections. It comes on top of the 32 MB that the control plane
	// may use. The runtime's default collected 5 to 10 times a second at 4,200
	// requests per second, and each collection took processor time from
	// requests. A headroom of 32 MB did not improve p99 latency and used 30 MB
	// more system memory.
	gcHeadroom = 16 << 20
	// minGCPercent is the runtime's default GOGC value, used once the live heap
	// exceeds the headroom. No memory limit (GOMEMLIMIT) is set, because under a
	// burst of large answers it would cause continuous collections while the
	// daemon is busiest.
	minGCPercent = 100
	// maxGCPercent makes the first collection start at the headroom: the runtime's
	// initial heap goal is 4 MB at 100 percent and scales with the percentage.
	maxGCPercent = 100 * gcHeadroom / (4 << 20)
	// gcTuneInterval is how often GOGC is adjusted to the live heap.
	gcTuneInterval = time.Second
)

// tuneGC adjusts GOGC until ctx ends, so that about gcHeadroom bytes are
// allocated between two collections. It does nothing if the environment variable
// GOGC is set.
func tuneGC(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}

	ticker := time.NewTicker(gcTuneInterval)
	defer ticker.Stop()

	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	current := 0

	for {
		metrics.Read(sample)

		// SetGCPercent stops all goroutines for a moment, so changes of less than
		// 10 percent are skipped.
		if wanted := gcPercent(sample[0].Value.Uint64()); wanted < current*9/10 || wanted > current*11/10 {
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

// gcPercent returns the GOGC value for a live heap of the given size in bytes: the
// growth in percent after which the next collection starts.
func gcPercent(live uint64) int {
	return int(min(max(100*gcHeadroom/max(live, 1), minGCPercent), maxGCPercent))
}
