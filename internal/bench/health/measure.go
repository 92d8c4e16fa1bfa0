package health

import (
	"math/rand/v2"
	"time"

	core "github.com/kumquatshelf/kumquatshelf/internal/core/health"
)

// result is what one run measured. Requests and ejections of the warm-up are
// left out.
type result struct {
	length time.Duration
	// detected says that at detectedAfter at least half of the ingresses had all
	// gray upstreams ejected, or as many as the floor allows.
	detected      bool
	detectedAfter time.Duration
	// requests counts those at gray upstreams before detection.
	requests int
	// falseEjections counts those of healthy upstreams. An ejection by one of n
	// ingresses on its own counts 1/n.
	falseEjections float64
	all, late      int
	// least is the least healthy capacity seen, over the union of all
	// ingresses' ejections. required is the floor.
	least, required int
}

// ejected records a decision to eject.
func (m *model) ejected(upstream int, weight float64) {
	if m.now >= warmUp && !m.fault.faulty(upstream, m.now-warmUp, m.deployment) {
		m.result.falseEjections += weight
	}
}

// measure looks at the ingresses' views once per report interval.
func (m *model) measure() {
	var upstreams []core.Upstream
	anywhere := map[string]bool{}
	gray := 0
	for i, u := range m.upstreams {
		views := 0
		for ingress := range m.paths {
			if m.policy.state(ingress, i, m.now) == core.Ejected {
				views++
			}
		}
		ejected := 2*views >= len(m.paths)
		if _, central := m.policy.(arbiterPolicy); central && ejected && !m.wasEjected[i] {
			m.ejected(i, 1)
		}
		m.wasEjected[i] = ejected
		if ejected && i < m.fault.grayCount(m.deployment) {
			gray++
		}
		anywhere[upstreamName(i)] = views > 0
		upstreams = append(upstreams, core.Upstream{
			Name: upstreamName(i), Slots: slots, State: u.condition.state, Alive: true,
		})
	}
	healthy := core.HealthySlots(upstreams, func(name string) bool { return anywhere[name] })
	m.result.required = core.RequiredSlots(m.deployment.Floor, upstreams)
	allowed := min(m.fault.grayCount(m.deployment), len(upstreams)-(m.result.required+slots-1)/slots)
	if m.now >= warmUp && gray > 0 && gray >= allowed && !m.result.detected {
		m.result.detected, m.result.detectedAfter = true, m.now-warmUp
	}
	if m.result.least == 0 || healthy < m.result.least {
		m.result.least = healthy
	}
}

// choice selects a policy.
type choice int

const (
	thisPolicy choice = iota
	consecutive
	successRate
)

// play runs one case with one seed.
func play(d Deployment, f fault, c choice, threshold float64, seed uint64, length time.Duration) result {
	var p policy
	switch c {
	case consecutive:
		p = newBaseline(d, false)
	case successRate:
		p = newBaseline(d, true)
	case thisPolicy:
		p = arbiterPolicy{NewArbitration(d, threshold, seed)}
	}
	m := &model{
		deployment: d, fault: f, policy: p,
		random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // a model
	}

	return m.run(length)
}
