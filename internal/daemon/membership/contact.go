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
	// catchUpPeers are asked after a gap. Daemons that were paused together
	// know nothing new of each other, so that one is not enough.
	catchUpPeers = 4
	// catchUpTimeout bounds the wait for peers that do not answer, and leaves
	// most of keys.FreshFor.
	catchUpTimeout = 500 * time.Millisecond
)

// Contact tells when the last exchange with a peer that this daemon began, and
// that was completed, had begun. An answer may have been waiting while the
// daemon was paused, so that the time of its receipt says nothing.
type Contact struct {
	// AnyPeer is the time with any peer, OtherZone with one of another availability
	// zone; zero if there was none.
	AnyPeer, OtherZone time.Time
	// KnewPeer and KnewOtherZone say that such a member was known at any time
	// since the start; they stay true when all are faulty or forgotten, so that
	// isolation does not look like a fleet of one.
	KnewPeer, KnewOtherZone bool
}

// LastContact tells when this daemon last completed an exchange with a peer.
func (m *Membership) LastContact() Contact {
	m.contactMu.Lock()
	defer m.contactMu.Unlock()

	return m.contact
}

// noteContact notes a completed exchange by its begin. After a gap it does not
// count, because peers send no rumors to a member that they think faulty; the
// daemon then catches up first.
func (m *Membership) noteContact(began time.Time, otherZone bool) {
	m.contactMu.Lock()
	defer m.contactMu.Unlock()
	if began.Sub(m.contact.AnyPeer) > keys.FreshnessLimit || otherZone && began.Sub(m.contact.OtherZone) > keys.FreshnessLimit {
		wake(m.missed)

		return
	}
	m.contact.note(began, otherZone)
}

func (c *Contact) note(began time.Time, otherZone bool) {
	if began.After(c.AnyPeer) {
		c.AnyPeer = began
	}
	if otherZone && began.After(c.OtherZone) {
		c.OtherZone = began
	}
}

func (m *Membership) otherZone(daemon string) bool {
	var zone string
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { zone = node.Zone(daemon) })

	return zone != "" && zone != m.settings.AvailabilityZone
}

// catchUp synchronizes with several peers after a gap. Their contact counts
// when all have answered or the time is over.
func (m *Membership) catchUp() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.missed:
		}
		var peers []string
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) {
			peers = node.Peers(catchUpPeers)
			// After a long gap all others may be thought faulty, and contact
			// with another availability zone is what counts.
			for _, peer := range node.ZonePeers(refreshPeers) {
				if !slices.Contains(peers, peer) {
					peers = append(peers, peer)
				}
			}
		})
		began := time.Now()
		ctx, cancel := context.WithTimeout(m.ctx, catchUpTimeout)
		var (
			calls sync.WaitGroup
			mu    sync.Mutex
			done  []string
		)
		for _, peer := range peers {
			calls.Go(func() {
				if m.synchronizeFully(ctx, peer) {
					mu.Lock()
					defer mu.Unlock()
					done = append(done, peer)
				}
			})
		}
		calls.Wait()
		cancel()
		for _, peer := range done {
			otherZone := m.otherZone(peer)
			m.contactMu.Lock()
			m.contact.note(began, otherZone)
			m.contactMu.Unlock()
		}
	}
}

// synchronizeFully exchanges until the peer has no further entries.
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
