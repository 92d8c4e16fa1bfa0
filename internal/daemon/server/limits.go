package server

import (
	"context"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/platform"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/core/lease"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/limits"
)

func (d *Server) startLimits() {
	self := lease.Member{
		Name: d.settings.Name, Incarnation: d.membership.Incarnation(),
		AvailabilityZone: d.settings.AvailabilityZone, PeerAddress: d.settings.PeerAddress,
	}

	limiter, cleanUp := limits.New(self, groups, d.network, seatStore{d.store}, liveMembers{d}, entriesPort{d}, newRandom())
	d.limits = limiter
	d.onClose(cleanUp)
}

// releaseTimeout is several times the life of a grant, after which a lease can
// be released. A lease that was not released expires by itself.
const releaseTimeout = 3 * time.Second

func (d *Server) stopLimits(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()

	d.limits.Stop(ctx)
}

// seatStore adapts the store for the seats of the limits.
type seatStore struct {
	client *platform.Client
}

// Get returns the value and the version of an object.
func (s seatStore) Get(ctx context.Context, kind, name string) ([]byte, uint64, limits.StoreOutcome) {
	object, outcome := s.client.Get(ctx, kind, name)

	return object.Value, object.Version, seatOutcome(outcome)
}

// Put replaces the object of the given version, or creates it if that is 0.
func (s seatStore) Put(ctx context.Context, kind, name string, value []byte, version uint64) limits.StoreOutcome {
	return seatOutcome(s.client.Put(ctx, fleet.Object{Kind: kind, Name: name, Value: value}, fleet.Condition{Version: version}))
}

func seatOutcome(outcome fleet.StoreOutcome) limits.StoreOutcome {
	switch outcome {
	case fleet.StoreOK:
		return limits.OK
	case fleet.StoreNotFound:
		return limits.NotFound
	case fleet.StoreConflict:
		return limits.Conflict
	case fleet.StoreAmbiguous:
		return limits.Ambiguous
	case fleet.StoreUnavailable, fleet.StoreRejected:
	}

	return limits.Unavailable
}

// liveMembers lists the members that are not faulty or leaving.
type liveMembers struct {
	*Server
}

// Live returns the live daemons, this one included.
func (l liveMembers) Live() []lease.Member {
	var live []lease.Member

	for _, member := range l.membership.Members() {
		if member.Status == gossip.Faulty || member.Leaving {
			continue
		}

		live = append(live, lease.Member{
			Name: member.Name, Incarnation: member.Incarnation,
			AvailabilityZone: member.AvailabilityZone, PeerAddress: member.PeerAddress,
		})
	}

	return live
}

// Lookup returns an entry of the replicated set.
func (e entriesPort) Lookup(kind fleet.EntryKind, key string) (fleet.Entry, bool) {
	return e.membership.Get(kind, key)
}
