package limits

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// relayDuration is how long calls to a daemon go through a relay before the daemon is
// called directly again. Such a direct call costs callTimeout if the daemon is still
// unreachable.
const relayDuration = 5 * time.Second

// relayTable holds the relays for the daemons that do not answer directly. It is safe
// for concurrent use.
type relayTable struct {
	mu     sync.Mutex
	routes map[string]relayRoute
}

type relayRoute struct {
	relay string
	// until is when the daemon is to be called directly again.
	until time.Time
}

func newRelayTable() *relayTable { return &relayTable{routes: map[string]relayRoute{}} }

// lookup returns the name of the relay for calls to a daemon, or "" for direct calls.
func (r *relayTable) lookup(daemon string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	route := r.routes[daemon]
	if route.relay != "" && time.Now().After(route.until) {
		delete(r.routes, daemon)

		return ""
	}

	return route.relay
}

func (r *relayTable) set(daemon, relay string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routes[daemon] = relayRoute{relay, time.Now().Add(relayDuration)}
}

func (r *relayTable) remove(daemon string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.routes, daemon)
}

// chooseRelay returns the name of a random live daemon other than daemon and self, or
// "" if there is none.
func (r *relayTable) chooseRelay(daemon, self string, live []string) string {
	var others []string
	for _, name := range live {
		if name != daemon && name != self {
			others = append(others, name)
		}
	}
	if len(others) == 0 {
		return ""
	}

	return others[rand.IntN(len(others))] //nolint:gosec // spreads the load
}

// callViaRelay sends a frame to a daemon through a relay and returns the answer. If
// there is none it returns nil and removes the relay from the table.
func (l *Limiter) callViaRelay(relay, daemon string, frame *peerpb.Frame) *peerpb.Frame {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	answer, ok := l.Peers.Call(ctx, relay, &peerpb.Frame{Body: &peerpb.Frame_Relay{
		Relay: &peerpb.Relay{To: daemon, Frame: frame},
	}})
	if !ok {
		l.relays.remove(daemon)

		return nil
	}

	return answer
}

// handleRelay forwards a frame to the daemon that it is for, or answers a forwarded
// frame if that daemon is this one. A frame is forwarded only once. It returns false
// if there is no answer.
func (l *Limiter) handleRelay(ctx context.Context, from string, relayed *peerpb.Relay) (*peerpb.Frame, bool) {
	switch {
	case relayed.GetFrame().GetRelay() != nil:
		return nil, false
	case relayed.GetAsker() != "" && relayed.GetTo() == l.Self.Name:
		return l.Handle(ctx, relayed.GetAsker(), relayed.GetFrame())
	case relayed.GetAsker() != "":
		return nil, false
	}
	select {
	case l.callSemaphore <- struct{}{}:
		defer func() { <-l.callSemaphore }()
	default:
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return l.Peers.Call(ctx, relayed.GetTo(), &peerpb.Frame{Body: &peerpb.Frame_Relay{
		Relay: &peerpb.Relay{To: relayed.GetTo(), Asker: from, Frame: relayed.GetFrame()},
	}})
}
