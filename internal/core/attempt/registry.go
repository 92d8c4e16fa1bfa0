// Package attempt implements the egress's registry of attempts. The registry ensures
// that each attempt starts at most once, and can tell an ingress whether it ran.
package attempt

import (
	"container/list"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Verdict is the registry's decision about an attempt that arrived.
type Verdict int

// Verdicts about an attempt.
const (
	// Stale means that the attempt is rejected and may have run: its session is not the
	// current one of its ingress, or its record may have been evicted.
	Stale Verdict = iota
	// Admitted means that the attempt is recorded as queued. The caller must later call
	// Start or Refuse for it, unless it is cancelled or its session ends.
	Admitted
	// Duplicate means that the attempt arrived before and may run or have run.
	Duplicate
	// Cancelled means that the attempt has not run and never will.
	Cancelled
	// WrongIncarnation means that the attempt was sent to another incarnation of this
	// daemon. It never runs here.
	WrongIncarnation
	// Full means that no attempt or key record is free. The attempt never runs here.
	Full
	// Replayed means that the first attempt with the idempotency key has ended and its
	// result is recorded. The attempt doesn't run.
	Replayed
	// KeyInProgress means that the first attempt with the idempotency key has not ended.
	// The attempt doesn't run.
	KeyInProgress
	// KeyMisused means that the idempotency key was used before with a different request.
	// The attempt never runs here.
	KeyMisused
)

// Admission is the result of Registry.Admit.
type Admission struct {
	Verdict Verdict
	// Result is the result recorded for the idempotency key if Verdict is Replayed.
	Result Result
}

// OpenResult is the result of Registry.OpenSession.
type OpenResult struct {
	// Accepted is false if a newer session or incarnation of the ingress is known, or if
	// no more ingresses can be tracked.
	Accepted bool
	// ClosedSessions lists the session that the new one replaced, if any.
	ClosedSessions []fleet.Session
	// RemovedAttempts lists the queued attempts of the replaced session. They never run
	// and must be removed from the queue.
	RemovedAttempts []fleet.AttemptID
}

// state is the state of an attempt.
type state int

const (
	queued state = iota
	started
	finished
)

// record holds the state of one attempt.
type record struct {
	id    fleet.AttemptID
	state state
	// outcome is set when state is finished.
	outcome fleet.Outcome
	// key is the record of the idempotency key if this is the key's first attempt and it
	// has not ended, otherwise nil.
	key *keyRecord
	// inRegistry and inIngress are the positions in Registry.finished and
	// ingressState.finished. They are nil unless state is finished.
	inRegistry, inIngress *list.Element
}

// ingressState holds the session and the attempts of the newest incarnation of an ingress.
type ingressState struct {
	name        string
	incarnation uint64
	// session is the number of the newest session, which is current while open is set.
	session uint64
	open    bool
	// closedAt is when the newest session was closed.
	closedAt time.Time
	// watermark is the highest sequence number whose record was evicted, if hasWatermark is
	// set. An attempt without a record at or below it may have run and must not start.
	watermark    uint64
	hasWatermark bool
	// maybeRemoved reports that the ingress may have been tracked before and removed since,
	// so that an attempt without a record may have run.
	maybeRemoved bool
	// records holds the attempts of this incarnation by sequence number.
	records map[uint64]*record
	// finished lists the records of finished attempts, oldest first.
	finished list.List
}

// raiseWatermark raises the watermark to the sequence number of an attempt that has no
// record from now on.
func (in *ingressState) raiseWatermark(sequence uint64) {
	in.watermark = max(in.watermark, sequence)
	in.hasWatermark = true
}

// maybeEvicted reports whether an attempt without a record may have had one.
func (in *ingressState) maybeEvicted(sequence uint64) bool {
	return in.hasWatermark && sequence <= in.watermark
}

// Registry tracks the attempts that reached this egress.
// It is not safe for concurrent use.
type Registry struct {
	// incarnation is the incarnation of this egress.
	incarnation uint64
	limits      Limits
	// ingresses is keyed by the name of the ingress's daemon.
	ingresses map[string]*ingressState
	// detached holds the started attempts of ingress incarnations that were replaced or
	// removed.
	detached map[fleet.AttemptID]*record
	// finished lists the records of finished attempts of all ingresses, oldest first.
	finished list.List
	// records is the number of all records, including those in detached.
	records int
	keys    *keyTable
	// removedIngress reports whether any ingress was removed to track another.
	removedIngress bool
}

// New returns an empty registry for the given incarnation of the egress.
func New(incarnation uint64, limits Limits) *Registry {
	return &Registry{
		incarnation: incarnation,
		limits:      limits,
		ingresses:   map[string]*ingressState{},
		detached:    map[fleet.AttemptID]*record{},
		keys:        newKeyTable(limits),
	}
}

// Len returns the number of attempt records.
func (r *Registry) Len() int { return r.records }

// Admit decides whether an attempt that arrived on a session may run, and records it.
func (r *Registry) Admit(session fleet.Session, attempt fleet.Attempt, now time.Time) Admission {
	in := r.currentIngress(session, attempt.ID)
	if in == nil {
		return Admission{Verdict: Stale}
	}
	// No record is needed: every copy of the attempt names the same incarnation, so none
	// is admitted here.
	if attempt.EgressIncarnation != 0 && attempt.EgressIncarnation != r.incarnation {
		return Admission{Verdict: WrongIncarnation}
	}
	if _, known := r.find(attempt.ID); known != nil {
		if known.state == finished && known.outcome == fleet.NotRun {
			return Admission{Verdict: Cancelled}
		}

		return Admission{Verdict: Duplicate}
	}
	if in.maybeEvicted(attempt.ID.Sequence) {
		return Admission{Verdict: Stale}
	}
	if !r.ensureFreeRecord() {
		in.raiseWatermark(attempt.ID.Sequence)

		return Admission{Verdict: Full}
	}

	return r.insert(in, attempt, now)
}

// insert records an attempt that has no record, and claims its idempotency key.
func (r *Registry) insert(in *ingressState, attempt fleet.Attempt, now time.Time) Admission {
	rec := &record{id: attempt.ID, state: queued}
	admission := Admission{Verdict: Admitted}
	// An idempotent request may run more than once, so its key is not recorded.
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
		// With NotRun, a cancel of this attempt would permit the ingress to retry the
		// request elsewhere although its first attempt may have run here.
		r.finish(in, rec, fleet.Unknown)
	}

	return admission
}

