// Package directory indexes the upstreams that all members announce by service.
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

// candidateLifetime is how long the list of a service's candidates is reused. It bounds
// the delay until an ejection or the failure of a daemon takes effect.
const candidateLifetime = 100 * time.Millisecond

// upstreamsGrowth is the number of upstreams by which a service's full list grows.
// Growing by a factor would leave about a quarter of the directory's memory unused.
const upstreamsGrowth = 4

// StatusFunc returns this daemon's view of a member. It reports false if the member is
// not known.
type StatusFunc func(daemon string) (gossip.Status, bool)

// Directory holds all upstreams of the fleet, 150,000 at the target size. To save
// memory it stores only the fields that its methods return. It is safe for concurrent
// use.
type Directory struct {
	// zone is the availability zone of this daemon.
	zone   string
	status StatusFunc

	mu sync.RWMutex
	// members is indexed by daemon name, services and cache by service name.
	members  map[string]*member
	services map[string]*service
	cache    map[string]candidateList
}

// member is a daemon that has announced itself.
type member struct {
	name, zone  string
	incarnation uint64
	leaving     bool
	// services are the services that the member's upstreams serve, each once.
	services []*service
}

// service is a service that has at least one upstream.
type service struct {
	name      string
	upstreams []announcedUpstream
}

// announcedUpstream is an upstream and the member that announced it, packed to save
// memory.
type announcedUpstream struct {
	name   string
	member *member
	// stateSinceNanoseconds is StateSince in nanoseconds of Unix time, or 0 if it is
	// not known.
	stateSinceNanoseconds int64
	slots                 uint32
	state                 uint8
}

// candidateList is the cached result of Candidates for one service.
type candidateList struct {
	createdAt  time.Time
	candidates []balance.Candidate
}

// New returns an empty directory of a daemon in the availability zone.
func New(zone string, status StatusFunc) *Directory {
	return &Directory{
		zone: zone, status: status,
		members: make(map[string]*member), services: make(map[string]*service), cache: make(map[string]candidateList),
	}
}

// Update replaces a member and its upstreams by the content of its member entry. It
// ignores entries that cannot be decoded and upstreams that cannot be used, and reports
// whether there was neither.
func (d *Directory) Update(entry fleet.Entry) bool {
	decoded, ok := membership.DecodeMember(entry)
	if !ok {
		return false
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

		s.put(newAnnouncedUpstream(upstream, m))
		delete(d.cache, s.name)

		if !slices.Contains(m.services, s) {
			m.services = append(m.services, s)
		}
	}

	m.services = slices.Clip(m.services)

	return decoded.UnusableUpstreams == 0
}

// Prune removes members that membership no longer knows. Membership removes the entry
// of a member that has been faulty for a while without reporting a change, so Prune has
// to be called from time to time.
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

// remove removes the upstreams of a member. An upstream that has moved to another daemon
// is kept, since it belongs to the other member already.
func (d *Directory) remove(m *member) {
	for _, s := range m.services {
		s.upstreams = slices.DeleteFunc(s.upstreams, func(u announcedUpstream) bool { return u.member == m })
		delete(d.cache, s.name)

		if len(s.upstreams) == 0 && d.services[s.name] == s {
			delete(d.services, s.name)
		}
	}
}

func newAnnouncedUpstream(upstream fleet.Upstream, m *member) announcedUpstream {
	u := announcedUpstream{
		name: upstream.Name, member: m,
		slots: uint32(upstream.Slots), state: uint8(upstream.State), //nolint:gosec // decoded from 32 bits; states are small
	}
	if !upstream.StateSince.IsZero() {
		u.stateSinceNanoseconds = upstream.StateSince.UnixNano()
	}

	return u
}

// put adds an upstream, or replaces the one with the same name.
func (s *service) put(u announcedUpstream) {
	for i := range s.upstreams {
		if s.upstreams[i].name == u.name {
			s.upstreams[i] = u

			return
		}
	}

	if len(s.upstreams) == cap(s.upstreams) {
		grown := make([]announcedUpstream, len(s.upstreams), len(s.upstreams)+upstreamsGrowth)
		copy(grown, s.upstreams)
		s.upstreams = grown
	}

	s.upstreams = append(s.upstreams, u)
}

// Candidates returns the upstreams of a service whose daemons are known and not faulty.
// The result is up to candidateLifetime old and shared between callers, who must not
// change it.
func (d *Directory) Candidates(name string) []balance.Candidate {
	now := time.Now()

	d.mu.RLock()
	cached, ok := d.cache[name]
	d.mu.RUnlock()

	if ok && now.Sub(cached.createdAt) < candidateLifetime {
		return cached.candidates
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	cached = candidateList{createdAt: now}

	for _, u := range d.upstreams(name) {
		status, known := d.status(u.member.name)
		if !known || status == gossip.Faulty {
			continue
		}

		candidate := balance.Candidate{
			Upstream: u.name, Daemon: u.member.name, EgressIncarnation: u.member.incarnation,
			SameZone: u.member.zone == d.zone,
			Slots:    int(u.slots), State: u.effectiveState(),
		}

		if u.stateSinceNanoseconds != 0 {
			candidate.StateSince = time.Unix(0, u.stateSinceNanoseconds)
		}

		cached.candidates = append(cached.candidates, candidate)
	}

	d.cache[name] = cached

	return cached.candidates
}

func (d *Directory) upstreams(name string) []announcedUpstream {
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
	// Daemon is the name of the daemon that owns the upstream.
	Daemon string
	// Alive says that the daemon is a known member and not faulty.
	Alive bool
}

// Upstreams returns all announced upstreams of a service, including the upstreams of
// faulty daemons.
func (d *Directory) Upstreams(name string) []Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()

	var upstreams []Upstream

	for _, u := range d.upstreams(name) {
		status, known := d.status(u.member.name)
		upstreams = append(upstreams, Upstream{
			Name: u.name, Slots: int(u.slots), State: u.effectiveState(), Daemon: u.member.name,
			Alive: known && status != gossip.Faulty,
		})
	}

	return upstreams
}

// Services returns the names of the services that have upstreams, in no particular
// order.
func (d *Directory) Services() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()

	var names []string

	for name := range d.services {
		names = append(names, name)
	}

	return names
}

// effectiveState returns the upstream's state, or Draining if its daemon is leaving.
func (u announcedUpstream) effectiveState() fleet.UpstreamState {
	if u.member.leaving {
		return fleet.Draining
	}

	return fleet.UpstreamState(u.state)
}
