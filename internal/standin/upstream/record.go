package upstream

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// maxRecorded bounds the request IDs and, separately, the values kept. A run
// of the demo stays far below it; a test can tell from Forgotten.
const maxRecorded = 500_000

// Record is what a stand-in has seen and done since its start.
type Record struct {
	// Runs is how often each request ID was run.
	Runs map[string]int
	// Values lists each distinct value of a header, trailer, cookie or query
	// parameter that arrived, and each distinct path.
	Values []string
	// Arrived counts all requests, Shed those that did not run.
	Arrived, Shed int
	// Completed, Cancelled and Expired count how the others ended.
	Completed, Cancelled, Expired int
	// MostConcurrent is the highest number of requests that ran at once.
	MostConcurrent int
	// ArrivedDraining counts requests that arrived in the last drain, the
	// latest LastDrainingMilliseconds after its begin.
	ArrivedDraining          int
	LastDrainingMilliseconds int64
	// Forgotten counts the IDs and values for which there was no room.
	Forgotten int
}

type record struct {
	mu      sync.Mutex
	data    Record
	runs    map[string]int
	values  map[string]struct{}
	drainAt time.Time
}

// Record returns a copy of what was recorded.
func (u *Upstream) Record() Record {
	r := &u.record
	r.mu.Lock()
	defer r.mu.Unlock()
	data := r.data
	data.Runs = maps.Clone(r.runs)
	data.Values = slices.Sorted(maps.Keys(r.values))

	return data
}

func (r *record) saw(request *http.Request, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data.Arrived++
	if !r.drainAt.IsZero() {
		r.data.ArrivedDraining++
		r.data.LastDrainingMilliseconds = now.Sub(r.drainAt).Milliseconds()
	}
	r.value(request.URL.Path)
	r.value(request.Host)
	for _, fields := range []map[string][]string{request.Header, request.Trailer, request.URL.Query()} {
		for _, values := range fields {
			for _, value := range values {
				r.value(value)
			}
		}
	}
	for _, cookie := range request.Cookies() {
		r.value(cookie.Value)
	}
}

func (r *record) value(value string) {
	if r.values == nil {
		r.values = map[string]struct{}{}
	}
	if _, found := r.values[value]; !found && len(r.values) >= maxRecorded {
		r.data.Forgotten++

		return
	}
	r.values[value] = struct{}{}
}

func (r *record) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	if _, found := r.runs[id]; !found && len(r.runs) >= maxRecorded {
		r.data.Forgotten++

		return
	}
	r.runs[id]++
}

func (r *record) shed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data.Shed++
}

func (r *record) concurrent(inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data.MostConcurrent = max(r.data.MostConcurrent, inFlight)
}

func (r *record) drain(begins bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !begins {
		r.drainAt = time.Time{}

		return
	}
	r.drainAt = now
	r.data.ArrivedDraining, r.data.LastDrainingMilliseconds = 0, 0
}

func (r *record) ended(end ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch end {
	case completed:
		r.data.Completed++
	case cancelled:
		r.data.Cancelled++
	case expired:
		r.data.Expired++
	}
}
