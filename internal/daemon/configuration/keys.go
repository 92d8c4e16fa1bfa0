package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/config/keystore"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Versions of a key's entry.
const (
	KeyVersionGiven     = 1
	KeyVersionWithdrawn = 2
)

const (
	// reconcileInterval bounds how long a withdrawal that the store missed
	// remains unwritten after an outage.
	reconcileInterval = 10 * time.Second
	// reconcileSpread lets one relay write a withdrawal and the others see it,
	// instead of all writing at once.
	reconcileSpread = 2 * time.Second
)

// KeyEntry returns the entry of a key.
func KeyEntry(hash string, key keystore.Key) fleet.Entry {
	entry := fleet.Entry{Kind: fleet.KindKey, Key: hash, Version: KeyVersionGiven}
	if key.Withdrawn {
		entry.Version = KeyVersionWithdrawn
	}
	entry.Value = marshal(&peerpb.Key{ClientAccount: key.ClientAccount, Withdrawn: key.Withdrawn})

	return entry
}

// watchKeys turns the store's keys into entries.
func (l *Loader) watchKeys(ctx context.Context, random *rand.Rand) {
	l.watch(ctx, keystore.Kind, random, func(object fleet.Object) {
		key, ok := keystore.Decode(object)
		if !ok {
			l.Log.Warn("object in the store is not a key", "Kind", keystore.Kind, "Version", object.Version)

			return
		}
		if key.Withdrawn {
			l.settled.Store(object.Name, true)
		}
		l.Entries.Publish(KeyEntry(object.Name, key))
	})
}

// reconcileKeys writes withdrawals to the store that it does not have, because
// they were taken while it was unavailable. It never writes a key as given.
func (l *Loader) reconcileKeys(ctx context.Context, random *rand.Rand) {
	changed, stop := l.Entries.Subscribe(fleet.KindKey)
	defer stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(reconcileInterval):
		}
		if !l.Membership.IsRelay() {
			continue
		}
		pending := l.withdrawals()
		if len(pending) == 0 {
			continue
		}
		sleep(ctx, time.Duration(random.Int64N(int64(reconcileSpread))))
		for hash, account := range pending {
			if _, ok := l.settled.Load(hash); ok {
				continue
			}
			if _, outcome := keystore.Withdraw(ctx, l.store, hash, account); outcome == fleet.StoreOK {
				l.settled.Store(hash, true)
			} else if ctx.Err() != nil || time.Since(l.LastStoreContact()) > reconcileInterval {
				break // the store is away, and the next pass tries again
			}
		}
	}
}

// withdrawals returns the withdrawn keys that are not settled, with their
// client accounts.
func (l *Loader) withdrawals() map[string]string {
	pending := map[string]string{}
	l.Entries.Range(fleet.KindKey, func(entry fleet.Entry) {
		if _, ok := l.settled.Load(entry.Key); ok || entry.Version < KeyVersionWithdrawn || !keystore.IsHash(entry.Key) {
			return
		}
		var key peerpb.Key
		if proto.Unmarshal(entry.Value, &key) == nil {
			pending[entry.Key] = key.GetClientAccount()
		}
	})

	return pending
}
