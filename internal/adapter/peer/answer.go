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

// chunkBytes is the maximum size of the data in one AnswerChunk, and of one write of an
// attempt. An answer of known length that is shorter than this is sent in one write.
const chunkBytes = 32 << 10

var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// writeAnswer sends the head, the chunks and the end of an answer, and closes the
// answer's body.
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
	remaining := contentLength(reply.Answer.Header)
	if remaining < 0 && !writeAndReset(stream, out) {
		return // the length is unknown, so the body may pause after the head
	}
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	for {
		n, err := readChunk(body, *chunk, remaining)
		if n > 0 {
			*out = appendChunk(*out, (*chunk)[:n])
			remaining -= int64(n)
		}
		if err != nil {
			end := &peerpb.AnswerEnd{Truncated: !errors.Is(err, io.EOF)}
			if !end.Truncated && reply.Answer.Trailer != nil {
				end.Trailer = fromHeader(reply.Answer.Trailer())
			}
			*out, _ = appendFrame(*out, &peerpb.Frame{Body: &peerpb.Frame_AnswerEnd{AnswerEnd: end}})
			writeAndReset(stream, out)

			return
		}
		if n > 0 && !writeAndReset(stream, out) {
			return
		}
	}
}

// readChunk fills chunk with up to len(chunk) bytes of the body. If remaining is
// negative, the length of the body is unknown and readChunk returns after one read,
// so that the data is forwarded also if the body pauses. Otherwise it reads until the
// chunk is full or the body ends, which is known without waiting for more data.
func readChunk(body io.Reader, chunk []byte, remaining int64) (int, error) {
	if remaining < 0 {
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

// contentLength returns the value of Content-Length, or -1 if the header is missing,
// repeated or not a number.
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

// appendChunk appends a length-delimited Frame with an AnswerChunk. It encodes the
// fields by hand, which saves a copy of the data into a message.
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

// writeAndReset writes the buffer to the stream and empties the buffer. It reports
// whether the write succeeded.
func writeAndReset(stream *yamux.Stream, out *[]byte) bool {
	_, err := stream.Write(*out)
	*out = (*out)[:0]

	return err == nil
}

// answerBody reads the body of an answer from the chunks on its stream. Close may be
// called while Read is blocked.
type answerBody struct {
	session *session
	stream  *yamux.Stream
	// stopCancel detaches the stream from the context of the attempt.
	stopCancel func() bool
	closed     atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// reader is nil after finish.
	reader *bufio.Reader
	// chunk is the unread rest of the latest chunk.
	chunk []byte
	// err is returned by Read after the last chunk; nil before the answer's end.
	err     error
	trailer http.Header
}

// Read returns io.EOF at the end of a complete answer, io.ErrUnexpectedEOF if the
// answer is truncated or the stream fails, and http.ErrBodyReadAfterClose after
// Close.
func (b *answerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.chunk) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.readNextFrame()
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]

	return n, nil
}

// readNextFrame reads the next chunk or the end of the answer. The caller must hold
// mu.
func (b *answerBody) readNextFrame() {
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

// finish sets the error for later reads, closes the stream and releases the reader.
// The caller must hold mu.
func (b *answerBody) finish(err error) {
	b.err = err
	if b.reader == nil {
		return
	}
	b.stopCancel()
	_ = b.stream.Close()
	freeReader(b.reader)
	b.reader = nil
	b.session.endStream()
}

// Close closes the stream. Before the end of the answer this cancels the attempt at
// the other daemon.
func (b *answerBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	// Unblocks a concurrent Read, which holds mu.
	_ = b.stream.SetDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunk = nil
	if b.err == nil {
		b.finish(http.ErrBodyReadAfterClose)
	}

	return nil
}

// trailers returns the trailer, which is nil before the end of a complete answer.
func (b *answerBody) trailers() http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.trailer
}
