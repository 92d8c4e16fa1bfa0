package attempt

import (
	"container/list"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Result describes how an attempt ended.
type Result struct {
	Outcome fleet.Outcome
	// Status is the HTTP status code of the upstream's answer if Outcome is Ran.
	Status int
	// HasAnswer reports whether Header, Body and Trailer hold the complete answer. If not,
	// they are empty.
	HasAnswer bool
	Header    http.Header
	Body      []byte
	Trailer   http.Header
}

// answerSize returns the size of the recorded answer in bytes.
func (r Result) answerSize() int {
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

// keyID identifies an idempotency key at an upstream. Keys of different client accounts
// are independent.
type keyID struct {
	clientAccount, key string
}

// keyRecord records the first attempt with an idempotency key.
type keyRecord struct {
	upstream    string
	id          keyID
	requestHash [sha256.Size]byte
	// ended reports whether the attempt has ended; result and endedAt are set from then on.
	ended   bool
	result  Result
	endedAt time.Time
	// element is the position in upstreamKeys.ended, or nil while the attempt has not ended.
	element *list.Element
}

// upstreamKeys holds the idempotency keys of one upstream.
type upstreamKeys struct {
	records map[keyID]*keyRecord
	// ended lists the records of ended attempts in the order in which they ended.
	ended list.List
}

// keyTable holds the idempotency keys of all upstreams of an egress.
type keyTable struct {
	limits    Limits
	upstreams map[string]*upstreamKeys
	// answerBytes is the total size of the recorded answers.
	answerBytes int
}

func newKeyTable(limits Limits) *keyTable {
	return &keyTable{limits: limits, upstreams: map[string]*upstreamKeys{}}
}

// claim records the attempt as the first one with its idempotency key and returns its
// record. If the key has a first attempt already, or no more keys can be recorded, it
// returns a nil record and an admission other than Admitted.
func (t *keyTable) claim(attempt fleet.Attempt, now time.Time) (*keyRecord, Admission) {
	keys := t.upstreams[attempt.Upstream]
	if keys == nil {
		keys = &upstreamKeys{records: map[keyID]*keyRecord{}}
		t.upstreams[attempt.Upstream] = keys
	}
	t.expireUpstream(keys, now)
	id := keyID{attempt.ClientAccount, attempt.IdempotencyKey}
	hash := hashRequest(attempt.Request)
	if first := keys.records[id]; first != nil {
		switch {
		case first.requestHash != hash:
			return nil, Admission{Verdict: KeyMisused}
		case !first.ended:
			return nil, Admission{Verdict: KeyInProgress}
		}

		return nil, Admission{Verdict: Replayed, Result: first.result}
	}
	if len(keys.records) >= t.limits.KeysPerUpstream {
		oldest := keys.ended.Front()
		if oldest == nil {
			return nil, Admission{Verdict: Full}
		}
		rec, _ := oldest.Value.(*keyRecord)
		t.remove(keys, rec)
	}
	rec := &keyRecord{upstream: attempt.Upstream, id: id, requestHash: hash}
	keys.records[id] = rec

	return rec, Admission{Verdict: Admitted}
}

// end records how the first attempt with a key ended. A key whose attempt did not run is
// removed, so that it can be used again. The answer is recorded only if the total stays
// within Limits.AnswerBytes.
func (t *keyTable) end(rec *keyRecord, result Result, now time.Time) {
	keys := t.upstreams[rec.upstream]
	if result.Outcome == fleet.NotRun {
		t.remove(keys, rec)

		return
	}
	if size := result.answerSize(); !result.HasAnswer || t.answerBytes+size > t.limits.AnswerBytes {
		result = Result{Outcome: result.Outcome, Status: result.Status}
	}
	t.answerBytes += result.answerSize()
	rec.ended, rec.result, rec.endedAt = true, result, now
	rec.element = keys.ended.PushBack(rec)
}

// remove removes the record of a key with its answer.
func (t *keyTable) remove(keys *upstreamKeys, rec *keyRecord) {
	if rec.element != nil {
		keys.ended.Remove(rec.element)
	}
	t.answerBytes -= rec.result.answerSize()
	delete(keys.records, rec.id)
}

// expire removes the keys whose attempt ended at least Limits.KeyRetention before now.
func (t *keyTable) expire(now time.Time) {
	for name, keys := range t.upstreams {
		t.expireUpstream(keys, now)
		if len(keys.records) == 0 {
			delete(t.upstreams, name)
		}
	}
}

// expireUpstream does the same as expire for the keys of one upstream.
func (t *keyTable) expireUpstream(keys *upstreamKeys, now time.Time) {
	for element := keys.ended.Front(); element != nil; element = keys.ended.Front() {
		rec, _ := element.Value.(*keyRecord)
		if now.Sub(rec.endedAt) < t.limits.KeyRetention {
			return
		}
		t.remove(keys, rec)
	}
}

// hashRequest returns a SHA-256 hash of method, host, target and body. It distinguishes
// a repeat of a request from a different request with the same idempotency key.
func hashRequest(request fleet.Request) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range []string{request.Method, request.Host, request.Target} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(request.Body)

	return [sha256.Size]byte(hash.Sum(nil))
}
