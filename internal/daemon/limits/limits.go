// Package limits enforces the rate limits of client accounts on a daemon. Package pool
// decides on leases of shares between daemons, token buckets and the tokens granted to
// this daemon. This package does the I/O for it: it sends the messages, accesses the
// store and runs the goroutines.
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
	// callTimeout is the time limit of a call to another daemon: many round trips
	// between availability zones.
	callTimeout = 200 * time.Millisecond
	// waitingPollInterval is the longest delay after which a due retry or a passed
	// deadline is handled while requests wait for tokens.
	waitingPollInterval = 5 * time.Millisecond
	// reportPollInterval is the longest delay after which a due report is sent while
	// this daemon holds tokens.
	reportPollInterval = 50 * time.Millisecond
	// memberInterval is the interval at which the members and the owners are checked
	// for changes.
	memberInterval = 500 * time.Millisecond
	// granterSearchInterval replaces memberInterval while a group has no granter
	// that is known to have a majority.
	granterSearchInterval = 100 * time.Millisecond
	// maxCalls is the maximum number of calls to other daemons in flight. A further
	// message is dropped and counts as lost; the pools repeat it as after any other
	// loss.
	maxCalls = 512
)

// Dependencies are the settings of a limiter and the interfaces that it uses.
type Dependencies struct {
	// Self identifies this run of the daemon.
	Self pool.Daemon
	// Groups is the number of groups of client accounts. It must be the same at all
	// daemons.
	Groups  int
	Peers   PeerCaller
	Store   Store
	Members Members
	// RetryBudget limits the extra attempts at each service.
	RetryBudget pool.RetryBudget
	// Clock must include the time in which the instance is suspended.
	Clock Clock
	// Random is used only by New.
	Random *rand.Rand
	Log    *slog.Logger
}

// Limiter enforces the rate limits of client accounts and the retry budget. It is safe
// for concurrent use.
type Limiter struct {
	Dependencies
	groups        []*group
	relays        *relayTable
	callSemaphore chan struct{}
	// retryBudgetMu guards RetryBudget.
	retryBudgetMu sync.Mutex
	goroutines    sync.WaitGroup
	ctx           context.Context //nolint:containedctx // bounds the background goroutines, which outlive any call
}

// New starts the limiter of a daemon. The returned function stops it at once and waits
// for its goroutines. Call StopGranting first if the daemon stops as planned.
func New(dependencies Dependencies) (*Limiter, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		Dependencies: dependencies, relays: newRelayTable(), callSemaphore: make(chan struct{}, maxCalls), ctx: ctx,
	}
	now := l.Clock.Now()
	for i := range l.Groups {
		random := rand.New(rand.NewPCG(l.Random.Uint64(), l.Random.Uint64())) //nolint:gosec // for batch numbers, not for secrets
		l.groups = append(l.groups, &group{
			limiter: l, number: i, pool: pool.New(i, l.Self, now, random),
			waiters: map[*tokens.Waiter]chan fleet.TokenResult{}, wakeups: make(chan struct{}, 1),
		})
	}
	for _, g := range l.groups {
		l.goroutines.Go(g.run)
	}
	l.goroutines.Go(l.manageOwners)

	return l, sync.OnceFunc(func() {
		cancel()
		l.goroutines.Wait()
		for range maxCalls {
			l.callSemaphore <- struct{}{}
		}
	})
}

// Configure installs the client accounts' limits of a configuration.
func (l *Limiter) Configure(configuration *fleet.Configuration) {
	for i, g := range l.groups {
		g.mu.Lock()
		g.pool.Configure(l.Clock.Now(), tokens.GroupLimits(configuration.ClientAccounts, i, len(l.groups)))
		g.mu.Unlock()
	}
}

// Take spends one token of a client account. It waits for a token only while one is
// expected before the deadlines of demand. If ctx ends or the limiter stops during the
// wait, the outcome is GranterUnreachable.
func (l *Limiter) Take(ctx context.Context, demand fleet.TokenDemand) fleet.TokenResult {
	g := l.groups[fleet.GroupIndex(demand.ClientAccount, len(l.groups))]
	g.mu.Lock()
	now := l.Clock.Now()
	demand.Deadline = now.Add(time.Until(demand.Deadline))
	if !demand.OverLimitDeadline.IsZero() {
		demand.OverLimitDeadline = now.Add(time.Until(demand.OverLimitDeadline))
	}
	result, waiter := g.pool.Take(now, demand)
	if waiter == nil {
		g.mu.Unlock()

		return result
	}
	resolved := make(chan fleet.TokenResult, 1)
	g.waiters[waiter] = resolved
	g.sendTokenRequest()
	g.wake()
	g.mu.Unlock()
	select {
	case result = <-resolved:
		return result
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case result = <-resolved:
		return result
	default:
	}
	delete(g.waiters, waiter)
	g.pool.Cancel(waiter)

	return fleet.TokenResult{Outcome: fleet.GranterUnreachable}
}

