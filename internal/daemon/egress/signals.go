package egress

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// observeSignals records and logs what an upstream says about itself in the answer to an
// attempt that started at the given time. The caller holds mu.
func (e *Egress) observeSignals(u *localUpstream, signals fleet.UpstreamSignals, startedAt, now time.Time) {
	if signals.Leaving && !u.leaving {
		u.leaving = true
		e.counters.Add("UpstreamsLeaving", 1)
		e.logUpstream("upstream says that it leaves", u.announcement)
	}
	switch {
	case signals.HasLimit && signals.Limit >= 0:
		u.limitNamedAt = now
		if !u.limited || u.limit != signals.Limit {
			e.log.Info("upstream named a limit", "upstream", u.announcement.Name, "service", u.announcement.Service,
				"run", u.announcement.Incarnation, "limit", signals.Limit, "was_limited", u.limited, "before", u.limit)
		}
		u.limited, u.limit = true, signals.Limit
	case !signals.HasLimit && u.limited && startedAt.After(u.limitNamedAt):
		// Answers to attempts that started earlier may have been made before the limit.
		e.log.Info("upstream no longer names a limit", "upstream", u.announcement.Name, "service", u.announcement.Service,
			"run", u.announcement.Incarnation, "before", u.limit, "named", now.Sub(u.limitNamedAt))
		u.limited, u.limit = false, 0
	}
}
