package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/egress"
)

const (
	// recordTimeout is how long an announcement that ends an upstream's service waits for
	// the store. Upstreams wait for a second for their acknowledgement.
	recordTimeout = 700 * time.Millisecond
	// confirmInterval is the least time between two announcements of which the second shows
	// that the upstream goes on. Announcements that were held up together arrive together.
	confirmInterval = time.Second
	// maxUnconfirmed bounds the upstreams whose first announcements are remembered.
	maxUnconfirmed = 512
)

// departureRecord keeps the departures of upstreams beyond the end of the daemon's process.
type departureRecord interface {
	// RecordDepartures reports whether the departures are kept.
	RecordDepartures(ctx context.Context, departures []fleet.Departure) bool
	// Restored returns a channel that is closed when the departures that earlier runs of
	// the daemon have recorded are known.
	Restored() <-chan struct{}
	// Departures returns the recorded departures.
	Departures() []fleet.Departure
}

// announcer passes announcements of local upstreams to the egress. It acknowledges the end of
// an upstream's service only once it is recorded, since a late announcement would bring the
// upstream back after a restart of the daemon. As long as the departures that earlier runs
// have recorded are not known, it takes an upstream that is older than the daemon only when
// two announcements show that the upstream goes on. It is safe for concurrent use.
type announcer struct {
	*egress.Egress
	record departureRecord
	log    *slog.Logger
	// startedAt is the start of the daemon in milliseconds of Unix time, as incarnations
	// of upstreams are.
	startedAt uint64
	// restore passes the departures of earlier runs to the egress, once.
	restore func()

	// mu guards unconfirmed, which has the first announcements by name.
	mu          sync.Mutex
	unconfirmed map[string]firstAnnouncement
}

// firstAnnouncement is the first announcement of a run of an upstream that this daemon got.
type firstAnnouncement struct {
	incarnation, sequence uint64
	at                    time.Time
}

func newAnnouncer(e *egress.Egress, record departureRecord, startedAt time.Time, log *slog.Logger) *announcer {
	return &announcer{
		Egress: e, record: record, log: log, startedAt: uint64(max(startedAt.UnixMilli(), 0)), //nolint:gosec // not negative
		restore:     sync.OnceFunc(func() { e.RestoreDepartures(record.Departures()) }),
		unconfirmed: map[string]firstAnnouncement{},
	}
}

// Announce registers an upstream or renews its registration. A first announcement as Draining
// is recorded.
func (a *announcer) Announce(ctx context.Context, upstream fleet.Upstream) fleet.AnnounceResult {
	if !a.isConfirmed(upstream, time.Now()) {
		return fleet.Unconfirmed
	}

	result := a.Egress.Announce(upstream)
	if result == fleet.Announced && upstream.State == fleet.Draining {
		return a.recordDepartures(ctx)
	}

	return result
}

// Deregister removes a run of an upstream and records its departure.
func (a *announcer) Deregister(ctx context.Context, name string, incarnation uint64) fleet.AnnounceResult {
	a.Egress.Deregister(name, incarnation)

	return a.recordDepartures(ctx)
}

func (a *announcer) recordDepartures(ctx context.Context) fleet.AnnounceResult {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()

	if !a.record.RecordDepartures(ctx, a.Departures()) {
		a.log.Warn("departure not acknowledged: it is not recorded yet")

		return fleet.Unrecorded
	}

	return fleet.Announced
}

// isConfirmed reports whether an announcement can be believed to be later than all departures
// that earlier runs of the daemon have acknowledged, or can be compared with them.
func (a *announcer) isConfirmed(upstream fleet.Upstream, now time.Time) bool {
	select {
	case <-a.record.Restored():
		a.restore()

		return true
	default:
	}

	if upstream.Incarnation >= a.startedAt || upstream.State == fleet.Draining {
		return true
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	first, known := a.unconfirmed[upstream.Name]

	switch {
	case known && first.incarnation == upstream.Incarnation:
		isLater := upstream.Sequence > first.sequence || upstream.Sequence == 0

		return isLater && now.Sub(first.at) >= confirmInterval
	case known && first.incarnation > upstream.Incarnation:
		return false
	case known || len(a.unconfirmed) < maxUnconfirmed:
		a.unconfirmed[upstream.Name] = firstAnnouncement{upstream.Incarnation, upstream.Sequence, now}
		a.log.Info("announcement not confirmed: recorded departures are not known yet", "upstream", upstream.Name,
			"run", upstream.Incarnation, "sequence", upstream.Sequence)
	}

	return false
}

// restoreWhenKnown passes the departures of earlier runs to the egress when they are known,
// or ends with ctx.
func (a *announcer) restoreWhenKnown(ctx context.Context) {
	select {
	case <-a.record.Restored():
		a.restore()
	case <-ctx.Done():
	}
}
