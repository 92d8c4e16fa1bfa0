// Package keystore gives and withdraws keys in the platform's store.
//
// A key is absent, then given, then withdrawn; it never moves back. The store
// holds only the SHA-256 hash of a key.
package keystore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Kind is the store's kind of keys. Their names are hashes in hex.
const Kind = "Key"

// maxTries bounds the writes of one call. A key is written at most twice in
// its life, so that more conflicts than that do not occur.
const maxTries = 4

// Store is the platform's store.
type Store interface {
	Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome)
	Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome
}

// Key is the value of a key in the store, as JSON.
type Key struct {
	ClientAccount string
	Withdrawn     bool
}

// Hash returns the name of a key in the store.
func Hash(key string) string {
	hash := sha256.Sum256([]byte(key))

	return hex.EncodeToString(hash[:])
}

// IsHash reports whether name is a SHA-256 hash in lower-case hex.
func IsHash(name string) bool {
	raw, err := hex.DecodeString(name)

	return err == nil && len(raw) == sha256.Size && hex.EncodeToString(raw) == name
}

// Decode returns the key of an object.
func Decode(object fleet.Object) (Key, bool) {
	var key Key
	err := json.Unmarshal(object.Value, &key)

	return key, err == nil && IsHash(object.Name)
}

// Issue stores a key that does not exist. It returns StoreOK if the store has
// the key as given for the client account, StoreConflict if it has the key
// otherwise, StoreUnavailable if nothing was written, or StoreAmbiguous.
func Issue(ctx context.Context, store Store, hash, account string) fleet.StoreOutcome {
	key := Key{ClientAccount: account}
	last := fleet.StoreUnavailable
	for range maxTries {
		outcome := store.Put(ctx, object(hash, key), fleet.IfAbsent)
		switch outcome {
		case fleet.StoreOK, fleet.StoreRejected:
			return outcome
		case fleet.StoreAmbiguous:
			last = outcome
		case fleet.StoreConflict:
			stored, read := store.Get(ctx, Kind, hash)
			if found, ok := Decode(stored); read == fleet.StoreOK {
				if ok && found == key {
					return fleet.StoreOK
				}

				return fleet.StoreConflict
			}
		case fleet.StoreUnavailable, fleet.StoreNotFound:
			return last
		}
	}

	return last
}

// Withdraw stores a key as withdrawn, whether it exists or not. Account is used
// if it does not. It returns the version before, which is 0 if the key was
// absent, 1 if given and 2 if withdrawn, and StoreOK if the store has the key
// as withdrawn, StoreUnavailable if nothing was written, or StoreAmbiguous.
func Withdraw(ctx context.Context, store Store, hash, account string) (uint64, fleet.StoreOutcome) {
	last := fleet.StoreUnavailable
	var before uint64
	for try := range maxTries {
		stored, outcome := store.Get(ctx, Kind, hash)
		condition, key := fleet.IfAbsent, Key{ClientAccount: account, Withdrawn: true}
		switch outcome {
		case fleet.StoreNotFound:
		case fleet.StoreOK:
			condition = fleet.IfVersion(stored.Version)
			if found, ok := Decode(stored); ok {
				if found.Withdrawn {
					if try == 0 {
						before = 2
					}

					return before, fleet.StoreOK
				}
				before, key.ClientAccount = 1, found.ClientAccount
			}
		default:
			return before, last
		}
		switch outcome := store.Put(ctx, object(hash, key), condition); outcome {
		case fleet.StoreOK, fleet.StoreRejected:
			return before, outcome
		case fleet.StoreAmbiguous:
			last = outcome
		case fleet.StoreUnavailable:
			return before, last
		}
	}

	return before, last
}

func object(hash string, key Key) fleet.Object {
	value, err := json.Marshal(key)
	if err != nil {
		panic("encoding a key: " + err.Error()) // a string and a bool always encode
	}

	return fleet.Object{Kind: Kind, Name: hash, Value: value}
}
