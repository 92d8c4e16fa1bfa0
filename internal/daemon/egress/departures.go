package egress

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// maxDepartures bounds the departures that are remembered, and thus the memory for upstreams
// that come and go.
const maxDepartures = 1024

// departures remembers which runs of upstreams leave or have left, so that late announcements
// do not bring them back.
type departures struct {
	byName map[string]fleet.Departure
}

func newDepartures() *departures {
	return &departures{byName: map[string]fleet.Departure{}}
}

// add remembers a departure. If maxDepartures are remembered, it drops the expired ones, or
// else the oldest.
func (d *departures) add(departure fleet.Departure, now time.Time) {
	known, found := d.byName[departure.Name]
	if found && !known.Expired(now) && !departure.Supersedes(known) {
		return
	}
	if !found && len(d.byName) >= maxDepartures {
		d.makeRoom(now)
	}
	d.byName[departure.Name] = departure
}

func (d *departures) makeRoom(now time.Time) {
	oldest := ""
	for name, departure := range d.byName {
		switch {
		case departure.Expired(now):
			delete(d.byName, name)
		case oldest == "" || departure.At.Before(d.byName[oldest].At):
			oldest = name
		}
	}
	if len(d.byName) >= maxDepartures {
		delete(d.byName, oldest)
	}
}

// isOutdated reports whether an announcement is from before a departure.
func (d *departures) isOutdated(upstream fleet.Upstream, now time.Time) bool {
	departure, found := d.byName[upstream.Name]

	return found && !departure.Expired(now) && departure.Outdates(upstream)
}

// Departures returns the departures that late announcements are compared with, ordered by
// name.
func (e *Egress) Departures() []fleet.Departure {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	list := make([]fleet.Departure, 0, len(e.departed.byName))
	for _, departure := range e.departed.byName {
		if !departure.Expired(now) {
			list = append(list, departure)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Departure) int { return cmp.Compare(a.Name, b.Name) })

	return list
}

// RestoreDepartures adds departures that an earlier run of the daemon heard of. Upstreams
// that were announced again meanwhile, by announcements from before them, are removed.
func (e *Egress) RestoreDepartures(list []fleet.Departure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, departure := range list {
		if departure.Expired(now) {
			continue
		}
		e.departed.add(departure, now)
		if u := e.upstreams[departure.Name]; u != nil && u.announced && departure.Outdates(u.announcement) {
			e.remove(u)
		}
		e.log.Info("departure of an upstream restored", "upstream", departure.Name, "run", departure.Incarnation,
			"gone", departure.Gone, "sequence", departure.Sequence, "age", now.Sub(departure.At))
	}
}
