package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	core "github.com/kumquatshelf/kumquatshelf/internal/core/health"
)

// policy decides on ejections from what it observes.
type policy interface {
	observe(m *model, r *request, o fleet.Observation)
	observePath(m *model, r *request, reached bool)
	// tick is called once per report interval.
	tick(m *model)
	// state is that of an upstream as an ingress sees it.
	state(ingress, upstream int, now time.Duration) core.State
}

// Arbitration runs the detector and arbiter of the design for one service, with
// the loss and delay that reports and ejections have on their way.
type Arbitration struct {
	deployment Deployment
	arbiter    *core.Arbiter
	egress     []*core.Collector
	ingress    []*core.PathCollector
	random     *rand.Rand
	states     []published
}

// published is an ejection on its way to the ingresses.
type published struct {
	old, state core.State
	since      time.Duration
	valid      time.Duration
}

// NewArbitration returns an arbiter with one egress and one ingress per
// upstream. The threshold is in nats.
func NewArbitration(d Deployment, threshold float64, seed uint64) *Arbitration {
	service := fleet.Service{Name: serviceName, Floor: d.Floor, DetectionThreshold: threshold}
	p := &Arbitration{
		deployment: d,
		arbiter:    core.NewArbiter("d0", service, nil, epoch),
		random:     rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // a model
		states:     make([]published, d.Upstreams),
	}
	for range d.Upstreams {
		p.egress = append(p.egress, core.NewCollector())
		p.ingress = append(p.ingress, core.NewPathCollector())
	}

	return p
}

// Observe records the result of an attempt at its egress. It sets the service
// and the upstream of the observation.
func (p *Arbitration) Observe(upstream int, o fleet.Observation) {
	o.Service, o.Upstream = serviceName, upstreamName(upstream)
	p.egress[upstream].Add(o)
}

// ObservePath records whether an ingress reached the upstream's egress.
func (p *Arbitration) ObservePath(ingress, upstream int, reached bool) {
	p.ingress[ingress].Add(fleet.PathObservation{
		Service: serviceName, Upstream: upstreamName(upstream), Reached: reached,
	})
}

// Tick delivers the reports and lets the arbiter decide. It is called once per
// core.ReportInterval of internal/core/health; state returns an upstream's own.
func (p *Arbitration) Tick(at time.Duration, state func(upstream int) fleet.UpstreamState) {
	now := epoch.Add(at)
	var upstreams []core.Upstream
	for i := range p.states {
		zone := p.deployment.zone(i)
		upstreams = append(upstreams, core.Upstream{
			Name: upstreamName(i), Slots: slots, State: state(i), Alive: true,
			Daemon: fmt.Sprint("d", i), AvailabilityZone: zone,
		})
		counts, paths := p.egress[i].Take(), p.ingress[i].Take()
		if p.random.Float64() < lostReports {
			continue
		}
		for _, c := range counts {
			p.arbiter.Report(c, now)
		}
		for _, c := range paths {
			p.arbiter.ReportPath(core.Reporter{Daemon: fmt.Sprint("d", i), AvailabilityZone: zone}, c, now)
		}
	}
	for _, d := range p.arbiter.Decide(upstreams, now, p.random) {
		for i := range p.states {
			if upstreamName(i) == d.Upstream {
				p.states[i] = published{p.State(i, at), d.State, at + spread, at + core.EjectionTTL}
			}
		}
	}
}

// State returns the decision about an upstream as the ingresses see it.
func (p *Arbitration) State(upstream int, now time.Duration) core.State {
	s := p.states[upstream]
	if now < s.since {
		return s.old
	}
	if now >= s.valid {
		return core.None
	}

	return s.state
}

// arbiterPolicy is the policy of the design, with its own code.
type arbiterPolicy struct{ *Arbitration }

func (p arbiterPolicy) observe(_ *model, r *request, o fleet.Observation) { p.Observe(r.upstream, o) }

func (p arbiterPolicy) observePath(_ *model, r *request, reached bool) {
	p.ObservePath(r.ingress, r.upstream, reached)
}

func (p arbiterPolicy) tick(m *model) {
	p.Tick(m.now, func(i int) fleet.UpstreamState { return m.upstreams[i].condition.state })
}

func (p arbiterPolicy) state(_, upstream int, now time.Duration) core.State {
	return p.State(upstream, now)
}

// outlier is one ingress's record of one upstream in the baselines.
type outlier struct {
	consecutive   int
	requests, bad int
	ejections     int
	ejectedUntil  time.Duration
}

// baselinePolicy ejects at each ingress on its own, with the same backoff and
// within the floor as that ingress sees it.
type baselinePolicy struct {
	deployment Deployment
	records    [][]outlier
	// successRate selects outliers of the success rate instead of consecutive
	// errors.
	successRate bool
}

const (
	consecutiveErrors = 5
	// successRateInterval, successRateRequests and successRateDeviations are
	// usual defaults, with the request volume lowered to an ingress's share.
	successRateInterval   = 10 * time.Second
	successRateRequests   = 30
	successRateDeviations = 1.9
)

func newBaseline(d Deployment, successRate bool) policy {
	p := &baselinePolicy{deployment: d, successRate: successRate}
	for range d.Upstreams {
		p.records = append(p.records, make([]outlier, d.Upstreams))
	}

	return p
}

func (p *baselinePolicy) observe(m *model, r *request, o fleet.Observation) {
	p.count(m, r, o.Result == fleet.CallAnswered && o.Status < 500 && !o.Truncated)
}

func (p *baselinePolicy) observePath(m *model, r *request, reached bool) {
	if !reached {
		p.count(m, r, false)
	}
}

func (p *baselinePolicy) count(m *model, r *request, ok bool) {
	o := &p.records[r.ingress][r.upstream]
	o.requests++
	if ok {
		o.consecutive = 0

		return
	}
	o.bad++
	o.consecutive++
	if !p.successRate && o.consecutive >= consecutiveErrors {
		p.eject(r.ingress, r.upstream, m)
	}
}

func (p *baselinePolicy) eject(ingress, i int, m *model) {
	left, announced := 0, 0
	for j := range p.records[ingress] {
		announced += slots
		if m.now >= p.records[ingress][j].ejectedUntil && j != i {
			left += slots
		}
	}
	o := &p.records[ingress][i]
	if 100*left < p.deployment.Floor.Percent*announced || m.now < o.ejectedUntil {
		return
	}
	o.ejectedUntil = m.now + min(5*time.Second<<min(o.ejections, 6), core.MaxBackoff)
	o.ejections++
	o.consecutive = 0
	m.ejected(i, 1/float64(len(p.records)))
}

func (p *baselinePolicy) tick(m *model) {
	if !p.successRate || m.now%successRateInterval >= core.ReportInterval {
		return
	}
	for ingress, records := range p.records {
		var rates []float64
		for i := range records {
			if records[i].requests >= successRateRequests {
				rates = append(rates, 1-float64(records[i].bad)/float64(records[i].requests))
			}
		}
		mean, deviation := moments(rates)
		for i := range records {
			o := &records[i]
			rate := 1 - float64(o.bad)/float64(max(o.requests, 1))
			if o.requests >= successRateRequests && rate < mean-successRateDeviations*deviation {
				p.eject(ingress, i, m)
			}
			o.requests, o.bad = 0, 0
		}
	}
}

func moments(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(values))
	}

	return mean, math.Sqrt(deviation)
}

func (p *baselinePolicy) state(ingress, upstream int, now time.Duration) core.State {
	if now < p.records[ingress][upstream].ejectedUntil {
		return core.Ejected
	}

	return core.None
}
