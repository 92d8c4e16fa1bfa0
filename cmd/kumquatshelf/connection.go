package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/audit/trail"
	"github.com/kumquatshelf/kumquatshelf/platform"
)

// auditTimeout is how long a command waits, after its action succeeded, for the store
// to accept the audit record.
const auditTimeout = 5 * time.Second

// connectionOptions are the options shared by all commands: the addresses of the store
// and of the daemons, and the name of the operator.
type connectionOptions struct {
	Platform netip.AddrPort   `arg:"--platform,env:KUMQUATSHELF_PLATFORM" placeholder:"ADDRESS" help:"address of the platform's object API"`
	Daemons  []netip.AddrPort `arg:"--daemon,separate,env:KUMQUATSHELF_DAEMONS" placeholder:"ADDRESS" help:"operator address of a daemon; may be repeated, and one finds the others"`
	Operator string           `arg:"--operator,env:KUMQUATSHELF_OPERATOR" default:"" placeholder:"NAME" help:"who acts, for the audit trail"`
}

// validate returns a description of the first invalid option, or an empty string. The
// operator's name is sent in an HTTP header, so only printable ASCII is accepted.
func (c connectionOptions) validate() string {
	for _, b := range []byte(c.Operator) {
		if b < ' ' || b > '~' {
			return "--operator: expected printable ASCII characters"
		}
	}

	return ""
}

// newStore returns a client of the store and a function that closes its idle
// connections. Without --platform it prints an error and returns false.
func (p *program) newStore() (*platform.Store, func(), bool) {
	if !p.Platform.IsValid() {
		p.errorf("--platform is missing; expected the address of the platform's object API, such as 127.0.0.1:7100")

		return nil, nil, false
	}
	client, closeIdle := platform.NewStore(p.Platform.String(), platform.StoreOptions{})

	return client, closeIdle, true
}

// requireOperator reports whether --operator is given, which every command that changes
// something needs for the audit trail. It prints an error if it is missing.
func (p *program) requireOperator() bool {
	if p.Operator == "" {
		p.errorf("--operator is missing; expected the name of who acts, for the audit trail")

		return false
	}

	return true
}

// discoverDaemons returns the operator addresses of all daemons in the status of one of
// the daemons given with --daemon, followed by the given addresses that are not among
// them. If none of the given daemons answers, it returns only the given addresses.
func (p *program) discoverDaemons(ctx context.Context, client *operator.Client) []netip.AddrPort {
	status, ok := p.firstStatus(ctx, client)
	if !ok {
		return p.Daemons
	}
	seen := map[netip.AddrPort]bool{}
	var addresses []netip.AddrPort
	add := func(address netip.AddrPort) {
		if address.IsValid() && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, daemon := range status.Daemons {
		add(daemon.OperatorAddress)
	}
	for _, address := range p.Daemons {
		add(address)
	}

	return addresses
}

// firstStatus queries all daemons given with --daemon concurrently and returns the first
// status received. It reports false if none of them answers.
func (p *program) firstStatus(ctx context.Context, client *operator.Client) (operator.Status, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		status  operator.Status
		outcome operator.Outcome
	}
	answers := make(chan answer, len(p.Daemons))
	for _, daemon := range p.Daemons {
		go func() {
			status, outcome := client.Status(ctx, daemon)
			answers <- answer{status, outcome}
		}()
	}
	for range p.Daemons {
		if a := <-answers; a.outcome == operator.Confirmed {
			return a.status, true
		}
	}

	return operator.Status{}, false
}

// writeAuditRecord writes an audit record in the name of the operator. It prints a
// warning if the store does not accept the record within auditTimeout.
func (p *program) writeAuditRecord(ctx context.Context, store trail.Store, record trail.Record) {
	record.Who = p.Operator
	audit, stop := trail.New(store, slog.New(slog.DiscardHandler))
	defer stop()
	audit.Add(record)
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	if !audit.Flush(ctx) || audit.Dropped() > 0 {
		p.errorf("warning: the audit record of %s %s was not written; the store did not accept it", record.Action, record.Subject)
	}
}

// newRandom returns a source of random numbers for the retry delays, so that clients
// that failed at the same time do not retry at the same time.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // not for secrets
}
