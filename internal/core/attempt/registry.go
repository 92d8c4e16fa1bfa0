// Package attempt holds the egress's registry of attempts. It starts each
// attempt at most once and says of each whether it ran.
package attempt

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Verdict is the registry's decision about an attempt that arrived.
type Verdict int

// Verdicts about an attempt.
const (
	// Stale rejects an attempt about which nothing is known: its session is
	// not the current one, or its record was evicted. It may have run.
	Stale Verdict = iota
	// Admitted means that the attempt is queued. The caller of Admit must
	// Start or Refuse it.
	Admitted
	// Duplicate means that the attempt arrived before and may run or have run.
	Duplicate
	// Cancelled means that the attempt has not run and never will.
	Cancelled
	// WrongIncarnation means that the attempt is meant for another
	// incarnation of this daemon. It never runs here.
	WrongIncarnation
	// Full means that no record is free. The attempt never runs here.
	Full
	// Replayed means that the idempotency key has a recorded result.
	Replayed
	// Running means that the key's first attempt has not ended.
	Running
	// KeyMisused means that the idempotency key was used with a different
	// request. The attempt never runs here.
	KeyMisused
)

// Admission is the answer to Admit.
type Admission struct {
	Verdict Verdict
	// Result is what was recorded for the idempotency key, if Replayed.
	Result Result
}

// Opening is the answer to Open.
type Opening struct {
	// Accepted is false if a newer session or incarnation is known, or if no
	// more ingresses can be tracked.
	Accepted bool
	// Closed lists the session that this one replaced, if any.
	Closed []fleet.Session
	// Removed lists the attempts that were queued by it. They never run.
	Removed []fleet.AttemptID
}

type state uint8

const (
	queued state = iota
	started
	finished
)

// record is one attempt. Up to Limits.Records of them are kept, so it refers to
// the ingress instead of holding its name and incarnation.
type record struct {
	ingress  *ingress
	sequence uint64
	key      *keyRecord
	// links are zero unless finished.
	links   [orders]links
	state   state
	outcome uint8 // a fleet.Outcome
}

func (rec *record) id() fleet.AttemptID {
	return fleet.AttemptID{Ingress: rec.ingress.name, Incarnation: rec.ingress.incarnation, Sequence: rec.sequence}
}

// hasNotRun reports whether the record is of an attempt that never runs.
func (rec *record) hasNotRun() bool {
	return rec.state == finished && rec.outcome == uint8(fleet.NotRun)
}

type ingress struct {
	name        string
	incarnation uint64
	session     uint64
	open        bool
	closedAt    time.Time
	// watermark is the highest sequence whose record was evicted. Without a
	// record, an attempt at or below it may have run and must not start.
	watermark uint64
	records   map[uint64]*record
	finished  chain
}

// Registry tracks the attempts that reached this egress.
// It is not safe for concurrent use.
type Registry struct {
	incarnation uint64
	limits      Limits
	ingresses   map[string]*ingress
	// detached holds started attempts of incarnations that were replaced.
	detached map[fleet.AttemptID]*record
	finished chain
	records  int
	keys     *keyTable
}

// New returns an empty registry for the given incarnation of the egress.
func New(incarnation uint64, limits Limits) *Registry {
	return &Registry{
		incarnation: incarnation,
		limits:      limits,
		ingresses:   map[string]*ingress{},
		detached:    map[fleet.AttemptID]*record{},
		keys:        newKeyTable(limits),
	}
}

// Len returns the number of attempts known.
func (r *Registry) Len() int { return r.records }

// Admit decides about an attempt that arrived on a session.
func (r *Registry) Admit(session fleet.Session, attempt fleet.Attempt, now time.Time) Admission {
	in := r.current(session, attempt.ID)
	if in == nil {
		return Admission{Verdict: Stale}
	}
	// Every copy of the attempt names the same incarnation, so none is
	// admitted here and no record is needed.
	if attempt.EgressIncarnation != 0 && attempt.EgressIncarnation != r.incarnation {
		return Admission{Verdict: WrongIncarnation}
	}
	if known := in.records[attempt.ID.Sequence]; known != nil {
		if known.hasNotRun() {
			return Admission{Verdict: Cancelled}
		}

		return Admission{Verdict: Duplicate}
	}
	if attempt.ID.Sequence <= in.watermark {
		return Admission{Verdict: Stale}
	}
	if !r.room() {
		in.watermark = attempt.ID.Sequence

		return Admission{Verdict: Full}
	}

	return r.insert(in, attempt, now)
}

func (r *Registry) insert(in *ingress, attempt fleet.Attempt, now time.Time) Admission {
	rec := &record{ingress: in, sequence: attempt.ID.Sequence, state: queued}
	admission := Admission{Verdict: Admitted}
	// An idempotent request may run again by definition.
	if attempt.IdempotencyKey != "" && !attempt.Idempotent {
		rec.key, admission = r.keys.claim(attempt, now)
	}
	in.records[attempt.ID.Sequence] = rec
	r.records++

	switch admission.Verdict {
	case Admitted:
	case KeyMisused, Full:
		r.finish(in, rec, fleet.NotRun)
	default:
		// Unknown rather than NotRun keeps a cancel from permitting a retry
		// elsewhere of a request whose first copy ran here.
		r.finish(in, rec, fleet.Unknown)
	}

	return admission
}

