// Package broadcast signals changes to subscribers without blocking.
package broadcast

import "sync"

// Subscribers is a set of channels that are signalled on each change. The zero value is
// an empty set. It is safe for concurrent use.
type Subscribers struct {
	mu       sync.Mutex
	channels map[chan struct{}]struct{}
}

// Subscribe returns a channel that receives a signal after each change, and a function
// that ends the subscription. Changes that occur before a signal is received are merged
// into that signal. The channel is never closed.
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

// Notify signals a change to all subscribers. It does not block.
func (s *Subscribers) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for channel := range s.channels {
		select {
		case channel <- struct{}{}:
		default: // the subscriber has not received the previous signal yet
		}
	}
}
