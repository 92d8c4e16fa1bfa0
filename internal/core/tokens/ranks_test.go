package tokens

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// rankedRequest returns a holder's request for the tokens of its waiting requests.
// The index in ranks is the rank, the value the number of waiting requests.
func rankedRequest(sequence uint64, ranks ...uint32) *peerpb.TokenRequest {
	request := tokenRequest(sequence, 0)
	demand := request.GetDemands()[0]
	demand.Ranks = ranks
	for _, count := range ranks {
		demand.Waiting += count
	}
	demand.Tokens = demand.GetWaiting()

	return request
}

// Guards against granting the tokens of an account above its limit to less urgent
// requests while urgent ones get none, and against granting less urgent requests
// no tokens at all.
func TestGranterRanks(t *testing.T) {
	t.Parallel()
	const lease = time.Hour
	const ms = time.Millisecond
	// fullAt is a time at which the bucket holds its burst of 20 tokens.
	fullAt := at(time.Minute)
	for _, test := range []struct {
		name  string
		steps func(g *Granter) uint32
		want  uint32
	}{
		{name: "without a shortage all ranks get tokens", steps: func(g *Granter) uint32 {
			return grantedTokens(g.Handle(fullAt, "a", rankedRequest(1, 0, 5, 5), lease))
		}, want: 10},
		{name: "less urgent ones get none while urgent ones ran short", steps: func(g *Granter) uint32 {
			g.Handle(fullAt, "a", rankedRequest(1, 21), lease)

			return grantedTokens(g.Handle(fullAt.Add(200*ms), "b", rankedRequest(1, 0, 5), lease))
		}, want: 0},
		{name: "equally urgent ones get all available tokens", steps: func(g *Granter) uint32 {
			g.Handle(fullAt, "a", rankedRequest(1, 21), lease)
			g.Handle(fullAt, "a", tokenRequest(2, 0, &peerpb.BatchSpent{Batch: 101, Tokens: 20, Closed: true}), lease)

			return grantedTokens(g.Handle(fullAt.Add(200*ms), "b", rankedRequest(1, 5), lease))
		}, want: 2},
		{name: "the shortage ends", steps: func(g *Granter) uint32 {
			g.Handle(fullAt, "a", rankedRequest(1, 21), lease)
			g.Handle(fullAt, "a", tokenRequest(2, 0, &peerpb.BatchSpent{Batch: 101, Tokens: 20, Closed: true}), lease)

			return grantedTokens(g.Handle(fullAt.Add(shortageDuration+100*ms), "b", rankedRequest(1, 0, 5), lease))
		}, want: 4},
		{name: "less urgent ones get a fraction of the urgent ones' tokens", steps: func(g *Granter) uint32 {
			g.Handle(fullAt, "a", rankedRequest(1, 21), lease)
			now := fullAt
			got := uint32(0)
			for i := range uint64(40) {
				now = now.Add(100 * ms)
				answer := g.Handle(now, "a", rankedRequest(2+2*i, 2), lease)
				for _, grant := range answer.GetGrants() {
					spent := &peerpb.BatchSpent{Batch: grant.GetBatch(), Tokens: grant.GetTokens(), Closed: true}
					g.Handle(now, "a", tokenRequest(3+2*i, 0, spent), lease)
				}
				got += grantedTokens(g.Handle(now, "b", rankedRequest(1+i, 0, 1), lease))
			}

			return got
		}, want: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := test.steps(NewGranter(startTime, 100, LimitMap{accountName: {Rate: 10, Burst: 20}})); got != test.want {
				t.Errorf("got %d tokens, want %d", got, test.want)
			}
		})
	}
}

// Guards against a request that waits although the account is above its limit and
// no token is expected in time, and against refusing a request as above the limit
// before a granter has answered.
func TestPatience(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for _, test := range []struct {
		name string
		// answered means that the granter answers without a token and expects the next
		// one after retry.
		answered bool
		retry    time.Duration
		// resolved is how long the request waits until it is refused, or 0 if it still
		// waits after 1 s.
		resolved time.Duration
		want     fleet.TokenOutcome
	}{
		{name: "no answer", want: fleet.TokenGranted},
		{name: "token expected in time", answered: true, retry: 50 * ms, resolved: 100 * ms, want: fleet.OverLimit},
		{name: "token expected too late", answered: true, retry: 500 * ms, resolved: 2 * ms, want: fleet.OverLimit},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := NewHolder(0, 1, LimitMap{accountName: {Rate: 10, Burst: 20}})
			_, w := h.Take(startTime, fleet.TokenDemand{ClientAccount: accountName, Deadline: at(time.Minute), OverLimitDeadline: at(100 * ms)})
			request := h.NextRequest(startTime)
			var resolved []*Waiter
			now := startTime
			if test.answered {
				now = at(2 * ms)
				resolved = h.HandleAnswer(now, request, &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{
					{ClientAccount: accountName, RetryNanoseconds: int64(test.retry)},
				}})
			}
			for len(resolved) == 0 && now.Before(at(time.Second)) {
				now = now.Add(ms)
				resolved = h.Expire(now)
			}
			waited := now.Sub(startTime)
			if len(resolved) == 0 {
				waited = 0
			}
			if waited != test.resolved || w.Result.Outcome != test.want {
				t.Errorf("got %v after %v, want %v after %v", w.Result.Outcome, waited, test.want, test.resolved)
			}
		})
	}
}

// Guards against spending a token on the waiting request that arrived first instead
// of on the most urgent one.
func TestHolderServesUrgentFirst(t *testing.T) {
	t.Parallel()
	h := NewHolder(0, 1, LimitMap{accountName: {Rate: 10, Burst: 20}})
	waiters := map[*Waiter]int{}
	for _, rank := range []int{2, 0, 1, 0} {
		_, w := h.Take(startTime, fleet.TokenDemand{ClientAccount: accountName, Priority: rank, Deadline: at(time.Minute)})
		waiters[w] = rank
	}
	request := h.NextRequest(startTime)
	if got := request.GetDemands()[0].GetRanks(); len(got) != 3 || got[0] != 2 || got[1] != 1 || got[2] != 1 {
		t.Errorf("got %v waiting by rank, want [2 1 1]", got)
	}
	resolved := h.HandleAnswer(startTime, request, &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{
		{ClientAccount: accountName, Batch: 1, Tokens: 3, ValidNanoseconds: int64(BatchTTL)},
	}})
	got := []int{}
	for _, w := range resolved {
		got = append(got, waiters[w])
	}
	if len(got) != 3 || got[0] != 0 || got[1] != 0 || got[2] != 1 {
		t.Errorf("got tokens for ranks %v, want [0 0 1]", got)
	}
}
