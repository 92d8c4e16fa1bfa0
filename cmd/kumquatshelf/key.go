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
	// keyBytes is the random part of a key.
	keyBytes = 32
	// maxKeyBytes bounds a key read from standard input.
	maxKeyBytes = 4096
	// maxDaemonCalls bounds the daemons that are told of a withdrawal at once.
	maxDaemonCalls = 32
	// retryInterval spaces attempts on the store.
	retryInterval = 250 * time.Millisecond
)

type keyCommand struct {
	Give     *keyGiveCommand     `arg:"subcommand:give" help:"make a key for a client account and print it once"`
	Withdraw *keyWithdrawCommand `arg:"subcommand:withdraw" help:"withdraw a key for good"`
}

// run is reached only without a subcommand.
func (c *keyCommand) run(_ context.Context, p *program) int {
	p.errorf("key: expected give or withdraw")

	return exitUsage
}

type keyGiveCommand struct {
	ClientAccount string        `arg:"positional,required" placeholder:"ACCOUNT" help:"a published client account"`
	Timeout       time.Duration `arg:"--timeout" default:"10s" help:"how long to retry while the store is unavailable"`
}

func (c *keyGiveCommand) run(ctx context.Context, p *program) int {
	if !p.acting() {
		return exitUsage
	}
	store, closeStore, ok := p.store()
	if !ok {
		return exitUsage
	}
	defer closeStore()
	limited, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	snapshot, outcome, findings := publication.Load(limited, nil, publication.NewStoreSource(store, nil))
	switch {
	case outcome == publication.LoadInvalid:
		return p.findings(findings)
	case outcome != publication.LoadInstalled:
		p.errorf("no configuration could be read from the store at %s; nothing was changed", p.Platform)

		return exitUnreachable
	}
	if _, ok := snapshot.Configuration.ClientAccounts.Get(c.ClientAccount); !ok {
		return p.findings(inifile.Findings{{
			File: fmt.Sprintf("configuration version %d", snapshot.Version()), Section: "ClientAccount " + c.ClientAccount,
			Problem: "does not exist", Expected: "a client account that is published",
		}})
	}
	key, err := newKey()
	if err != nil {
		p.errorf("making a key: %v", err)

		return exitRejected
	}
	hash := keystore.Hash(key)
	switch outcome := p.retry(limited, func() fleet.StoreOutcome { return keystore.Issue(limited, store, hash, c.ClientAccount) }); outcome {
	case fleet.StoreOK:
	case fleet.StoreAmbiguous:
		p.errorf("the store may have accepted a key that is not shown; to be sure, run: key withdraw %s", hash)

		return exitUnknown
	case fleet.StoreUnavailable:
		p.errorf("the store at %s did not answer within %v; nothing was changed", p.Platform, c.Timeout)

		return exitUnreachable
	default:
		p.errorf("the store did not accept the key: %v; nothing was changed", outcome)

		return exitRejected
	}
	p.printf("%s", key)
	p.errorf("this key of %s is shown only once; its hash is %s", c.ClientAccount, hash)
	p.record(ctx, store, trail.Record{Action: trail.ActionKeyGive, Subject: hash, NewVersion: 1, Detail: "client account " + c.ClientAccount})

	return exitOK
}

func newKey() (string, error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", fmt.Errorf("reading random bytes: %w", err)
	}

	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// retry repeats a write while the store is unavailable, until ctx is done. A
// write that was ambiguous once remains so unless it succeeds later.
func (p *program) retry(ctx context.Context, write func() fleet.StoreOutcome) fleet.StoreOutcome {
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
		p.progress("waiting for the store", 0, 0)
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			p.endProgress()

			return outcome
		}
	}
}

type keyWithdrawCommand struct {
	Hash    string        `arg:"positional" placeholder:"HASH" help:"the key's SHA-256 hash in hex; without it, the key is read from standard input"`
	Timeout time.Duration `arg:"--timeout" default:"5s" help:"how long to retry while the store is unavailable"`
}

func (c *keyWithdrawCommand) run(ctx context.Context, p *program) int {
	if !p.acting() {
		return exitUsage
	}
	hash, ok := c.hash(p)
	if !ok {
		return exitUsage
	}
	if !p.Platform.IsValid() && len(p.Daemons) == 0 {
		p.errorf("--platform and --daemon are missing; expected at least one of them")

		return exitUsage
	}
	var inStore fleet.StoreOutcome
	var before uint64
	var writing sync.WaitGroup
	if p.Platform.IsValid() {
		writing.Go(func() { inStore, before = c.store(ctx, p, hash) })
	}
	confirmed, asked, ambiguous := p.withdrawOnDaemons(ctx, hash)
	writing.Wait()
	p.printf("%d of %d daemons confirmed the withdrawal; store: %s", confirmed, asked, storeReport(p.Platform.IsValid(), inStore, before))
	switch {
	case confirmed > 0 || inStore == fleet.StoreOK:
		return exitOK
	case ambiguous || inStore == fleet.StoreAmbiguous:
		p.errorf("it is not known whether the key is withdrawn; repeat the command")

		return exitUnknown
	case inStore == fleet.StoreRejected:
		p.errorf("the store rejected the withdrawal, and no daemon confirmed it")

		return exitRejected
	}
	p.errorf("neither the store nor a daemon could be reached; the key is not withdrawn")

	return exitUnreachable
}

func storeReport(asked bool, outcome fleet.StoreOutcome, before uint64) string {
	switch {
	case !asked:
		return "not asked, because --platform is not given"
	case outcome != fleet.StoreOK:
		return outcome.String()
	case before == 0:
		return "withdrawn (the store had no such key)"
	case before == 1:
		return "withdrawn"
	}

	return "was already withdrawn"
}

// hash returns the hash given, or that of the key on standard input. Neither
// is printed, because an operator may have given a key by mistake.
func (c *keyWithdrawCommand) hash(p *program) (string, bool) {
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

// store withdraws the key in the store and records it.
func (c *keyWithdrawCommand) store(ctx context.Context, p *program, hash string) (fleet.StoreOutcome, uint64) {
	store, closeStore, _ := p.store()
	defer closeStore()
	limited, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var before uint64
	outcome := p.retry(limited, func() fleet.StoreOutcome {
		version, outcome := keystore.Withdraw(limited, store, hash, "")
		before = max(before, version)

		return outcome
	})
	if outcome == fleet.StoreOK && before < 2 {
		p.record(ctx, store, trail.Record{Action: trail.ActionKeyWithdraw, Subject: hash, OldVersion: before, NewVersion: 2})
	}

	return outcome, before
}

// withdrawOnDaemons tells every known daemon.
func (p *program) withdrawOnDaemons(ctx context.Context, hash string) (confirmed, asked int, ambiguous bool) {
	if len(p.Daemons) == 0 {
		return 0, 0, false
	}
	client, closeClient := operator.NewClient(p.Operator)
	defer closeClient()
	// The given daemons are told before the others are looked up, because they
	// spread the withdrawal.
	told := map[netip.AddrPort]bool{}
	tell := func(daemons []netip.AddrPort) {
		var calls sync.WaitGroup
		var mu sync.Mutex
		slots := make(chan struct{}, maxDaemonCalls)
		for _, daemon := range daemons {
			if told[daemon] {
				continue
			}
			told[daemon] = true
			asked++
			slots <- struct{}{}
			calls.Go(func() {
				defer func() { <-slots }()
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
	tell(p.Daemons)
	tell(p.daemons(ctx, client))

	return confirmed, asked, ambiguous
}
