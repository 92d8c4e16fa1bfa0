package limits

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// slot is the daemon's part in one group.
type slot struct {
	limiter *Limiter
	number  int
	mu      sync.Mutex
	pool    *pool.Pool
	waiters map[*tokens.Waiter]chan fleet.TokenResult
	armed   bool
	// woken has room for one signal that something is due.
	woken chan struct{}
	// granter and grants are what was logged last.
	granter string
	grants  bool
}

// wake makes run look at what is due.
func (s *slot) wake() {
	select {
	case s.woken <- struct{}{}:
	default: // a signal is waiting already
	}
}

// run sends what is due and ends waits until the limiter stops.
func (s *slot) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.limiter.ctx.Done():
			return
		case <-s.woken:
		case <-timer.C:
		}
		timer.Reset(s.step())
	}
}

// step does what is due and returns the time until the next step.
func (s *slot) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.limiter.Clock.Now()
	for _, m := range s.pool.DuePledges(now) {
		s.send(m)
	}
	s.resolve(s.pool.Expire(now))
	s.request()
	s.note(now)
	wait := max(s.pool.NextPledgeTime(now).Sub(now), waitTick)
	switch {
	case s.pool.Waiting():
		return min(wait, waitTick)
	case !s.pool.Idle():
		return min(wait, reportTick)
	}

	return wait
}

// note logs a change of the granter, and of this daemon's own part in granting.
func (s *slot) note(now time.Time) {
	share := s.pool.Share(now)
	if granter := s.pool.Granter(); granter != s.granter {
		s.limiter.Log.Info("granter changed", "group", s.number, "granter", granter, "before", s.granter,
			"epoch", s.pool.Owners().GetEpoch())
		s.granter = granter
	}
	if grants := share > 0; grants != s.grants {
		s.limiter.Log.Info("granting changed", "group", s.number, "share", share, "epoch", s.pool.Owners().GetEpoch(),
			"owners", len(s.pool.Owners().GetNames()))
		s.grants = grants
	}
}

// request sends the request for tokens that is due. If none is, although
// requests wait, it looks again when the pause between requests is over.
func (s *slot) request() {
	m := s.pool.NextTokenRequest(s.limiter.Clock.Now())
	if m != nil {
		s.send(*m)

		return
	}
	if len(s.waiters) == 0 || s.armed {
		return
	}
	s.armed = true
	time.AfterFunc(tokens.MinRequestInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.armed = false
		if m := s.pool.NextTokenRequest(s.limiter.Clock.Now()); m != nil {
			s.send(*m)
		}
	})
}

// send passes a message to this daemon's own pool at once, and to others in a
// goroutine. The caller holds the lock.
func (s *slot) send(m pool.Message) {
	l := s.limiter
	if m.To == l.Self.Name {
		answer, _ := s.pool.Handle(l.Clock.Now(), m.To, m.Frame)
		s.answer(m, answer)

		return
	}
	select {
	case l.calls <- struct{}{}:
	default:
		s.answer(m, nil)

		return
	}
	go func() {
		defer func() { <-l.calls }()
		answer := l.call(m.To, m.Frame)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answer(m, answer)
		if m.Frame.GetTokenRequest() != nil {
			s.request()
		} else {
			s.wake()
		}
	}()
}

func (s *slot) answer(m pool.Message, answer *peerpb.Frame) {
	s.resolve(s.pool.HandleAnswer(s.limiter.Clock.Now(), m, answer))
}

func (s *slot) resolve(waiters []*tokens.Waiter) {
	for _, w := range waiters {
		s.waiters[w] <- w.Result
		delete(s.waiters, w)
	}
}

// call reaches a daemon, by way of another one if need be. It returns nil if no
// answer came.
func (l *Limiter) call(daemon string, frame *peerpb.Frame) *peerpb.Frame {
	if relay := l.relays.of(daemon); relay != "" {
		return l.callThrough(relay, daemon, frame)
	}
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	if answer, ok := l.Peers.Call(ctx, daemon, frame); ok {
		return answer
	}
	relay := l.relays.choose(daemon, l.Self.Name, l.Members.Live())
	if relay == "" || l.ctx.Err() != nil {
		return nil
	}
	answer := l.callThrough(relay, daemon, frame)
	if answer != nil {
		l.relays.use(daemon, relay)
	}

	return answer
}
