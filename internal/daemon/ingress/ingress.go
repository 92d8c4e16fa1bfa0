// Package ingress is the side of a daemon that receives callers' requests. It
// authenticates each request, applies the limits of its client account, chooses an
// upstream, and forwards the request to the egress of the daemon that serves this
// upstream. It also retries, hedges and cancels attempts.
package ingress

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/histogram"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/core/routing"
	"github.com/kumquatshelf/kumquatshelf/internal/core/shutdown"
	"github.com/kumquatshelf/kumquatshelf/internal/core/workers"
)

// Egress runs attempts on the daemon that serves an upstream, and cancels them. The
// daemon is given by name and may be the local one.
type Egress interface {
	Run(ctx context.Context, daemon string, attempt fleet.Attempt) fleet.Reply
	Cancel(ctx context.Context, daemon string, id fleet.AttemptID, egressIncarnation uint64) fleet.CancelResult
}

// Limiter takes tokens from the rate limits of client accounts.
type Limiter interface {
	Take(ctx context.Context, demand fleet.TokenDemand) fleet.TokenResult
}

// RetryBudget is the budget that bounds the extra attempts of all daemons together.
type RetryBudget interface {
	// SpendRetry asks for one extra attempt at a service. Usage counts the requests since
	// the last call of either method. Granted reports whether the attempt is allowed, and
	// uncounted is the part of usage that has to be passed to a later call.
	SpendRetry(service string, usage fleet.ServiceUsage) (granted bool, uncounted fleet.ServiceUsage)
	// ReportUsage sends the usage of a service since the last call of either method. It
	// returns the part that has to be passed to a later call.
	ReportUsage(service string, usage fleet.ServiceUsage) (uncounted fleet.ServiceUsage)
}

// Candidates lists the upstreams of a service. The ingress does not modify the
// returned slice.
type Candidates interface {
	Candidates(service string) []balance.Candidate
}

// ContactSource says how recently the daemon has heard from the store and from other
// daemons.
type ContactSource interface {
	// Contact returns when the daemon last exchanged key changes.
	Contact() keys.Contact
	// ConfigurationIsCurrent reports whether the daemon would have heard of a newer
	// configuration that must be in force by now.
	ConfigurationIsCurrent() bool
}

// NestedCalls connects the calls that the local upstream makes through this ingress
// with the requests that the upstream is running.
type NestedCalls interface {
	// NestedCallFailed records that a call made by the local upstream failed. If the
	// request that made the call fails too, the upstream is not blamed for it.
	NestedCallFailed()
	// RepeatShare returns the fraction of the local upstream's running requests that
	// are repeats, from 0 to 1.
	RepeatShare() float64
}

// Dependencies are the settings and collaborators of an ingress.
type Dependencies struct {
	// Name and Incarnation identify the daemon in the IDs of attempts.
	Name        string
	Incarnation uint64
	// Service is the service of the local upstream, or empty if there is none.
	Service string
	// AcceptTimeout is how long an egress may take to confirm that an attempt has
	// arrived, before the ingress tries to cancel it. With 0, attempts need no
	// confirmation of arrival.
	AcceptTimeout time.Duration
	// SlotCheckMinBytes is the size in bytes above which a request is sent to an upstream
	// in another availability zone only after the upstream's egress has confirmed a free
	// slot. With 0, requests of any size are sent without confirmation.
	SlotCheckMinBytes int
	// RetryBudget bounds the extra attempts of all daemons together. If it is nil, this
	// daemon uses a budget of its own.
	RetryBudget RetryBudget
	// NestedCalls is nil if the calls made by the local upstream are not tracked.
	NestedCalls   NestedCalls
	Egress        Egress
	Limiter       Limiter
	Candidates    Candidates
	ContactSource ContactSource
	// Keys is the table of valid keys. It is not used while the configuration contains
	// keys of its own.
	Keys *keys.Table
	// Random must not be used by others, since it is not safe for concurrent use.
	Random *rand.Rand
	Log    *slog.Logger
	// Metrics receives the counters and histograms of the ingress.
	Metrics *expvar.Map
}

// installed is the configuration in force, with the index of its routes.
type installed struct {
	configuration *fleet.Configuration
	table         *routing.Table
}

