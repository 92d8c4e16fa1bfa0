package health

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// forgetAfter is how long the record of an upstream that is no longer
// announced is kept, so that a restart does not clear it.
const forgetAfter = 10 * time.Minute

// unreachableSeverity exceeds that of failing and slow upstreams, which still
// answer some requests.
const unreachableSeverity = 10

// record is the arbiter's memory of one upstream.
type record struct {
	ejection Ejection
	// since is when the state began.
	since time.Time
	// ejectedUntil is when the last publication of state Ejected has expired on
	// every daemon, even if the message that ended it was lost.
	ejectedUntil time.Time
	published    time.Time
	changed      bool
	action       string
	// score and severity are those of the time of the ejection.
	score    float64
	severity float64
	paths    paths
	// heard is when the owning egress last sent evidence.
	heard time.Time
	seen  time.Time
}

// Arbiter decides on the ejections of one service. Exactly one daemon runs it
// at a time, under the lease of the service's group. It is not safe for
// concurrent use.
type Arbiter struct {
	name     string
	service  fleet.Service
	detector *detector
	records  map[string]*record
	// holdUntil is when every ejection of a predecessor has expired or is known.
	holdUntil time.Time
}

// NewArbiter returns an arbiter that runs on the named daemon. It adopts the
// known ejections of its predecessor and ejects nobody else until those that
// it does not know of have expired.
func NewArbiter(name string, service fleet.Service, known []Ejection, now time.Time) *Arbiter {
	a := &Arbiter{
		name:      name,
		service:   service,
		detector:  newDetector(now),
		records:   map[string]*record{},
		holdUntil: now.Add(EjectionTTL + spreadAllowance),
	}
	for _, e := range known {
		r := a.record(e.Upstream, now)
		r.ejection = e
		r.ejection.Arbiter = name
		if e.State != None {
			r.changed = true
			r.ejectedUntil = a.holdUntil
		}
	}

	return a
}

// Configure replaces the service's settings.
func (a *Arbiter) Configure(service fleet.Service) {
	a.service = service
}

func (a *Arbiter) record(upstream string, now time.Time) *record {
	r := a.records[upstream]
	if r == nil {
		r = &record{
			ejection: Ejection{Service: a.service.Name, Upstream: upstream, Arbiter: a.name},
			since:    now, paths: paths{}, heard: now, seen: now,
		}
		a.records[upstream] = r
	}

	return r
}

// Report takes the evidence of an egress about one of its upstreams.
func (a *Arbiter) Report(counts Counts, now time.Time) {
	a.record(counts.Upstream, now).heard = now
	a.detector.add(counts)
}

// ReportPath takes the evidence of an ingress about the way to an upstream.
func (a *Arbiter) ReportPath(from Reporter, counts PathCounts, now time.Time) {
	a.record(counts.Upstream, now).paths.add(from, counts, now)
}

// Decide evaluates the evidence since the last call and returns the ejections
// to publish: all changes, and the renewals that are due. It is called once
// per ReportInterval with the upstreams known at that time.
func (a *Arbiter) Decide(upstreams []Upstream, now time.Time, random *rand.Rand) []Decision {
	a.sync(upstreams, now)
	a.detector.step(a.service.DetectionThreshold, now)
	a.advance(now)
	a.lift(upstreams, now)
	if !now.Before(a.holdUntil) {
		a.eject(upstreams, now, random)
	}

	return a.publish(now)
}

func (a *Arbiter) sync(upstreams []Upstream, now time.Time) {
	for _, u := range upstreams {
		a.record(u.Name, now).seen = now
	}
	for name, r := range a.records {
		if now.Sub(r.seen) > pathMemory {
			delete(a.detector.upstreams, name)
		}
		if r.ejection.State == None && !r.changed && now.Sub(r.seen) > forgetAfter {
			delete(a.records, name)
		}
	}
}

// advance moves upstreams from ejection to probation and back into service.
func (a *Arbiter) advance(now time.Time) {
	for name, r := range a.records {
		age := now.Sub(r.since)
		switch r.ejection.State {
		case Ejected:
			if !now.Before(r.ejection.Until) {
				a.detector.of(name).reset()
				r.paths = paths{}
				r.enter(Probation, ActionProbation, now)
			}
		case Probation:
			tried := a.detector.of(name).requests >= probationRequests && age >= minProbation
			if (tried || age >= maxProbation) && !a.suspect(name, r, now) {
				r.enter(None, ActionReinstate, now)
			}
		case None:
			if r.ejection.Level > 0 && age >= memoryStep {
				r.ejection.Level--
				r.since = now
			}
		}
	}
}

func (r *record) enter(state State, action string, now time.Time) {
	r.ejection.State = state
	r.action = action
	r.since = now
	r.changed = true
}

