package server

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/peer"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/egress"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// handler gives the frames of other daemons to the part that they concern.
// Until the daemon is complete it serves membership only, because daemons that
// start at the same time need one another to join.
type handler struct {
	*Daemon
	mu       sync.Mutex
	complete atomic.Bool
	// early are the sessions that opened before the egress existed.
	early map[fleet.Session]struct{}
}

func newHandler(server *Daemon) *handler {
	return &handler{Daemon: server, early: make(map[fleet.Session]struct{})}
}

// ready passes on the sessions opened so far and serves all frames from now on.
func (h *handler) ready() {
	h.mu.Lock()
	defer h.mu.Unlock()

	for session := range h.early {
		h.egress.OpenSession(session)
	}

	h.early = nil
	h.complete.Store(true)
}

// Opened tells the egress about a session.
func (h *handler) Opened(session fleet.Session) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.early != nil {
		h.early[session] = struct{}{}

		return
	}

	h.egress.OpenSession(session)
}

// Closed tells the egress about the end of a session.
func (h *handler) Closed(session fleet.Session) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.early != nil {
		delete(h.early, session)

		return
	}

	h.egress.CloseSession(session)
}

// Run runs an attempt at a local upstream.
func (h *handler) Run(ctx context.Context, session fleet.Session, attempt fleet.Attempt) fleet.Reply {
	if !h.complete.Load() {
		return fleet.Refuse(fleet.ReasonNotReady, "the daemon is starting")
	}

	return h.egress.Run(ctx, session, attempt)
}

// Cancel cancels an attempt at a local upstream.
func (h *handler) Cancel(
	ctx context.Context, session fleet.Session, id fleet.AttemptID, egressIncarnation uint64,
) fleet.CancelResult {
	if !h.complete.Load() {
		return fleet.CancelUnknown
	}

	return h.egress.CancelForIncarnation(ctx, session, id, egressIncarnation)
}

// Control answers a control frame.
func (h *handler) Control(ctx context.Context, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	if !h.complete.Load() {
		return h.membership.Handle(ctx, from, frame)
	}

	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_FetchPart:
		return &peerpb.Frame{Body: &peerpb.Frame_Part{Part: h.loader.HandleFetchPart(body.FetchPart)}}, true
	case *peerpb.Frame_Pledge, *peerpb.Frame_TokenRequest, *peerpb.Frame_Relay, *peerpb.Frame_RetryRequest:
		return h.limits.Handle(ctx, from, frame)
	}

	return h.membership.Handle(ctx, from, frame)
}

// forwarding reaches egresses, the daemon's own without a connection.
type forwarding struct {
	network *peer.Network
	local   *egress.Egress
	// self is the session that stands for the daemon's own ingress.
	self fleet.Session
}

// Run runs an attempt at the daemon beside an upstream.
func (f forwarding) Run(ctx context.Context, daemon string, attempt fleet.Attempt) fleet.Reply {
	if daemon != f.self.Daemon {
		return f.network.Run(ctx, daemon, attempt)
	}

	return f.local.Run(ctx, f.self, attempt)
}

// Cancel cancels an attempt at the daemon beside an upstream.
func (f forwarding) Cancel(
	ctx context.Context, daemon string, id fleet.AttemptID, egressIncarnation uint64,
) fleet.CancelResult {
	if daemon != f.self.Daemon {
		return f.network.Cancel(ctx, daemon, id, egressIncarnation)
	}

	return f.local.CancelForIncarnation(ctx, f.self, id, egressIncarnation)
}
