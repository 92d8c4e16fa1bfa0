package limits

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Guards against a daemon that refuses the requests of a client account while it cannot
// reach the granter although other daemons can, and against granting tokens twice
// because a request arrives both directly and through a relay.
func TestGranterBehindCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		daemons := startDaemons(p, 6)
		defer stopAll(daemons)
		time.Sleep(10 * time.Second)
		_, granter := grantedShares(daemons, fleet.GroupIndex("club", groupCount))
		blocked := daemons[0]
		if blocked == granter {
			blocked = daemons[1]
		}
		setCut := func(isCut func(from, to string) bool) {
			p.mu.Lock()
			p.isCut = isCut
			p.mu.Unlock()
		}
		setCut(func(from, to string) bool { return from == blocked.name && to == granter.name })
		// The direct call must fail before the request is sent through a relay.
		if got := blocked.take("club", 2*time.Second); got.Outcome != fleet.TokenGranted {
			t.Errorf("got outcome %v at the daemon behind the cut, want taken", got)
		}
		const rounds = 1200
		taken, startedAt := 0, time.Now()
		var (
			mu        sync.Mutex
			waitGroup sync.WaitGroup
		)
		for i := range rounds {
			time.Sleep(10 * time.Millisecond)
			switch i % 300 {
			case 150:
				setCut(nil)
			case 0:
				setCut(func(from, to string) bool { return from == blocked.name && to == granter.name })
			}
			for _, d := range daemons {
				waitGroup.Go(func() {
					if d.take("club", 100*time.Millisecond).Outcome == fleet.TokenGranted {
						mu.Lock()
						taken++
						mu.Unlock()
					}
				})
			}
		}
		waitGroup.Wait()
		if most := 100 + int(50*time.Since(startedAt).Seconds()); taken > most {
			t.Errorf("got %d taken in %v, want at most %d", taken, time.Since(startedAt), most)
		}
	})
}
