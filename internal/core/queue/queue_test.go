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
	// A fixed seed makes a failure repeatable; -rapid.seed on the command line
	// takes precedence.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fill queues one item per letter, of the account with that name. A capital
// letter has ten times the weight. Sequences count from 1.
func fill(q *Queue, letters string, deadline time.Duration) PushResult {
	var push PushResult
	for i, letter := range letters {
		push = q.Push(item(letter, i+1, deadline), 3, 0, epoch)
	}

	return push
}

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

// Guards against one account, or one of low weight, starving the others.
func TestPopOrder(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct{ letters, want string }{
		"one account":          {"aaa", "aaa"},
		"flood before a small": {"aaaab", "abaaa"},
		"three accounts":       {"aaabbc", "abcaba"},
		"heavy and light":      {"aaAAAAAAAAAAAA", "AAAAAAAAAaAAAa"},
		"two heavy":            {"AABBa", "ABABa"},
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

// Guards against a full queue that refuses a small account because of a large
// one, and against an account that displaces others beyond its share.
func TestFullQueue(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		letters   string
		arriving  rune
		want      Verdict
		displaced int
	}{
		"alone":                       {"aaaa", 'a', Full, 0},
		"small account arrives":       {"aaaa", 'b', Queued, 4},
		"over its share":              {"aaab", 'a', Full, 0},
		"under its share":             {"aaab", 'b', Queued, 3},
		"equal shares":                {"aabb", 'a', Full, 0},
		"third account":               {"aaab", 'c', Queued, 3},
		"heavy over light":            {"aaaA", 'A', Queued, 3},
		"light against heavy":         {"AAAA", 'a', Full, 0},
		"light account over by a lot": {"aaAA", 'A', Queued, 2},
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

// Guards against queueing what cannot start in time, and against refusing what
// can. The service time is 30 ms and there are 3 slots, so 10 ms per item.
func TestExpectedWait(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		letters  string
		arriving rune
		free     int
		budget   time.Duration
		want     Verdict
		wantWait time.Duration
	}{
		"empty":                    {"", 'a', 0, 10 * time.Millisecond, Queued, 10 * time.Millisecond},
		"empty, too late":          {"", 'a', 0, 10*time.Millisecond - 1, Late, 10 * time.Millisecond},
		"free slot":                {"", 'a', 1, time.Nanosecond, Queued, 0},
		"no budget":                {"", 'a', 1, 0, Late, 0},
		"behind its own":           {"aaa", 'a', 0, time.Second, Queued, 40 * time.Millisecond},
		"behind a flood of others": {"aaaaaa", 'b', 0, 20 * time.Millisecond, Queued, 20 * time.Millisecond},
		"light behind heavy":       {"AAAAAA", 'b', 0, time.Second, Queued, 70 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(20)
			fill(q, tt.letters, time.Second)
			q.ObserveServiceTime(30 * time.Millisecond)
			got := q.Push(item(tt.arriving, 99, tt.budget), 3, tt.free, epoch)
			if got.Verdict != tt.want || got.ExpectedWait != tt.wantWait {
				t.Errorf("got %d, wait %v, want %d, %v", got.Verdict, got.ExpectedWait, tt.want, tt.wantWait)
			}
		})
	}
}

// Guards against starting an expired item and against losing track of one.
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

// Guards against an account that misses its turn when another one leaves.
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

// Guards against unfairness among accounts that stay backlogged: deficit round
// robin keeps what each account got for its weight within one item plus one
// turn of the others (Shreedhar and Varghese 1995). Also checks that no item
// is lost or returned twice under any sequence of calls.
func TestFairnessAndConservation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 50), 2, 5).Draw(t, "weights")
		capacity := 20 * len(weights)
		q := New(capacity)
		sequence, inside := 0, map[fleet.AttemptID]bool{}
		leave := func(items ...Item) {
			for _, it := range items {
				if !inside[it.ID] {
					t.Fatalf("%v left the queue without being in it", it.ID)
				}
				delete(inside, it.ID)
			}
		}
		push := func(account int) {
			sequence++
			it := item('a', sequence, time.Duration(rapid.IntRange(1, 3).Draw(t, "deadline"))*time.Hour)
			it.ClientAccount, it.Weight = fmt.Sprint(account), weights[account]
			got := q.Push(it, 3, 0, epoch)
			leave(got.Displaced...)
			if got.Verdict == Queued {
				inside[it.ID] = true
			}
			if q.Len() > capacity || q.Len() != len(inside) {
				t.Fatalf("got length %d, want %d, at most %d", q.Len(), len(inside), capacity)
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "noise") {
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				next, found, expired := q.Pop(epoch.Add(time.Hour))
				leave(expired...)
				if found {
					leave(next)
				}
			case 1:
				id := item('a', rapid.IntRange(0, sequence).Draw(t, "sequence"), 0).ID
				if q.Remove(id) {
					leave(Item{ID: id})
				}
			default:
				push(rapid.IntRange(0, len(weights)-1).Draw(t, "account"))
			}
		}
		leave(q.Drain()...)
		checkFairness(t, q, weights, push, leave)
	})
}

func checkFairness(t *rapid.T, q *Queue, weights []int, push func(int), leave func(...Item)) {
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
		leave(next)
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

// Guards against slots that are lost to requests which time out while they
// run, and against refusing these although no other request waits. The service
// time is 30 ms.
func TestLittleTimeLeftComesLast(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		budgets []time.Duration
		want    string
	}{
		"time left":            {[]time.Duration{70 * time.Millisecond, time.Second, time.Second}, "abc"},
		"little time left":     {[]time.Duration{40 * time.Millisecond, time.Second, time.Second}, "bca"},
		"little left for each": {[]time.Duration{40 * time.Millisecond, 40 * time.Millisecond}, "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(20)
			for i, budget := range tt.budgets {
				q.Push(item(rune('a'+i), i+1, budget), 3, 0, epoch)
			}
			q.ObserveServiceTime(30 * time.Millisecond)
			if got := order(q, epoch); got != tt.want {
				t.Errorf("got order %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a light account that sends now and then waiting many rounds
// for each request, and against it saving up more than one request's turn.
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
