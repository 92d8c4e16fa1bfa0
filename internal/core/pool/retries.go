package pool

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// RetryBudget bounds the extra attempts at each service over all daemons (retry
// budget). The zero value allows none. It is not safe for concurrent use.
type RetryBudget struct {
	// Ratio is the number of extra attempts per request.
	Ratio float64
	// Slack is the number of extra attempts within Window beyond that.
	Slack  float64
	Window time.Duration

	services map[string]*retryBucket
}

type retryBucket struct {
	tokens float64
	at     time.Time
}

const (
	// savedSlack is the part of the slack that can be spent at once; the rest
	// becomes available over the window. Together they stay below the slack.
	savedSlack = 0.4
	// steadySlack is the part of the slack that becomes available over a window.
	steadySlack = 0.5
	// steadyShare leaves a part of the share for repeats that are reported late.
	steadyShare = 0.8
)

// Spend takes one extra attempt at a service and reports whether it is allowed.
// Use is what was not counted yet. Limits is the part of all limits that this
// daemon grants, 0 to 1.
func (r *RetryBudget) Spend(now time.Time, service string, use fleet.ServiceUsage, limits float64) bool {
	b := r.count(now, service, use, limits)
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}

// Record takes the repeats that were made without asking.
func (r *RetryBudget) Record(now time.Time, service string, use fleet.ServiceUsage, limits float64) {
	r.count(now, service, use, limits)
}

func (r *RetryBudget) count(now time.Time, service string, use fleet.ServiceUsage, limits float64) *retryBucket {
	if r.services == nil {
		r.services = map[string]*retryBucket{}
	}
	b := r.services[service]
	if b == nil {
		b = &retryBucket{tokens: savedSlack * r.Slack * limits / 2, at: now}
		r.services[service] = b
	}
	if elapsed := now.Sub(b.at); elapsed > 0 && r.Window > 0 {
		b.tokens += steadySlack * r.Slack * limits * elapsed.Seconds() / r.Window.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens+steadyShare*r.Ratio*float64(use.Requests), savedSlack*r.Slack*limits)
	b.tokens = max(b.tokens-float64(use.Repeats), -r.Slack)

	return b
}
