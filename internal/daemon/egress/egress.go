// Package egress runs attempts at the daemon's local upstreams. It joins the
// registry of attempts, the queues and slots of the upstreams, and the client
// that calls them.
package egress

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/attempt"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/histogram"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
	"github.com/kumquatshelf/kumquatshelf/internal/core/suspicion"
)

const (
	// announceTimeout is three missed announcements, the bound of section 2.1
	// of the design.
	announceTimeout = 3 * time.Second
	// trialPause is the time between a request that fails at a suspect upstream and
	// the next one that it gets, and pressedPause that when all other upstreams are
	// busy. Each failure takes from the retry budget.
	trialPause   = 2 * time.Second
	pressedPause = 600 * time.Millisecond
	// sweepInterval adds at most a quarter of a second to announceTimeout.
	sweepInterval = 250 * time.Millisecond
	// maxUpstreams is several times the 43 upstreams per daemon of the target.
	maxUpstreams = 256
	// maxUnreadable bounds the problems of announcements that are logged once.
	maxUnreadable = 256
	// maxDrains bounds the operators' drains, of upstreams of all daemons.
	maxDrains = 16_384
)

// UpstreamClient calls a local upstream. Its context bounds the call and the body. It
// does not modify the attempt's header, which attempts of one request share.
type UpstreamClient interface {
	Call(ctx context.Context, upstream fleet.Upstream, attempt fleet.Attempt) (fleet.Answer, fleet.CallResult)
}

// Observer receives one observation per attempt that was started, except those
// whose end says nothing about the upstream: the ingress cancelled it, or its
// deadline left too little time to run. Observe must not block.
type Observer interface {
	Observe(observation fleet.Observation)
}

// Settings of an egress.
type Settings struct {
	// Incarnation of the daemon, not zero.
	Incarnation uint64
	// QueueCapacity is the number of attempts that may wait per upstream.
	QueueCapacity int
	Limits        attempt.Limits
	// AnnounceTimeout is how long an upstream stays known without announcing
	// itself.
	AnnounceTimeout time.Duration
	// SuspicionThreshold returns the evidence, in nats, from which an upstream of a service
	// is suspect. It then gets no non-idempotent requests unless they are forced,
	// and few others.
	SuspicionThreshold func(service string) float64
}

// DefaultSettings returns the settings of a daemon.
func DefaultSettings(incarnation uint64) Settings {
	return Settings{
		Incarnation: incarnation,
		// An upstream has about 330 connections; each may have one request
		// waiting. The deadline refuses most attempts before this many wait.
		QueueCapacity: 330,
		Limits:        attempt.DefaultLimits(),

		AnnounceTimeout:    announceTimeout,
		SuspicionThreshold: func(string) float64 { return suspicion.DefaultThreshold },
	}
}

// lane is an upstream with its queue and slots.
type lane struct {
	upstream    fleet.Upstream
	announced   bool
	announcedAt time.Time
	inFlight    int
	queue       *queue.Queue
	// typical is the average time to an answer's head.
	typical   time.Duration
	suspicion *suspicion.Filter
	// slowness judges the time to answers against that of the service's other
	// upstreams.
	slowness *suspicion.Filter
	// slowAt is when the last answer ended that counted as slow.
	slowAt time.Time
	// triedAt is when a request failed last, or a trial began, if none has succeeded
	// since.
	triedAt time.Time
}

// waiter is an attempt that waits in a lane's queue.
type waiter struct {
	attempt  fleet.Attempt
	lane     *lane
	deadline time.Time
	// decided receives nil when the attempt may start, or its refusal.
	decided chan *fleet.Reply
}

