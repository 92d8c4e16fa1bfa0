// Package attempt holds the egress's registry of attempts. It starts each
// attempt at most once and says of each whether it ran.
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
	// KeyInProgress means that the key's first attempt has not ended.
	KeyInProgress
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

// OpenResult is the answer to Open.
type OpenResult struct {
	// Accepted is false if a newer session or incarnation is known, or if no
	// more ingresses can be tracked.
	Accepted bool
	// ClosedSessions lists the session that this one replaced, if any.
	ClosedSessions []fleet.Session
	// RemovedAttempts lists the attempts that were queued by it. They never run.
	RemovedAttempts []fleet.AttemptID
}

type state int

const (
	queued state = iota
	started
	finished
)

type record struct {
	id      fleet.AttemptID
	state   state
	outcome fleet.Outcome
	key     *keyRecord
	// Positions among the finished records; nil unless finished.
	all, own *list.Element
}

type ingress struct {
	name        string
	incarnation uint64
	session     uint64
	open        bool
	closedAt    time.Time
	// watermark is the highest sequence whose record was evicted, if evicted
	// is set. Without a record, an attempt at or below it may have run and
	// must not start.
	watermark uint64
	evicted   bool
	// unsure says that the ingress may have been known before and forgotten,
	// so that an attempt without a record may have run.
	unsure   bool
	records  map[uint64]*record
	finished list.List
}

// pass advances the watermark.
func (in *ingress) pass(sequence uint64) {
	in.watermark = max(in.watermark, sequence)
	in.evicted = true
}

func (in *ingress) passed(sequence uint64) bool {
	return in.evicted && sequence <= in.watermark
}

// Registry tracks the attempts that reached this egress.
// It is not safe for concurrent use.
type Registry struct {
	incarnation uint64
	limits      Limits
	ingresses   map[string]*ingress
	// detached holds started attempts of incarnations that were replaced.
	detached map[fleet.AttemptID]*record
	finished list.List
	records  int
	keys     *keyTable
	// forgot says that at least one ingress was forgotten.
	forgot bool
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
	if _, known := r.find(attempt.ID); known != nil {
		if known.state == finished && known.outcome == fleet.NotRun {
			return Admission{Verdict: Cancelled}
		}

		return Admission{Verdict: Duplicate}
	}
	if in.passed(attempt.ID.Sequence) {
		return Admission{Verdict: Stale}
	}
	if !r.room() {
		in.pass(attempt.ID.Sequence)

		return Admission{Verdict: Full}
	}

	return r.insert(in, attempt, now)
}

func (r *Registry) insert(in *ingress, attempt fleet.Attempt, now time.Time) Admission {
	rec := &record{id: attempt.ID, state: queued}
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
// Neither is it for an ingress that this one may have forgotten.
func (r *Registry) Cancel(
	session fleet.Session, id fleet.AttemptID, egressIncarnation uint64, now time.Time,
) (fleet.CancelResult, bool) {
	in := r.current(session, id)
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
	if in.passed(id.Sequence) {
		return fleet.CancelUnknown, false
	}
	result, outcome := fleet.CancelNotRun, fleet.NotRun
	if egressIncarnation == 0 || in.unsure {
		result, outcome = fleet.CancelUnknown, fleet.Unknown
	}
	r.bury(in, id, outcome)

	return result, false
}

// bury leaves a tombstone that keeps an attempt from starting when it arrives
// later. If no record is free, the watermark serves as the tombstone.
func (r *Registry) bury(in *ingress, id fleet.AttemptID, outcome fleet.Outcome) {
	if !r.room() {
		in.pass(id.Sequence)

		return
	}
	rec := &record{id: id}
	in.records[id.Sequence] = rec
	r.records++
	r.finish(in, rec, outcome)
}

// ExpireKeys forgets idempotency keys whose time has passed.
func (r *Registry) ExpireKeys(now time.Time) { r.keys.expire(now) }

// end finishes a record and settles its idempotency key.
func (r *Registry) end(in *ingress, rec *record, result Result, now time.Time) {
	if rec.key != nil {
		r.keys.settle(rec.key, result, now)
		rec.key = nil
	}
	if in == nil {
		delete(r.detached, rec.id)
		r.records--

		return
	}
	r.finish(in, rec, result.Outcome)
}

func (r *Registry) finish(in *ingress, rec *record, outcome fleet.Outcome) {
	rec.state, rec.outcome = finished, outcome
	rec.all = r.finished.PushBack(rec)
	rec.own = in.finished.PushBack(rec)
	if in.finished.Len() > r.limits.RecordsPerIngress {
		r.evict(in.finished.Front())
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
	r.evict(r.finished.Front())

	return true
}

func (r *Registry) evict(element *list.Element) {
	rec, _ := element.Value.(*record)
	in := r.ingresses[rec.id.Ingress]
	in.pass(rec.id.Sequence)
	r.drop(in, rec)
}

func (r *Registry) drop(in *ingress, rec *record) {
	r.finished.Remove(rec.all)
	in.finished.Remove(rec.own)
	delete(in.records, rec.id.Sequence)
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
	if rec := r.detached[id]; rec != nil {
		return nil, rec
	}
	in := r.ingresses[id.Ingress]
	if in == nil || in.incarnation != id.Incarnation {
		return nil, nil
	}

	return in, in.records[id.Sequence]
}
