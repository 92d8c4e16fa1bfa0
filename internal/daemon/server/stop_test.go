package server

import (
	"context"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
)

// Guards against upstreams that get nothing while their daemon still runs, so that daemons
// that are stopped one after the other take more of a service away than those that are
// really gone.
func TestUpstreamIdleWhileDaemonStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "a", "b", "c")
	idle := -1
	results := f.runTraffic(t, []load.Stream{f.readStream("Steady", 20, 1), f.readStream("Steady", 20, 2)}, func() {
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.daemons[0].Stop(context.WithoutCancel(t.Context()))
		}()
		time.Sleep(lameDuckPeriod / 4) // attempts sent before the stop have ended
		before := len(f.upstreams[0].Record().Runs)
		time.Sleep(lameDuckPeriod / 2)
		idle = len(f.upstreams[0].Record().Runs) - before
		<-stopped
	})
	if idle <= 0 {
		t.Errorf("got %d requests at the upstream of a stopping daemon in %v, want some", idle, lameDuckPeriod/2)
	}
	for _, result := range results {
		if result.Verdict != load.Ran {
			t.Errorf("got %s %s, want every request answered", result.Verdict, result.Reason)
		}
	}
}
