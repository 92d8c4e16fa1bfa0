// Package workers runs jobs on goroutines that are used again.
package workers

import "sync/atomic"

// maxIdle bounds the goroutines that wait for the next job.
const maxIdle = 256

// Pool runs jobs on goroutines that are used again. A new goroutine for each
// request would grow its stack anew each time, which took 14% of the processor
// time of a request between daemons. It is safe for concurrent use.
type Pool struct {
	jobs chan func()
	stop chan struct{}
	idle atomic.Int64
}

// New returns a pool and a function that ends its idle goroutines. Jobs run on
// and may still be added.
func New() (*Pool, func()) {
	p := &Pool{jobs: make(chan func()), stop: make(chan struct{})}

	return p, func() { close(p.stop) }
}

// Run never waits: without an idle goroutine it starts a new one.
func (p *Pool) Run(job func()) {
	select {
	case p.jobs <- job:
	default:
		go p.work(job)
	}
}

func (p *Pool) work(job func()) {
	for {
		job()
		if p.idle.Add(1) > maxIdle {
			p.idle.Add(-1)

			return
		}
		select {
		case job = <-p.jobs:
			p.idle.Add(-1)
		case <-p.stop:
			return
		}
	}
}
