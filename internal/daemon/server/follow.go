package server

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// follow starts one goroutine for each thing that is passed on between the
// parts of the daemon.
func (s *Daemon) follow(ctx context.Context) {
	s.running.Go(func() { s.entries(ctx, fleet.KindMember, s.directory.Update) })
	s.running.Go(func() { s.entries(ctx, fleet.KindKey, s.applyKey) })
	s.running.Go(func() { s.entries(ctx, fleet.KindDrain, s.applyDrain) })
	s.running.Go(func() { s.followConfiguration(ctx) })
	s.running.Go(func() { s.followUpstreams(ctx) })
	s.running.Go(func() { s.prune(ctx) })
}

// entries passes on the entries of a kind, first those that are known.
func (s *Daemon) entries(ctx context.Context, kind fleet.EntryKind, apply func(fleet.Entry)) {
	changes, end := s.membership.Subscribe(kind)
	defer end()

	for {
		select {
		case <-ctx.Done():
			return
		case entry, ok := <-changes:
			if !ok {
				return
			}

			apply(entry)
		}
	}
}

func (s *Daemon) applyKey(entry fleet.Entry) {
	var key peerpb.Key

	hash, ok := keys.ParseHash(entry.Key)
	if !ok || proto.Unmarshal(entry.Value, &key) != nil {
		s.log.Warn("malformed key entry", "hash", entry.Key)

		return
	}

	status := keys.Valid
	if key.GetWithdrawn() {
		status = keys.Withdrawn
	}

	if s.keys.Apply(hash, key.GetClientAccount(), status) && status == keys.Withdrawn {
		s.ingress.RecheckStreams()
	}
}

// applyDrain respects an operator's drain of a local upstream.
func (s *Daemon) applyDrain(entry fleet.Entry) {
	var drain peerpb.Drain

	if proto.Unmarshal(entry.Value, &drain) != nil {
		s.log.Warn("malformed drain entry", "upstream", entry.Key)

		return
	}

	// Every daemon respects it, since an upstream may announce itself later.
	if drain.GetDraining() {
		s.egress.Drain(entry.Key)
	} else {
		s.egress.Undrain(entry.Key)
	}
}

func (s *Daemon) followConfiguration(ctx context.Context) {
	changes, end := s.loader.Subscribe()
	defer end()

	for {
		if configuration := s.loader.Current(); configuration != nil {
			s.limits.Configure(configuration)
			s.ingress.Configure(configuration)
			s.membership.SetConfigurationVersion(configuration.Version)
		}

		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

func (s *Daemon) followUpstreams(ctx context.Context) {
	for {
		s.membership.SetUpstreams(s.egress.Upstreams())

		select {
		case <-ctx.Done():
			return
		case <-s.egress.Changed():
		}
	}
}

// prune drops members that membership has forgotten.
func (s *Daemon) prune(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.directory.Prune()
		}
	}
}

// Contact tells how fresh the daemon's knowledge of keys is.
func (s *Daemon) Contact() keys.Contact {
	contact := s.membership.LastContact()
	if s.onPlatform() && !s.settings.Bounds.RefuseIsolated {
		// The platform prefers that keys go on working at a daemon that is cut off.
		return keys.Contact{Store: time.Now()}
	}

	return keys.Contact{
		Store: s.loader.LastKeyRead(), Peer: contact.AnyPeer, OtherZone: contact.OtherZone,
		KnowsPeers: contact.KnewPeer, KnowsOtherZones: contact.KnewOtherZone,
	}
}

// IsRelay reports whether this daemon watches the store for its availability
// zone.
func (s *Daemon) IsRelay() bool { return s.membership.IsRelay() }

// signals adapts subscriptions to entries to those that only tell that
// something changed.
type signals struct {
	*Daemon
}

// Publish merges an entry into the set.
func (s signals) Publish(entry fleet.Entry) { s.membership.Publish(entry) }

// Range calls visit for each entry of a kind.
func (s signals) Range(kind fleet.EntryKind, visit func(fleet.Entry)) {
	s.membership.Range(kind, visit)
}

// Subscribe returns a channel that receives after entries of the kind changed.
func (s signals) Subscribe(kind fleet.EntryKind) (<-chan struct{}, func()) {
	changes, end := s.membership.Subscribe(kind)
	changed := make(chan struct{}, 1)

	go func() {
		for range changes {
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	}()

	return changed, end
}

// pruneInterval is far below the time in which a fleet of today's size is
// replaced once.
const pruneInterval = time.Minute

// joinTimeout is how long a starting daemon waits for a peer before it serves
// without one.
const joinTimeout = 2 * time.Second
