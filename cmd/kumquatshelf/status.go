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
	status, ok := p.anyStatus(ctx, client)
	if !ok {
		p.errorf("none of the %d daemons given answered", len(p.Daemons))

		return exitUnreachable
	}
	p.askOwners(ctx, client, &status)
	if c.JSON {
		return p.json(status)
	}
	p.printf("daemon %s runs configuration version %d; store reachable: %v, last contact %s; audit records pending %d, dropped %d",
		status.Daemon, status.ConfigurationVersion, status.Store.Reachable, moment(status.Store.LastContact),
		status.Store.AuditPending, status.Store.AuditDropped)
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	row("\nDAEMON\tAVAILABILITY ZONE\tVERSION\tWITHDRAWN KEYS\tSTORE CONTACT\tLEAVING")
	for _, d := range status.Daemons {
		row("%s\t%s\t%d\t%d\t%s\t%v", d.Name, d.AvailabilityZone, d.ConfigurationVersion, d.WithdrawnKeys, moment(d.StoreContact), d.Leaving)
	}
	row("\nSERVICE\tUPSTREAM\tDAEMON\tSTATE\tSUSPICION\tSUSPECT\tIN FLIGHT\tQUEUED\tSLOTS\tHEARD")
	for _, s := range status.Services {
		row("%s\t\t\thealthy %d of %d, floor %d\t\t\t\t\t\t", s.Name, s.Healthy, s.Slots, s.Floor)
		for _, u := range s.Upstreams {
			row("\t%s\t%s\t%s\t%.2f\t%v\t%d\t%d\t%d\t%s", u.Name, u.Daemon, u.State, u.Suspicion, u.Suspect, u.InFlight, u.Queued,
				u.Slots, moment(u.HeardAt))
		}
	}
	row("\nCLIENT ACCOUNT\tSPENT/S\tRATE/S\tBURST\tREJECTED")
	for _, a := range status.ClientAccounts {
		row("%s\t%.1f\t%g\t%d\t%d", a.Name, a.Spent, a.Rate, a.Burst, a.Rejected)
	}
	_ = table.Flush()

	return exitOK
}

// askOwners replaces what the answering daemon heard of other daemons' upstreams
// by what their own daemons say. Upstreams of daemons that do not answer keep it.
func (p *program) askOwners(ctx context.Context, client *operator.Client, status *operator.Status) {
	var (
		calls sync.WaitGroup
		mu    sync.Mutex
	)
	current := map[string]operator.Upstream{}
	slots := make(chan struct{}, maxDaemonCalls)
	for _, daemon := range status.Daemons {
		if daemon.Name == status.Daemon || !daemon.OperatorAddress.IsValid() {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
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

// json prints a value on stdout.
func (p *program) json(value any) int {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		p.errorf("printing JSON: %v", err)

		return exitRejected
	}

	return exitOK
}

func moment(at time.Time) string {
	if at.IsZero() {
		return "unknown"
	}

	return at.UTC().Format(time.RFC3339)
}
