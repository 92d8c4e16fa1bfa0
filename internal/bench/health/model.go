// Package health measures the detection of gray failures: an event-driven
// model of one service drives the detector and arbiter of internal/core/health
// and two baselines through the same faults.
package health

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	core "github.com/kumquatshelf/kumquatshelf/internal/core/health"
)

const (
	serviceName = "Service"
	slots       = 3
	// MeanService is the service time of the average request, that of a probe.
	MeanService = 25 * time.Millisecond
	// ServiceSigma is the standard deviation of log service time on a route.
	ServiceSigma = 0.4
	// speedSigma is the spread of speed between instances.
	speedSigma = 0.1
	// utilization is the load in parts of the service's capacity.
	utilization = 0.5
	// backgroundFailures is the rate of server errors of a healthy upstream.
	backgroundFailures = 0.0005
	// pauseEvery and pauseLength describe the pauses of a healthy upstream.
	pauseEvery  = time.Minute
	pauseLength = 200 * time.Millisecond
	// busyEvery, busyLength and busyFactor describe the effect of other load on
	// the instance of a healthy upstream.
	busyEvery  = 5 * time.Minute
	busyLength = 5 * time.Second
	busyFactor = 1.4
	queueLimit = 24
	deadline   = 2 * time.Second
	// connectTimeout is how long an ingress waits for an egress to respond.
	connectTimeout = 50 * time.Millisecond
	// pathAvoidance is how long an ingress avoids a path that failed.
	pathAvoidance = time.Second
	// retryShare is the retry budget of an ingress.
	retryShare = 0.1
	// lostReports is the share of evidence frames that do not arrive.
	lostReports = 0.01
	// spread is the time that an ejection takes to the ingresses.
	spread = 100 * time.Millisecond
	warmUp = 30 * time.Second
)

var (
	// epoch is the model's time zero.
	epoch = time.Unix(1_000_000, 0)
	// AccountShares are the traffic shares of eight client accounts, a few large.
	AccountShares = []float64{0.32, 0.24, 0.16, 0.1, 0.07, 0.05, 0.04, 0.02}
	routes        = []route{
		{"Read", 0.5, 0.7, true},
		{"List", 0.3, 1.3, true},
		{"Write", 0.2, 1.3, false},
	}
)

type route struct {
	name       string
	share      float64
	factor     float64
	idempotent bool
}

// Deployment is the size of a service and its tolerance for waiting.
type Deployment struct {
	Name      string
	Upstreams int
	Zones     int
	Floor     fleet.Floor
	// LateAfter is the time after which an answer counts as late.
	LateAfter time.Duration
}

// Lima and Villalobos are the deployments of design section 1.2.
var (
	Lima = Deployment{
		Name: "Lima", Upstreams: 8, Zones: 4, Floor: fleet.Floor{Percent: 60}, LateAfter: 150 * time.Millisecond,
	}
	Villalobos = Deployment{
		Name: "Villalobos", Upstreams: 6, Zones: 3, Floor: fleet.Floor{Percent: 60}, LateAfter: 500 * time.Millisecond,
	}
)

type request struct {
	account, route, ingress int
	arrived                 time.Duration
	upstream, attempt       int
	sent                    time.Duration
}

type upstream struct {
	speed     float64
	inFlight  int
	queue     []*request
	pauseEnd  time.Duration
	busyUntil time.Duration
	condition condition
}

// pathTo is what an ingress knows about one upstream.
type pathTo struct {
	inFlight   int
	reported   int
	latency    float64
	unreached  int
	avoidUntil time.Duration
}

type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}

	return e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

// model is one run of one service under one policy and fault.
type model struct {
	deployment Deployment
	fault      fault
	policy     policy
	random     *rand.Rand
	now        time.Duration
	events     events
	number     int
	upstreams  []*upstream
	paths      [][]pathTo
	retries    []float64
	result     result
	wasEjected []bool
}

func (m *model) after(d time.Duration, run func()) {
	m.number++
	heap.Push(&m.events, event{m.now + d, m.number, run})
}

