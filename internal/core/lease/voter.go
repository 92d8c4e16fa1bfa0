package lease

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Voter is the state of one daemon as a seat of one group. A voter promises
// only in the highest epoch it knows and only after it became active there.
type Voter struct {
	self      *peerpb.Seat
	group     uint32
	muteUntil time.Time
	seats     *peerpb.Seats
	// adopted is when seats was first seen; it starts the wait of a forced repair.
	adopted time.Time
	// activeIn is the highest epoch in which this voter was allowed to promise.
	activeIn uint64
	read     time.Time
	// readEpoch is the epoch found by the read at time read.
	readEpoch  uint64
	holder     Daemon
	until      time.Time
	term       uint64
	termHolder Daemon
	answers    map[string]epochAnswer
}

type epochAnswer struct {
	sent, received time.Time
	result         *peerpb.SeatEpochResult
}

// NewVoter returns the voter of a daemon that started at now.
func NewVoter(group int, self Member, now time.Time) *Voter {
	return &Voter{
		self:      &peerpb.Seat{Name: self.Name, PeerAddress: self.PeerAddress.String(), AvailabilityZone: self.AvailabilityZone, Incarnation: self.Incarnation},
		group:     uint32(group), //nolint:gosec // groups are small and not negative
		muteUntil: now.Add(Margin(Duration)),
		answers:   map[string]epochAnswer{},
	}
}

// Seats returns the seats object of the highest known epoch, or nil. It is
// shared and must not be changed.
func (v *Voter) Seats() *peerpb.Seats { return v.seats }

// Active reports whether the voter may promise in its epoch.
func (v *Voter) Active(now time.Time) bool {
	v.activate(now)

	return v.seats != nil && v.activeIn == v.seats.GetEpoch() && v.fresh(now)
}

// Seated reports whether the daemon has a seat in the highest known epoch.
func (v *Voter) Seated() bool {
	own := find(v.seats.GetSeats(), v.self.GetName())

	return own != nil && own.GetPeerAddress() == v.self.GetPeerAddress()
}

// Promised returns the daemon to which the lease is promised at now.
func (v *Voter) Promised(now time.Time) (Daemon, bool) { return v.holder, now.Before(v.until) }

// Observe takes over a seats object that is, or was, in the store.
func (v *Voter) Observe(now time.Time, seats *peerpb.Seats) {
	if seats == nil || seats.GetGroup() != v.group || seats.GetEpoch() < v.seats.GetEpoch() {
		return
	}
	if seats.GetEpoch() > v.seats.GetEpoch() {
		v.activate(now)
		v.seats, v.adopted = seats, now
		clear(v.answers)
	} else if len(seats.GetPrevious()) == 0 && !seats.GetForced() {
		v.seats = seats
	}
	v.activate(now)
}

// Read takes over the object that a read of the store sent at sent has found.
func (v *Voter) Read(now, sent time.Time, seats *peerpb.Seats) {
	v.read, v.readEpoch = later(v.read, sent), max(v.readEpoch, seats.GetEpoch())
	v.Observe(now, seats)
}

func (v *Voter) fresh(now time.Time) bool { return !v.read.IsZero() && now.Sub(v.read) <= Grace }

// Queries returns what to ask other seats while the voter is not active. Of
// the answers within Duration, each counts from when its query was sent.
func (v *Voter) Queries(now time.Time) []Query {
	v.activate(now)
	if v.seats == nil || !v.Seated() || v.activeIn == v.seats.GetEpoch() || v.restarted() && now.Before(v.muteUntil) {
		return nil
	}
	var out []Query
	asked := map[string]bool{}
	for _, s := range append(append([]*peerpb.Seat{}, v.seats.GetPrevious()...), v.seats.GetSeats()...) {
		if !asked[s.GetName()] {
			asked[s.GetName()] = true
			out = append(out, Query{To: s.GetName(), Message: &peerpb.SeatEpoch{Group: v.group, Epoch: v.seats.GetEpoch(), Seats: v.seats}})
		}
	}

	return out
}

// Answer takes the answer of the seat named from to a query sent at sent.
func (v *Voter) Answer(now, sent time.Time, from string, result *peerpb.SeatEpochResult) {
	if result.GetEpoch() > v.seats.GetEpoch() {
		v.Observe(now, result.GetSeats())

		return
	}
	if result.GetEpoch() == v.seats.GetEpoch() {
		v.answers[from] = epochAnswer{sent: sent, received: now, result: result}
	}
	v.activate(now)
}

// Acknowledge answers a query of another seat. A voter that acknowledges an
// epoch never promises in a lower one again. Only a voter that was active in
// the epoch before can acknowledge: others know no promises to hand on.
func (v *Voter) Acknowledge(now time.Time, query *peerpb.SeatEpoch) *peerpb.SeatEpochResult {
	v.Observe(now, query.GetSeats())
	v.activate(now)
	epoch := v.seats.GetEpoch()
	result := &peerpb.SeatEpochResult{
		Acknowledged:       query.GetEpoch() > 0 && epoch >= query.GetEpoch() && v.activeIn > 0 && v.activeIn+1 >= query.GetEpoch(),
		Epoch:              epoch,
		Active:             epoch > 0 && v.activeIn == epoch,
		Seats:              v.seats,
		Term:               v.term,
		ReadAgeNanoseconds: -1,
	}
	if now.Before(v.until) {
		result.Holder, result.HolderIncarnation = v.holder.Name, v.holder.Incarnation
		result.PromiseNanoseconds = int64(v.until.Sub(now))
	}
	if !v.read.IsZero() {
		result.ReadAgeNanoseconds = int64(now.Sub(v.read))
	}

	return result
}

