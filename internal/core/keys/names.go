package keys

import (
	"encoding/binary"
	"hash/maphash"
)

// chunkBytes is large against the 64 bytes of the longest name of a published
// client account, so that little is unused at the end of a chunk.
const (
	chunkBits  = 14
	chunkBytes = 1 << chunkBits
)

// accountNames numbers client accounts from 1; the empty name has number 0.
// A name takes about 12 bytes beside its own, and a string in a map about 70.
type accountNames struct {
	seed maphash.Seed
	// chunks hold the names one after another, each behind its length. Only the
	// last chunk has room, and a name beyond chunkBytes has a chunk of its own.
	chunks [][]byte
	// places holds the number of the chunk and the offset of each name.
	places []uint32
	// slots is a hash table of the names' numbers with linear probing.
	slots []uint32
}

func newAccountNames() accountNames {
	return accountNames{seed: maphash.MakeSeed(), places: make([]uint32, 1), slots: make([]uint32, 16)}
}

// number returns the number of a name, which is added if it is new.
func (a *accountNames) number(name string) uint32 {
	if name == "" {
		return 0
	}

	slot := a.find(name)
	if a.slots[slot] != 0 {
		return a.slots[slot]
	}

	a.places = append(a.places, a.store(name))
	number := uint32(len(a.places) - 1) //nolint:gosec // below the number of keys
	a.slots[slot] = number

	if 4*len(a.places) > 3*len(a.slots) {
		a.slots = make([]uint32, 2*len(a.slots))
		for n := range a.places[1:] {
			a.slots[a.find(string(a.bytes(uint32(n+1))))] = uint32(n + 1) //nolint:gosec // below the number of keys
		}
	}

	return number
}

// name returns the name with a number.
func (a *accountNames) name(number uint32) string {
	if number == 0 {
		return ""
	}

	return string(a.bytes(number))
}

func (a *accountNames) bytes(number uint32) []byte {
	place := a.places[number]
	stored := a.chunks[place>>chunkBits][place%chunkBytes:]
	length, n := binary.Uvarint(stored)

	return stored[n : n+int(length)] //nolint:gosec // written by store
}

func (a *accountNames) store(name string) uint32 {
	need := binary.MaxVarintLen64 + len(name)

	last := len(a.chunks) - 1
	if last < 0 || cap(a.chunks[last])-len(a.chunks[last]) < need {
		a.chunks = append(a.chunks, make([]byte, 0, max(need, chunkBytes)))
		last++
	}

	chunk := a.chunks[last]
	place := uint32(last<<chunkBits + len(chunk)) //nolint:gosec // 2^18 chunks are 4 GB
	chunk = binary.AppendUvarint(chunk, uint64(len(name)))
	a.chunks[last] = append(chunk, name...)

	return place
}

// find returns the slot of a name, or the free slot for it.
func (a *accountNames) find(name string) int {
	mask := uint64(len(a.slots) - 1)
	at := maphash.String(a.seed, name) & mask

	for a.slots[at] != 0 && string(a.bytes(a.slots[at])) != name {
		at = (at + 1) & mask
	}

	return int(at) //nolint:gosec // below the number of slots
}
