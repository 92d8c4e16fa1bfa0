package ingress

import (
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// usageSlots slots of usageSlotLength each are the period of the mean rate.
	usageSlots      = 10
	usageSlotLength = time.Second
)

// tokenUsage counts the tokens of one client account that this ingress has used.
type tokenUsage struct {
	// counts is a ring of the tokens used in each slot. The index of a slot is its
	// number since the Unix epoch, modulo usageSlots.
	counts [usageSlots]uint64
	// lastSlot is the number of the slot that was written last.
	lastSlot int64
	// rejected counts the requests over the account's limit.
	rejected uint64
}

// tokenUsages holds the token usage of each client account that called this ingress.
type tokenUsages struct {
	mu       sync.Mutex
	accounts map[string]*tokenUsage
}

// add counts the outcome of one request for a token.
func (u *tokenUsages) add(clientAccount string, outcome fleet.TokenOutcome, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()

	if u.accounts == nil {
		u.accounts = make(map[string]*tokenUsage)
	}

	usage := u.accounts[clientAccount]
	if usage == nil {
		usage = &tokenUsage{}
		u.accounts[clientAccount] = usage
	}

	switch outcome {
	case fleet.TokenGranted:
		usage.advance(now)
		usage.counts[usage.lastSlot%usageSlots]++
	case fleet.OverLimit:
		usage.rejected++
	case fleet.GranterUnreachable, fleet.UnknownClientAccount:
	}
}

// advance clears the slots between the last one written and the one of now, which
// becomes the last.
func (u *tokenUsage) advance(now time.Time) {
	current := now.UnixNano() / int64(usageSlotLength)
	for slot := max(u.lastSlot+1, current-usageSlots+1); slot <= current; slot++ {
		u.counts[slot%usageSlots] = 0
	}

	u.lastSlot = current
}

// TokenUsage returns the tokens that a client account used at this ingress, as a mean of the
// last 10 seconds in tokens per second, and the number of its requests that were rejected
// over its limit since the start.
func (in *Ingress) TokenUsage(clientAccount string) (perSecond float64, rejected uint64) {
	in.usages.mu.Lock()
	defer in.usages.mu.Unlock()

	usage := in.usages.accounts[clientAccount]
	if usage == nil {
		return 0, 0
	}

	usage.advance(time.Now())

	var total uint64
	for _, count := range usage.counts {
		total += count
	}

	return float64(total) / usageSlots, usage.rejected
}

// LastLoad returns the last load that a reply of the upstream's egress reported to this
// ingress, and when. If there was none, the time is zero.
func (in *Ingress) LastLoad(upstream string) (fleet.Load, time.Time) {
	in.balancer.mu.Lock()
	defer in.balancer.mu.Unlock()

	return in.balancer.tracker.Load(upstream, time.Now())
}