// Handle returns the answer to a Pledge, TokenRequest, RetryRequest or Relay from the
// daemon named from. It returns false for other frames, for groups that do not exist
// and if a relayed frame got no answer.
func (l *Limiter) Handle(ctx context.Context, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	var number uint32
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Pledge:
		number = body.Pledge.GetGroup()
	case *peerpb.Frame_TokenRequest:
		number = body.TokenRequest.GetGroup()
	case *peerpb.Frame_Relay:
		return l.handleRelay(ctx, from, body.Relay)
	case *peerpb.Frame_RetryRequest:
		granted := l.handleRetryRequest(body.RetryRequest)

		return &peerpb.Frame{Body: &peerpb.Frame_RetryResult{RetryResult: &peerpb.RetryResult{Granted: granted}}}, true
	default:
		return nil, false
	}
	if int64(number) >= int64(len(l.groups)) {
		return nil, false
	}
	g := l.groups[number]
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.pool.Handle(l.Clock.Now(), from, frame)
}

// SpendRetry asks the granter of group 0, which manages the retry budgets of all
// services, for one extra attempt at a service. Usage counts the requests and repeats
// at the service since the last call. Uncounted is the part of it that has to be passed
// to a later call.
func (l *Limiter) SpendRetry(service string, usage fleet.ServiceUsage) (granted bool, uncounted fleet.ServiceUsage) {
	return l.sendRetryRequest(service, usage, false)
}

// ReportUsage reports the usage of a service to the granter of group 0 without asking for
// an extra attempt. It returns the part that has to be passed to a later call.
func (l *Limiter) ReportUsage(service string, usage fleet.ServiceUsage) (uncounted fleet.ServiceUsage) {
	_, uncounted = l.sendRetryRequest(service, usage, true)

	return uncounted
}

// sendRetryRequest passes a request to the granter of group 0, which may be this
// daemon. If there is no answer, the granter may have counted the usage: the repeats are
// then reported again and the requests are not, so that the budget never grows by the
// same request twice.
func (l *Limiter) sendRetryRequest(service string, usage fleet.ServiceUsage, reportOnly bool) (granted bool, uncounted fleet.ServiceUsage) {
	request := &peerpb.RetryRequest{
		Service:    service,
		Requests:   uint32(max(usage.Requests, 0)), //nolint:gosec // counts are small
		Repeats:    uint32(max(usage.Repeats, 0)),  //nolint:gosec // counts are small
		ReportOnly: reportOnly,
	}
	granter := l.Granter(0)
	switch granter {
	case "":
		return false, usage
	case l.Self.Name:
		return l.handleRetryRequest(request), fleet.ServiceUsage{}
	}
	answer := l.call(granter, &peerpb.Frame{Body: &peerpb.Frame_RetryRequest{RetryRequest: request}})
	if answer == nil {
		return false, fleet.ServiceUsage{Repeats: usage.Repeats}
	}

	return answer.GetRetryResult().GetGranted(), fleet.ServiceUsage{}
}

// handleRetryRequest records the reported usage and reports whether the retry budget
// allows the requested extra attempt. It is always false for a report.
func (l *Limiter) handleRetryRequest(request *peerpb.RetryRequest) bool {
	share := l.Shares()[0]
	usage := fleet.ServiceUsage{Requests: int(request.GetRequests()), Repeats: int(request.GetRepeats())}
	l.retryBudgetMu.Lock()
	defer l.retryBudgetMu.Unlock()
	if request.GetReportOnly() {
		l.RetryBudget.Record(l.Clock.Now(), request.GetService(), usage, share)

		return false
	}

	return l.RetryBudget.Spend(l.Clock.Now(), request.GetService(), usage, share)
}

// Shares returns the part of the limits that this daemon may grant, from 0 to 1, for
// each group. The index is the number of the group.
func (l *Limiter) Shares() []float64 {
	shares := make([]float64, len(l.groups))
	for i, g := range l.groups {
		g.mu.Lock()
		shares[i] = g.pool.Share(l.Clock.Now())
		g.mu.Unlock()
	}

	return shares
}

// Granter returns the name of the daemon that this one asks for the tokens of a group,
// or "".
func (l *Limiter) Granter(number int) string {
	g := l.groups[number]
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.pool.Granter()
}

// StopGranting prepares this daemon for its stop: it stops leasing its shares and stops
// acting as a granter. The other daemons select another granter when they learn that it
// leaves. Take continues to work.
func (l *Limiter) StopGranting() {
	for _, g := range l.groups {
		g.mu.Lock()
		g.pool.StopGranting()
		g.mu.Unlock()
	}
}