// Start marks a queued attempt as started. It returns false if the attempt is not
// queued; the caller must then not run it.
func (r *Registry) Start(id fleet.AttemptID) bool {
	_, rec := r.find(id)
	if rec == nil || rec.state != queued {
		return false
	}
	rec.state = started

	return true
}

// Refuse ends a queued attempt that never runs. It returns false if the attempt is not
// queued.
func (r *Registry) Refuse(id fleet.AttemptID, now time.Time) bool {
	in, rec := r.find(id)
	if rec == nil || rec.state != queued {
		return false
	}
	r.end(in, rec, Result{Outcome: fleet.NotRun}, now)

	return true
}

// Finish ends a started attempt and records its result. It returns false if the attempt
// is not running.
func (r *Registry) Finish(id fleet.AttemptID, result Result, now time.Time) bool {
	in, rec := r.find(id)
	if rec == nil || rec.state != started {
		return false
	}
	r.end(in, rec, result, now)

	return true
}

// Cancel prevents an attempt that has not started from starting. The second result is
// true if the attempt was queued; the caller must then remove it from the queue.
//
// EgressIncarnation is the incarnation of the egress to which the ingress sent the
// attempt, or 0 if the ingress doesn't know it. An attempt without a record may have run
// under an earlier incarnation. It is therefore confirmed as not run only if it was sent
// to this incarnation. With 0 the attempt never starts here, but the result is
// CancelUnknown. The same holds for an ingress whose earlier records this registry may
// have removed.
func (r *Registry) Cancel(
	session fleet.Session, id fleet.AttemptID, egressIncarnation uint64, now time.Time,
) (fleet.CancelResult, bool) {
	return r.cancel(r.currentIngress(session, id), id, egressIncarnation, now)
}

// CancelRelayed is like Cancel, for a cancel that did not arrive on a session of the
// attempt's ingress. That session may have ended; none of its attempts is admitted then.
func (r *Registry) CancelRelayed(id fleet.AttemptID, egressIncarnation uint64, now time.Time) (fleet.CancelResult, bool) {
	in := r.ingresses[id.Ingress]
	if in != nil && in.incarnation != id.Incarnation {
		in = nil
	}

	return r.cancel(in, id, egressIncarnation, now)
}

