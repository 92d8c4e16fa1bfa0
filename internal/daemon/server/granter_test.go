package server

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

// Rate per second and burst of the client account Busy in the team file.
const (
	busyRate  = 60
	busyBurst = 60
	// failoverTimeout is the time after the loss of a granter within which another
	// daemon must grant tokens.
	failoverTimeout = 3*time.Second + time.Second
)

// TestGranterLostDuringStoreOutage guards against tokens that are granted twice when
// a granter is replaced during a store outage, and against a client account that is
// left without a granter.
func TestGranterLostDuringStoreOutage(t *testing.T) {
	isolateGranter := func(f *testFleet, granter int) {
		zone := f.settings[granter].AvailabilityZone
		for i, s := range f.settings {
			if i != granter {
				f.network.cut(path{zone, s.AvailabilityZone}, path{s.AvailabilityZone, zone})
			}
		}
	}
	stopGranter := func(f *testFleet, granter int) { f.killFuncs[granter]() }

	for _, test := range []struct {
		name string
		// fault makes the granter unavailable.
		fault func(f *testFleet, granter int)
		// rate is the number of requests per second at each of the five daemons.
		rate float64
	}{
		{"granter isolated, within the rate", isolateGranter, 0.8 * busyRate / 5},
		{"granter isolated, three times the rate", isolateGranter, 3 * busyRate / 5},
		{"granter stopped, within the rate", stopGranter, 0.8 * busyRate / 5},
		{"granter stopped, three times the rate", stopGranter, 3 * busyRate / 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFleet(t, "a", "b", "c", "d", "e")
			granter := slices.IndexFunc(f.daemons, func(d *Daemon) bool {
				return d.limits.Shares()[fleet.GroupIndex("Busy", groupCount)] > 0
			})

			if granter < 0 {
				t.Fatal("no daemon grants the client account's tokens")
			}

			var streams []load.Stream
			for i := range f.daemons {
				streams = append(streams, f.readStream("Busy", test.rate, i))
			}

			var lostAt time.Time

			results := f.runTraffic(t, streams, func() {
				time.Sleep(2 * time.Second)
				f.store.SetFaults(platform.Faults{Outage: true})

				lostAt = time.Now()

				test.fault(f, granter)
				time.Sleep(12 * time.Second)
			})

			ran := f.runCounts()
			sent, refused, late := 0, 0, 0

			for _, result := range results {
				if result.Stream == streams[granter].Name || result.Sent.Before(lostAt) {
					continue
				}

				sent++

				if result.Verdict == load.NotRun {
					refused++

					if result.Sent.Sub(lostAt) > failoverTimeout && refusalReason(result) == "LimitAway" {
						late++
					}
				}
			}

			if late > 0 {
				t.Errorf("%d requests were refused as LimitAway after the failover, want none", late)
			}

			if n, window := overLimit(results, ran); n > 0 {
				t.Errorf("%d requests admitted within %s, want at most %d/s and %d", n, window, busyRate, busyBurst)
			}

			t.Logf("%d of %d requests at the other daemons refused in the 12 s from the fault", refused, sent)
		})
	}
}

// overLimit looks for a time window in which more requests began and ended than the
// limit of the client account Busy allows. It returns their number and the length of
// the window, or zeros if there is none.
func overLimit(results []load.Result, ran map[string]int) (n int, window time.Duration) {
	type span struct{ begin, end time.Time }

	var spans []span

	for _, result := range results {
		if ran[result.ID] > 0 {
			spans = append(spans, span{result.Sent, result.Sent.Add(result.Latency)})
		}
	}

	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.end.UnixNano(), b.end.UnixNano()) })

	for _, first := range spans {
		count := 0

		for _, s := range spans {
			if s.begin.Before(first.begin) {
				continue
			}

			count++

			length := s.end.Sub(first.begin)
			if float64(count) > busyBurst+busyRate*length.Seconds() {
				return count, length
			}
		}
	}

	return 0, 0
}
