package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/audit/trail"
	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
)

// statusInterval is the time between two status queries while publish waits for the
// daemons to run the new version.
const statusInterval = 500 * time.Millisecond

type publishCommand struct {
	Files   []string      `arg:"positional" placeholder:"FILE" help:"team files; each replaces what its team published before"`
	Remove  []string      `arg:"--remove,separate" placeholder:"TEAM" help:"remove a team; may be repeated"`
	ID      uuid.UUID     `arg:"--id" placeholder:"UUID" help:"publication ID of an earlier attempt whose outcome is unknown"`
	Timeout time.Duration `arg:"--timeout" default:"1m" help:"how long to retry while the store is unavailable"`
	Wait    time.Duration `arg:"--wait" default:"17s" help:"how long to wait for all daemons to run the version"`
}

func (c *publishCommand) run(ctx context.Context, p *program) int {
	if !p.requireOperator() {
		return exitUsage
	}
	store, closeStore, ok := p.newStore()
	if !ok {
		return exitUsage
	}
	defer closeStore()
	client, closeClient := operator.NewClient(p.Operator)
	defer closeClient()
	files, findings := readFiles(c.Files)
	if len(findings) > 0 {
		return p.printFindings(findings)
	}
	change := publication.Change{ID: c.ID, Files: files, RemovedTeams: c.Remove, AnnouncedSlots: p.announcedSlots(ctx, client), Progress: p.showProgress}
	if change.ID == uuid.Nil {
		change.ID = uuid.New()
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	result := publication.NewPublisher(store, newRandom()).Publish(timeoutCtx, change)
	p.clearProgress()
	switch result.Outcome {
	case publication.Rejected:
		return p.printFindings(result.Findings)
	case publication.Conflict:
		p.errorf("another publication changed %s in the meantime; nothing was changed", strings.Join(result.ConflictingTeams, ", "))

		return exitConflict
	case publication.Unavailable:
		p.errorf("the store at %s did not answer within %v; nothing was changed", p.Platform, c.Timeout)

		return exitUnreachable
	case publication.Unknown:
		p.errorf("the publication may have been accepted; repeat it with --id %s to find out", change.ID)

		return exitOutcomeUnknown
	}
	p.printf("version %d is published (it replaces version %d, ID %s)", result.Version, result.OldVersion, change.ID)
	p.writeAuditRecord(ctx, store, trail.Record{
		Action: trail.ActionPublish, Subject: publication.ManifestKind + "/" + publication.ManifestName,
		OldVersion: result.OldVersion, NewVersion: result.Version,
		Detail: fmt.Sprintf("ID %s, files %s, removed teams %s", change.ID, strings.Join(c.Files, " "), strings.Join(c.Remove, " ")),
	})
	p.waitForDaemons(ctx, client, result.Version, c.Wait)

	return exitOK
}

// announcedSlots returns the number of slots that upstreams announce for each service, or
// nil if no daemon answers.
func (p *program) announcedSlots(ctx context.Context, client *operator.Client) map[string]int {
	status, ok := p.firstStatus(ctx, client)
	if !ok {
		return nil
	}
	slots := map[string]int{}
	for _, service := range status.Services {
		if service.Slots > 0 {
			slots[service.Name] = service.Slots
		}
	}

	return slots
}

// waitForDaemons waits until all daemons run at least the version, for at most the given
// time, and prints how many of them do.
func (p *program) waitForDaemons(ctx context.Context, client *operator.Client, version uint64, wait time.Duration) {
	if len(p.Daemons) == 0 {
		p.printf("no --daemon is given, so it is not known how many daemons run version %d", version)

		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	running, total := 0, 0
	for {
		if status, ok := p.firstStatus(ctx, client); ok {
			running, total = 0, len(status.Daemons)
			for _, daemon := range status.Daemons {
				if daemon.ConfigurationVersion >= version {
					running++
				}
			}
		}
		p.showProgress("daemons that run the version", running, total)
		if total > 0 && running == total {
			break
		}
		select {
		case <-time.After(statusInterval):
			continue
		case <-ctx.Done():
		}

		break
	}
	p.clearProgress()
	if total == 0 {
		p.errorf("no daemon answered within %v, so it is not known how many run version %d", wait, version)

		return
	}
	p.printf("%d of %d daemons run version %d", running, total, version)
}
