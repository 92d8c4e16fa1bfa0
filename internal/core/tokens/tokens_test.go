package tokens

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

var startTime = time.Unix(1_000_000, 0)

const accountName = "ClubMiraflores"

func at(d time.Duration) time.Time { return startTime.Add(d) }

func tokenRequest(sequence uint64, tokens uint32, spent ...*peerpb.BatchSpent) *peerpb.TokenRequest {
	return &peerpb.TokenRequest{Incarnation: 1, Sequence: sequence, Demands: []*peerpb.TokenDemand{{ClientAccount: accountName, Tokens: tokens, Waiting: tokens, Spent: spent}}}
}

func grantedTokens(result *peerpb.TokenResult) uint32 {
	if len(result.GetGrants()) == 0 {
		return 0
	}

	return result.GetGrants()[0].GetTokens()
}

// Guards against granting more tokens than available + outstanding ≤ burst allows
// after requests, reports and changes of the limits, also repeated or reordered.
func TestGranter(t *testing.T) {
	t.Parallel()
	limit := Limit{Rate: 10, Burst: 20}
	const lease = time.Hour
	for _, test := range []struct {
		name  string
		limit Limit
		steps func(g *Granter) uint32
		want  uint32
	}{
		{name: "a new granter is empty", steps: func(g *Granter) uint32 {
			return grantedTokens(g.Handle(startTime, "a", tokenRequest(1, 5), lease))
		}, want: 0},
		{name: "refill by the rate", steps: func(g *Granter) uint32 {
			return grantedTokens(g.Handle(at(time.Second), "a", tokenRequest(1, 50), lease))
		}, want: 10},
		{name: "refill up to the burst", steps: func(g *Granter) uint32 {
			return grantedTokens(g.Handle(at(time.Minute), "a", tokenRequest(1, 50), lease))
		}, want: 20},
		{name: "rate below one with a burst of one", limit: Limit{Rate: 0.5, Burst: 1}, steps: func(g *Granter) uint32 {
			return grantedTokens(g.Handle(at(1900*time.Millisecond), "a", tokenRequest(1, 1), lease)) + grantedTokens(g.Handle(at(2*time.Second), "a", tokenRequest(2, 1), lease))
		}, want: 1},
		{name: "no refill while all tokens are outstanding", steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", tokenRequest(1, 20), lease)

			return grantedTokens(g.Handle(at(time.Minute+AddClockMargin(BatchTTL)-1), "b", tokenRequest(1, 20), lease))
		}, want: 0},
		{name: "outstanding until the slowest clock's expiry by the fastest clock", limit: Limit{Rate: 1000, Burst: 20}, steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", tokenRequest(1, 20), lease)

			return grantedTokens(g.Handle(at(time.Minute+BatchTTL*105/95), "b", tokenRequest(1, 20), lease))
		}, want: 0},
		{name: "refill after the outstanding tokens expired", steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", tokenRequest(1, 20), lease)

			return grantedTokens(g.Handle(at(time.Minute+AddClockMargin(BatchTTL)+time.Second), "b", tokenRequest(1, 20), lease))
		}, want: 10},
		{name: "a repeated request gets the same batch", steps: func(g *Granter) uint32 {
			first := g.Handle(at(time.Minute), "a", tokenRequest(1, 5), lease).GetGrants()[0].GetBatch()
			if got := g.Handle(at(time.Minute), "a", tokenRequest(1, 5), lease).GetGrants()[0].GetBatch(); got != first {
				t.Errorf("got batch %d for a repeated request, want %d", got, first)
			}

			return grantedTokens(g.Handle(at(time.Minute), "b", tokenRequest(1, 20), lease))
		}, want: 15},
		{name: "an overtaken request gets nothing", steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", tokenRequest(2, 5), lease)

			return grantedTokens(g.Handle(at(time.Minute), "a", tokenRequest(1, 5), lease))
		}, want: 0},
		{name: "refill missed since a token was spent is added", limit: Limit{Rate: 10, Burst: 1}, steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", tokenRequest(1, 1), lease).GetGrants()[0].GetBatch()
			spent := &peerpb.BatchSpent{Batch: id, Tokens: 1, AgeNanoseconds: int64(120 * time.Millisecond)}

			return grantedTokens(g.Handle(at(time.Minute+120*time.Millisecond), "a", tokenRequest(2, 1, spent), lease))
		}, want: 1},
		{name: "refill missed before a token was spent is not added", limit: Limit{Rate: 10, Burst: 1}, steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", tokenRequest(1, 1), lease).GetGrants()[0].GetBatch()

			return grantedTokens(g.Handle(at(time.Minute+120*time.Millisecond), "a", tokenRequest(2, 1, &peerpb.BatchSpent{Batch: id, Tokens: 1}), lease))
		}, want: 0},
		{name: "missed refill is added once", limit: Limit{Rate: 10, Burst: 2}, steps: func(g *Granter) uint32 {
			age := int64(120 * time.Millisecond)
			first := g.Handle(at(time.Minute), "a", tokenRequest(1, 1), lease).GetGrants()[0].GetBatch()
			second := g.Handle(at(time.Minute), "a", tokenRequest(2, 1), lease).GetGrants()[0].GetBatch()

			return grantedTokens(g.Handle(at(time.Minute+120*time.Millisecond), "a", tokenRequest(3, 2,
				&peerpb.BatchSpent{Batch: first, Tokens: 1, AgeNanoseconds: age}, &peerpb.BatchSpent{Batch: second, Tokens: 1, AgeNanoseconds: age}), lease))
		}, want: 1},
		{name: "repeated reports count once", limit: Limit{Rate: 100, Burst: 20}, steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", tokenRequest(1, 20), lease).GetGrants()[0].GetBatch()
			for i := range uint64(4) {
				g.Handle(at(time.Minute), "a", tokenRequest(2+i, 0, &peerpb.BatchSpent{Batch: id, Tokens: 5}), lease)
			}

			return grantedTokens(g.Handle(at(time.Minute+AddClockMargin(BatchTTL)-10*time.Millisecond), "b", tokenRequest(1, 20), lease))
		}, want: 5},
		{name: "returned tokens can be granted again", steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", tokenRequest(1, 20), lease).GetGrants()[0].GetBatch()
			for i := range uint64(2) {
				g.Handle(at(time.Minute), "a", tokenRequest(2+i, 0, &peerpb.BatchSpent{Batch: id, Tokens: 8, Closed: true}), lease)
			}

			return grantedTokens(g.Handle(at(time.Minute), "b", tokenRequest(1, 20), lease))
		}, want: 12},
		{name: "reports of other holders do not count", steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", tokenRequest(1, 20), lease).GetGrants()[0].GetBatch()

			return grantedTokens(g.Handle(at(time.Minute), "b", tokenRequest(1, 20, &peerpb.BatchSpent{Batch: id, Closed: true}), lease))
		}, want: 0},
		{name: "a lower limit applies to available tokens", steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", tokenRequest(1, 4), lease)
			g.Configure(at(time.Minute), LimitMap{accountName: {Rate: 1, Burst: 6}})

			return grantedTokens(g.Handle(at(time.Minute), "b", tokenRequest(1, 20), lease))
		}, want: 2},
		{name: "an account that is added again starts empty", steps: func(g *Granter) uint32 {
			g.Configure(at(time.Minute), LimitMap{})
			g.Configure(at(2*time.Minute), LimitMap{accountName: limit})

			return grantedTokens(g.Handle(at(2*time.Minute+time.Second), "b", tokenRequest(1, 20), lease))
		}, want: 10},
		{name: "nothing is granted at the end of the lease", steps: func(g *Granter) uint32 {
			return grantedTokens(g.Handle(at(time.Minute), "a", tokenRequest(1, 5), minGrantValidity-1))
		}, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := limit
			if test.limit.Burst > 0 {
				l = test.limit
			}
			if got := test.steps(NewGranter(startTime, 100, LimitMap{accountName: l})); got != test.want {
				t.Errorf("got %d tokens, want %d", got, test.want)
			}
		})
	}
}

