package gossip

import (
	"encoding/binary"
	"slices"
)

// records is a sequence of records without gaps. A record is the key hash of an
// entry in little-endian order, the length of the packed entry as a varint, and the
// packed entry.
type records []byte

// keyHashBytes is the length of a key hash.
const keyHashBytes = 8

// recordAt decodes the record at an offset and returns the offset of the next one.
func (r records) recordAt(offset int) (keyHash uint64, packed []byte, nextOffset int) {
	keyHash = binary.LittleEndian.Uint64(r[offset:])
	size, n := binary.Uvarint(r[offset+keyHashBytes:])
	start := offset + keyHashBytes + n
	nextOffset = start + int(size) //nolint:gosec // written by add

	return keyHash, r[start:nextOffset], nextOffset
}

func (r records) each(f func(keyHash uint64, packed []byte)) {
	for offset := 0; offset < len(r); {
		keyHash, packed, nextOffset := r.recordAt(offset)
		f(keyHash, packed)
		offset = nextOffset
	}
}

func (r records) find(keyHash uint64) (string, bool) {
	for offset := 0; offset < len(r); {
		hash, packed, nextOffset := r.recordAt(offset)
		if hash == keyHash {
			return string(packed), true
		}
		offset = nextOffset
	}

	return "", false
}

func (r *records) remove(keyHash uint64) {
	for offset := 0; offset < len(*r); {
		hash, _, nextOffset := r.recordAt(offset)
		if hash == keyHash {
			*r = slices.Delete(*r, offset, nextOffset)

			return
		}
		offset = nextOffset
	}
}

// add appends a record. When the buffer is full it grows by a sixteenth only, since
// doubling would leave a quarter of the memory unused on average.
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
