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
	return p.drain(ctx, c.Upstream, "drained", (*operator.Client).Drain)
}

type undrainCommand struct {
	Upstream string `arg:"positional,required" placeholder:"UPSTREAM" help:"name of an announced upstream"`
}

func (c *undrainCommand) run(ctx context.Context, p *program) int {
	return p.drain(ctx, c.Upstream, "no longer drained", (*operator.Client).Undrain)
}

type drainCall func(c *operator.Client, ctx context.Context, daemon netip.AddrPort, upstream string) (operator.Confirmation, operator.Outcome)

// drain asks the upstream's own daemon first, and then the given ones until one
// confirms. A daemon records the action in the audit trail.
func (p *program) drain(ctx context.Context, upstream, done string, call drainCall) int {
	if !p.acting() {
		return exitUsage
	}
	if len(p.Daemons) == 0 {
		p.errorf("--daemon is missing; expected the operator address of a daemon, such as 127.0.0.1:7003")

		return exitUsage
	}
	client, closeClient := operator.NewClient(p.Operator)
	defer closeClient()
	var refused, unknown, ambiguous bool
	for _, daemon := range p.owners(ctx, client, upstream) {
		confirmation, outcome := call(client, ctx, daemon, upstream)
		switch outcome {
		case operator.Confirmed:
			p.printf("upstream %s is %s, confirmed by daemon %s", upstream, done, confirmation.Daemon)

			return exitOK
		case operator.Refused:
			refused = true
			p.errorf("daemon at %s refused: %s", daemon, confirmation.Detail)
		case operator.NotFound:
			unknown = true
		case operator.Ambiguous:
			ambiguous = true
		case operator.Unreachable:
			p.errorf("daemon at %s cannot be reached", daemon)
		}
	}
	switch {
	case ambiguous:
		p.errorf("it is not known whether upstream %s is %s; repeat the command", upstream, done)

		return exitUnknown
	case unknown:
		p.errorf("no upstream %q is announced; expected a name that status shows", upstream)

		return exitRejected
	case refused:
		return exitRejected
	}

	return exitUnreachable
}

// owners returns the operator addresses to ask, the upstream's own daemon first.
func (p *program) owners(ctx context.Context, client *operator.Client, upstream string) []netip.AddrPort {
	status, ok := p.anyStatus(ctx, client)
	if !ok {
		return p.Daemons
	}
	owner := ""
	for _, service := range status.Services {
		for _, u := range service.Upstreams {
			if u.Name == upstream {
				owner = u.Daemon
			}
		}
	}
	addresses := slices.Clone(p.Daemons)
	for _, daemon := range status.Daemons {
		if daemon.Name == owner && daemon.OperatorAddress.IsValid() {
			addresses = slices.DeleteFunc(addresses, func(a netip.AddrPort) bool { return a == daemon.OperatorAddress })

			return append([]netip.AddrPort{daemon.OperatorAddress}, addresses...)
		}
	}

	return addresses
}