// Guards against grants that outlive the granter's lease.
func TestGrantIsCutToTheLease(t *testing.T) {
	t.Parallel()
	g := NewGranter(startTime, 100, LimitMap{accountName: {Rate: 10, Burst: 20}})
	got := g.Handle(at(time.Minute), "a", tokenRequest(1, 5), 200*time.Millisecond).GetGrants()[0].GetValidNanoseconds()
	if want := int64(200 * time.Millisecond); got != want {
		t.Errorf("got a validity of %v, want %v", time.Duration(got), time.Duration(want))
	}
}

// Guards against spending tokens after their batch has expired (the validity counts
// from when the request was sent), and against counting the batch of a duplicate or
// superseded answer.
func TestHolderSpends(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		received   time.Duration
		answers    int
		superseded bool
		spend      time.Duration
		want       int
	}{
		{name: "in time", answers: 1, spend: BatchTTL - 1, want: 3},
		{name: "after the expiry", answers: 1, spend: BatchTTL, want: 0},
		{name: "late answer", received: 400 * time.Millisecond, answers: 1, spend: BatchTTL - 1, want: 3},
		{name: "late answer, after the expiry", received: 400 * time.Millisecond, answers: 1, spend: BatchTTL, want: 0},
		{name: "duplicate answer", answers: 2, spend: BatchTTL - 1, want: 3},
		{name: "answer to an earlier request", answers: 1, superseded: true, spend: BatchTTL - 1, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := NewHolder(0, 1, LimitMap{accountName: {Rate: 10, Burst: 20}})
			_, w := h.Take(startTime, fleet.TokenDemand{ClientAccount: accountName, Deadline: at(time.Minute)})
			request := h.NextRequest(startTime)
			h.Cancel(w)
			if test.superseded {
				h.HandleFailure(startTime, request)
				h.Take(at(noAnswerDelay), fleet.TokenDemand{ClientAccount: accountName, Deadline: at(time.Minute)})
				h.NextRequest(at(noAnswerDelay))
			}
			result := &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{{ClientAccount: accountName, Batch: 7, Tokens: 3, ValidNanoseconds: int64(BatchTTL)}}}
			for range test.answers {
				h.HandleAnswer(at(test.received), request, result)
			}
			got := 0
			for range 10 {
				if tokenResult, w := h.Take(at(test.spend), fleet.TokenDemand{ClientAccount: accountName, Deadline: at(time.Minute)}); w == nil && tokenResult.Outcome == fleet.TokenGranted {
					got++
				}
			}
			if got != test.want {
				t.Errorf("got %d tokens spent, want %d", got, test.want)
			}
		})
	}
}

