package tokens

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

var begin = time.Unix(1_000_000, 0)

const club = "ClubMiraflores"

func at(d time.Duration) time.Time { return begin.Add(d) }

func want(sequence uint64, tokens uint32, spent ...*peerpb.BatchSpent) *peerpb.TokenRequest {
	return &peerpb.TokenRequest{Incarnation: 1, Sequence: sequence, Demands: []*peerpb.TokenDemand{{ClientAccount: club, Tokens: tokens, Waiting: tokens, Spent: spent}}}
}

func granted(result *peerpb.TokenResult) uint32 {
	if len(result.GetGrants()) == 0 {
		return 0
	}

	return result.GetGrants()[0].GetTokens()
}

// Guards against grants beyond available + outstanding ≤ burst, by what was
// asked, reported, repeated, reordered or reconfigured before.
func TestGranter(t *testing.T) {
	t.Parallel()
	limit := Limit{Rate: 10, Burst: 20}
	const long = time.Hour
	for _, test := range []struct {
		name  string
		limit Limit
		steps func(g *Granter) uint32
		want  uint32
	}{
		{name: "a new granter is empty", steps: func(g *Granter) uint32 {
			return granted(g.Handle(begin, "a", want(1, 5), long))
		}, want: 0},
		{name: "refill by the rate", steps: func(g *Granter) uint32 {
			return granted(g.Handle(at(time.Second), "a", want(1, 50), long))
		}, want: 10},
		{name: "refill up to the burst", steps: func(g *Granter) uint32 {
			return granted(g.Handle(at(time.Minute), "a", want(1, 50), long))
		}, want: 20},
		{name: "rate below one with a burst of one", limit: Limit{Rate: 0.5, Burst: 1}, steps: func(g *Granter) uint32 {
			return granted(g.Handle(at(1900*time.Millisecond), "a", want(1, 1), long)) + granted(g.Handle(at(2*time.Second), "a", want(2, 1), long))
		}, want: 1},
		{name: "no refill while all is outstanding", steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", want(1, 20), long)

			return granted(g.Handle(at(time.Minute+AddClockMargin(BatchTTL)-1), "b", want(1, 20), long))
		}, want: 0},
		{name: "outstanding until the slowest clock's expiry by the fastest clock", limit: Limit{Rate: 1000, Burst: 20}, steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", want(1, 20), long)

			return granted(g.Handle(at(time.Minute+BatchTTL*105/95), "b", want(1, 20), long))
		}, want: 0},
		{name: "refill after the outstanding expired", steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", want(1, 20), long)

			return granted(g.Handle(at(time.Minute+AddClockMargin(BatchTTL)+time.Second), "b", want(1, 20), long))
		}, want: 10},
		{name: "a repeated request gets the same batch", steps: func(g *Granter) uint32 {
			first := g.Handle(at(time.Minute), "a", want(1, 5), long).GetGrants()[0].GetBatch()
			if got := g.Handle(at(time.Minute), "a", want(1, 5), long).GetGrants()[0].GetBatch(); got != first {
				t.Errorf("got batch %d for a repeated request, want %d", got, first)
			}

			return granted(g.Handle(at(time.Minute), "b", want(1, 20), long))
		}, want: 15},
		{name: "an overtaken request gets nothing", steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", want(2, 5), long)

			return granted(g.Handle(at(time.Minute), "a", want(1, 5), long))
		}, want: 0},
		{name: "refill forgone since a token was spent is made up", limit: Limit{Rate: 10, Burst: 1}, steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", want(1, 1), long).GetGrants()[0].GetBatch()
			spent := &peerpb.BatchSpent{Batch: id, Tokens: 1, AgeNanoseconds: int64(120 * time.Millisecond)}

			return granted(g.Handle(at(time.Minute+120*time.Millisecond), "a", want(2, 1, spent), long))
		}, want: 1},
		{name: "no refill is made up for before a token was spent", limit: Limit{Rate: 10, Burst: 1}, steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", want(1, 1), long).GetGrants()[0].GetBatch()

			return granted(g.Handle(at(time.Minute+120*time.Millisecond), "a", want(2, 1, &peerpb.BatchSpent{Batch: id, Tokens: 1}), long))
		}, want: 0},
		{name: "each moment is made up for once", limit: Limit{Rate: 10, Burst: 2}, steps: func(g *Granter) uint32 {
			age := int64(120 * time.Millisecond)
			first := g.Handle(at(time.Minute), "a", want(1, 1), long).GetGrants()[0].GetBatch()
			second := g.Handle(at(time.Minute), "a", want(2, 1), long).GetGrants()[0].GetBatch()

			return granted(g.Handle(at(time.Minute+120*time.Millisecond), "a", want(3, 2,
				&peerpb.BatchSpent{Batch: first, Tokens: 1, AgeNanoseconds: age}, &peerpb.BatchSpent{Batch: second, Tokens: 1, AgeNanoseconds: age}), long))
		}, want: 1},
		{name: "repeated reports count once", limit: Limit{Rate: 100, Burst: 20}, steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", want(1, 20), long).GetGrants()[0].GetBatch()
			for i := range uint64(4) {
				g.Handle(at(time.Minute), "a", want(2+i, 0, &peerpb.BatchSpent{Batch: id, Tokens: 5}), long)
			}

			return granted(g.Handle(at(time.Minute+AddClockMargin(BatchTTL)-10*time.Millisecond), "b", want(1, 20), long))
		}, want: 5},
		{name: "what is returned can be granted again", steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", want(1, 20), long).GetGrants()[0].GetBatch()
			for i := range uint64(2) {
				g.Handle(at(time.Minute), "a", want(2+i, 0, &peerpb.BatchSpent{Batch: id, Tokens: 8, Closed: true}), long)
			}

			return granted(g.Handle(at(time.Minute), "b", want(1, 20), long))
		}, want: 12},
		{name: "reports of others do not count", steps: func(g *Granter) uint32 {
			id := g.Handle(at(time.Minute), "a", want(1, 20), long).GetGrants()[0].GetBatch()

			return granted(g.Handle(at(time.Minute), "b", want(1, 20, &peerpb.BatchSpent{Batch: id, Closed: true}), long))
		}, want: 0},
		{name: "a lower limit applies to what is available", steps: func(g *Granter) uint32 {
			g.Handle(at(time.Minute), "a", want(1, 4), long)
			g.Configure(at(time.Minute), LimitMap{club: {Rate: 1, Burst: 6}})

			return granted(g.Handle(at(time.Minute), "b", want(1, 20), long))
		}, want: 2},
		{name: "an account that comes back is empty", steps: func(g *Granter) uint32 {
			g.Configure(at(time.Minute), LimitMap{})
			g.Configure(at(2*time.Minute), LimitMap{club: limit})

			return granted(g.Handle(at(2*time.Minute+time.Second), "b", want(1, 20), long))
		}, want: 10},
		{name: "nothing is granted at the end of the lease", steps: func(g *Granter) uint32 {
			return granted(g.Handle(at(time.Minute), "a", want(1, 5), minValid-1))
		}, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := limit
			if test.limit.Burst > 0 {
				l = test.limit
			}
			if got := test.steps(NewGranter(begin, 100, LimitMap{club: l})); got != test.want {
				t.Errorf("got %d tokens, want %d", got, test.want)
			}
		})
	}
}

