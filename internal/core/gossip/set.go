// Package gossip implements the replicated set of entries: merging, rumors,
// anti-entropy by bucket hashes (after Scuttlebutt, van Renesse et al., 2008) and
// the SWIM failure detector (Das, Gupta and Motivala, 2002). It does no I/O; the
// caller passes in the time and a source of randomness. None of its types is safe
// for concurrent use.
package gossip

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// Buckets is the number of hashes in a digest. Each is the hash of the entries of
	// one bucket. Two peers whose roots differ compare their digests.
	Buckets = 64
	// LeavesPerBucket is the number of hashes that two peers compare for a bucket that
	// differs. With 280,000 entries a leaf has about 70 entries.
	LeavesPerBucket = 64
	leafCount       = Buckets * LeavesPerBucket
	// leafShift leaves the 12 high bits of a key hash, which select the leaf.
	leafShift = 64 - 12
)

// Version is the version of one entry, which is identified by the hash of its kind
// and key. Of two versions, the one with the higher (Incarnation, Version) is newer.
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

// KeyHash returns the hash that identifies an entry in exchanges: the xxHash of the
// key combined with the kind.
func KeyHash(kind fleet.EntryKind, key string) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio

	return xxhash.Sum64String(key) ^ uint64(kind)*multiplier
}

func versionOf(e fleet.Entry) Version {
	return Version{KeyHash(e.Kind, e.Key), e.Incarnation, e.Version}
}

// set stores the entries in packed form. Key entries are records in one slice of
// bytes for each leaf: in maps, 280,000 keys with 3,500 members took 41 MB, more than
// the 32 MB of section 1.3. Entries are distinguished only by their 64-bit hashes;
// among 300,000 entries the chance of two with the same hash is below 1 in 100
// million.
type set struct {
	// keys holds key entries by leaf, nonKeys all other entries by bucket and key
	// hash. They are separate so that iterating over the members does not visit
	// 280,000 keys, and a set without keys stays small.
	keys    [leafCount]records
	nonKeys [Buckets]map[uint64]string
	// hashes holds, for each leaf, the exclusive or of the hashes of its versions.
	hashes [leafCount]uint64
	// count is the number of entries.
	count int
}

func leafOf(keyHash uint64) int {
	return int(keyHash >> leafShift) //nolint:gosec // 12 bits
}

// hash returns a hash of the key hash, incarnation and version. It leaves out the
// entry's value, which these determine.
func (v Version) hash() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], v.KeyHash)
	binary.LittleEndian.PutUint64(b[8:], v.Incarnation)
	binary.LittleEndian.PutUint64(b[16:], v.Version)

	return xxhash.Sum64(b[:])
}

func (s *set) lookup(keyHash uint64) (string, bool) {
	leaf := leafOf(keyHash)
	if packed, ok := s.nonKeys[leaf/LeavesPerBucket][keyHash]; ok {
		return packed, true
	}

	return s.keys[leaf].find(keyHash)
}

func (s *set) version(keyHash uint64) (Version, bool) {
	packed, ok := s.lookup(keyHash)
	if !ok {
		return Version{}, false
	}
	h := unpackHeader(packed)

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

// put stores an entry in place of an older version and updates the leaf's hash.
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
		s.keys[leaf].remove(v.KeyHash)
		s.keys[leaf].add(v.KeyHash, pack(e))

		return
	}
	table := &s.nonKeys[leaf/LeavesPerBucket]
	if *table == nil {
		*table = map[uint64]string{}
	}
	(*table)[v.KeyHash] = pack(e)
}

func (s *set) remove(kind fleet.EntryKind, key string) {
	keyHash := KeyHash(kind, key)
	old, ok := s.version(keyHash)
	if !ok {
		return
	}
	leaf := leafOf(keyHash)
	s.hashes[leaf] ^= old.hash()
	delete(s.nonKeys[leaf/LeavesPerBucket], keyHash)
	s.keys[leaf].remove(keyHash)
	s.count--
}

func (s *set) visit(kind fleet.EntryKind, f func(fleet.Entry)) {
	if kind == fleet.KindKey {
		for leaf := range s.keys {
			s.keys[leaf].each(func(_ uint64, packed []byte) { f(unpack(string(packed))) })
		}

		return
	}
	for _, table := range s.nonKeys {
		for _, packed := range table {
			if fleet.EntryKind(packed[0]) == kind {
				f(unpack(packed))
			}
		}
	}
}

func (s *set) leafVersions(leaf int, f func(Version)) {
	s.keys[leaf].each(func(keyHash uint64, packed []byte) {
		h := unpackHeader(packed)
		f(Version{keyHash, h.incarnation, h.version})
	})
	for keyHash, packed := range s.nonKeys[leaf/LeavesPerBucket] {
		if leafOf(keyHash) == leaf {
			h := unpackHeader(packed)
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

// hexKeyBytes is the length in bytes of a SHA-256 hash. Keys that are such a hash in
// lower-case hexadecimal are packed as bytes.
const hexKeyBytes = 32

// header is the decoded start of a packed entry.
type header struct {
	incarnation, version uint64
	// isHex says that the key is packed as the bytes of its hexadecimal form.
	isHex bool
	// keyBytes is the length of the packed key.
	keyBytes int
	// start is the offset of the packed key. The value follows the key.
	start int
}

// pack encodes an entry: the kind and isHex as one byte each, the incarnation, the
// version and the length of the key as varints, the key and the value.
func pack(e fleet.Entry) string {
	key, isHex := e.Key, byte(0)
	if len(key) == 2*hexKeyBytes {
		if raw, err := hex.DecodeString(key); err == nil && hex.EncodeToString(raw) == key {
			key, isHex = string(raw), 1
		}
	}
	b := make([]byte, 0, 32+len(key)+len(e.Value))
	b = append(b, byte(e.Kind), isHex)
	b = binary.AppendUvarint(b, e.Incarnation)
	b = binary.AppendUvarint(b, e.Version)
	b = binary.AppendUvarint(b, uint64(len(key)))
	b = append(b, key...)
	b = append(b, e.Value...)

	return string(b)
}

// unpackHeader decodes the part of a packed entry before the key.
func unpackHeader[T string | []byte](packed T) header {
	h := header{isHex: packed[1] == 1}
	offset := 2
	next := func() uint64 {
		value := uint64(0)
		for shift := 0; ; shift += 7 {
			c := packed[offset]
			offset++
			value |= uint64(c&0x7f) << shift
			if c < 0x80 {
				return value
			}
		}
	}
	h.incarnation, h.version = next(), next()
	h.keyBytes = int(next()) //nolint:gosec // written by pack
	h.start = offset

	return h
}

func unpack(packed string) fleet.Entry {
	h := unpackHeader(packed)
	key := packed[h.start : h.start+h.keyBytes]
	if h.isHex {
		key = hex.EncodeToString([]byte(key))
	}
	e := fleet.Entry{
		Kind: fleet.EntryKind(packed[0]), Key: key, Incarnation: h.incarnation, Version: h.version,
	}
	if value := packed[h.start+h.keyBytes:]; value != "" {
		e.Value = []byte(value)
	}

	return e
}
