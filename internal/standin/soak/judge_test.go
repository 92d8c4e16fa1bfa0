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

// Guards against violations that are not reported, and against findings for effects that a
// fault explains.
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
		// dialFailed means that no daemon accepted a connection.
		dialFailed bool
		// fault is a disturbance of the daemon for 1 s from the request's sending, if
		// disturbed is set.
		fault     stepKind
		disturbed bool
		// withdrawn is the time from the key's withdrawal to the request's sending; 0 means
		// that the key was not withdrawn.
		withdrawn time.Duration
		want      []string
	}{
		{name: "answered", verdict: load.Ran, runs: 1},
		{name: "ran twice", verdict: load.Ran, runs: 2, want: []string{"ran more than once"}},
		{name: "read twice", verdict: load.Ran, runs: 2, idempotent: true},
		{name: "unknown, ran twice", verdict: load.Unknown, runs: 2, want: []string{"ran more than once"}},
		{name: "refused, ran", verdict: load.NotRun, runs: 1, want: []string{"said not to have run"}},
		{name: "refused", verdict: load.NotRun},
		{name: "answered, not run", verdict: load.Ran, want: []string{"answered without having run"}},
		{name: "wrong", verdict: load.Wrong, runs: 1, want: []string{"answered wrongly"}},
		{name: "lost", verdict: load.Broken, want: []string{"lost"}},
		{name: "not accepted", verdict: load.Broken, dialFailed: true, want: []string{"accepted by no daemon"}},
		{name: "not accepted, all stopped", verdict: load.Broken, dialFailed: true, fault: stopDaemon, disturbed: true},
		{name: "lost at a killed daemon", verdict: load.Broken, fault: killDaemon, disturbed: true},
		{name: "lost at a stopping daemon", verdict: load.Broken, fault: stopDaemon, disturbed: true, want: []string{"lost"}},
		{name: "withdrawn 1 s ago", stream: "Withdrawn", verdict: load.Ran, runs: 1, withdrawn: time.Second},
		{
			name: "withdrawn 4 s ago", stream: "Withdrawn", verdict: load.Ran, runs: 1, withdrawn: 4 * time.Second,
			want: []string{"ran with a withdrawn key"},
		},
		{
			name: "withdrawn 4 s ago, connections of peers held", stream: "Withdrawn", verdict: load.Ran, runs: 1, withdrawn: 4 * time.Second,
			fault: holdPeers, disturbed: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			s := newTestSoak(address)
			if c.disturbed {
				s.timeline.disturbances = []disturbance{{kind: c.fault, began: sent, ended: sent.Add(time.Second)}}
			}

			if c.withdrawn > 0 {
				at := sent.Add(-c.withdrawn)
				s.withdrawnAt.Store(&at)
			}

			result := load.Result{Stream: c.stream, Daemon: address, Sent: sent, Latency: time.Second, Verdict: c.verdict, DialFailed: c.dialFailed}

			if got := s.outcomeFindings(result, c.runs, c.idempotent); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// newTestSoak returns a soak of one daemon with the given caller address.
func newTestSoak(address netip.AddrPort) *soak {
	return &soak{
		Options: Options{Output: io.Discard}, cluster: &cluster.Cluster{Daemons: []*cluster.Daemon{{CallerAddress: address}}},
		restartCounts: make([]atomic.Int64, 1),
	}
}

// Guards against requests that are not served after the faults and not reported.
func TestServed(t *testing.T) {
	t.Parallel()

	recoveredAt := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

	for _, c := range []struct {
		name      string
		result    load.Result
		withdrawn bool
		want      int
	}{
		{"before the recovery", load.Result{Sent: recoveredAt.Add(-time.Second), Verdict: load.NotRun, Status: 503}, false, 0},
		{"served", load.Result{Sent: recoveredAt, Verdict: load.Ran, Status: 200}, false, 0},
		{"failed", load.Result{Sent: recoveredAt, Verdict: load.Ran, Status: 500}, false, 1},
		{"refused", load.Result{Sent: recoveredAt, Verdict: load.NotRun, Status: 503}, false, 1},
		{"above its limit", load.Result{Sent: recoveredAt, Stream: "Limited", Verdict: load.NotRun, Status: 429}, false, 0},
		{"limited account, refused with 503", load.Result{Sent: recoveredAt, Stream: "Limited", Verdict: load.NotRun, Status: 503}, false, 1},
		{"withdrawn", load.Result{Sent: recoveredAt, Stream: "Withdrawn", Verdict: load.NotRun, Status: 401}, true, 0},
		{"withdrawn, served", load.Result{Sent: recoveredAt, Stream: "Withdrawn", Verdict: load.Ran, Status: 200}, true, 1},
		{"not withdrawn, refused", load.Result{Sent: recoveredAt, Stream: "Withdrawn", Verdict: load.NotRun, Status: 401}, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			s := newTestSoak(netip.AddrPort{})
			if c.withdrawn {
				s.withdrawnAt.Store(&recoveredAt)
			}

			if got := s.serviceFindings(c.result, recoveredAt); len(got) != c.want {
				t.Errorf("got %q, want %d findings", got, c.want)
			}
		})
	}
}

// Guards against an exceeded limit that is not reported, and against a finding for a rate
// within the limit.
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

			if got := limitFinding(results, ran); (got != "") != c.want {
				t.Errorf("got %q, want a finding: %v", got, c.want)
			}
		})
	}
}

// Guards against runs that cannot be repeated from their seed, and against steps outside
// the run or the fleet.
func TestSchedule(t *testing.T) {
	t.Parallel()

	seen := make(map[stepKind]bool)

	for seed := range uint64(20) {
		steps := newSchedule(seed, 20*time.Second, 6, 4)
		if !slices.Equal(steps, newSchedule(seed, 20*time.Second, 6, 4)) {
			t.Fatalf("seed %d: got different schedules, want equal ones", seed)
		}

		for _, planned := range steps {
			seen[planned.kind] = true

			if planned.startAt >= 20*time.Second || planned.daemon >= 6 || planned.service >= 4 || planned.duration > maxDuration {
				t.Errorf("seed %d: got %s, want a step within the run and the fleet", seed, planned)
			}
		}
	}

	if len(seen) != int(kindCount) {
		t.Errorf("got %d kinds of steps over 20 seeds, want %d", len(seen), kindCount)
	}
}
