package queue

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// waits is an item of the account with the name, with a level and times from the
// epoch.
type waits struct {
	account        rune
	level          int
	need           time.Duration
	target, budget time.Duration
}

func (w waits) item(sequence int) Item {
	i := item(w.account, sequence, w.budget)
	i.Level, i.ServiceTime = w.level, w.need
	if w.target != 0 {
		i.Target = epoch.Add(w.target)
	}

	return i
}

// Guards against calls of upstreams that wait behind requests which hold slots
// until such calls are answered, against urgent requests behind others, and
// against requests that can still meet their target behind those that cannot.
func TestOrderOfLevels(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		items []waits
		want  string
	}{
		"levels": {[]waits{
			{'a', 3, 0, 0, time.Second}, {'b', 1, 0, 0, time.Second}, {'c', 0, 0, 0, time.Second},
		}, "cba"},
		"in time before late": {[]waits{
			{'a', 1, 100 * ms, 50 * ms, time.Second}, {'b', 3, 100 * ms, 500 * ms, time.Second},
		}, "ba"},
		"little time for one that needs little": {[]waits{
			{'a', 1, 300 * ms, 0, 2 * time.Second}, {'b', 0, 20 * ms, 0, 100 * ms},
		}, "ba"},
		"levels outside of the range": {[]waits{
			{'a', Levels + 3, 0, 0, time.Second}, {'b', -1, 0, 0, time.Second},
		}, "ba"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(20)
			q.ObserveServiceTime(300 * ms)
			for i, w := range tt.items {
				q.Push(w.item(i+1), 3, 3, epoch)
			}
			if got := order(q, epoch); got != tt.want {
				t.Errorf("got order %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a level that never has its turn while more urgent ones wait.
func TestNoLevelStarves(t *testing.T) {
	t.Parallel()
	q := New(100)
	for i := range 40 {
		q.Push(waits{'u', 0, 0, 0, time.Second}.item(i+1), 3, 0, epoch)
	}
	for i := range 4 {
		q.Push(waits{'l', 4, 0, 0, time.Second}.item(100+i), 3, 0, epoch)
	}
	got := order(q, epoch)
	if first := strings.Index(got, "l"); first != maxPassed {
		t.Errorf("got the first item of the less urgent level at place %d in %q, want %d", first, got, maxPassed)
	}
}

// Guards against requests that are held although they will not be answered, and
// against giving up those that no other request keeps from running.
func TestHopelessItemsLeave(t *testing.T) {
	t.Parallel()
	late := waits{'l', 1, 100 * ms, 50 * ms, time.Second}
	inTime := waits{'i', 2, 100 * ms, 500 * ms, time.Second}
	short := waits{'s', 1, 100 * ms, 0, 40 * ms}
	for name, tt := range map[string]struct {
		items []waits
		want  string
	}{
		"late ones leave a crowded queue": {[]waits{late, inTime, inTime, inTime}, "l"},
		"late ones stay otherwise":        {[]waits{late, inTime, inTime}, ""},
		"no time to finish":               {[]waits{short}, "s"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(20)
			for i, w := range tt.items {
				q.levels[w.level].add(w.item(i + 1))
			}
			got := ""
			for _, i := range q.Expire(epoch) {
				got += i.ClientAccount
			}
			if got != tt.want {
				t.Errorf("got %q expired, want %q", got, tt.want)
			}
		})
	}
}

// Guards against taking in what cannot finish by its deadline, and against a full
// queue that refuses an urgent request instead of displacing another.
func TestPushByLevel(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		arriving waits
		want     Verdict
		displace bool
	}{
		"urgent into a full queue":      {waits{'b', 0, 0, 0, time.Second}, Queued, true},
		"less urgent into a full queue": {waits{'b', 5, 0, 0, time.Second}, Full, false},
		"not enough time to run":        {waits{'b', 0, 3 * time.Second, 0, time.Second}, Late, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(4)
			for i := range 4 {
				q.Push(waits{'a', 2, 0, 0, time.Second}.item(i+1), 3, 0, epoch)
			}
			got := q.Push(tt.arriving.item(9), 3, 0, epoch)
			if got.Verdict != tt.want || (len(got.Displaced) > 0) != tt.displace {
				t.Errorf("got %v with %d displaced, want %v and %v", got.Verdict, len(got.Displaced), tt.want, tt.displace)
			}
		})
	}
}

// Guards against a wait that leaves out more urgent items, or counts less urgent
// ones. The service time is 30 ms and there are 3 slots, so 10 ms per item.
func TestWaitByLevel(t *testing.T) {
	t.Parallel()
	q := New(20)
	for i, level := range []int{0, 0, 2, 4, 4} {
		q.Push(waits{'a', level, 0, 0, time.Second}.item(i+1), 3, 0, epoch)
	}
	q.ObserveServiceTime(30 * ms)
	for level, want := range map[int]time.Duration{0: 30 * ms, 1: 30 * ms, 2: 40 * ms, 5: 60 * ms} {
		if got := q.EstimateWait(waits{'a', level, 0, 0, time.Second}.item(9), 3, 0); got != want {
			t.Errorf("level %d: got %v, want %v", level, got, want)
		}
	}
}
