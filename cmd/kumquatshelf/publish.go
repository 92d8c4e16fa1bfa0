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

// statusInterval is how often publish asks how many daemons run the version.
const statusInterval = 500 * time.Millisecond

type publishCommand struct {
	Files   []string      `arg:"positional" placeholder:"FILE" help:"team files; each replaces what its team published before"`
	Remove  []string      `arg:"--remove,separate" placeholder:"TEAM" help:"remove a team; may be repeated"`
	ID      uuid.UUID     `arg:"--id" placeholder:"UUID" help:"publication ID of an earlier attempt whose outcome is unknown"`
	Timeout time.Duration `arg:"--timeout" default:"1m" help:"how long to retry while the store is unavailable"`
	Wait    time.Duration `arg:"--wait" default:"17s" help:"how long to wait for all daemons to run the version"`
}

func (c *publishCommand) run(ctx context.Context, p *program) int {
	if !p.acting() {
		return exitUsage
	}
	store, closeStore, ok := p.store()
	if !ok {
		return exitUsage
	}
	defer closeStore()
	client, closeClient := operator.NewClient(p.Operator)
	defer closeClient()
	files, findings := readFiles(c.Files)
	if len(findings) > 0 {
		return p.findings(findings)
	}
	change := publication.Change{ID: c.ID, Files: files, RemovedTeams: c.Remove, AnnouncedSlots: p.slots(ctx, client), Progress: p.progress}
	if change.ID == uuid.Nil {
		change.ID = uuid.New()
	}
	limited, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	result := publication.NewPublisher(store, newRandom()).Publish(limited, change)
	p.endProgress()
	switch result.Outcome {
	case publication.Rejected:
		return p.findings(result.Findings)
	case publication.Conflict:
		p.errorf("another publication changed %s in the meantime; nothing was changed", strings.Join(result.ConflictingTeams, ", "))

		return exitConflict
	case publication.Unavailable:
		p.errorf("the store at %s did not answer within %v; nothing was changed", p.Platform, c.Timeout)

		return exitUnreachable
	case publication.Unknown:
		p.errorf("the publication may have been accepted; repeat it with --id %s to find out", change.ID)

		return exitUnknown
	}
	p.printf("version %d is published (it replaces version %d, ID %s)", result.Version, result.OldVersion, change.ID)
	p.record(ctx, store, trail.Record{
		Action: trail.ActionPublish, Subject: publication.ManifestKind + "/" + publication.ManifestName,
		OldVersion: result.OldVersion, NewVersion: result.Version,
		Detail: fmt.Sprintf("ID %s, files %s, removed teams %s", change.ID, strings.Join(c.Files, " "), strings.Join(c.Remove, " ")),
	})
	p.waitForDaemons(ctx, client, result.Version, c.Wait)

	return exitOK
}

// slots returns the announced slots by service, or nil if no daemon answers.
func (p *program) slots(ctx context.Context, client *operator.Client) map[string]int {
	status, ok := p.anyStatus(ctx, client)
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

// waitForDaemons reports how many daemons run at least the version.
func (p *program) waitForDaemons(ctx context.Context, client *operator.Client, version uint64, wait time.Duration) {
	if len(p.Daemons) == 0 {
		p.printf("no --daemon is given, so it is not known how many daemons run version %d", version)

		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	running, known := 0, 0
	for {
		if status, ok := p.anyStatus(ctx, client); ok {
			running, known = 0, len(status.Daemons)
			for _, daemon := range status.Daemons {
				if daemon.ConfigurationVersion >= version {
					running++
				}
			}
		}
		p.progress("daemons that run the version", running, known)
		if known > 0 && running == known {
			break
		}
		select {
		case <-time.After(statusInterval):
			continue
		case <-ctx.Done():
		}

		break
	}
	p.endProgress()
	if known == 0 {
		p.errorf("no daemon answered within %v, so it is not known how many run version %d", wait, version)

		return
	}
	p.printf("%d of %d daemons run version %d", running, known, version)
}
