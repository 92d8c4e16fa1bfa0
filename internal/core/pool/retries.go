package pool

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// RetryBudget limits the number of extra attempts at each service, such as retries, over
// all daemons. The zero value allows none. It is not safe for concurrent use.
type RetryBudget struct {
	// Ratio is the number of extra attempts allowed per request.
	Ratio float64
	// Slack is the number of extra attempts allowed within Window in addition to Ratio.
	Slack  float64
	Window time.Duration

	services map[string]*serviceBucket
}

// serviceBucket is the token bucket of one service. A token allows one extra attempt.
type serviceBucket struct {
	// tokens is negative after more repeats than the budget allows.
	tokens     float64
	refilledAt time.Time
}

const (
	// burstSlackFraction is the fraction of the slack that can be spent at once; the
	// rest becomes available over the window. burstSlackFraction and
	// steadySlackFraction add up to less than 1.
	burstSlackFraction = 0.4
	// steadySlackFraction is the fraction of the slack that becomes available over a
	// window.
	steadySlackFraction = 0.5
	// creditFraction is the fraction of Ratio that is credited for each request.
	// The rest is left for repeats that are reported late.
	creditFraction = 0.8
)

// Spend spends one extra attempt at a service and reports whether it is allowed. Usage
// counts the requests and repeats that were not passed to Spend or Record before, and
// limitShare is the part of all limits that this daemon may grant, 0 to 1.
func (r *RetryBudget) Spend(now time.Time, service string, usage fleet.ServiceUsage, limitShare float64) bool {
	b := r.refillAndRecord(now, service, usage, limitShare)
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}

// Record counts usage like Spend, but spends nothing. It is for requests, and for repeats
// that were made without a call of Spend.
func (r *RetryBudget) Record(now time.Time, service string, usage fleet.ServiceUsage, limitShare float64) {
	r.refillAndRecord(now, service, usage, limitShare)
}

// refillAndRecord refills the bucket of a service, records usage and returns the bucket.
func (r *RetryBudget) refillAndRecord(now time.Time, service string, usage fleet.ServiceUsage, limitShare float64) *serviceBucket {
	if r.services == nil {
		r.services = map[string]*serviceBucket{}
	}
	b := r.services[service]
	if b == nil {
		b = &serviceBucket{tokens: burstSlackFraction * r.Slack * limitShare / 2, refilledAt: now}
		r.services[service] = b
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 && r.Window > 0 {
		b.tokens += steadySlackFraction * r.Slack * limitShare * elapsed.Seconds() / r.Window.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens+creditFraction*r.Ratio*float64(usage.Requests), burstSlackFraction*r.Slack*limitShare)
	b.tokens = max(b.tokens-float64(usage.Repeats), -r.Slack)

	return b
}
