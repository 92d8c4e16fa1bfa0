package overload

import (
	"slices"
	"sync"
	"time"
)

// ClassCounts is what became of the requests of a class.
type ClassCounts struct {
	Sent, WithinTarget, Late, Refused, Failed int
	// RefusalTime is the sum of the times that refused requests were held.
	RefusalTime time.Duration
}

// ServedShare returns the part of the requests that were answered with success.
func (o ClassCounts) ServedShare() float64 {
	return float64(o.WithinTarget+o.Late) / float64(max(o.Sent, 1))
}

// Result is what became of a run.
type Result struct {
	Classes map[string]ClassCounts
	// CrossZoneBytes is what passed between zones.
	CrossZoneBytes int
	// Attempts counts those that reached an upstream, and EgressRefusals those that an
	// egress refused.
	Attempts, EgressRefusals int
	// Reasons counts why requests were not served, by class.
	Reasons map[string]int
	// Repeats counts the attempts beyond the first of a request at upstreams.
	Repeats int
}

// EarnedShare returns the part of the worth of all requests that was earned.
func (r Result) EarnedShare(classes []Class) float64 {
	earned, owed := 0.0, 0.0
	for _, c := range classes {
		o := r.Classes[c.Name]
		if c.Value == 0 {
			continue
		}
		owed += c.Value * float64(o.Sent)
		earned += c.Value*float64(o.WithinTarget) + c.LateValue*float64(o.Late)
	}

	return earned / max(owed, 1)
}

// Add returns the sum of two results.
func (r Result) Add(other Result) Result {
	sum := Result{
		Classes: map[string]ClassCounts{}, Reasons: map[string]int{}, CrossZoneBytes: r.CrossZoneBytes + other.CrossZoneBytes, Attempts: r.Attempts + other.Attempts,
		EgressRefusals: r.EgressRefusals + other.EgressRefusals, Repeats: r.Repeats + other.Repeats,
	}
	for _, part := range []map[string]int{r.Reasons, other.Reasons} {
		for reason, count := range part {
			sum.Reasons[reason] += count
		}
	}
	for _, part := range []map[string]ClassCounts{r.Classes, other.Classes} {
		for name, o := range part {
			had := sum.Classes[name]
			sum.Classes[name] = ClassCounts{
				Sent: had.Sent + o.Sent, WithinTarget: had.WithinTarget + o.WithinTarget, Late: had.Late + o.Late,
				Refused: had.Refused + o.Refused, Failed: had.Failed + o.Failed, RefusalTime: had.RefusalTime + o.RefusalTime,
			}
		}
	}

	return sum
}

// ClassNames returns the names of the classes in order.
func (r Result) ClassNames() []string {
	names := make([]string, 0, len(r.Classes))
	for name := range r.Classes {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// record collects a result while requests are running.
type record struct {
	mu     sync.Mutex
	result Result
	runs   map[string]int
}

func newRecord() *record {
	return &record{result: Result{Classes: map[string]ClassCounts{}, Reasons: map[string]int{}}, runs: map[string]int{}}
}

func (r *record) note(class string, change func(*ClassCounts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.result.Classes[class]
	change(&o)
	r.result.Classes[class] = o
}

// reason counts why a request was not served.
func (r *record) reason(class, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Reasons[class+" "+reason]++
}

// ran counts a request that reached an upstream.
func (r *record) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Attempts++
	if r.runs[id]++; r.runs[id] > 1 {
		r.result.Repeats++
	}
}

func (r *record) visit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.EgressRefusals++
}

func (r *record) cross(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.CrossZoneBytes += bytes
}
