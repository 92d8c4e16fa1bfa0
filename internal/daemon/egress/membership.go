package egress

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
	"github.com/kumquatshelf/kumquatshelf/internal/core/suspicion"
)

// Announce adds or renews an upstream. One that announces Draining gets no new
// attempts, and its queued ones are refused as not run.
func (e *Egress) Announce(upstream fleet.Upstream) fleet.AnnounceResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.departed.covers(upstream, now) || upstream.Incarnation > 0 && !e.supersede(upstream, now) {
		return fleet.Outdated
	}
	l := e.lane(upstream.Name)
	if l == nil {
		return fleet.TooManyUpstreams
	}
	old := l.upstream
	if l.announced && (old.Service != upstream.Service || old.Address != upstream.Address) {
		return fleet.NameTaken
	}
	upstream.StateSince = now
	if l.announced && old.State == upstream.State {
		upstream.StateSince = old.StateSince
	}
	old.Sequence = upstream.Sequence
	changed := !l.announced || old != upstream
	e.watchOver(l, upstream, now)
	l.upstream, l.announced, l.announcedAt = upstream, true, now
	if e.state(l) == fleet.Draining {
		e.drainQueue(l, fleet.ReasonDraining, "the upstream is draining")
	}
	if changed {
		e.logUpstream("upstream announced", upstream)
		e.notify()
	}
	e.dispatch(l)

	return fleet.Announced
}

// watchOver begins to judge the results of a run of an upstream.
func (e *Egress) watchOver(l *lane, upstream fleet.Upstream, now time.Time) {
	if l.suspicion == nil || l.upstream.Incarnation != upstream.Incarnation {
		l.suspicion, l.slowness = suspicion.New(now), suspicion.New(now)
	}
}

// lane returns the lane of an upstream, or nil if there is no room for it.
func (e *Egress) lane(name string) *lane {
	l := e.lanes[name]
	if l == nil && len(e.lanes) < maxUpstreams {
		l = &lane{queue: queue.New(e.settings.QueueCapacity)}
		e.lanes[name] = l
	}

	return l
}

// supersede removes an earlier run of the announced upstream, or an earlier
// upstream at its address. It reports false if the announcement is the late one.
func (e *Egress) supersede(upstream fleet.Upstream, now time.Time) bool {
	for _, l := range e.lanes {
		known := l.upstream
		if !l.announced || known.Name != upstream.Name && known.Address != upstream.Address {
			continue
		}
		switch {
		case known.Incarnation > upstream.Incarnation:
			return false
		case known.Incarnation < upstream.Incarnation:
			e.departed.add(known.Name, known.Incarnation, now)
			e.remove(l)
		case known.Name == upstream.Name && known.Sequence > upstream.Sequence:
			return false
		}
	}

	return true
}

// Deregister removes a run of an upstream, and any that began before it, and reports
// whether it was announced. An incarnation of 0 is that of the announced run.
// Announcements of it that arrive later change nothing.
func (e *Egress) Deregister(name string, incarnation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.lanes[name]
	announced := l != nil && l.announced
	if announced && incarnation == 0 {
		incarnation = l.upstream.Incarnation
	}
	if announced && l.upstream.Incarnation > incarnation {
		return false
	}
	e.departed.add(name, incarnation, time.Now())
	if announced {
		e.remove(l)
	}

	return announced
}

// RecordInvalidAnnouncement counts an announcement that could not be used. It is logged once for
// each upstream and problem.
func (e *Egress) RecordInvalidAnnouncement(name string, problem error) {
	e.counters.Add("AnnouncementsUnreadable", 1)
	key := name + ": " + problem.Error()
	e.mu.Lock()
	_, logged := e.unreadable[key]
	if !logged && len(e.unreadable) < maxUnreadable {
		e.unreadable[key] = struct{}{}
	}
	e.mu.Unlock()
	if !logged {
		e.log.Warn("announcement refused", "upstream", name, "error", problem)
	}
}

// RepeatShare returns the part of the running attempts that are repeats.
func (e *Egress) RepeatShare() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == 0 {
		return 0
	}

	return float64(e.repeats) / float64(e.running)
}

// NestedCallFailed notes that a call of a local upstream failed.
func (e *Egress) NestedCallFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nestedFailedAt = time.Now()
}

// Withdraw removes an upstream and reports whether it was announced. Its
// queued attempts are refused as not run; running ones finish.
func (e *Egress) Withdraw(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.lanes[name]
	if l == nil || !l.announced {
		return false
	}
	e.remove(l)

	return true
}

// Drain stops new attempts at an upstream on behalf of an operator, whether or
// not it is announced now, and refuses its queued ones as not run. It returns
// false if too many drains are recorded.
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
	if l := e.lanes[name]; l != nil {
		e.drainQueue(l, fleet.ReasonDraining, "an operator drains the upstream")
		e.notify()
	}

	return true
}

// Undrain ends an operator's drain and reports whether there was one.
func (e *Egress) Undrain(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.drains[name]; !found {
		return false
	}
	delete(e.drains, name)
	if l := e.lanes[name]; l != nil {
		l.upstream.StateSince = time.Now()
		e.notify()
	}

	return true
}

// Upstreams returns the announced upstreams, ordered by name. One that is
// drained by an operator, or whose daemon is stopping, is Draining.
func (e *Egress) Upstreams() []fleet.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	upstreams := make([]fleet.Upstream, 0, len(e.lanes))
	for name, l := range e.lanes {
		if !l.announced {
			continue
		}
		upstream := l.upstream
		upstream.State = e.state(l)
		if since, found := e.drains[name]; found && since.After(upstream.StateSince) {
			upstream.StateSince = since
		}
		upstreams = append(upstreams, upstream)
	}
	slices.SortFunc(upstreams, func(a, b fleet.Upstream) int { return cmp.Compare(a.Name, b.Name) })

	return upstreams
}

// Load returns the present load of a local upstream. It reports false if the
// upstream is not announced.
func (e *Egress) Load(name string) (fleet.Load, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	l := e.lanes[name]
	if l == nil || !l.announced {
		return fleet.Load{}, false
	}

	return e.load(l, &fleet.Attempt{}, time.Now()), true
}

// Changed returns a channel that receives a value after Upstreams changed.
// Changes that nobody received yet are merged into one value.
func (e *Egress) Changed() <-chan struct{} { return e.changed }

func (e *Egress) notify() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Egress) state(l *lane) fleet.UpstreamState {
	if _, drained := e.drains[l.upstream.Name]; drained || e.stopping {
		return fleet.Draining
	}

	return l.upstream.State
}

func (e *Egress) remove(l *lane) {
	e.logUpstream("upstream gone", l.upstream)
	l.announced = false
	e.drainQueue(l, fleet.ReasonNoUpstream, "the upstream is gone")
	e.forget(l)
	e.notify()
}

// forget deletes a lane that is not announced, once nothing runs in it. Until
// then it keeps the slots of an upstream that comes back from being overrun.
func (e *Egress) forget(l *lane) {
	if !l.announced && l.inFlight == 0 {
		delete(e.lanes, l.upstream.Name)
	}
}

func (e *Egress) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.base.Done():
			return
		case <-ticker.C:
			e.sweep()
		}
	}
}

func (e *Egress) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, l := range e.lanes {
		if l.announced && now.Sub(l.announcedAt) >= e.settings.AnnounceTimeout {
			e.remove(l)
			e.counters.Add("UpstreamsSilent", 1)
		}
	}
	e.registry.ExpireKeys(now)
}
