package server

import (
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/arbiter"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/membership"
)

// candidateLifetime is how long the candidates of a service are reused. It
// bounds the time until an ejection or a dead daemon is respected.
const candidateLifetime = 100 * time.Millisecond

// decisions tells what the arbiter of a service decided about an upstream.
type decisions func(service, upstream string, now time.Time) arbiter.Decision

// statuses tells what this daemon believes about a member.
type statuses func(daemon string) (gossip.Status, bool)

// located is an upstream with the member that announced it.
type located struct {
	upstream fleet.Upstream
	member   *membership.Member
}

// cached holds the candidates of one service.
type cached struct {
	made       time.Time
	candidates []balance.Candidate
}

// directory indexes the announced upstreams of all members by service.
type directory struct {
	zone      string
	status    statuses
	decisions decisions

	mu       sync.RWMutex
	members  map[string]*membership.Member
	services map[string]map[string]located
	cache    map[string]cached
}

func newDirectory(zone string, status statuses) *directory {
	return &directory{
		zone: zone, status: status,
		members:  make(map[string]*membership.Member),
		services: make(map[string]map[string]located),
		cache:    make(map[string]cached),
	}
}

// Update replaces what is known about the member of an entry.
func (d *directory) Update(entry fleet.Entry) {
	member, ok := membership.DecodeMember(entry)
	if !ok {
		return
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	if old := d.members[member.Name]; old != nil {
		for _, upstream := range old.Upstreams {
			// An upstream that moved belongs to its new daemon already.
			if d.services[upstream.Service][upstream.Name].member == old {
				delete(d.services[upstream.Service], upstream.Name)
			}

			delete(d.cache, upstream.Service)
		}
	}

	d.members[member.Name] = &member

	for _, upstream := range member.Upstreams {
		if d.services[upstream.Service] == nil {
			d.services[upstream.Service] = make(map[string]located)
		}

		d.services[upstream.Service][upstream.Name] = located{upstream: upstream, member: &member}
		delete(d.cache, upstream.Service)
	}
}

// Candidates returns the upstreams of a service whose daemons are not faulty.
func (d *directory) Candidates(service string) []balance.Candidate {
	now := time.Now()

	d.mu.RLock()
	known, ok := d.cache[service]
	d.mu.RUnlock()

	if ok && now.Sub(known.made) < candidateLifetime {
		return known.candidates
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	known = cached{made: now}

	for name, place := range d.services[service] {
		status, alive := d.status(place.member.Name)
		if !alive || status == gossip.Faulty {
			continue
		}

		decision := d.decisions(service, name, now)
		known.candidates = append(known.candidates, balance.Candidate{
			Upstream: name, Daemon: place.member.Name, EgressIncarnation: place.member.Incarnation,
			SameZone: place.member.AvailabilityZone == d.zone,
			Slots:    place.upstream.Slots, State: place.state(), StateSince: place.upstream.StateSince,
			Ejected: decision.State == health.Ejected, Probation: decision.State == health.Probation,
		})
	}

	d.cache[service] = known

	return known.candidates
}

// Upstreams returns all announced upstreams of a service for the arbiter.
func (d *directory) Upstreams(service string) []health.Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()

	var list []health.Upstream

	for name, place := range d.services[service] {
		status, known := d.status(place.member.Name)
		list = append(list, health.Upstream{
			Name: name, Slots: place.upstream.Slots, State: place.state(), Daemon: place.member.Name,
			Alive: known && status != gossip.Faulty, AvailabilityZone: place.member.AvailabilityZone,
		})
	}

	return list
}

// Services returns the services that have upstreams.
func (d *directory) Services() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()

	var list []string

	for service, upstreams := range d.services {
		if len(upstreams) > 0 {
			list = append(list, service)
		}
	}

	return list
}

// state is that of the upstream, or draining if its daemon is leaving.
func (l located) state() fleet.UpstreamState {
	if l.member.Leaving {
		return fleet.Draining
	}

	return l.upstream.State
}
