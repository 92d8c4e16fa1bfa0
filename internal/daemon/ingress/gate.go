package ingress

import "sync"

// gate counts requests and tells when the last one has left after it was shut.
type gate struct {
	mu     sync.Mutex
	inside int
	closed bool
	empty  chan struct{}
}

func newGate() *gate {
	return &gate{empty: make(chan struct{})}
}

func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.closed {
		return false
	}

	g.inside++

	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.inside--
	if g.closed && g.inside == 0 {
		close(g.empty)
	}
}

// shut refuses newcomers and returns a channel that closes when nobody is
// inside any more.
func (g *gate) shut() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()

	if !g.closed {
		g.closed = true
		if g.inside == 0 {
			close(g.empty)
		}
	}

	return g.empty
}
