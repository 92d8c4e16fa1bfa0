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
	// settle lets daemons that start together find each other before the first
	// owners are named.
	settle = 1500 * time.Millisecond
	// storeTimeout bounds one call of the store, which answers in milliseconds.
	storeTimeout = 2 * time.Second
	// readRetry is the time between reads of the owners while they are unknown.
	readRetry = time.Second
)

// manage follows the members and keeps the owners in the store.
func (l *Limiter) manage() {
	began, readAt := time.Now(), time.Time{}
	var ranked []string
	for {
		live := l.Members.Live()
		slices.Sort(live)
		if !slices.Equal(live, ranked) {
			ranked = live
			l.rank(live)
		}
		if l.epoch() == 0 {
			if time.Since(readAt) >= readRetry {
				readAt = time.Now()
				l.find(live, time.Since(began) >= settle)
			}
		} else if proposal := l.proposal(live); proposal != nil {
			l.replace(proposal)
		}
		wait := memberTick
		if !l.settled() {
			wait = searchTick
		}
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// settled reports whether a daemon is known to grant in each group.
func (l *Limiter) settled() bool {
	return !slices.ContainsFunc(l.slots, func(s *slot) bool {
		s.mu.Lock()
		defer s.mu.Unlock()

		return !s.pool.HasMajorityGranter(l.Clock.Now())
	})
}

func (l *Limiter) rank(live []string) {
	for _, s := range l.slots {
		ranked := pool.RankDaemons(s.number, live)
		s.mu.Lock()
		s.pool.SetCandidates(ranked)
		s.mu.Unlock()
		s.wake()
	}
}

// epoch returns the highest epoch that any group knows, and tells the others.
func (l *Limiter) epoch() uint64 {
	newest := &peerpb.Owners{}
	for _, s := range l.slots {
		s.mu.Lock()
		if owners := s.pool.Owners(); owners.GetEpoch() > newest.GetEpoch() {
			newest = owners
		}
		s.mu.Unlock()
	}
	l.learn(newest)

	return newest.GetEpoch()
}

func (l *Limiter) learn(owners *peerpb.Owners) {
	for _, s := range l.slots {
		s.mu.Lock()
		s.pool.UpdateOwners(l.Clock.Now(), owners)
		s.mu.Unlock()
	}
}

// proposal returns the owners that should replace the present ones, or nil. The
// daemon with the majority in the first group takes care of them.
func (l *Limiter) proposal(live []string) *peerpb.Owners {
	s := l.slots[0]
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.pool.ProposeOwners(l.Clock.Now(), live)
}

// find reads the owners, and names the first ones if there are none.
func (l *Limiter) find(live []string, settled bool) {
	owners, _, outcome := l.read()
	switch {
	case outcome == fleet.StoreOK:
		l.learn(owners)
	case outcome == fleet.StoreNotFound && settled && len(live) > 0:
		l.write(pool.InitialOwners(live), fleet.IfAbsent)
	}
}

// replace puts other owners in place of the present ones, if the store has these.
func (l *Limiter) replace(proposal *peerpb.Owners) {
	found, version, outcome := l.read()
	switch {
	case outcome != fleet.StoreOK:
	case found.GetEpoch() >= proposal.GetEpoch():
		l.learn(found)
	case found.GetEpoch()+1 == proposal.GetEpoch():
		l.write(proposal, fleet.IfVersion(version))
	}
}

// write puts owners into the store and reads back what it has, also if the answer
// was lost.
func (l *Limiter) write(owners *peerpb.Owners, condition fleet.Condition) {
	value, err := proto.Marshal(owners)
	if err != nil {
		panic("encoding the owners: " + err.Error()) // only invalid UTF-8 fails
	}
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	outcome := l.Store.Put(ctx, fleet.Object{Kind: OwnersKind, Name: OwnersName, Value: value}, condition)
	if outcome == fleet.StoreOK {
		l.Log.Info("owners written", "epoch", owners.GetEpoch(), "owners", len(owners.GetNames()), "added", owners.GetAdded())
		l.learn(owners)

		return
	}
	l.Log.Warn("owners not written", "epoch", owners.GetEpoch(), "outcome", outcome.String())
	if found, _, outcome := l.read(); outcome == fleet.StoreOK {
		l.learn(found)
	}
}

func (l *Limiter) read() (*peerpb.Owners, uint64, fleet.StoreOutcome) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	object, outcome := l.Store.Get(ctx, OwnersKind, OwnersName)
	if outcome != fleet.StoreOK {
		return nil, 0, outcome
	}
	owners := &peerpb.Owners{}
	if err := proto.Unmarshal(object.Value, owners); err != nil || owners.GetEpoch() == 0 {
		l.Log.Error("owners in the store cannot be read", "kind", OwnersKind, "version", object.Version, "error", err)

		return nil, 0, fleet.StoreRejected
	}

	return owners, object.Version, outcome
}
