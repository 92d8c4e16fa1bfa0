package egress

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
	"github.com/kumquatshelf/kumquatshelf/internal/core/suspicion"
)

// Announce adds an upstream or renews its announcement. If it announces Draining, it gets
// no new attempts, and its queued attempts are refused as not run.
func (e *Egress) Announce(upstream fleet.Upstream) fleet.AnnounceResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.departed.isOutdated(upstream, now) || upstream.Incarnation > 0 && !e.removeSuperseded(upstream, now) {
		return fleet.Outdated
	}
	u := e.findOrAdd(upstream.Name)
	if u == nil {
		return fleet.TooManyUpstreams
	}
	old := u.announcement
	if u.announced && (old.Service != upstream.Service || old.Address != upstream.Address) {
		return fleet.NameTaken
	}
	upstream.StateSince = now
	if u.announced && old.State == upstream.State {
		upstream.StateSince = old.StateSince
	}
	old.Sequence = upstream.Sequence
	changed := !u.announced || old != upstream
	e.resetEstimates(u, upstream, now)
	u.announcement, u.announced, u.announcedAt = upstream, true, now
	if upstream.State == fleet.Draining && upstream.Sequence > 0 {
		e.departed.add(fleet.Departure{
			Name: upstream.Name, Incarnation: upstream.Incarnation, Sequence: upstream.Sequence, At: now,
		}, now)
	}
	if e.effectiveState(u) == fleet.Draining {
		e.drainQueue(u, fleet.ReasonDraining, "the upstream is draining")
	}
	if changed {
		e.logUpstream("upstream announced", upstream)
		e.notify()
	}
	e.startQueued(u)

	return fleet.Announced
}

// resetEstimates forgets what was observed of an upstream, if its announcement is the first
// one of an incarnation.
func (e *Egress) resetEstimates(u *localUpstream, upstream fleet.Upstream, now time.Time) {
	if u.suspicion == nil || u.announcement.Incarnation != upstream.Incarnation {
		u.suspicion, u.slowness = suspicion.New(now), suspicion.New(now)
		u.pace, u.limit, u.leaving = nil, 0, false
	}
}

// findOrAdd returns the upstream of a name, and adds it if needed. It returns nil if there
// are too many upstreams.
func (e *Egress) findOrAdd(name string) *localUpstream {
	u := e.upstreams[name]
	if u == nil && len(e.upstreams) < maxUpstreams {
		u = &localUpstream{queue: queue.New(e.settings.QueueCapacity)}
		e.upstreams[name] = u
	}

	return u
}

// removeSuperseded removes an earlier incarnation of the announced upstream, and an
// earlier upstream at its address. It returns false if the announcement itself is late,
// since a newer one of the same upstream or address is known.
func (e *Egress) removeSuperseded(upstream fleet.Upstream, now time.Time) bool {
	for _, u := range e.upstreams {
		known := u.announcement
		if !u.announced || known.Name != upstream.Name && known.Address != upstream.Address {
			continue
		}
		switch {
		case known.Incarnation > upstream.Incarnation:
			return false
		case known.Incarnation < upstream.Incarnation:
			e.departed.add(fleet.Departure{Name: known.Name, Incarnation: known.Incarnation, Gone: true, At: now}, now)
			e.remove(u)
		case known.Name == upstream.Name && known.Sequence > upstream.Sequence:
			return false
		}
	}

	return true
}

// Deregister removes an upstream if it is announced with the given incarnation or an
// earlier one, and reports whether it was. Later announcements of these incarnations are
// refused as outdated. An incarnation of 0 stands for the announced one.
func (e *Egress) Deregister(name string, incarnation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.upstreams[name]
	announced := u != nil && u.announced
	if announced && incarnation == 0 {
		incarnation = u.announcement.Incarnation
	}
	if announced && u.announcement.Incarnation > incarnation {
		return false
	}
	now := time.Now()
	if incarnation == 0 {
		// It is one of the runs that have begun by now.
		incarnation = uint64(max(now.UnixMilli(), 0)) //nolint:gosec // not negative
	}
	e.departed.add(fleet.Departure{Name: name, Incarnation: incarnation, Gone: true, At: now}, now)
	if announced {
		e.remove(u)
	}

	return announced
}

// RecordInvalidAnnouncement counts an announcement that cannot be used. It logs a problem of
// an upstream when it is new.
func (e *Egress) RecordInvalidAnnouncement(name string, problem error) {
	e.counters.Add("AnnouncementsUnreadable", 1)
	name = fmt.Sprintf("%.*q", fleet.MaxNameBytes, name)
	e.mu.Lock()
	isNew := e.problems.IsNew(name+problem.Error(), time.Now())
	e.mu.Unlock()
	if isNew {
		e.log.Warn("announcement refused", "upstream", name, "error", problem)
	}
}

