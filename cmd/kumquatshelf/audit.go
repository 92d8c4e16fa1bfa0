package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/audit/trail"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

type auditCommand struct {
	Who     string    `arg:"--who" help:"only records of this operator or daemon"`
	Action  string    `arg:"--action" help:"only records of this action, such as Publish or KeyWithdraw"`
	Subject string    `arg:"--subject" help:"only records about this subject"`
	From    time.Time `arg:"--from" placeholder:"TIME" help:"only records from this time on, such as 2026-12-04T00:00:00Z"`
	Until   time.Time `arg:"--until" placeholder:"TIME" help:"only records before this time"`
	JSON    bool      `arg:"--json" help:"print one JSON object per line"`
}

func (c *auditCommand) run(ctx context.Context, p *program) int {
	store, closeStore, ok := p.newStore()
	if !ok {
		return exitUsage
	}
	defer closeStore()
	filter := trail.Filter{Who: c.Who, Action: c.Action, Subject: c.Subject, From: c.From, Until: c.Until}
	encoder := json.NewEncoder(p.stdout)
	outcome := trail.Read(ctx, store, filter, func(r trail.Record) {
		if c.JSON {
			_ = encoder.Encode(r)

			return
		}
		p.printf("%s  %s  %s %s  %d -> %d  %s", r.When.Format(time.RFC3339Nano), r.Who, r.Action, r.Subject, r.OldVersion, r.NewVersion, r.Detail)
	})
	if outcome != fleet.StoreOK {
		p.errorf("the store at %s did not answer; the list is not complete", p.Platform)

		return exitUnreachable
	}

	return exitOK
}
