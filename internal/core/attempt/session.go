package attempt

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// OpenSession makes a session the current one of its ingress. It first closes an older
// session of the same incarnation or of an older one. Opening the current session again
// changes nothing, and a closed session can't be opened again.
func (r *Registry) OpenSession(session fleet.Session, now time.Time) OpenResult {
	in := r.ingresses[session.Daemon]
	if in == nil {
		if !r.ensureFreeIngress(now) {
			return OpenResult{}
		}
		r.ingresses[session.Daemon] = newIngressState(session, r.removedIngress)

		return OpenResult{Accepted: true}
	}
	if session.Incarnation < in.incarnation {
		return OpenResult{}
	}
	if session.Incarnation == in.incarnation && session.Number <= in.session {
		return OpenResult{Accepted: in.open && session.Number == in.session}
	}
	result := OpenResult{Accepted: true}
	if in.open {
		result.ClosedSessions = []fleet.Session{{Daemon: in.name, Incarnation: in.incarnation, Number: in.session}}
		result.RemovedAttempts = r.removeQueued(in, now)
	}
	if session.Incarnation > in.incarnation {
		r.detach(in)
		r.ingresses[session.Daemon] = newIngressState(session, in.maybeRemoved)

		return result
	}
	in.session, in.open = session.Number, true

	return result
}

// CloseSession ends a session and returns its queued attempts. They never run, and the
// caller must remove them from the queue. Closing a session that is not the current one
// changes nothing.
func (r *Registry) CloseSession(session fleet.Session, now time.Time) []fleet.AttemptID {
	in := r.ingresses[session.Daemon]
	if in == nil || !in.open || in.incarnation != session.Incarnation || in.session != session.Number {
		return nil
	}
	in.open, in.closedAt = false, now

	return r.removeQueued(in, now)
}

// newIngressState returns the state of an ingress incarnation with an open session and
// no attempts.
func newIngressState(session fleet.Session, maybeRemoved bool) *ingressState {
	return &ingressState{
		name:         session.Daemon,
		incarnation:  session.Incarnation,
		session:      session.Number,
		open:         true,
		maybeRemoved: maybeRemoved,
		records:      map[uint64]*record{},
	}
}

// removeQueued ends all queued attempts of an ingress without running them, and returns
// their IDs.
func (r *Registry) removeQueued(in *ingressState, now time.Time) []fleet.AttemptID {
	var removed []fleet.AttemptID
	for _, rec := range in.records {
		if rec.state == queued {
			removed = append(removed, rec.id)
		}
	}
	for _, id := range removed {
		r.Refuse(id, now)
	}

	return removed
}

// detach removes the records of an ingress incarnation that is no longer tracked, except
// those of started attempts, which it moves to Registry.detached. No frame of the
// incarnation is accepted any more, so only the end of its started attempts needs a
// record.
func (r *Registry) detach(in *ingressState) {
	for _, rec := range in.records {
		if rec.state == started {
			r.detached[rec.id] = rec

			continue
		}
		r.remove(in, rec)
	}
}

// ensureFreeIngress reports whether one more ingress can be tracked. At the limit it
// removes the ingress that has been without a session for longest, provided that this
// time is at least Limits.IngressRetention, so that none of its messages can still arrive.
func (r *Registry) ensureFreeIngress(now time.Time) bool {
	if len(r.ingresses) < r.limits.Ingresses {
		return true
	}
	var oldest *ingressState
	for _, in := range r.ingresses {
		if !in.open && (oldest == nil || in.closedAt.Before(oldest.closedAt)) {
			oldest = in
		}
	}
	if oldest == nil || now.Sub(oldest.closedAt) < r.limits.IngressRetention {
		return false
	}
	r.detach(oldest)
	delete(r.ingresses, oldest.name)
	r.removedIngress = true

	return true
}
