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

// faultTime is how long faults go on in a run.
const faultTime = 18 * time.Second

// Guards against requests that run twice, refusals that falsely say "not run",
// and answers that are incomplete or another request's, while daemons die,
// freeze and restart, the store goes away and upstreams are slow or cut answers.
func TestNonIdempotentRequestsUnderFaults(t *testing.T) {
	t.Parallel()

	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("Seed", seed), func(t *testing.T) {
			f := start(t, 5, "Harbour", "Sluice")
			streams := []load.Stream{
				f.stream("Harbour", "POST", "/bookings", 60),
				f.stream("Sluice", "POST", "/launches", 60),
				f.stream("Sluice", "GET", "/calendar/pond-1", 30),
			}
			stop := f.traffic(seed, streams...)
			f.faults(rand.New(rand.NewPCG(seed, 0)))
			results := stop()
			f.judge(results, streams)
		})
	}
}

// judge compares what callers were told with what ran.
func (f *fleet) judge(results []load.Result, streams []load.Stream) {
	f.t.Helper()

	ran := f.runs()
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

// faults breaks up to two daemons at a time, upstreams and the store, and
// repairs everything before it returns.
func (f *fleet) faults(random *rand.Rand) {
	var group sync.WaitGroup

	broken := make(map[int]time.Time)

	for began := time.Now(); time.Since(began) < faultTime; time.Sleep(duration(random, 300, 900)) {
		kind, daemon, length := random.IntN(7), random.IntN(len(f.Daemons)), duration(random, 1000, 6000)

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

			// A daemon is not broken again right after it is back.
			broken[daemon] = time.Now().Add(length + 2*time.Second)
		}

		group.Go(func() { f.fault(kind, f.Daemons[daemon], length) })
	}

	group.Wait()
}

// fault breaks one thing for the given time.
func (f *fleet) fault(kind int, daemon *cluster.Daemon, length time.Duration) {
	ctx := f.t.Context()
	service := []string{"Booking", "Launch"}[int(length/time.Millisecond)%2]

	switch kind {
	case 0:
		f.must(f.KillDaemon(daemon))
		time.Sleep(length / 4)
		f.must(f.StartDaemon(daemon))
	case 1, 2:
		f.must(f.PauseDaemon(daemon))
		time.Sleep(length)
		f.must(f.ResumeDaemon(daemon))
	case 3:
		f.must(f.StopDaemon(daemon))
		f.must(f.StartDaemon(daemon))
	case 4:
		f.must(f.SetPlatformFaults(ctx, `{"Outage": true}`))
		time.Sleep(length)
		f.must(f.SetPlatformFaults(ctx, `{}`))
	default:
		mode := upstream.Mode{SlowFactor: 60}
		if kind == 6 {
			mode = upstream.Mode{CutFraction: 0.4, BrokenFraction: 0.1}
		}

		f.must(daemon.SetMode(ctx, service, mode))
		time.Sleep(length)
		f.must(daemon.SetMode(ctx, service, upstream.Mode{}))
	}
}

func duration(random *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+random.IntN(most-least)) * time.Millisecond
}

// Guards against a second run when a caller repeats a request with its
// Idempotency-Key at other daemons, at once or after the answer.
func TestRepeatsWithIdempotencyKeyRunOnce(t *testing.T) {
	const requests, copies = 40, 4

	f := start(t, 4, "Harbour")
	verdicts := make([]load.Verdict, requests*copies)

	for n := range requests {
		var group sync.WaitGroup

		for i := range copies {
			repeat := func() {
				verdicts[n*copies+i] = f.book(fmt.Sprintf("repeated-%d", n), fmt.Sprintf("key-of-booking-%d", n), f.Daemons[(n+i)%len(f.Daemons)])
			}
			if n%2 == 0 {
				group.Go(repeat)
			} else {
				repeat()
			}
		}

		group.Wait()
	}

	ran := f.runs()

	for n := range requests {
		got := verdicts[n*copies : (n+1)*copies]
		if times := ran[fmt.Sprintf("repeated-%d", n)]; times != 1 || !slices.Contains(got, load.Ran) || slices.Contains(got, load.NotRun) {
			t.Errorf("request %d: got %d runs and verdicts %v, want 1 run, one Ran and no NotRun", n, times, got)
		}
	}
}

// book sends a booking with an Idempotency-Key and returns its outcome.
func (f *fleet) book(id, key string, daemon *cluster.Daemon) load.Verdict {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+daemon.CallerAddress.String()+"/bookings", strings.NewReader(id))
	if err != nil {
		f.must(err)

		return load.Broken
	}

	request.Host = host
	request.Header.Set(load.RequestIDHeader, id)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Authorization", "Bearer "+f.keys["Harbour"])

	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		f.must(err)

		return load.Broken
	}

	f.must(answer.Body.Close())

	return load.Verdict(answer.Header.Get(load.OutcomeHeader))
}
