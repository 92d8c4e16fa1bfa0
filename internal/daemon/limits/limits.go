// Package limits runs the limits of client accounts on a daemon: its seats, its
// leases, the buckets of the groups it grants for, and the tokens it holds.
package limits

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/group"
	"github.com/kumquatshelf/kumquatshelf/internal/core/lease"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// callTimeout is many round trips between availability zones.
	callTimeout = 200 * time.Millisecond
	// leaseTick is how late a renewal or an election can begin.
	leaseTick = 50 * time.Millisecond
	// tokenTick is how late a retry, a report or a deadline is noticed.
	tokenTick = 5 * time.Millisecond
	// seatTick is the time between looks at the store's objects.
	seatTick = time.Second
	// storeTimeout bounds one call of the store, which answers in milliseconds.
	storeTimeout = 2 * time.Second
	// maxCalls bounds the calls in flight. A message beyond it counts as lost;
	// the state machines repeat it as after any other loss.
	maxCalls = 512
)

// Limiter decides which requests are within the limits of their client account.
type Limiter struct {
	self    lease.Member
	peers   Peers
	store   Store
	members Members
	entries Entries
	slots   []*slot
	calls   chan struct{}
	// ballots counts the calls to seats in flight.
	ballots atomic.Int64
	running sync.WaitGroup
	ctx     context.Context //nolint:containedctx // bounds the background goroutines, which outlive any call
}

// slot is the daemon's part in one group.
type slot struct {
	limiter *Limiter
	number  int
	mu      sync.Mutex
	group   *group.Group
	waiters map[*tokens.Waiter]chan fleet.Take
	armed   bool
	// published is the entry that was published last, and seen the one that was
	// looked up last; only the goroutine of the leases uses seen.
	published *peerpb.Lease
	seen      fleet.Entry
}

// New starts the limiter of the daemon self for a number of groups. All
// daemons have the same number. The returned function stops it at once, without
// releasing leases, and waits for its goroutines; call Stop before for a planned stop.
func New(self lease.Member, groups int, peers Peers, store Store, members Members, entries Entries, random *rand.Rand) (*Limiter, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		self: self, peers: peers, store: store, members: members, entries: entries,
		calls: make(chan struct{}, maxCalls), ctx: ctx,
	}
	now := time.Now()
	for i := range groups {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) //nolint:gosec // spreads retries, keeps no secret
		l.slots = append(l.slots, &slot{limiter: l, number: i, group: group.New(i, self, now, own), waiters: map[*tokens.Waiter]chan fleet.Take{}})
	}
	l.every(leaseTick, (*slot).lease)
	l.every(tokenTick, (*slot).tokens)
	l.every(seatTick, (*slot).seats)

	return l, sync.OnceFunc(func() {
		cancel()
		l.running.Wait()
		for range maxCalls {
			l.calls <- struct{}{}
		}
	})
}