// Ingress forwards requests. It is safe for concurrent use.
type Ingress struct {
	Dependencies
	installed atomic.Pointer[installed]
	// sequence is the number of the last attempt.
	sequence atomic.Uint64
	// requests counts the requests whose answers have not been closed.
	requests *requestTracker
	streams  *streamIndex
	balancer *balancer
	usages   tokenUsages
	workers  *workers.Pool
	// latency has one histogram for each outcome, of the time from a request's arrival
	// to the start of its answer.
	latency [fleet.Ran + 1]histogram.Histogram
	// stopPlan is the schedule of the daemon's planned stop, nil while it does not stop.
	stopPlan atomic.Pointer[shutdown.Plan]
	// recheck triggers a check of all running streams. Its buffer holds one signal,
	// since one check covers any number of signals.
	recheck chan struct{}
}

// New returns an ingress without a configuration, and its clean-up function. Until
// Configure is called, all requests are refused as not run.
func New(dependencies Dependencies) (*Ingress, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	in := &Ingress{
		Dependencies: dependencies,
		requests:     newRequestTracker(),
		streams:      newStreamIndex(),
		balancer:     newBalancer(dependencies.Random, dependencies.RetryBudget),
		recheck:      make(chan struct{}, 1),
	}

	for outcome := range in.latency {
		dependencies.Metrics.Set("Seconds"+fleet.Outcome(outcome).String(), &in.latency[outcome])
	}

	pool, stopWorkers := workers.New()
	in.workers = pool

	var watcher sync.WaitGroup

	watcher.Go(func() { in.watchStreams(ctx) })

	return in, func() {
		cancel()
		watcher.Wait()
		stopWorkers()
	}
}

// Configure installs a configuration for requests that arrive from now on.
func (in *Ingress) Configure(configuration *fleet.Configuration) {
	in.installed.Store(&installed{configuration: configuration, table: routing.New(configuration.Routes)})
}

// PlanStop refuses, from now on, requests that the planned stop would cut off.
func (in *Ingress) PlanStop(plan shutdown.Plan) { in.stopPlan.Store(&plan) }

// Stop refuses new requests as not run and waits until the answers of all other
// requests have been closed, or until ctx ends.
func (in *Ingress) Stop(ctx context.Context) {
	select {
	case <-in.requests.drain():
	case <-ctx.Done():
	}
}

// Forward sends a caller's request to an upstream and returns the answer, or why
// there is none and whether the request may have run. If the outcome is Ran, the
// caller of Forward must close the answer's body.
func (in *Ingress) Forward(ctx context.Context, request fleet.CallerRequest) fleet.Reply {
	if !in.requests.begin() {
		return in.recordRefusal(request, "", fleet.Refuse(fleet.ReasonStopping, "the daemon is stopping"))
	}

	reply := in.forward(ctx, request)
	in.latency[reply.Outcome].Add(time.Since(request.ReceivedAt))

	if reply.Outcome != fleet.Ran {
		in.requests.end()

		return reply
	}

	reply.Answer.Body = &trackedBody{ReadCloser: reply.Answer.Body, done: in.requests.end}

	return reply
}

// recordRefusal counts and logs a reply to a request that was not sent to an upstream.
func (in *Ingress) recordRefusal(request fleet.CallerRequest, account string, reply fleet.Reply) fleet.Reply {
	version := uint64(0)
	if current := in.installed.Load(); current != nil {
		version = current.configuration.Version
	}

	in.logRefused(request, account, version, reply)

	return in.countReply(reply)
}

func (in *Ingress) countReply(reply fleet.Reply) fleet.Reply {
	in.Metrics.Add(requestCounter(reply.Outcome), 1)

	if reply.Reason != fleet.ReasonNone {
		in.Metrics.Add("Reason"+string(reply.Reason), 1)
	}

	return reply
}

// requestCounter returns the name of an outcome's counter without allocating a string.
func requestCounter(outcome fleet.Outcome) string {
	switch outcome {
	case fleet.Ran:
		return "RequestsRan"
	case fleet.NotRun:
		return "RequestsNotRun"
	case fleet.Unknown:
	}

	return "RequestsUnknown"
}

