package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/peer"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/egress"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// handler dispatches the frames of other daemons to the components that serve them.
// Until the daemon has started it serves membership frames only, because daemons
// that start at the same time need one another to join the fleet.
type handler struct {
	*Daemon
	mu sync.Mutex
	// started is set once all components that serve frames exist.
	started atomic.Bool
	// pendingSessions holds the open sessions that were opened before the egress
	// existed and have not been reported to it. It is nil once the daemon has started.
	pendingSessions map[fleet.Session]struct{}
}

func newHandler(daemon *Daemon) *handler {
	return &handler{Daemon: daemon, pendingSessions: make(map[fleet.Session]struct{})}
}

// markStarted tells the egress about the sessions opened so far. From then on all
// frames are served.
func (h *handler) markStarted() {
	h.mu.Lock()
	defer h.mu.Unlock()

	for session := range h.pendingSessions {
		h.egress.OpenSession(session)
	}

	h.pendingSessions = nil
	h.started.Store(true)
}

// Opened tells the egress about a new session with another daemon, or records the
// session while there is no egress yet.
func (h *handler) Opened(session fleet.Session) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.pendingSessions != nil {
		h.pendingSessions[session] = struct{}{}

		return
	}

	h.egress.OpenSession(session)
}

// Closed tells the egress about the end of a session, or discards its record while
// there is no egress yet.
func (h *handler) Closed(session fleet.Session) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.pendingSessions != nil {
		delete(h.pendingSessions, session)

		return
	}

	h.egress.CloseSession(session)
}

// Run runs another daemon's attempt at a local upstream. While the daemon starts,
// the attempt is refused as not run.
func (h *handler) Run(ctx context.Context, session fleet.Session, attempt fleet.Attempt) fleet.Reply {
	if !h.started.Load() {
		return fleet.Refuse(fleet.ReasonNotReady, "the daemon is starting")
	}

	return h.egress.Run(ctx, session, attempt)
}

// Cancel cancels another daemon's attempt at a local upstream. While the daemon
// starts, the result is CancelUnknown.
func (h *handler) Cancel(
	ctx context.Context, session fleet.Session, id fleet.AttemptID, egressIncarnation uint64,
) fleet.CancelResult {
	if !h.started.Load() {
		return fleet.CancelUnknown
	}

	return h.egress.CancelForIncarnation(ctx, session, id, egressIncarnation)
}

// Control answers a control frame of the daemon named from. It returns false if
// there is no answer.
func (h *handler) Control(ctx context.Context, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	if !h.started.Load() {
		return h.membership.Handle(ctx, from, frame)
	}

	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_FetchPart:
		return &peerpb.Frame{Body: &peerpb.Frame_Part{Part: h.loader.HandleFetchPart(body.FetchPart)}}, true
	case *peerpb.Frame_Relay:
		if cancel := body.Relay.GetFrame().GetCancel(); cancel != nil && body.Relay.GetTo() == h.settings.Name {
			return h.cancelRelayed(body.Relay.GetAsker(), cancel)
		}

		return h.limits.Handle(ctx, from, frame)
	case *peerpb.Frame_Pledge, *peerpb.Frame_TokenRequest, *peerpb.Frame_RetryRequest:
		return h.limits.Handle(ctx, from, frame)
	}

	return h.membership.Handle(ctx, from, frame)
}

// cancelRelayed cancels an attempt for an ingress that cannot reach this daemon. It returns
// false if the attempt is not one of that ingress.
func (h *handler) cancelRelayed(asker string, cancel *peerpb.Cancel) (*peerpb.Frame, bool) {
	id := peer.ToAttemptID(cancel.GetID())
	if id.Ingress != asker {
		return nil, false
	}

	return peer.CancelResultFrame(h.egress.CancelRelayed(id, cancel.GetEgressIncarnation())), true
}

// relayDelay is how long a cancel waits for its direct answer before it is sent through other
// daemons as well. It is many round trips between availability zones.
const relayDelay = 50 * time.Millisecond

// egressRouter routes attempts of the daemon's own ingress to the egress of any
// daemon. The local egress is called directly, others through the network.
type egressRouter struct {
	network *peer.Network
	// relay sends a frame to the named daemon through other daemons. It returns nil without
	// an answer.
	relay func(daemon string, frame *peerpb.Frame) *peerpb.Frame
	local *egress.Egress
	// ownSession identifies the daemon's own ingress at the local egress.
	ownSession fleet.Session
}

// Run sends an attempt to the egress of the named daemon and returns its reply.
func (f egressRouter) Run(ctx context.Context, daemon string, attempt fleet.Attempt) fleet.Reply {
	if daemon != f.ownSession.Daemon {
		return f.network.Run(ctx, daemon, attempt)
	}

	return f.local.Run(ctx, f.ownSession, attempt)
}

// Cancel cancels an attempt at the egress of the named daemon. If the daemon does not answer,
// for example because the path to it is cut, other daemons are asked to forward the cancel.
func (f egressRouter) Cancel(
	ctx context.Context, daemon string, id fleet.AttemptID, egressIncarnation uint64,
) fleet.CancelResult {
	if daemon != f.ownSession.Daemon {
		return f.cancelRemote(ctx, daemon, id, egressIncarnation)
	}

	return f.local.CancelForIncarnation(ctx, f.ownSession, id, egressIncarnation)
}

// cancelRemote returns the first result, of the direct and the relayed cancel, that is not
// CancelUnknown.
func (f egressRouter) cancelRemote(
	ctx context.Context, daemon string, id fleet.AttemptID, egressIncarnation uint64,
) fleet.CancelResult {
	results := make(chan fleet.CancelResult, 2)

	go func() { results <- f.network.Cancel(ctx, daemon, id, egressIncarnation) }()

	select {
	case result := <-results:
		if result != fleet.CancelUnknown {
			return result
		}

		results <- result
	case <-time.After(relayDelay):
	}

	go func() { results <- peer.CancelResultOf(f.relay(daemon, peer.CancelFrame(id, egressIncarnation))) }()

	for range cap(results) {
		select {
		case result := <-results:
			if result != fleet.CancelUnknown {
				return result
			}
		case <-ctx.Done():
			return fleet.CancelUnknown
		}
	}

	return fleet.CancelUnknown
}