// every runs do for each group in turn, in a goroutine of its own, at once and
// then at every interval.
func (l *Limiter) every(interval time.Duration, do func(*slot)) {
	l.running.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			for _, s := range l.slots {
				if l.ctx.Err() != nil {
					return
				}
				do(s)
			}
			select {
			case <-l.ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

// Configure installs the limits of a configuration.
func (l *Limiter) Configure(configuration *fleet.Configuration) {
	for i, s := range l.slots {
		s.mu.Lock()
		s.group.Configure(time.Now(), tokens.LimitsOf(configuration.ClientAccounts, i, len(l.slots)))
		s.mu.Unlock()
	}
}

// Take spends one token of a client account. It waits at most until the
// deadline, and only if the token is expected before.
func (l *Limiter) Take(ctx context.Context, clientAccount string, deadline time.Time) fleet.Take {
	s := l.slots[fleet.Group(clientAccount, len(l.slots))]
	s.mu.Lock()
	take, waiter := s.group.Take(time.Now(), clientAccount, deadline)
	if waiter == nil {
		s.mu.Unlock()

		return take
	}
	done := make(chan fleet.Take, 1)
	s.waiters[waiter] = done
	s.request()
	s.mu.Unlock()
	select {
	case take = <-done:
		return take
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case take = <-done:
		return take
	default:
	}
	delete(s.waiters, waiter)
	s.group.Cancel(waiter)

	return fleet.Take{Outcome: fleet.GranterAway}
}

// Handle answers a PromiseRequest, SeatEpoch or TokenRequest of the daemon
// named from. It returns false for other frames and for groups that do not exist.
func (l *Limiter) Handle(ctx context.Context, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	var number uint32
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_PromiseRequest:
		if body.PromiseRequest.GetCandidate() != from {
			return nil, false
		}
		number = body.PromiseRequest.GetGroup()
	case *peerpb.Frame_SeatEpoch:
		number = body.SeatEpoch.GetGroup()
	case *peerpb.Frame_TokenRequest:
		number = body.TokenRequest.GetGroup()
	default:
		return nil, false
	}
	if int64(number) >= int64(len(l.slots)) {
		return nil, false
	}
	s := l.slots[number]
	s.mu.Lock()
	answer, ok := s.group.Handle(time.Now(), from, frame)
	s.mu.Unlock()
	if result := answer.GetTokenResult(); result != nil && !result.GetGranter() && frame.GetTokenRequest().GetRelay() {
		return l.relay(ctx, from, frame.GetTokenRequest(), answer), true
	}

	return answer, ok
}

// relay passes a request for tokens on to the granter for a daemon that cannot
// reach it. The tokens expire by the time at which that daemon sent its request,
// so that the longer way does not prolong them. It returns answer if the granter
// is not known or does not grant.
func (l *Limiter) relay(ctx context.Context, from string, request *peerpb.TokenRequest, answer *peerpb.Frame) *peerpb.Frame {
	granter := answer.GetTokenResult().GetHolder()
	if granter == "" || granter == from || granter == l.self.Name {
		return answer
	}
	select {
	case l.calls <- struct{}{}:
		defer func() { <-l.calls }()
	default:
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	relayed, ok := l.peers.Call(ctx, granter, &peerpb.Frame{Body: &peerpb.Frame_TokenRequest{TokenRequest: &peerpb.TokenRequest{
		Group: request.GetGroup(), Demands: request.GetDemands(), Incarnation: request.GetIncarnation(),
		Sequence: request.GetSequence(), Asker: from,
	}}})
	if !ok || !relayed.GetTokenResult().GetGranter() {
		return answer
	}
	relayed.GetTokenResult().Holder = granter

	return relayed
}

// Held reports whether this daemon holds the lease of a group at now.
func (l *Limiter) Held(number int, now time.Time) bool {
	s := l.slots[number]
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.group.Held(now)
}

// Holder returns the daemon that is believed to hold the lease of a group.
func (l *Limiter) Holder(number int) (daemon string, known bool) {
	s := l.slots[number]
	s.mu.Lock()
	defer s.mu.Unlock()
	daemon = s.group.Holder(time.Now())

	return daemon, daemon != ""
}

// Stop gives up all leases. It returns when their grants have expired and the
// seats were told, or when ctx ends; leases that were not released expire.
// Take goes on with the tokens of other granters.
func (l *Limiter) Stop(ctx context.Context) {
	for _, s := range l.slots {
		s.mu.Lock()
		s.group.End(time.Now())
		s.mu.Unlock()
	}
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for l.ending() {
		select {
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ending reports that a lease is not yet released, or that messages to seats
// are on their way.
func (l *Limiter) ending() bool {
	for _, s := range l.slots {
		s.mu.Lock()
		ending := s.group.Ending()
		s.mu.Unlock()
		if ending {
			return true
		}
	}

	return l.ballots.Load() > 0
}
