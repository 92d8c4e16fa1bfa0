package arbiter

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// batch is the evidence of one interval for the services of one arbiter.
type batch struct {
	daemon  string
	message message
}

// collect sums up the observations and hands them to the sender once per
// report interval.
func (a *Arbiter) collect(ctx context.Context) {
	ticker := time.NewTicker(health.ReportInterval)
	defer ticker.Stop()
	egress, ingress := health.NewCollector(), health.NewPathCollector()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-a.observations:
			egress.Add(o)
		case o := <-a.paths:
			ingress.Add(o)
		case <-ticker.C:
			a.dispatch(a.split(egress.Take(), ingress.Take()))
		}
	}
}

// split sorts the evidence by the daemon that holds the service's lease.
func (a *Arbiter) split(counts []health.Counts, paths []health.PathCounts) []batch {
	byDaemon := map[string]*message{}
	of := func(service string) *message {
		holder, known := a.ports.Leases.Holder(fleet.Group(service, a.options.Groups))
		if !known {
			a.losses.Reports.Add(1)

			return &message{}
		}
		m := byDaemon[holder]
		if m == nil {
			m = &message{from: health.Reporter{Daemon: a.options.Name, AvailabilityZone: a.options.AvailabilityZone}}
			byDaemon[holder] = m
		}

		return m
	}
	for _, c := range counts {
		m := of(c.Service)
		m.counts = append(m.counts, c)
	}
	for _, p := range paths {
		m := of(p.Service)
		m.paths = append(m.paths, p)
	}
	var batches []batch
	for daemon, m := range byDaemon {
		batches = append(batches, batch{daemon, *m})
	}
	slices.SortFunc(batches, func(x, y batch) int { return cmp.Compare(x.daemon, y.daemon) })

	return batches
}

func (a *Arbiter) dispatch(batches []batch) {
	if len(batches) == 0 {
		return
	}
	select {
	case a.batches <- batches:
	default:
		a.losses.Reports.Add(int64(len(batches)))
	}
}

// send exchanges the frames, one at a time per arbiter. Evidence for an
// arbiter that has not answered the last frame is dropped, because a later
// frame replaces it soon.
func (a *Arbiter) send(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	var mutex sync.Mutex
	busy := map[string]bool{}
	claim := func(daemon string) bool {
		mutex.Lock()
		defer mutex.Unlock()
		claimed := !busy[daemon]
		busy[daemon] = true

		return claimed
	}
	release := func(daemon string) {
		mutex.Lock()
		defer mutex.Unlock()
		delete(busy, daemon)
	}
	for {
		var batches []batch
		select {
		case <-ctx.Done():
			return
		case batches = <-a.batches:
		}
		for _, b := range batches {
			switch {
			case b.daemon == a.options.Name:
				a.deliver(b.message)
			case claim(b.daemon):
				calls.Go(func() {
					defer release(b.daemon)
					a.call(ctx, b)
				})
			default:
				a.losses.Reports.Add(1)
			}
		}
	}
}

func (a *Arbiter) call(ctx context.Context, b batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	frame := &peerpb.Frame{Body: &peerpb.Frame_Evidence{Evidence: formatEvidence(b.message)}}
	response, ok := a.ports.Peers.Call(ctx, b.daemon, frame)
	if !ok || !response.GetAcknowledged().GetAccepted() {
		a.losses.Reports.Add(1)
	}
}
