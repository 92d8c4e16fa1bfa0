package limits

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// relayDuration is how long calls to a daemon go only through a relay before the
	// daemon is called directly again as well.
	relayDuration = 5 * time.Second
	// maxRelays is the number of relays that are tried at once. While two of several
	// availability zones are cut off from each other, the daemons of both are useless as
	// relays, so that a single random one often fails.
	maxRelays = 3
)

// relayTable holds the relays for the daemons that do not answer directly. It is safe
// for concurrent use.
type relayTable struct {
	mu     sync.Mutex
	routes map[string]relayRoute
}

type relayRoute struct {
	relay string
	// probeAt is when the daemon is to be called directly again.
	probeAt time.Time
}

func newRelayTable() *relayTable { return &relayTable{routes: map[string]relayRoute{}} }

// lookup returns the name of the relay for calls to a daemon, or "" for direct calls.
// Probe means that the caller should also call the daemon directly. It is true for one
// caller in relayDuration.
func (r *relayTable) lookup(daemon string) (relay string, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	route, ok := r.routes[daemon]
	if !ok {
		return "", false
	}
	if now := time.Now(); now.After(route.probeAt) {
		probe = true
		r.routes[daemon] = relayRoute{route.relay, now.Add(relayDuration)}
	}

	return route.relay, probe
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

// chooseRelays returns the names of up to count random live daemons that are not
// excluded.
func chooseRelays(count int, live []string, excluded ...string) []string {
	live = slices.DeleteFunc(live, func(name string) bool { return slices.Contains(excluded, name) })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })

	return live[:min(count, len(live))]
}

// call sends a frame to a daemon and returns its answer, or nil if there was none. If
// the daemon does not answer directly, the frame is sent through relays. The receiver
// may get the frame more than once; see repeated.
func (l *Limiter) call(daemon string, frame *peerpb.Frame) *peerpb.Frame {
	relay, probe := l.relays.lookup(daemon)
	if probe {
		go func() {
			if _, ok := l.callDirectly(daemon, repeated(frame)); ok {
				l.relays.remove(daemon)
			}
		}()
	}
	if relay == "" {
		if answer, ok := l.callDirectly(daemon, frame); ok {
			return answer
		}
	} else if answer := l.callViaRelay(relay, daemon, frame); answer != nil {
		return answer
	}
	if l.ctx.Err() != nil {
		return nil
	}

	return l.callViaRelays(chooseRelays(maxRelays, l.Members.Live(), daemon, l.Self.Name, relay), daemon, repeated(frame))
}

// repeated returns the frame to send in a further copy of a frame that may have arrived. A
// copy of a RetryRequest reports no requests, since the receiver counts each message. All
// other frames have the same effect when they arrive twice.
func repeated(frame *peerpb.Frame) *peerpb.Frame {
	request := frame.GetRetryRequest()
	if request == nil {
		return frame
	}

	return &peerpb.Frame{Body: &peerpb.Frame_RetryRequest{RetryRequest: &peerpb.RetryRequest{
		Service: request.GetService(), Repeats: request.GetRepeats(), ReportOnly: request.GetReportOnly(),
	}}}
}

func (l *Limiter) callDirectly(daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()

	return l.Peers.Call(ctx, daemon, frame)
}

// CallThroughRelays sends a frame to a daemon that does not answer directly, through several
// other daemons at once, so that it may arrive more than once. It returns the first answer,
// or nil.
func (l *Limiter) CallThroughRelays(daemon string, frame *peerpb.Frame) *peerpb.Frame {
	return l.callViaRelays(chooseRelays(maxRelays, l.Members.Live(), daemon, l.Self.Name), daemon, frame)
}

// callViaRelays sends a frame to a daemon through several relays at once. It returns the
// first answer and uses its relay from then on. If there is no answer it returns nil. The
// calls of the other relays end with callTimeout or the limiter.
func (l *Limiter) callViaRelays(relays []string, daemon string, frame *peerpb.Frame) *peerpb.Frame {
	type relayed struct {
		relay  string
		answer *peerpb.Frame
	}
	answers := make(chan relayed, len(relays))
	for _, relay := range relays {
		go func() { answers <- relayed{relay, l.callViaRelay(relay, daemon, frame)} }()
	}
	for range relays {
		if first := <-answers; first.answer != nil {
			l.relays.set(daemon, first.relay)

			return first.answer
		}
	}
	l.relays.remove(daemon)

	return nil
}

// callViaRelay sends a frame to a daemon through a relay and returns the answer, or nil
// if there was none.
func (l *Limiter) callViaRelay(relay, daemon string, frame *peerpb.Frame) *peerpb.Frame {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	answer, ok := l.Peers.Call(ctx, relay, &peerpb.Frame{Body: &peerpb.Frame_Relay{
		Relay: &peerpb.Relay{To: daemon, Frame: frame},
	}})
	if !ok {
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
