package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// catchUpPeers is the number of random peers to synchronize with after a gap. One
	// is not enough: daemons that were paused together have missed the same changes.
	catchUpPeers = 4
	// catchUpTimeout bounds the wait for peers that do not answer. It leaves most of
	// keys.FreshnessLimit for using what was received.
	catchUpTimeout = 500 * time.Millisecond
)

// Contact holds the times of the last completed exchanges that this daemon started
// with its peers. Each is the time at which the exchange started: an answer may have
// waited unread while the daemon was paused, so the time of its receipt does not show
// how old its content is.
type Contact struct {
	// AnyPeer is the time of the last exchange with any peer, OtherZone that of the last
	// one with a peer in another availability zone. They are zero if there was no such
	// exchange.
	AnyPeer, OtherZone time.Time
	// KnewPeer reports whether the daemon has known any other member since its start,
	// KnewOtherZone whether it has known one in another availability zone. They stay true
	// when all such members are faulty or forgotten, so that an isolated daemon does not
	// take itself for the only one.
	KnewPeer, KnewOtherZone bool
}

// LastContact returns the times of this daemon's last completed exchanges.
func (m *Membership) LastContact() Contact {
	m.contactMu.Lock()
	defer m.contactMu.Unlock()

	return m.contact
}

// LastPeerContact returns the time of the last completed exchange with any peer, or the
// zero time.
func (m *Membership) LastPeerContact() time.Time { return m.LastContact().AnyPeer }

// recordContact records a completed exchange by the time at which it started. After
// a gap of more than keys.FreshnessLimit it starts a catch-up instead: peers send no
// rumors to a member that they regard as faulty, so the daemon may have missed changes
// that the exchange did not contain.
func (m *Membership) recordContact(startedAt time.Time, otherZone bool) {
	m.contactMu.Lock()
	defer m.contactMu.Unlock()
	if startedAt.Sub(m.contact.AnyPeer) > keys.FreshnessLimit || otherZone && startedAt.Sub(m.contact.OtherZone) > keys.FreshnessLimit {
		signal(m.gapDetected)

		return
	}
	m.contact.record(startedAt, otherZone)
}

// record sets the times to the start of a completed exchange, unless they are later
// already.
func (c *Contact) record(startedAt time.Time, otherZone bool) {
	if startedAt.After(c.AnyPeer) {
		c.AnyPeer = startedAt
	}
	if otherZone && startedAt.After(c.OtherZone) {
		c.OtherZone = startedAt
	}
}

// inOtherZone reports whether a daemon is known to be in another availability zone.
func (m *Membership) inOtherZone(daemon string) bool {
	var zone string
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { zone = node.Zone(daemon) })

	return zone != "" && zone != m.settings.AvailabilityZone
}

// catchUp synchronizes with several peers after a gap. It records the contact with
// those that answered, after all have answered or catchUpTimeout has passed.
func (m *Membership) catchUp() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.gapDetected:
		}
		var peers []string
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) {
			peers = node.Peers(catchUpPeers)
			// After a long gap this daemon may regard all others as faulty, so that
			// Peers returns none. Its keys are fresh again only after contact with
			// another availability zone.
			for _, peer := range node.ZonePeers(refreshZones) {
				if !slices.Contains(peers, peer) {
					peers = append(peers, peer)
				}
			}
		})
		startedAt := time.Now()
		ctx, cancel := context.WithTimeout(m.ctx, catchUpTimeout)
		var (
			calls        sync.WaitGroup
			mu           sync.Mutex
			synchronized []string
		)
		for _, peer := range peers {
			calls.Go(func() {
				if m.synchronizeFully(ctx, peer) {
					mu.Lock()
					defer mu.Unlock()
					synchronized = append(synchronized, peer)
				}
			})
		}
		calls.Wait()
		cancel()
		for _, peer := range synchronized {
			otherZone := m.inOtherZone(peer)
			m.contactMu.Lock()
			m.contact.record(startedAt, otherZone)
			m.contactMu.Unlock()
		}
	}
}

// synchronizeFully repeats the exchange until the peer has no further entries. It
// reports false if an exchange failed or joinExchanges were not enough.
func (m *Membership) synchronizeFully(ctx context.Context, peer string) bool {
	call := func(frame *peerpb.Frame) (*peerpb.Frame, bool) { return m.peers.Call(ctx, peer, frame) }
	for range joinExchanges {
		more, ok := m.replica.Synchronize(ctx, call)
		if !more {
			return ok
		}
	}

	return false
}
