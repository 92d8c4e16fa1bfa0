// Command standin runs test replacements for the platform and for upstreams. It also runs
// the demo and the soak test; both start real daemons with these replacements and send
// requests as callers do.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Platform  *platformCommand  `arg:"subcommand:platform" help:"serve the object API from memory"`
	Upstreams *upstreamsCommand `arg:"subcommand:upstreams" help:"run upstreams that announce themselves to a daemon"`
	Demo      *demoCommand      `arg:"subcommand:demo" help:"run a small fleet, send traffic through it and show what happened"`
	Soak      *soakCommand      `arg:"subcommand:soak" help:"run small fleets under random faults and check what callers and upstreams see"`
}

// Description returns the introduction of the --help text.
func (arguments) Description() string {
	return "standin takes the place of what is outside kumquatshelf, for tests and the demo."
}

// command is one subcommand. Its run method returns when the work is done or ctx ends.
type command interface {
	run(ctx context.Context) error
}

func main() {
	var a arguments

	parser := arg.MustParse(&a)

	selected, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a command is required")
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := selected.run(ctx)

	stop()

	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
