package server

import (
	"context"
	"time"

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

	limiter, cleanUp := limits.New(self, groups, d.network, d.store, liveMembers{d}, entriesPort{d}, newRandom())
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
