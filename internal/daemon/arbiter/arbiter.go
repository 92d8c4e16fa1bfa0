// Package arbiter runs the detection of gray failures in a daemon: it sends
// the evidence of this daemon to the arbiter of each service, decides for the
// services whose lease this daemon holds, and keeps the published ejections
// for the ingress.
package arbiter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// observationQueue holds the observations of one report interval at 32,000
	// attempts per second, fifty times the load of a daemon at the target size.
	observationQueue = 8192
	// batchQueue holds reports that wait for the sender.
	batchQueue = 8
	// inboxQueue holds a second of frames from 128 daemons.
	inboxQueue = 512
	// auditQueue holds more records than ejections can occur in a minute today.
	auditQueue = 256
	// callTimeout bounds the exchange of one Evidence frame. Older evidence is
	// of little use, and the next frame waits for it.
	callTimeout = time.Second
	// repairInterval is the time between two reads of all ejections, which
	// repair notifications that were missed.
	repairInterval = time.Second
)

// Peers exchanges one frame with another daemon.
type Peers interface {
	Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Leases tells who holds the lease of a group.
type Leases interface {
	// Held reports whether this daemon holds it.
	Held(group int, now time.Time) bool
	Holder(group int) (daemon string, known bool)
}

// Entries is the replicated set.
type Entries interface {
	Publish(entry fleet.Entry)
	Range(kind fleet.EntryKind, visit func(fleet.Entry))
	// Subscribe returns newer entries as they arrive, and a function that ends
	// the subscription.
	Subscribe(kind fleet.EntryKind) (<-chan fleet.Entry, func())
}

// Announced gives the known upstreams of a service.
type Announced interface {
	Upstreams(service string) []health.Upstream
}

// Services gives the services of the installed configuration.
type Services interface {
	Services() []fleet.Service
}

// Audit takes the audit records of ejections.
type Audit interface {
	Record(action, subject, detail string)
}

// Options identify the daemon.
type Options struct {
	Name             string
	AvailabilityZone string
	// Groups is the number of lease groups, the same on every daemon.
	Groups int
	// Seed starts the random jitter of backoffs.
	Seed uint64
}

// Ports are what the arbiter depends on. All of them are required.
type Ports struct {
	Peers     Peers
	Leases    Leases
	Entries   Entries
	Announced Announced
	Services  Services
	Audit     Audit
}

// Losses counts what was dropped because a queue was full or a peer away.
type Losses struct {
	// Observations did not fit the queue behind Observe and ObservePath.
	Observations atomic.Int64
	// Reports had no known arbiter, or it did not take them in time.
	Reports atomic.Int64
	// Frames did not fit the arbiter's inbox.
	Frames atomic.Int64
	// Malformed frames and entries were refused.
	Malformed atomic.Int64
	// Audits did not fit the queue before the audit port.
	Audits atomic.Int64
}

// Arbiter is the daemon's part in detection and ejection. It is safe for
// concurrent use.
type Arbiter struct {
	options      Options
	ports        Ports
	losses       Losses
	observations chan fleet.Observation
	paths        chan fleet.PathObservation
	batches      chan []batch
	inbox        chan message
	audits       chan auditRecord
	view         *view
	random       *rand.Rand
}

// message is the evidence of one daemon on its way to the arbiters.
type message struct {
	from   health.Reporter
	counts []health.Counts
	paths  []health.PathCounts
}

type auditRecord struct {
	action, subject, detail string
}

// New starts the goroutines and returns the arbiter and the function that
// stops them. After that, observations are counted as lost.
func New(options Options, ports Ports) (*Arbiter, func()) {
	a := &Arbiter{
		options:      options,
		ports:        ports,
		observations: make(chan fleet.Observation, observationQueue),
		paths:        make(chan fleet.PathObservation, observationQueue),
		batches:      make(chan []batch, batchQueue),
		inbox:        make(chan message, inboxQueue),
		audits:       make(chan auditRecord, auditQueue),
		view:         newView(),
		random:       rand.New(rand.NewPCG(options.Seed, 0)), //nolint:gosec // jitter
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){a.collect, a.send, a.follow, a.decide, a.record} {
		running.Go(func() { loop(ctx) })
	}

	return a, func() {
		cancel()
		running.Wait()
	}
}

// Losses returns the counters of dropped evidence.
func (a *Arbiter) Losses() *Losses {
	return &a.losses
}

// Observe takes the egress's evidence from one attempt. It never blocks.
func (a *Arbiter) Observe(o fleet.Observation) {
	select {
	case a.observations <- o:
	default:
		a.losses.Observations.Add(1)
	}
}

// ObservePath takes the ingress's evidence about a path. It never blocks.
func (a *Arbiter) ObservePath(o fleet.PathObservation) {
	select {
	case a.paths <- o:
	default:
		a.losses.Observations.Add(1)
	}
}

// State returns the decision about an upstream that is valid at the time now.
func (a *Arbiter) State(service, upstream string, now time.Time) Decision {
	return a.view.state(service, upstream, now)
}

// Handle takes an Evidence frame from another daemon and returns the response.
func (a *Arbiter) Handle(_ context.Context, from string, frame *peerpb.Frame) *peerpb.Frame {
	evidence := frame.GetEvidence()
	if evidence == nil {
		a.losses.Malformed.Add(1)

		return refuse("frame is not evidence")
	}
	m, err := parseEvidence(from, evidence)
	if err != nil {
		a.losses.Malformed.Add(1)

		return refuse(err.Error())
	}

	return &peerpb.Frame{Body: &peerpb.Frame_Acknowledged{
		Acknowledged: &peerpb.Acknowledged{Accepted: a.deliver(m)},
	}}
}

func refuse(detail string) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Error{
		Error: &peerpb.Error{Reason: string(fleet.ReasonBadRequest), Detail: detail},
	}}
}

func (a *Arbiter) deliver(m message) bool {
	select {
	case a.inbox <- m:
		return true
	default:
		a.losses.Frames.Add(1)

		return false
	}
}

// record hands the audit records on, so that a slow store delays no decision.
func (a *Arbiter) record(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.audits:
			a.ports.Audit.Record(r.action, r.subject, r.detail)
		}
	}
}
