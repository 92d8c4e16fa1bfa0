package cluster_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/upstream"
)

// faultDuration is the time in which a run starts new faults.
const faultDuration = 18 * time.Second

// Guards against requests that run twice, refusals with the outcome NotRun of requests that
// ran, and answers that are incomplete or belong to another request. Meanwhile daemons are
// killed, frozen and restarted, the store is unavailable, and upstreams are slow or cut
// their answers.
func TestNonIdempotentRequestsUnderFaults(t *testing.T) {
	t.Parallel()

	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("Seed", seed), func(t *testing.T) {
			f := startFleet(t, 5, "Harbour", "Sluice")
			streams := []load.Stream{
				f.newStream("Harbour", "POST", "/bookings", 60),
				f.newStream("Sluice", "POST", "/launches", 60),
				f.newStream("Sluice", "GET", "/calendar/pond-1", 30),
			}
			stop := f.startTraffic(seed, streams...)
			f.injectFaults(rand.New(rand.NewPCG(seed, 0)))
			results := stop()
			f.checkOutcomes(results, streams)
		})
	}
}

// checkOutcomes compares the outcomes that callers received with the upstreams' records.
func (f *fleet) checkOutcomes(results []load.Result, streams []load.Stream) {
	f.t.Helper()

	ran := f.runCounts()
	report := load.Compare(results, streams, ran, func(load.Result) bool { return true })
	f.t.Logf("%+v", report)

	if report.Doubled > 0 || report.FalselyNotRun > 0 || report.Wrong > 0 {
		f.t.Errorf("got %d doubled, %d falsely not run, %d wrong, want none",
			report.Doubled, report.FalselyNotRun, report.Wrong)
	}

	for _, result := range results {
		if result.Verdict == load.Ran && ran[result.ID] == 0 || result.Verdict == load.Wrong {
			f.t.Errorf("%s ran %d times: %s %d %s", result.ID, ran[result.ID], result.Verdict, result.Status, result.Reason)
		}
	}

	if report.Ran < report.Requests/2 || report.Unknown+report.Lost == 0 {
		f.t.Errorf("got %d of %d ran and %d without a known outcome, want at least half and at least one",
			report.Ran, report.Requests, report.Unknown+report.Lost)
	}
}

// injectFaults injects faults into up to two daemons at a time, upstreams and the store. All
// of them have ended when it returns.
func (f *fleet) injectFaults(random *rand.Rand) {
	var group sync.WaitGroup

	broken := make(map[int]time.Time)

	for began := time.Now(); time.Since(began) < faultDuration; time.Sleep(randomMilliseconds(random, 300, 900)) {
		kind, daemon, length := random.IntN(7), random.IntN(len(f.Daemons)), randomMilliseconds(random, 1000, 6000)

		if kind < 4 {
			count := 0

			for _, until := range broken {
				if time.Now().Before(until) {
					count++
				}
			}

			if count >= 2 || time.Now().Before(broken[daemon]) {
				continue
			}

			// Leave a daemon at least 2 s between two faults.
			broken[daemon] = time.Now().Add(length + 2*time.Second)
		}

		group.Go(func() { f.injectFault(kind, f.Daemons[daemon], length) })
	}

	group.Wait()
}

// injectFault injects one fault for the given time and then ends it. The kind is 0 for a
// killed daemon, 1 or 2 for a paused daemon, 3 for a planned stop, 4 for an outage of the
// store, 5 for a slow upstream and 6 for an upstream that cuts answers or sends errors.
func (f *fleet) injectFault(kind int, daemon *cluster.Daemon, length time.Duration) {
	ctx := f.t.Context()
	service := []string{"Booking", "Launch"}[int(length/time.Millisecond)%2]

	switch kind {
	case 0:
		f.noError(f.KillDaemon(daemon))
		time.Sleep(length / 4)
		f.noError(f.StartDaemon(daemon))
	case 1, 2:
		f.noError(f.PauseDaemon(daemon))
		time.Sleep(length)
		f.noError(f.ResumeDaemon(daemon))
	case 3:
		f.noError(f.StopDaemon(daemon))
		f.noError(f.StartDaemon(daemon))
	case 4:
		f.noError(f.SetPlatformFaults(ctx, `{"Outage": true}`))
		time.Sleep(length)
		f.noError(f.SetPlatformFaults(ctx, `{}`))
	default:
		mode := upstream.Mode{SlowFactor: 60}
		if kind == 6 {
			mode = upstream.Mode{CutFraction: 0.4, BrokenFraction: 0.1}
		}

		f.noError(daemon.SetMode(ctx, service, mode))
		time.Sleep(length)
		f.noError(daemon.SetMode(ctx, service, upstream.Mode{}))
	}
}

// randomMilliseconds returns a random duration of least to most milliseconds, most excluded.
func randomMilliseconds(random *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+random.IntN(most-least)) * time.Millisecond
}

// Guards against a second run of a request that its caller repeats with the same
// Idempotency-Key at other daemons, concurrently or after the answer.
func TestRepeatsWithIdempotencyKeyRunOnce(t *testing.T) {
	const requests, copies = 40, 4

	f := startFleet(t, 4, "Harbour")
	verdicts := make([]load.Verdict, requests*copies)

	for n := range requests {
		var group sync.WaitGroup

		for i := range copies {
			repeat := func() {
				verdicts[n*copies+i] = f.sendBooking(fmt.Sprintf("repeated-%d", n), fmt.Sprintf("key-of-booking-%d", n), f.Daemons[(n+i)%len(f.Daemons)])
			}
			if n%2 == 0 {
				group.Go(repeat)
			} else {
				repeat()
			}
		}

		group.Wait()
	}

	ran := f.runCounts()

	for n := range requests {
		got := verdicts[n*copies : (n+1)*copies]
		if times := ran[fmt.Sprintf("repeated-%d", n)]; times != 1 || !slices.Contains(got, load.Ran) || slices.Contains(got, load.NotRun) {
			t.Errorf("request %d: got %d runs and verdicts %v, want 1 run, one Ran and no NotRun", n, times, got)
		}
	}
}

// sendBooking sends a booking with an Idempotency-Key and returns its verdict.
func (f *fleet) sendBooking(id, key string, daemon *cluster.Daemon) load.Verdict {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+daemon.CallerAddress.String()+"/bookings", strings.NewReader(id))
	if err != nil {
		f.noError(err)

		return load.Broken
	}

	request.Host = host
	request.Header.Set(load.RequestIDHeader, id)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Authorization", "Bearer "+f.keys["Harbour"])

	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		f.noError(err)

		return load.Broken
	}

	f.noError(answer.Body.Close())

	return load.Verdict(answer.Header.Get(load.OutcomeHeader))
}