// Guards against grants that outlive the granter's lease.
func TestGrantIsCutToTheLease(t *testing.T) {
	t.Parallel()
	g := NewGranter(begin, 100, LimitMap{club: {Rate: 10, Burst: 20}})
	got := g.Handle(at(time.Minute), "a", want(1, 5), 200*time.Millisecond).GetGrants()[0].GetValidNanoseconds()
	if want := int64(200 * time.Millisecond); got != want {
		t.Errorf("got a validity of %v, want %v", time.Duration(got), time.Duration(want))
	}
}

// Guards against spending after the expiry, which counts from when the request
// was sent, and against taking an answer that is late or came twice.
func TestHolderSpends(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		received time.Duration
		answers  int
		other    bool
		spend    time.Duration
		want     int
	}{
		{name: "in time", answers: 1, spend: BatchTTL - 1, want: 3},
		{name: "after the expiry", answers: 1, spend: BatchTTL, want: 0},
		{name: "late answer", received: 400 * time.Millisecond, answers: 1, spend: BatchTTL - 1, want: 3},
		{name: "late answer, after the expiry", received: 400 * time.Millisecond, answers: 1, spend: BatchTTL, want: 0},
		{name: "answer that came twice", answers: 2, spend: BatchTTL - 1, want: 3},
		{name: "answer to an earlier request", answers: 1, other: true, spend: BatchTTL - 1, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := NewHolder(0, 1, LimitMap{club: {Rate: 10, Burst: 20}})
			_, w := h.Take(begin, fleet.TokenDemand{ClientAccount: club, Deadline: at(time.Minute)})
			request := h.NextRequest(begin)
			h.Cancel(w)
			if test.other {
				h.HandleFailure(begin, request)
				h.Take(at(awayRetry), fleet.TokenDemand{ClientAccount: club, Deadline: at(time.Minute)})
				h.NextRequest(at(awayRetry))
			}
			result := &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{{ClientAccount: club, Batch: 7, Tokens: 3, ValidNanoseconds: int64(BatchTTL)}}}
			for range test.answers {
				h.HandleAnswer(at(test.received), request, result)
			}
			got := 0
			for range 10 {
				if take, w := h.Take(at(test.spend), fleet.TokenDemand{ClientAccount: club, Deadline: at(time.Minute)}); w == nil && take.Outcome == fleet.TokenGranted {
					got++
				}
			}
			if got != test.want {
				t.Errorf("got %d tokens spent, want %d", got, test.want)
			}
		})
	}
}

