package overload

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/egress"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/ingress"
)

const (
	host   = "pond.example"
	apiKey = "key"
	// incarnation is the same for all daemons, since none of them restarts.
	incarnation = 1
	// attemptHeadBytes estimates the size of an attempt without its body, and
	// answerHeadBytes the size of a refusal or of an answer without its body.
	attemptHeadBytes, answerHeadBytes = 300, 150
	// slotCheckBytes estimates the size of an attempt that only checks for a free slot.
	slotCheckBytes = 100
	// retryWindow is the window over which the retry budget counts extra attempts.
	retryWindow = 10 * time.Second
	// drainTime is the wait for running requests after the last one was sent.
	drainTime = 10 * time.Second
)

// Policy switches off suspicion or priorities, to measure baselines without them.
type Policy struct {
	// NoSuspicion disables suspicion, so that failing upstreams receive as many requests
	// as healthy ones.
	NoSuspicion bool
	// NoPriority gives all waiting requests the same priority.
	NoPriority bool
}

// Fleet is a fleet with one daemon beside each upstream, and the retry budget of all its
// daemons.
type Fleet struct {
	pattern       Pattern
	policy        Policy
	recorder      *recorder
	started       time.Time
	daemons       []*daemon
	daemonsByName map[string]*daemon
	ids           atomic.Uint64

	retriesMu sync.Mutex
	retries   pool.RetryBudget
}

// daemon is one ingress and one egress, and the upstream that they run beside.
type daemon struct {
	fleet    *Fleet
	name     string
	zone     int
	service  string
	ingress  *ingress.Ingress
	egress   *egress.Egress
	upstream fleet.Upstream
}

// Run plays a pattern and returns the outcomes of its requests. The seed determines the
// random choices of the models. Run returns when all requests have ended, in real time
// unless it is called in a testing/synctest bubble.
func Run(pattern Pattern, policy Policy, seed uint64) Result {
	f := &Fleet{
		pattern: pattern, policy: policy, recorder: newRecorder(), started: time.Now(), daemonsByName: map[string]*daemon{},
		retries: pool.RetryBudget{Ratio: pattern.RetryRatio, Slack: pattern.RetrySlack, Window: retryWindow},
	}
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a model
	var cleanUps []func()
	for _, service := range pattern.Services {
		for i := range service.Upstreams {
			cleanUps = append(cleanUps, f.add(service, i%pattern.Zones, rand.New(rand.NewPCG(random.Uint64(), 2)))) //nolint:gosec // a model
		}
	}
	configuration := f.configuration()
	for _, d := range f.daemons {
		d.ingress.Configure(configuration)
	}
	f.runCallers(random)
	for _, cleanUp := range cleanUps {
		cleanUp()
	}

	return f.recorder.result
}

// add adds a daemon with its upstream and returns its clean-up function.
func (f *Fleet) add(service Service, zone int, random *rand.Rand) func() {
	d := &daemon{fleet: f, name: fmt.Sprintf("daemon-%d", len(f.daemons)), zone: zone, service: service.Name}
	d.upstream = fleet.Upstream{
		Name: "upstream-" + d.name, Service: service.Name, Slots: service.Slots, State: fleet.Ready,
	}
	settings := egress.DefaultSettings(incarnation)
	settings.AnnounceTimeout = time.Hour
	if f.policy.NoSuspicion {
		settings.SuspicionThreshold = func(string) float64 { return math.Inf(1) }
	}
	log := slog.New(slog.DiscardHandler)
	localEgress, closeEgress := egress.New(settings, newUpstream(f, d, random), discardEvidence{}, log)
	d.egress = localEgress
	localIngress, closeIngress := ingress.New(ingress.Dependencies{
		Name: d.name, Incarnation: incarnation, Service: service.Name, AcceptTimeout: 250 * time.Millisecond,
		SlotCheckMinBytes: 600, RetryBudget: f, NestedCalls: localEgress, Egress: network{d}, Limiter: unlimited{}, Candidates: candidates{d}, ContactSource: unlimited{},
		Keys: keys.NewTable(), Random: rand.New(rand.NewPCG(random.Uint64(), 3)), //nolint:gosec // a model
		Log: log, Metrics: new(expvar.Map).Init(),
	})
	d.ingress = localIngress
	localEgress.Announce(d.upstream)
	for _, other := range f.daemons {
		other.egress.OpenSession(d.session())
		localEgress.OpenSession(other.session())
	}
	localEgress.OpenSession(d.session())
	f.daemons = append(f.daemons, d)
	f.daemonsByName[d.name] = d

	return func() {
		closeIngress()
		closeEgress()
	}
}