// Promise answers a candidate.
func (v *Voter) Promise(now time.Time, request *peerpb.PromiseRequest) *peerpb.PromiseResult {
	candidate := Daemon{Name: request.GetCandidate(), Incarnation: request.GetCandidateIncarnation()}
	mine := v.term == request.GetTerm() && v.termHolder == candidate
	if request.GetRelease() {
		if mine && v.holder == candidate {
			v.until = now
		}
	} else if request.GetEpoch() == v.seats.GetEpoch() && v.Active(now) &&
		(v.holder == candidate || !now.Before(v.until)) && (mine || request.GetTerm() > v.term) {
		if v.holder != candidate {
			v.until = now
		}
		v.holder, v.term, v.termHolder = candidate, request.GetTerm(), candidate
		v.until = later(v.until, now.Add(Margin(Duration)))

		return &peerpb.PromiseResult{Promised: true, Epoch: v.seats.GetEpoch(), Holder: candidate.Name, HolderIncarnation: candidate.Incarnation, Term: v.term}
	}
	result := &peerpb.PromiseResult{Epoch: v.seats.GetEpoch(), Term: v.term}
	if now.Before(v.until) {
		result.Holder, result.HolderIncarnation = v.holder.Name, v.holder.Incarnation
	}
	if request.GetEpoch() < v.seats.GetEpoch() {
		result.Seats = v.seats
	}

	return result
}

// restarted reports that the seat was given to an earlier run of this daemon,
// whose promises and acknowledgements are lost.
func (v *Voter) restarted() bool {
	own := find(v.seats.GetSeats(), v.self.GetName())

	return own != nil && own.GetIncarnation() != v.self.GetIncarnation()
}

func (v *Voter) activate(now time.Time) {
	if v.seats == nil || v.activeIn >= v.seats.GetEpoch() || !v.Seated() {
		return
	}
	if v.restarted() && (now.Before(v.muteUntil) || !v.confirmed(now)) {
		return
	}
	var sources []epochAnswer
	acknowledged, active := v.sources(now)
	switch {
	case len(v.seats.GetPrevious()) > 0 && len(acknowledged) >= Majority(len(v.seats.GetPrevious())):
		sources = acknowledged
	case len(active) > 0:
		sources = active
	case v.seats.GetForced() && now.Sub(v.adopted) >= Margin(Grace):
	case len(v.seats.GetPrevious()) == 0 && !v.seats.GetForced():
	default:
		return
	}
	for _, a := range sources {
		v.inherit(now, a)
	}
	v.activeIn = v.seats.GetEpoch()
	clear(v.answers)
}

// sources returns the recent answers of previous seats that acknowledged the
// epoch and of seats that are active in it. Older answers do not count: their
// seat may have restarted since, forgotten its acknowledgement and abstained
// long enough to vote again.
func (v *Voter) sources(now time.Time) (acknowledged, active []epochAnswer) {
	for name, a := range v.answers {
		if now.Sub(a.sent) >= Duration {
			delete(v.answers, name)

			continue
		}
		if a.result.GetAcknowledged() && find(v.seats.GetPrevious(), name) != nil {
			acknowledged = append(acknowledged, a)
		}
		if a.result.GetActive() && name != v.self.GetName() && find(v.seats.GetSeats(), name) != nil {
			active = append(active, a)
		}
	}

	return acknowledged, active
}

// confirmed reports that no higher epoch can have been acknowledged by an
// earlier run of this seat. Answers count only if asked for after the
// abstention, when every acknowledgement that names the earlier run is void.
func (v *Voter) confirmed(now time.Time) bool {
	if v.readEpoch == v.seats.GetEpoch() && !v.read.Before(v.muteUntil) {
		return true
	}
	others := len(v.seats.GetSeats()) - 1
	_, active := v.sources(now)

	return others > 0 && len(active) >= Majority(others)
}

// inherit takes over what another seat has promised, so that a holder of an
// earlier epoch keeps its lease while majorities of both epochs are disjoint.
func (v *Voter) inherit(now time.Time, a epochAnswer) {
	if a.result.GetTerm() > v.term {
		v.term, v.termHolder = a.result.GetTerm(), Daemon{}
		if a.result.GetPromiseNanoseconds() > 0 {
			// The holder of an open promise can renew and release it here too.
			v.termHolder = Daemon{Name: a.result.GetHolder(), Incarnation: a.result.GetHolderIncarnation()}
		}
	}
	if age := a.result.GetReadAgeNanoseconds(); age >= 0 {
		v.read = later(v.read, a.sent.Add(-Margin(time.Duration(age))))
	}
	until := a.received.Add(Margin(time.Duration(a.result.GetPromiseNanoseconds())))
	holder := Daemon{Name: a.result.GetHolder(), Incarnation: a.result.GetHolderIncarnation()}
	if a.result.GetPromiseNanoseconds() <= 0 || !now.Before(until) {
		return
	}
	if now.Before(v.until) && v.holder != holder {
		holder = Daemon{}
	}
	v.holder, v.until = holder, later(v.until, until)
}
