package egress

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// departureRetention is how long a departure is remembered. It is longer than an
	// announcement can be delayed.
	departureRetention = time.Minute
	// maxDepartures bounds the number of departures that are remembered, and thus the
	// memory for upstreams that come and go.
	maxDepartures = 1024
)

// departures remembers which incarnations of upstreams have left, so that late
// announcements do not add them again.
type departures struct {
	byName map[string]departure
}

// departure is the departure of one upstream.
type departure struct {
	// incarnation is the latest one that left, or 0 if it is not known.
	incarnation uint64
	at          time.Time
}

func newDepartures() *departures {
	return &departures{byName: map[string]departure{}}
}

// add records that an incarnation of an upstream has left. If maxDepartures are recorded,
// it first drops the expired ones. If none has expired, it does nothing.
func (d *departures) add(name string, incarnation uint64, now time.Time) {
	if len(d.byName) >= maxDepartures {
		for other, recorded := range d.byName {
			if now.Sub(recorded.at) >= departureRetention {
				delete(d.byName, other)
			}
		}
	}
	if len(d.byName) < maxDepartures {
		d.byName[name] = departure{max(incarnation, d.byName[name].incarnation), now}
	}
}

// isOutdated reports whether an announcement is of an incarnation that has left. An
// announcement without an incarnation may be of one that has left, so it is outdated as
// well.
func (d *departures) isOutdated(upstream fleet.Upstream, now time.Time) bool {
	last, found := d.byName[upstream.Name]
	if !found || now.Sub(last.at) >= departureRetention {
		return false
	}

	return upstream.Incarnation <= last.incarnation
}