// RepeatShare returns the fraction of the running attempts that are repeats, from 0 to 1.
func (e *Egress) RepeatShare() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == 0 {
		return 0
	}

	return float64(e.runningRepeats) / float64(e.running)
}

// NestedCallFailed records that a call made by a local upstream has failed.
func (e *Egress) NestedCallFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nestedFailedAt = time.Now()
}

// Withdraw removes an upstream and reports whether it was announced. Its queued attempts
// are refused as not run, and its running attempts continue.
func (e *Egress) Withdraw(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.upstreams[name]
	if u == nil || !u.announced {
		return false
	}
	e.remove(u)

	return true
}

// Drain refuses new and queued attempts at an upstream as not run, on behalf of an
// operator. It also applies to an upstream that is announced later. It returns false if
// too many drains are recorded.
func (e *Egress) Drain(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.drains[name]; found {
		return true
	}
	if len(e.drains) >= maxDrains {
		return false
	}
	e.drains[name] = time.Now()
	if u := e.upstreams[name]; u != nil {
		e.drainQueue(u, fleet.ReasonDraining, "an operator drains the upstream")
		e.notify()
	}

	return true
}

// Undrain ends an operator's drain of an upstream and reports whether there was one.
func (e *Egress) Undrain(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.drains[name]; !found {
		return false
	}
	delete(e.drains, name)
	if u := e.upstreams[name]; u != nil {
		u.announcement.StateSince = time.Now()
		e.notify()
	}

	return true
}

// Upstreams returns the announced upstreams, ordered by name, with their effective state.
func (e *Egress) Upstreams() []fleet.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	upstreams := make([]fleet.Upstream, 0, len(e.upstreams))
	for name, u := range e.upstreams {
		if !u.announced {
			continue
		}
		upstream := u.announcement
		upstream.State = e.effectiveState(u)
		if since, found := e.drains[name]; found && since.After(upstream.StateSince) {
			upstream.StateSince = since
		}
		upstreams = append(upstreams, upstream)
	}
	slices.SortFunc(upstreams, func(a, b fleet.Upstream) int { return cmp.Compare(a.Name, b.Name) })

	return upstreams
}

// Load returns the current load of a local upstream, or false if the upstream is not
// announced.
func (e *Egress) Load(name string) (fleet.Load, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	u := e.upstreams[name]
	if u == nil || !u.announced {
		return fleet.Load{}, false
	}

	return e.loadFor(u, &fleet.Attempt{}, time.Now()), true
}

// Changed returns a channel that delivers a value when the result of Upstreams has
// changed. Several changes may be combined into one value.
func (e *Egress) Changed() <-chan struct{} { return e.changed }

func (e *Egress) notify() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// effectiveState returns the announced state of an upstream, or Draining if its answers say
// that it leaves, an operator drains it or the daemon is stopping. The caller holds mu.
func (e *Egress) effectiveState(u *localUpstream) fleet.UpstreamState {
	if _, drained := e.drains[u.announcement.Name]; drained || e.stopping || u.leaving {
		return fleet.Draining
	}

	return u.announcement.State
}

// remove ends the announcement of an upstream and refuses its queued attempts. The caller
// holds mu.
func (e *Egress) remove(u *localUpstream) {
	e.logUpstream("upstream gone", u.announcement)
	u.announced = false
	e.drainQueue(u, fleet.ReasonNoUpstream, "the upstream is gone")
	e.deleteIfIdle(u)
	e.notify()
}

// deleteIfIdle deletes an upstream that is neither announced nor running attempts. While
// attempts are running it stays, so that their slots are not used a second time if the
// upstream is announced again.
func (e *Egress) deleteIfIdle(u *localUpstream) {
	if !u.announced && u.inFlight == 0 {
		delete(e.upstreams, u.announcement.Name)
	}
}

func (e *Egress) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.baseContext.Done():
			return
		case <-ticker.C:
			e.sweep()
		}
	}
}

// sweep removes the upstreams that stopped announcing themselves, and expired entries of
// the registry.
func (e *Egress) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, u := range e.upstreams {
		if u.announced && now.Sub(u.announcedAt) >= e.settings.AnnounceTimeout {
			e.remove(u)
			e.counters.Add("UpstreamsSilent", 1)
		}
	}
	e.registry.ExpireKeys(now)
}
