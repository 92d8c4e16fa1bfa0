// Package ingress forwards callers' requests to upstreams through the daemons
// beside them.
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
	"github.com/kumquatshelf/kumquatshelf/internal/core/workers"
)

// Egress runs attempts at the daemon beside an upstream.
type Egress interface {
	Run(ctx context.Context, daemon string, attempt fleet.Attempt) fleet.Reply
	Cancel(ctx context.Context, daemon string, id fleet.AttemptID, egressIncarnation uint64) fleet.CancelResult
}

// Limiter spends tokens of client accounts.
type Limiter interface {
	Take(ctx context.Context, demand fleet.TokenDemand) fleet.TokenResult
}

// RetryBudget bounds extra attempts over all daemons.
type RetryBudget interface {
	// SpendRetry asks for one more attempt at a service. Use is that since the last call
	// that was answered.
	SpendRetry(service string, use fleet.ServiceUsage) (granted, answered bool)
	// ReportUsage tells of the use of a service, and reports whether it was counted.
	ReportUsage(service string, use fleet.ServiceUsage) bool
}

// Candidates lists the upstreams of a service. The result is not modified.
type Candidates interface {
	Candidates(service string) []balance.Candidate
}

// ContactSource tells how fresh the daemon's knowledge of keys is.
type ContactSource interface {
	Contact() keys.Contact
}

// NestedCalls relates the calls that the upstream beside the daemon makes to the
// requests that it runs.
type NestedCalls interface {
	// NestedCallFailed is told about calls that failed. The failure of the request
	// is then not that upstream's own.
	NestedCallFailed()
	// RepeatShare returns the part of the running requests that are repeats.
	RepeatShare() float64
}

// Dependencies are what an ingress works with.
type Dependencies struct {
	// Name and Incarnation identify the daemon in attempts.
	Name        string
	Incarnation uint64
	// Service is the service of the upstream beside the daemon, or empty.
	Service string
	// AcceptTimeout is within which an egress should say that an attempt has
	// arrived. Zero waits for the answer alone.
	AcceptTimeout time.Duration
	// SlotCheckMinBytes is the size in bytes from which a request is sent to an upstream of
	// another availability zone only after its egress has said that a slot is free.
	// Zero sends all at once.
	SlotCheckMinBytes int
	// RetryBudget bounds extra attempts over all daemons. If it is nil, each daemon has
	// a budget of its own.
	RetryBudget RetryBudget
	// NestedCalls may be nil.
	NestedCalls   NestedCalls
	Egress        Egress
	Limiter       Limiter
	Candidates    Candidates
	ContactSource ContactSource
	Keys          *keys.Table
	Random        *rand.Rand
	Log           *slog.Logger
	Metrics       *expvar.Map
}

// routes joins a configuration with its index.
type routes struct {
	configuration *fleet.Configuration
	table         *routing.Table
}

// Ingress forwards requests. It is safe for concurrent use.
type Ingress struct {
	Dependencies
	routes   atomic.Pointer[routes]
	sequence atomic.Uint64
	running  *gate
	streams  *streams
	choices  *choices
	spends   spends
	workers  *workers.Pool
	// latency is by outcome, from a request's arrival to the start of its answer.
	latency [fleet.Ran + 1]histogram.Histogram
	// wake has room for one signal, since the watcher looks at all streams.
	wake chan struct{}
}

// New returns an ingress without a configuration, and its clean-up function.
func New(dependencies Dependencies) (*Ingress, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	in := &Ingress{
		Dependencies: dependencies,
		running:      newGate(),
		streams:      newStreams(),
		choices:      newChoices(dependencies.Random, dependencies.RetryBudget),
		wake:         make(chan struct{}, 1),
	}

	for outcome := range in.latency {
		dependencies.Metrics.Set("Seconds"+fleet.Outcome(outcome).String(), &in.latency[outcome])
	}

	pool, endIdle := workers.New()
	in.workers = pool

	var watcher sync.WaitGroup

	watcher.Go(func() { in.watchStreams(ctx) })

	return in, func() {
		cancel()
		watcher.Wait()
		endIdle()
	}
}

// Configure installs a configuration.
func (in *Ingress) Configure(configuration *fleet.Configuration) {
	in.routes.Store(&routes{configuration: configuration, table: routing.New(configuration.Routes)})
}

// Stop refuses new requests as not run and waits for the others until ctx ends.
func (in *Ingress) Stop(ctx context.Context) {
	select {
	case <-in.running.shut():
	case <-ctx.Done():
	}
}

// Forward runs a caller's request and returns what is known of it. The caller
// of Forward closes the answer's body.
func (in *Ingress) Forward(ctx context.Context, request fleet.CallerRequest) fleet.Reply {
	if !in.running.enter() {
		return in.refuse(request, "", fleet.Refuse(fleet.ReasonStopping, "the daemon is stopping"))
	}

	reply := in.forward(ctx, request)
	in.latency[reply.Outcome].Add(time.Since(request.ReceivedAt))

	if reply.Outcome != fleet.Ran {
		in.running.leave()

		return reply
	}

	reply.Answer.Body = &tracked{ReadCloser: reply.Answer.Body, done: in.running.leave}

	return reply
}

// refuse counts and logs a reply to a request that was not sent anywhere.
func (in *Ingress) refuse(request fleet.CallerRequest, account string, reply fleet.Reply) fleet.Reply {
	version := uint64(0)
	if current := in.routes.Load(); current != nil {
		version = current.configuration.Version
	}

	in.logRefused(request, account, version, reply)

	return in.count(reply)
}

