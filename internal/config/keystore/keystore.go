// Package keystore issues and withdraws the API keys of client accounts in the
// platform's store.
//
// A key passes from absent to valid to withdrawn, or from absent directly to
// withdrawn, and never back. The store contains only the SHA-256 hash of a key.
package keystore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Kind is the kind of the store's key objects. The name of a key object is the
// key's SHA-256 hash in lower-case hex.
const Kind = "Key"

// maxAttempts is the highest number of writes in one call. A key is written at most
// twice in its life, so that a call meets no more than 2 conflicts.
const maxAttempts = 4

// Store is the platform's object store.
type Store interface {
	Get(ctx context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome)
	Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome
}

// Key is the value of a key object in the store, which is encoded as JSON.
type Key struct {
	// ClientAccount is the name of the client account to which the key belongs.
	ClientAccount string
	// Withdrawn means that callers may no longer use the key.
	Withdrawn bool
}

// Hash returns the name of a key's object in the store, which is the SHA-256 hash of
// the key in lower-case hex.
func Hash(key string) string {
	hash := sha256.Sum256([]byte(key))

	return hex.EncodeToString(hash[:])
}

// IsHash reports whether name is a SHA-256 hash in lower-case hex.
func IsHash(name string) bool {
	raw, err := hex.DecodeString(name)

	return err == nil && len(raw) == sha256.Size && hex.EncodeToString(raw) == name
}

// Decode returns the decoded value of a key object, and false if the value is not
// valid JSON or the object's name is not a hash.
func Decode(object fleet.Object) (Key, bool) {
	var key Key
	err := json.Unmarshal(object.Value, &key)

	return key, err == nil && IsHash(object.Name)
}

// Issue stores a valid key for a client account unless the store has the key
// already. It returns StoreOK if the store has the valid key for this account,
// StoreConflict if it has the key for another account or withdrawn, StoreRejected if
// the store rejects the write, StoreUnavailable if nothing was written, and
// StoreAmbiguous if a write may have taken effect.
func Issue(ctx context.Context, store Store, hash, account string) fleet.StoreOutcome {
	key := Key{ClientAccount: account}
	// unconfirmed is the outcome if no write is confirmed. It becomes StoreAmbiguous
	// once a write may have taken effect.
	unconfirmed := fleet.StoreUnavailable
	for range maxAttempts {
		outcome := store.Put(ctx, newObject(hash, key), fleet.IfAbsent)
		switch outcome {
		case fleet.StoreOK, fleet.StoreRejected:
			return outcome
		case fleet.StoreAmbiguous:
			unconfirmed = outcome
		case fleet.StoreConflict:
			stored, read := store.Get(ctx, Kind, hash)
			if found, ok := Decode(stored); read == fleet.StoreOK {
				if ok && found == key {
					return fleet.StoreOK
				}

				return fleet.StoreConflict
			}
		case fleet.StoreUnavailable, fleet.StoreNotFound:
			return unconfirmed
		}
	}

	return unconfirmed
}

// Withdraw stores a key as withdrawn. If the store does not have the key, Withdraw
// creates it as a withdrawn key of account, the name of a client account. Withdraw
// returns the version of the key before the call, which is 0 if the key was absent, 1
// if it was valid and 2 if it was withdrawn already. The outcome is StoreOK if the
// store has the key as withdrawn, StoreRejected if the store rejects the write,
// StoreUnavailable if nothing was written, and StoreAmbiguous if a write may have taken
// effect.
func Withdraw(ctx context.Context, store Store, hash, account string) (uint64, fleet.StoreOutcome) {
	// unconfirmed is the outcome if no write is confirmed. It becomes StoreAmbiguous
	// once a write may have taken effect.
	unconfirmed := fleet.StoreUnavailable
	var previousVersion uint64
	for attempt := range maxAttempts {
		stored, outcome := store.Get(ctx, Kind, hash)
		condition, key := fleet.IfAbsent, Key{ClientAccount: account, Withdrawn: true}
		switch outcome {
		case fleet.StoreNotFound:
		case fleet.StoreOK:
			condition = fleet.IfVersion(stored.Version)
			if found, ok := Decode(stored); ok {
				if found.Withdrawn {
					if attempt == 0 {
						previousVersion = 2
					}

					return previousVersion, fleet.StoreOK
				}
				previousVersion, key.ClientAccount = 1, found.ClientAccount
			}
		default:
			return previousVersion, unconfirmed
		}
		switch outcome := store.Put(ctx, newObject(hash, key), condition); outcome {
		case fleet.StoreOK, fleet.StoreRejected:
			return previousVersion, outcome
		case fleet.StoreAmbiguous:
			unconfirmed = outcome
		case fleet.StoreUnavailable:
			return previousVersion, unconfirmed
		}
	}

	return previousVersion, unconfirmed
}

// newObject returns the object that stores key under hash.
func newObject(hash string, key Key) fleet.Object {
	value, err := json.Marshal(key)
	if err != nil {
		panic("encode key: " + err.Error()) // a string and a bool can always be encoded
	}

	return fleet.Object{Kind: Kind, Name: hash, Value: value}
}