// Egress is the only path to the daemon's local upstreams. It is safe for
// concurrent use.
type Egress struct {
	settings Settings
	caller   UpstreamClient
	evidence Observer
	log      *slog.Logger
	counters *expvar.Map
	// waits are the times that started attempts waited for a slot, and served those
	// until their upstream answered.
	waits   histogram.Histogram
	served  histogram.Histogram
	changed chan struct{}
	// base ends running calls when the egress is cleaned up.
	base context.Context

	mu       sync.Mutex
	registry *attempt.Registry
	lanes    map[string]*lane
	waiting  map[fleet.AttemptID]*waiter
	drains   map[string]time.Time
	departed *departures
	// unreadable holds what was logged about announcements.
	unreadable map[string]struct{}
	// nestedFailedAt is when a call that a local upstream made failed last.
	nestedFailedAt time.Time
	running        int
	// repeats is how many of the running attempts are repeats.
	repeats  int
	stopping bool
	// idle is closed when the egress is stopping and nothing runs.
	idle chan struct{}
}

// New returns an egress without upstreams, and a function that ends its
// running calls and its goroutine. Call Stop first to let the calls finish.
func New(settings Settings, caller UpstreamClient, evidence Observer, log *slog.Logger) (*Egress, func()) {
	base, cancel := context.WithCancel(context.Background())
	e := &Egress{
		settings: settings,
		caller:   caller,
		evidence: evidence,
		log:      log,
		changed:  make(chan struct{}, 1),
		base:     base,
		registry: attempt.New(settings.Incarnation, settings.Limits),
		lanes:    map[string]*lane{},
		waiting:  map[fleet.AttemptID]*waiter{},
		drains:   map[string]time.Time{},
		departed: newDepartures(),

		unreadable: map[string]struct{}{},
		idle:       make(chan struct{}),
	}
	e.counters = e.newCounters()
	var sweeper sync.WaitGroup
	sweeper.Go(e.sweepLoop)

	return e, func() {
		e.beginStop()
		cancel()
		sweeper.Wait()
	}
}

// OpenSession makes a session the current one of its daemon and reports whether it
// was accepted. Call it before any frame of the session is processed. Attempts
// queued by an older session are refused as not run.
func (e *Egress) OpenSession(session fleet.Session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	opening := e.registry.OpenSession(session, time.Now())
	e.dropAll(opening.RemovedAttempts)

	return opening.Accepted
}

// CloseSession ends a session. Attempts queued by it are refused as not run; running
// ones end with the context that was passed to Run.
func (e *Egress) CloseSession(session fleet.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropAll(e.registry.CloseSession(session, time.Now()))
}

func (e *Egress) dropAll(ids []fleet.AttemptID) {
	for _, id := range ids {
		e.decide(id, fleet.Refuse(fleet.ReasonCancelled, "the session that sent the attempt was closed"))
	}
}

// Cancel stops an attempt that has not started. A cancel that arrives before
// its attempt is not confirmed, because it does not say which incarnation of
// the egress the attempt was sent to; see CancelSentTo.
func (e *Egress) Cancel(ctx context.Context, session fleet.Session, id fleet.AttemptID) fleet.CancelResult {
	return e.CancelForIncarnation(ctx, session, id, 0)
}

// CancelForIncarnation stops an attempt that has not started and that was sent to the
// given incarnation of the egress. A started attempt is not interrupted; the
// context passed to Run does that.
func (e *Egress) CancelForIncarnation(
	_ context.Context, session fleet.Session, id fleet.AttemptID, egressIncarnation uint64,
) fleet.CancelResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	result, wasQueued := e.registry.Cancel(session, id, egressIncarnation, time.Now())
	if wasQueued {
		e.decide(id, fleet.Refuse(fleet.ReasonCancelled, "the ingress cancelled the attempt"))
	}
	e.counters.Add("Cancels", 1)

	return result
}

// Stop refuses new and queued attempts as not run and waits until the running
// ones have finished or the context has ended. It returns the number that
// still run.
func (e *Egress) Stop(ctx context.Context) int {
	e.beginStop()
	select {
	case <-e.idle:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.running
}

func (e *Egress) beginStop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return
	}
	e.stopping = true
	for _, l := range e.lanes {
		e.drainQueue(l, fleet.ReasonStopping, "the daemon is stopping")
	}
	e.notify()
	if e.running == 0 {
		close(e.idle)
	}
}
