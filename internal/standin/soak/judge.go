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
	// withdrawalBound is the time after which a withdrawn key must no longer work.
	withdrawalBound = 3 * time.Second
	// disturbanceMargin is how long after the end of a disturbance a connection may
	// still break because of it.
	disturbanceMargin = time.Second
)

// checkResults compares the outcomes that callers received with what upstreams ran, and adds
// a finding for each violation.
func (s *soak) checkResults(ctx context.Context, results []load.Result, faultsEndedAt time.Time) error {
	ran, leaks, err := s.cluster.CollectRuns(ctx, slices.Collect(maps.Values(s.keys)))
	if err != nil {
		return fmt.Errorf("collect runs of upstreams: %w", err)
	}

	if leaks > 0 {
		s.timeline.addFinding(fmt.Sprintf("upstreams saw a key in %d values", leaks))
	}

	report := load.Compare(results, s.streams(), ran, func(load.Result) bool { return true })
	s.logf("%+v", report)

	idempotent := make(map[string]bool)
	for _, stream := range s.streams() {
		idempotent[stream.Name] = stream.Idempotent
	}

	for _, result := range results {
		for _, finding := range append(
			s.outcomeFindings(result, ran[result.ID], idempotent[result.Stream]), s.serviceFindings(result, faultsEndedAt.Add(recoveryBound))...,
		) {
			s.timeline.addFinding(fmt.Sprintf("%s: %s, %d runs, sent at %s to daemon %d, answered after %s with %d %s",
				result.ID, finding, ran[result.ID], result.Sent.Format("15:04:05.000"),
				daemonIndex(s.cluster.CallerAddresses(), result.Daemon), result.Latency.Round(time.Millisecond), result.Status, result.Reason))
		}
	}

	if finding := limitFinding(results, ran); finding != "" {
		s.timeline.addFinding(finding)
	}

	if versions := s.distinctVersions(ctx); len(versions) != 1 {
		s.timeline.addFinding(fmt.Sprintf("daemons run versions %d after the faults", versions))
	}

	return nil
}

// outcomeFindings returns the violations of a request that must not happen at any time, also
// while faults are active.
func (s *soak) outcomeFindings(result load.Result, runs int, idempotent bool) []string {
	var findings []string

	addIf := func(violated bool, finding string) {
		if violated {
			findings = append(findings, finding)
		}
	}

	addIf(runs > 1 && !idempotent, "ran more than once")
	addIf(runs > 0 && !idempotent && result.Verdict == load.NotRun, "said not to have run")
	addIf(runs == 0 && result.Verdict == load.Ran, "answered without having run")
	addIf(result.Verdict == load.Wrong, "answered wrongly")

	daemon, answered := daemonIndex(s.cluster.CallerAddresses(), result.Daemon), result.Sent.Add(result.Latency)
	addIf(result.Verdict == load.Broken && !result.DialFailed &&
		!s.timeline.wasDisturbed(daemon, result.Sent, answered, disturbanceMargin, killDaemon, pauseDaemon), "lost")
	addIf(result.DialFailed && !s.allDisturbed(result.Sent, answered), "accepted by no daemon")

	if at := s.withdrawnAt.Load(); at != nil && result.Stream == "Withdrawn" {
		addIf(result.Verdict == load.Ran && result.Sent.Sub(*at) > withdrawalBound &&
			!s.timeline.wasDisturbed(daemon, *at, answered, withdrawalBound, pauseDaemon, holdPeers, delayPeers, resetPeers),
			"ran with a withdrawn key")
	}

	return findings
}

// allDisturbed reports whether every daemon was killed, stopped, paused or starting again at
// some time between from and to, so that none might have accepted a connection.
func (s *soak) allDisturbed(from, to time.Time) bool {
	for daemon := range s.cluster.Daemons {
		if !s.timeline.wasDisturbed(daemon, from, to, recoveryBound, killDaemon, stopDaemon, pauseDaemon) {
			return false
		}
	}

	return true
}

// serviceFindings returns a finding if a request was not served that was sent at or after
// recoveredAt, by which the fleet must have recovered from the faults.
func (s *soak) serviceFindings(result load.Result, recoveredAt time.Time) []string {
	if result.Sent.Before(recoveredAt) {
		return nil
	}

	withdrawn := s.withdrawnAt.Load() != nil && result.Stream == "Withdrawn"

	switch {
	case withdrawn && result.Status == http.StatusUnauthorized:
	case withdrawn:
		return []string{"not refused after the faults, though its key is withdrawn"}
	case result.Stream == "Limited" && result.Status == http.StatusTooManyRequests:
	case result.Stream == "Withdrawn" && s.withdrawalStarted.Load():
		// The withdraw command failed, so the key may or may not be withdrawn.
	case result.Verdict != load.Ran || result.Status >= http.StatusInternalServerError:
		return []string{"not served after the faults"}
	}

	return nil
}

// limitFinding returns a finding if the limited account got more requests than its rate and
// burst allow in some window, and "" otherwise. A request took its token at some time
// between its sending and its answer, so it counts in the windows that contain both. One
// request more is tolerated.
func limitFinding(results []load.Result, ran map[string]int) string {
	var admitted []load.Result

	for _, result := range results {
		if result.Stream == "Limited" && ran[result.ID] > 0 {
			admitted = append(admitted, result)
		}
	}

	slices.SortFunc(admitted, func(a, b load.Result) int { return a.Sent.Compare(b.Sent) })

	for i, first := range admitted {
		var ends []time.Time
		for _, result := range admitted[i:] {
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
