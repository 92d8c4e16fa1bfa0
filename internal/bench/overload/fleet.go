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
	host = "pond.example"
	key  = "key"
	// incarnation is that of all daemons.
	incarnation = 1
	// headBytes estimates an attempt without its body, and answerHeadBytes an
	// answer or a refusal.
	headBytes, answerHeadBytes = 300, 150
	// askBytes is that of an attempt that only asks for a free slot.
	askBytes = 100
	// retryWindow is that of the budget of extra attempts.
	retryWindow = 10 * time.Second
	// settle is how long requests may run after the last was sent.
	settle = 10 * time.Second
)

// Policy switches decisions off, for baselines.
type Policy struct {
	// NoSuspicion sends requests to upstreams as if none ever failed.
	NoSuspicion bool
	// NoPriority serves waiting requests as if all were equally urgent.
	NoPriority bool
}

// Fleet is the model of a fleet with one daemon beside each upstream.
type Fleet struct {
	pattern Pattern
	policy  Policy
	record  *record
	began   time.Time
	daemons []*daemon
	byName  map[string]*daemon
	ids     atomic.Uint64

	retriesMu sync.Mutex
	retries   pool.RetryBudget
}

// daemon is an ingress and an egress with the upstream beside it.
type daemon struct {
	fleet    *Fleet
	name     string
	zone     int
	service  string
	ingress  *ingress.Ingress
	egress   *egress.Egress
	upstream fleet.Upstream
}

