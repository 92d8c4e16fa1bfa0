package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/cluster"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/load"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/upstream"
)

// stages returns the stages in the order of their start. The last one only ends the traffic.
func (d *demo) stages() []stage {
	return []stage{
		{12 * time.Second, "one Calendar upstream turns gray: 10 times slower, its probe stays healthy", d.makeUpstreamGray},
		{15 * time.Second, "the key of ClubAncon is withdrawn while its callers stay connected", d.withdrawKey},
		{18 * time.Second, "the platform's store becomes unavailable", d.setOutage(true)},
		{20 * time.Second, "one daemon is stopped gracefully and started again while the store is unavailable", d.restartDaemon},
		{28 * time.Second, "the store is available again", d.setOutage(false)},
		{31 * time.Second, "the traffic ends", func(context.Context) error { return nil }},
	}
}

// makeUpstreamGray slows an upstream down by a factor of 10 and starts to wait for its
// detection.
func (d *demo) makeUpstreamGray(ctx context.Context) error {
	daemon := d.cluster.Daemons[3]
	d.grayUpstream = daemon.Name + "-Calendar"
	d.turnedGrayAt = time.Now()

	if err := daemon.SetMode(ctx, "Calendar", upstream.Mode{SlowFactor: 10}); err != nil {
		return fmt.Errorf("set mode: %w", err)
	}

	go d.waitForSuspicion(context.WithoutCancel(ctx), daemon)

	return nil
}

// waitForSuspicion waits up to 20 s until the gray upstream is suspect and sets detectionTime.
// It asks the daemon beside the upstream, which decides on the suspicion; other daemons learn
// of it only when they send the upstream a request.
func (d *demo) waitForSuspicion(ctx context.Context, daemon *cluster.Daemon) {
	client, closeClient := operator.NewClient("demo")
	defer closeClient()

	for time.Since(d.turnedGrayAt) < 20*time.Second && d.detectionTime == 0 {
		upstreams, outcome := client.Upstreams(ctx, daemon.OperatorAddress)
		if outcome == operator.Confirmed && slices.ContainsFunc(upstreams, d.isSuspect) {
			d.detectionTime = time.Since(d.turnedGrayAt)
		}

		time.Sleep(100 * time.Millisecond)
	}
}

func (d *demo) isSuspect(upstream operator.Upstream) bool {
	return upstream.Name == d.grayUpstream && upstream.Suspect
}

// withdrawKey withdraws the key of ClubAncon.
func (d *demo) withdrawKey(ctx context.Context) error {
	d.withdrawnAt = time.Now()

	output, err := d.cluster.RunClientWithInput(ctx, d.keys["ClubAncon"]+"\n", "--operator", "demo", "key", "withdraw")
	if err != nil {
		return fmt.Errorf("withdraw key: %w", err)
	}

	d.printf("        %s", strings.TrimSpace(output))

	return nil
}

// setOutage returns a function that starts an outage of the platform's store or, if
// unavailable is false, ends it.
func (d *demo) setOutage(unavailable bool) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := d.cluster.SetPlatformFaults(ctx, fmt.Sprintf(`{"Outage": %v}`, unavailable)); err != nil {
			return fmt.Errorf("set outage: %w", err)
		}

		return nil
	}
}

// restartDaemon stops a daemon to which no stream is pinned and starts it again, without any
// state from its first run.
func (d *demo) restartDaemon(context.Context) error {
	daemon := d.cluster.Daemons[5]
	if err := d.cluster.StopDaemon(daemon); err != nil {
		return fmt.Errorf("stop daemon %s: %w", daemon.Name, err)
	}

	return d.cluster.StartDaemon(daemon)
}

