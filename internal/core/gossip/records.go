package gossip

import (
	"encoding/binary"
	"slices"
)

// records is a list of packed entries, each after its key hash and its length.
type records []byte

const keyHashBytes = 8

// next returns the record at a position and the position after it.
func (r records) next(at int) (keyHash uint64, packed []byte, end int) {
	keyHash = binary.LittleEndian.Uint64(r[at:])
	size, n := binary.Uvarint(r[at+keyHashBytes:])
	start := at + keyHashBytes + n
	end = start + int(size) //nolint:gosec // written by add

	return keyHash, r[start:end], end
}

func (r records) each(f func(keyHash uint64, packed []byte)) {
	for at := 0; at < len(r); {
		keyHash, packed, end := r.next(at)
		f(keyHash, packed)
		at = end
	}
}

func (r records) find(keyHash uint64) (string, bool) {
	for at := 0; at < len(r); {
		hash, packed, end := r.next(at)
		if hash == keyHash {
			return string(packed), true
		}
		at = end
	}

	return "", false
}

func (r *records) remove(keyHash uint64) {
	for at := 0; at < len(*r); {
		hash, _, end := r.next(at)
		if hash == keyHash {
			*r = slices.Delete(*r, at, end)

			return
		}
		at = end
	}
}

// add grows the list by a sixteenth at a time, since doubling it would waste a
// quarter of the memory on average.
func (r *records) add(keyHash uint64, packed string) {
	old := *r
	if need := len(old) + keyHashBytes + binary.MaxVarintLen64 + len(packed); need > cap(old) {
		grown := make(records, len(old), need+len(old)/16)
		copy(grown, old)
		old = grown
	}
	old = binary.LittleEndian.AppendUint64(old, keyHash)
	old = binary.AppendUvarint(old, uint64(len(packed)))
	old = append(old, packed...)
	*r = old
}
