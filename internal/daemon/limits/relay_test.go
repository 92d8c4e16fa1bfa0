package limits

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Guards against a daemon that refuses a client account for as long as it
// cannot reach the granter while other daemons can, and against tokens that
// are granted twice because a request arrives directly and through a relay.
func TestGranterBehindCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		daemons := start(p, 6)
		defer stopAll(daemons)
		time.Sleep(10 * time.Second)
		_, granter := shares(daemons, fleet.GroupIndex("club", groups))
		far := daemons[0]
		if far == granter {
			far = daemons[1]
		}
		cut := func(is func(from, to string) bool) {
			p.mu.Lock()
			p.cut = is
			p.mu.Unlock()
		}
		cut(func(from, to string) bool { return from == far.name && to == granter.name })
		// The direct call fails before another daemon passes the request on.
		if got := far.take("club", 2*time.Second); got.Outcome != fleet.TokenGranted {
			t.Errorf("got outcome %v at the daemon behind the cut, want taken", got)
		}
		const tries = 1200
		taken, began := 0, time.Now()
		var (
			mu    sync.Mutex
			group sync.WaitGroup
		)
		for i := range tries {
			time.Sleep(10 * time.Millisecond)
			switch i % 300 {
			case 150:
				cut(nil)
			case 0:
				cut(func(from, to string) bool { return from == far.name && to == granter.name })
			}
			for _, d := range daemons {
				group.Go(func() {
					if d.take("club", 100*time.Millisecond).Outcome == fleet.TokenGranted {
						mu.Lock()
						taken++
						mu.Unlock()
					}
				})
			}
		}
		group.Wait()
		if most := 100 + int(50*time.Since(began).Seconds()); taken > most {
			t.Errorf("got %d taken in %v, want at most %d", taken, time.Since(began), most)
		}
	})
}
