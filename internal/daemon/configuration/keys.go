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

// Versions of a key's replicated entry. The higher version wins, so that a withdrawn
// key never becomes valid again.
const (
	KeyVersionGiven     = 1
	KeyVersionWithdrawn = 2
)

const (
	// reconcileInterval is the longest time between two checks for withdrawals that
	// are missing in the store, and thus bounds their delay after an outage.
	reconcileInterval = 10 * time.Second
	// reconcileJitter is the maximum random delay before a relay writes missing
	// withdrawals. Usually one relay writes first and the others see its write.
	reconcileJitter = 2 * time.Second
)

// KeyEntry returns the replicated entry of a key. Hash is the key's hash in the form in
// which it is the name of the key's object in the store.
func KeyEntry(hash string, key keystore.Key) fleet.Entry {
	entry := fleet.Entry{Kind: fleet.KindKey, Key: hash, Version: KeyVersionGiven}
	if key.Withdrawn {
		entry.Version = KeyVersionWithdrawn
	}
	entry.Value = marshalValue(&peerpb.Key{ClientAccount: key.ClientAccount, Withdrawn: key.Withdrawn})

	return entry
}

// watchKeys publishes the keys that the store has or changes as replicated entries.
func (l *Loader) watchKeys(ctx context.Context, random *rand.Rand) {
	l.watch(ctx, keystore.Kind, random, func(object fleet.Object) {
		key, ok := keystore.Decode(object)
		if !ok {
			l.Log.Warn("ignoring malformed key object in the store", "Kind", keystore.Kind, "Version", object.Version)

			return
		}
		if key.Withdrawn {
			l.withdrawnInStore.Store(object.Name, true)
		}
		l.Entries.Publish(KeyEntry(object.Name, key))
	})
}

// reconcileKeys writes withdrawals that the store lacks because daemons accepted them
// while it was unavailable. Only relays write, and a key is never written as given.
func (l *Loader) reconcileKeys(ctx context.Context, random *rand.Rand) {
	changed, unsubscribe := l.Entries.Subscribe(fleet.KindKey)
	defer unsubscribe()
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
		pending := l.pendingWithdrawals()
		if len(pending) == 0 {
			continue
		}
		sleep(ctx, time.Duration(random.Int64N(int64(reconcileJitter))))
		for hash, account := range pending {
			if _, ok := l.withdrawnInStore.Load(hash); ok {
				continue
			}
			if _, outcome := keystore.Withdraw(ctx, l.store, hash, account); outcome == fleet.StoreOK {
				l.withdrawnInStore.Store(hash, true)
			} else if ctx.Err() != nil || time.Since(l.LastStoreContact()) > reconcileInterval {
				break // the store is unavailable; the next pass retries
			}
		}
	}
}

// pendingWithdrawals returns the withdrawn keys that the store is not known to have as
// withdrawn. It maps their hashes to their client accounts.
func (l *Loader) pendingWithdrawals() map[string]string {
	pending := map[string]string{}
	l.Entries.Range(fleet.KindKey, func(entry fleet.Entry) {
		if _, ok := l.withdrawnInStore.Load(entry.Key); ok || entry.Version < KeyVersionWithdrawn || !keystore.IsHash(entry.Key) {
			return
		}
		var key peerpb.Key
		if proto.Unmarshal(entry.Value, &key) == nil {
			pending[entry.Key] = key.GetClientAccount()
		}
	})

	return pending
}
