package overload

import (
	"slices"
	"sync"
	"time"
)

// ClassCounts counts the requests of a class by outcome. WithinTarget and Late are served
// requests, within and after the class's target latency.
type ClassCounts struct {
	Sent, WithinTarget, Late, Refused, Failed int
	// RefusalTime is the sum of the latencies of refused requests.
	RefusalTime time.Duration
}

// ServedShare returns the share, 0 to 1, of requests that were answered successfully.
func (o ClassCounts) ServedShare() float64 {
	return float64(o.WithinTarget+o.Late) / float64(max(o.Sent, 1))
}

// Result holds the measurements of a run.
type Result struct {
	Classes map[string]ClassCounts
	// CrossZoneBytes is the estimated number of bytes sent between zones, in both directions.
	CrossZoneBytes int
	// Attempts counts the attempts that reached an upstream, and EgressRefusals the
	// attempts for which an egress returned no answer of an upstream.
	Attempts, EgressRefusals int
	// Reasons counts the requests that were not served, by class and reason.
	Reasons map[string]int
	// Repeats counts the attempts that reached an upstream after an earlier attempt of
	// the same request had done so.
	Repeats int
}

// EarnedShare returns the value of served requests as a share, 0 to 1, of the value that
// the same requests would have had if all had been served within their target latency.
func (r Result) EarnedShare(classes []Class) float64 {
	earned, possible := 0.0, 0.0
	for _, c := range classes {
		o := r.Classes[c.Name]
		if c.Value == 0 {
			continue
		}
		possible += c.Value * float64(o.Sent)
		earned += c.Value*float64(o.WithinTarget) + c.LateValue*float64(o.Late)
	}

	return earned / max(possible, 1)
}

// Add returns the sum of two results and changes neither.
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
			before := sum.Classes[name]
			sum.Classes[name] = ClassCounts{
				Sent: before.Sent + o.Sent, WithinTarget: before.WithinTarget + o.WithinTarget, Late: before.Late + o.Late,
				Refused: before.Refused + o.Refused, Failed: before.Failed + o.Failed, RefusalTime: before.RefusalTime + o.RefusalTime,
			}
		}
	}

	return sum
}

// ClassNames returns the names of the classes in alphabetical order.
func (r Result) ClassNames() []string {
	names := make([]string, 0, len(r.Classes))
	for name := range r.Classes {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// recorder collects a result while requests are running. It is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	result Result
	// attempts counts the attempts that reached an upstream, by request ID.
	attempts map[string]int
}

func newRecorder() *recorder {
	return &recorder{result: Result{Classes: map[string]ClassCounts{}, Reasons: map[string]int{}}, attempts: map[string]int{}}
}

func (r *recorder) update(class string, change func(*ClassCounts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.result.Classes[class]
	change(&o)
	r.result.Classes[class] = o
}

// countReason counts the reason for which a request was not served.
func (r *recorder) countReason(class, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Reasons[class+" "+reason]++
}

// countAttempt counts an attempt that reached an upstream, by its request's ID.
func (r *recorder) countAttempt(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Attempts++
	if r.attempts[id]++; r.attempts[id] > 1 {
		r.result.Repeats++
	}
}

func (r *recorder) countEgressRefusal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.EgressRefusals++
}

func (r *recorder) addCrossZoneBytes(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.CrossZoneBytes += bytes
}
