package platform

import (
	"context"
	"time"
)

// Faults are what is wrong with the store at present.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool
	// Latency delays the start of every call. A write whose caller gave up
	// during the delay still takes effect at its end.
	Latency time.Duration
	// LoseAnswers, if at least 1, is the number of next writes whose answer is
	// lost after they took effect. Below 1, it is the fraction of writes.
	LoseAnswers float64
}

// CallCounts counts the calls since the start. A waiting watch counts as one.
type CallCounts struct {
	Get, Put, List, Watch uint64
	// BytesWritten and BytesRead are the values' bytes.
	BytesWritten, BytesRead uint64
}

// SetFaults replaces the present faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.announce()
}

func (s *Store) lose() bool {
	if s.faults.LoseAnswers >= 1 {
		s.faults.LoseAnswers--

		return true
	}

	return s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
}

// begin counts a call and waits for the present latency. It reports whether
// the caller still waits.
func (s *Store) begin(ctx context.Context, count func(*CallCounts)) bool {
	s.mu.Lock()
	count(&s.calls)
	latency := s.faults.Latency
	s.mu.Unlock()
	if latency <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(latency):
		return true
	case <-ctx.Done():
		return false
	}
}
