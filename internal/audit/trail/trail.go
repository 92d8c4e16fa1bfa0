// Package trail records who changed what, as objects in the platform's store.
package trail

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// Kind is the store's kind of audit records.
	Kind = "Audit"
	// nameLayout has a fixed width, so that the order of names is that of time.
	nameLayout = "20060102T150405.000000000Z"
	// capacity bounds the records held while the store is away. Operators make
	// a few changes a minute, so that it lasts for hours.
	capacity = 1024
	// maxDetailBytes bounds Detail, which may quote findings.
	maxDetailBytes = 8 << 10
	// firstRetry and maxRetry bound the wait after a failed write.
	firstRetry = 500 * time.Millisecond
	maxRetry   = 30 * time.Second
)

// Actions of records.
const (
	ActionPublish     = "Publish"
	ActionKeyGive     = "KeyGive"
	ActionKeyWithdraw = "KeyWithdraw"
	ActionDrain       = "Drain"
	ActionUndrain     = "Undrain"
	ActionEject       = "Eject"
)

// Record is one change. No field contains a key; a key's Subject is its hash.
type Record struct {
	Who     string
	When    time.Time
	Action  string
	Subject string
	// OldVersion and NewVersion are zero where the action has no versions.
	OldVersion uint64
	NewVersion uint64
	Detail     string
}

// Store is the platform's store.
type Store interface {
	Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome
	List(ctx context.Context, kind string, after string) ([]fleet.Object, fleet.StoreOutcome)
}

// Trail writes records in the order of their addition. It holds the latest
// 1,024 records that are not written yet and drops the oldest beyond that.
type Trail struct {
	store Store
	log   *slog.Logger

	mu sync.Mutex
	// ring holds count objects from position first.
	ring         [capacity]fleet.Object
	first, count int
	dropped      uint64
	added        chan struct{}
	written      chan struct{} // closed and replaced when a record leaves the ring
}

// New starts a trail and returns a function that stops it, which leaves
// unwritten records behind; see Flush.
func New(store Store, log *slog.Logger) (*Trail, func()) {
	t := &Trail{store: store, log: log, added: make(chan struct{}, 1), written: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { t.write(ctx) })

	return t, func() {
		cancel()
		writer.Wait()
	}
}

// Add records a change without waiting for the store. When defaults to now.
func (t *Trail) Add(record Record) {
	if record.When.IsZero() {
		record.When = time.Now()
	}
	record.When = record.When.UTC()
	record.Detail = record.Detail[:min(len(record.Detail), maxDetailBytes)]
	value, err := json.Marshal(record)
	if err != nil {
		panic("encoding an audit record: " + err.Error()) // only years beyond 9999 fail
	}
	object := fleet.Object{Kind: Kind, Name: record.When.Format(nameLayout) + "-" + uuid.NewString(), Value: value}
	t.mu.Lock()
	if t.count == capacity {
		t.pop()
		t.dropped++
	}
	t.ring[(t.first+t.count)%capacity] = object
	t.count++
	t.mu.Unlock()
	select {
	case t.added <- struct{}{}:
	default: // the writer has yet to take the previous signal
	}
}

// Pending returns the number of records that are not written yet.
func (t *Trail) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.count
}

// PendingRecords returns the records that are not written yet, as JSON and in the
// order of their addition, so that a daemon that stops can log them.
func (t *Trail) PendingRecords() []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	records := make([]string, 0, t.count)
	for i := range t.count {
		records = append(records, string(t.ring[(t.first+i)%capacity].Value))
	}

	return records
}

// Dropped returns the number of records that were never written.
func (t *Trail) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.dropped
}

// Flush waits until every record is written or dropped. It returns false if
// ctx ended before.
func (t *Trail) Flush(ctx context.Context) bool {
	for {
		t.mu.Lock()
		count, written := t.count, t.written
		t.mu.Unlock()
		if count == 0 {
			return true
		}
		select {
		case <-written:
		case <-ctx.Done():
			return false
		}
	}
}

// pop removes the oldest record.
func (t *Trail) pop() {
	t.ring[t.first] = fleet.Object{}
	t.first = (t.first + 1) % capacity
	t.count--
	close(t.written)
	t.written = make(chan struct{})
}

func (t *Trail) oldest() (fleet.Object, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.ring[t.first], t.count > 0
}

// remove takes an object off the ring, unless it was dropped in the meantime.
func (t *Trail) remove(name string, rejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == 0 || t.ring[t.first].Name != name {
		if !rejected {
			t.dropped-- // it was written after it had been dropped from the ring
		}

		return
	}
	t.pop()
	if rejected {
		t.dropped++
	}
}

func (t *Trail) write(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		object, ok := t.oldest()
		if !ok {
			select {
			case <-t.added:
			case <-ctx.Done():
			}

			continue
		}
		switch outcome := t.store.Put(ctx, object, fleet.IfAbsent); outcome {
		case fleet.StoreOK, fleet.StoreConflict:
			// The name is unique, so that a conflict is with an earlier attempt.
			t.remove(object.Name, false)
			retry = firstRetry
		case fleet.StoreRejected:
			t.log.Error("audit record rejected by the store", "Name", object.Name)
			t.remove(object.Name, true)
		default:
			select {
			case <-time.After(retry):
			case <-ctx.Done():
			}
			retry = min(2*retry, maxRetry)
		}
	}
}
