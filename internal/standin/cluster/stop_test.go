package cluster_test

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/upstream"
)

// drainBound is the bound of R9 for new requests to a draining upstream to stop.
const drainBound = 3 * time.Second

// Guards against requests that reach an upstream after the upstream itself, or an operator,
// started to drain it.
func TestDrainingUpstreamGetsNothingNew(t *testing.T) {
	f := startFleet(t, 5, "Harbour", "Sluice")
	streams := []load.Stream{
		f.newStream("Harbour", "POST", "/bookings", 60),
		f.newStream("Sluice", "GET", "/calendar/pond", 60),
	}
	stop := f.startTraffic(5, streams...)

	time.Sleep(time.Second)

	announced, drained := f.Daemons[1], f.Daemons[3]
	f.noError(announced.SetMode(t.Context(), "Calendar", upstream.Mode{Drain: true}))
	f.runClient("", "drain", drained.Name+"-Booking")
	time.Sleep(drainBound)

	before := f.arrivals(t, announced.Name+"-Calendar", drained.Name+"-Booking")

	time.Sleep(2 * drainBound)

	after := f.arrivals(t, announced.Name+"-Calendar", drained.Name+"-Booking")

	for name, want := range before {
		if got := after[name]; got != want || want == 0 {
			t.Errorf("%s: got %d requests, want %d as 3 s after its drain began, and some", name, got, want)
		}
	}

	f.checkAllRanOnce(stop(), streams)
}

// arrivals returns the number of requests that arrived at each named upstream.
func (f *fleet) arrivals(t *testing.T, names ...string) map[string]int {
	t.Helper()

	counts := make(map[string]int)

	for _, name := range names {
		record, err := f.UpstreamRecord(t.Context(), name)
		f.noError(err)

		counts[name] = record.Arrived
	}

	return counts
}

// checkAllRanOnce fails the test unless every request ran once and was answered.
func (f *fleet) checkAllRanOnce(results []load.Result, streams []load.Stream) {
	f.t.Helper()

	report := load.Compare(results, streams, f.runCounts(), func(load.Result) bool { return false })
	f.t.Logf("%+v", report)

	if !report.HasNoViolations() || report.Unknown > 0 || report.Requests == 0 {
		f.t.Errorf("got %+v, want all requests to run once", report)
	}

	for _, result := range results {
		if result.Verdict != load.Ran {
			f.t.Errorf("%s sent at %s: %s %d %s", result.ID, result.Sent.Format(time.StampMilli), result.Verdict, result.Status, result.Reason)
		}
	}
}

// Guards against requests that are cut or falsely refused when daemons are stopped
// gracefully while callers keep connections open.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := startFleet(t, 5, "Harbour", "Sluice")
	streams := []load.Stream{
		f.newStream("Harbour", "POST", "/bookings", 60),
		f.newStream("Sluice", "POST", "/launches", 40),
		f.newStream("Sluice", "GET", "/calendar/pond", 60),
	}
	stop := f.startTraffic(6, streams...)

	for _, daemon := range f.Daemons[:3] {
		time.Sleep(time.Second)
		f.noError(f.StopDaemon(daemon))
		f.noError(f.StartDaemon(daemon))
		// The next daemon is stopped only when this one serves again.
		f.waitUntil(configurationBound, daemon.Name+" runs the configuration", func() bool {
			status, ok := f.status(daemon)

			return ok && status.ConfigurationVersion > 0
		})
	}

	time.Sleep(2 * time.Second)
	f.checkAllRanOnce(stop(), streams)
}
