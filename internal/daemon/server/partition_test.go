package server

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
)

// cutDuration is long enough for the failure detector's 5 s and for evidence against
// upstreams to accumulate.
const cutDuration = 10 * time.Second

// suspicionRecorder records every upstream that any daemon treats as suspect.
type suspicionRecorder struct {
	// suspected describes the suspicion by the upstream's name.
	suspected map[string]string
	// oldestContact is the greatest age, over all daemons, of the later one of the last
	// contacts with the store and with another zone.
	oldestContact time.Duration
}

// watch polls all daemons until stop is closed.
func (s *suspicionRecorder) watch(f *testFleet, stop <-chan struct{}) {
	s.suspected = make(map[string]string)

	for {
		for _, daemon := range f.daemons {
			contact := daemon.Contact()
			s.oldestContact = max(s.oldestContact, min(time.Since(contact.Store), time.Since(contact.OtherZone)))

			for _, service := range daemon.Status().Services {
				for _, u := range service.Upstreams {
					if u.Suspect {
						s.suspected[u.Name] = fmt.Sprintf("suspect: %.2f (seen by %s)", u.Suspicion, daemon.Name())
					}
				}
			}
		}

		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// refusalReason returns the reason in the body of a refusal, or the whole text if it
// is not JSON.
func refusalReason(result load.Result) string {
	var refusal struct{ Reason string }
	if json.Unmarshal([]byte(result.Reason), &refusal) != nil {
		return result.Reason
	}

	return refusal.Reason
}

// TestCutBetweenZones guards against faults while a network cut between two zones
// loses answers: requests that run twice or are wrongly reported as not run, reads
// that fail although other upstreams are reachable, and suspicion of healthy
// upstreams.
func TestCutBetweenZones(t *testing.T) {
	for _, test := range []struct {
		name string
		cuts []path
	}{
		{"one way", []path{{"a", "b"}}},
		{"both ways", []path{{"a", "b"}, {"b", "a"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFleet(t, defaultZones...)

			var streams []load.Stream
			for i := range f.daemons {
				streams = append(streams, f.readStream("Steady", 40, i), f.bookStream("Steady", 15, i))
			}

			var (
				recorder suspicionRecorder
				watching sync.WaitGroup
				cutAt    time.Time
			)

			stop := make(chan struct{})

			watching.Go(func() { recorder.watch(f, stop) })

			results := f.runTraffic(t, streams, func() {
				time.Sleep(2 * time.Second)

				cutAt = time.Now()

				f.network.cut(test.cuts...)
				time.Sleep(cutDuration)
				f.network.restore()
				time.Sleep(reactionLimit)
			})

			close(stop)
			watching.Wait()

			for name, observation := range recorder.suspected {
				t.Errorf("healthy upstream %s was %s", name, observation)
			}

			report := load.Compare(results, streams, f.runCounts(), func(load.Result) bool { return true })
			if report.Doubled+report.FalselyNotRun+report.Wrong+report.Lost > 0 {
				t.Errorf("got %d doubled, %d falsely not run, %d wrong, %d lost of %d, want none",
					report.Doubled, report.FalselyNotRun, report.Wrong, report.Lost, report.Requests)
			}

			late := 0
			refusals := make(map[string]int)

			for _, result := range results {
				if result.Verdict == load.Ran {
					continue
				}

				after := result.Sent.Sub(cutAt)
				refusals[fmt.Sprintf("%s %s %s %s", result.Stream, after.Truncate(time.Second), result.Verdict, refusalReason(result))]++

				if after > reactionLimit && strings.HasPrefix(result.Stream, "Read") {
					late++
				}
			}

			for _, refusal := range slices.Sorted(maps.Keys(refusals)) {
				t.Logf("%d × %s", refusals[refusal], refusal)
			}

			if late > 0 {
				t.Errorf("%d reads sent more than %s after the cut were not answered, want none", late, reactionLimit)
			}

			t.Logf("%+v, oldest contact %s", report, recorder.oldestContact)
		})
	}
}

// TestBookingsBehindCut guards against bookings that are left without a known outcome
// because neither they nor their cancel can reach an upstream's daemon, although another
// daemon reaches it and could confirm that they have not run.
func TestBookingsBehindCut(t *testing.T) {
	f := newFleet(t, defaultZones...)

	var streams []load.Stream
	for i := range f.daemons {
		streams = append(streams, f.bookStream("Steady", 30, i))
	}

	var cutAt time.Time

	results := f.runTraffic(t, streams, func() {
		time.Sleep(time.Second)
		f.network.cut(path{"a", "b"}, path{"b", "a"})

		// Requests that were sent before the cut may have run.
		time.Sleep(200 * time.Millisecond)

		cutAt = time.Now()

		time.Sleep(4 * time.Second)
		f.network.restore()
	})

	report := load.Compare(results, streams, f.runCounts(), func(load.Result) bool { return true })
	if report.Doubled+report.FalselyNotRun+report.Wrong+report.Lost > 0 {
		t.Errorf("got %d doubled, %d falsely not run, %d wrong, %d lost of %d, want none",
			report.Doubled, report.FalselyNotRun, report.Wrong, report.Lost, report.Requests)
	}

	unknown := make(map[string]int)

	for _, result := range results {
		if result.Sent.After(cutAt) && result.Sent.Before(cutAt.Add(2*time.Second)) && result.Verdict == load.Unknown {
			unknown[result.Stream+" "+refusalReason(result)]++
		}
	}

	if len(unknown) > 0 {
		t.Errorf("got bookings of unknown outcome %v, want none", unknown)
	}
}
