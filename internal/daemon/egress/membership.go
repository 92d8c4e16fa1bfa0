package egress

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
)

// Announce adds or renews an upstream. One that announces Draining gets no new
// attempts, and its queued ones are refused as not run.
func (e *Egress) Announce(upstream fleet.Upstream) fleet.AnnounceResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	l := e.lanes[upstream.Name]
	if l == nil {
		if len(e.lanes) >= maxUpstreams {
			return fleet.NoRoom
		}
		l = &lane{queue: queue.New(e.settings.QueueCapacity)}
		e.lanes[upstream.Name] = l
	}
	old := l.upstream
	if l.announced && (old.Service != upstream.Service || old.Address != upstream.Address) {
		return fleet.NameTaken
	}
	upstream.StateSince = now
	if l.announced && old.State == upstream.State {
		upstream.StateSince = old.StateSince
	}
	changed := !l.announced || old != upstream
	l.upstream, l.announced, l.announcedAt = upstream, true, now
	if e.state(l) == fleet.Draining {
		e.drainQueue(l, fleet.ReasonDraining, "the upstream is draining")
	}
	if changed {
		e.notify()
	}
	e.dispatch(l)

	return fleet.Announced
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
		if l.announced && now.Sub(l.announcedAt) >= announceTimeout {
			e.remove(l)
			e.counters.Add("UpstreamsSilent", 1)
		}
	}
	e.registry.Expire(now)
}
