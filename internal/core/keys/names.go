package keys

import (
	"encoding/binary"
	"hash/maphash"
)

const (
	// chunkBits is the number of bits of an offset in a chunk.
	chunkBits = 14
	// chunkBytes is the usual capacity of a chunk. The longest name of a published
	// client account is 64 bytes, so little memory is unused at the end of a chunk.
	chunkBytes = 1 << chunkBits
)

// accountNames is a table of interned client account names, numbered from 1. The empty name
// has the number 0. Each name takes its length plus about 12 bytes, while a string in a map
// takes its length plus about 70.
type accountNames struct {
	seed maphash.Seed
	// chunks hold the names one after another, each preceded by its length as a varint.
	// Names are added to the last chunk only. A name that is longer than chunkBytes has
	// a chunk of its own.
	chunks [][]byte
	// locations holds, by the number of a name, the index of its chunk and, in the low
	// chunkBits, its offset in the chunk.
	locations []uint32
	// slots is a hash table of the names' numbers with linear probing. An empty slot
	// is 0.
	slots []uint32
}

func newAccountNames() accountNames {
	return accountNames{seed: maphash.MakeSeed(), locations: make([]uint32, 1), slots: make([]uint32, 16)}
}

// intern returns the number of a name, which it adds if it is new.
func (a *accountNames) intern(name string) uint32 {
	if name == "" {
		return 0
	}

	slot := a.findSlot(name)
	if a.slots[slot] != 0 {
		return a.slots[slot]
	}

	a.locations = append(a.locations, a.appendName(name))
	number := uint32(len(a.locations) - 1) //nolint:gosec // below the number of keys
	a.slots[slot] = number

	if 4*len(a.locations) > 3*len(a.slots) {
		a.slots = make([]uint32, 2*len(a.slots))
		for n := range a.locations[1:] {
			a.slots[a.findSlot(string(a.nameBytes(uint32(n+1))))] = uint32(n + 1) //nolint:gosec // below the number of keys
		}
	}

	return number
}

// name returns the name with the number.
func (a *accountNames) name(number uint32) string {
	if number == 0 {
		return ""
	}

	return string(a.nameBytes(number))
}

// nameBytes returns the name with the number, which must not be 0. The caller must not
// change it.
func (a *accountNames) nameBytes(number uint32) []byte {
	location := a.locations[number]
	stored := a.chunks[location>>chunkBits][location%chunkBytes:]
	length, n := binary.Uvarint(stored)

	return stored[n : n+int(length)] //nolint:gosec // written by appendName
}

// appendName copies a name to the last chunk, or to a new one, and returns its location.
func (a *accountNames) appendName(name string) uint32 {
	need := binary.MaxVarintLen64 + len(name)

	last := len(a.chunks) - 1
	if last < 0 || cap(a.chunks[last])-len(a.chunks[last]) < need {
		a.chunks = append(a.chunks, make([]byte, 0, max(need, chunkBytes)))
		last++
	}

	chunk := a.chunks[last]
	location := uint32(last<<chunkBits + len(chunk)) //nolint:gosec // 2^18 chunks are 4 GB
	chunk = binary.AppendUvarint(chunk, uint64(len(name)))
	a.chunks[last] = append(chunk, name...)

	return location
}

// findSlot returns the slot of the name, or the free slot to insert it in.
func (a *accountNames) findSlot(name string) int {
	mask := uint64(len(a.slots) - 1)
	index := maphash.String(a.seed, name) & mask

	for a.slots[index] != 0 && string(a.nameBytes(a.slots[index])) != name {
		index = (index + 1) & mask
	}

	return int(index) //nolint:gosec // below the number of slots
}