// cancel cancels an attempt of an ingress, which is nil if it is not tracked.
func (r *Registry) cancel(in *ingressState, id fleet.AttemptID, egressIncarnation uint64, now time.Time) (fleet.CancelResult, bool) {
	if in == nil || egressIncarnation != 0 && egressIncarnation != r.incarnation {
		return fleet.CancelUnknown, false
	}
	if _, rec := r.find(id); rec != nil {
		if rec.state == queued {
			r.end(in, rec, Result{Outcome: fleet.NotRun}, now)

			return fleet.CancelNotRun, true
		}
		if rec.state == finished && rec.outcome == fleet.NotRun {
			return fleet.CancelNotRun, false
		}

		return fleet.CancelStarted, false
	}
	if in.maybeEvicted(id.Sequence) {
		return fleet.CancelUnknown, false
	}
	result, outcome := fleet.CancelNotRun, fleet.NotRun
	if egressIncarnation == 0 || in.maybeRemoved {
		result, outcome = fleet.CancelUnknown, fleet.Unknown
	}
	r.addTombstone(in, id, outcome)

	return result, false
}

// addTombstone records an attempt that has not arrived as finished, so that it can't
// start when it arrives later. If no record is free, it raises the watermark instead.
func (r *Registry) addTombstone(in *ingressState, id fleet.AttemptID, outcome fleet.Outcome) {
	if !r.ensureFreeRecord() {
		in.raiseWatermark(id.Sequence)

		return
	}
	rec := &record{id: id}
	in.records[id.Sequence] = rec
	r.records++
	r.finish(in, rec, outcome)
}

// ExpireKeys removes the idempotency keys whose attempt ended at least Limits.KeyRetention
// before now.
func (r *Registry) ExpireKeys(now time.Time) { r.keys.expire(now) }

// end finishes the record of an attempt and that of its idempotency key. The ingress
// state is nil for a detached attempt, whose record is removed.
func (r *Registry) end(in *ingressState, rec *record, result Result, now time.Time) {
	if rec.key != nil {
		r.keys.end(rec.key, result, now)
		rec.key = nil
	}
	if in == nil {
		delete(r.detached, rec.id)
		r.records--

		return
	}
	r.finish(in, rec, result.Outcome)
}

// finish marks a record as finished and keeps it for late copies and cancels, within the
// limit per ingress.
func (r *Registry) finish(in *ingressState, rec *record, outcome fleet.Outcome) {
	rec.state, rec.outcome = finished, outcome
	rec.inRegistry = r.finished.PushBack(rec)
	rec.inIngress = in.finished.PushBack(rec)
	if in.finished.Len() > r.limits.RecordsPerIngress {
		r.evict(in.finished.Front())
	}
}

// ensureFreeRecord evicts the oldest finished record if the registry is full. It returns
// false if the attempts of all records are queued or started.
func (r *Registry) ensureFreeRecord() bool {
	if r.records < r.limits.Records {
		return true
	}
	if r.finished.Len() == 0 {
		return false
	}
	r.evict(r.finished.Front())

	return true
}

// evict removes a finished record and raises the watermark of its ingress.
func (r *Registry) evict(element *list.Element) {
	rec, _ := element.Value.(*record)
	in := r.ingresses[rec.id.Ingress]
	in.raiseWatermark(rec.id.Sequence)
	r.remove(in, rec)
}

// remove removes a finished record.
func (r *Registry) remove(in *ingressState, rec *record) {
	r.finished.Remove(rec.inRegistry)
	in.finished.Remove(rec.inIngress)
	delete(in.records, rec.id.Sequence)
	r.records--
}

// currentIngress returns the state of the session's ingress. It returns nil if the
// session is not the ingress's current one, or if the attempt ID names another ingress
// or incarnation than the session.
func (r *Registry) currentIngress(session fleet.Session, id fleet.AttemptID) *ingressState {
	in := r.ingresses[session.Daemon]
	if in == nil || !in.open || in.incarnation != session.Incarnation || in.session != session.Number {
		return nil
	}
	if id.Ingress != session.Daemon || id.Incarnation != session.Incarnation {
		return nil
	}

	return in
}

// find returns the record of an attempt and the state of its ingress. The record is nil
// if there is none, and the state is nil if the ingress incarnation is not tracked.
func (r *Registry) find(id fleet.AttemptID) (*ingressState, *record) {
	if rec := r.detached[id]; rec != nil {
		return nil, rec
	}
	in := r.ingresses[id.Ingress]
	if in == nil || in.incarnation != id.Incarnation {
		return nil, nil
	}

	return in, in.records[id.Sequence]
}
