package peer

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// chunkBytes is the most data in one chunk. Answers up to this size whose
// length is known are sent in one write.
const chunkBytes = 32 << 10

var chunks = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// writeAnswer sends head, chunks and end. It closes the answer's body.
func writeAnswer(stream *yamux.Stream, reply *fleet.Reply) {
	body := reply.Answer.Body
	if body == nil {
		body = http.NoBody
	}
	defer func() { _ = body.Close() }()
	out := newBuffer()
	defer func() { freeBuffer(out) }()
	var ok bool
	*out, ok = appendFrame(*out, &peerpb.Frame{Body: &peerpb.Frame_AnswerHead{AnswerHead: &peerpb.AnswerHead{
		Status:            uint32(reply.Answer.Status), //nolint:gosec // a status has three digits
		Header:            fromHeader(reply.Answer.Header),
		Load:              fromLoad(reply.Load),
		ServedNanoseconds: int64(reply.ServiceTime),
	}}})
	if !ok {
		writeFrame(stream, errorFrame("Oversized", "the answer's head could not be encoded"))

		return
	}
	left := contentLength(reply.Answer.Header)
	if left < 0 && !send(stream, out) {
		return // the length is unknown, so the body may pause after the head
	}
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	for {
		n, err := readChunk(body, *chunk, left)
		if n > 0 {
			*out = appendChunk(*out, (*chunk)[:n])
			left -= int64(n)
		}
		if err != nil {
			end := &peerpb.AnswerEnd{Truncated: !errors.Is(err, io.EOF)}
			if !end.Truncated && reply.Answer.Trailer != nil {
				end.Trailer = fromHeader(reply.Answer.Trailer())
			}
			*out, _ = appendFrame(*out, &peerpb.Frame{Body: &peerpb.Frame_AnswerEnd{AnswerEnd: end}})
			send(stream, out)

			return
		}
		if n > 0 && !send(stream, out) {
			return
		}
	}
}

// readChunk reads once, or until the chunk is full or the body ends if its
// length is known. The last read of a body of known length does not wait.
func readChunk(body io.Reader, chunk []byte, left int64) (int, error) {
	if left < 0 {
		return body.Read(chunk)
	}
	read := 0
	for read < len(chunk) {
		n, err := body.Read(chunk[read:])
		read += n
		if err != nil {
			return read, err
		}
	}

	return read, nil
}

func contentLength(header http.Header) int64 {
	values := header["Content-Length"]
	if len(values) != 1 {
		return -1
	}
	length, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil {
		return -1
	}

	return length
}

// appendChunk encodes a Frame with an AnswerChunk without copying the data into
// a message first.
func appendChunk(out, data []byte) []byte {
	const frameField, dataField = 4, 1 // Frame.AnswerChunk, AnswerChunk.Data
	chunk := protowire.SizeTag(dataField) + protowire.SizeBytes(len(data))
	frame := protowire.SizeTag(frameField) + protowire.SizeBytes(chunk)
	out = protowire.AppendVarint(out, uint64(frame)) //nolint:gosec // sizes are not negative
	out = protowire.AppendTag(out, frameField, protowire.BytesType)
	out = protowire.AppendVarint(out, uint64(chunk)) //nolint:gosec // sizes are not negative
	out = protowire.AppendTag(out, dataField, protowire.BytesType)

	return protowire.AppendBytes(out, data)
}

func send(stream *yamux.Stream, out *[]byte) bool {
	_, err := stream.Write(*out)
	*out = (*out)[:0]

	return err == nil
}

// answerBody reads an answer's chunks from its stream.
type answerBody struct {
	session *session
	stream  *yamux.Stream
	release func() bool
	closed  atomic.Bool

	mu      sync.Mutex
	reader  *bufio.Reader
	chunk   []byte
	err     error
	trailer http.Header
}

// Read returns io.ErrUnexpectedEOF if the answer is truncated.
func (b *answerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.chunk) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.next()
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]

	return n, nil
}

func (b *answerBody) next() {
	frame, result := readFrame(b.reader)
	if result == frameOK {
		switch body := frame.Body.(type) {
		case *peerpb.Frame_AnswerChunk:
			b.chunk = body.AnswerChunk.Data

			return
		case *peerpb.Frame_AnswerEnd:
			if !body.AnswerEnd.Truncated {
				b.trailer = toHeader(body.AnswerEnd.Trailer)
				b.finish(io.EOF)

				return
			}
		}
	}
	b.finish(io.ErrUnexpectedEOF)
}

// finish gives back the stream and its buffers. The caller holds mu.
func (b *answerBody) finish(err error) {
	b.err = err
	if b.reader == nil {
		return
	}
	b.release()
	_ = b.stream.Close()
	freeReader(b.reader)
	b.reader = nil
	b.session.end()
}

// Close ends the stream. Before the answer's end it cancels the attempt.
func (b *answerBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	// Ends a Read that is waiting and holds mu.
	_ = b.stream.SetDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunk = nil
	if b.err == nil {
		b.finish(http.ErrBodyReadAfterClose)
	}

	return nil
}

func (b *answerBody) trailers() http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.trailer
}
