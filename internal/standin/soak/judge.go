package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/proxy"
)

var noFaults proxy.Faults

const (
	// withdrawalBound is within which a withdrawn key must stop working.
	withdrawalBound = 3 * time.Second
	// slack is how long after a disturbance a connection may still end because of it.
	slack = time.Second
)

// judge compares what callers were told with what upstreams ran.
func (s *soak) judge(ctx context.Context, results []load.Result, healedAt time.Time) error {
	ran, leaks, err := s.cluster.CollectRuns(ctx, slices.Collect(maps.Values(s.keys)))
	if err != nil {
		return fmt.Errorf("read what upstreams ran: %w", err)
	}

	if leaks > 0 {
		s.timeline.found(fmt.Sprintf("upstreams saw a key in %d values", leaks))
	}

	report := load.Compare(results, s.streams(), ran, func(load.Result) bool { return true })
	s.say("%+v", report)

	idempotent := make(map[string]bool)
	for _, stream := range s.streams() {
		idempotent[stream.Name] = stream.Idempotent
	}

	for _, result := range results {
		for _, finding := range append(
			s.outcome(result, ran[result.ID], idempotent[result.Stream]), s.served(result, healedAt.Add(recovery))...,
		) {
			s.timeline.found(fmt.Sprintf("%s: %s, %d runs, sent at %s to daemon %d, answered after %s with %d %s",
				result.ID, finding, ran[result.ID], result.Sent.Format("15:04:05.000"),
				daemonAt(s.cluster.CallerAddresses(), result.Daemon), result.Latency.Round(time.Millisecond), result.Status, result.Reason))
		}
	}

	if finding := overLimit(results, ran); finding != "" {
		s.timeline.found(finding)
	}

	if versions := s.versions(ctx); len(versions) != 1 {
		s.timeline.found(fmt.Sprintf("daemons run versions %d after the faults", versions))
	}

	return nil
}

// outcome returns how a request broke what must hold at all times.
func (s *soak) outcome(result load.Result, times int, idempotent bool) []string {
	var findings []string

	add := func(broken bool, finding string) {
		if broken {
			findings = append(findings, finding)
		}
	}

	add(times > 1 && !idempotent, "ran more than once")
	add(times > 0 && !idempotent && result.Verdict == load.NotRun, "said not to have run")
	add(times == 0 && result.Verdict == load.Ran, "answered without having run")
	add(result.Verdict == load.Wrong, "answered wrongly")

	daemon, answered := daemonAt(s.cluster.CallerAddresses(), result.Daemon), result.Sent.Add(result.Latency)
	add(result.Verdict == load.Broken && !result.DialFailed &&
		!s.timeline.disturbed(daemon, result.Sent, answered, slack, killDaemon, pauseDaemon), "lost")
	add(result.DialFailed && !s.allAway(result.Sent, answered), "accepted by no daemon")

	if at := s.withdrawnAt.Load(); at != nil && result.Stream == "Withdrawn" {
		add(result.Verdict == load.Ran && result.Sent.Sub(*at) > withdrawalBound &&
			!s.timeline.disturbed(daemon, *at, answered, withdrawalBound, pauseDaemon, holdPeers, delayPeers, resetPeers),
			"ran with a withdrawn key")
	}

	return findings
}

// allAway reports whether every daemon was stopped or killed from and to, or was
// starting again.
func (s *soak) allAway(from, to time.Time) bool {
	for daemon := range s.cluster.Daemons {
		if !s.timeline.disturbed(daemon, from, to, recovery, killDaemon, stopDaemon, pauseDaemon) {
			return false
		}
	}

	return true
}

// served returns how a request of the calm time was not served.
func (s *soak) served(result load.Result, from time.Time) []string {
	if result.Sent.Before(from) {
		return nil
	}

	withdrawn := s.withdrawnAt.Load() != nil && result.Stream == "Withdrawn"

	switch {
	case withdrawn && result.Status == http.StatusUnauthorized:
	case withdrawn:
		return []string{"not refused after the faults, though its key is withdrawn"}
	case result.Stream == "Limited" && result.Status == http.StatusTooManyRequests:
	case result.Stream == "Withdrawn" && s.withdrawing.Load():
		// The operator was not told whether the key was withdrawn.
	case result.Verdict != load.Ran || result.Status >= http.StatusInternalServerError:
		return []string{"not served after the faults"}
	}

	return nil
}

// overLimit returns how the limited account got more than its rate and burst in a
// window, or "". A request took its token between when it was sent and answered.
func overLimit(results []load.Result, ran map[string]int) string {
	var list []load.Result

	for _, result := range results {
		if result.Stream == "Limited" && ran[result.ID] > 0 {
			list = append(list, result)
		}
	}

	slices.SortFunc(list, func(a, b load.Result) int { return a.Sent.Compare(b.Sent) })

	for i, first := range list {
		var ends []time.Time
		for _, result := range list[i:] {
			ends = append(ends, result.Sent.Add(result.Latency))
		}

		slices.SortFunc(ends, time.Time.Compare)

		for n, end := range ends {
			if length := end.Sub(first.Sent); float64(n+1) > limitedBurst+limitedRate*length.Seconds()+1 {
				return fmt.Sprintf("%d requests of %s ran within %s", n+1, limitedAccount, length)
			}
		}
	}

	return ""
}
