package keys

import (
	"bytes"
	"encoding/binary"
	"slices"
	"sort"
	"sync"
)

// Status is the status of a key as far as a daemon knows it.
type Status int

// Statuses of a key. A status can only be replaced by a later one in this list.
const (
	// Absent means that the daemon does not know the key.
	Absent Status = iota
	// Valid means that the key was issued and not withdrawn.
	Valid
	// Withdrawn means that the key must not be accepted. It is final.
	Withdrawn
)

const (
	// idBytes is the length of the part of a key's hash that identifies the key. Among
	// 280,000 keys the chance that two share 128 bits is below 1 in 10^27, and finding a
	// key that matches an existing one takes 2^128 trials.
	idBytes = 16
	// recordBytes is the size of a record: the first idBytes of the key's hash, the number
	// of the client account in 30 bits and the status in 2 bits.
	recordBytes = idBytes + 4
	statusBits  = 2
	// buckets is the number of buckets. It is large enough that inserting a record moves
	// only 680 bytes on average at 280,000 keys. It must not exceed 2^16, since 16 bits
	// of the hash select the bucket.
	buckets = 1 << 12
	// bucketGrowth is the number of records by which a full bucket grows. Growing by a
	// factor would leave a quarter of the table unused.
	bucketGrowth = 4
)

// Table maps key hashes to client accounts and statuses. A status never goes back to an
// earlier one, so updates may arrive in any order and more than once. Each daemon holds
// all keys of the fleet, so records are packed. It is safe for concurrent use.
type Table struct {
	mu sync.RWMutex
	// buckets holds the records, sorted by hash within each bucket. The first 16 bits
	// of the hash modulo the number of buckets select the bucket.
	buckets  [buckets][]byte
	accounts accountNames
	// count is the number of keys, withdrawn the number of withdrawn ones.
	count     int
	withdrawn int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{accounts: newAccountNames()}
}

// locate returns the bucket of a hash and the offset in it of the key's record, or the
// offset at which to insert the record if the key is not found.
func (t *Table) locate(hash Hash) (bucket *[]byte, offset int, found bool) {
	bucket = &t.buckets[binary.BigEndian.Uint16(hash[:])%buckets]
	records := *bucket
	i, found := sort.Find(len(records)/recordBytes, func(i int) int {
		return bytes.Compare(hash[:idBytes], records[i*recordBytes:i*recordBytes+idBytes])
	})

	return bucket, i * recordBytes, found
}

// readRecord decodes the account number and status of a record.
func readRecord(record []byte) (account uint32, status Status) {
	packed := binary.LittleEndian.Uint32(record[idBytes:])

	return packed >> statusBits, Status(packed & (1<<statusBits - 1))
}

// writeRecord sets the account number and status of a record.
func writeRecord(record []byte, account uint32, status Status) {
	binary.LittleEndian.PutUint32(record[idBytes:], account<<statusBits|uint32(status)) //nolint:gosec // at most Withdrawn
}

// Apply updates the status of a key and reports whether the table has changed. A key
// belongs to the client account of the first applied update whose name is not empty.
func (t *Table) Apply(hash Hash, clientAccount string, status Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	bucket, offset, known := t.locate(hash)
	account := uint32(0)

	if known {
		var old Status
		if account, old = readRecord((*bucket)[offset:]); old >= status {
			return false
		}
	} else {
		if cap(*bucket) < len(*bucket)+recordBytes {
			grown := make([]byte, len(*bucket), len(*bucket)+bucketGrowth*recordBytes)
			copy(grown, *bucket)
			*bucket = grown
		}

		var record [recordBytes]byte
		copy(record[:], hash[:idBytes])
		*bucket = slices.Insert(*bucket, offset, record[:]...)
		t.count++
	}

	if account == 0 {
		account = t.accounts.intern(clientAccount)
	}

	writeRecord((*bucket)[offset:], account, status)

	if status == Withdrawn {
		t.withdrawn++
	}

	return true
}

// Lookup returns the client account and status of the key with the hash.
func (t *Table) Lookup(hash Hash) (string, Status) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	bucket, offset, known := t.locate(hash)
	if !known {
		return "", Absent
	}

	account, status := readRecord((*bucket)[offset:])

	return t.accounts.name(account), status
}

// Counts returns the number of all keys and the number of withdrawn keys.
func (t *Table) Counts() (count, withdrawn int) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return t.count, t.withdrawn
}
