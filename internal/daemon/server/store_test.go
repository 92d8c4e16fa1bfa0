package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/config/teamfile"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

// TestPublishWhileStoreFails guards against a daemon that reverts to an older
// configuration or misses a newer one while the store is slow or loses answers,
// versions are published and daemons restart.
func TestPublishWhileStoreFails(t *testing.T) {
	const (
		faultDuration = 25 * time.Second
		// propagationLimit is the time within which all daemons must run the newest
		// version once the store has recovered.
		propagationLimit = 17 * time.Second
	)

	for _, test := range []struct {
		name   string
		faults platform.Faults
	}{
		{"slow", platform.Faults{Latency: 2 * time.Second}},
		{"losing every second answer", platform.Faults{LoseAnswers: 0.5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFleet(t, defaultZones...)

			var (
				watching sync.WaitGroup
				newest   uint64
			)

			ctx, cancel := context.WithCancel(t.Context())
			defer watching.Wait()
			defer cancel()

			watched := f.daemons[:4]

			watching.Go(func() { checkVersionsRise(ctx, t, watched) })
			f.store.SetFaults(test.faults)

			publisher := publication.NewPublisher(f.store, rand.New(rand.NewPCG(3, 3)))
			accepted, began := 0, time.Now()

			for n := 0; time.Since(began) < faultDuration; n++ {
				content := strings.Replace(team, "Rate = 60/s", fmt.Sprintf("Rate = %d/s", 60+n%2), 1)

				result := publisher.Publish(t.Context(), publication.Change{
					ID: uuid.New(), Files: []teamfile.File{{Name: "ponds.ini", Content: []byte(content)}},
				})
				if result.Outcome == publication.Accepted {
					accepted++

					if result.Version < newest {
						t.Errorf("got version %d after %d, want versions to rise", result.Version, newest)
					}

					newest = result.Version
				}

				// The last two daemons are restarted in turn.
				i := 4 + n%2
				f.killFuncs[i]()

				if err := f.restartDaemon(i); err != nil {
					t.Fatalf("start daemon %s again: %v", f.settings[i].Name, err)
				}
			}

			f.store.SetFaults(platform.Faults{})

			for deadline := time.Now().Add(propagationLimit); ; time.Sleep(100 * time.Millisecond) {
				behind := 0

				for _, daemon := range f.daemons {
					if installedVersion(daemon) != newest {
						behind++
					}
				}

				if behind == 0 {
					break
				}

				if time.Now().After(deadline) {
					t.Fatalf("%d daemons do not run version %d within %s", behind, newest, propagationLimit)
				}
			}

			cancel()
			watching.Wait()
			t.Logf("%d publications were accepted", accepted)

			if accepted == 0 {
				t.Error("no publication was accepted")
			}
		})
	}
}

// restartDaemon starts a stopped daemon again. Its upstreams kept running.
func (f *testFleet) restartDaemon(i int) error {
	daemon, closeDaemon, err := f.startDaemon(f.settings[i])
	if err != nil {
		return err
	}

	f.daemons[i], f.killFuncs[i] = daemon, closeDaemon
	f.cleanUps = append(f.cleanUps, closeDaemon)

	return nil
}

// installedVersion returns the configuration version that a daemon runs, or 0.
func installedVersion(daemon *Daemon) uint64 {
	current := daemon.loader.Current()
	if current == nil {
		return 0
	}

	return current.Version
}

// checkVersionsRise checks until ctx ends that no daemon reverts to an older version.
func checkVersionsRise(ctx context.Context, t *testing.T, daemons []*Daemon) {
	last := make([]uint64, len(daemons))

	for ctx.Err() == nil {
		for i, daemon := range daemons {
			now := installedVersion(daemon)
			if now < last[i] {
				t.Errorf("daemon %s went from version %d to %d", daemon.Name(), last[i], now)
			}

			last[i] = now
		}

		time.Sleep(10 * time.Millisecond)
	}
}