// Guards against requests that wait although their token is expected too late, that
// are refused although it is expected in time, or whose outcome confuses a limit
// with an unreachable granter.
func TestHolderWaits(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		answer   *peerpb.TokenResult
		deadline time.Duration
		waits    bool
		want     fleet.TokenOutcome
	}{
		{name: "expected in time", answer: &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{{ClientAccount: accountName, RetryNanoseconds: int64(time.Second)}}}, deadline: 2 * time.Second, waits: true, want: fleet.OverLimit},
		{name: "expected too late", answer: &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{{ClientAccount: accountName, RetryNanoseconds: int64(3 * time.Second)}}}, deadline: 2 * time.Second, want: fleet.OverLimit},
		{name: "no granter", answer: &peerpb.TokenResult{}, deadline: 2 * time.Second, waits: true, want: fleet.GranterUnreachable},
		{name: "granted", answer: &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{{ClientAccount: accountName, Tokens: 1, ValidNanoseconds: int64(BatchTTL)}}}, deadline: 2 * time.Second, want: fleet.TokenGranted},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := NewHolder(0, 1, LimitMap{accountName: {Rate: 10, Burst: 20}})
			_, w := h.Take(startTime, fleet.TokenDemand{ClientAccount: accountName, Deadline: at(test.deadline)})
			resolved := h.HandleAnswer(startTime, h.NextRequest(startTime), test.answer)
			if got := len(resolved) == 0; got != test.waits {
				t.Fatalf("got waiting %v, want %v", got, test.waits)
			}
			if test.waits {
				resolved = h.Expire(at(test.deadline))
			}
			if len(resolved) != 1 || resolved[0] != w || w.Result.Outcome != test.want {
				t.Errorf("got %v with outcome %v, want the waiter with %v", resolved, w.Result.Outcome, test.want)
			}
		})
	}
}

// Guards against a client account that is limited in no group or in two groups, and
// against a granter that does not apply a changed limit of a configuration.
func TestLimitsOfConfiguration(t *testing.T) {
	t.Parallel()
	accounts := func(rate float64) *fleet.ClientAccounts {
		return fleet.IndexClientAccounts(fleet.ClientAccount{Name: accountName, Rate: rate, Burst: 20}, fleet.ClientAccount{Name: "Other", Rate: 1, Burst: 1})
	}
	groupsPerAccount := map[string]int{}
	for number := range 3 {
		limits := GroupLimits(accounts(10), number, 3)
		for name, limit := range limits.All() {
			groupsPerAccount[name]++
			if got, ok := limits.Get(name); !ok || got != limit || number != fleet.GroupIndex(name, 3) {
				t.Errorf("got %v and %v for %s in group %d, want %v", got, ok, name, number, limit)
			}
		}
		if _, ok := limits.Get(accountName); ok != (number == fleet.GroupIndex(accountName, 3)) {
			t.Errorf("got a limit of %s in group %d: %v", accountName, number, ok)
		}
	}
	if len(groupsPerAccount) != 2 || groupsPerAccount[accountName] != 1 || groupsPerAccount["Other"] != 1 {
		t.Errorf("got %v, want each client account in one group", groupsPerAccount)
	}
	accountGroup := fleet.GroupIndex(accountName, 3)
	g := NewGranter(startTime, 100, GroupLimits(accounts(10), accountGroup, 3))
	g.Configure(at(time.Second), GroupLimits(accounts(5), accountGroup, 3))
	if got := grantedTokens(g.Handle(at(2*time.Second), "a", tokenRequest(1, 20), time.Hour)); got != 15 {
		t.Errorf("got %d tokens after a second at 10/s and one at 5/s, want 15", got)
	}
}
