package gossip

import (
	"encoding/binary"
	"slices"
)

// packedLeaf holds the entries of one leaf one after another: the hash of the
// key, the length and the packed entry. A map with a string for each of 280,000
// keys takes about twice as much.
type packedLeaf []byte

// leafGrowth is by how many bytes a full leaf grows, a few keys. Growing by a
// factor would leave a quarter of the leaves unused.
const leafGrowth = 256

// each calls f with every entry and the part of the leaf that it takes, until f
// returns false.
func (l packedLeaf) each(f func(keyHash uint64, packed []byte, start, end int) bool) {
	for at := 0; at < len(l); {
		start := at
		keyHash := binary.LittleEndian.Uint64(l[at:])
		size, n := binary.Uvarint(l[at+8:])
		at += 8 + n + int(size) //nolint:gosec // written by put
		if !f(keyHash, l[at-int(size):at:at], start, at) {
			return
		}
	}
}

// find returns an entry and the part of the leaf that it takes, or nil.
func (l packedLeaf) find(keyHash uint64) (found []byte, start, end int) {
	l.each(func(h uint64, packed []byte, from, to int) bool {
		if h == keyHash {
			found, start, end = packed, from, to
		}

		return h != keyHash
	})

	return found, start, end
}

// put replaces the entry with the key hash, or adds it.
func (l packedLeaf) put(keyHash uint64, packed []byte) packedLeaf {
	l = l.remove(keyHash)
	var head [8 + binary.MaxVarintLen64]byte
	binary.LittleEndian.PutUint64(head[:], keyHash)
	n := 8 + binary.PutUvarint(head[8:], uint64(len(packed)))
	if need := len(l) + n + len(packed); need > cap(l) {
		grown := make(packedLeaf, len(l), need+leafGrowth)
		copy(grown, l)
		l = grown
	}

	return append(append(l, head[:n]...), packed...)
}

func (l packedLeaf) remove(keyHash uint64) packedLeaf {
	if found, start, end := l.find(keyHash); found != nil {
		return slices.Delete(l, start, end)
	}

	return l
}
