package membership

import (
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
)

// subscriberBuffer is the number of entries that wait in a subscriber's channel.
const subscriberBuffer = 64

// subscriber delivers changed entries of one kind. While its channel is full,
// the keys that changed are kept, each once, and delivered with their latest
// version when there is room: no last change is lost, versions in between are.
type subscriber struct {
	kind    fleet.EntryKind
	channel chan fleet.Entry
	woken   chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	pending map[string]struct{}
}

// Subscribe returns a channel with the entries of a kind, first those that are
// in the set and then each change, and a function that ends the subscription and
// closes the channel. A slow subscriber skips versions of an entry, but always
// gets the last.
func (m *Membership) Subscribe(kind fleet.EntryKind) (<-chan fleet.Entry, func()) {
	s := &subscriber{
		kind:    kind,
		channel: make(chan fleet.Entry, subscriberBuffer),
		woken:   make(chan struct{}, 1),
		done:    make(chan struct{}),
		pending: map[string]struct{}{},
	}
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) {
		node.Range(kind, func(e fleet.Entry) { s.pending[e.Key] = struct{}{} })
		m.subscribersMu.Lock()
		m.subscribers[s] = struct{}{}
		m.subscribersMu.Unlock()
	})
	wake(s.woken)
	go m.pump(s)

	return s.channel, func() { m.unsubscribe(s) }
}

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

// deliver runs while the replica is locked and never blocks.
func (m *Membership) deliver(changes []fleet.Entry) {
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
			wake(s.woken)
		}
	}
}

func (m *Membership) pump(s *subscriber) {
	defer close(s.channel)
	for {
		select {
		case <-s.done:
			return
		case <-s.woken:
		}
		for {
			key, ok := s.take()
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

func (s *subscriber) take() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.pending {
		delete(s.pending, key)

		return key, true
	}

	return "", false
}
