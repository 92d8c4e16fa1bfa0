package upstream

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of requests and answers.
const (
	// HeaderRequestID carries the ID of the request; the answer repeats it.
	HeaderRequestID = "Request-ID"
	// HeaderChecksum is the xxHash of the answer's body, in hex.
	HeaderChecksum = "Body-Checksum"

	headerDeadline = "Kumquatshelf-Deadline-Milliseconds"
	headerLoad     = "Kumquatshelf-Load"
	headerShed     = "Kumquatshelf-Shed"
)

const (
	// defaultBodyLength is the length of an answer's body in bytes if the request has no
	// valid query parameter Length of at most maxBodyLength.
	defaultBodyLength = 256
	maxBodyLength     = 16 << 20
	// maxRequestBytes is how much of a request's body is read; the rest is ignored.
	maxRequestBytes = 2 << 20
)

// workResult is how the work on a request ended.
type workResult int

const (
	completed workResult = iota
	cancelled
	expired
)

// serveRequest runs a request of the service, which is any request that is not for one
// of the stand-in's control paths.
func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	// The body is read first because net/http detects a closed connection only after that.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBytes))
	u.recorder.recordArrival(r, time.Now())
	id := r.Header.Get(HeaderRequestID)
	w.Header().Set(HeaderRequestID, id)
	mode, _ := u.effectiveMode()
	if u.randomlyTrue(mode.ShedFraction) || !u.acquireSlot() {
		u.recorder.recordShed()
		w.Header().Set(headerShed, "true")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer u.releaseSlot()
	u.recorder.recordRun(id)
	result := u.simulateWork(r, mode)
	u.recorder.recordEnd(result)
	switch result {
	case cancelled:
		return
	case expired:
		w.WriteHeader(http.StatusGatewayTimeout)

		return
	case completed:
	}
	if u.randomlyTrue(mode.BrokenFraction) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken\n")

		return
	}
	u.writeAnswer(w, r, id, u.randomlyTrue(mode.CutFraction))
}

// acquireSlot takes a slot, and reports false if none is free.
func (u *Upstream) acquireSlot() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inFlight >= u.settings.Slots {
		return false
	}
	u.inFlight++
	u.recorder.recordConcurrency(u.inFlight)

	return true
}

func (u *Upstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// simulateWork waits for the request's service time. It returns early when the connection
// is closed or the deadline passes. A frozen stand-in reacts only to a closed connection.
func (u *Upstream) simulateWork(r *http.Request, mode Mode) workResult {
	var deadline <-chan time.Time
	if milliseconds, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil {
		timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
		defer timer.Stop()
		deadline = timer.C
	}
	for {
		current, changed := u.effectiveMode()
		if !current.Freeze {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return cancelled
		}
	}
	timer := time.NewTimer(u.drawServiceTime(mode))
	defer timer.Stop()
	select {
	case <-timer.C:
		return completed
	case <-deadline:
		return expired
	case <-r.Context().Done():
		return cancelled
	}
}

// writeAnswer writes the body that belongs to the request's ID, or only its first half
// if the answer is to be cut.
func (u *Upstream) writeAnswer(w http.ResponseWriter, r *http.Request, id string, cut bool) {
	body := Body(id, bodyLength(r))
	u.mu.Lock()
	w.Header().Set(headerLoad, strconv.Itoa(u.inFlight))
	u.mu.Unlock()
	w.Header().Set(HeaderChecksum, Checksum(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	if !cut {
		_, _ = w.Write(body)

		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	// The panic makes net/http close the connection before the body is complete.
	panic(http.ErrAbortHandler)
}

// bodyLength returns the length that the query parameter Length asks for, in bytes.
func bodyLength(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("Length"))
	if err != nil || n < 0 || n > maxBodyLength {
		return defaultBodyLength
	}

	return n
}

// Body returns the body of the answer to the request with the given ID: pseudo-random
// lower-case letters, the same for equal arguments. The length is in bytes.
func Body(id string, length int) []byte {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(id), 0)) //nolint:gosec // not for secrets
	body := make([]byte, length)
	for i := range body {
		body[i] = 'a' + byte(random.UintN(26)) //nolint:gosec // below 26
	}

	return body
}

// Checksum returns the value of the Body-Checksum header for a body, which is its 64-bit
// xxHash in hex.
func Checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