// Run plays a pattern and returns what became of its requests.
func Run(pattern Pattern, policy Policy, seed uint64) Result {
	f := &Fleet{
		pattern: pattern, policy: policy, record: newRecord(), began: time.Now(), byName: map[string]*daemon{},
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
	f.callers(random)
	for _, cleanUp := range cleanUps {
		cleanUp()
	}

	return f.record.result
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
	one, closeEgress := egress.New(settings, newUpstream(f, d, random), noEvidence{}, log)
	d.egress = one
	in, closeIngress := ingress.New(ingress.Dependencies{
		Name: d.name, Incarnation: incarnation, Service: service.Name, AcceptTimeout: 250 * time.Millisecond,
		SlotCheckMinBytes: 600, RetryBudget: f, NestedCalls: one, Egress: way{d}, Limiter: unlimited{}, Candidates: candidates{d}, ContactSource: unlimited{},
		Keys: keys.NewTable(), Random: rand.New(rand.NewPCG(random.Uint64(), 3)), //nolint:gosec // a model
		Log: log, Metrics: new(expvar.Map).Init(),
	})
	d.ingress = in
	one.Announce(d.upstream)
	for _, other := range f.daemons {
		other.egress.OpenSession(d.session())
		one.OpenSession(other.session())
	}
	one.OpenSession(d.session())
	f.daemons = append(f.daemons, d)
	f.byName[d.name] = d

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
		Keys:           map[fleet.KeyHash]string{keys.HashKey(key): "Club"},
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

// callers sends the requests of all classes from all daemons.
func (f *Fleet) callers(random *rand.Rand) {
	var running sync.WaitGroup
	for i := range f.pattern.Classes {
		class := &f.pattern.Classes[i]
		if class.Rate == 0 {
			continue
		}
		own := rand.New(rand.NewPCG(random.Uint64(), 4)) //nolint:gosec // a model
		running.Go(func() { f.send(class, own, &running) })
	}
	running.Wait()
	time.Sleep(settle)
}

// send sends the requests of a class.
func (f *Fleet) send(class *Class, random *rand.Rand, running *sync.WaitGroup) {
	for {
		at := time.Since(f.began)
		if at >= f.pattern.Length {
			return
		}
		time.Sleep(draw(random, time.Duration(float64(time.Second)/(class.Rate*f.pattern.load(at)))))
		d := f.daemons[random.IntN(len(f.daemons))]
		running.Go(func() {
			began := time.Now()
			result := d.forward(context.Background(), class, key, f.requestID(), began.Add(class.Timeout))
			f.record.note(class.Name, func(o *ClassCounts) { o.count(result, time.Since(began), class.TargetLatency) })
		})
	}
}

// fate is what became of a request.
type fate int

const (
	served fate = iota
	refused
	failed
)

func (o *ClassCounts) count(result fate, latency, target time.Duration) {
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

// forward sends a request through the daemon's ingress.
func (d *daemon) forward(ctx context.Context, class *Class, key, id string, deadline time.Time) fate {
	reply := d.ingress.Forward(ctx, fleet.CallerRequest{
		Request: fleet.Request{
			Method: http.MethodGet, Host: host, Target: "/" + class.Name + "/", Header: http.Header{},
			Body: make([]byte, class.RequestBytes),
		},
		ID: id, Key: key, ReceivedAt: time.Now(), Deadline: deadline,
	})
	if reply.Outcome != fleet.Ran {
		d.fleet.record.reason(class.Name, reply.Outcome.String()+" "+string(reply.Reason))
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
		d.fleet.record.reason(class.Name, strconv.Itoa(reply.Answer.Status))

		return failed
	}

	return served
}

// SpendRetry implements ingress.Retries.
func (f *Fleet) SpendRetry(service string, use fleet.ServiceUsage) (granted, answered bool) {
	f.retriesMu.Lock()
	defer f.retriesMu.Unlock()

	return f.retries.Spend(time.Now(), service, use, 1), true
}

// ReportUsage implements ingress.Retries.
func (f *Fleet) ReportUsage(service string, use fleet.ServiceUsage) bool {
	f.retriesMu.Lock()
	defer f.retriesMu.Unlock()
	f.retries.Record(time.Now(), service, use, 1)

	return true
}

// way is the network between the daemons.
type way struct{ from *daemon }

// Run implements ingress.Egress.
func (w way) Run(ctx context.Context, name string, a fleet.Attempt) fleet.Reply {
	to := w.from.fleet.byName[name]
	delay := w.from.fleet.pattern.ZoneDelay
	crosses := to.zone != w.from.zone
	if crosses {
		delay = w.from.fleet.pattern.CrossZoneDelay
		size := headBytes + len(a.Request.Body)
		if a.CheckOnly {
			size = askBytes
		}
		w.from.fleet.record.cross(size)
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
		w.from.fleet.record.visit()
	}
	if crosses {
		w.from.fleet.record.cross(size)
	}

	return reply
}

// Cancel implements ingress.Egress.
func (w way) Cancel(ctx context.Context, name string, id fleet.AttemptID, egressIncarnation uint64) fleet.CancelResult {
	return w.from.fleet.byName[name].egress.CancelForIncarnation(ctx, w.from.session(), id, egressIncarnation)
}

// candidates lists the upstreams as a daemon sees them.
type candidates struct{ of *daemon }

// Candidates implements ingress.Candidates.
func (c candidates) Candidates(service string) (list []balance.Candidate) {
	for _, d := range c.of.fleet.daemons {
		if d.service != service {
			continue
		}
		list = append(list, balance.Candidate{
			Upstream: d.upstream.Name, Daemon: d.name, EgressIncarnation: incarnation, SameZone: d.zone == c.of.zone,
			Slots: d.upstream.Slots, State: fleet.Ready,
		})
	}

	return list
}

// unlimited has no limits and knows all keys.
type unlimited struct{}

// Take implements ingress.Limiter.
func (unlimited) Take(context.Context, fleet.TokenDemand) fleet.TokenResult {
	return fleet.TokenResult{}
}

// Contact implements ingress.Contacts.
func (unlimited) Contact() keys.Contact { return keys.Contact{Store: time.Now()} }

// noEvidence drops observations.
type noEvidence struct{}

// Observe implements egress.Evidence.
func (noEvidence) Observe(fleet.Observation) {}
