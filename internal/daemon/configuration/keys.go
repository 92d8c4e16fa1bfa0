package configuration

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// KeyKind is the store's kind of keys. Their names are hashes in hex.
const KeyKind = "Key"

// Versions of a key's entry.
const (
	KeyGiven     = 1
	KeyWithdrawn = 2
)

const (
	// reconcileInterval bounds how long a withdrawal that the store missed
	// remains unwritten after an outage.
	reconcileInterval = 10 * time.Second
	// reconcileSpread lets one relay write a withdrawal and the others see it,
	// instead of all writing at once.
	reconcileSpread = 2 * time.Second
)

// StoredKey is the value of a key in the store, as JSON.
type StoredKey struct {
	ClientAccount string
	Withdrawn     bool
}

// KeyEntry returns the entry of a key.
func KeyEntry(hash string, key StoredKey) fleet.Entry {
	entry := fleet.Entry{Kind: fleet.KindKey, Key: hash, Version: KeyGiven}
	if key.Withdrawn {
		entry.Version = KeyWithdrawn
	}
	entry.Value = marshal(&peerpb.Key{ClientAccount: key.ClientAccount, Withdrawn: key.Withdrawn})

	return entry
}

// IsKeyHash reports whether name is a SHA-256 hash in lower-case hex.
func IsKeyHash(name string) bool {
	raw, err := hex.DecodeString(name)

	return err == nil && len(raw) == 32 && hex.EncodeToString(raw) == name
}

// watchKeys turns the store's keys into entries.
func (l *Loader) watchKeys(ctx context.Context, random *rand.Rand) {
	l.watch(ctx, KeyKind, random, func(object fleet.Object) {
		var key StoredKey
		if err := json.Unmarshal(object.Value, &key); err != nil || !IsKeyHash(object.Name) {
			l.Log.Warn("object in the store is not a key", "Kind", KeyKind, "Version", object.Version)

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
		if !l.Membership.Relay() {
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
			if l.withdraw(ctx, hash, account) {
				l.settled.Store(hash, true)
			} else if ctx.Err() != nil || time.Since(l.LastContact()) > reconcileInterval {
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
		if _, ok := l.settled.Load(entry.Key); ok || entry.Version < KeyWithdrawn || !IsKeyHash(entry.Key) {
			return
		}
		var key peerpb.Key
		if proto.Unmarshal(entry.Value, &key) == nil {
			pending[entry.Key] = key.GetClientAccount()
		}
	})

	return pending
}

// withdraw ensures that the store has a key as withdrawn. It returns false if
// that is not certain.
func (l *Loader) withdraw(ctx context.Context, hash, account string) bool {
	object, outcome := l.store.Get(ctx, KeyKind, hash)
	condition := fleet.IfAbsent
	switch outcome {
	case fleet.StoreNotFound:
	case fleet.StoreOK:
		condition = fleet.IfVersion(object.Version)
		var key StoredKey
		if json.Unmarshal(object.Value, &key) == nil {
			if key.Withdrawn {
				return true
			}
			account = key.ClientAccount
		}
	default:
		return false
	}
	value, err := json.Marshal(StoredKey{ClientAccount: account, Withdrawn: true})
	if err != nil {
		panic("encoding a key: " + err.Error())
	}
	outcome = l.store.Put(ctx, fleet.Object{Kind: KeyKind, Name: hash, Value: value}, condition)

	return outcome == fleet.StoreOK
}