// Start moves a queued attempt to started. It returns false if the attempt is
// not queued; the caller must then not run it.
func (r *Registry) Start(id fleet.AttemptID) bool {
	_, rec := r.find(id)
	if rec == nil || rec.state != queued {
		return false
	}
	rec.state = started

	return true
}

// Refuse ends a queued attempt without running it. It returns false if the
// attempt is not queued.
func (r *Registry) Refuse(id fleet.AttemptID, now time.Time) bool {
	in, rec := r.find(id)
	if rec == nil || rec.state != queued {
		return false
	}
	r.end(in, rec, Result{Outcome: fleet.NotRun}, now)

	return true
}

// Finish ends a started attempt. It returns false if it was not started.
func (r *Registry) Finish(id fleet.AttemptID, result Result, now time.Time) bool {
	in, rec := r.find(id)
	if rec == nil || rec.state != started {
		return false
	}
	r.end(in, rec, result, now)

	return true
}

// Cancel stops an attempt that has not started. The second result is true if
// the attempt was queued; the caller must then remove it from the queue.
//
// EgressIncarnation is the one that the attempt was sent to. An attempt that
// is not known here may have run under an earlier incarnation, so its cancel
// is confirmed only if it was sent to this one. Zero says that the ingress
// does not know; the attempt then never starts here, but this is not confirmed.
func (r *Registry) Cancel(
	session fleet.Session, id fleet.AttemptID, egressIncarnation uint64, now time.Time,
) (fleet.CancelResult, bool) {
	in := r.current(session, id)
	if in == nil || egressIncarnation != 0 && egressIncarnation != r.incarnation {
		return fleet.CancelUnknown, false
	}
	if rec := in.records[id.Sequence]; rec != nil {
		if rec.state == queued {
			r.end(in, rec, Result{Outcome: fleet.NotRun}, now)

			return fleet.CancelNotRun, true
		}
		if rec.hasNotRun() {
			return fleet.CancelNotRun, false
		}

		return fleet.CancelStarted, false
	}
	if id.Sequence <= in.watermark {
		return fleet.CancelUnknown, false
	}
	result, outcome := fleet.CancelNotRun, fleet.NotRun
	if egressIncarnation == 0 {
		result, outcome = fleet.CancelUnknown, fleet.Unknown
	}
	r.bury(in, id, outcome)

	return result, false
}

// bury leaves a tombstone that keeps an attempt from starting when it arrives
// later. If no record is free, the watermark serves as the tombstone.
func (r *Registry) bury(in *ingress, id fleet.AttemptID, outcome fleet.Outcome) {
	if !r.room() {
		in.watermark = id.Sequence

		return
	}
	rec := &record{ingress: in, sequence: id.Sequence}
	in.records[id.Sequence] = rec
	r.records++
	r.finish(in, rec, outcome)
}

// Expire forgets idempotency keys whose time has passed.
func (r *Registry) Expire(now time.Time) { r.keys.expire(now) }

// end finishes a record and settles its idempotency key.
func (r *Registry) end(in *ingress, rec *record, result Result, now time.Time) {
	if rec.key != nil {
		r.keys.settle(rec.key, result, now)
		rec.key = nil
	}
	if in == nil {
		delete(r.detached, rec.id())
		r.records--

		return
	}
	r.finish(in, rec, result.Outcome)
}

func (r *Registry) finish(in *ingress, rec *record, outcome fleet.Outcome) {
	rec.state, rec.outcome = finished, uint8(outcome) //nolint:gosec // outcomes are few
	r.finished.push(rec)
	in.finished.push(rec)
	if in.finished.Len() > r.limits.RecordsPerIngress {
		r.evict(in.finished.first)
	}
}

// room evicts the oldest finished record if the registry is full. It returns
// false if every record is of an attempt that is queued or started.
func (r *Registry) room() bool {
	if r.records < r.limits.Records {
		return true
	}
	if r.finished.Len() == 0 {
		return false
	}
	r.evict(r.finished.first)

	return true
}

func (r *Registry) evict(rec *record) {
	in := rec.ingress
	in.watermark = max(in.watermark, rec.sequence)
	r.drop(in, rec)
}

func (r *Registry) drop(in *ingress, rec *record) {
	r.finished.remove(rec)
	in.finished.remove(rec)
	delete(in.records, rec.sequence)
	r.records--
}

// current returns the ingress whose current session this is, or nil. An ID
// that names another ingress or incarnation than the session has none.
func (r *Registry) current(session fleet.Session, id fleet.AttemptID) *ingress {
	in := r.ingresses[session.Daemon]
	if in == nil || !in.open || in.incarnation != session.Incarnation || in.session != session.Number {
		return nil
	}
	if id.Ingress != session.Daemon || id.Incarnation != session.Incarnation {
		return nil
	}

	return in
}

func (r *Registry) find(id fleet.AttemptID) (*ingress, *record) {
	in := r.ingresses[id.Ingress]
	if in != nil && in.incarnation == id.Incarnation {
		if rec := in.records[id.Sequence]; rec != nil {
			return in, rec
		}
	}

	return nil, r.detached[id]
}
