package limits

import (
	"fmt"
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

// Guards against daemons behind a cut that turn to and fro between the granter, which
// they reach only through some of the other daemons, and daemons without a majority:
// requests inside the rate are then refused, although the granter has all the tokens.
func TestCutBetweenZonesKeepsGranter(t *testing.T) {
	t.Parallel()
	for _, cutZones := range [][2]int{{0, 1}, {0, 2}, {1, 2}} {
		t.Run(fmt.Sprint(cutZones), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const (
					zones        = 3
					cutDuration  = 20 * time.Second
					reactionTime = 3 * time.Second
					// interval is the time between two requests at each daemon. The rate
					// of all daemons together is 0.83 of the limit.
					interval = 144 * time.Millisecond
				)
				p := newFakePlatform()
				daemons := startDaemons(p, 2*zones)
				defer stopAll(daemons)
				zone := map[string]int{}
				for i, d := range daemons {
					zone[d.name] = i % zones
				}
				time.Sleep(10 * time.Second)
				p.mu.Lock()
				p.isCut = func(from, to string) bool { return zone[from] == cutZones[0] && zone[to] == cutZones[1] }
				p.mu.Unlock()
				var (
					mu        sync.Mutex
					waitGroup sync.WaitGroup
				)
				refused := map[string]int{}
				for startedAt := time.Now(); time.Since(startedAt) < cutDuration; time.Sleep(interval) {
					for _, d := range daemons {
						sentAfter := time.Since(startedAt)
						waitGroup.Go(func() {
							if got := d.take("club", time.Second).Outcome; got != fleet.TokenGranted && sentAfter > reactionTime {
								mu.Lock()
								defer mu.Unlock()
								refused[fmt.Sprintf("%s: %v", d.name, got)]++
							}
						})
					}
				}
				waitGroup.Wait()
				if len(refused) > 0 {
					t.Errorf("got %v refused more than %s after the cut, want none", refused, reactionTime)
				}
			})
		})
	}
}
