package tokens

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// asks returns a request for tokens of requests that wait, by rank.
func asks(sequence uint64, ranks ...uint32) *peerpb.TokenRequest {
	request := want(sequence, 0)
	demand := request.GetDemands()[0]
	demand.Ranks = ranks
	for _, count := range ranks {
		demand.Waiting += count
	}
	demand.Tokens = demand.GetWaiting()

	return request
}

// Guards against an account above its limit spending its tokens on requests that
// matter less, and against these getting none at all.
func TestGranterRanks(t *testing.T) {
	t.Parallel()
	const long = time.Hour
	const ms = time.Millisecond
	// full is when the bucket holds its burst of 20.
	full := at(time.Minute)
	for _, test := range []struct {
		name  string
		steps func(g *Granter) uint32
		want  uint32
	}{
		{name: "without a shortage all ranks get tokens", steps: func(g *Granter) uint32 {
			return granted(g.Handle(full, "a", asks(1, 0, 5, 5), long))
		}, want: 10},
		{name: "less urgent ones get none while urgent ones ran short", steps: func(g *Granter) uint32 {
			g.Handle(full, "a", asks(1, 21), long)

			return granted(g.Handle(full.Add(200*ms), "b", asks(1, 0, 5), long))
		}, want: 0},
		{name: "equally urgent ones get what there is", steps: func(g *Granter) uint32 {
			g.Handle(full, "a", asks(1, 21), long)
			g.Handle(full, "a", want(2, 0, &peerpb.BatchSpent{Batch: 101, Tokens: 20, Closed: true}), long)

			return granted(g.Handle(full.Add(200*ms), "b", asks(1, 5), long))
		}, want: 2},
		{name: "the shortage ends", steps: func(g *Granter) uint32 {
			g.Handle(full, "a", asks(1, 21), long)
			g.Handle(full, "a", want(2, 0, &peerpb.BatchSpent{Batch: 101, Tokens: 20, Closed: true}), long)

			return granted(g.Handle(full.Add(shortage+100*ms), "b", asks(1, 0, 5), long))
		}, want: 4},
		{name: "less urgent ones get a part of what urgent ones get", steps: func(g *Granter) uint32 {
			g.Handle(full, "a", asks(1, 21), long)
			now := full
			got := uint32(0)
			for i := range uint64(40) {
				now = now.Add(100 * ms)
				answer := g.Handle(now, "a", asks(2+2*i, 2), long)
				for _, grant := range answer.GetGrants() {
					spent := &peerpb.BatchSpent{Batch: grant.GetBatch(), Tokens: grant.GetTokens(), Closed: true}
					g.Handle(now, "a", want(3+2*i, 0, spent), long)
				}
				got += granted(g.Handle(now, "b", asks(1+i, 0, 1), long))
			}

			return got
		}, want: 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := test.steps(NewGranter(begin, 100, LimitMap{club: {Rate: 10, Burst: 20}})); got != test.want {
				t.Errorf("got %d tokens, want %d", got, test.want)
			}
		})
	}
}

// Guards against a request that is held for a token of an account above its limit
// although it cannot come in time, and against a request that is refused as above
// its limit although no granter has said so.
func TestPatience(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for _, test := range []struct {
		name string
		// answered says that the granter has answered without a token, with the next
		// one expected after retry.
		answered bool
		retry    time.Duration
		// resolved is when the request was refused, or 0 if it waits for a second.
		resolved time.Duration
		want     fleet.TokenOutcome
	}{
		{name: "no answer", want: fleet.TokenGranted},
		{name: "token expected in time", answered: true, retry: 50 * ms, resolved: 100 * ms, want: fleet.OverLimit},
		{name: "token expected too late", answered: true, retry: 500 * ms, resolved: 2 * ms, want: fleet.OverLimit},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := NewHolder(0, 1, LimitMap{club: {Rate: 10, Burst: 20}})
			_, w := h.Take(begin, fleet.TokenDemand{ClientAccount: club, Deadline: at(time.Minute), OverLimitDeadline: at(100 * ms)})
			request := h.NextRequest(begin)
			var resolved []*Waiter
			now := begin
			if test.answered {
				now = at(2 * ms)
				resolved = h.HandleAnswer(now, request, &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{
					{ClientAccount: club, RetryNanoseconds: int64(test.retry)},
				}})
			}
			for len(resolved) == 0 && now.Before(at(time.Second)) {
				now = now.Add(ms)
				resolved = h.Expire(now)
			}
			took := now.Sub(begin)
			if len(resolved) == 0 {
				took = 0
			}
			if took != test.resolved || w.Result.Outcome != test.want {
				t.Errorf("got %v after %v, want %v after %v", w.Result.Outcome, took, test.want, test.resolved)
			}
		})
	}
}

// Guards against a daemon that spends a token on the request that came first
// instead of on the most urgent one.
func TestHolderServesUrgentFirst(t *testing.T) {
	t.Parallel()
	h := NewHolder(0, 1, LimitMap{club: {Rate: 10, Burst: 20}})
	waiters := map[*Waiter]int{}
	for _, rank := range []int{2, 0, 1, 0} {
		_, w := h.Take(begin, fleet.TokenDemand{ClientAccount: club, Priority: rank, Deadline: at(time.Minute)})
		waiters[w] = rank
	}
	request := h.NextRequest(begin)
	if got := request.GetDemands()[0].GetRanks(); len(got) != 3 || got[0] != 2 || got[1] != 1 || got[2] != 1 {
		t.Errorf("got %v waiting by rank, want [2 1 1]", got)
	}
	resolved := h.HandleAnswer(begin, request, &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{
		{ClientAccount: club, Batch: 1, Tokens: 3, ValidNanoseconds: int64(BatchTTL)},
	}})
	got := []int{}
	for _, w := range resolved {
		got = append(got, waiters[w])
	}
	if len(got) != 3 || got[0] != 0 || got[1] != 0 || got[2] != 1 {
		t.Errorf("got tokens for ranks %v, want [0 0 1]", got)
	}
}
