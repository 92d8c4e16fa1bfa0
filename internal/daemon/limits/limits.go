// Package limits runs the limits of client accounts on a daemon: the shares that
// it lends and was lent, the buckets that it grants from, and the tokens it holds.
package limits

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// callTimeout is many round trips between availability zones.
	callTimeout = 200 * time.Millisecond
	// waitTick is how late a retry or a deadline is noticed while requests wait,
	// and reportTick while tokens are held.
	waitTick   = 5 * time.Millisecond
	reportTick = 50 * time.Millisecond
	// memberTick is the time between looks at the members and the owners.
	memberTick = 500 * time.Millisecond
	// searchTick is that time while no daemon is known to grant.
	searchTick = 100 * time.Millisecond
	// maxCalls bounds the calls in flight. A message beyond it counts as lost;
	// the state machines repeat it as after any other loss.
	maxCalls = 512
)

// Dependencies are what a limiter works with.
type Dependencies struct {
	// Self is this run of the daemon.
	Self pool.Daemon
	// Groups is the number of groups of client accounts, the same at all daemons.
	Groups  int
	Peers   PeerCaller
	Store   Store
	Members Members
	// RetryBudget bounds the extra attempts at each service.
	RetryBudget pool.RetryBudget
	// Clock counts the time in which the instance is suspended.
	Clock  Clock
	Random *rand.Rand
	Log    *slog.Logger
}

// Limiter decides which requests are within the limits of their client account.
type Limiter struct {
	Dependencies
	slots  []*slot
	relays *relays
	calls  chan struct{}
	// retriesMu guards Retries.
	retriesMu sync.Mutex
	running   sync.WaitGroup
	ctx       context.Context //nolint:containedctx // bounds the background goroutines, which outlive any call
}

// New starts the limiter of a daemon. The returned function stops it at once and
// waits for its goroutines; call Stop before for a planned stop.
func New(dependencies Dependencies) (*Limiter, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		Dependencies: dependencies, relays: newRelays(), calls: make(chan struct{}, maxCalls), ctx: ctx,
	}
	now := l.Clock.Now()
	for i := range l.Groups {
		own := rand.New(rand.NewPCG(l.Random.Uint64(), l.Random.Uint64())) //nolint:gosec // numbers batches, keeps no secret
		l.slots = append(l.slots, &slot{
			limiter: l, number: i, pool: pool.New(i, l.Self, now, own),
			waiters: map[*tokens.Waiter]chan fleet.TokenResult{}, woken: make(chan struct{}, 1),
		})
	}
	for _, s := range l.slots {
		l.running.Go(s.run)
	}
	l.running.Go(l.manage)

	return l, sync.OnceFunc(func() {
		cancel()
		l.running.Wait()
		for range maxCalls {
			l.calls <- struct{}{}
		}
	})
}

// Configure installs the limits of a configuration.
func (l *Limiter) Configure(configuration *fleet.Configuration) {
	for i, s := range l.slots {
		s.mu.Lock()
		s.pool.Configure(l.Clock.Now(), tokens.GroupLimits(configuration.ClientAccounts, i, len(l.slots)))
		s.mu.Unlock()
	}
}

// Take spends one token of a client account. It waits only while one is expected
// in time.
func (l *Limiter) Take(ctx context.Context, demand fleet.TokenDemand) fleet.TokenResult {
	s := l.slots[fleet.GroupIndex(demand.ClientAccount, len(l.slots))]
	s.mu.Lock()
	now := l.Clock.Now()
	demand.Deadline = now.Add(time.Until(demand.Deadline))
	if !demand.OverLimitDeadline.IsZero() {
		demand.OverLimitDeadline = now.Add(time.Until(demand.OverLimitDeadline))
	}
	take, waiter := s.pool.Take(now, demand)
	if waiter == nil {
		s.mu.Unlock()

		return take
	}
	done := make(chan fleet.TokenResult, 1)
	s.waiters[waiter] = done
	s.request()
	s.wake()
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
	s.pool.Cancel(waiter)

	return fleet.TokenResult{Outcome: fleet.GranterUnreachable}
}