func (in *Ingress) forward(ctx context.Context, request fleet.CallerRequest) fleet.Reply {
	current := in.installed.Load()

	if current == nil {
		return in.recordRefusal(request, "", fleet.Refuse(fleet.ReasonNotReady, "the daemon has no configuration yet"))
	}

	route, result := current.table.Match(request.Request.Method, request.Request.Host, request.Request.Target)
	if result != routing.Matched {
		return in.recordRefusal(request, "", in.reviseRefusal(routeRefusal(result)))
	}

	j, refusal := in.admit(ctx, current.configuration, route, &request)
	if refusal.Reason != fleet.ReasonNone {
		return in.recordRefusal(request, j.account.Name, refusal)
	}

	reply := in.countReply(in.dispatch(ctx, j))
	if reply.Outcome == fleet.Ran && !route.AllowAnonymous && current.configuration.Keys == nil {
		in.streams.add(keys.HashKey(request.Key), &reply)
	}

	return reply
}

// admit checks the key and the limits of a request. If the request is refused, the
// returned reply has a reason.
func (in *Ingress) admit(
	ctx context.Context, configuration *fleet.Configuration, route fleet.Route, request *fleet.CallerRequest,
) (job, fleet.Reply) {
	var account fleet.ClientAccount

	if !route.AllowAnonymous {
		var refusal fleet.Reply

		account, refusal = in.authenticate(request.Key, configuration)
		if refusal.Reason != fleet.ReasonNone {
			return job{}, in.reviseRefusal(refusal)
		}
	}

	if !keys.Scrub(&request.Request, request.Key) {
		return job{}, fleet.Refuse(fleet.ReasonBadRequest, "the path, host or body contains the key")
	}

	j := job{
		id: request.ID, route: route, account: account, request: request.Request, arrived: request.ReceivedAt,
		service: in.balancer.chooseService(route), version: configuration.Version,
		// Callers outside the fleet send a key; the local upstream sends none.
		nested: route.AllowAnonymous && request.Key == "",
	}
	service := configuration.Services[j.service]
	j.floor, j.deadline = capacityFloor(service.CapacityFloor), deadlineOf(*request, route, service)

	if refusal := in.checkStop(&j); refusal.Reason != fleet.ReasonNone {
		return j, refusal
	}

	if !route.AllowAnonymous && account.Rate > 0 {
		return j, in.takeToken(ctx, &j)
	}

	return j, fleet.Reply{}
}

// checkStop refuses a request that the planned stop of the daemon would cut off. Other daemons
// can serve it at once. The reply has no reason if the request may begin.
func (in *Ingress) checkStop(j *job) fleet.Reply {
	plan := in.stopPlan.Load()
	// The reply to a request may come cancelTimeout after its deadline.
	if plan == nil || plan.Takes(time.Now(), j.deadline.Add(cancelTimeout), in.balancer.expectedServiceTime(j.route.Name)) {
		return fleet.Reply{}
	}

	refusal := fleet.Refuse(fleet.ReasonStopping, "the daemon stops before the request's deadline")
	refusal.RetryAfter = minRetryAfter + in.balancer.jitter(retryAfterJitter)

	return refusal
}

// outdatedRetryAfter is when a caller is told to come back if the configuration may be out
// of date. Other daemons are in contact about once in this time.
const outdatedRetryAfter = 500 * time.Millisecond

// reviseRefusal replaces a refusal that a newer configuration could contradict, if the
// daemon may have missed one: a caller does not come back after an unknown route or key.
func (in *Ingress) reviseRefusal(refusal fleet.Reply) fleet.Reply {
	if refusal.Reason != fleet.ReasonNoRoute && refusal.Reason != fleet.ReasonBadKey || in.ContactSource.ConfigurationIsCurrent() {
		return refusal
	}
	refusal = fleet.Refuse(fleet.ReasonNotReady, "the configuration may be out of date")
	refusal.RetryAfter = outdatedRetryAfter

	return refusal
}

// replyFailed reports whether a request has no answer, or an answer with a 5xx status.
func replyFailed(reply fleet.Reply) bool {
	return reply.Outcome != fleet.Ran || reply.Answer.Status >= http.StatusInternalServerError
}

// deadlineOf returns the earliest of the caller's deadline, the route's timeout and
// the service's deadline, as far as they are set, or else a default.
func deadlineOf(request fleet.CallerRequest, route fleet.Route, service fleet.Service) time.Time {
	deadline := request.Deadline

	for _, limit := range []time.Duration{route.Timeout, service.Deadline} {
		if at := request.ReceivedAt.Add(limit); limit > 0 && (deadline.IsZero() || at.Before(deadline)) {
			deadline = at
		}
	}

	if deadline.IsZero() {
		return request.ReceivedAt.Add(defaultDeadline)
	}

	return deadline
}

