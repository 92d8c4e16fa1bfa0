package queue

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	// A fixed seed makes failures reproducible. A -rapid.seed on the command line takes
	// precedence.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fill queues one item per letter, for the account named after the letter, with
// sequence numbers from 1. It returns the result of the last push.
func fill(q *Queue, letters string, deadline time.Duration) PushResult {
	var push PushResult
	for i, letter := range letters {
		push = q.Push(item(letter, i+1, deadline), 3, 0, epoch)
	}

	return push
}

// item returns an item of the account named after the letter, with a deadline after
// epoch. An account with a capital letter has weight 10, others have weight 1.
func item(letter rune, sequence int, deadline time.Duration) Item {
	weight := 1
	if strings.ToUpper(string(letter)) == string(letter) {
		weight = 10
	}

	return Item{
		ID:            fleet.AttemptID{Ingress: "i", Sequence: uint64(sequence)},
		ClientAccount: string(letter), Weight: weight, Deadline: epoch.Add(deadline),
	}
}

// order empties the queue and returns the account names in the order of Pop.
func order(q *Queue, now time.Time) string {
	var got strings.Builder
	for {
		next, found, _ := q.Pop(now)
		if !found {
			return got.String()
		}
		got.WriteString(next.ClientAccount)
	}
}

// TestPopOrder guards against an account, even one of low weight, that is starved by
// others.
func TestPopOrder(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct{ letters, want string }{
		"one account":           {"aaa", "aaa"},
		"many items before one": {"aaaab", "abaaa"},
		"three accounts":        {"aaabbc", "abcaba"},
		"heavy and light":       {"aaAAAAAAAAAAAA", "AAAAAAAAAaAAAa"},
		"two heavy":             {"AABBa", "ABABa"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(20)
			fill(q, tt.letters, time.Second)
			if got := order(q, epoch); got != tt.want {
				t.Errorf("got order %q, want %q", got, tt.want)
			}
		})
	}
}

// TestFullQueue guards against a full queue that refuses an account with few items
// because another one has many, and against an account that displaces items of others
// although it has more than its share.
func TestFullQueue(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		letters   string
		arriving  rune
		want      Verdict
		displaced int
	}{
		"only account":                     {"aaaa", 'a', Full, 0},
		"account without items":            {"aaaa", 'b', Queued, 4},
		"over its share":                   {"aaab", 'a', Full, 0},
		"under its share":                  {"aaab", 'b', Queued, 3},
		"equal shares":                     {"aabb", 'a', Full, 0},
		"third account":                    {"aaab", 'c', Queued, 3},
		"heavy displaces light":            {"aaaA", 'A', Queued, 3},
		"light against heavy":              {"AAAA", 'a', Full, 0},
		"light account far over its share": {"aaAA", 'A', Queued, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(4)
			fill(q, tt.letters, time.Second)
			got := q.Push(item(tt.arriving, 9, time.Second), 3, 0, epoch)
			displaced := 0
			for _, d := range got.Displaced {
				displaced = int(d.ID.Sequence)
			}
			if got.Verdict != tt.want || displaced != tt.displaced || q.Len() != 4 {
				t.Errorf("got %d, displaced %d, length %d, want %d, %d, 4",
					got.Verdict, displaced, q.Len(), tt.want, tt.displaced)
			}
		})
	}
}

// TestExpectedWait guards against queueing a request that cannot start in time, and
// against refusing one that can. The service time is 30 ms and there are 3 slots, so each
// item ahead adds 10 ms.
func TestExpectedWait(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		letters       string
		arriving      rune
		free          int
		untilDeadline time.Duration
		want          Verdict
		wantWait      time.Duration
	}{
		"empty":                        {"", 'a', 0, 10 * time.Millisecond, Queued, 10 * time.Millisecond},
		"empty, too late":              {"", 'a', 0, 10*time.Millisecond - 1, Late, 10 * time.Millisecond},
		"free slot":                    {"", 'a', 1, time.Nanosecond, Queued, 0},
		"no time left":                 {"", 'a', 1, 0, Late, 0},
		"behind items of its account":  {"aaa", 'a', 0, time.Second, Queued, 40 * time.Millisecond},
		"behind many items of another": {"aaaaaa", 'b', 0, 20 * time.Millisecond, Queued, 20 * time.Millisecond},
		"light behind heavy":           {"AAAAAA", 'b', 0, time.Second, Queued, 70 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(20)
			fill(q, tt.letters, time.Second)
			q.ObserveServiceTime(30 * time.Millisecond)
			got := q.Push(item(tt.arriving, 99, tt.untilDeadline), 3, tt.free, epoch)
			if got.Verdict != tt.want || got.ExpectedWait != tt.wantWait {
				t.Errorf("got %d, wait %v, want %d, %v", got.Verdict, got.ExpectedWait, tt.want, tt.wantWait)
			}
		})
	}
}

// TestRemoval guards against starting an expired item, and against an item that is
// removed twice or not at all.
func TestRemoval(t *testing.T) {
	t.Parallel()
	q := New(20)
	fill(q, "ab", time.Second)
	late := item('c', 3, 2*time.Second)
	q.Push(late, 3, 0, epoch)
	next, found, expired := q.Pop(epoch.Add(time.Second))
	if !found || next.ID != late.ID || len(expired) != 2 {
		t.Errorf("got %v, %v, %d expired, want the third item and 2 expired", next, found, len(expired))
	}
	fill(q, "abc", time.Second)
	if !q.Remove(item('b', 2, 0).ID) || q.Remove(item('b', 2, 0).ID) {
		t.Error("got a failed first or a successful second removal")
	}
	if got := q.Drain(); len(got) != 2 || q.Len() != 0 {
		t.Errorf("got %d drained, %d left, want 2, 0", len(got), q.Len())
	}
}

