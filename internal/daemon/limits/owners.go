package limits

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// initialOwnersDelay is the time from the start until this daemon may write the
	// initial owners. It lets daemons that start together discover each other first.
	initialOwnersDelay = 1500 * time.Millisecond
	// storeTimeout is the time limit of one call to the store, which usually answers
	// within milliseconds.
	storeTimeout = 2 * time.Second
	// ownersReadInterval is the interval at which the owners are read from the store
	// while they are unknown.
	ownersReadInterval = time.Second
)

// manageOwners passes the live members to the pools and updates the owners in the
// store, until the limiter stops.
func (l *Limiter) manageOwners() {
	startedAt, readAt := time.Now(), time.Time{}
	var ranked []string
	for {
		live := l.Members.Live()
		slices.Sort(live)
		if !slices.Equal(live, ranked) {
			ranked = live
			l.setCandidates(live)
		}
		if l.syncOwners() == 0 {
			if time.Since(readAt) >= ownersReadInterval {
				readAt = time.Now()
				l.readOrCreateOwners(live, time.Since(startedAt) >= initialOwnersDelay)
			}
		} else if proposal := l.proposeOwners(live); proposal != nil {
			l.replaceOwners(proposal)
		}
		wait := memberInterval
		if !l.allGroupsHaveGranter() {
			wait = granterSearchInterval
		}
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// allGroupsHaveGranter reports whether each group has a granter that is known to have a
// majority.
func (l *Limiter) allGroupsHaveGranter() bool {
	return !slices.ContainsFunc(l.groups, func(g *group) bool {
		g.mu.Lock()
		defer g.mu.Unlock()

		return !g.pool.HasMajorityGranter(l.Clock.Now())
	})
}

// setCandidates makes the live daemons the candidates for granters of all groups.
func (l *Limiter) setCandidates(live []string) {
	for _, g := range l.groups {
		ranked := pool.RankDaemons(g.number, live)
		g.mu.Lock()
		g.pool.SetCandidates(ranked)
		g.mu.Unlock()
		g.wake()
	}
}

// syncOwners installs the owners of the highest epoch that any group knows in all
// groups, and returns that epoch, or 0 if no owners are known.
func (l *Limiter) syncOwners() uint64 {
	newest := &peerpb.Owners{}
	for _, g := range l.groups {
		g.mu.Lock()
		if owners := g.pool.Owners(); owners.GetEpoch() > newest.GetEpoch() {
			newest = owners
		}
		g.mu.Unlock()
	}
	l.updateOwners(newest)

	return newest.GetEpoch()
}

// updateOwners installs owners in all groups that know a lower epoch.
func (l *Limiter) updateOwners(owners *peerpb.Owners) {
	for _, g := range l.groups {
		g.mu.Lock()
		g.pool.UpdateOwners(l.Clock.Now(), owners)
		g.mu.Unlock()
	}
}

// proposeOwners returns the owners that should replace the present ones, or nil. Only
// the daemon with a majority in group 0 proposes owners.
func (l *Limiter) proposeOwners(live []string) *peerpb.Owners {
	g := l.groups[0]
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.pool.ProposeOwners(l.Clock.Now(), live)
}

// readOrCreateOwners reads the owners from the store. If there are none and mayCreate
// is true, it writes the initial ones.
func (l *Limiter) readOrCreateOwners(live []string, mayCreate bool) {
	owners, _, outcome := l.readOwners()
	switch {
	case outcome == fleet.StoreOK:
		l.updateOwners(owners)
	case outcome == fleet.StoreNotFound && mayCreate && len(live) > 0:
		l.writeOwners(pool.InitialOwners(live), fleet.IfAbsent)
	}
}

// replaceOwners writes the proposed owners if the store has those of the preceding
// epoch.
func (l *Limiter) replaceOwners(proposal *peerpb.Owners) {
	found, version, outcome := l.readOwners()
	switch {
	case outcome != fleet.StoreOK:
	case found.GetEpoch() >= proposal.GetEpoch():
		l.updateOwners(found)
	case found.GetEpoch()+1 == proposal.GetEpoch():
		l.writeOwners(proposal, fleet.IfVersion(version))
	}
}

// writeOwners writes owners to the store and installs them. If the write fails, or its
// answer is lost, it installs the owners that it then reads from the store.
func (l *Limiter) writeOwners(owners *peerpb.Owners, condition fleet.Condition) {
	value, err := proto.Marshal(owners)
	if err != nil {
		panic("limits: encode owners: " + err.Error()) // fails only for invalid UTF-8
	}
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	outcome := l.Store.Put(ctx, fleet.Object{Kind: OwnersKind, Name: OwnersName, Value: value}, condition)
	if outcome == fleet.StoreOK {
		l.Log.Info("owners written", "epoch", owners.GetEpoch(), "owners", len(owners.GetNames()), "added", owners.GetAdded())
		l.updateOwners(owners)

		return
	}
	l.Log.Warn("owners not written", "epoch", owners.GetEpoch(), "outcome", outcome.String())
	if found, _, outcome := l.readOwners(); outcome == fleet.StoreOK {
		l.updateOwners(found)
	}
}

// readOwners reads the owners and the version of their object from the store. Invalid
// owners give StoreRejected.
func (l *Limiter) readOwners() (*peerpb.Owners, uint64, fleet.StoreOutcome) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	object, outcome := l.Store.Get(ctx, OwnersKind, OwnersName)
	if outcome != fleet.StoreOK {
		return nil, 0, outcome
	}
	owners := &peerpb.Owners{}
	if err := proto.Unmarshal(object.Value, owners); err != nil || owners.GetEpoch() == 0 {
		l.Log.Error("cannot decode owners in the store", "kind", OwnersKind, "version", object.Version, "error", err)

		return nil, 0, fleet.StoreRejected
	}

	return owners, object.Version, outcome
}
