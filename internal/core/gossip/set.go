// Package gossip holds the replicated set of entries: merging, rumors,
// anti-entropy by bucket hashes (after Scuttlebutt, van Renesse et al., 2008)
// and the SWIM failure detector (Das, Gupta and Motivala, 2002). It does no I/O;
// time and randomness are passed in. None of its types is safe for concurrent
// use.
package gossip

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// Buckets is the number of hashes that open an anti-entropy exchange.
	Buckets = 64
	// LeavesPerBucket is the number of hashes that locate a difference within
	// a bucket. With 280,000 entries a leaf holds about 70.
	LeavesPerBucket = 64
	leaves          = Buckets * LeavesPerBucket
	leafShift       = 64 - 12
)

// Version names an entry by the hash of its kind and key.
type Version struct {
	KeyHash     uint64
	Incarnation uint64
	Version     uint64
}

func (v Version) newer(other Version) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}

	return v.Version > other.Version
}

// KeyHash returns the hash that identifies an entry in exchanges.
func KeyHash(kind fleet.EntryKind, key string) uint64 {
	const odd = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio

	return xxhash.Sum64String(key) ^ uint64(kind)*odd
}

func versionOf(e fleet.Entry) Version {
	return Version{KeyHash(e.Kind, e.Key), e.Incarnation, e.Version}
}

// set stores packed entries by leaf: at 280,000 keys the unpacked entries would
// exceed the 32 MB of section 1.3. Of two keys with the
// same 64-bit hash only the first is stored; among 300,000 entries the chance
// of one such pair is below 1 in 100 million.
type set struct {
	// keys holds key entries by leaf and others the rest by bucket, so that
	// going over the members does not pass 280,000 keys, and a set without
	// keys stays small.
	keys   [leaves]packedLeaf
	others [Buckets]map[uint64][]byte
	hashes [leaves]uint64
	count  int
}

func leafOf(keyHash uint64) int {
	return int(keyHash >> leafShift) //nolint:gosec // 12 bits
}

// hash covers the version but not the value, which the version determines.
func (v Version) hash() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], v.KeyHash)
	binary.LittleEndian.PutUint64(b[8:], v.Incarnation)
	binary.LittleEndian.PutUint64(b[16:], v.Version)

	return xxhash.Sum64(b[:])
}

// lookup returns a packed entry, which is valid until the set changes.
func (s *set) lookup(keyHash uint64) ([]byte, bool) {
	leaf := leafOf(keyHash)
	if packed, ok := s.others[leaf/LeavesPerBucket][keyHash]; ok {
		return packed, true
	}
	packed, _, _ := s.keys[leaf].find(keyHash)

	return packed, packed != nil
}

func (s *set) version(keyHash uint64) (Version, bool) {
	packed, ok := s.lookup(keyHash)
	if !ok {
		return Version{}, false
	}
	h := unpackHead(packed)

	return Version{keyHash, h.incarnation, h.version}, true
}

func (s *set) entry(keyHash uint64) (fleet.Entry, bool) {
	packed, ok := s.lookup(keyHash)
	if !ok {
		return fleet.Entry{}, false
	}

	return unpack(packed), true
}

func (s *set) get(kind fleet.EntryKind, key string) (fleet.Entry, bool) {
	e, ok := s.entry(KeyHash(kind, key))
	if !ok || e.Kind != kind || e.Key != key {
		return fleet.Entry{}, false
	}

	return e, true
}

// put stores the entry and keeps the leaf's hash.
func (s *set) put(e fleet.Entry) {
	v := versionOf(e)
	leaf := leafOf(v.KeyHash)
	if old, ok := s.version(v.KeyHash); ok {
		s.hashes[leaf] ^= old.hash()
	} else {
		s.count++
	}
	s.hashes[leaf] ^= v.hash()
	if e.Kind == fleet.KindKey {
		s.keys[leaf] = s.keys[leaf].put(v.KeyHash, pack(e))

		return
	}
	bucket := &s.others[leaf/LeavesPerBucket]
	if *bucket == nil {
		*bucket = map[uint64][]byte{}
	}
	(*bucket)[v.KeyHash] = pack(e)
}

