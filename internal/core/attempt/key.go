package attempt

import (
	"container/list"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Result is how an attempt ended. The answer is set only if it was kept.
type Result struct {
	Outcome fleet.Outcome
	// Status is the upstream's, if Outcome is Ran.
	Status int
	// HasAnswer says that Header, Body and Trailer hold the complete answer.
	HasAnswer bool
	Header    http.Header
	Body      []byte
	Trailer   http.Header
}

func (r Result) size() int {
	total := len(r.Body)
	for _, header := range []http.Header{r.Header, r.Trailer} {
		for name, values := range header {
			total += len(name)
			for _, value := range values {
				total += len(value)
			}
		}
	}

	return total
}

type keyID struct {
	clientAccount, key string
}

type keyRecord struct {
	upstream string
	id       keyID
	request  [sha256.Size]byte
	settled  bool
	result   Result
	settleAt time.Time
	element  *list.Element
}

// keyBook holds the keys of one upstream.
type keyBook struct {
	records map[keyID]*keyRecord
	// settled is ordered by the time at which the attempts ended.
	settled list.List
}

type keyTable struct {
	limits    Limits
	upstreams map[string]*keyBook
	bytes     int
}

func newKeyTable(limits Limits) *keyTable {
	return &keyTable{limits: limits, upstreams: map[string]*keyBook{}}
}

// claim records that the attempt is the first with its key, or says what is
// known of the first.
func (t *keyTable) claim(attempt fleet.Attempt, now time.Time) (*keyRecord, Admission) {
	book := t.upstreams[attempt.Upstream]
	if book == nil {
		book = &keyBook{records: map[keyID]*keyRecord{}}
		t.upstreams[attempt.Upstream] = book
	}
	t.expireBook(book, now)
	id := keyID{attempt.ClientAccount, attempt.IdempotencyKey}
	request := fingerprint(attempt.Request)
	if known := book.records[id]; known != nil {
		switch {
		case known.request != request:
			return nil, Admission{Verdict: KeyMisused}
		case !known.settled:
			return nil, Admission{Verdict: KeyInProgress}
		}

		return nil, Admission{Verdict: Replayed, Result: known.result}
	}
	if len(book.records) >= t.limits.KeysPerUpstream {
		oldest := book.settled.Front()
		if oldest == nil {
			return nil, Admission{Verdict: Full}
		}
		rec, _ := oldest.Value.(*keyRecord)
		t.forget(book, rec)
	}
	rec := &keyRecord{upstream: attempt.Upstream, id: id, request: request}
	book.records[id] = rec

	return rec, Admission{Verdict: Admitted}
}

// settle records how the first attempt with a key ended. A key whose attempt
// did not run is free again.
func (t *keyTable) settle(rec *keyRecord, result Result, now time.Time) {
	book := t.upstreams[rec.upstream]
	if result.Outcome == fleet.NotRun {
		t.forget(book, rec)

		return
	}
	if size := result.size(); !result.HasAnswer || t.bytes+size > t.limits.AnswerBytes {
		result = Result{Outcome: result.Outcome, Status: result.Status}
	}
	t.bytes += result.size()
	rec.settled, rec.result, rec.settleAt = true, result, now
	rec.element = book.settled.PushBack(rec)
}

func (t *keyTable) forget(book *keyBook, rec *keyRecord) {
	if rec.element != nil {
		book.settled.Remove(rec.element)
	}
	t.bytes -= rec.result.size()
	delete(book.records, rec.id)
}

func (t *keyTable) expire(now time.Time) {
	for name, book := range t.upstreams {
		t.expireBook(book, now)
		if len(book.records) == 0 {
			delete(t.upstreams, name)
		}
	}
}

func (t *keyTable) expireBook(book *keyBook, now time.Time) {
	for element := book.settled.Front(); element != nil; element = book.settled.Front() {
		rec, _ := element.Value.(*keyRecord)
		if now.Sub(rec.settleAt) < t.limits.KeyRetention {
			return
		}
		t.forget(book, rec)
	}
}

// fingerprint tells requests with the same key apart.
func fingerprint(request fleet.Request) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range []string{request.Method, request.Host, request.Target} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(request.Body)

	return [sha256.Size]byte(hash.Sum(nil))
}