func (d *daemon) session() fleet.Session {
	return fleet.Session{Daemon: d.name, Incarnation: incarnation, Number: 1}
}

func (f *Fleet) configuration() *fleet.Configuration {
	c := &fleet.Configuration{
		Version: 1, Services: map[string]fleet.Service{},
		ClientAccounts: fleet.IndexClientAccounts(fleet.ClientAccount{Name: "Club"}),
		Keys:           map[fleet.KeyHash]string{keys.HashKey(apiKey): "Club"},
	}
	for _, s := range f.pattern.Services {
		c.Services[s.Name] = fleet.Service{Name: s.Name}
	}
	for _, class := range f.pattern.Classes {
		c.Routes = append(c.Routes, &fleet.Route{
			Name: class.Name, Service: class.Service, Host: host, PathPrefix: "/" + class.Name + "/",
			Idempotent: class.Idempotent, AllowAnonymous: class.Rate == 0, Timeout: class.Timeout, TargetLatency: class.TargetLatency,
			MaxAttempts: class.Attempts, Priority: class.Priority,
		})
	}

	return c
}

func (f *Fleet) requestID() string { return fmt.Sprintf("request-%d", f.ids.Add(1)) }

// runCallers sends the requests of all classes that callers send, and waits for them.
func (f *Fleet) runCallers(random *rand.Rand) {
	var running sync.WaitGroup
	for i := range f.pattern.Classes {
		class := &f.pattern.Classes[i]
		if class.Rate == 0 {
			continue
		}
		classRandom := rand.New(rand.NewPCG(random.Uint64(), 4)) //nolint:gosec // a model
		running.Go(func() { f.send(class, classRandom, &running) })
	}
	running.Wait()
	time.Sleep(drainTime)
}

// send sends the requests of a class as a Poisson process, each to a random daemon, until
// the pattern ends.
func (f *Fleet) send(class *Class, random *rand.Rand, running *sync.WaitGroup) {
	for {
		at := time.Since(f.started)
		if at >= f.pattern.Length {
			return
		}
		time.Sleep(drawExponential(random, time.Duration(float64(time.Second)/(class.Rate*f.pattern.loadAt(at)))))
		d := f.daemons[random.IntN(len(f.daemons))]
		running.Go(func() {
			began := time.Now()
			result := d.forward(context.Background(), class, apiKey, f.requestID(), began.Add(class.Timeout))
			f.recorder.update(class.Name, func(o *ClassCounts) { o.count(result, time.Since(began), class.TargetLatency) })
		})
	}
}

// outcome is the result of a request for its caller.
type outcome int

const (
	served outcome = iota
	refused
	failed
)

// count adds one request by its outcome. latency is the time from its sending until its
// caller had the result.
func (o *ClassCounts) count(result outcome, latency, target time.Duration) {
	o.Sent++
	switch {
	case result == refused:
		o.Refused++
		o.RefusalTime += latency
	case result == failed:
		o.Failed++
	case latency <= target:
		o.WithinTarget++
	default:
		o.Late++
	}
}

// forward sends a request through the daemon's ingress. It returns served for an answer
// with status 200, refused if no upstream ran the request, and failed otherwise.
func (d *daemon) forward(ctx context.Context, class *Class, key, id string, deadline time.Time) outcome {
	reply := d.ingress.Forward(ctx, fleet.CallerRequest{
		Request: fleet.Request{
			Method: http.MethodGet, Host: host, Target: "/" + class.Name + "/", Header: http.Header{},
			Body: make([]byte, class.RequestBytes),
		},
		ID: id, Key: key, ReceivedAt: time.Now(), Deadline: deadline,
	})
	if reply.Outcome != fleet.Ran {
		d.fleet.recorder.countReason(class.Name, reply.Outcome.String()+" "+string(reply.Reason))
	}
	switch reply.Outcome {
	case fleet.NotRun:
		return refused
	case fleet.Unknown:
		return failed
	case fleet.Ran:
	}
	_, err := io.Copy(io.Discard, reply.Answer.Body)
	_ = reply.Answer.Body.Close()
	if err != nil || reply.Answer.Status != http.StatusOK {
		d.fleet.recorder.countReason(class.Name, strconv.Itoa(reply.Answer.Status))

		return failed
	}

	return served
}

