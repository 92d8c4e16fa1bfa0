package cluster_test

import (
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/upstream"
)

// drainBound is R9's bound.
const drainBound = 3 * time.Second

// Guards against requests that reach an upstream after it, or an operator,
// said that it is leaving.
func TestDrainingUpstreamGetsNothingNew(t *testing.T) {
	f := start(t, 5, "Harbour", "Sluice")
	streams := []load.Stream{
		f.stream("Harbour", "POST", "/bookings", 60),
		f.stream("Sluice", "GET", "/calendar/pond", 60),
	}
	stop := f.traffic(5, streams...)

	time.Sleep(time.Second)

	announced, drained := f.Daemons[1], f.Daemons[3]
	f.must(announced.SetMode(t.Context(), "Calendar", upstream.Mode{Drain: true}))
	f.client("", "drain", drained.Name+"-Booking")
	time.Sleep(drainBound)

	before := f.arrived(t, announced.Name+"-Calendar", drained.Name+"-Booking")

	time.Sleep(2 * drainBound)

	after := f.arrived(t, announced.Name+"-Calendar", drained.Name+"-Booking")

	for name, want := range before {
		if got := after[name]; got != want || want == 0 {
			t.Errorf("%s: got %d requests, want %d as 3 s after its drain began, and some", name, got, want)
		}
	}

	f.undisturbed(stop(), streams)
}

// arrived returns how many requests have arrived at upstreams, by name.
func (f *fleet) arrived(t *testing.T, names ...string) map[string]int {
	t.Helper()

	counts := make(map[string]int)

	for _, name := range names {
		record, err := f.UpstreamRecord(t.Context(), name)
		f.must(err)

		counts[name] = record.Arrived
	}

	return counts
}

// undisturbed checks that every request ran once and was answered.
func (f *fleet) undisturbed(results []load.Result, streams []load.Stream) {
	f.t.Helper()

	report := load.Compare(results, streams, f.runs(), func(load.Result) bool { return false })
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

// Guards against requests that are cut or falsely refused when daemons are
// stopped as planned while their callers keep connections open.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := start(t, 5, "Harbour", "Sluice")
	streams := []load.Stream{
		f.stream("Harbour", "POST", "/bookings", 60),
		f.stream("Sluice", "POST", "/launches", 40),
		f.stream("Sluice", "GET", "/calendar/pond", 60),
	}
	stop := f.traffic(6, streams...)

	for _, daemon := range f.Daemons[:3] {
		time.Sleep(time.Second)
		f.must(f.StopDaemon(daemon))
		f.must(f.StartDaemon(daemon))
		// The next one stops when this one serves again.
		f.within(configurationBound, daemon.Name+" runs the configuration", func() bool {
			status, ok := f.status(daemon)

			return ok && status.ConfigurationVersion > 0
		})
	}

	time.Sleep(2 * time.Second)
	f.undisturbed(stop(), streams)
}
