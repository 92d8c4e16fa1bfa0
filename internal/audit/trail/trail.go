// Package trail writes and reads the audit trail, which records who changed what, as
// objects in the platform's store.
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
	// Kind is the kind of the store's audit objects.
	Kind = "Audit"
	// nameLayout is the time format at the beginning of an object's name. It has a
	// fixed width, so that the order of names is the order of time.
	nameLayout = "20060102T150405.000000000Z"
	// ringCapacity is the number of records that are buffered while the store is
	// unavailable. Operators make a few changes a minute, so that the buffer suffices
	// for hours.
	ringCapacity = 1024
	// maxDetailBytes is the size to which Add truncates Detail, which may quote
	// findings.
	maxDetailBytes = 8 << 10
	// minRetryDelay and maxRetryDelay are the first and the longest wait after a failed
	// write.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// The values of Record.Action.
const (
	ActionPublish     = "Publish"
	ActionKeyGive     = "KeyGive"
	ActionKeyWithdraw = "KeyWithdraw"
	ActionDrain       = "Drain"
	ActionUndrain     = "Undrain"
	ActionEject       = "Eject"
)

// Record describes one change. It is stored as JSON. No field may contain an API key;
// the Subject of a change of a key is the key's hash.
type Record struct {
	// Who is the operator's name.
	Who string
	// When is the time of the change.
	When    time.Time
	Action  string
	Subject string
	// OldVersion and NewVersion are the versions of the subject before and after the
	// change, or zero if the action does not change a version.
	OldVersion uint64
	NewVersion uint64
	Detail     string
}

// Store is the platform's object store.
type Store interface {
	Put(ctx context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome
	List(ctx context.Context, kind string, after string) ([]fleet.Object, fleet.StoreOutcome)
}

// Trail writes records to the store in the order of their addition. It buffers up to
// 1,024 records that are not written yet. If there are more, it drops the oldest. It
// is safe for concurrent use.
type Trail struct {
	store Store
	log   *slog.Logger

	mu sync.Mutex
	// ring is a circular buffer of the records that are not written yet. It contains
	// count objects, the oldest at index first.
	ring         [ringCapacity]fleet.Object
	first, count int
	dropped      uint64 // number of records that were dropped or rejected
	// recordAdded wakes the writing goroutine after a record was added.
	recordAdded   chan struct{}
	recordRemoved chan struct{} // closed and replaced when a record leaves the ring
}

// New returns a trail that writes to store, and a function that stops it and waits
// for its goroutine to end. Stopping does not write the pending records; call Flush
// before that.
func New(store Store, log *slog.Logger) (*Trail, func()) {
	t := &Trail{store: store, log: log, recordAdded: make(chan struct{}, 1), recordRemoved: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { t.writeRecords(ctx) })

	return t, func() {
		cancel()
		writer.Wait()
	}
}

// Add adds a record without waiting for the store. If record.When is zero, Add sets
// it to the current time. It truncates a long Detail.
func (t *Trail) Add(record Record) {
	if record.When.IsZero() {
		record.When = time.Now()
	}
	record.When = record.When.UTC()
	record.Detail = record.Detail[:min(len(record.Detail), maxDetailBytes)]
	value, err := json.Marshal(record)
	if err != nil {
		panic("encode audit record: " + err.Error()) // fails only for years beyond 9999
	}
	object := fleet.Object{Kind: Kind, Name: record.When.Format(nameLayout) + "-" + uuid.NewString(), Value: value}
	t.mu.Lock()
	if t.count == ringCapacity {
		t.removeOldest()
		t.dropped++
	}
	t.ring[(t.first+t.count)%ringCapacity] = object
	t.count++
	t.mu.Unlock()
	select {
	case t.recordAdded <- struct{}{}:
	default: // the writer has not received the previous signal yet
	}
}

// Pending returns the number of records that are not written yet.
func (t *Trail) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.count
}

// PendingRecords returns the records that are not written yet as JSON, in the order
// of their addition, so that a daemon can log them when it stops.
func (t *Trail) PendingRecords() []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	records := make([]string, 0, t.count)
	for i := range t.count {
		records = append(records, string(t.ring[(t.first+i)%ringCapacity].Value))
	}

	return records
}

// Dropped returns the number of records that were dropped because too many were
// pending, or that the store rejected.
func (t *Trail) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.dropped
}

// Flush waits until no record is pending, that is, every record is written or dropped.
// It returns false if ctx is done before that.
func (t *Trail) Flush(ctx context.Context) bool {
	for {
		t.mu.Lock()
		count, removed := t.count, t.recordRemoved
		t.mu.Unlock()
		if count == 0 {
			return true
		}
		select {
		case <-removed:
		case <-ctx.Done():
			return false
		}
	}
}

// removeOldest removes the oldest record from the ring. The caller holds mu.
func (t *Trail) removeOldest() {
	t.ring[t.first] = fleet.Object{}
	t.first = (t.first + 1) % ringCapacity
	t.count--
	close(t.recordRemoved)
	t.recordRemoved = make(chan struct{})
}

// oldest returns the oldest record that is not written yet, and false if there is
// none.
func (t *Trail) oldest() (fleet.Object, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.ring[t.first], t.count > 0
}

// finishWrite removes the record with the given object name from the ring after a
// write that succeeded or was rejected. If Add has dropped the record in the
// meantime, finishWrite corrects the count of dropped records instead.
func (t *Trail) finishWrite(name string, rejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == 0 || t.ring[t.first].Name != name {
		if !rejected {
			t.dropped-- // the write succeeded although the record was dropped from the ring
		}

		return
	}
	t.removeOldest()
	if rejected {
		t.dropped++
	}
}

// writeRecords writes the pending records, the oldest first, until ctx is done. It
// waits for new records when none is pending.
func (t *Trail) writeRecords(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		object, ok := t.oldest()
		if !ok {
			select {
			case <-t.recordAdded:
			case <-ctx.Done():
			}

			continue
		}
		switch outcome := t.store.Put(ctx, object, fleet.IfAbsent); outcome {
		case fleet.StoreOK, fleet.StoreConflict:
			// Names are unique, so that a conflict means that an earlier attempt to write
			// this record succeeded.
			t.finishWrite(object.Name, false)
			delay = minRetryDelay
		case fleet.StoreRejected:
			t.log.Error("audit record rejected by the store", "Name", object.Name)
			t.finishWrite(object.Name, true)
		default:
			select {
			case <-time.After(delay):
			case <-ctx.Done():
			}
			delay = min(2*delay, maxRetryDelay)
		}
	}
}
