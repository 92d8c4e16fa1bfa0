package egress

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pace"
)

// observeSignals applies and logs what an upstream says about itself in the answer to an
// attempt that started at the given time. The caller holds mu.
func (e *Egress) observeSignals(u *localUpstream, signals fleet.UpstreamSignals, startedAt, now time.Time) {
	if signals.Leaving && !u.leaving {
		u.leaving = true
		e.counters.Add("UpstreamsLeaving", 1)
		e.logUpstream("upstream says that it leaves", u.announcement)
		u.announcement.StateSince = now
		e.drainQueue(u, fleet.ReasonDraining, "the upstream says that it leaves")
		e.notify()
	}
	switch {
	case signals.HasLimit && signals.Limit >= 0:
		u.limitNamedAt = now
		if u.pace == nil || u.limit != signals.Limit {
			e.setLimit(u, signals.Limit, now)
		}
	case !signals.HasLimit && u.pace != nil && startedAt.After(u.limitNamedAt):
		// Answers to attempts that started earlier may have been made before the limit.
		e.log.Info("upstream no longer names a limit", "upstream", u.announcement.Name, "service", u.announcement.Service,
			"run", u.announcement.Incarnation, "before", u.limit, "named", now.Sub(u.limitNamedAt))
		u.pace = nil
		e.startQueued(u)
	}
}

// setLimit spaces the requests to an upstream so that it gets at most limit a second. This
// daemon is the only one that sends it any. The caller holds mu.
func (e *Egress) setLimit(u *localUpstream, limit float64, now time.Time) {
	e.counters.Add("UpstreamLimits", 1)
	e.log.Info("upstream named a limit", "upstream", u.announcement.Name, "service", u.announcement.Service,
		"run", u.announcement.Incarnation, "limit", limit, "was_limited", u.pace != nil, "before", u.limit)
	u.limit = limit
	if u.pace == nil {
		u.pace = pace.New(limit, now)
	} else {
		u.pace.SetRate(limit, now)
	}
	e.startQueued(u)
}

// paceWait returns how long the limit of an upstream delays an attempt behind the given
// number of others, or 0 if it has none.
func (u *localUpstream) paceWait(ahead float64, now time.Time) time.Duration {
	if u.pace == nil {
		return 0
	}

	return u.pace.Wait(ahead, now)
}

// startQueuedAfter starts queued attempts of an upstream after a delay. The caller holds mu.
func (e *Egress) startQueuedAfter(u *localUpstream, delay time.Duration) {
	if u.paceTimer != nil {
		u.paceTimer.Stop()
	}
	u.paceTimer = time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.startQueued(u)
	})
}
