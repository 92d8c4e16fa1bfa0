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

// cutLasts is long enough for the failure detector's 5 s and for evidence
// against upstreams to add up.
const cutDuration = 10 * time.Second

// suspects notes every upstream that a daemon regards as suspect while it watches.
type suspicionRecorder struct {
	suspected map[string]string
	// oldest is the greatest age of a daemon's contact with others.
	oldestContact time.Duration
}

func (s *suspicionRecorder) watch(f *testFleet, stop <-chan struct{}) {
	s.suspected = make(map[string]string)

	for {
		for _, daemon := range f.daemons {
			contact := daemon.Contact()
			s.oldestContact = max(s.oldestContact, min(time.Since(contact.Store), time.Since(contact.OtherZone)))

			for _, service := range daemon.Status().Services {
				for _, one := range service.Upstreams {
					if one.Suspect {
						s.suspected[one.Name] = fmt.Sprintf("suspect: %.2f (seen by %s)", one.Suspicion, daemon.Name())
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

// reason returns why a request was refused.
func refusalReason(result load.Result) string {
	var refusal struct{ Reason string }
	if json.Unmarshal([]byte(result.Reason), &refusal) != nil {
		return result.Reason
	}

	return refusal.Reason
}

// TestCutBetweenZones guards against requests that run twice or are wrongly
// said not to have run when their answers are lost on the way, against reads
// that are not answered although other ways are open, and against the suspicion
// of upstreams that are healthy.
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
				suspected suspicionRecorder
				watching  sync.WaitGroup
				cutAt     time.Time
			)

			stop := make(chan struct{})

			watching.Go(func() { suspected.watch(f, stop) })

			results := f.runTraffic(t, streams, func() {
				time.Sleep(2 * time.Second)

				cutAt = time.Now()

				f.network.cut(test.cuts...)
				time.Sleep(cutDuration)
				f.network.restore()
				time.Sleep(faultTolerance)
			})

			close(stop)
			watching.Wait()

			for name, what := range suspected.suspected {
				t.Errorf("healthy upstream %s was %s", name, what)
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

				if after > faultTolerance && strings.HasPrefix(result.Stream, "Read") {
					late++
				}
			}

			for _, what := range slices.Sorted(maps.Keys(refusals)) {
				t.Logf("%d × %s", refusals[what], what)
			}

			if late > 0 {
				t.Errorf("%d reads sent more than %s after the cut were not answered, want none", late, faultTolerance)
			}

			t.Logf("%+v, oldest contact %s", report, suspected.oldestContact)
		})
	}
}
