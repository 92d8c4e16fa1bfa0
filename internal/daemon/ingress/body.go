package ingress

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"sync"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// peekSize is how much of an answer is read before any of it is passed on.
// Answers up to this size are known to be whole when the caller sees them.
const peekSize = 64 << 10

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
	mediaType, _, _ := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	if mediaType == "text/event-stream" {
		return answer.Body, true
	}

	var start bytes.Buffer

	_, err := io.CopyN(&start, answer.Body, peekSize)
	if err != nil && !errors.Is(err, io.EOF) {
		return answer.Body, false
	}

	if errors.Is(err, io.EOF) {
		return peeked{Reader: &start, Closer: answer.Body}, true
	}

	return peeked{Reader: io.MultiReader(&start, answer.Body), Closer: answer.Body}, true
}