// Handle answers a Pledge, TokenRequest or Relay of the daemon named from. It
// returns false for other frames and for groups that do not exist.
func (l *Limiter) Handle(ctx context.Context, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	var number uint32
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Pledge:
		number = body.Pledge.GetGroup()
	case *peerpb.Frame_TokenRequest:
		number = body.TokenRequest.GetGroup()
	case *peerpb.Frame_Relay:
		return l.relay(ctx, from, body.Relay)
	case *peerpb.Frame_RetryRequest:
		granted := l.grantRetry(body.RetryRequest)

		return &peerpb.Frame{Body: &peerpb.Frame_RetryResult{RetryResult: &peerpb.RetryResult{Granted: granted}}}, true
	default:
		return nil, false
	}
	if int64(number) >= int64(len(l.slots)) {
		return nil, false
	}
	s := l.slots[number]
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.pool.Handle(l.Clock.Now(), from, frame)
}

// SpendRetry asks whether one more attempt may be made at a service. Use is that since
// the last call that was answered, which the second result tells.
func (l *Limiter) SpendRetry(service string, use fleet.ServiceUsage) (granted, answered bool) {
	return l.askRetry(retryRequest(service, use))
}

// ReportUsage tells the granter of the use of a service, and reports whether it knows.
func (l *Limiter) ReportUsage(service string, use fleet.ServiceUsage) bool {
	request := retryRequest(service, use)
	request.ReportOnly = true
	_, answered := l.askRetry(request)

	return answered
}

func retryRequest(service string, use fleet.ServiceUsage) *peerpb.RetryRequest {
	return &peerpb.RetryRequest{
		Service:  service,
		Requests: uint32(max(use.Requests, 0)), //nolint:gosec // counts are small
		Repeats:  uint32(max(use.Repeats, 0)),  //nolint:gosec // counts are small
	}
}

func (l *Limiter) askRetry(request *peerpb.RetryRequest) (granted, answered bool) {
	granter := l.Granter(0)
	switch granter {
	case "":
		return false, false
	case l.Self.Name:
		return l.grantRetry(request), true
	}
	answer := l.call(granter, &peerpb.Frame{Body: &peerpb.Frame_RetryRequest{RetryRequest: request}})

	return answer.GetRetryResult().GetGranted(), answer != nil
}

func (l *Limiter) grantRetry(request *peerpb.RetryRequest) bool {
	share := l.Shares()[0]
	use := fleet.ServiceUsage{Requests: int(request.GetRequests()), Repeats: int(request.GetRepeats())}
	l.retriesMu.Lock()
	defer l.retriesMu.Unlock()
	if request.GetReportOnly() {
		l.RetryBudget.Record(l.Clock.Now(), request.GetService(), use, share)

		return false
	}

	return l.RetryBudget.Spend(l.Clock.Now(), request.GetService(), use, share)
}

// Shares returns the part of the limits of each group that this daemon grants.
func (l *Limiter) Shares() []float64 {
	shares := make([]float64, len(l.slots))
	for i, s := range l.slots {
		s.mu.Lock()
		shares[i] = s.pool.Share(l.Clock.Now())
		s.mu.Unlock()
	}

	return shares
}

// Granter returns the daemon that this one asks for the tokens of a group, or "".
func (l *Limiter) Granter(number int) string {
	s := l.slots[number]
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.pool.Granter()
}

// StopGranting ends this daemon's part in granting. The others turn to another daemon
// when they learn that it leaves. Take goes on.
func (l *Limiter) StopGranting() {
	for _, s := range l.slots {
		s.mu.Lock()
		s.pool.StopGranting()
		s.mu.Unlock()
	}
}
