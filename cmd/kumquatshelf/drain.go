package main

import (
	"context"
	"net/netip"
	"slices"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
)

type drainCommand struct {
	Upstream string `arg:"positional,required" placeholder:"UPSTREAM" help:"name of an announced upstream"`
}

func (c *drainCommand) run(ctx context.Context, p *program) int {
	return p.changeDrain(ctx, c.Upstream, "drained", (*operator.Client).Drain)
}

type undrainCommand struct {
	Upstream string `arg:"positional,required" placeholder:"UPSTREAM" help:"name of an announced upstream"`
}

func (c *undrainCommand) run(ctx context.Context, p *program) int {
	return p.changeDrain(ctx, c.Upstream, "no longer drained", (*operator.Client).Undrain)
}

// drainCall sends one drain or undrain request to a daemon.
type drainCall func(c *operator.Client, ctx context.Context, daemon netip.AddrPort, upstream string) (operator.Confirmation, operator.Outcome)

// changeDrain drains or undrains an upstream with call. It tries the daemon that the
// upstream announces itself to first, and then those given with --daemon, until one
// confirms. Daemons write the audit record of the action themselves. Result
// describes the upstream's new state in messages, such as "drained". It returns the exit
// code.
func (p *program) changeDrain(ctx context.Context, upstream, result string, call drainCall) int {
	if !p.requireOperator() {
		return exitUsage
	}
	if len(p.Daemons) == 0 {
		p.errorf("--daemon is missing; expected the operator address of a daemon, such as 127.0.0.1:7003")

		return exitUsage
	}
	client, closeClient := operator.NewClient(p.Operator)
	defer closeClient()
	var refused, notFound, ambiguous bool
	for _, daemon := range p.drainTargets(ctx, client, upstream) {
		confirmation, outcome := call(client, ctx, daemon, upstream)
		switch outcome {
		case operator.Confirmed:
			p.printf("upstream %s is %s, confirmed by daemon %s", upstream, result, confirmation.Daemon)

			return exitOK
		case operator.Refused:
			refused = true
			p.errorf("daemon at %s refused: %s", daemon, confirmation.Detail)
		case operator.NotFound:
			notFound = true
		case operator.Ambiguous:
			ambiguous = true
		case operator.Unreachable:
			p.errorf("daemon at %s cannot be reached", daemon)
		}
	}
	switch {
	case ambiguous:
		p.errorf("it is not known whether upstream %s is %s; repeat the command", upstream, result)

		return exitOutcomeUnknown
	case notFound:
		p.errorf("no upstream %q is announced; expected a name that status shows", upstream)

		return exitRejected
	case refused:
		return exitRejected
	}

	return exitUnreachable
}

// drainTargets returns the operator addresses of the daemons to try in order: the daemon
// that the upstream announces itself to, if it is known, and then those given with
// --daemon.
func (p *program) drainTargets(ctx context.Context, client *operator.Client, upstream string) []netip.AddrPort {
	status, ok := p.firstStatus(ctx, client)
	if !ok {
		return p.Daemons
	}
	ownDaemon := ""
	for _, service := range status.Services {
		for _, u := range service.Upstreams {
			if u.Name == upstream {
				ownDaemon = u.Daemon
			}
		}
	}
	addresses := slices.Clone(p.Daemons)
	for _, daemon := range status.Daemons {
		if daemon.Name == ownDaemon && daemon.OperatorAddress.IsValid() {
			addresses = slices.DeleteFunc(addresses, func(a netip.AddrPort) bool { return a == daemon.OperatorAddress })

			return append([]netip.AddrPort{daemon.OperatorAddress}, addresses...)
		}
	}

	return addresses
}
