package ingress

import "sync"

// requestTracker counts the requests in progress, and signals when the last one has
// ended after drain was called.
type requestTracker struct {
	mu       sync.Mutex
	active   int
	draining bool
	drained  chan struct{}
}

func newRequestTracker() *requestTracker {
	return &requestTracker{drained: make(chan struct{})}
}

// begin counts a new request. It returns false if drain has been called.
func (t *requestTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.draining {
		return false
	}

	t.active++

	return true
}

// end is called once for each request that began.
func (t *requestTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.active--
	if t.draining && t.active == 0 {
		close(t.drained)
	}
}

// drain refuses new requests and returns a channel that is closed when no request is in
// progress any more.
func (t *requestTracker) drain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.draining {
		t.draining = true
		if t.active == 0 {
			close(t.drained)
		}
	}

	return t.drained
}
