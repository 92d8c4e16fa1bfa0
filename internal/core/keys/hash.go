// Package keys checks callers' keys and keeps them away from upstreams.
package keys

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash is the SHA-256 hash of a key. Keys themselves are never stored.
type Hash [sha256.Size]byte

// HashKey returns the hash of key.
func HashKey(key string) Hash {
	return sha256.Sum256([]byte(key))
}

// ParseHash reads the lower-case hexadecimal form.
func ParseHash(text string) (Hash, bool) {
	var h Hash
	if hex.DecodedLen(len(text)) != len(h) {
		return h, false
	}

	_, err := hex.Decode(h[:], []byte(text))

	return h, err == nil
}

// String returns the lower-case hexadecimal form.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}
