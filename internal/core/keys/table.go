package keys

import (
	"bytes"
	"encoding/binary"
	"slices"
	"sort"
	"sync"
)

// Status is what a daemon knows about a key.
type Status int

// Statuses of a key, in the only order in which they may follow.
const (
	// Absent means that the key was never given.
	Absent Status = iota
	// Valid means that the key is valid.
	Valid
	// Withdrawn is final.
	Withdrawn
)

const (
	// idBytes is how much of a key's hash identifies it. Among 280,000 keys the
	// chance that two share 128 bits is below 1 in 10^27, and a key that matches
	// a given one takes 2^128 trials.
	idBytes = 16
	// recordBytes is an id, the client account's number and the status, which
	// are in 30 and 2 bits.
	recordBytes = idBytes + 4
	statusBits  = 2
	// buckets is chosen so that inserting into one moves 680 bytes on average
	// at 280,000 keys. It is at most 2^16, the bits that select a bucket.
	buckets = 1 << 12
	// growRecords is by how many records a bucket grows. Growing by a factor
	// would leave a quarter of the table unused.
	growRecords = 4
)

// Table maps key hashes to client accounts. Status only moves forward, so
// updates may arrive in any order and more than once. Each daemon holds all
// keys of the fleet, so records are packed and sorted within buckets.
type Table struct {
	mu sync.RWMutex
	// buckets holds the records by the first bits of their hash.
	buckets   [buckets][]byte
	accounts  accountNames
	known     int
	withdrawn int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{accounts: newAccountNames()}
}

// bucket returns the bucket of a hash, and the offset of its record or of where
// the record belongs.
func (t *Table) bucket(hash Hash) (bucket *[]byte, at int, found bool) {
	bucket = &t.buckets[binary.BigEndian.Uint16(hash[:])%buckets]
	records := *bucket
	i, found := sort.Find(len(records)/recordBytes, func(i int) int {
		return bytes.Compare(hash[:idBytes], records[i*recordBytes:i*recordBytes+idBytes])
	})

	return bucket, i * recordBytes, found
}

func read(record []byte) (account uint32, status Status) {
	packed := binary.LittleEndian.Uint32(record[idBytes:])

	return packed >> statusBits, Status(packed & (1<<statusBits - 1))
}

func write(record []byte, account uint32, status Status) {
	binary.LittleEndian.PutUint32(record[idBytes:], account<<statusBits|uint32(status)) //nolint:gosec // statuses are small
}

// Apply records the status of a key and reports whether that was news.
// A key belongs to the client account of the first call that names one.
func (t *Table) Apply(hash Hash, clientAccount string, status Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	bucket, at, known := t.bucket(hash)
	account := uint32(0)

	if known {
		var old Status
		if account, old = read((*bucket)[at:]); old >= status {
			return false
		}
	} else {
		if cap(*bucket) < len(*bucket)+recordBytes {
			grown := make([]byte, len(*bucket), len(*bucket)+growRecords*recordBytes)
			copy(grown, *bucket)
			*bucket = grown
		}

		var record [recordBytes]byte
		copy(record[:], hash[:idBytes])
		*bucket = slices.Insert(*bucket, at, record[:]...)
		t.known++
	}

	if account == 0 {
		account = t.accounts.number(clientAccount)
	}

	write((*bucket)[at:], account, status)

	if status == Withdrawn {
		t.withdrawn++
	}

	return true
}

// Lookup returns the client account and status of the key with the given hash.
func (t *Table) Lookup(hash Hash) (string, Status) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	bucket, at, known := t.bucket(hash)
	if !known {
		return "", Absent
	}

	account, status := read((*bucket)[at:])

	return t.accounts.name(account), status
}

// Counts returns how many keys are known and how many of them are withdrawn.
func (t *Table) Counts() (known, withdrawn int) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.known, t.withdrawn
}
