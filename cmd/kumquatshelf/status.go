package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
)

type statusCommand struct {
	JSON bool `arg:"--json" help:"print the status as JSON"`
}

func (c *statusCommand) run(ctx context.Context, p *program) int {
	if len(p.Daemons) == 0 {
		p.errorf("--daemon is missing; expected the operator address of a daemon, such as 127.0.0.1:7003")

		return exitUsage
	}
	client, closeClient := operator.NewClient(p.Operator)
	defer closeClient()
	status, ok := p.firstStatus(ctx, client)
	if !ok {
		p.errorf("none of the %d daemons given answered", len(p.Daemons))

		return exitUnreachable
	}
	p.refreshUpstreams(ctx, client, &status)
	if c.JSON {
		return p.printJSON(status)
	}
	p.printf("daemon %s runs configuration version %d; store reachable: %v, last contact %s; audit records pending %d, dropped %d",
		status.Daemon, status.ConfigurationVersion, status.Store.Reachable, formatTime(status.Store.LastContact),
		status.Store.AuditPending, status.Store.AuditDropped)
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	row("\nDAEMON\tAVAILABILITY ZONE\tVERSION\tWITHDRAWN KEYS\tSTORE CONTACT\tLEAVING")
	for _, d := range status.Daemons {
		row("%s\t%s\t%d\t%d\t%s\t%v", d.Name, d.AvailabilityZone, d.ConfigurationVersion, d.WithdrawnKeys, formatTime(d.StoreContact), d.Leaving)
	}
	row("\nSERVICE\tUPSTREAM\tDAEMON\tSTATE\tSUSPICION\tSUSPECT\tIN FLIGHT\tQUEUED\tSLOTS\tHEARD")
	for _, s := range status.Services {
		row("%s\t\t\thealthy %d of %d, floor %d\t\t\t\t\t\t", s.Name, s.Healthy, s.Slots, s.Floor)
		for _, u := range s.Upstreams {
			row("\t%s\t%s\t%s\t%.2f\t%v\t%d\t%d\t%d\t%s", u.Name, u.Daemon, u.State, u.Suspicion, u.Suspect, u.InFlight, u.Queued,
				u.Slots, formatTime(u.HeardAt))
		}
	}
	row("\nCLIENT ACCOUNT\tSPENT/S\tRATE/S\tBURST\tREJECTED")
	for _, a := range status.ClientAccounts {
		row("%s\t%.1f\t%g\t%d\t%d", a.Name, a.Spent, a.Rate, a.Burst, a.Rejected)
	}
	_ = table.Flush()

	return exitOK
}

// refreshUpstreams queries each daemon for its own upstreams, and replaces the states of
// these upstreams in status, which the daemon that returned status knows only from gossip.
// The states of the upstreams of a daemon that does not answer are left as they are.
func (p *program) refreshUpstreams(ctx context.Context, client *operator.Client, status *operator.Status) {
	var (
		calls sync.WaitGroup
		mu    sync.Mutex
	)
	current := map[string]operator.Upstream{}
	callSlots := make(chan struct{}, maxDaemonCalls)
	for _, daemon := range status.Daemons {
		if daemon.Name == status.Daemon || !daemon.OperatorAddress.IsValid() {
			continue
		}
		callSlots <- struct{}{}
		calls.Go(func() {
			defer func() { <-callSlots }()
			own, outcome := client.Upstreams(ctx, daemon.OperatorAddress)
			mu.Lock()
			defer mu.Unlock()
			if outcome != operator.Confirmed {
				p.errorf("daemon %s did not tell of its upstreams (%v); they are shown as daemon %s heard of them last",
					daemon.Name, outcome, status.Daemon)

				return
			}
			for _, upstream := range own {
				current[upstream.Name] = upstream
			}
		})
	}
	calls.Wait()
	for i := range status.Services {
		service := &status.Services[i]
		for j, known := range service.Upstreams {
			if upstream, found := current[known.Name]; found && upstream.Daemon == known.Daemon {
				service.Upstreams[j] = upstream
			}
		}
		service.SumSlots()
	}
}

// printJSON prints a value as indented JSON to stdout and returns the exit code.
func (p *program) printJSON(value any) int {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		p.errorf("encode JSON: %v", err)

		return exitRejected
	}

	return exitOK
}

// formatTime formats a time in UTC to the second, and the zero time as "unknown".
func formatTime(at time.Time) string {
	if at.IsZero() {
		return "unknown"
	}

	return at.UTC().Format(time.RFC3339)
}
