package upstream

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// maxRecorded bounds the number of request IDs and, separately, of values that are
// recorded. A run of the demo stays far below it; a test can detect an exceeded bound
// by Record.Forgotten.
const maxRecorded = 500_000

// Record holds what a stand-in has received and run since its start.
type Record struct {
	// Runs is the number of times that each request ID was run.
	Runs map[string]int
	// Values lists each distinct value of a header, trailer, cookie or query parameter
	// that was received, and each distinct path and host.
	Values []string
	// Arrived counts all requests. Shed counts the requests that were refused and did
	// not run.
	Arrived, Shed int
	// Completed counts the requests that ran to the end. Cancelled counts those whose
	// connection was closed before the end, and Expired those whose deadline passed
	// before the end.
	Completed, Cancelled, Expired int
	// MostConcurrent is the largest number of requests that ran at the same time.
	MostConcurrent int
	// ArrivedDraining counts the requests that arrived while the stand-in drained, in
	// the latest drain only. The last of them arrived LastDrainingMilliseconds after
	// the drain began.
	ArrivedDraining          int
	LastDrainingMilliseconds int64
	// Forgotten counts the IDs and values that were not recorded because of maxRecorded.
	Forgotten int
}

// recorder collects a Record. It is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	record Record
	// runs and values become Runs and Values of the record when it is read.
	runs   map[string]int
	values map[string]struct{}
	// drainStartedAt is zero unless the stand-in is draining.
	drainStartedAt time.Time
}

// Record returns a copy of the record.
func (u *Upstream) Record() Record {
	r := &u.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.Runs = maps.Clone(r.runs)
	record.Values = slices.Sorted(maps.Keys(r.values))

	return record
}

// recordArrival counts a request and records the values that it carries.
func (r *recorder) recordArrival(request *http.Request, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Arrived++
	if !r.drainStartedAt.IsZero() {
		r.record.ArrivedDraining++
		r.record.LastDrainingMilliseconds = now.Sub(r.drainStartedAt).Milliseconds()
	}
	r.recordValue(request.URL.Path)
	r.recordValue(request.Host)
	for _, fields := range []map[string][]string{request.Header, request.Trailer, request.URL.Query()} {
		for _, values := range fields {
			for _, value := range values {
				r.recordValue(value)
			}
		}
	}
	for _, cookie := range request.Cookies() {
		r.recordValue(cookie.Value)
	}
}

// recordValue records a value unless maxRecorded are recorded. The caller holds the lock.
func (r *recorder) recordValue(value string) {
	if r.values == nil {
		r.values = map[string]struct{}{}
	}
	if _, found := r.values[value]; !found && len(r.values) >= maxRecorded {
		r.record.Forgotten++

		return
	}
	r.values[value] = struct{}{}
}

// recordRun counts a run of the request with the given ID, unless the ID is new and
// maxRecorded IDs are recorded.
func (r *recorder) recordRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	if _, found := r.runs[id]; !found && len(r.runs) >= maxRecorded {
		r.record.Forgotten++

		return
	}
	r.runs[id]++
}

func (r *recorder) recordShed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Shed++
}

// recordConcurrency updates the largest number of requests that ran at the same time.
func (r *recorder) recordConcurrency(inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.MostConcurrent = max(r.record.MostConcurrent, inFlight)
}

// recordDrain records the begin or the end of a drain. The begin of a drain resets
// ArrivedDraining and LastDrainingMilliseconds.
func (r *recorder) recordDrain(begins bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !begins {
		r.drainStartedAt = time.Time{}

		return
	}
	r.drainStartedAt = now
	r.record.ArrivedDraining, r.record.LastDrainingMilliseconds = 0, 0
}

func (r *recorder) recordEnd(result workResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result {
	case completed:
		r.record.Completed++
	case cancelled:
		r.record.Cancelled++
	case expired:
		r.record.Expired++
	}
}
