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

func (d *demo) stages() []stage {
	return []stage{
		{12 * time.Second, "one Calendar upstream turns gray: 10 times slower, its probe stays healthy", d.turnGray},
		{15 * time.Second, "the key of ClubAncon is withdrawn while its callers stay connected", d.withdraw},
		{18 * time.Second, "the platform's store goes away", d.outage(true)},
		{20 * time.Second, "one daemon is stopped as planned and started again, with the store away", d.replace},
		{28 * time.Second, "the store comes back", d.outage(false)},
		{31 * time.Second, "the traffic ends", func(context.Context) error { return nil }},
	}
}

func (d *demo) turnGray(ctx context.Context) error {
	owner := d.cluster.Daemons[3]
	d.gray = owner.Name + "-Calendar"
	d.grayAt = time.Now()

	if err := owner.SetMode(ctx, "Calendar", upstream.Mode{SlowFactor: 10}); err != nil {
		return fmt.Errorf("set the mode: %w", err)
	}

	go d.watchSuspicion(context.WithoutCancel(ctx), owner)

	return nil
}

// watchSuspicion notes when the gray upstream was suspect. The daemon beside it
// decides that; others learn of it when they send it a request.
func (d *demo) watchSuspicion(ctx context.Context, owner *cluster.Daemon) {
	client, closeClient := operator.NewClient("demo")
	defer closeClient()

	for time.Since(d.grayAt) < 20*time.Second && d.suspectAfter == 0 {
		upstreams, outcome := client.Upstreams(ctx, owner.OperatorAddress)
		if outcome == operator.Confirmed && slices.ContainsFunc(upstreams, d.isSuspect) {
			d.suspectAfter = time.Since(d.grayAt)
		}

		time.Sleep(100 * time.Millisecond)
	}
}

func (d *demo) isSuspect(upstream operator.Upstream) bool {
	return upstream.Name == d.gray && upstream.Suspect
}

func (d *demo) withdraw(ctx context.Context) error {
	d.withdrawnAt = time.Now()

	output, err := d.cluster.RunClientWithInput(ctx, d.keys["ClubAncon"]+"\n", "--operator", "demo", "key", "withdraw")
	if err != nil {
		return fmt.Errorf("withdraw: %w", err)
	}

	d.say("        %s", strings.TrimSpace(output))

	return nil
}

func (d *demo) outage(away bool) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := d.cluster.SetPlatformFaults(ctx, fmt.Sprintf(`{"Outage": %v}`, away)); err != nil {
			return fmt.Errorf("switch the outage: %w", err)
		}

		return nil
	}
}

// replace stops a daemon that no caller is pinned to and starts it anew with
// nothing kept.
func (d *demo) replace(context.Context) error {
	daemon := d.cluster.Daemons[5]
	if err := d.cluster.StopDaemon(daemon); err != nil {
		return fmt.Errorf("stop daemon %s: %w", daemon.Name, err)
	}

	return d.cluster.StartDaemon(daemon)
}

// report prints the table and judges it.
func (d *demo) report(ctx context.Context, results []load.Result) error {
	ran, leaks, err := d.cluster.CollectRuns(ctx, slices.Collect(maps.Values(d.keys)))
	if err != nil {
		return err
	}

	d.say("")

	table := tabwriter.NewWriter(d.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CALLERS\tACCOUNT\tSENT\tRAN\tNOT RUN\tUNKNOWN\tLOST\tDOUBLED\tFALSELY REFUSED\tWRONG\tP50\tP99")

	var problems []string

	for _, stream := range streams(d.keys) {
		report := load.Compare(results, []load.Stream{stream}, ran, d.justified)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", stream.Name, stream.ClientAccount,
			report.Requests, report.Ran, report.NotRun, report.Unknown, report.Lost, report.Doubled,
			report.FalselyRefused+report.FalselyNotRun, report.Wrong,
			report.P50.Round(100*time.Microsecond), report.P99.Round(100*time.Microsecond))

		if !report.HasNoViolations() {
			problems = append(problems, "requests of "+stream.Name+" were lost, doubled, falsely refused or wrongly answered")
		}
	}

	_ = table.Flush()

	problems = append(problems, d.bounds(results, leaks)...)
	d.explain(results)

	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}

	d.say("no request was lost, doubled, falsely refused or wrongly answered")

	return nil
}

// bounds checks the withdrawal and the keys, and prints the detection time.
func (d *demo) bounds(results []load.Result, leaks int) []string {
	var problems []string

	if d.suspectAfter > 0 {
		d.say("\nthe gray upstream %s was suspect %.1f s after it turned gray", d.gray, d.suspectAfter.Seconds())
	} else {
		d.say("\nthe gray upstream %s was not suspect", d.gray)

		problems = append(problems, "the gray upstream was not suspect")
	}

	last := d.lastUse(results)
	d.say("the withdrawn key last worked %.2f s after its withdrawal began", last.Seconds())

	if last > withdrawalBound {
		problems = append(problems, "the withdrawn key worked for too long")
	}

	d.say("keys seen by upstreams: %d", leaks)

	if leaks > 0 {
		problems = append(problems, "an upstream saw a key")
	}

	return problems
}

func (d *demo) lastUse(results []load.Result) time.Duration {
	var last time.Duration

	for _, result := range results {
		if result.Stream == "Withdrawn" && result.Verdict == load.Ran {
			last = max(last, result.Sent.Sub(d.withdrawnAt))
		}
	}

	return last
}

// justified tells refusals that are right: those over the limit of the account
// that sends ten times its rate, and those of the withdrawn key.
func (d *demo) justified(result load.Result) bool {
	switch result.Stream {
	case "Flood":
		return result.Status == http.StatusTooManyRequests
	case "Withdrawn":
		return result.Status == http.StatusUnauthorized && result.Sent.After(d.withdrawnAt)
	}

	return false
}

// explain lists why requests did not run, as far as that was not intended.
func (d *demo) explain(results []load.Result) {
	reasons := make(map[string]int)

	for _, result := range results {
		if result.Verdict != load.Ran && !d.justified(result) {
			reasons[fmt.Sprintf("%s %s %d %s", result.Stream, result.Verdict, result.Status, reason(result.Reason))]++
		}
	}

	for text, count := range reasons {
		d.say("  %d × %s", count, text)
	}
}

func reason(text string) string {
	var refusal struct{ Reason, Detail string }
	if json.Unmarshal([]byte(text), &refusal) == nil && refusal.Reason != "" {
		return refusal.Reason + ": " + refusal.Detail
	}

	return text
}
