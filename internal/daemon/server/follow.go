package server

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// startForwarding starts the goroutines that forward changes between the components
// of the daemon, one for each kind of change. They end with ctx.
func (d *Daemon) startForwarding(ctx context.Context) {
	d.goroutines.Go(func() { d.forwardEntries(ctx, fleet.KindMember, d.applyMember) })
	d.goroutines.Go(func() { d.forwardEntries(ctx, fleet.KindKey, d.applyKey) })
	d.goroutines.Go(func() { d.forwardEntries(ctx, fleet.KindDrain, d.applyDrain) })
	d.goroutines.Go(func() { d.forwardConfiguration(ctx) })
	d.goroutines.Go(func() { d.forwardUpstreams(ctx) })
	d.goroutines.Go(func() { d.pruneDirectory(ctx) })
}

// forwardEntries calls apply with each replicated entry of a kind: first with the
// entries that already exist, then with each change, until ctx ends.
func (d *Daemon) forwardEntries(ctx context.Context, kind fleet.EntryKind, apply func(fleet.Entry)) {
	changes, unsubscribe := d.membership.Subscribe(kind)
	defer unsubscribe()

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

// applyMember updates the directory from a replicated member entry.
func (d *Daemon) applyMember(entry fleet.Entry) {
	if d.directory.Update(entry) {
		return
	}

	d.unusableMembers.Add(1)

	if d.problems.IsNew(entry.Key, time.Now()) {
		d.log.Warn("ignoring unusable parts of a member entry", "daemon", entry.Key, "incarnation", entry.Incarnation)
	}
}

// applyKey updates the key table from a replicated key entry. After a withdrawal
// the ingress rechecks running answers at once.
func (d *Daemon) applyKey(entry fleet.Entry) {
	var key peerpb.Key

	hash, ok := keys.ParseHash(entry.Key)
	if !ok || proto.Unmarshal(entry.Value, &key) != nil {
		d.log.Warn("ignoring malformed key entry", "hash", entry.Key)

		return
	}

	status := keys.Valid
	if key.GetWithdrawn() {
		status = keys.Withdrawn
	}

	if d.keys.Apply(hash, key.GetClientAccount(), status) && status == keys.Withdrawn {
		d.ingress.RecheckStreams()
	}
}

// applyDrain forwards an operator's drain or undrain of an upstream to the egress.
func (d *Daemon) applyDrain(entry fleet.Entry) {
	var drain peerpb.Drain

	if proto.Unmarshal(entry.Value, &drain) != nil {
		d.log.Warn("ignoring malformed drain entry", "upstream", entry.Key)

		return
	}

	// Every daemon records the drain, because the upstream may announce itself to
	// any daemon later.
	if drain.GetDraining() {
		d.egress.Drain(entry.Key)
	} else {
		d.egress.Undrain(entry.Key)
	}
}

// forwardConfiguration passes each installed configuration to the limiter and the
// ingress, and its version to the membership, until ctx ends.
func (d *Daemon) forwardConfiguration(ctx context.Context) {
	changes, unsubscribe := d.loader.Subscribe()
	defer unsubscribe()

	for {
		if configuration := d.loader.Current(); configuration != nil {
			d.limits.Configure(configuration)
			d.ingress.Configure(configuration)
			d.membership.SetConfigurationVersion(configuration.Version)
		}

		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
	}
}

// forwardUpstreams publishes the local upstreams to the membership after each
// change, until ctx ends.
func (d *Daemon) forwardUpstreams(ctx context.Context) {
	for {
		d.membership.SetUpstreams(d.egress.Upstreams())

		select {
		case <-ctx.Done():
			return
		case <-d.egress.Changed():
		}
	}
}

// pruneDirectory periodically removes upstreams of members that the membership no
// longer lists, until ctx ends.
func (d *Daemon) pruneDirectory(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.directory.Prune()
		}
	}
}

// Contact returns the times of the daemon's last exchanges with the store and with
// peers. They determine whether its key table is recent enough to accept keys.
func (d *Daemon) Contact() keys.Contact {
	contact := d.membership.LastContact()
	if d.onPlatform() && !d.settings.Bounds.RefuseIsolated {
		// On the platform, keys must keep working at a daemon that is cut off from
		// the fleet, unless Bounds.RefuseIsolated is set.
		return keys.Contact{Store: time.Now()}
	}

	return keys.Contact{
		Store: d.loader.LastKeyRead(), Peer: contact.AnyPeer, OtherZone: contact.OtherZone,
		KnowsPeers: contact.KnewPeer, KnowsOtherZones: contact.KnewOtherZone,
	}
}

// configurationDelay returns the time within which a change of the configuration must be in
// force.
func (d *Daemon) configurationDelay() time.Duration {
	return cmp.Or(d.settings.Bounds.ConfigurationDelay, configurationDelay)
}

// ConfigurationIsCurrent reports whether the daemon would have heard of a newer
// configuration that must be in force by now. Both times are those at which an exchange
// began, so an answer that waited while the daemon stood still does not count as recent.
// A call of the store may be a watch, which the store holds for a part of the delay.
func (d *Daemon) ConfigurationIsCurrent() bool {
	delay := d.configurationDelay()

	return time.Since(d.membership.LastPeerContact()) <= delay || time.Since(d.loader.LastConfigurationRead()) <= delay+delay/2
}

// IsRelay reports whether this daemon is a relay: one of those that watch the store
// for their availability zone and pass changes on to the others.
func (d *Daemon) IsRelay() bool { return d.membership.IsRelay() }

// LastPeerContact returns when another daemon last answered, or the zero time.
func (d *Daemon) LastPeerContact() time.Time { return d.membership.LastPeerContact() }

// coalescedEntries adapts the membership's subscriptions, which deliver entries, to
// subscriptions that deliver one value after any number of changes.
type coalescedEntries struct {
	*Daemon
}

// Publish merges an entry into the replicated set.
func (s coalescedEntries) Publish(entry fleet.Entry) { s.membership.Publish(entry) }

// Range calls visit for each entry of a kind.
func (s coalescedEntries) Range(kind fleet.EntryKind, visit func(fleet.Entry)) {
	s.membership.Range(kind, visit)
}

// Subscribe returns a channel that receives a value after entries of the kind
// changed, and a function that ends the subscription. Changes that were not
// received yet are merged into one value.
func (s coalescedEntries) Subscribe(kind fleet.EntryKind) (<-chan struct{}, func()) {
	changes, unsubscribe := s.membership.Subscribe(kind)
	changed := make(chan struct{}, 1)

	go func() {
		for range changes {
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	}()

	return changed, unsubscribe
}

// pruneInterval is the time between two removals of forgotten members. It is far
// shorter than the time in which all daemons of a fleet of the present size are
// replaced, so that few stale members accumulate.
const pruneInterval = time.Minute

// joinTimeout is how long a starting daemon waits for the first peer to answer
// before it continues without peers.
const joinTimeout = 2 * time.Second
