package ingress

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// peekSize is the number of bytes of an answer that are read before any of it is
// passed on. Shorter answers are known to be complete before the caller gets them.
const peekSize = 64 << 10

// peekCapacityLimit bounds, in bytes, the buffer that is allocated before the body
// arrives. An answer to a HEAD request has a Content-Length and no body.
const peekCapacityLimit = 16 << 10

// trackedBody is an answer's body that calls done when it is closed for the first time.
type trackedBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close closes the body. The first call also calls done.
func (t *trackedBody) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(t.done)

	return err
}

// peekedBody is a body whose start has already been read into a buffer.
type peekedBody struct {
	io.Reader
	io.Closer
}

// peekBody reads the start of an answer, up to peekSize, and returns a body that
// delivers all of the answer. It returns false if the answer broke off within the
// start. Event streams are not read ahead, as their events would be delayed.
func peekBody(answer fleet.Answer) (io.ReadCloser, bool) {
	mediaType, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";")
	if strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream") {
		return answer.Body, true
	}

	start := bytes.NewBuffer(make([]byte, 0, peekCapacity(answer.Header)))

	_, err := start.ReadFrom(&io.LimitedReader{R: answer.Body, N: peekSize})
	if err != nil {
		return answer.Body, false
	}

	if start.Len() < peekSize {
		return peekedBody{Reader: start, Closer: answer.Body}, true
	}

	return peekedBody{Reader: io.MultiReader(start, answer.Body), Closer: answer.Body}, true
}

// peekCapacity returns the initial size, in bytes, of the buffer for the start of an
// answer, or 0 if its length is not known. The size includes bytes.MinRead: with less
// spare room, Buffer.ReadFrom would grow the buffer before it reads the end.
func peekCapacity(header http.Header) int {
	length, err := strconv.ParseUint(header.Get("Content-Length"), 10, 31)
	if err != nil {
		return 0
	}

	return int(min(length, peekCapacityLimit)) + bytes.MinRead
}
