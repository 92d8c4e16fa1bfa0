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
	// Rate and burst of Jetty in testingTeam. It sends ten times its rate. The
	// burst is more than a takeover of at most 4.3 s forgoes, so that a granter
	// which starts with a full bucket exceeds the bound.
	jettyRate  = 20
	jettyBurst = 200
	// takeoverBound is L × 1.1 + 1 s of 3.4, and the time in which the rate of
	// 5/s works off what 3/s have left in it.
	takeoverBound = 3300*time.Millisecond + time.Second + 2*time.Second
)

// Guards against a client account that gets more than rate × t + burst when the
// granter of its group dies or is frozen past its lease, and against refusals of
// client accounts that stay inside their rate. Each daemon is frozen or killed
// in turn, so that each granter is.
func TestLimitHoldsWhenGranterFails(t *testing.T) {
	f := start(t, 5, "Jetty", "Sluice", "EscuelaLince")
	inside := []load.Stream{
		f.stream("Sluice", "GET", "/bookings", 30),
		f.stream("EscuelaLince", "GET", "/launches", 3),
	}
	// The tokens that the set-up used up are back.
	time.Sleep(4 * time.Second)

	stop := f.traffic(4, append(inside, f.stream("Jetty", "GET", "/calendar/pond", 10*jettyRate))...)

	time.Sleep(3 * time.Second)

	var takeovers []window

	for n, daemon := range f.Daemons {
		fault := window{from: time.Now()}

		if n == 2 {
			f.must(f.SetPlatformFaults(t.Context(), `{"Outage": true}`))
		}

		if n%2 == 0 {
			f.must(f.PauseDaemon(daemon))
			time.Sleep(4500 * time.Millisecond)
			f.must(f.ResumeDaemon(daemon))
		} else {
			f.must(f.KillDaemon(daemon))
			time.Sleep(time.Second)
			f.must(f.StartDaemon(daemon))
		}

		fault.to = time.Now().Add(takeoverBound)
		takeovers = append(takeovers, fault)

		time.Sleep(takeoverBound + 2*time.Second)
	}

	f.must(f.SetPlatformFaults(context.WithoutCancel(t.Context()), `{}`))
	results := stop()

	var admitted []load.Result

	refused, during := make(map[string]int), make(map[string]int)

	for _, result := range results {
		switch {
		case result.Stream == "calendar/pondGET":
			if result.Verdict == load.Ran {
				admitted = append(admitted, result)
			}
		case result.Status == http.StatusTooManyRequests && !overlaps(result, takeovers):
			refused[result.Stream]++
		case result.Verdict == load.NotRun:
			during[fmt.Sprintf("%s %d", result.Stream, result.Status)]++
		}
	}

	t.Logf("admitted %d; inside their rate and not run during takeovers, by status: %v", len(admitted), during)

	if len(refused) > 0 {
		t.Errorf("client accounts inside their rate got refusals over the limit: %v, want none", refused)
	}

	if least := 10 * jettyRate; len(admitted) < least {
		t.Errorf("got %d admitted requests, want at least %d", len(admitted), least)
	}

	if excess, length := worstWindow(admitted); excess > 0 {
		t.Errorf("got %.0f requests more than rate × t + burst in a window of %s, want none", excess, length)
	}
}

// window is a time in which a group may be without a granter.
type window struct{ from, to time.Time }

func overlaps(result load.Result, windows []window) bool {
	return slices.ContainsFunc(windows, func(w window) bool {
		return result.Sent.Before(w.to) && result.Sent.Add(result.Latency).After(w.from)
	})
}

// worstWindow returns how far the admitted requests exceed rate × t + burst in
// the worst window, and its length. A request was admitted between its sending
// and its answer, so that it counts in the windows that hold both.
func worstWindow(admitted []load.Result) (excess float64, worst time.Duration) {
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
