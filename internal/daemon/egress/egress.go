// Package egress is the side of a daemon that runs attempts at its local upstreams. It
// combines the registry of attempts, the queue and the slots of each upstream, and the
// client that calls the upstreams. It also estimates which upstreams are failing or slow.
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
	"github.com/kumquatshelf/kumquatshelf/internal/core/novelty"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pace"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
	"github.com/kumquatshelf/kumquatshelf/internal/core/shutdown"
	"github.com/kumquatshelf/kumquatshelf/internal/core/suspicion"
)

const (
	// announceTimeout is the time of three missed announcements, the bound of
	// section 2.1 of the design.
	announceTimeout = 3 * time.Second
	// trialInterval is the time between a failed request at a suspect upstream and the
	// next request that it gets as a trial. noAlternativeTrialInterval replaces it when no
	// other upstream has a free slot. Each failed trial costs a retry of the retry budget.
	trialInterval              = 2 * time.Second
	noAlternativeTrialInterval = 600 * time.Millisecond
	// sweepInterval is the time between two searches for upstreams that stopped
	// announcing themselves. It adds at most 250 ms to announceTimeout.
	sweepInterval = 250 * time.Millisecond
	// maxUpstreams bounds the local upstreams. It is several times the 43 upstreams per
	// daemon that the design aims at.
	maxUpstreams = 256
	// maxLoggedProblems bounds the lines about invalid announcements in problemRetention.
	maxLoggedProblems = 256
	problemRetention  = time.Hour
	// maxDrains bounds the recorded drains by operators, which may be of upstreams of any
	// daemon.
	maxDrains = 16_384
)

// UpstreamClient calls local upstreams. The context bounds the call and the reading of the
// answer's body. Call must not modify the attempt's header, since all attempts of a
// request share it.
type UpstreamClient interface {
	Call(ctx context.Context, upstream fleet.Upstream, attempt fleet.Attempt) (fleet.Answer, fleet.CallResult)
}

// Observer receives one observation for each started attempt whose result says something
// about the upstream. There is none if the ingress cancelled the attempt, or if the time
// until its deadline was too short for the upstream. Observe must not block.
type Observer interface {
	Observe(observation fleet.Observation)
}

// Settings are the settings of an egress.
type Settings struct {
	// Incarnation is the incarnation of the daemon. It must not be 0.
	Incarnation uint64
	// QueueCapacity is the number of attempts that may wait per upstream.
	QueueCapacity int
	// Limits bounds the registry of attempts.
	Limits attempt.Limits
	// AnnounceTimeout is the time without an announcement after which an upstream is
	// removed.
	AnnounceTimeout time.Duration
	// SuspicionThreshold returns the amount of evidence, in nats, at which an upstream of
	// a service becomes suspect. A suspect upstream gets no non-idempotent requests unless
	// they are forced, and only a few idempotent ones.
	SuspicionThreshold func(service string) float64
}

// DefaultSettings returns the settings that daemons use.
func DefaultSettings(incarnation uint64) Settings {
	return Settings{
		Incarnation: incarnation,
		// An upstream has about 330 connections, and each of them may have one request
		// waiting. Most attempts are refused because of their deadline before the queue
		// is that long.
		QueueCapacity: 330,
		Limits:        attempt.DefaultLimits(),

		AnnounceTimeout:    announceTimeout,
		SuspicionThreshold: func(string) float64 { return suspicion.DefaultThreshold },
	}
}

// localUpstream is an upstream of this daemon, with its queue and its use of slots.
type localUpstream struct {
	// announcement is the last one received. The upstream may have been removed since.
	announcement fleet.Upstream
	// announced is true until the upstream is removed.
	announced   bool
	announcedAt time.Time
	// inFlight is the number of slots in use.
	inFlight int
	queue    *queue.Queue
	// typicalLatency is a moving average of the time to an answer's head.
	typicalLatency time.Duration
	// suspicion estimates whether the upstream fails.
	suspicion *suspicion.Filter
	// slowness estimates whether the upstream is slower than the service's other
	// upstreams.
	slowness *suspicion.Filter
	// limit is the number of requests a second that the last answer named, and
	// limitNamedAt when that was. pace spaces the requests accordingly; it is nil if no
	// limit is named.
	limit        float64
	limitNamedAt time.Time
	pace         *pace.Bucket
	// paceTimer starts a queued attempt when pace allows the next one.
	paceTimer *time.Timer
	// leaving says that an answer of the present incarnation said that it leaves.
	leaving bool
	// lastSlowEnd is when the last attempt ended that counted as slow.
	lastSlowEnd time.Time
	// lastTrialAt is when a request last failed or a trial was admitted, or the zero time
	// if a request has succeeded since.
	lastTrialAt time.Time
}

// admittedAttempt is an attempt that the registry admitted. It waits in the queue of its
// upstream or has started.
type admittedAttempt struct {
	attempt  fleet.Attempt
	upstream *localUpstream
	deadline time.Time
	// decision receives nil when the attempt may start, or its refusal.
	decision chan *fleet.Reply
}

