// Package virtual runs events of simulations in virtual time, in a deterministic order.
package virtual

import (
	"container/heap"
	"time"
)

// Loop is an event loop in virtual time. Events run in the order of their times, and events
// of the same time in the order in which they were added. The zero value is ready for use.
// It is not safe for concurrent use.
type Loop struct {
	// Now is the virtual time since the start.
	Now   time.Duration
	queue eventHeap
	// sequence is the number of events that were added so far.
	sequence int
}

// event is a function to run at a virtual time. sequence orders events of the same time.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventHeap is a min-heap by time and sequence. It implements heap.Interface.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]

	return last
}

// After schedules do to run when d has passed in virtual time. d must not be negative.
func (l *Loop) After(d time.Duration, do func()) {
	l.sequence++
	heap.Push(&l.queue, event{at: l.Now + d, sequence: l.sequence, do: do})
}

// Run runs all events up to and including the virtual time until, also the events that are
// added meanwhile, and then sets Now to until.
func (l *Loop) Run(until time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= until {
		e := heap.Pop(&l.queue).(event)
		l.Now = e.at
		e.do()
	}
	l.Now = until
}
