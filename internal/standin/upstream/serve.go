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
	// HeaderRequestID names the request; the answer repeats it.
	HeaderRequestID = "Request-ID"
	// HeaderChecksum is the xxHash of the answer's body, in hex.
	HeaderChecksum = "Body-Checksum"

	headerDeadline = "Kumquatshelf-Deadline-Milliseconds"
	headerLoad     = "Kumquatshelf-Load"
	headerShed     = "Kumquatshelf-Shed"
)

const (
	// defaultLength is the body's length unless the query's Length says so.
	defaultLength = 256
	maxLength     = 16 << 20
	maxBodyBytes  = 2 << 20
)

type ending int

const (
	completed ending = iota
	cancelled
	expired
)

// serve runs any request that is not for the stand-in itself.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	// Read first: net/http notices a closed connection only afterwards.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
	u.record.saw(r, time.Now())
	id := r.Header.Get(HeaderRequestID)
	w.Header().Set(HeaderRequestID, id)
	mode, _ := u.effective()
	if u.chance(mode.ShedFraction) || !u.acquire() {
		u.record.shed()
		w.Header().Set(headerShed, "true")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer u.release()
	u.record.ran(id)
	end := u.work(r, mode)
	u.record.ended(end)
	switch end {
	case cancelled:
		return
	case expired:
		w.WriteHeader(http.StatusGatewayTimeout)

		return
	case completed:
	}
	if u.chance(mode.BrokenFraction) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken\n")

		return
	}
	u.answer(w, r, id, u.chance(mode.CutFraction))
}

func (u *Upstream) acquire() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inFlight >= u.settings.Slots {
		return false
	}
	u.inFlight++
	u.record.concurrent(u.inFlight)

	return true
}

func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// work takes the service time. It ends early when the connection is closed or
// the deadline passes; a frozen upstream notices only the closed connection.
func (u *Upstream) work(r *http.Request, mode Mode) ending {
	var deadline <-chan time.Time
	if left, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil {
		timer := time.NewTimer(time.Duration(left) * time.Millisecond)
		defer timer.Stop()
		deadline = timer.C
	}
	for {
		current, changed := u.effective()
		if !current.Freeze {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return cancelled
		}
	}
	timer := time.NewTimer(u.serviceTime(mode))
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

// answer writes a body that follows from the request's ID, or half of it.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, id string, cut bool) {
	body := Body(id, length(r))
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
	// Closes the connection without the rest of the body.
	panic(http.ErrAbortHandler)
}

func length(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("Length"))
	if err != nil || n < 0 || n > maxLength {
		return defaultLength
	}

	return n
}

// Body returns the body of the answer to the request with the given ID.
func Body(id string, length int) []byte {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(id), 0)) //nolint:gosec // not for secrets
	body := make([]byte, length)
	for i := range body {
		body[i] = 'a' + byte(random.UintN(26)) //nolint:gosec // below 26
	}

	return body
}

// Checksum returns the value of the Body-Checksum header.
func Checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
