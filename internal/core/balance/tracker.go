package balance

import (
	"math"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// latencyDecay is the time constant of the average latency: a latency that is older by
	// this time has a weight of 1/e.
	latencyDecay = 2 * time.Second
	// loadLifetime is how long the load reported by an answer is used. After that only
	// the ingress's own requests in flight count.
	loadLifetime = time.Second
	// suspicionLifetime is how long an upstream counts as suspect after an answer reported
	// it as suspect.
	suspicionLifetime = 2 * time.Second
	// pathBackoff is how long the path to an egress is avoided after it did not respond.
	// The time doubles with each further failure, up to maxPathBackoff.
	pathBackoff    = 500 * time.Millisecond
	maxPathBackoff = 15 * time.Second
)

// upstreamStats holds what the ingress has recorded about one upstream.
type upstreamStats struct {
	// inFlight counts the attempts that this ingress has started and not ended.
	inFlight int
	// load is the load reported by the last answer, received at loadAt.
	load   fleet.Load
	loadAt time.Time
	// latency is a moving average in seconds that follows peaks at once (peak EWMA). It
	// was last updated at latencyAt, which is zero before the first answer.
	latency   float64
	latencyAt time.Time
	// pathFailures counts the attempts in a row to which the egress did not respond.
	pathFailures int
	// avoidUntil is when the path to the egress may be used normally again.
	avoidUntil time.Time
}

// Tracker records load, latency and path failures of upstreams as one ingress sees
// them, and chooses upstreams by these. It is not safe for concurrent use.
type Tracker struct {
	upstreams map[string]*upstreamStats
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{upstreams: make(map[string]*upstreamStats)}
}

// Started records that an attempt was sent to the upstream and is in flight.
func (t *Tracker) Started(upstream string) {
	t.stats(upstream).inFlight++
}

// Cancelled ends an attempt that the ingress cancelled, such as the slower one of a hedged
// pair. The parameter elapsed is the time from the start of the attempt to its
// cancellation. The latency of the attempt would have been longer, so elapsed is recorded
// as a latency if it is above the average. Otherwise hedges would hide a slow upstream.
func (t *Tracker) Cancelled(upstream string, elapsed time.Duration, now time.Time) {
	s := t.stats(upstream)
	s.inFlight = max(0, s.inFlight-1)

	if s.latencyAt.IsZero() || elapsed.Seconds() > s.latency {
		s.observeLatency(elapsed, now)
	}
}

// Finished ends an attempt to which the egress responded. A latency of 0 means that
// there was no answer from the upstream; it leaves the average unchanged. A load with 0
// slots was not reported and is ignored.
func (t *Tracker) Finished(upstream string, load fleet.Load, latency time.Duration, now time.Time) {
	s := t.stats(upstream)
	s.inFlight = max(0, s.inFlight-1)
	s.pathFailures, s.avoidUntil = 0, time.Time{}

	if load.Slots > 0 {
		s.load, s.loadAt = load, now
	}

	if latency > 0 {
		s.observeLatency(latency, now)
	}
}

// observeLatency adds one latency to the moving average.
func (s *upstreamStats) observeLatency(latency time.Duration, now time.Time) {
	seconds := latency.Seconds()
	if s.latencyAt.IsZero() || seconds > s.latency {
		// A peak counts for half at once, so that an upstream that becomes slow loses
		// traffic with its first slow answer (peak EWMA).
		s.latency = (s.latency + seconds) / 2
		if s.latencyAt.IsZero() {
			s.latency = seconds
		}
	} else {
		weight := math.Exp(-now.Sub(s.latencyAt).Seconds() / latencyDecay.Seconds())
		s.latency = s.latency*weight + seconds*(1-weight)
	}

	s.latencyAt = now
}

// Unreachable ends an attempt to which the egress did not respond. The path is avoided
// for pathBackoff, doubled for each earlier failure in a row, up to maxPathBackoff.
func (t *Tracker) Unreachable(upstream string, now time.Time) {
	s := t.stats(upstream)
	s.inFlight = max(0, s.inFlight-1)

	backoff := min(pathBackoff<<min(s.pathFailures, 10), maxPathBackoff)
	s.pathFailures++
	s.avoidUntil = now.Add(backoff)
}

// AcceptTimedOut avoids the path to an egress that did not accept an attempt in time,
// like Unreachable, but leaves the attempt in flight.
func (t *Tracker) AcceptTimedOut(upstream string, now time.Time) {
	s := t.stats(upstream)
	s.inFlight++
	t.Unreachable(upstream, now)
}

// Load returns the load reported by the upstream's last answer and the time of that
// answer, or the zero time if there was none. Suspect is cleared in a load older than
// suspicionLifetime.
func (t *Tracker) Load(upstream string, now time.Time) (fleet.Load, time.Time) {
	s := t.upstreams[upstream]
	if s == nil {
		return fleet.Load{}, time.Time{}
	}

	load := s.load
	load.Suspect = s.suspect(now)

	return load, s.loadAt
}

// Retain removes the records of all upstreams for which keep reports false.
func (t *Tracker) Retain(keep func(upstream string) bool) {
	for name := range t.upstreams {
		if !keep(name) {
			delete(t.upstreams, name)
		}
	}
}

// stats returns the record of an upstream, which it creates if there is none.
func (t *Tracker) stats(upstream string) *upstreamStats {
	s := t.upstreams[upstream]
	if s == nil {
		s = &upstreamStats{}
		t.upstreams[upstream] = s
	}

	return s
}

// queueDepth returns the number of requests that run at the upstream or wait for one of
// its slots.
func (s *upstreamStats) queueDepth(now time.Time) int {
	if now.Sub(s.loadAt) > loadLifetime {
		return s.inFlight
	}

	// The reported load still counts the attempt whose answer reported it.
	return max(s.inFlight, s.load.InFlight+s.load.Queued-1)
}

// pathAvoided reports whether the path to the egress failed recently.
func (s *upstreamStats) pathAvoided(now time.Time) bool {
	return now.Before(s.avoidUntil)
}
