package queue

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// itemSpec describes an item of the client account that is named after the letter. Target
// and deadline are times after epoch; a target of 0 means none.
type itemSpec struct {
	account          rune
	level            int
	serviceTime      time.Duration
	target, deadline time.Duration
}

func (s itemSpec) item(sequence int) Item {
	i := item(s.account, sequence, s.deadline)
	i.Level, i.ServiceTime = s.level, s.serviceTime
	if s.target != 0 {
		i.Target = epoch.Add(s.target)
	}

	return i
}

// TestOrderOfLevels guards against urgent requests that wait behind less urgent ones,
// against requests that can still meet their target but wait behind requests that cannot,
// and against a deadlock: a call by an upstream must not wait behind requests that hold
// their slots until such calls are answered.
func TestOrderOfLevels(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		items []itemSpec
		want  string
	}{
		"levels": {[]itemSpec{
			{'a', 3, 0, 0, time.Second}, {'b', 1, 0, 0, time.Second}, {'c', 0, 0, 0, time.Second},
		}, "cba"},
		"within target before late": {[]itemSpec{
			{'a', 1, 100 * ms, 50 * ms, time.Second}, {'b', 3, 100 * ms, 500 * ms, time.Second},
		}, "ba"},
		"short deadline and short service time": {[]itemSpec{
			{'a', 1, 300 * ms, 0, 2 * time.Second}, {'b', 0, 20 * ms, 0, 100 * ms},
		}, "ba"},
		"levels outside of the range": {[]itemSpec{
			{'a', Levels + 3, 0, 0, time.Second}, {'b', -1, 0, 0, time.Second},
		}, "ba"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(20)
			q.ObserveServiceTime(300 * ms)
			for i, spec := range tt.items {
				q.Push(spec.item(i+1), 3, 3, epoch)
			}
			if got := order(q, epoch); got != tt.want {
				t.Errorf("got order %q, want %q", got, tt.want)
			}
		})
	}
}

// TestNoLevelStarves guards against a level that never gets a slot while items of more
// urgent levels wait.
func TestNoLevelStarves(t *testing.T) {
	t.Parallel()
	q := New(100)
	for i := range 40 {
		q.Push(itemSpec{'u', 0, 0, 0, time.Second}.item(i+1), 3, 0, epoch)
	}
	for i := range 4 {
		q.Push(itemSpec{'l', 4, 0, 0, time.Second}.item(100+i), 3, 0, epoch)
	}
	got := order(q, epoch)
	if first := strings.Index(got, "l"); first != maxSkipped {
		t.Errorf("got the first item of the less urgent level at index %d in %q, want %d", first, got, maxSkipped)
	}
}

// TestExpireLateItems guards against requests that keep waiting although they will not
// be answered in time, and against dropping late ones although no other request needs
// the slots.
func TestExpireLateItems(t *testing.T) {
	t.Parallel()
	late := itemSpec{'l', 1, 100 * ms, 50 * ms, time.Second}
	inTime := itemSpec{'i', 2, 100 * ms, 500 * ms, time.Second}
	short := itemSpec{'s', 1, 100 * ms, 0, 40 * ms}
	for name, tt := range map[string]struct {
		items []itemSpec
		want  string
	}{
		"late item in a crowded queue": {[]itemSpec{late, inTime, inTime, inTime}, "l"},
		"late item otherwise":          {[]itemSpec{late, inTime, inTime}, ""},
		"no time to finish":            {[]itemSpec{short}, "s"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(20)
			for i, spec := range tt.items {
				q.levels[spec.level].add(spec.item(i + 1))
			}
			got := ""
			for _, expired := range q.Expire(epoch) {
				got += expired.ClientAccount
			}
			if got != tt.want {
				t.Errorf("got %q expired, want %q", got, tt.want)
			}
		})
	}
}

// TestPushByLevel guards against queueing a request that cannot finish by its deadline,
// and against a full queue that refuses an urgent request instead of displacing another.
func TestPushByLevel(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		arriving      itemSpec
		want          Verdict
		wantDisplaced bool
	}{
		"urgent into a full queue":      {itemSpec{'b', 0, 0, 0, time.Second}, Queued, true},
		"less urgent into a full queue": {itemSpec{'b', 5, 0, 0, time.Second}, Full, false},
		"not enough time to finish":     {itemSpec{'b', 0, 3 * time.Second, 0, time.Second}, Late, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			q := New(4)
			for i := range 4 {
				q.Push(itemSpec{'a', 2, 0, 0, time.Second}.item(i+1), 3, 0, epoch)
			}
			got := q.Push(tt.arriving.item(9), 3, 0, epoch)
			if got.Verdict != tt.want || (len(got.Displaced) > 0) != tt.wantDisplaced {
				t.Errorf("got %v with %d displaced, want %v and %v", got.Verdict, len(got.Displaced), tt.want, tt.wantDisplaced)
			}
		})
	}
}

// TestWaitByLevel guards against an estimated wait that omits more urgent items or
// counts less urgent ones. The service time is 30 ms and there are 3 slots, so each item
// ahead adds 10 ms.
func TestWaitByLevel(t *testing.T) {
	t.Parallel()
	q := New(20)
	for i, level := range []int{0, 0, 2, 4, 4} {
		q.Push(itemSpec{'a', level, 0, 0, time.Second}.item(i+1), 3, 0, epoch)
	}
	q.ObserveServiceTime(30 * ms)
	for level, want := range map[int]time.Duration{0: 30 * ms, 1: 30 * ms, 2: 40 * ms, 5: 60 * ms} {
		if got := q.EstimateWait(itemSpec{'a', level, 0, 0, time.Second}.item(9), 3, 0); got != want {
			t.Errorf("level %d: got %v, want %v", level, got, want)
		}
	}
}
