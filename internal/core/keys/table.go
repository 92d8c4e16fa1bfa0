package keys

import "sync"

// Status is what a daemon knows about a key.
type Status int

// Statuses of a key, in the only order in which they may follow.
const (
	// Absent means that the key was never given.
	Absent Status = iota
	// Given means that the key is valid.
	Given
	// Withdrawn is final.
	Withdrawn
)

type record struct {
	// account indexes Table.accounts, which many keys share.
	account uint32
	status  Status
}

// Table maps key hashes to client accounts. Status only moves forward, so
// updates may arrive in any order and more than once.
type Table struct {
	mu        sync.RWMutex
	records   map[Hash]record
	accounts  []string
	indexes   map[string]uint32
	withdrawn int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[Hash]record), indexes: make(map[string]uint32)}
}

// Apply records the status of a key and reports whether that was news.
// A key belongs to the client account of the first call that names one.
func (t *Table) Apply(hash Hash, clientAccount string, status Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	old, known := t.records[hash]
	if known && old.status >= status {
		return false
	}

	if !known || t.accounts[old.account] == "" {
		old.account = t.index(clientAccount)
	}

	old.status = status
	t.records[hash] = old

	if status == Withdrawn {
		t.withdrawn++
	}

	return true
}

// Check returns the client account and status of the key with the given hash.
func (t *Table) Check(hash Hash) (string, Status) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	r, known := t.records[hash]
	if !known {
		return "", Absent
	}

	return t.accounts[r.account], r.status
}

// Counts returns how many keys are known and how many of them are withdrawn.
func (t *Table) Counts() (known, withdrawn int) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return len(t.records), t.withdrawn
}

func (t *Table) index(clientAccount string) uint32 {
	if i, ok := t.indexes[clientAccount]; ok {
		return i
	}

	i := uint32(len(t.accounts)) //nolint:gosec // bounded by the number of client accounts
	t.accounts = append(t.accounts, clientAccount)
	t.indexes[clientAccount] = i

	return i
}
