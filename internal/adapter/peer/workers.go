package peer

import "sync/atomic"

// maxIdleWorkers bounds the goroutines that wait for the next stream.
const maxIdleWorkers = 256

// workers runs jobs on goroutines that are used again. A new goroutine for each
// stream would grow its stack anew each time, which took 14% of the processor
// time of a request.
type workers struct {
	jobs chan func()
	stop chan struct{}
	idle atomic.Int64
}

func newWorkers() *workers {
	return &workers{jobs: make(chan func()), stop: make(chan struct{})}
}

// run never waits: without an idle goroutine it starts a new one.
func (w *workers) run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.work(job)
	}
}

func (w *workers) work(job func()) {
	for {
		job()
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)

			return
		}
		select {
		case job = <-w.jobs:
			w.idle.Add(-1)
		case <-w.stop:
			return
		}
	}
}
