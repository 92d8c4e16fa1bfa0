package attempt

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// OpenSession makes a session the current one of its ingress. An older session of the
// same incarnation, or of an older incarnation, is closed first. Opening the
// current session again changes nothing; a closed session stays closed.
func (r *Registry) OpenSession(session fleet.Session, now time.Time) OpenResult {
	in := r.ingresses[session.Daemon]
	if in == nil {
		if !r.trackable(now) {
			return OpenResult{}
		}
		r.ingresses[session.Daemon] = newIngress(session, r.forgot)

		return OpenResult{Accepted: true}
	}
	if session.Incarnation < in.incarnation {
		return OpenResult{}
	}
	if session.Incarnation == in.incarnation && session.Number <= in.session {
		return OpenResult{Accepted: in.open && session.Number == in.session}
	}
	opening := OpenResult{Accepted: true}
	if in.open {
		opening.ClosedSessions = []fleet.Session{{Daemon: in.name, Incarnation: in.incarnation, Number: in.session}}
		opening.RemovedAttempts = r.removeQueued(in, now)
	}
	if session.Incarnation > in.incarnation {
		r.detach(in)
		r.ingresses[session.Daemon] = newIngress(session, in.unsure)

		return opening
	}
	in.session, in.open = session.Number, true

	return opening
}

// CloseSession ends a session and returns the attempts that were queued by it. They
// never run. Closing a session that is not the current one changes nothing.
func (r *Registry) CloseSession(session fleet.Session, now time.Time) []fleet.AttemptID {
	in := r.ingresses[session.Daemon]
	if in == nil || !in.open || in.incarnation != session.Incarnation || in.session != session.Number {
		return nil
	}
	in.open, in.closedAt = false, now

	return r.removeQueued(in, now)
}

func newIngress(session fleet.Session, unsure bool) *ingress {
	return &ingress{
		name:        session.Daemon,
		incarnation: session.Incarnation,
		session:     session.Number,
		open:        true,
		unsure:      unsure,
		records:     map[uint64]*record{},
	}
}

func (r *Registry) removeQueued(in *ingress, now time.Time) []fleet.AttemptID {
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

// detach drops what is known of an incarnation that was replaced. No frame of
// it is accepted any more, so only its started attempts need a record.
func (r *Registry) detach(in *ingress) {
	for _, rec := range in.records {
		if rec.state == started {
			r.detached[rec.id] = rec

			continue
		}
		r.drop(in, rec)
	}
}

// trackable reports whether one more ingress can be tracked. When the table is
// full it forgets the ingress that has been without a session for longest,
// provided that no message of it can still be on its way.
func (r *Registry) trackable(now time.Time) bool {
	if len(r.ingresses) < r.limits.Ingresses {
		return true
	}
	var oldest *ingress
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
	r.forgot = true

	return true
}
