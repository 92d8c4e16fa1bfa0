package balance

import (
	"math"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// latencyDecay is the time after which an old latency weighs 1/e.
	latencyDecay = 2 * time.Second
	// loadLifetime is how long a load carried on an answer is believed; later
	// only the ingress's own requests in flight count.
	loadLifetime = time.Second
	// suspicionLifetime is how long it is believed that an upstream is suspect.
	suspicionLifetime = 2 * time.Second
	// pathBackoff is the first pause after an egress was not reached. It
	// doubles up to maxPathBackoff.
	pathBackoff    = 500 * time.Millisecond
	maxPathBackoff = 15 * time.Second
)

// stats is what the ingress has seen of one upstream.
type stats struct {
	inFlight int
	load     fleet.Load
	loadAt   time.Time
	// latency is a peak-sensitive moving average in seconds.
	latency    float64
	latencyAt  time.Time
	pathErrors int
	avoidUntil time.Time
}

// Tracker keeps what an ingress has seen of upstreams. It is not safe for
// concurrent use.
type Tracker struct {
	upstreams map[string]*stats
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{upstreams: make(map[string]*stats)}
}

// Started counts an attempt as in flight.
func (t *Tracker) Started(upstream string) {
	t.of(upstream).inFlight++
}

// Cancelled ends an attempt that was cancelled after some time, as the loser of
// a hedge is. It took longer than that, which counts if it is above the average;
// otherwise hedges would hide a slow upstream.
func (t *Tracker) Cancelled(upstream string, elapsed time.Duration, now time.Time) {
	s := t.of(upstream)
	s.inFlight = max(0, s.inFlight-1)

	if s.latencyAt.IsZero() || elapsed.Seconds() > s.latency {
		s.observe(elapsed, now)
	}
}

// Finished ends an attempt that got a response from the egress. A response
// without an answer has latency 0 and leaves the average alone.
func (t *Tracker) Finished(upstream string, load fleet.Load, latency time.Duration, now time.Time) {
	s := t.of(upstream)
	s.inFlight = max(0, s.inFlight-1)
	s.pathErrors, s.avoidUntil = 0, time.Time{}

	if load.Slots > 0 {
		s.load, s.loadAt = load, now
	}

	if latency > 0 {
		s.observe(latency, now)
	}
}

func (s *stats) observe(latency time.Duration, now time.Time) {
	seconds := latency.Seconds()
	if s.latencyAt.IsZero() || seconds > s.latency {
		// Peaks count at once, so that a slowing upstream loses traffic
		// with its first slow answer (peak EWMA).
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

// Unreachable ends an attempt whose egress did not respond, and avoids the path
// for a while that doubles with each failure in a row.
func (t *Tracker) Unreachable(upstream string, now time.Time) {
	s := t.of(upstream)
	s.inFlight = max(0, s.inFlight-1)

	pause := min(pathBackoff<<min(s.pathErrors, 10), maxPathBackoff)
	s.pathErrors++
	s.avoidUntil = now.Add(pause)
}

// AcceptTimedOut avoids the path of an attempt that its egress did not accept in time,
// and that is still in flight.
func (t *Tracker) AcceptTimedOut(upstream string, now time.Time) {
	s := t.of(upstream)
	s.inFlight++
	t.Unreachable(upstream, now)
}

// Load returns the load that the upstream's last answer carried and when that was,
// or the zero time. A suspicion of old is not returned.
func (t *Tracker) Load(upstream string, now time.Time) (fleet.Load, time.Time) {
	s := t.upstreams[upstream]
	if s == nil {
		return fleet.Load{}, time.Time{}
	}

	load := s.load
	load.Suspect = s.suspect(now)

	return load, s.loadAt
}

// Retain drops upstreams for which keep reports false.
func (t *Tracker) Retain(keep func(upstream string) bool) {
	for name := range t.upstreams {
		if !keep(name) {
			delete(t.upstreams, name)
		}
	}
}

func (t *Tracker) of(upstream string) *stats {
	s := t.upstreams[upstream]
	if s == nil {
		s = &stats{}
		t.upstreams[upstream] = s
	}

	return s
}

// depth is the number of requests before or in the upstream's slots.
func (s *stats) depth(now time.Time) int {
	if now.Sub(s.loadAt) > loadLifetime {
		return s.inFlight
	}

	// The load was taken while the answered attempt was still counted.
	return max(s.inFlight, s.load.InFlight+s.load.Queued-1)
}

func (s *stats) avoided(now time.Time) bool {
	return now.Before(s.avoidUntil)
}
