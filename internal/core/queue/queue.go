// Package queue implements the bounded queue in front of an upstream's slots, with
// priority levels, deadlines and fair shares for client accounts.
package queue

import (
	"cmp"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Levels is the number of priority levels.
const Levels = 17

// Item is an attempt that waits for a slot.
type Item struct {
	ID            fleet.AttemptID
	ClientAccount string
	// Weight is the client account's share relative to other accounts. Values below 1
	// count as 1.
	Weight int
	// Level is the priority level, 0 (most urgent) to Levels-1. Values outside of this
	// range are clamped.
	Level int
	// ServiceTime is the usual service time of requests of the item's route, or 0 if it is
	// not known.
	ServiceTime time.Duration
	// Target is the time at which the target latency of the request is exceeded, or zero
	// if it has none. An answer after that has less value.
	Target time.Time
	// Deadline is the time by which the request must be answered.
	Deadline time.Time
}

// Verdict is the decision about an arriving item.
type Verdict int

// Verdicts about an item.
const (
	// Queued means that the item waits.
	Queued Verdict = iota
	// Late means that the item was refused because it would probably not finish by its
	// deadline.
	Late
	// Full means that the item was refused because the queue is full and holds no item that
	// would be displaced for it: all are more urgent, or the item's own client account has
	// the most waiting items relative to its weight.
	Full
)

// PushResult is the result of Queue.Push.
type PushResult struct {
	Verdict Verdict
	// ExpectedWait is the estimated wait for a slot on which the verdict is based.
	ExpectedWait time.Duration
	// Displaced lists the item, if any, that was removed to make room for the arriving
	// one. It must not run.
	Displaced []Item
}

const (
	// serviceTimeGain is the weight of the newest service time in the moving average, as
	// in TCP's round-trip estimator (RFC 6298). The average covers about 8 requests.
	serviceTimeGain = 0.125
	// serviceTimeMargin is the time to the deadline that an item should have when it
	// starts, as a multiple of its usual service time. A request that times out while it
	// runs wastes its slot.
	serviceTimeMargin = 2
	// minServiceFraction is the service time of a short request as a fraction of the
	// usual one. An item with less time to its deadline has almost no chance to finish.
	minServiceFraction = 0.5
	// crowdedItems is the number of waiting items that can meet their target from which
	// items that cannot are removed. It is the usual number of slots of an upstream.
	crowdedItems = 3
	// maxSkipped is the number of items of more urgent levels that may start while an item
	// of a less urgent level waits. Then an item of that level starts, so that no level
	// starves.
	maxSkipped = 8
)

// Queue orders the waiting attempts of one upstream. Attempts that can be answered
// within their target start before all others, and more urgent levels before less urgent
// ones. Within a level, client accounts get shares in proportion to their weights. A
// Queue is not safe for concurrent use.
type Queue struct {
	// capacity is the maximum number of items on all levels together.
	capacity int
	// levels are ordered from most to least urgent.
	levels [Levels]fairQueue
	// meanServiceTime is a moving average, or 0 before the first service time.
	meanServiceTime time.Duration
}

// New returns an empty queue that holds up to capacity items, at least 1.
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

// ObserveServiceTime adds the service time of one request to the moving average.
func (q *Queue) ObserveServiceTime(serviceTime time.Duration) {
	if q.meanServiceTime == 0 {
		q.meanServiceTime = serviceTime

		return
	}
	q.meanServiceTime += time.Duration(serviceTimeGain * float64(serviceTime-q.meanServiceTime))
}

// EstimateWait estimates how long an item that arrives now would wait for a slot. Slots
// is the number of slots of the upstream and free the number of idle ones.
func (q *Queue) EstimateWait(item Item, slots, free int) time.Duration {
	return q.expectedWait(clampRanges(item), slots, free)
}

// EstimateAhead estimates how many waiting items would start before an item that arrives
// now.
func (q *Queue) EstimateAhead(item Item) float64 {
	return q.ahead(clampRanges(item))
}

// clampRanges returns the item with its weight and level clamped to their ranges.
func clampRanges(item Item) Item {
	item.Weight = max(item.Weight, 1)
	item.Level = min(max(item.Level, 0), Levels-1)

	return item
}

// Push adds an item or refuses it. Slots is the number of slots of the upstream and free
// the number of idle ones. If the queue is full, an item of the least urgent waiting level
// is displaced: the newest one of the account with the most waiting items relative to its
// weight. The arriving item is refused if all waiting items are more urgent, or if it is of
// that level itself and its own account has the most waiting items relative to its weight.
func (q *Queue) Push(item Item, slots, free int, now time.Time) PushResult {
	item = clampRanges(item)
	result := PushResult{ExpectedWait: q.expectedWait(item, slots, free)}
	if !now.Before(item.Deadline) || item.cannotFinish(now.Add(result.ExpectedWait)) {
		result.Verdict = Late

		return result
	}
	if q.Len() >= q.capacity {
		displaced, ok := q.displace(item)
		if !ok {
			result.Verdict = Full

			return result
		}
		result.Displaced = []Item{displaced}
	}
	q.levels[item.Level].add(item)

	return result
}

// cannotFinish reports whether the item has almost no chance to finish by its deadline
// if it starts at the given time.
func (i *Item) cannotFinish(start time.Time) bool {
	return start.Add(time.Duration(minServiceFraction * float64(i.ServiceTime))).After(i.Deadline)
}

// displace removes and returns an item to make room for an arriving one. It reports
// false if no waiting item should be displaced for it.
func (q *Queue) displace(item Item) (Item, bool) {
	leastUrgent := Levels - 1
	for leastUrgent > item.Level && q.levels[leastUrgent].length == 0 {
		leastUrgent--
	}
	level := &q.levels[leastUrgent]
	if level.length == 0 {
		return Item{}, false // All waiting items are more urgent.
	}
	mostLoaded := level.mostLoaded()
	if leastUrgent == item.Level && level.account(item.ClientAccount).loadPerWeight(int64(item.Weight), 1) >= mostLoaded.loadPerWeight(mostLoaded.weight, 0) {
		return Item{}, false
	}
	newest := len(mostLoaded.items) - 1
	displaced := mostLoaded.items[newest]
	level.removeAt(mostLoaded, newest)

	return displaced, true
}

// Pop removes and returns the next item to start. Items that would miss their target, or
// whose deadline is nearer than twice their usual service time, come last. It also
// removes and returns expired items as Expire does; they must not run.
func (q *Queue) Pop(now time.Time) (next Item, found bool, expired []Item) {
	expired = q.Expire(now)
	inTime := func(i Item) bool {
		return i.Deadline.After(now.Add(serviceTimeMargin*cmp.Or(i.ServiceTime, q.meanServiceTime))) && !i.missesTarget(now)
	}
	for _, match := range []func(Item) bool{inTime, func(Item) bool { return true }} {
		if level := q.nextLevel(match); level != nil {
			return level.popMatching(match), true, expired
		}
	}

	return Item{}, false, expired
}

// nextLevel returns the level that the next item is taken from, or nil if no item
// matches: the most urgent one with an item that matches, unless a less urgent one has
// been skipped maxSkipped times.
func (q *Queue) nextLevel(match func(Item) bool) *fairQueue {
	var chosen *fairQueue
	for i := range q.levels {
		level := &q.levels[i]
		switch {
		case level.length == 0 || !level.contains(match):
			continue
		case chosen == nil:
			chosen = level
		case level.skipped >= maxSkipped:
			level.skipped = 0

			return level
		default:
			level.skipped++
		}
	}

	return chosen
}

// missesTarget reports whether the item would probably miss its target if it started now.
func (i *Item) missesTarget(now time.Time) bool {
	return !i.Target.IsZero() && now.Add(i.ServiceTime).After(i.Target)
}

// Expire removes and returns the items that have almost no chance to finish by their
// deadline. If at least crowdedItems items can still meet their target, it also removes
// those that can't. The returned items must not run.
func (q *Queue) Expire(now time.Time) []Item {
	dropLate := q.countMatching(func(item Item) bool { return !item.missesTarget(now) }) >= crowdedItems

	return q.removeIf(func(item Item) bool {
		return !now.Before(item.Deadline) || item.cannotFinish(now) || dropLate && item.missesTarget(now)
	})
}

// countMatching returns the number of items that match.
func (q *Queue) countMatching(match func(Item) bool) int {
	count := 0
	for i := range q.levels {
		for _, account := range q.levels[i].ring {
			for _, item := range account.items {
				if match(item) {
					count++
				}
			}
		}
	}

	return count
}

// Remove removes the item with the ID and reports whether it was waiting.
func (q *Queue) Remove(id fleet.AttemptID) bool {
	return len(q.removeIf(func(item Item) bool { return item.ID == id })) > 0
}

// Drain removes and returns all items. They must not run.
func (q *Queue) Drain() []Item {
	return q.removeIf(func(Item) bool { return true })
}

// removeIf removes the matching items from all levels and returns them.
func (q *Queue) removeIf(match func(Item) bool) []Item {
	var removed []Item
	for i := range q.levels {
		removed = append(removed, q.levels[i].removeIf(match)...)
	}

	return removed
}

// ahead estimates how many waiting items start before an arriving item: all items of more
// urgent levels and those before it on its own level.
func (q *Queue) ahead(item Item) float64 {
	ahead := q.levels[item.Level].estimateAhead(item)
	for i := range item.Level {
		ahead += float64(q.levels[i].length)
	}

	return ahead
}

// expectedWait estimates the time until the item would start, if all items of more
// urgent levels and those before it on its own level start first.
func (q *Queue) expectedWait(item Item, slots, free int) time.Duration {
	ahead := q.ahead(item)
	if ahead < float64(free) {
		return 0
	}

	return time.Duration((ahead - float64(free) + 1) / float64(max(slots, 1)) * float64(q.meanServiceTime))
}
