// Package broadcast signals changes to subscribers without waiting for them.
package broadcast

import "sync"

// Subscribers are those who want to know of a change. The zero value has none. It is
// safe for concurrent use.
type Subscribers struct {
	mu       sync.Mutex
	channels map[chan struct{}]struct{}
}

// Subscribe returns a channel that receives after each change, with several changes
// merged into one, and a function that ends the subscription.
func (s *Subscribers) Subscribe() (changed <-chan struct{}, end func()) {
	channel := make(chan struct{}, 1)

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.channels == nil {
		s.channels = make(map[chan struct{}]struct{})
	}

	s.channels[channel] = struct{}{}

	return channel, func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		delete(s.channels, channel)
	}
}

// Notify tells the subscribers of a change.
func (s *Subscribers) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for channel := range s.channels {
		select {
		case channel <- struct{}{}:
		default: // the subscriber has yet to take the previous signal
		}
	}
}