func (in *Ingress) count(reply fleet.Reply) fleet.Reply {
	in.Metrics.Add(requestCounter(reply.Outcome), 1)

	if reply.Reason != fleet.ReasonNone {
		in.Metrics.Add("Reason"+string(reply.Reason), 1)
	}

	return reply
}

// requestCounter names the counter of an outcome without building a string.
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
	current := in.routes.Load()

	if current == nil {
		return in.refuse(request, "", fleet.Refuse(fleet.ReasonNotReady, "the daemon has no configuration yet"))
	}

	route, result := current.table.Match(request.Request.Method, request.Request.Host, request.Request.Target)
	if result != routing.Matched {
		return in.refuse(request, "", refuseRoute(result))
	}

	j, refusal := in.admit(ctx, current.configuration, route, &request)
	if refusal.Reason != fleet.ReasonNone {
		return in.refuse(request, j.account.Name, refusal)
	}

	reply := in.count(in.dispatch(ctx, j))
	if reply.Outcome == fleet.Ran && !route.AllowAnonymous && current.configuration.Keys == nil {
		in.streams.add(keys.HashKey(request.Key), &reply)
	}

	return reply
}

// admit checks the key and the limits. The returned reply has a reason if the
// request is refused.
func (in *Ingress) admit(
	ctx context.Context, configuration *fleet.Configuration, route fleet.Route, request *fleet.CallerRequest,
) (job, fleet.Reply) {
	var account fleet.ClientAccount

	if !route.AllowAnonymous {
		var refusal fleet.Reply

		account, refusal = in.authenticate(request.Key, configuration)
		if refusal.Reason != fleet.ReasonNone {
			return job{}, refusal
		}
	}

	if !keys.Scrub(&request.Request, request.Key) {
		return job{}, fleet.Refuse(fleet.ReasonBadRequest, "the path, host or body contains the key")
	}

	j := job{
		id: request.ID, route: route, account: account, request: request.Request, arrived: request.ReceivedAt,
		service: in.choices.portion(route), version: configuration.Version,
		// Callers have keys, and upstreams have none.
		nested: route.AllowAnonymous && request.Key == "",
	}
	service := configuration.Services[j.service]
	j.floor, j.deadline = floor(service.CapacityFloor), deadlineOf(*request, route, service)

	if !route.AllowAnonymous && account.Rate > 0 {
		return j, in.take(ctx, &j)
	}

	return j, fleet.Reply{}
}

func failed(reply fleet.Reply) bool {
	return reply.Outcome != fleet.Ran || reply.Answer.Status >= http.StatusInternalServerError
}

// deadlineOf returns the earliest of the caller's deadline, the route's timeout
// and the service's deadline, as far as there are any.
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
// configuration names a time.
const defaultDeadline = time.Minute

func refuseRoute(result routing.Result) fleet.Reply {
	switch result {
	case routing.BadPath:
		return fleet.Refuse(fleet.ReasonBadRequest, "the path has empty, dot or encoded dot segments")
	case routing.MethodNotAllowed:
		return fleet.Refuse(fleet.ReasonNoRoute, "no route for this path takes the method")
	case routing.NoRoute, routing.Matched:
	}

	return fleet.Refuse(fleet.ReasonNoRoute, "no route for this host and path")
}

// authenticate finds the client account of the key. The returned reply has a
// reason if the request is refused.
func (in *Ingress) authenticate(key string, configuration *fleet.Configuration) (fleet.ClientAccount, fleet.Reply) {
	if key == "" {
		return fleet.ClientAccount{}, fleet.Refuse(fleet.ReasonNoKey, "the route needs a key")
	}

	if configuration.Keys != nil {
		// Keys and routes are of one version, so that a key works until the
		// version that drops it is installed.
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
	// tokenPatience is the part of a route's target latency for which a request waits
	// for a token of an account that is above its limit: not so long that the wait
	// counts, and long enough to get the next token of most accounts.
	tokenPatience = 0.125
	// untargetedPatience is the part of its whole time for which it waits where the
	// route has no target. The rest is left to run it.
	untargetedPatience = 0.5
)

func (in *Ingress) take(ctx context.Context, j *job) fleet.Reply {
	var refusal fleet.Reply

	patience := untargetedPatience * float64(j.deadline.Sub(j.arrived))
	if target := j.route.TargetLatency; target > 0 {
		patience = tokenPatience * float64(target)
	}

	demand := fleet.TokenDemand{
		ClientAccount: j.account.Name, Priority: j.rank(), Deadline: j.deadline,
		OverLimitDeadline: j.arrived.Add(time.Duration(patience)),
	}

	take := in.Limiter.Take(ctx, demand)
	in.spends.add(j.account.Name, take.Outcome, time.Now())

	switch take.Outcome {
	case fleet.TokenGranted:
		return fleet.Reply{}
	case fleet.OverLimit:
		refusal = fleet.Refuse(fleet.ReasonLimit, "the client account is above its rate and burst")
	case fleet.GranterUnreachable:
		refusal = fleet.Refuse(fleet.ReasonLimitAway, "no daemon could grant the client account a token in time")
	case fleet.UnknownClientAccount:
		refusal = fleet.Refuse(fleet.ReasonBadKey, "the key's client account is not configured")
	}

	refusal.RetryAfter = take.RetryAfter

	return refusal
}
