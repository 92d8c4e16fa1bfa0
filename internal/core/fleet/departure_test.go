package fleet

import (
	"testing"
	"time"
)

// Guards against a late announcement that brings back an upstream that left or drains, and
// against a departure that keeps out a later run or a draining upstream's own announcements.
func TestAnnouncementFromBeforeDeparture(t *testing.T) {
	t.Parallel()
	drains := Departure{Name: "i-1", Incarnation: 7, Sequence: 4}
	gone := Departure{Name: "i-1", Incarnation: 7, Gone: true}
	for name, tt := range map[string]struct {
		departure             Departure
		incarnation, sequence uint64
		want                  bool
	}{
		"before it drained":            {drains, 7, 3, true},
		"as it drained":                {drains, 7, 4, false},
		"since it drains":              {drains, 7, 5, false},
		"of an earlier run":            {drains, 6, 9, true},
		"of a later run":               {drains, 8, 1, false},
		"of the run that left":         {gone, 7, 99, true},
		"of a run before the one left": {gone, 6, 1, true},
		"of a run after the one left":  {gone, 8, 1, false},
		"that names no run":            {gone, 0, 1, true},
	} {
		if got := tt.departure.Outdates(Upstream{Name: "i-1", Incarnation: tt.incarnation, Sequence: tt.sequence}); got != tt.want {
			t.Errorf("%s: got outdated %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against a departure that is replaced by one that says less, and against one that
// expires while the upstream still drains.
func TestDepartureReplacedByLess(t *testing.T) {
	t.Parallel()
	at := time.Unix(1_000_000, 0)
	drains, gone := Departure{Incarnation: 7, Sequence: 4, At: at}, Departure{Incarnation: 7, Gone: true, At: at}
	later := func(d Departure, by time.Duration) Departure {
		d.At = d.At.Add(by)

		return d
	}
	for name, tt := range map[string]struct {
		new, old Departure
		want     bool
	}{
		"same":                 {drains, drains, false},
		"gone after draining":  {gone, drains, true},
		"draining after gone":  {later(drains, time.Hour), gone, false},
		"of an earlier run":    {Departure{Incarnation: 6, Gone: true}, drains, false},
		"of a later run":       {Departure{Incarnation: 8, Sequence: 1}, gone, true},
		"drains for a moment":  {later(drains, time.Second), drains, false},
		"drains for long":      {later(drains, DepartureRetention/2), drains, true},
		"gone, said once more": {later(gone, DepartureRetention/2), gone, true},
	} {
		if got := tt.new.Supersedes(tt.old); got != tt.want {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}
