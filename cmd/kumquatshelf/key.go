package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/audit/trail"
	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/config/keystore"
	"github.com/kumquatshelf/kumquatshelf/internal/config/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// keyBytes is the number of random bytes that a key encodes.
	keyBytes = 32
	// maxKeyBytes limits the bytes that are read from standard input for a key.
	maxKeyBytes = 4096
	// maxDaemonCalls limits the concurrent calls of one command to daemons.
	maxDaemonCalls = 32
	// retryInterval is the time between two attempts to write to the store.
	retryInterval = 250 * time.Millisecond
)

type keyCommand struct {
	Give     *keyGiveCommand     `arg:"subcommand:give" help:"make a key for a client account and print it once"`
	Withdraw *keyWithdrawCommand `arg:"subcommand:withdraw" help:"withdraw a key for good"`
}

// run rejects a key command without a subcommand. With one, the run method of the
// subcommand is called instead.
func (c *keyCommand) run(_ context.Context, p *program) int {
	p.errorf("key: expected give or withdraw")

	return exitUsage
}

type keyGiveCommand struct {
	ClientAccount string        `arg:"positional,required" placeholder:"ACCOUNT" help:"a published client account"`
	Timeout       time.Duration `arg:"--timeout" default:"10s" help:"how long to retry while the store is unavailable"`
}

func (c *keyGiveCommand) run(ctx context.Context, p *program) int {
	if !p.requireOperator() {
		return exitUsage
	}
	store, closeStore, ok := p.newStore()
	if !ok {
		return exitUsage
	}
	defer closeStore()
	timeoutCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	snapshot, outcome, findings := publication.Load(timeoutCtx, nil, publication.NewStoreSource(store, nil))
	switch {
	case outcome == publication.LoadInvalid:
		return p.printFindings(findings)
	case outcome != publication.LoadInstalled:
		p.errorf("no configuration could be read from the store at %s; nothing was changed", p.Platform)

		return exitUnreachable
	}
	if _, ok := snapshot.Configuration.ClientAccounts.Get(c.ClientAccount); !ok {
		return p.printFindings(inifile.Findings{{
			File: fmt.Sprintf("configuration version %d", snapshot.Version()), Section: "ClientAccount " + c.ClientAccount,
			Problem: "does not exist", Expected: "a client account that is published",
		}})
	}
	key, err := newKey()
	if err != nil {
		p.errorf("generate key: %v", err)

		return exitRejected
	}
	hash := keystore.Hash(key)
	switch outcome := p.retryWrite(timeoutCtx, func() fleet.StoreOutcome { return keystore.Issue(timeoutCtx, store, hash, c.ClientAccount) }); outcome {
	case fleet.StoreOK:
	case fleet.StoreAmbiguous:
		p.errorf("the store may have accepted a key that is not shown; to be sure, run: key withdraw %s", hash)

		return exitOutcomeUnknown
	case fleet.StoreUnavailable:
		p.errorf("the store at %s did not answer within %v; nothing was changed", p.Platform, c.Timeout)

		return exitUnreachable
	default:
		p.errorf("the store did not accept the key: %v; nothing was changed", outcome)

		return exitRejected
	}
	p.printf("%s", key)
	p.errorf("this key of %s is shown only once; its hash is %s", c.ClientAccount, hash)
	p.writeAuditRecord(ctx, store, trail.Record{Action: trail.ActionKeyGive, Subject: hash, NewVersion: 1, Detail: "client account " + c.ClientAccount})

	return exitOK
}

// newKey returns a random key in unpadded URL-safe base64.
func newKey() (string, error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", fmt.Errorf("read random bytes: %w", err)
	}

	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// retryWrite repeats a write until the store accepts or rejects it, or ctx is done. If an
// attempt was ambiguous and the later ones found the store unavailable, the result is
// StoreAmbiguous, because the ambiguous attempt may have taken effect.
func (p *program) retryWrite(ctx context.Context, write func() fleet.StoreOutcome) fleet.StoreOutcome {
	ambiguous := false
	for {
		outcome := write()
		if outcome == fleet.StoreUnavailable && ambiguous {
			outcome = fleet.StoreAmbiguous
		}
		if outcome != fleet.StoreUnavailable && outcome != fleet.StoreAmbiguous {
			return outcome
		}
		ambiguous = ambiguous || outcome == fleet.StoreAmbiguous
		p.showProgress("waiting for the store", 0, 0)
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			p.clearProgress()

			return outcome
		}
	}
}

type keyWithdrawCommand struct {
	Hash    string        `arg:"positional" placeholder:"HASH" help:"the key's SHA-256 hash in hex; without it, the key is read from standard input"`
	Timeout time.Duration `arg:"--timeout" default:"5s" help:"how long to retry while the store is unavailable"`
}

