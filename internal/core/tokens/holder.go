package tokens

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Holder is the state of one daemon as a holder of granted tokens of one group. It
// is not safe for concurrent use.
type Holder struct {
	group       uint32
	incarnation uint64
	// sequence is the number of the last request.
	sequence uint64
	limits   Limits
	// accounts and active hold the accounts that are in use.
	accounts map[string]*account
	active   []*account
	// pending is the request that waits for its answer, or nil.
	pending *peerpb.TokenRequest
	// sentAt is when the last request was sent.
	sentAt time.Time
	// nextRequestAt is the earliest time of the next request.
	nextRequestAt time.Time
	// reportedAt is when reports of spent tokens were last sent.
	reportedAt time.Time
	// answeredRequestAt is when the holder sent the last request that was answered by a
	// granter.
	answeredRequestAt time.Time
}

// NewHolder returns a holder without tokens.
func NewHolder(group int, incarnation uint64, limits Limits) *Holder {
	return &Holder{group: uint32(group), incarnation: incarnation, limits: limits, accounts: map[string]*account{}} //nolint:gosec // groups are small and not negative
}

// Configure installs new limits. Removed accounts get a zero limit, and the outcome of
// later calls of Take for them is UnknownClientAccount.
func (h *Holder) Configure(limits Limits) {
	h.limits = limits
	for _, a := range h.active {
		a.limit = limitOrZero(limits, a.name)
	}
}

// Take spends a token of a client account and returns the outcome. If none is
// available, it returns a waiter instead, unless the token is expected too late. The
// waiter is resolved by a later call of HandleAnswer or Expire, or removed by Cancel.
func (h *Holder) Take(now time.Time, demand fleet.TokenDemand) (fleet.TokenResult, *Waiter) {
	name := demand.ClientAccount
	limit, ok := h.limits.Get(name)
	if !ok {
		return fleet.TokenResult{Outcome: fleet.UnknownClientAccount}, nil
	}
	a := h.accounts[name]
	if a == nil {
		a = &account{name: name, limit: limit, countedSince: now}
		h.accounts[name] = a
		h.active = append(h.active, a)
	}
	a.requests++
	if len(a.waiters) == 0 && a.spendToken(now) {
		return fleet.TokenResult{Outcome: fleet.TokenGranted}, nil
	}
	w := &Waiter{
		Deadline: demand.Deadline, overLimitDeadline: demand.Deadline, rank: min(max(demand.Priority, 0), maxRank), account: a, arrivedAt: now,
	}
	if !demand.OverLimitDeadline.IsZero() && demand.OverLimitDeadline.Before(demand.Deadline) {
		w.overLimitDeadline = demand.OverLimitDeadline
	}
	if at, ok := a.expectedTokenTime(now, a.queuePosition(w.rank)); ok && at.After(w.overLimitDeadline) {
		return fleet.TokenResult{Outcome: fleet.OverLimit, RetryAfter: at.Sub(now)}, nil
	}
	if !now.Before(demand.Deadline) {
		return h.timeoutResult(w), nil
	}
	a.enqueue(w)

	return fleet.TokenResult{}, w
}

// timeoutResult returns the outcome of a waiter whose deadline has passed: the
// granter is unreachable if it has answered no request sent after the waiter
// arrived.
func (h *Holder) timeoutResult(w *Waiter) fleet.TokenResult {
	if h.answeredRequestAt.Before(w.arrivedAt) {
		return fleet.TokenResult{Outcome: fleet.GranterUnreachable, RetryAfter: noAnswerDelay}
	}

	return fleet.TokenResult{Outcome: fleet.OverLimit, RetryAfter: w.account.limit.refillTime(1)}
}

// Cancel removes a waiter whose request was cancelled.
func (h *Holder) Cancel(w *Waiter) {
	for i, other := range w.account.waiters {
		if other == w {
			w.account.waiters = append(w.account.waiters[:i], w.account.waiters[i+1:]...)

			return
		}
	}
}

// Idle reports whether no account is in use, so that Expire and NextRequest need not
// be called.
func (h *Holder) Idle() bool { return len(h.active) == 0 }

// Waiting reports whether requests wait for tokens.
func (h *Holder) Waiting() bool {
	for _, a := range h.active {
		if len(a.waiters) > 0 {
			return true
		}
	}

	return false
}