// SpendRetry implements ingress.RetryBudget.
func (f *Fleet) SpendRetry(service string, use fleet.ServiceUsage) (granted bool, uncounted fleet.ServiceUsage) {
	f.retriesMu.Lock()
	defer f.retriesMu.Unlock()

	return f.retries.Spend(time.Now(), service, use, 1), fleet.ServiceUsage{}
}

// ReportUsage implements ingress.RetryBudget.
func (f *Fleet) ReportUsage(service string, use fleet.ServiceUsage) fleet.ServiceUsage {
	f.retriesMu.Lock()
	defer f.retriesMu.Unlock()
	f.retries.Record(time.Now(), service, use, 1)

	return fleet.ServiceUsage{}
}

// network is the network between the daemons as one of them uses it.
type network struct{ from *daemon }

// Run implements ingress.Egress. It adds the delay of both directions and counts the bytes
// between zones.
func (w network) Run(ctx context.Context, name string, a fleet.Attempt) fleet.Reply {
	to := w.from.fleet.daemonsByName[name]
	delay := w.from.fleet.pattern.ZoneDelay
	crosses := to.zone != w.from.zone
	if crosses {
		delay = w.from.fleet.pattern.CrossZoneDelay
		size := attemptHeadBytes + len(a.Request.Body)
		if a.CheckOnly {
			size = slotCheckBytes
		}
		w.from.fleet.recorder.addCrossZoneBytes(size)
	}
	if w.from.fleet.policy.NoPriority {
		a.Priority, a.Nested = 0, false
	}
	time.Sleep(delay)
	reply := to.egress.Run(ctx, w.from.session(), a)
	time.Sleep(delay)
	size := answerHeadBytes
	if reply.Outcome == fleet.Ran {
		size += w.from.fleet.pattern.class(a.Route).AnswerBytes
	} else {
		w.from.fleet.recorder.countEgressRefusal()
	}
	if crosses {
		w.from.fleet.recorder.addCrossZoneBytes(size)
	}

	return reply
}

// Cancel implements ingress.Egress.
func (w network) Cancel(ctx context.Context, name string, id fleet.AttemptID, egressIncarnation uint64) fleet.CancelResult {
	return w.from.fleet.daemonsByName[name].egress.CancelForIncarnation(ctx, w.from.session(), id, egressIncarnation)
}

// candidates lists the upstreams of the fleet from the point of view of one daemon.
type candidates struct{ viewer *daemon }

// Candidates implements ingress.Candidates.
func (c candidates) Candidates(service string) (list []balance.Candidate) {
	for _, d := range c.viewer.fleet.daemons {
		if d.service != service {
			continue
		}
		list = append(list, balance.Candidate{
			Upstream: d.upstream.Name, Daemon: d.name, EgressIncarnation: incarnation, SameZone: d.zone == c.viewer.zone,
			Slots: d.upstream.Slots, State: fleet.Ready,
		})
	}

	return list
}

// unlimited grants every token at once and always reports recent contact with the store.
type unlimited struct{}

// Take implements ingress.Limiter.
func (unlimited) Take(context.Context, fleet.TokenDemand) fleet.TokenResult {
	return fleet.TokenResult{}
}

// Contact implements ingress.ContactSource.
func (unlimited) Contact() keys.Contact { return keys.Contact{Store: time.Now()} }

// ConfigurationIsCurrent implements ingress.ContactSource.
func (unlimited) ConfigurationIsCurrent() bool { return true }

// discardEvidence drops observations of upstreams.
type discardEvidence struct{}

// Observe implements egress.Observer.
func (discardEvidence) Observe(fleet.Observation) {}
