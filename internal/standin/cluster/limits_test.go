package cluster_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
)

const (
	// jettyRate and jettyBurst are the rate and burst of Jetty in testTeam; the test sends
	// 10 times the rate. A takeover lasts at most 4.3 s, and the burst is larger than
	// the tokens of that time. A granter that starts with a full bucket after a takeover
	// therefore exceeds the bound.
	jettyRate  = 20
	jettyBurst = 200
	// takeoverBound is L × 1.1 + 1 s of section 3.4, plus 2 s in which the rate of 5/s
	// serves what requests at 3/s have accumulated during the takeover.
	takeoverBound = 3300*time.Millisecond + time.Second + 2*time.Second
)

// Guards against a client account that gets more than rate × t + burst when the granter of
// its group is killed or frozen past its lease, and against refusals of client accounts
// that stay within their rate. Each daemon is frozen or killed in turn, so that every
// granter is frozen or killed at least once.
func TestLimitHoldsWhenGranterFails(t *testing.T) {
	f := startFleet(t, 5, "Jetty", "Sluice", "EscuelaLince")
	compliant := []load.Stream{
		f.newStream("Sluice", "GET", "/bookings", 30),
		f.newStream("EscuelaLince", "GET", "/launches", 3),
	}
	// Let the buckets refill, because the set-up has used tokens.
	time.Sleep(4 * time.Second)

	stop := f.startTraffic(4, append(compliant, f.newStream("Jetty", "GET", "/calendar/pond", 10*jettyRate))...)

	time.Sleep(3 * time.Second)

	var takeovers []window

	for n, daemon := range f.Daemons {
		fault := window{from: time.Now()}

		if n == 2 {
			f.noError(f.SetPlatformFaults(t.Context(), `{"Outage": true}`))
		}

		if n%2 == 0 {
			f.noError(f.PauseDaemon(daemon))
			time.Sleep(4500 * time.Millisecond)
			f.noError(f.ResumeDaemon(daemon))
		} else {
			f.noError(f.KillDaemon(daemon))
			time.Sleep(time.Second)
			f.noError(f.StartDaemon(daemon))
		}

		fault.to = time.Now().Add(takeoverBound)
		takeovers = append(takeovers, fault)

		time.Sleep(takeoverBound + 2*time.Second)
	}

	f.noError(f.SetPlatformFaults(context.WithoutCancel(t.Context()), `{}`))
	results := stop()

	var admitted []load.Result

	refused, notRunInTakeover := make(map[string]int), make(map[string]int)

	for _, result := range results {
		switch {
		case result.Stream == "calendar/pondGET":
			if result.Verdict == load.Ran {
				admitted = append(admitted, result)
			}
		case result.Status == http.StatusTooManyRequests && !overlapsAny(result, takeovers):
			refused[result.Stream]++
		case result.Verdict == load.NotRun:
			notRunInTakeover[fmt.Sprintf("%s %d", result.Stream, result.Status)]++
		}
	}

	t.Logf("admitted %d; inside their rate and not run during takeovers, by status: %v", len(admitted), notRunInTakeover)

	if len(refused) > 0 {
		t.Errorf("client accounts inside their rate got refusals over the limit: %v, want none", refused)
	}

	if least := 10 * jettyRate; len(admitted) < least {
		t.Errorf("got %d admitted requests, want at least %d", len(admitted), least)
	}

	if excess, length := largestExcess(admitted); excess > 0 {
		t.Errorf("got %.0f requests more than rate × t + burst in a window of %s, want none", excess, length)
	}
}

// window is a time span in which a group may have no granter.
type window struct{ from, to time.Time }

func overlapsAny(result load.Result, windows []window) bool {
	return slices.ContainsFunc(windows, func(w window) bool {
		return result.Sent.Before(w.to) && result.Sent.Add(result.Latency).After(w.from)
	})
}

// largestExcess returns by how many requests the admitted requests exceed rate × t + burst in
// the worst window, and the window's length. A request was admitted at some time between its
// sending and its answer, so it counts only in windows that contain both.
func largestExcess(admitted []load.Result) (excess float64, worst time.Duration) {
	end := func(result load.Result) time.Time { return result.Sent.Add(result.Latency) }
	slices.SortFunc(admitted, func(a, b load.Result) int { return end(a).Compare(end(b)) })

	for _, first := range admitted {
		count := 0

		for _, last := range admitted {
			if last.Sent.Before(first.Sent) {
				continue
			}

			count++

			length := end(last).Sub(first.Sent)
			if over := float64(count) - jettyRate*length.Seconds() - jettyBurst; over > excess {
				excess, worst = over, length
			}
		}
	}

	return excess, worst
}
