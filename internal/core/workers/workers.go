// Package workers implements a pool of reusable goroutines, and starts and stops
// background loops.
package workers

import "sync/atomic"

// maxIdle is the maximum number of idle goroutines of a pool.
const maxIdle = 256

// Pool runs jobs on goroutines that it reuses. With a new goroutine for each request, the
// growth of its stack took 14% of the processor time of a request between daemons. A Pool
// is safe for concurrent use.
type Pool struct {
	// jobs hands a job to an idle goroutine. It is unbuffered.
	jobs chan func()
	// stop is closed to end idle goroutines.
	stop chan struct{}
	// idle is the number of idle goroutines.
	idle atomic.Int64
}

// New returns a pool and a function that ends the pool's idle goroutines. Running jobs
// continue after the function was called, and Run still accepts new ones. The function
// must be called at most once.
func New() (*Pool, func()) {
	p := &Pool{jobs: make(chan func()), stop: make(chan struct{})}

	return p, func() { close(p.stop) }
}

// Run starts the job on an idle goroutine, or on a new one if there is none. It never
// blocks.
func (p *Pool) Run(job func()) {
	select {
	case p.jobs <- job:
	default:
		go p.runJobs(job)
	}
}

// runJobs runs the job and then waits for further ones, until the pool is stopped or has
// more than maxIdle idle goroutines.
func (p *Pool) runJobs(job func()) {
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
