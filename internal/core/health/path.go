package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// pathMemory is how long an ingress's last word about a path counts. An
	// ingress that avoids a path tries it rarely, so it exceeds a few reports.
	pathMemory = 3 * time.Second
	// minUnreached is how many attempts in a row have to fail before an ingress
	// counts as cut off; a single one is lost when a connection is replaced.
	minUnreached = 3
	// silenceAfter is how long an egress sends no evidence before it counts as
	// silent: six reports, so that a few lost frames do not matter.
	silenceAfter = 1500 * time.Millisecond
)

// Reporter is a daemon that sends evidence.
type Reporter struct {
	Daemon           string
	AvailabilityZone string
}

// PathCounts is an ingress's evidence about the way to one upstream over one
// interval.
type PathCounts struct {
	Service   string
	Upstream  string
	Reached   int
	Unreached int
}

// PathCollector sums up the path observations of an ingress between two
// reports. It is not safe for concurrent use.
type PathCollector struct {
	paths map[subject]PathCounts
}

// NewPathCollector returns an empty collector.
func NewPathCollector() *PathCollector {
	return &PathCollector{paths: map[subject]PathCounts{}}
}

// Add counts one observation.
func (c *PathCollector) Add(o fleet.PathObservation) {
	key := subject{o.Service, o.Upstream}
	p := c.paths[key]
	p.Service, p.Upstream = o.Service, o.Upstream
	if o.Reached {
		p.Reached++
	} else {
		p.Unreached++
	}
	c.paths[key] = p
}

// Take returns the evidence since the last call, ordered by service and
// upstream, and starts a new interval.
func (c *PathCollector) Take() []PathCounts {
	all := make([]PathCounts, 0, len(c.paths))
	for _, p := range c.paths {
		all = append(all, p)
	}
	clear(c.paths)
	slices.SortFunc(all, func(a, b PathCounts) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream))
	})

	return all
}

// pathView is what one ingress last said about the way to one upstream.
type pathView struct {
	zone      string
	unreached int
	seen      time.Time
}

// paths holds the views of all ingresses on one upstream.
type paths map[string]pathView

func (p paths) add(from Reporter, counts PathCounts, now time.Time) {
	v := p[from.Daemon]
	if now.Sub(v.seen) > pathMemory {
		v.unreached = 0
	}
	v.zone, v.seen = from.AvailabilityZone, now
	if counts.Reached > 0 {
		v.unreached = 0
	} else {
		v.unreached = min(v.unreached+counts.Unreached, minUnreached)
	}
	p[from.Daemon] = v
}

// zones returns how many availability zones fail to reach the upstream and how
// many reach it. An availability zone reaches it if one of its ingresses does.
func (p paths) zones(now time.Time) (cut, reaching int) {
	reaches := map[string]bool{}
	for daemon, v := range p {
		if now.Sub(v.seen) > pathMemory {
			delete(p, daemon)

			continue
		}
		reaches[v.zone] = reaches[v.zone] || v.unreached < minUnreached
	}
	for _, ok := range reaches {
		if ok {
			reaching++
		} else {
			cut++
		}
	}

	return cut, reaching
}

// unreachable reports whether the upstream has to count as unreachable: either
// a majority of the availability zones fails to reach it, or its egress is
// silent, at least half of them fail and none reaches it. A cut that only a
// minority sees is a one-way partition, which those ingresses route around.
func (p paths) unreachable(knownZones int, silent bool, now time.Time) bool {
	cut, reaching := p.zones(now)
	if cut == 0 {
		return false
	}
	if 2*cut > knownZones {
		return true
	}

	return silent && reaching == 0 && 2*cut >= knownZones
}
