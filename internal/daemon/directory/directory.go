// Package directory indexes the announced upstreams of all members by service.
package directory

import (
	"slices"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/membership"
)

// candidateLifetime is how long the candidates of a service are reused. It
// bounds the time until an ejection or a dead daemon is respected.
const candidateLifetime = 100 * time.Millisecond

// growth is by how many upstreams a full service grows. Growing by a factor
// would leave about a quarter of the directory unused.
const growth = 4

// StatusFunc tells what this daemon believes about a member.
type StatusFunc func(daemon string) (gossip.Status, bool)

// Directory holds all upstreams of the fleet, 150,000 at the target, and so
// keeps only what callers ask for. It is safe for concurrent use.
type Directory struct {
	zone   string
	status StatusFunc

	mu       sync.RWMutex
	members  map[string]*member
	services map[string]*service
	cache    map[string]cached
}

type member struct {
	name, zone  string
	incarnation uint64
	leaving     bool
	// services are those of its upstreams.
	services []*service
}

type service struct {
	name      string
	upstreams []located
}

// located is an upstream with the member that announced it.
type located struct {
	name   string
	member *member
	// since is StateSince in nanoseconds of Unix time, or 0.
	since int64
	slots uint32
	state uint8
}

// cached holds the candidates of one service.
type cached struct {
	made       time.Time
	candidates []balance.Candidate
}

// New returns an empty directory of a daemon in an availability zone.
func New(zone string, status StatusFunc) *Directory {
	return &Directory{
		zone: zone, status: status,
		members: make(map[string]*member), services: make(map[string]*service), cache: make(map[string]cached),
	}
}

// Update replaces what is known about the member of an entry.
func (d *Directory) Update(entry fleet.Entry) {
	decoded, ok := membership.DecodeMember(entry)
	if !ok {
		return
	}

	m := &member{
		name: decoded.Name, zone: decoded.AvailabilityZone, incarnation: decoded.Incarnation, leaving: decoded.Leaving,
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	if old := d.members[m.name]; old != nil {
		d.remove(old)
	}

	d.members[m.name] = m

	for _, upstream := range decoded.Upstreams {
		s := d.services[upstream.Service]
		if s == nil {
			s = &service{name: upstream.Service}
			d.services[s.name] = s
		}

		s.put(locate(upstream, m))
		delete(d.cache, s.name)

		if !slices.Contains(m.services, s) {
			m.services = append(m.services, s)
		}
	}

	m.services = slices.Clip(m.services)
}

// Prune removes members that have been forgotten. Membership drops the entry of
// a faulty member after a while without a further update.
func (d *Directory) Prune() {
	d.mu.Lock()
	defer d.mu.Unlock()

	for name, m := range d.members {
		if _, known := d.status(name); !known {
			d.remove(m)
			delete(d.members, name)
		}
	}
}

// remove removes the upstreams of a member. An upstream that moved belongs to
// its new member already.
func (d *Directory) remove(m *member) {
	for _, s := range m.services {
		s.upstreams = slices.DeleteFunc(s.upstreams, func(l located) bool { return l.member == m })
		delete(d.cache, s.name)

		if len(s.upstreams) == 0 && d.services[s.name] == s {
			delete(d.services, s.name)
		}
	}
}

func locate(upstream fleet.Upstream, m *member) located {
	l := located{
		name: upstream.Name, member: m,
		slots: uint32(upstream.Slots), state: uint8(upstream.State), //nolint:gosec // decoded from 32 bits; states are small
	}
	if !upstream.StateSince.IsZero() {
		l.since = upstream.StateSince.UnixNano()
	}

	return l
}

func (s *service) put(l located) {
	for i := range s.upstreams {
		if s.upstreams[i].name == l.name {
			s.upstreams[i] = l

			return
		}
	}

	if len(s.upstreams) == cap(s.upstreams) {
		grown := make([]located, len(s.upstreams), len(s.upstreams)+growth)
		copy(grown, s.upstreams)
		s.upstreams = grown
	}

	s.upstreams = append(s.upstreams, l)
}

// Candidates returns the upstreams of a service whose daemons are not faulty.
func (d *Directory) Candidates(name string) []balance.Candidate {
	now := time.Now()

	d.mu.RLock()
	known, ok := d.cache[name]
	d.mu.RUnlock()

	if ok && now.Sub(known.made) < candidateLifetime {
		return known.candidates
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	known = cached{made: now}

	for _, place := range d.upstreams(name) {
		status, alive := d.status(place.member.name)
		if !alive || status == gossip.Faulty {
			continue
		}

		candidate := balance.Candidate{
			Upstream: place.name, Daemon: place.member.name, EgressIncarnation: place.member.incarnation,
			SameZone: place.member.zone == d.zone,
			Slots:    int(place.slots), State: place.current(),
		}

		if place.since != 0 {
			candidate.StateSince = time.Unix(0, place.since)
		}

		known.candidates = append(known.candidates, candidate)
	}

	d.cache[name] = known

	return known.candidates
}

func (d *Directory) upstreams(name string) []located {
	if s := d.services[name]; s != nil {
		return s.upstreams
	}

	return nil
}

// Upstream is an announced upstream.
type Upstream struct {
	Name  string
	Slots int
	State fleet.UpstreamState
	// Daemon owns the upstream; Alive says that it is a live member.
	Daemon string
	Alive  bool
}

// Upstreams returns all announced upstreams of a service.
func (d *Directory) Upstreams(name string) []Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()

	var list []Upstream

	for _, place := range d.upstreams(name) {
		status, known := d.status(place.member.name)
		list = append(list, Upstream{
			Name: place.name, Slots: int(place.slots), State: place.current(), Daemon: place.member.name,
			Alive: known && status != gossip.Faulty,
		})
	}

	return list
}

// Services returns the services that have upstreams.
func (d *Directory) Services() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()

	var list []string

	for name := range d.services {
		list = append(list, name)
	}

	return list
}

// current is the state of the upstream, or draining if its daemon is leaving.
func (l located) current() fleet.UpstreamState {
	if l.member.leaving {
		return fleet.Draining
	}

	return fleet.UpstreamState(l.state)
}
