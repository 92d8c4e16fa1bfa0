package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/soak"
)

var errBroken = errors.New("promises were broken")

type soakCommand struct {
	Bin     string        `arg:"--bin" default:"bin" help:"directory of the programs"`
	Teams   string        `arg:"--teams" default:"examples/lima/teams" help:"directory of the team files"`
	Dir     string        `arg:"--dir" help:"directory for settings and logs, which are otherwise removed unless a promise was broken"`
	First   uint64        `arg:"--first" help:"first seed; 0 takes the time of day"`
	Seeds   int           `arg:"--seeds" default:"1" help:"number of seeds"`
	At      int           `arg:"--at-once" default:"1" help:"number of fleets that run at the same time"`
	Daemons int           `arg:"--daemons" default:"6" help:"daemons of a fleet, each with four upstreams"`
	Faults  time.Duration `arg:"--faults" default:"20s" help:"how long faults go on"`
}

func (c *soakCommand) run(ctx context.Context) error {
	if c.First == 0 {
		c.First = uint64(time.Now().Unix()) //nolint:gosec // after 1970
	}

	dir := c.Dir
	if dir == "" {
		made, err := os.MkdirTemp("", "kumquatshelf-soak-")
		if err != nil {
			return fmt.Errorf("make a directory for logs: %w", err)
		}

		dir = made
	}

	seeds := make(chan uint64)

	go func() {
		defer close(seeds)

		for i := range c.Seeds {
			seeds <- c.First + uint64(i) //nolint:gosec // a count
		}
	}()

	var (
		group  sync.WaitGroup
		mu     sync.Mutex
		broken int
	)

	for range min(max(c.At, 1), runtime.NumCPU()) {
		group.Go(func() {
			for seed := range seeds {
				if ctx.Err() == nil && !c.one(ctx, seed, filepath.Join(dir, fmt.Sprint("seed-", seed))) {
					mu.Lock()
					broken++
					mu.Unlock()
				}
			}
		})
	}

	group.Wait()
	_, _ = fmt.Fprintf(os.Stdout, "%d of %d seeds broke a promise, first %d\n", broken, c.Seeds, c.First)

	if broken > 0 {
		return fmt.Errorf("%w; logs are in %s", errBroken, dir)
	}

	if c.Dir == "" {
		if err := os.RemoveAll(dir); err != nil {
			return fmt.Errorf("remove the logs: %w", err)
		}
	}

	return nil
}

// one runs a seed and reports whether all promises held.
func (c *soakCommand) one(ctx context.Context, seed uint64, dir string) bool {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		_, _ = fmt.Fprintln(os.Stdout, "make a directory for logs:", err)

		return false
	}

	findings, err := soak.Run(ctx, soak.Options{
		ProgramDir: c.Bin, TeamsDir: c.Teams, WorkDir: dir, Seed: seed, Daemons: c.Daemons, FaultDuration: c.Faults, Output: os.Stdout,
	})
	if err != nil {
		findings = append(findings, err.Error())
	}

	for _, finding := range findings {
		_, _ = fmt.Fprintf(os.Stdout, "seed %d: FOUND %s\n", seed, finding)
	}

	return len(findings) == 0
}
