// Package novelty decides which problems are logged, so that one that repeats does not fill
// the log.
package novelty

import "time"

// Set remembers keys for a time. It is not safe for concurrent use.
type Set struct {
	capacity  int
	retention time.Duration
	since     time.Time
	keys      map[string]struct{}
}

// New returns an empty set that remembers up to capacity keys. It forgets all of them when
// the first is older than the retention.
func New(capacity int, retention time.Duration) *Set {
	return &Set{capacity: capacity, retention: retention, keys: map[string]struct{}{}}
}

// IsNew reports whether a key is not remembered, and remembers it. While the set is full, no
// key counts as new.
func (s *Set) IsNew(key string, now time.Time) bool {
	if now.Sub(s.since) >= s.retention {
		clear(s.keys)
		s.since = now
	}
	if _, known := s.keys[key]; known || len(s.keys) >= s.capacity {
		return false
	}
	s.keys[key] = struct{}{}

	return true
}