// report prints the table of outcomes and returns an error if a guarantee was violated.
func (d *demo) report(ctx context.Context, results []load.Result) error {
	ran, leaks, err := d.cluster.CollectRuns(ctx, slices.Collect(maps.Values(d.keys)))
	if err != nil {
		return err
	}

	d.printf("")

	table := tabwriter.NewWriter(d.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CALLERS\tACCOUNT\tSENT\tRAN\tNOT RUN\tUNKNOWN\tLOST\tDOUBLED\tFALSELY REFUSED\tWRONG\tP50\tP99")

	var violations []string

	for _, stream := range streams(d.keys) {
		report := load.Compare(results, []load.Stream{stream}, ran, d.isJustified)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", stream.Name, stream.ClientAccount,
			report.Requests, report.Ran, report.NotRun, report.Unknown, report.Lost, report.Doubled,
			report.FalselyRefused+report.FalselyNotRun, report.Wrong,
			report.P50.Round(100*time.Microsecond), report.P99.Round(100*time.Microsecond))

		if !report.HasNoViolations() {
			violations = append(violations, "requests of "+stream.Name+" were lost, doubled, falsely refused or wrongly answered")
		}
	}

	_ = table.Flush()

	violations = append(violations, d.checkBounds(results, leaks)...)
	d.printFailures(results)

	if len(violations) > 0 {
		return errors.New(strings.Join(violations, "; "))
	}

	d.printf("no request was lost, doubled, falsely refused or wrongly answered")

	return nil
}

// checkBounds prints the detection time, how long the withdrawn key worked and how many
// recorded values contain a key, and returns the violations.
func (d *demo) checkBounds(results []load.Result, leaks int) []string {
	var violations []string

	if d.detectionTime > 0 {
		d.printf("\nthe gray upstream %s became suspect %.1f s after it turned gray", d.grayUpstream, d.detectionTime.Seconds())
	} else {
		d.printf("\nthe gray upstream %s did not become suspect", d.grayUpstream)

		violations = append(violations, "the gray upstream did not become suspect")
	}

	lastUse := d.lastUseAfterWithdrawal(results)
	d.printf("the withdrawn key last worked %.2f s after its withdrawal began", lastUse.Seconds())

	if lastUse > withdrawalBound {
		violations = append(violations, "the withdrawn key worked for too long")
	}

	d.printf("keys seen by upstreams: %d", leaks)

	if leaks > 0 {
		violations = append(violations, "an upstream saw a key")
	}

	return violations
}

// lastUseAfterWithdrawal returns the time from the withdrawal to the sending of the last
// request that carried the withdrawn key and still ran, or 0 if there was none.
func (d *demo) lastUseAfterWithdrawal(results []load.Result) time.Duration {
	var lastUse time.Duration

	for _, result := range results {
		if result.Stream == "Withdrawn" && result.Verdict == load.Ran {
			lastUse = max(lastUse, result.Sent.Sub(d.withdrawnAt))
		}
	}

	return lastUse
}

// isJustified reports whether a refusal is correct: one over the limit of the account that
// sends ten times its rate, or one of the withdrawn key.
func (d *demo) isJustified(result load.Result) bool {
	switch result.Stream {
	case "Flood":
		return result.Status == http.StatusTooManyRequests
	case "Withdrawn":
		return result.Status == http.StatusUnauthorized && result.Sent.After(d.withdrawnAt)
	}

	return false
}

// printFailures prints how many requests did not run for each reason, without justified
// refusals.
func (d *demo) printFailures(results []load.Result) {
	reasons := make(map[string]int)

	for _, result := range results {
		if result.Verdict != load.Ran && !d.isJustified(result) {
			reasons[fmt.Sprintf("%s %s %d %s", result.Stream, result.Verdict, result.Status, refusalReason(result.Reason))]++
		}
	}

	for text, count := range reasons {
		d.printf("  %d × %s", count, text)
	}
}

// refusalReason returns the reason and detail of a refusal's JSON body. If the text is not
// such a body, it returns the text.
func refusalReason(text string) string {
	var refusal struct{ Reason, Detail string }
	if json.Unmarshal([]byte(text), &refusal) == nil && refusal.Reason != "" {
		return refusal.Reason + ": " + refusal.Detail
	}

	return text
}