// TestRemovalKeepsTurns guards against an account that loses its turn when another one
// leaves the ring.
func TestRemovalKeepsTurns(t *testing.T) {
	t.Parallel()
	q := New(20)
	fill(q, "aabbcc", time.Second)
	q.Pop(epoch)
	q.Pop(epoch)
	q.Remove(item('a', 2, 0).ID)
	if got, want := order(q, epoch), "cbc"; got != want {
		t.Errorf("got order %q, want %q", got, want)
	}
}

// TestFairnessAndConservation guards against unfairness among accounts that always have
// items waiting: deficit round robin keeps the service of each account within one item
// plus one turn of the others of its share by weight (Shreedhar and Varghese 1995). It
// also checks that no item is lost or returned twice under any sequence of calls.
func TestFairnessAndConservation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 50), 2, 5).Draw(t, "weights")
		capacity := 20 * len(weights)
		q := New(capacity)
		sequence, waiting := 0, map[fleet.AttemptID]bool{}
		checkRemoved := func(items ...Item) {
			for _, it := range items {
				if !waiting[it.ID] {
					t.Fatalf("%v was returned but was not in the queue", it.ID)
				}
				delete(waiting, it.ID)
			}
		}
		push := func(account int) {
			sequence++
			it := item('a', sequence, time.Duration(rapid.IntRange(1, 3).Draw(t, "deadline"))*time.Hour)
			it.ClientAccount, it.Weight = fmt.Sprint(account), weights[account]
			got := q.Push(it, 3, 0, epoch)
			checkRemoved(got.Displaced...)
			if got.Verdict == Queued {
				waiting[it.ID] = true
			}
			if q.Len() > capacity || q.Len() != len(waiting) {
				t.Fatalf("got length %d, want %d, at most %d", q.Len(), len(waiting), capacity)
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "noise") {
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				next, found, expired := q.Pop(epoch.Add(time.Hour))
				checkRemoved(expired...)
				if found {
					checkRemoved(next)
				}
			case 1:
				id := item('a', rapid.IntRange(0, sequence).Draw(t, "sequence"), 0).ID
				if q.Remove(id) {
					checkRemoved(Item{ID: id})
				}
			default:
				push(rapid.IntRange(0, len(weights)-1).Draw(t, "account"))
			}
		}
		checkRemoved(q.Drain()...)
		checkFairness(t, q, weights, push, checkRemoved)
	})
}

// checkFairness keeps every account backlogged, pops 100 items and compares the number
// of items of each account with its share by weight.
func checkFairness(t *rapid.T, q *Queue, weights []int, push func(int), checkRemoved func(...Item)) {
	served, heaviest, total := make([]float64, len(weights)), slices.Max(weights), 0
	for account, weight := range weights {
		total += weight
		for range 3 {
			push(account)
		}
	}
	for range 100 {
		next, found, _ := q.Pop(epoch)
		if !found {
			t.Fatal("the queue is empty while every account is backlogged")
		}
		checkRemoved(next)
		var account int
		if _, err := fmt.Sscan(next.ClientAccount, &account); err != nil {
			t.Fatal(err)
		}
		served[account]++
		push(account)
	}
	for i, weight := range weights {
		want := 100 * float64(weight) / float64(total)
		bound := 2 + float64(len(weights))*float64(weight)/float64(heaviest)
		if got := served[i]; got < want-bound || got > want+bound {
			t.Fatalf("account %d of weights %v got %v of 100, want %.1f within %.1f", i, weights, got, want, bound)
		}
	}
}

// TestNearDeadlineComesLast guards against slots that are wasted on requests that time
// out while they run, and against refusing such requests although no other one waits. The
// service time is 30 ms.
func TestNearDeadlineComesLast(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		untilDeadline []time.Duration
		want          string
	}{
		"all deadlines far":  {[]time.Duration{70 * time.Millisecond, time.Second, time.Second}, "abc"},
		"one deadline near":  {[]time.Duration{40 * time.Millisecond, time.Second, time.Second}, "bca"},
		"all deadlines near": {[]time.Duration{40 * time.Millisecond, 40 * time.Millisecond}, "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(20)
			for i, remaining := range tt.untilDeadline {
				q.Push(item(rune('a'+i), i+1, remaining), 3, 0, epoch)
			}
			q.ObserveServiceTime(30 * time.Millisecond)
			if got := order(q, epoch); got != tt.want {
				t.Errorf("got order %q, want %q", got, tt.want)
			}
		})
	}
}

// TestIdleAccountKeepsItsTurn guards against an account of low weight that sends
// occasionally and waits many rounds for each request, and against one that saves credit
// for more than one request.
func TestIdleAccountKeepsItsTurn(t *testing.T) {
	t.Parallel()
	q := New(60)
	fill(q, strings.Repeat("A", 40), time.Second)
	for range 25 {
		q.Pop(epoch)
	}
	fill(q, "bb", time.Second)
	got := order(q, epoch)
	first, last := strings.Index(got, "b"), strings.LastIndex(got, "b")
	if first > 1 || last-first < 10 {
		t.Errorf("got order %q, want the first b within a round and the second 10 rounds later", got)
	}
}
