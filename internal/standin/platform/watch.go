package platform

import (
	"cmp"
	"context"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Watch returns objects of a kind written after the given version, sorted by
// version. It waits up to 20 s for the first one, and then returns none with StoreOK.
// The outcome is StoreUnavailable during an outage or if ctx ends first.
func (s *Store) Watch(ctx context.Context, kind string, afterVersion uint64) ([]fleet.Object, fleet.StoreOutcome) {
	return s.watchFor(ctx, kind, afterVersion, s.watchTimeout)
}

// watchFor is Watch with the time to wait as an argument.
func (s *Store) watchFor(ctx context.Context, kind string, afterVersion uint64, wait time.Duration) ([]fleet.Object, fleet.StoreOutcome) {
	if !s.startCall(ctx, func(c *CallCounts) { c.Watch++ }) {
		return nil, fleet.StoreUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.faults.Outage {
			s.mu.Unlock()

			return nil, fleet.StoreUnavailable
		}
		objects := s.selectObjects(kind, func(o fleet.Object) bool { return o.Version > afterVersion }, func(a, b fleet.Object) int {
			return cmp.Compare(a.Version, b.Version)
		})
		changed := s.changeSignal
		s.mu.Unlock()
		if len(objects) > 0 {
			return objects, fleet.StoreOK
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, fleet.StoreOK
		case <-ctx.Done():
			return nil, fleet.StoreUnavailable
		}
	}
}

// Events returns the changes of a kind after a version, oldest first. It waits for
// the first one for the given time, and then returns none with StoreOK. The outcome
// is StoreCompacted if the history no longer reaches back to the version, and
// StoreUnavailable during an outage or if ctx ends first.
func (s *Store) Events(
	ctx context.Context, kind string, after uint64, wait time.Duration,
) (fleet.ObjectEvents, fleet.StoreOutcome) {
	if !s.startCall(ctx, func(c *CallCounts) { c.Watch++ }) {
		return fleet.ObjectEvents{}, fleet.StoreUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		outage, droppedVersion, changed := s.faults.Outage, s.droppedVersion, s.changeSignal
		events := fleet.ObjectEvents{Revision: s.version}
		for _, event := range s.history {
			if event.Object.Kind == kind && event.Object.Version > after {
				events.Events = append(events.Events, event)
			}
		}
		s.mu.Unlock()
		switch {
		case outage:
			return fleet.ObjectEvents{}, fleet.StoreUnavailable
		case after < droppedVersion:
			return fleet.ObjectEvents{}, fleet.StoreCompacted
		case len(events.Events) > 0:
			return events, fleet.StoreOK
		}
		select {
		case <-changed:
		case <-timer.C:
			return events, fleet.StoreOK
		case <-ctx.Done():
			return fleet.ObjectEvents{}, fleet.StoreUnavailable
		}
	}
}

// notifyWatchers wakes all waiting watches. The caller holds the lock.
func (s *Store) notifyWatchers() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}
