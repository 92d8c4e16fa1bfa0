package platform

import (
	"context"
	"time"
)

// Faults are the faults that a Store injects into its calls. The zero value injects none.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool
	// Latency delays the start of every call. A put whose caller gives up
	// during the delay still takes effect when the delay ends.
	Latency time.Duration
	// LoseAnswers makes writes take effect without an answer. A value of at least
	// 1 is the number of subsequent writes that lose their answer; a value below 1
	// is the fraction of writes that do.
	LoseAnswers float64
}

// CallCounts counts the calls since the store was created. A watch counts as one
// call however long it waits. Put includes deletes.
type CallCounts struct {
	Get, Put, List, Watch uint64
	// BytesWritten and BytesRead count the bytes of objects' values only.
	BytesWritten, BytesRead uint64
}

// SetFaults replaces the faults. Waiting watches wake up and apply the new ones.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyWatchers()
}

// losesAnswer reports whether the answer to the current write is lost. If
// Faults.LoseAnswers is a number of writes, losesAnswer decrements it. The caller
// holds the lock.
func (s *Store) losesAnswer() bool {
	if s.faults.LoseAnswers >= 1 {
		s.faults.LoseAnswers--

		return true
	}

	return s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
}

// startCall counts a call and delays it by the injected latency. It returns false
// if the caller's context ended by then.
func (s *Store) startCall(ctx context.Context, count func(*CallCounts)) bool {
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
