// Package queue holds the bounded queue in front of an upstream's slots.
package queue

import (
	"cmp"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Levels is the number of levels of urgency.
const Levels = 17

// Item is an attempt that waits for a slot.
type Item struct {
	ID            fleet.AttemptID
	ClientAccount string
	// Weight is the client account's share; values below 1 count as 1.
	Weight int
	// Level is the urgency, 0 to Levels-1; 0 goes first.
	Level int
	// ServiceTime is the time that the request usually takes once it has started, or 0 if
	// that is not known.
	ServiceTime time.Duration
	// Target is until when an answer is worth most, or zero.
	Target time.Time
	// Deadline is when the attempt's budget ends.
	Deadline time.Time
}

// Verdict is the decision about an item that arrived.
type Verdict int

// Verdicts about an item.
const (
	// Queued means that the item waits.
	Queued Verdict = iota
	// Late means that it would probably not finish by its deadline.
	Late
	// Full means that the queue is full and that its client account holds the
	// largest part of it for its weight.
	Full
)

// PushResult is the answer to Queue.PushResult.
type PushResult struct {
	Verdict Verdict
	// ExpectedWait is the estimate that the verdict is based on.
	ExpectedWait time.Duration
	// Displaced lists the item that made room, if any. It must not run.
	Displaced []Item
}

const (
	// serviceGain is the weight of the newest service time in the average, as in
	// TCP's round-trip estimator (RFC 6298): about 8 requests of memory.
	serviceGain = 0.125
	// finishMargin is the time an item should have left when it starts, in times that
	// it usually takes. Requests that time out while they run waste their slot.
	finishMargin = 2
	// shortRun is the part of the usual time that a short request takes. An item
	// with less time left has next to no chance to finish.
	shortRun = 0.5
	// crowd is how many items that can meet their target keep those that cannot from
	// waiting on: as many as the usual upstream has slots.
	crowd = 3
	// maxPassed is how many items of more urgent levels are served before one of a
	// level that waits, so that it never starves.
	maxPassed = 8
)

// Queue orders the waiting attempts of one upstream. Those that can be answered
// within their target go before the others, then the more urgent levels before the
// less urgent ones; within a level client accounts get shares by their weight. It
// is not safe for concurrent use.
type Queue struct {
	capacity int
	levels   [Levels]fair
	service  time.Duration
}

// New returns an empty queue that holds up to capacity items.
func New(capacity int) *Queue {
	return &Queue{capacity: max(capacity, 1)}
}

// Len returns the number of items that wait.
func (q *Queue) Len() int {
	length := 0
	for i := range q.levels {
		length += q.levels[i].length
	}

	return length
}

// ObserveServiceTime adds the service time of one request to the average.
func (q *Queue) ObserveServiceTime(service time.Duration) {
	if q.service == 0 {
		q.service = service

		return
	}
	q.service += time.Duration(serviceGain * float64(service-q.service))
}

// EstimateWait estimates how long an item that arrives now would wait for a slot.
func (q *Queue) EstimateWait(item Item, slots, free int) time.Duration {
	return q.expectedWait(bounded(item), slots, free)
}

// bounded returns the item with its fields within their ranges.
func bounded(item Item) Item {
	item.Weight = max(item.Weight, 1)
	item.Level = min(max(item.Level, 0), Levels-1)

	return item
}

// Push adds an item. Slots is the number of slots of the upstream and free the
// number that is idle. When the queue is full, the newest item of the least urgent
// account with the most items for its weight is displaced; if that is the arriving
// item's own account, the arriving item is refused.
func (q *Queue) Push(item Item, slots, free int, now time.Time) PushResult {
	item = bounded(item)
	push := PushResult{ExpectedWait: q.expectedWait(item, slots, free)}
	if !now.Before(item.Deadline) || item.hopeless(now.Add(push.ExpectedWait)) {
		push.Verdict = Late

		return push
	}
	if q.Len() >= q.capacity {
		displaced, ok := q.displace(item)
		if !ok {
			push.Verdict = Full

			return push
		}
		push.Displaced = []Item{displaced}
	}
	q.levels[item.Level].add(item)

	return push
}

// hopeless reports whether an item that starts at a time has next to no chance to
// finish by its deadline.
func (i *Item) hopeless(start time.Time) bool {
	return start.Add(time.Duration(shortRun * float64(i.ServiceTime))).After(i.Deadline)
}

// displace removes an item that makes room for an arriving one, if there is any
// that matters less.
func (q *Queue) displace(item Item) (Item, bool) {
	last := Levels - 1
	for last > item.Level && q.levels[last].length == 0 {
		last--
	}
	level := &q.levels[last]
	if level.length == 0 {
		return Item{}, false // only more urgent items wait
	}
	fullest := level.fullest()
	if last == item.Level && level.find(item.ClientAccount).over(int64(item.Weight), 1) >= fullest.over(fullest.weight, 0) {
		return Item{}, false
	}
	at := len(fullest.items) - 1
	displaced := fullest.items[at]
	level.removeAt(fullest, at)

	return displaced, true
}

// Pop removes the next item to start. Items with less time left than twice what they
// usually take, or that would miss their target, come last. Items that have next to no
// chance to finish are removed on the way and returned; they must not run.
func (q *Queue) Pop(now time.Time) (next Item, found bool, expired []Item) {
	expired = q.Expire(now)
	inTime := func(i Item) bool {
		return i.Deadline.After(now.Add(finishMargin*cmp.Or(i.ServiceTime, q.service))) && !i.misses(now)
	}
	for _, match := range []func(Item) bool{inTime, func(Item) bool { return true }} {
		if level := q.next(match); level != nil {
			return level.pop(match), true, expired
		}
	}

	return Item{}, false, expired
}

// next returns the level whose turn it is among those with an item that matches,
// or nil.
func (q *Queue) next(match func(Item) bool) *fair {
	var chosen *fair
	for i := range q.levels {
		level := &q.levels[i]
		switch {
		case level.length == 0 || !level.has(match):
			continue
		case chosen == nil:
			chosen = level
		case level.passed >= maxPassed:
			level.passed = 0

			return level
		default:
			level.passed++
		}
	}

	return chosen
}

// misses reports whether an item that starts now would probably miss its target.
func (i *Item) misses(now time.Time) bool {
	return !i.Target.IsZero() && now.Add(i.ServiceTime).After(i.Target)
}

// Expire removes and returns the items that have next to no chance to finish by
// their deadline, or that would miss their target while enough others wait that
// would not.
func (q *Queue) Expire(now time.Time) []Item {
	crowded := q.count(func(item Item) bool { return !item.misses(now) }) >= crowd

	return q.removeIf(func(item Item) bool {
		return !now.Before(item.Deadline) || item.hopeless(now) || crowded && item.misses(now)
	})
}

func (q *Queue) count(match func(Item) bool) int {
	count := 0
	for i := range q.levels {
		for _, entry := range q.levels[i].ring {
			for _, item := range entry.items {
				if match(item) {
					count++
				}
			}
		}
	}

	return count
}

// Remove removes an item and reports whether it was waiting.
func (q *Queue) Remove(id fleet.AttemptID) bool {
	return len(q.removeIf(func(item Item) bool { return item.ID == id })) > 0
}

// Drain removes and returns all items. They must not run.
func (q *Queue) Drain() []Item {
	return q.removeIf(func(Item) bool { return true })
}

func (q *Queue) removeIf(match func(Item) bool) []Item {
	var removed []Item
	for i := range q.levels {
		removed = append(removed, q.levels[i].removeIf(match)...)
	}

	return removed
}

// expectedWait estimates the time until the item would start: after the more
// urgent ones, and in its turn among those of its level.
func (q *Queue) expectedWait(item Item, slots, free int) time.Duration {
	ahead := q.levels[item.Level].ahead(item)
	for i := range item.Level {
		ahead += float64(q.levels[i].length)
	}
	if ahead < float64(free) {
		return 0
	}

	return time.Duration((ahead - float64(free) + 1) / float64(max(slots, 1)) * float64(q.service))
}