func (c *keyWithdrawCommand) run(ctx context.Context, p *program) int {
	if !p.requireOperator() {
		return exitUsage
	}
	hash, ok := c.readHash(p)
	if !ok {
		return exitUsage
	}
	if !p.Platform.IsValid() && len(p.Daemons) == 0 {
		p.errorf("--platform and --daemon are missing; expected at least one of them")

		return exitUsage
	}
	var storeOutcome fleet.StoreOutcome
	var previousVersion uint64
	var storeCall sync.WaitGroup
	if p.Platform.IsValid() {
		storeCall.Go(func() { storeOutcome, previousVersion = c.withdrawInStore(ctx, p, hash) })
	}
	confirmed, asked, ambiguous := p.withdrawOnDaemons(ctx, hash)
	storeCall.Wait()
	p.printf("%d of %d daemons confirmed the withdrawal; store: %s", confirmed, asked, storeSummary(p.Platform.IsValid(), storeOutcome, previousVersion))
	switch {
	case confirmed > 0 || storeOutcome == fleet.StoreOK:
		return exitOK
	case ambiguous || storeOutcome == fleet.StoreAmbiguous:
		p.errorf("it is not known whether the key is withdrawn; repeat the command")

		return exitOutcomeUnknown
	case storeOutcome == fleet.StoreRejected:
		p.errorf("the store rejected the withdrawal, and no daemon confirmed it")

		return exitRejected
	}
	p.errorf("neither the store nor a daemon could be reached; the key is not withdrawn")

	return exitUnreachable
}

// storeSummary describes the result of a withdrawal in the store. PreviousVersion is the
// version of the key's object before the withdrawal: 0 if the store had no such key, 1 if
// the key was given and not withdrawn, and higher if it was already withdrawn.
func storeSummary(asked bool, outcome fleet.StoreOutcome, previousVersion uint64) string {
	switch {
	case !asked:
		return "not asked, because --platform is not given"
	case outcome != fleet.StoreOK:
		return outcome.String()
	case previousVersion == 0:
		return "withdrawn (the store had no such key)"
	case previousVersion == 1:
		return "withdrawn"
	}

	return "was already withdrawn"
}

// readHash returns the hash given as the argument, or else the hash of the key on
// standard input. It prints neither the argument nor the key in its errors, because an
// operator may have given a key as the argument by mistake.
func (c *keyWithdrawCommand) readHash(p *program) (string, bool) {
	if c.Hash != "" {
		if !keystore.IsHash(c.Hash) {
			p.errorf("HASH is not a hash; expected 64 hexadecimal digits in lower case (give a key on standard input instead)")

			return "", false
		}

		return c.Hash, true
	}
	line, err := bufio.NewReader(io.LimitReader(p.stdin, maxKeyBytes)).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		p.errorf("no key on standard input (%v); expected a key on one line, or its hash as an argument", err)

		return "", false
	}

	return keystore.Hash(key), true
}

// withdrawInStore withdraws the key in the store, and writes an audit record unless the
// key was withdrawn before. It returns the version of the key's object before the
// withdrawal, 0 if there was none.
func (c *keyWithdrawCommand) withdrawInStore(ctx context.Context, p *program, hash string) (fleet.StoreOutcome, uint64) {
	store, closeStore, _ := p.newStore()
	defer closeStore()
	timeoutCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var previousVersion uint64
	outcome := p.retryWrite(timeoutCtx, func() fleet.StoreOutcome {
		version, outcome := keystore.Withdraw(timeoutCtx, store, hash, "")
		previousVersion = max(previousVersion, version)

		return outcome
	})
	if outcome == fleet.StoreOK && previousVersion < 2 {
		p.writeAuditRecord(ctx, store, trail.Record{Action: trail.ActionKeyWithdraw, Subject: hash, OldVersion: previousVersion, NewVersion: 2})
	}

	return outcome, previousVersion
}

// withdrawOnDaemons withdraws the key at the daemons given with --daemon and at all others
// that they know of. It returns the number of daemons that confirmed, the number that
// were called, and whether the outcome at any of them is unknown.
func (p *program) withdrawOnDaemons(ctx context.Context, hash string) (confirmed, asked int, ambiguous bool) {
	if len(p.Daemons) == 0 {
		return 0, 0, false
	}
	client, closeClient := operator.NewClient(p.Operator)
	defer closeClient()
	// The given daemons are called before the other daemons are discovered, because each
	// of them immediately starts to spread the withdrawal to the rest of the fleet.
	called := map[netip.AddrPort]bool{}
	callDaemons := func(daemons []netip.AddrPort) {
		var calls sync.WaitGroup
		var mu sync.Mutex
		callSlots := make(chan struct{}, maxDaemonCalls)
		for _, daemon := range daemons {
			if called[daemon] {
				continue
			}
			called[daemon] = true
			asked++
			callSlots <- struct{}{}
			calls.Go(func() {
				defer func() { <-callSlots }()
				_, outcome := client.WithdrawKey(ctx, daemon, hash)
				mu.Lock()
				defer mu.Unlock()
				if outcome == operator.Confirmed {
					confirmed++
				}
				ambiguous = ambiguous || outcome == operator.Ambiguous
			})
		}
		calls.Wait()
	}
	callDaemons(p.Daemons)
	callDaemons(p.discoverDaemons(ctx, client))

	return confirmed, asked, ambiguous
}