func (s *set) remove(kind fleet.EntryKind, key string) {
	keyHash := KeyHash(kind, key)
	old, ok := s.version(keyHash)
	if !ok {
		return
	}
	leaf := leafOf(keyHash)
	s.hashes[leaf] ^= old.hash()
	delete(s.others[leaf/LeavesPerBucket], keyHash)
	s.keys[leaf] = s.keys[leaf].remove(keyHash)
	s.count--
}

func (s *set) visit(kind fleet.EntryKind, f func(fleet.Entry)) {
	if kind == fleet.KindKey {
		for _, leaf := range s.keys {
			leaf.each(func(_ uint64, packed []byte, _, _ int) bool {
				f(unpack(packed))

				return true
			})
		}

		return
	}
	for _, bucket := range s.others {
		for _, packed := range bucket {
			if fleet.EntryKind(packed[0]) == kind {
				f(unpack(packed))
			}
		}
	}
}

func (s *set) leafVersions(leaf int, f func(Version)) {
	s.keys[leaf].each(func(keyHash uint64, packed []byte, _, _ int) bool {
		h := unpackHead(packed)
		f(Version{keyHash, h.incarnation, h.version})

		return true
	})
	for keyHash, packed := range s.others[leaf/LeavesPerBucket] {
		if leafOf(keyHash) == leaf {
			h := unpackHead(packed)
			f(Version{keyHash, h.incarnation, h.version})
		}
	}
}

func (s *set) bucketHash(bucket int) uint64 {
	sum := uint64(0)
	for _, h := range s.hashes[bucket*LeavesPerBucket : (bucket+1)*LeavesPerBucket] {
		sum ^= h
	}

	return sum
}

// hexKeyBytes is the length of a SHA-256 hash; keys in hexadecimal are packed
// as bytes.
const hexKeyBytes = 32

type head struct {
	incarnation, version uint64
	isHex                bool
	keyBytes             int
	start                int
}

func pack(e fleet.Entry) []byte {
	key, isHex := e.Key, byte(0)
	if len(key) == 2*hexKeyBytes {
		if raw, err := hex.DecodeString(key); err == nil && hex.EncodeToString(raw) == key {
			key, isHex = string(raw), 1
		}
	}
	b := make([]byte, 0, 2+3*binary.MaxVarintLen64+len(key)+len(e.Value))
	b = append(b, byte(e.Kind), isHex)
	b = binary.AppendUvarint(b, e.Incarnation)
	b = binary.AppendUvarint(b, e.Version)
	b = binary.AppendUvarint(b, uint64(len(key)))
	b = append(b, key...)
	b = append(b, e.Value...)

	return bytes.Clone(b) // without the spare capacity
}

func unpackHead(packed []byte) head {
	h := head{isHex: packed[1] == 1}
	at := 2
	next := func() uint64 {
		value := uint64(0)
		for shift := 0; ; shift += 7 {
			c := packed[at]
			at++
			value |= uint64(c&0x7f) << shift
			if c < 0x80 {
				return value
			}
		}
	}
	h.incarnation, h.version = next(), next()
	h.keyBytes = int(next()) //nolint:gosec // written by pack
	h.start = at

	return h
}

func unpack(packed []byte) fleet.Entry {
	h := unpackHead(packed)
	rawKey := packed[h.start : h.start+h.keyBytes]
	var key string
	if h.isHex {
		key = hex.EncodeToString(rawKey)
	} else {
		key = string(rawKey)
	}
	e := fleet.Entry{
		Kind: fleet.EntryKind(packed[0]), Key: key, Incarnation: h.incarnation, Version: h.version,
	}
	if value := packed[h.start+h.keyBytes:]; len(value) > 0 {
		e.Value = bytes.Clone(value)
	}

	return e
}