func (a *Arbiter) threshold(r *record) float64 {
	if r.ejection.State == Probation {
		return probationThreshold * a.service.DetectionThreshold
	}

	return a.service.DetectionThreshold
}

func (a *Arbiter) suspect(name string, r *record, now time.Time) bool {
	return a.detector.of(name).score(now) >= a.threshold(r)
}

// reserved reports whether the upstream may count as ejected on any daemon, or
// has less than its full share.
func (a *Arbiter) reserved(now time.Time) func(string) bool {
	return func(name string) bool {
		r := a.records[name]

		return r != nil && (r.ejection.State != None || now.Before(r.ejectedUntil))
	}
}

// limited reports the upstreams without their full share by the current
// decisions.
func (a *Arbiter) limited(name string) bool {
	r := a.records[name]

	return r != nil && r.ejection.State != None
}

// lift ends ejections, the least suspect first, while capacity is below the
// floor. Ending the ejection of an upstream that does not serve gains nothing.
func (a *Arbiter) lift(upstreams []Upstream, now time.Time) {
	required := RequiredSlots(a.service.Floor, upstreams)
	var ejected []string
	for _, u := range upstreams {
		if u.serving() && a.limited(u.Name) {
			ejected = append(ejected, u.Name)
		}
	}
	slices.SortFunc(ejected, func(x, y string) int {
		rx, ry := a.records[x], a.records[y]

		return cmp.Or(
			cmp.Compare(ry.ejection.State, rx.ejection.State),
			cmp.Compare(rx.severity, ry.severity),
			cmp.Compare(x, y),
		)
	})
	for _, name := range ejected {
		if HealthySlots(upstreams, a.limited) >= required {
			return
		}
		a.records[name].enter(None, ActionLift, now)
	}
}

type candidate struct {
	upstream Upstream
	record   *record
	score    float64
	severity float64
	reason   string
}

// eject takes the suspects out of service, the most suspect first, as far as
// the floor allows.
func (a *Arbiter) eject(upstreams []Upstream, now time.Time, random *rand.Rand) {
	required := RequiredSlots(a.service.Floor, upstreams)
	for _, c := range a.candidates(upstreams, now) {
		left := HealthySlots(upstreams, a.reserved(now))
		if !a.reserved(now)(c.upstream.Name) {
			left -= c.upstream.Slots
		}
		if left < required {
			continue
		}
		r := c.record
		r.score, r.severity = c.score, c.severity
		r.ejection.Reason = c.reason
		backoff := min(minBackoff<<r.ejection.Level, MaxBackoff)
		jitter := time.Duration(random.Int64N(int64(backoff / 10)))
		r.ejection.Until = now.Add(min(backoff+jitter, MaxBackoff))
		r.ejection.Level = min(r.ejection.Level+1, MaxLevel)
		r.enter(Ejected, ActionEject, now)
	}
}

func (a *Arbiter) candidates(upstreams []Upstream, now time.Time) []candidate {
	zones := map[string]bool{}
	for _, u := range upstreams {
		zones[u.AvailabilityZone] = true
	}
	var all []candidate
	for _, u := range upstreams {
		r := a.records[u.Name]
		if !u.serving() || r.ejection.State == Ejected {
			continue
		}
		s := a.detector.of(u.Name)
		c := candidate{upstream: u, record: r, score: s.score(now), severity: s.severity(), reason: ReasonFailures}
		if s.latency > s.failureScore(now) {
			c.reason = ReasonLatency
		}
		if r.paths.unreachable(len(zones), now.Sub(r.heard) >= silenceAfter, now) {
			c.reason = ReasonUnreachable
			c.score = scoreCap * a.service.DetectionThreshold
			c.severity = unreachableSeverity
		}
		if c.score >= a.threshold(r) {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.severity, x.severity), cmp.Compare(x.upstream.Name, y.upstream.Name))
	})

	return all
}

func (a *Arbiter) publish(now time.Time) []Decision {
	var decisions []Decision
	for _, r := range a.records {
		renew := r.ejection.State != None && now.Sub(r.published) >= RenewInterval
		if !r.changed && !renew {
			continue
		}
		decisions = append(decisions, Decision{
			Ejection: r.ejection, Changed: r.changed && r.action != "", Action: r.action, Score: r.score,
		})
		r.published = now
		r.changed = false
		r.action = ""
		if r.ejection.State == Ejected {
			r.ejectedUntil = now.Add(EjectionTTL + spreadAllowance)
		}
	}
	slices.SortFunc(decisions, func(x, y Decision) int { return cmp.Compare(x.Upstream, y.Upstream) })

	return decisions
}
