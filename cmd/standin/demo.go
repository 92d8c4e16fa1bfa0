package main

import (
	"context"
	"fmt"
	"os"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/demo"
)

type demoCommand struct {
	Bin   string `arg:"--bin" default:"bin" help:"directory of the programs"`
	Teams string `arg:"--teams" default:"examples/lima/teams" help:"directory of the team files"`
	Logs  string `arg:"--logs" help:"directory for settings and logs, which are otherwise removed"`
}

func (c *demoCommand) run(ctx context.Context) error {
	if err := demo.Run(ctx, demo.Options{ProgramDir: c.Bin, TeamsDir: c.Teams, WorkDir: c.Logs, Output: os.Stdout}); err != nil {
		return fmt.Errorf("demo: %w", err)
	}

	return nil
}