// Guards against requests that wait in vain, that are refused although their
// token is expected in time, and against mixing up the reasons.
func TestHolderWaits(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		answer   *peerpb.TokenResult
		deadline time.Duration
		waits    bool
		want     fleet.TokenOutcome
	}{
		{name: "expected in time", answer: &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{{ClientAccount: club, RetryNanoseconds: int64(time.Second)}}}, deadline: 2 * time.Second, waits: true, want: fleet.OverLimit},
		{name: "expected too late", answer: &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{{ClientAccount: club, RetryNanoseconds: int64(3 * time.Second)}}}, deadline: 2 * time.Second, want: fleet.OverLimit},
		{name: "no granter", answer: &peerpb.TokenResult{}, deadline: 2 * time.Second, waits: true, want: fleet.GranterUnreachable},
		{name: "granted", answer: &peerpb.TokenResult{Granter: true, Grants: []*peerpb.TokenGrant{{ClientAccount: club, Tokens: 1, ValidNanoseconds: int64(BatchTTL)}}}, deadline: 2 * time.Second, want: fleet.TokenGranted},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := NewHolder(0, 1, LimitMap{club: {Rate: 10, Burst: 20}})
			_, w := h.Take(begin, fleet.TokenDemand{ClientAccount: club, Deadline: at(test.deadline)})
			resolved := h.HandleAnswer(begin, h.NextRequest(begin), test.answer)
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

// Guards against client accounts that no group or two groups limit, and against
// a granter that misses a change of a configuration's limits.
func TestLimitsOfConfiguration(t *testing.T) {
	t.Parallel()
	accounts := func(rate float64) *fleet.ClientAccounts {
		return fleet.IndexClientAccounts(fleet.ClientAccount{Name: club, Rate: rate, Burst: 20}, fleet.ClientAccount{Name: "Other", Rate: 1, Burst: 1})
	}
	all := map[string]int{}
	for number := range 3 {
		limits := GroupLimits(accounts(10), number, 3)
		for name, limit := range limits.All() {
			all[name]++
			if got, ok := limits.Get(name); !ok || got != limit || number != fleet.GroupIndex(name, 3) {
				t.Errorf("got %v and %v for %s in group %d, want %v", got, ok, name, number, limit)
			}
		}
		if _, ok := limits.Get(club); ok != (number == fleet.GroupIndex(club, 3)) {
			t.Errorf("got a limit of %s in group %d: %v", club, number, ok)
		}
	}
	if len(all) != 2 || all[club] != 1 || all["Other"] != 1 {
		t.Errorf("got %v, want each client account in one group", all)
	}
	own := fleet.GroupIndex(club, 3)
	g := NewGranter(begin, 100, GroupLimits(accounts(10), own, 3))
	g.Configure(at(time.Second), GroupLimits(accounts(5), own, 3))
	if got := granted(g.Handle(at(2*time.Second), "a", want(1, 20), time.Hour)); got != 15 {
		t.Errorf("got %d tokens after a second at 10/s and one at 5/s, want 15", got)
	}
}
