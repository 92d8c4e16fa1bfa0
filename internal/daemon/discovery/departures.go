package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// maxDepartures bounds the departures in a daemon's object, at about 150 bytes each.
const maxDepartures = 1024

// record is what the daemon's object has to say, and what is known of its earlier content. The
// registry's mu guards it.
type record struct {
	// departures are ordered by name. They include those of earlier runs of the daemon.
	departures []fleet.Departure
	// generation rises with each change of departures. The store has the one of written.
	generation, written uint64
	// changed signals a new generation. progress is closed and replaced after each write.
	changed  chan struct{}
	progress chan struct{}
	// restored is closed when the object of an earlier run was read or is known not to
	// exist.
	restored   chan struct{}
	isRestored bool
}

func newRecord() record {
	return record{changed: make(chan struct{}, 1), progress: make(chan struct{}), restored: make(chan struct{})}
}

// RecordDepartures writes departures of upstreams to the daemon's object, so that the next
// run of the daemon knows of them. It reports whether the store has them before ctx ends.
// Otherwise they are written later.
func (r *Registry) RecordDepartures(ctx context.Context, departures []fleet.Departure) bool {
	r.mu.Lock()
	r.record.merge(departures, time.Now())
	generation := r.record.generation
	for r.record.written < generation {
		progress := r.record.progress
		r.mu.Unlock()
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
		r.mu.Lock()
	}
	r.mu.Unlock()

	return true
}

// Restored returns a channel that is closed when the departures that earlier runs of the
// daemon have recorded are known.
func (r *Registry) Restored() <-chan struct{} { return r.record.restored }

// Departures returns the recorded departures, including those of earlier runs once they are
// known.
func (r *Registry) Departures() []fleet.Departure {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Clone(r.record.departures)
}

// decodeDepartures decodes departures and leaves out those that cannot be used. A time in the
// future, as of a clock that was set back, counts as now.
func decodeDepartures(raw []json.RawMessage, now time.Time) []fleet.Departure {
	var departures []fleet.Departure
	for _, value := range raw {
		var departure fleet.Departure
		if json.Unmarshal(value, &departure) != nil || !fleet.ValidName(departure.Name) {
			continue
		}
		if departure.At.After(now) {
			departure.At = now
		}
		departures = append(departures, departure)
	}

	return departures
}

// merge adds departures, drops those that have expired, and of more than maxDepartures the
// oldest. It begins a new generation if departures were added.
func (r *record) merge(departures []fleet.Departure, now time.Time) {
	added := false
	for _, departure := range departures {
		if departure.Expired(now) {
			continue
		}
		index, known := slices.BinarySearchFunc(r.departures, departure.Name, func(d fleet.Departure, name string) int {
			return cmp.Compare(d.Name, name)
		})
		switch {
		case !known:
			r.departures = slices.Insert(r.departures, index, departure)
		case departure.Supersedes(r.departures[index]):
			r.departures[index] = departure
		default:
			continue
		}
		added = true
	}
	if !added {
		return
	}
	r.departures = slices.DeleteFunc(r.departures, func(d fleet.Departure) bool { return d.Expired(now) })
	if excess := len(r.departures) - maxDepartures; excess > 0 {
		slices.SortStableFunc(r.departures, func(a, b fleet.Departure) int { return a.At.Compare(b.At) })
		r.departures = slices.Delete(r.departures, 0, excess)
		slices.SortFunc(r.departures, func(a, b fleet.Departure) int { return cmp.Compare(a.Name, b.Name) })
	}
	r.generation++
	select {
	case r.changed <- struct{}{}:
	default: // a signal is already pending
	}
}

// restore notes that the departures of earlier runs are known, and adds them.
func (r *record) restore(departures []fleet.Departure, now time.Time) {
	generation := r.generation
	r.merge(departures, now)
	if len(departures) > 0 && generation == r.written {
		// The store has all of them already.
		r.written = r.generation
	}
	if !r.isRestored {
		r.isRestored = true
		close(r.restored)
	}
}

// setWritten notes that the store has a generation.
func (r *record) setWritten(generation uint64) {
	r.written = max(r.written, generation)
	close(r.progress)
	r.progress = make(chan struct{})
}
