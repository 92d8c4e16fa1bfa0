package platform

import (
	"cmp"
	"context"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Watch returns objects written after the given version, in the order of their
// versions. It waits up to 20 s for one, and then returns none.
func (s *Store) Watch(ctx context.Context, kind string, since uint64) ([]fleet.Object, fleet.StoreOutcome) {
	return s.watch(ctx, kind, since, s.wait)
}

func (s *Store) watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]fleet.Object, fleet.StoreOutcome) {
	if !s.begin(ctx, func(c *CallCounts) { c.Watch++ }) {
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
		objects := s.collect(kind, func(o fleet.Object) bool { return o.Version > since }, func(a, b fleet.Object) int {
			return cmp.Compare(a.Version, b.Version)
		})
		changed := s.changed
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

// Events returns the changes of a kind after a version and waits for one.
func (s *Store) Events(
	ctx context.Context, kind string, after uint64, wait time.Duration,
) (fleet.ObjectEvents, fleet.StoreOutcome) {
	if !s.begin(ctx, func(c *CallCounts) { c.Watch++ }) {
		return fleet.ObjectEvents{}, fleet.StoreUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		outage, dropped, changed := s.faults.Outage, s.dropped, s.changed
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
		case after < dropped:
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

func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}
