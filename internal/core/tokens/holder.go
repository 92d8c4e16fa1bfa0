package tokens

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Holder is the state of one daemon as a holder of tokens of one group.
type Holder struct {
	group       uint32
	incarnation uint64
	sequence    uint64
	limits      Limits
	accounts    map[string]*account
	active      []*account
	pending     *peerpb.TokenRequest
	sent        time.Time
	next        time.Time
	reported    time.Time
	granter     time.Time
}

// NewHolder returns a holder without tokens.
func NewHolder(group int, incarnation uint64, limits Limits) *Holder {
	return &Holder{group: uint32(group), incarnation: incarnation, limits: limits, accounts: map[string]*account{}} //nolint:gosec // groups are small and not negative
}

// Configure installs new limits.
func (h *Holder) Configure(limits Limits) {
	h.limits = limits
	for _, a := range h.active {
		a.limit = limitOf(limits, a.name)
	}
}

// Take spends a token if one is at hand. Otherwise it returns a waiter, if a
// token is expected in time. The waiter is resolved by a later
// call of Answer or Expire, or removed by Cancel.
func (h *Holder) Take(now time.Time, demand fleet.TokenDemand) (fleet.TokenResult, *Waiter) {
	name := demand.ClientAccount
	limit, ok := h.limits.Get(name)
	if !ok {
		return fleet.TokenResult{Outcome: fleet.UnknownClientAccount}, nil
	}
	a := h.accounts[name]
	if a == nil {
		a = &account{name: name, limit: limit, counted: now}
		h.accounts[name] = a
		h.active = append(h.active, a)
	}
	a.takes++
	if len(a.waiters) == 0 && a.spend(now) {
		return fleet.TokenResult{Outcome: fleet.TokenGranted}, nil
	}
	w := &Waiter{
		Deadline: demand.Deadline, patience: demand.Deadline, rank: min(max(demand.Priority, 0), maxRank), account: a, since: now,
	}
	if !demand.OverLimitDeadline.IsZero() && demand.OverLimitDeadline.Before(demand.Deadline) {
		w.patience = demand.OverLimitDeadline
	}
	if at, ok := a.expected(now, a.place(w.rank)); ok && at.After(w.patience) {
		return fleet.TokenResult{Outcome: fleet.OverLimit, RetryAfter: at.Sub(now)}, nil
	}
	if !now.Before(demand.Deadline) {
		return h.late(w), nil
	}
	a.enqueue(w)

	return fleet.TokenResult{}, w
}

// late returns the outcome of a waiter whose deadline has passed.
func (h *Holder) late(w *Waiter) fleet.TokenResult {
	if h.granter.Before(w.since) {
		return fleet.TokenResult{Outcome: fleet.GranterUnreachable, RetryAfter: awayRetry}
	}

	return fleet.TokenResult{Outcome: fleet.OverLimit, RetryAfter: w.account.limit.wait(1)}
}

// Cancel removes a waiter whose caller went away.
func (h *Holder) Cancel(w *Waiter) {
	for i, other := range w.account.waiters {
		if other == w {
			w.account.waiters = append(w.account.waiters[:i], w.account.waiters[i+1:]...)

			return
		}
	}
}

// Idle reports that Expire and Request have nothing to do.
func (h *Holder) Idle() bool { return len(h.active) == 0 }

// Waiting reports that requests wait for tokens.
func (h *Holder) Waiting() bool {
	for _, a := range h.active {
		if len(a.waiters) > 0 {
			return true
		}
	}

	return false
}

// Expire returns the waiters whose deadline has passed, or whose patience has
// while the granter answers.
func (h *Holder) Expire(now time.Time) (resolved []*Waiter) {
	for _, a := range h.active {
		kept := a.waiters[:0]
		for _, w := range a.waiters {
			if now.Before(w.patience) || now.Before(w.Deadline) && h.granter.Before(w.since) {
				kept = append(kept, w)
			} else {
				w.Result = h.late(w)
				resolved = append(resolved, w)
			}
		}
		clear(a.waiters[len(kept):])
		a.waiters = kept
	}

	return resolved
}

// NextRequest returns the request that is due, or nil. There is one request at a
// time; Answer or Fail ends it.
func (h *Holder) NextRequest(now time.Time) *peerpb.TokenRequest {
	if h.pending != nil || now.Before(h.next) {
		return nil
	}
	reports := now.Sub(h.reported) >= reportDelay
	request := &peerpb.TokenRequest{Group: h.group, Incarnation: h.incarnation}
	isDue := false
	kept := h.active[:0]
	for _, a := range h.active {
		message, due := a.demandMessage(now, reports)
		isDue = isDue || due
		if message.GetTokens() > 0 || len(message.GetSpent()) > 0 {
			request.Demands = append(request.Demands, message)
		}
		if a.idle() {
			delete(h.accounts, a.name)
		} else {
			kept = append(kept, a)
		}
	}
	clear(h.active[len(kept):])
	h.active = kept
	if !isDue {
		return nil
	}
	h.sequence++
	request.Sequence = h.sequence
	h.pending, h.sent, h.next, h.reported = request, now, now.Add(MinRequestInterval), now

	return request
}

// HandleFailure ends a request that got no answer.
func (h *Holder) HandleFailure(now time.Time, request *peerpb.TokenRequest) {
	if h.pending == request {
		h.pending = nil
		h.next = now.Add(awayRetry)
	}
}

// HandleAnswer ends a request. Batches are valid from when the request was sent, so
// a late answer brings little or nothing. Answers to other requests than the
// one that is pending are ignored; what they granted expires at the granter.
func (h *Holder) HandleAnswer(now time.Time, request *peerpb.TokenRequest, result *peerpb.TokenResult) (resolved []*Waiter) {
	if h.pending == nil || request.GetSequence() != h.pending.GetSequence() {
		return nil
	}
	if !result.GetGranter() {
		h.HandleFailure(now, h.pending)

		return nil
	}
	h.granter = h.sent
	for _, d := range h.pending.GetDemands() {
		if a := h.accounts[d.GetClientAccount()]; a != nil {
			a.confirm(d.GetSpent())
		}
	}
	h.pending = nil
	for _, grant := range result.GetGrants() {
		if a := h.accounts[grant.GetClientAccount()]; a != nil {
			resolved = append(resolved, h.granted(now, a, request, grant)...)
		}
	}

	return resolved
}

func (h *Holder) granted(now time.Time, a *account, request *peerpb.TokenRequest, grant *peerpb.TokenGrant) []*Waiter {
	waiting := 0
	for _, d := range request.GetDemands() {
		if d.GetClientAccount() == a.name {
			waiting = int(d.GetWaiting())
		}
	}
	if grant.GetTokens() > 0 {
		a.batches = append(a.batches, &held{
			id: grant.GetBatch(), left: grant.GetTokens(),
			expires: h.sent.Add(time.Duration(grant.GetValidNanoseconds())),
		})
	}
	missing := max(0, waiting-int(grant.GetTokens()))
	wait := time.Duration(grant.GetRetryNanoseconds())
	a.answered, a.allBy, a.retryFor = now, now.Add(wait), missing
	a.retryAt, a.prefetchAt = now, now
	switch {
	case missing > 0:
		a.retryAt = now.Add(min(retryMax, max(retryMin, wait/time.Duration(missing))))
		a.prefetchAt = a.retryAt
	case grant.GetTokens() == 0:
		a.prefetchAt = now.Add(retryMax / 2)
	}

	return a.serve(now)
}
