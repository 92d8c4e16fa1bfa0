// Package virtual runs events in virtual time, in a fixed order.
package virtual

import (
	"container/heap"
	"time"
)

// Loop is a queue of events. Now is the virtual time since the start.
type Loop struct {
	Now      time.Duration
	queue    events
	sequence int
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]

	return x
}

// After runs do when d has passed.
func (l *Loop) After(d time.Duration, do func()) {
	l.sequence++
	heap.Push(&l.queue, event{at: l.Now + d, sequence: l.sequence, do: do})
}

// Run runs all events until a time and then stands at that time.
func (l *Loop) Run(until time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= until {
		e := heap.Pop(&l.queue).(event)
		l.Now = e.at
		e.do()
	}
	l.Now = until
}
