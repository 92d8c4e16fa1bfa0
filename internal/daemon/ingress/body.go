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

// peekSize is how much of an answer is read before any of it is passed on.
// Answers up to this size are known to be whole when the caller sees them.
const peekSize = 64 << 10

// peekCapacityLimit bounds the memory taken before the body arrives, as an
// answer to HEAD has a length and no body.
const peekCapacityLimit = 16 << 10

// tracked calls done once, when the body has been closed.
type tracked struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close closes the body and calls done.
func (t *tracked) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(t.done)

	return err
}

// peeked is a body whose start has been read already.
type peeked struct {
	io.Reader
	io.Closer
}

// peek reads the start of an answer. It reports false if the answer broke off
// within it. Event streams are passed on as they come.
func peek(answer fleet.Answer) (io.ReadCloser, bool) {
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
		return peeked{Reader: start, Closer: answer.Body}, true
	}

	return peeked{Reader: io.MultiReader(start, answer.Body), Closer: answer.Body}, true
}

// peekCapacity returns the room for the start of an answer of known length. The
// buffer reads on until the answer's end only while it has bytes.MinRead to spare.
func peekCapacity(header http.Header) int {
	length, err := strconv.ParseUint(header.Get("Content-Length"), 10, 31)
	if err != nil {
		return 0
	}

	return int(min(length, peekCapacityLimit)) + bytes.MinRead
}