// defaultDeadline bounds requests for which neither the caller nor the
// configuration sets a deadline.
const defaultDeadline = time.Minute

func routeRefusal(result routing.Result) fleet.Reply {
	switch result {
	case routing.BadPath:
		return fleet.Refuse(fleet.ReasonBadRequest, "the path has empty, dot or encoded dot segments")
	case routing.MethodNotAllowed:
		return fleet.Refuse(fleet.ReasonNoRoute, "no route for this path takes the method")
	case routing.NoRoute, routing.Matched:
	}

	return fleet.Refuse(fleet.ReasonNoRoute, "no route for this host and path")
}

// authenticate returns the client account of a key. If the request is refused, the
// returned reply has a reason.
func (in *Ingress) authenticate(key string, configuration *fleet.Configuration) (fleet.ClientAccount, fleet.Reply) {
	if key == "" {
		return fleet.ClientAccount{}, fleet.Refuse(fleet.ReasonNoKey, "the route needs a key")
	}

	if configuration.Keys != nil {
		// The configuration contains the keys, so a key works until a version
		// without it is installed.
		account, known := configuration.ClientAccounts.Get(configuration.Keys[keys.HashKey(key)])
		if !known {
			return fleet.ClientAccount{}, fleet.Refuse(fleet.ReasonBadKey, "the key is not valid")
		}

		return account, fleet.Reply{}
	}

	contact := in.ContactSource.Contact()
	if !keys.Fresh(time.Now(), contact) {
		refusal := fleet.Refuse(fleet.ReasonIsolated, "the daemon cannot learn of withdrawn keys")
		refusal.RetryAfter = time.Second

		return fleet.ClientAccount{}, refusal
	}

	name, status := in.Keys.Lookup(keys.HashKey(key))
	account, known := configuration.ClientAccounts.Get(name)

	if status == keys.Absent && !contact.HasExchanged() {
		return fleet.ClientAccount{}, fleet.Refuse(fleet.ReasonNotReady, "the daemon has not learned of any keys yet")
	}

	if status != keys.Valid || !known {
		return fleet.ClientAccount{}, fleet.Refuse(fleet.ReasonBadKey, "the key is not valid")
	}

	return account, fleet.Reply{}
}

const (
	// tokenWaitFraction is the fraction of a route's target latency for which a request
	// waits for a token if its client account is above its limit. The wait is short
	// enough to matter little for the latency, and long enough to get the next token
	// of most accounts.
	tokenWaitFraction = 0.125
	// untargetedWaitFraction is the fraction of the time from arrival to deadline for
	// which a request waits for a token if its route has no target latency. The rest
	// of the time remains for running the request.
	untargetedWaitFraction = 0.5
)

// takeToken waits for a token of the request's client account. If there is none in
// time, the returned reply has a reason.
func (in *Ingress) takeToken(ctx context.Context, j *job) fleet.Reply {
	var refusal fleet.Reply

	maxWait := untargetedWaitFraction * float64(j.deadline.Sub(j.arrived))
	if target := j.route.TargetLatency; target > 0 {
		maxWait = tokenWaitFraction * float64(target)
	}

	demand := fleet.TokenDemand{
		ClientAccount: j.account.Name, Priority: j.rank(), Deadline: j.deadline,
		OverLimitDeadline: j.arrived.Add(time.Duration(maxWait)),
	}

	result := in.Limiter.Take(ctx, demand)
	in.usages.add(j.account.Name, result.Outcome, time.Now())

	switch result.Outcome {
	case fleet.TokenGranted:
		return fleet.Reply{}
	case fleet.OverLimit:
		refusal = fleet.Refuse(fleet.ReasonLimit, "the client account is above its rate and burst")
	case fleet.GranterUnreachable:
		refusal = fleet.Refuse(fleet.ReasonLimitAway, "no daemon could grant the client account a token in time")
	case fleet.UnknownClientAccount:
		refusal = fleet.Refuse(fleet.ReasonBadKey, "the key's client account is not configured")
	}

	refusal.RetryAfter = result.RetryAfter

	return refusal
}
