package limits

import (
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// group runs this daemon's part in one group of client accounts: it sends the
// messages of the pool, and passes results to the waiting requests.
type group struct {
	limiter *Limiter
	number  int
	mu      sync.Mutex
	pool    *pool.Pool
	waiters map[*tokens.Waiter]chan fleet.TokenResult
	// retryScheduled means that a timer will call sendTokenRequest.
	retryScheduled bool
	// wakeups has a buffer for one signal, because run handles everything that is due.
	wakeups chan struct{}
	// loggedGranter and loggedGranting are the values that were last logged.
	loggedGranter  string
	loggedGranting bool
}

// wake makes run call handleDue without waiting for its timer.
func (g *group) wake() {
	select {
	case g.wakeups <- struct{}{}:
	default: // run has not received the previous signal yet
	}
}

// run calls handleDue when it is due or after a signal, until the limiter stops.
func (g *group) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.limiter.ctx.Done():
			return
		case <-g.wakeups:
		case <-timer.C:
		}
		timer.Reset(g.handleDue())
	}
}

// handleDue sends the messages that are due and resolves expired waiters. It returns
// the time until the next call.
func (g *group) handleDue() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.limiter.Clock.Now()
	for _, message := range g.pool.DuePledges(now) {
		g.send(message)
	}
	g.resolveWaiters(g.pool.Expire(now))
	g.sendTokenRequest()
	g.logChanges(now)
	wait := max(g.pool.NextPledgeTime(now).Sub(now), waitingPollInterval)
	switch {
	case g.pool.Waiting():
		return min(wait, waitingPollInterval)
	case !g.pool.Idle():
		return min(wait, reportPollInterval)
	}

	return wait
}

// logChanges logs if the granter has changed, or if this daemon has started or stopped
// granting tokens.
func (g *group) logChanges(now time.Time) {
	share := g.pool.Share(now)
	if granter := g.pool.Granter(); granter != g.loggedGranter {
		g.limiter.Log.Info("granter changed", "group", g.number, "granter", granter, "before", g.loggedGranter,
			"epoch", g.pool.Owners().GetEpoch())
		g.loggedGranter = granter
	}
	if granting := share > 0; granting != g.loggedGranting {
		g.limiter.Log.Info("granting changed", "group", g.number, "share", share, "epoch", g.pool.Owners().GetEpoch(),
			"owners", len(g.pool.Owners().GetNames()))
		g.loggedGranting = granting
	}
}

// sendTokenRequest sends the request for tokens that is due. If none is due although
// requests wait for tokens, it tries again after the minimum time between requests.
// The caller holds the lock.
func (g *group) sendTokenRequest() {
	message := g.pool.NextTokenRequest(g.limiter.Clock.Now())
	if message != nil {
		g.send(*message)

		return
	}
	if len(g.waiters) == 0 || g.retryScheduled {
		return
	}
	g.retryScheduled = true
	time.AfterFunc(tokens.MinRequestInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.retryScheduled = false
		if message := g.pool.NextTokenRequest(g.limiter.Clock.Now()); message != nil {
			g.send(*message)
		}
	})
}

// send delivers a message to this daemon's own pool synchronously, and to other
// daemons in a goroutine. The caller holds the lock.
func (g *group) send(message pool.Message) {
	l := g.limiter
	if message.To == l.Self.Name {
		answer, _ := g.pool.Handle(l.Clock.Now(), message.To, message.Frame)
		g.handleAnswer(message, answer)

		return
	}
	select {
	case l.callSemaphore <- struct{}{}:
	default:
		g.handleAnswer(message, nil)

		return
	}
	go func() {
		defer func() { <-l.callSemaphore }()
		answer := l.call(message.To, message.Frame)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.handleAnswer(message, answer)
		if message.Frame.GetTokenRequest() != nil {
			g.sendTokenRequest()
		} else {
			g.wake()
		}
	}()
}

// handleAnswer passes an answer, or nil if there was none, to the pool. The caller
// holds the lock.
func (g *group) handleAnswer(message pool.Message, answer *peerpb.Frame) {
	g.resolveWaiters(g.pool.HandleAnswer(g.limiter.Clock.Now(), message, answer))
}

// resolveWaiters passes the results of resolved waiters to the goroutines that wait in
// Take. The caller holds the lock.
func (g *group) resolveWaiters(waiters []*tokens.Waiter) {
	for _, w := range waiters {
		g.waiters[w] <- w.Result
		delete(g.waiters, w)
	}
}