// Egress is the only path to the daemon's local upstreams. It is safe for
// concurrent use.
type Egress struct {
	settings Settings
	client   UpstreamClient
	observer Observer
	log      *slog.Logger
	counters *expvar.Map
	// waitTimes are the times that started attempts waited for a slot. serveTimes are the
	// times from the start of an attempt to the head of its answer.
	waitTimes  histogram.Histogram
	serveTimes histogram.Histogram
	// changed signals that Upstreams changed. Its buffer holds one signal.
	changed chan struct{}
	// baseContext ends when the egress is cleaned up, and ends the running calls.
	baseContext context.Context

	mu        sync.Mutex
	registry  *attempt.Registry
	upstreams map[string]*localUpstream
	queued    map[fleet.AttemptID]*admittedAttempt
	drains    map[string]time.Time
	departed  *departures
	// problems are the problems of announcements that have been logged.
	problems *novelty.Set
	// nestedFailedAt is when a call by a local upstream last failed.
	nestedFailedAt time.Time
	// running counts the attempts that have started and not ended.
	running int
	// runningRepeats counts the running attempts that are repeats.
	runningRepeats int
	// stopPlan is the schedule of the daemon's planned stop, nil while it does not stop.
	stopPlan *shutdown.Plan
	stopping bool
	// idle is closed when the egress is stopping and no attempt is running.
	idle chan struct{}
}

// New returns an egress without upstreams, and its clean-up function, which ends its
// running calls and its goroutine. Call Stop first to let the calls finish.
func New(settings Settings, client UpstreamClient, observer Observer, log *slog.Logger) (*Egress, func()) {
	base, cancel := context.WithCancel(context.Background())
	e := &Egress{
		settings:    settings,
		client:      client,
		observer:    observer,
		log:         log,
		changed:     make(chan struct{}, 1),
		baseContext: base,
		registry:    attempt.New(settings.Incarnation, settings.Limits),
		upstreams:   map[string]*localUpstream{},
		queued:      map[fleet.AttemptID]*admittedAttempt{},
		drains:      map[string]time.Time{},
		departed:    newDepartures(),

		problems: novelty.New(maxLoggedProblems, problemRetention),
		idle:     make(chan struct{}),
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

// OpenSession makes a session the current one of its daemon and reports whether it was
// accepted. It must be called before any frame of the session is processed. Queued
// attempts of an older session are refused as not run.
func (e *Egress) OpenSession(session fleet.Session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	opening := e.registry.OpenSession(session, time.Now())
	e.refuseClosed(opening.RemovedAttempts)

	return opening.Accepted
}

// CloseSession ends a session. Its queued attempts are refused as not run. Its running
// attempts end with the context that was passed to Run.
func (e *Egress) CloseSession(session fleet.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuseClosed(e.registry.CloseSession(session, time.Now()))
}

// refuseClosed refuses queued attempts whose session was closed. The caller holds mu.
func (e *Egress) refuseClosed(ids []fleet.AttemptID) {
	for _, id := range ids {
		e.deliverRefusal(id, fleet.Refuse(fleet.ReasonCancelled, "the session that sent the attempt was closed"))
	}
}

// Cancel stops an attempt that has not started. If the cancel arrives before its attempt,
// it cannot be confirmed, because it does not name the incarnation of the egress that the
// attempt was sent to; CancelForIncarnation does.
func (e *Egress) Cancel(ctx context.Context, session fleet.Session, id fleet.AttemptID) fleet.CancelResult {
	return e.CancelForIncarnation(ctx, session, id, 0)
}

// CancelForIncarnation stops an attempt that has not started and that was sent to the
// given incarnation of the egress. It does not interrupt a started attempt; for that, end
// the context passed to Run.
func (e *Egress) CancelForIncarnation(
	_ context.Context, session fleet.Session, id fleet.AttemptID, egressIncarnation uint64,
) fleet.CancelResult {
	return e.cancel(id, func(now time.Time) (fleet.CancelResult, bool) {
		return e.registry.Cancel(session, id, egressIncarnation, now)
	})
}

// CancelRelayed is like CancelForIncarnation, for a cancel that another daemon forwarded
// for the attempt's ingress.
func (e *Egress) CancelRelayed(id fleet.AttemptID, egressIncarnation uint64) fleet.CancelResult {
	return e.cancel(id, func(now time.Time) (fleet.CancelResult, bool) {
		return e.registry.CancelRelayed(id, egressIncarnation, now)
	})
}

// cancel cancels an attempt in the registry and removes it from its queue.
func (e *Egress) cancel(id fleet.AttemptID, cancelRecord func(now time.Time) (fleet.CancelResult, bool)) fleet.CancelResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	result, wasQueued := cancelRecord(time.Now())
	if wasQueued {
		e.deliverRefusal(id, fleet.Refuse(fleet.ReasonCancelled, "the ingress cancelled the attempt"))
	}
	e.counters.Add("Cancels", 1)

	return result
}

// PlanStop refuses, from now on, attempts that the planned stop would cut off. Others still
// run, because the upstreams may well go on running.
func (e *Egress) PlanStop(plan shutdown.Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopPlan = &plan
}

// Stop refuses new and queued attempts as not run, and waits until the running attempts
// have finished or the context has ended. It returns the number of attempts that are still
// running.
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

// beginStop refuses new and queued attempts from now on. Further calls have no effect.
func (e *Egress) beginStop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return
	}
	e.stopping = true
	for _, u := range e.upstreams {
		e.drainQueue(u, fleet.ReasonStopping, "the daemon is stopping")
	}
	e.notify()
	if e.running == 0 {
		close(e.idle)
	}
}
