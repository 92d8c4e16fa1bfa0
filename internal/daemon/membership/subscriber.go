package membership

import (
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
)

// subscriberBuffer is the capacity of a subscriber's channel in entries.
const subscriberBuffer = 64

// subscriber delivers changed entries of one kind. While its channel is full, the keys
// that change are collected, each once. They are delivered in their latest version when
// there is room, so that intermediate versions may be skipped but never the last one.
type subscriber struct {
	kind    fleet.EntryKind
	channel chan fleet.Entry
	wake    chan struct{} // signals sendPending that pending is not empty
	done    chan struct{} // closed when the subscription ends

	mu sync.Mutex
	// pending holds the keys of entries that changed and have not been delivered.
	pending map[string]struct{}
}

// Subscribe returns a channel of the entries of a kind and a function that ends the
// subscription and closes the channel. The channel delivers the entries that are in the
// set and then each change. A slow subscriber may not receive every version of an entry,
// but always the last.
func (m *Membership) Subscribe(kind fleet.EntryKind) (<-chan fleet.Entry, func()) {
	s := &subscriber{
		kind:    kind,
		channel: make(chan fleet.Entry, subscriberBuffer),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		pending: map[string]struct{}{},
	}
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) {
		node.Range(kind, func(e fleet.Entry) { s.pending[e.Key] = struct{}{} })
		m.subscribersMu.Lock()
		m.subscribers[s] = struct{}{}
		m.subscribersMu.Unlock()
	})
	signal(s.wake)
	go m.sendPending(s)

	return s.channel, func() { m.unsubscribe(s) }
}

// unsubscribe ends a subscription. It does nothing if the subscription has ended.
func (m *Membership) unsubscribe(s *subscriber) {
	m.subscribersMu.Lock()
	defer m.subscribersMu.Unlock()
	if _, ok := m.subscribers[s]; ok {
		delete(m.subscribers, s)
		close(s.done)
	}
}

func (m *Membership) closeSubscribers() {
	m.subscribersMu.Lock()
	all := make([]*subscriber, 0, len(m.subscribers))
	for s := range m.subscribers {
		all = append(all, s)
	}
	m.subscribersMu.Unlock()
	for _, s := range all {
		m.unsubscribe(s)
	}
}

// notifySubscribers marks changed entries for delivery to the subscribers of their
// kinds. It runs while the replica is locked and never blocks.
func (m *Membership) notifySubscribers(changes []fleet.Entry) {
	m.subscribersMu.Lock()
	defer m.subscribersMu.Unlock()
	for s := range m.subscribers {
		s.mu.Lock()
		for _, e := range changes {
			if e.Kind == s.kind {
				s.pending[e.Key] = struct{}{}
			}
		}
		waiting := len(s.pending) > 0
		s.mu.Unlock()
		if waiting {
			signal(s.wake)
		}
	}
}

// sendPending delivers the pending entries of a subscriber until its subscription ends.
func (m *Membership) sendPending(s *subscriber) {
	defer close(s.channel)
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		for {
			key, ok := s.takePending()
			if !ok {
				break
			}
			e, ok := m.Get(s.kind, key)
			if !ok {
				continue
			}
			select {
			case s.channel <- e:
			case <-s.done:
				return
			}
		}
	}
}

// takePending removes and returns any pending key. It reports false if there is none.
func (s *subscriber) takePending() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.pending {
		delete(s.pending, key)

		return key, true
	}

	return "", false
}
