package soak

import (
	"io"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
)

// Guards against a soak that lets broken promises pass, or takes what a fault
// explains for one.
func TestOutcome(t *testing.T) {
	t.Parallel()

	sent := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	address := netip.MustParseAddrPort("127.0.0.1:1")

	for _, c := range []struct {
		name       string
		stream     string
		verdict    load.Verdict
		runs       int
		idempotent bool
		// unconnected requests were accepted by no daemon.
		unconnected bool
		// fault is a disturbance of the daemon for a second from the request on.
		fault     kind
		disturbed bool
		// withdrawn is how long before the request its key was withdrawn, if it was.
		withdrawn time.Duration
		want      []string
	}{
		{name: "answered", verdict: load.Ran, runs: 1},
		{name: "ran twice", verdict: load.Ran, runs: 2, want: []string{"ran more than once"}},
		{name: "read twice", verdict: load.Ran, runs: 2, idempotent: true},
		{name: "unknown, ran twice", verdict: load.Unknown, runs: 2, want: []string{"ran more than once"}},
		{name: "refused, ran", verdict: load.NotRun, runs: 1, want: []string{"said not to have run"}},
		{name: "refused", verdict: load.NotRun},
		{name: "answered from nowhere", verdict: load.Ran, want: []string{"answered without having run"}},
		{name: "wrong", verdict: load.Wrong, runs: 1, want: []string{"answered wrongly"}},
		{name: "lost", verdict: load.Broken, want: []string{"lost"}},
		{name: "not accepted", verdict: load.Broken, unconnected: true, want: []string{"accepted by no daemon"}},
		{name: "not accepted, all stopped", verdict: load.Broken, unconnected: true, fault: stopDaemon, disturbed: true},
		{name: "lost at a killed daemon", verdict: load.Broken, fault: killDaemon, disturbed: true},
		{name: "lost at a stopping daemon", verdict: load.Broken, fault: stopDaemon, disturbed: true, want: []string{"lost"}},
		{name: "withdrawn just now", stream: "Withdrawn", verdict: load.Ran, runs: 1, withdrawn: time.Second},
		{
			name: "withdrawn for long", stream: "Withdrawn", verdict: load.Ran, runs: 1, withdrawn: 4 * time.Second,
			want: []string{"ran with a withdrawn key"},
		},
		{
			name: "withdrawn behind a cut", stream: "Withdrawn", verdict: load.Ran, runs: 1, withdrawn: 4 * time.Second,
			fault: holdPeers, disturbed: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			s := newJudge(address)
			if c.disturbed {
				s.timeline.disturbances = []disturbance{{kind: c.fault, from: sent, to: sent.Add(time.Second)}}
			}

			if c.withdrawn > 0 {
				at := sent.Add(-c.withdrawn)
				s.withdrawnAt.Store(&at)
			}

			result := load.Result{Stream: c.stream, Daemon: address, Sent: sent, Latency: time.Second, Verdict: c.verdict, DialFailed: c.unconnected}

			if got := s.outcome(result, c.runs, c.idempotent); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func newJudge(address netip.AddrPort) *soak {
	return &soak{
		Options: Options{Output: io.Discard}, cluster: &cluster.Cluster{Daemons: []*cluster.Daemon{{CallerAddress: address}}},
		starts: make([]atomic.Int64, 1),
	}
}

// Guards against a fleet that does not serve again after the faults without a
// finding.
func TestServed(t *testing.T) {
	t.Parallel()

	from := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

	for _, c := range []struct {
		name      string
		result    load.Result
		withdrawn bool
		want      int
	}{
		{"before the calm", load.Result{Sent: from.Add(-time.Second), Verdict: load.NotRun, Status: 503}, false, 0},
		{"served", load.Result{Sent: from, Verdict: load.Ran, Status: 200}, false, 0},
		{"failed", load.Result{Sent: from, Verdict: load.Ran, Status: 500}, false, 1},
		{"refused", load.Result{Sent: from, Verdict: load.NotRun, Status: 503}, false, 1},
		{"above its limit", load.Result{Sent: from, Stream: "Limited", Verdict: load.NotRun, Status: 429}, false, 0},
		{"limit away", load.Result{Sent: from, Stream: "Limited", Verdict: load.NotRun, Status: 503}, false, 1},
		{"withdrawn", load.Result{Sent: from, Stream: "Withdrawn", Verdict: load.NotRun, Status: 401}, true, 0},
		{"withdrawn, served", load.Result{Sent: from, Stream: "Withdrawn", Verdict: load.Ran, Status: 200}, true, 1},
		{"not withdrawn, refused", load.Result{Sent: from, Stream: "Withdrawn", Verdict: load.NotRun, Status: 401}, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			s := newJudge(netip.AddrPort{})
			if c.withdrawn {
				s.withdrawnAt.Store(&from)
			}

			if got := s.served(c.result, from); len(got) != c.want {
				t.Errorf("got %q, want %d findings", got, c.want)
			}
		})
	}
}

// Guards against a limit that is exceeded without a finding.
func TestOverLimit(t *testing.T) {
	t.Parallel()

	at := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

	for _, c := range []struct {
		name     string
		requests int
		within   time.Duration
		want     bool
	}{
		{"the burst at once", limitedBurst, 0, false},
		{"more than the burst at once", limitedBurst + 2, 0, true},
		{"burst and rate", limitedBurst + 10*limitedRate, 10 * time.Second, false},
		{"above the rate", limitedBurst + 12*limitedRate, 10 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			var results []load.Result

			ran := make(map[string]int)

			for i := range c.requests {
				id := string(rune(i))
				ran[id] = 1
				results = append(results, load.Result{
					ID: id, Stream: "Limited", Sent: at.Add(c.within * time.Duration(i) / time.Duration(c.requests)),
				})
			}

			if got := overLimit(results, ran); (got != "") != c.want {
				t.Errorf("got %q, want a finding: %v", got, c.want)
			}
		})
	}
}

// Guards against runs that cannot be repeated from their seed, and steps outside
// the fleet.
func TestSchedule(t *testing.T) {
	t.Parallel()

	seen := make(map[kind]bool)

	for seed := range uint64(20) {
		steps := schedule(seed, 20*time.Second, 6, 4)
		if !slices.Equal(steps, schedule(seed, 20*time.Second, 6, 4)) {
			t.Fatalf("seed %d: got different schedules, want equal ones", seed)
		}

		for _, one := range steps {
			seen[one.kind] = true

			if one.at >= 20*time.Second || one.daemon >= 6 || one.service >= 4 || one.lasts > maxLasts {
				t.Errorf("seed %d: got %s, want a step within the run and the fleet", seed, one)
			}
		}
	}

	if len(seen) != int(kinds) {
		t.Errorf("got %d kinds of steps over 20 seeds, want %d", len(seen), kinds)
	}
}