// Expire resolves and returns the waiters whose Deadline has passed, and those
// whose overLimitDeadline has passed while the granter answers.
func (h *Holder) Expire(now time.Time) (resolved []*Waiter) {
	for _, a := range h.active {
		kept := a.waiters[:0]
		for _, w := range a.waiters {
			if now.Before(w.overLimitDeadline) || now.Before(w.Deadline) && h.answeredRequestAt.Before(w.arrivedAt) {
				kept = append(kept, w)
			} else {
				w.Result = h.timeoutResult(w)
				resolved = append(resolved, w)
			}
		}
		clear(a.waiters[len(kept):])
		a.waiters = kept
	}

	return resolved
}

// NextRequest returns the request that is due at now, or nil. At most one request is
// pending; it remains so until HandleAnswer or HandleFailure is called.
func (h *Holder) NextRequest(now time.Time) *peerpb.TokenRequest {
	if h.pending != nil || now.Before(h.nextRequestAt) {
		return nil
	}
	reportDue := now.Sub(h.reportedAt) >= reportDelay
	request := &peerpb.TokenRequest{Group: h.group, Incarnation: h.incarnation}
	isDue := false
	kept := h.active[:0]
	for _, a := range h.active {
		message, due := a.demandMessage(now, reportDue)
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
	h.pending, h.sentAt, h.nextRequestAt, h.reportedAt = request, now, now.Add(MinRequestInterval), now

	return request
}

// HandleFailure ends the pending request without an answer. The next request is due after
// noAnswerDelay. A request that is not the pending one is ignored.
func (h *Holder) HandleFailure(now time.Time, request *peerpb.TokenRequest) {
	if h.pending == request {
		h.pending = nil
		h.nextRequestAt = now.Add(noAnswerDelay)
	}
}

// HandleAnswer ends a request with its result, and returns the waiters that it
// resolved. The validity of granted batches counts from when the request was sent,
// so the batches of a late answer may have expired. If the result is not from a
// granter, the request ends as with HandleFailure. The answer to a request that is not
// the pending one is ignored; its batches expire at the granter.
func (h *Holder) HandleAnswer(now time.Time, request *peerpb.TokenRequest, result *peerpb.TokenResult) (resolved []*Waiter) {
	if h.pending == nil || request.GetSequence() != h.pending.GetSequence() {
		return nil
	}
	if !result.GetGranter() {
		h.HandleFailure(now, h.pending)

		return nil
	}
	h.answeredRequestAt = h.sentAt
	for _, d := range h.pending.GetDemands() {
		if a := h.accounts[d.GetClientAccount()]; a != nil {
			a.confirmReports(d.GetSpent())
		}
	}
	h.pending = nil
	for _, grant := range result.GetGrants() {
		if a := h.accounts[grant.GetClientAccount()]; a != nil {
			resolved = append(resolved, h.applyGrant(now, a, request, grant)...)
		}
	}

	return resolved
}

// applyGrant adds the granted batch to an account, schedules its next requests and
// serves its waiters. It returns the waiters that it resolved.
func (h *Holder) applyGrant(now time.Time, a *account, request *peerpb.TokenRequest, grant *peerpb.TokenGrant) []*Waiter {
	waiting := 0
	for _, d := range request.GetDemands() {
		if d.GetClientAccount() == a.name {
			waiting = int(d.GetWaiting())
		}
	}
	if grant.GetTokens() > 0 {
		a.batches = append(a.batches, &heldBatch{
			id: grant.GetBatch(), remaining: grant.GetTokens(),
			expiresAt: h.sentAt.Add(time.Duration(grant.GetValidNanoseconds())),
		})
	}
	unserved := max(0, waiting-int(grant.GetTokens()))
	untilAllServed := time.Duration(grant.GetRetryNanoseconds())
	a.answeredAt, a.allServedAt, a.unserved = now, now.Add(untilAllServed), unserved
	a.nextRetryAt, a.nextPrefetchAt = now, now
	switch {
	case unserved > 0:
		a.nextRetryAt = now.Add(min(maxRetryDelay, max(minRetryDelay, untilAllServed/time.Duration(unserved))))
		a.nextPrefetchAt = a.nextRetryAt
	case grant.GetTokens() == 0:
		a.nextPrefetchAt = now.Add(maxRetryDelay / 2)
	}

	return a.serveWaiters(now)
}
