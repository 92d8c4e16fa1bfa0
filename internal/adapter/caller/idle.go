package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idlePollInterval is the time between two counts of the idle connections in
// idleConnections.wait.
const idlePollInterval = 20 * time.Millisecond

// idleConnections is the set of the callers' connections without a request in flight.
// It includes connections that have not carried a request yet, because clients that
// dial in parallel keep unneeded connections for later requests.
type idleConnections struct {
	// mu guards connections.
	mu          sync.Mutex
	connections map[net.Conn]struct{}
}

func newIdleConnections() *idleConnections {
	return &idleConnections{connections: make(map[net.Conn]struct{})}
}

// connStateChanged is the ConnState callback of http.Server.
func (i *idleConnections) connStateChanged(connection net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()

	if state == http.StateIdle || state == http.StateNew {
		i.connections[connection] = struct{}{}
	} else {
		delete(i.connections, connection)
	}
}

func (i *idleConnections) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()

	return len(i.connections)
}

// wait returns 0 when no connection is idle, or the number of idle connections when ctx
// ends.
func (i *idleConnections) wait(ctx context.Context) int {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()

	for {
		if count := i.count(); count == 0 || ctx.Err() != nil {
			return count
		}

		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