func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

func pick(random *rand.Rand, n int, share func(int) float64) int {
	x := random.Float64()
	for i := range n - 1 {
		if x -= share(i); x < 0 {
			return i
		}
	}

	return n - 1
}

func upstreamName(i int) string { return fmt.Sprint("u", i) }

func (d Deployment) zone(i int) string { return fmt.Sprint("z", i%d.Zones) }

// run plays the warm-up and then the fault for the given time.
func (m *model) run(length time.Duration) result {
	for i := range m.deployment.Upstreams {
		m.upstreams = append(m.upstreams, &upstream{speed: math.Exp(speedSigma * m.random.NormFloat64())})
		paths := make([]pathTo, m.deployment.Upstreams)
		for j := range paths {
			paths[j].latency = MeanService.Seconds()
		}
		m.paths = append(m.paths, paths)
		m.retries = append(m.retries, 0)
		m.disturb(i)
	}
	m.wasEjected = make([]bool, m.deployment.Upstreams)
	m.arrive()
	m.tick()
	end := warmUp + length
	for m.now < end {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.result.length = length

	return m.result
}

// disturb lets a healthy upstream pause and share its instance now and then.
func (m *model) disturb(i int) {
	u := m.upstreams[i]
	var pause, busy func()
	pause = func() {
		u.pauseEnd = m.now + pauseLength
		m.after(m.exponential(pauseEvery), pause)
	}
	busy = func() {
		u.busyUntil = m.now + busyLength
		m.after(m.exponential(busyEvery), busy)
	}
	m.after(m.exponential(pauseEvery), pause)
	m.after(m.exponential(busyEvery), busy)
}

func (m *model) arrive() {
	perSecond := utilization * float64(slots*m.deployment.Upstreams) / MeanService.Seconds()
	m.after(m.exponential(time.Duration(float64(time.Second)/perSecond)), m.arrive)
	r := &request{
		account: pick(m.random, len(AccountShares), func(i int) float64 { return AccountShares[i] }),
		route:   pick(m.random, len(routes), func(i int) float64 { return routes[i].share }),
		ingress: m.random.IntN(m.deployment.Upstreams),
		arrived: m.now,
	}
	m.forward(r)
}

// tick applies the fault, lets the policy decide and measures.
func (m *model) tick() {
	m.after(core.ReportInterval, m.tick)
	for i, u := range m.upstreams {
		u.condition = m.fault.at(i, m.now-warmUp, m.deployment)
	}
	m.policy.tick(m)
	m.measure()
}

// forward chooses an upstream by power of two choices and sends the request.
func (m *model) forward(r *request) {
	r.attempt++
	i, ok := m.choose(r)
	if !ok {
		m.finish(r, false)

		return
	}
	p := &m.paths[r.ingress][i]
	r.upstream, r.sent = i, m.now
	p.inFlight++
	if m.fault.cut(r.ingress, i, m.now-warmUp, m.deployment) {
		m.after(connectTimeout, func() { m.unreached(r) })

		return
	}
	m.enqueue(r)
}

func (m *model) choose(r *request) (int, bool) {
	var eligible []int
	for i := range m.upstreams {
		state := m.policy.state(r.ingress, i, m.now)
		trial := state == core.Probation && routes[r.route].idempotent && m.random.Float64() < 0.1
		if (state == core.None || trial) && m.now >= m.paths[r.ingress][i].avoidUntil &&
			(r.attempt == 1 || i != r.upstream) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return 0, false
	}
	if i, bound := m.fault.affinity(r.account, m.now-warmUp); bound && r.attempt == 1 {
		return i, true
	}
	a, b := eligible[m.random.IntN(len(eligible))], eligible[m.random.IntN(len(eligible))]
	if m.cost(r.ingress, b) < m.cost(r.ingress, a) {
		a = b
	}

	return a, true
}

func (m *model) cost(ingress, i int) float64 {
	p := &m.paths[ingress][i]

	return float64(p.inFlight+p.reported+1) * p.latency
}

func (m *model) unreached(r *request) {
	p := &m.paths[r.ingress][r.upstream]
	p.inFlight--
	p.unreached++
	if p.unreached >= 3 {
		p.avoidUntil = m.now + pathAvoidance
	}
	m.policy.observePath(m, r, false)
	m.repeat(r)
}

// repeat sends a request that has not run, or may run again, to another
// upstream once, within the retry budget.
func (m *model) repeat(r *request) {
	if r.attempt > 1 || m.retries[r.ingress] < 1 {
		m.finish(r, false)

		return
	}
	m.retries[r.ingress]--
	m.forward(r)
}

func (m *model) enqueue(r *request) {
	u := m.upstreams[r.upstream]
	if u.condition.shed > 0 && m.random.Float64() < u.condition.shed {
		m.respond(r, fleet.Observation{Result: fleet.CallShed, State: u.condition.state}, 0)

		return
	}
	if len(u.queue) >= queueLimit {
		m.paths[r.ingress][r.upstream].inFlight--
		m.repeat(r)

		return
	}
	u.queue = append(u.queue, r)
	m.start(u)
}

func (m *model) start(u *upstream) {
	for u.inFlight < slots && len(u.queue) > 0 {
		r := u.queue[0]
		u.queue = u.queue[1:]
		if m.now-r.arrived > deadline {
			m.paths[r.ingress][r.upstream].inFlight--
			m.finish(r, false)

			continue
		}
		u.inFlight++
		served := m.serviceTime(u, r)
		m.after(served, func() {
			u.inFlight--
			m.respond(r, m.answer(u, r), served)
			m.start(u)
		})
	}
}

func (m *model) serviceTime(u *upstream, r *request) time.Duration {
	factor := routes[r.route].factor * u.speed * u.condition.slow
	if m.now < u.busyUntil {
		factor *= busyFactor
	}
	// The mean of a log-normal distribution is exp(σ²/2).
	x := math.Exp(ServiceSigma*m.random.NormFloat64() - ServiceSigma*ServiceSigma/2)

	return time.Duration(float64(MeanService)*factor*x) + max(u.pauseEnd-m.now, 0)
}

// answer draws the result of a request that ran.
func (m *model) answer(u *upstream, r *request) fleet.Observation {
	o := fleet.Observation{State: u.condition.state, Status: 200}
	status, bad := m.fault.bad(r.account, m.now-warmUp)
	switch {
	case bad && m.random.Float64() < 0.5:
		o.Status = status
	case m.random.Float64() < u.condition.failing, m.random.Float64() < backgroundFailures:
		o.Status = 500
	case m.random.Float64() < u.condition.truncating:
		o.Truncated = true
	}

	return o
}

func (m *model) respond(r *request, o fleet.Observation, served time.Duration) {
	u, p := m.upstreams[r.upstream], &m.paths[r.ingress][r.upstream]
	p.inFlight--
	p.unreached = 0
	p.reported = u.inFlight + len(u.queue)
	if u.condition.lying {
		p.reported = 0
	}
	o.ClientAccount, o.Route = fmt.Sprint("c", r.account), routes[r.route].name
	o.Served = served
	m.policy.observe(m, r, o)
	m.policy.observePath(m, r, true)
	if r.upstream < m.fault.grayCount(m.deployment) && m.now > warmUp && !m.result.detected {
		m.result.requests++
	}
	ok := o.Result == fleet.CallAnswered && o.Status < 500 && !o.Truncated
	if ok {
		p.latency += 0.1 * ((m.now - r.sent).Seconds() - p.latency)
	}
	shed := o.Result == fleet.CallShed
	if !ok && (routes[r.route].idempotent || shed) {
		m.repeat(r)

		return
	}
	m.finish(r, ok)
}

func (m *model) finish(r *request, ok bool) {
	m.retries[r.ingress] = min(m.retries[r.ingress]+retryShare, 10)
	if r.arrived < warmUp {
		return
	}
	m.result.all++
	if !ok || m.now-r.arrived > m.deployment.LateAfter {
		m.result.late++
	}
}
