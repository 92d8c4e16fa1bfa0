package limits

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/group"
	"github.com/kumquatshelf/kumquatshelf/internal/core/lease"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// key returns the name of the group's object in the store and of its entry.
func (s *slot) key() string { return strconv.Itoa(s.number) }

// lease sends what is due for the lease and exchanges the group's entry.
func (s *slot) lease() {
	known := s.lookup()
	s.mu.Lock()
	now := time.Now()
	if known != nil {
		s.group.Learn(now, known)
	}
	for _, m := range s.group.Messages(now) {
		s.send(m)
	}
	var publish *peerpb.Lease
	if s.group.Held(now) {
		if own := s.group.Lease(); !proto.Equal(own, s.published) {
			publish, s.published = own, own
		}
	}
	s.mu.Unlock()
	if publish == nil {
		return
	}
	if value, err := proto.Marshal(publish); err == nil {
		s.limiter.entries.Publish(fleet.Entry{Kind: fleet.KindLease, Key: s.key(), Incarnation: publish.GetEpoch(), Version: publish.GetTerm(), Value: value})
	}
}

// lookup returns the group's entry if it is newer than the last one returned.
func (s *slot) lookup() *peerpb.Lease {
	entry, found := s.limiter.entries.Lookup(fleet.KindLease, s.key())
	if !found || !entry.Newer(s.seen) {
		return nil
	}
	s.seen = entry
	known := &peerpb.Lease{}
	if proto.Unmarshal(entry.Value, known) != nil {
		return nil
	}

	return known
}

// tokens sends the request for tokens that is due and ends waits.
func (s *slot) tokens() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.group.Idle() {
		return
	}
	s.resolve(s.group.Expire(time.Now()))
	s.request()
}

// request sends the request for tokens that is due. If none is, although
// requests wait, it looks again when the pause between requests is over.
func (s *slot) request() {
	m := s.group.TokenRequest(time.Now())
	if m != nil {
		s.send(*m)

		return
	}
	if len(s.waiters) == 0 || s.armed {
		return
	}
	s.armed = true
	time.AfterFunc(tokens.RequestGap, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.armed = false
		if m := s.group.TokenRequest(time.Now()); m != nil {
			s.send(*m)
		}
	})
}

// send passes a message to this daemon's own group at once, and to others in a
// goroutine. The caller holds the lock.
func (s *slot) send(m group.Message) {
	l := s.limiter
	if m.To == l.self.Name {
		answer, _ := s.group.Handle(time.Now(), m.To, m.Frame)
		s.answer(m, answer)

		return
	}
	select {
	case l.calls <- struct{}{}:
	default:
		s.answer(m, nil)

		return
	}
	toSeat := m.Frame.GetPromiseRequest() != nil
	if toSeat {
		l.ballots.Add(1)
	}
	go func() {
		defer func() { <-l.calls }()
		if toSeat {
			defer l.ballots.Add(-1)
		}
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		answer, ok := l.peers.Call(ctx, m.To, m.Frame)
		if !ok {
			answer = nil
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answer(m, answer)
		if m.Frame.GetTokenRequest() != nil {
			s.request()
		}
	}()
}

func (s *slot) answer(m group.Message, answer *peerpb.Frame) {
	s.resolve(s.group.Answer(time.Now(), m, answer))
}

func (s *slot) resolve(waiters []*tokens.Waiter) {
	for _, w := range waiters {
		s.waiters[w] <- w.Take
		delete(s.waiters, w)
	}
}

// seats reads the group's object when that is due, and puts a better one.
// Several daemons may do so at once; the store's condition lets one through.
func (s *slot) seats() {
	l := s.limiter
	s.mu.Lock()
	concerned := s.group.Concerned()
	s.mu.Unlock()
	var live []lease.Member
	if concerned {
		live = l.members.Live()
	}
	s.mu.Lock()
	sent := time.Now()
	due := s.group.ReadDue(sent)
	known := s.group.Seats()
	proposal := s.group.Propose(sent, live)
	s.mu.Unlock()
	if !due && proposal == nil {
		return
	}
	found, version, ok := s.read(sent)
	if !ok || proposal == nil || found.GetEpoch() != known.GetEpoch() {
		return
	}
	value, err := proto.Marshal(proposal)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	switch l.store.Put(ctx, fleet.Object{Kind: Kind, Name: s.key(), Value: value}, fleet.IfVersion(version)) {
	case fleet.StoreOK, fleet.StoreConflict, fleet.StoreAmbiguous:
		s.read(time.Now())
	case fleet.StoreUnavailable, fleet.StoreNotFound, fleet.StoreRejected:
	}
}

// read takes over the group's object. It returns false if the read failed.
func (s *slot) read(sent time.Time) (*peerpb.Seats, uint64, bool) {
	ctx, cancel := context.WithTimeout(s.limiter.ctx, storeTimeout)
	defer cancel()
	object, outcome := s.limiter.store.Get(ctx, Kind, s.key())
	var seats *peerpb.Seats
	switch outcome {
	case fleet.StoreOK:
		seats = &peerpb.Seats{}
		if proto.Unmarshal(object.Value, seats) != nil {
			return nil, 0, false
		}
	case fleet.StoreNotFound:
	case fleet.StoreUnavailable, fleet.StoreConflict, fleet.StoreAmbiguous, fleet.StoreRejected:
		return nil, 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Read(time.Now(), sent, seats)

	return seats, object.Version, true
}
