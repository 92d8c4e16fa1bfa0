package peer

import (
	"bufio"
	"errors"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// MaxFrameBytes is the size limit of an encoded frame in either direction: 1 MiB
// for a caller's request body plus 64 KiB for all other fields.
const MaxFrameBytes = 1<<20 + 64<<10

const (
	// readBufferBytes is enough for the head, the only chunk and the end of a
	// small answer, so that they need one read.
	readBufferBytes = 4 << 10
	// maxPooledBytes is the capacity above which a buffer is not returned to
	// bufferPool, so that a few large frames do not occupy memory for long.
	maxPooledBytes = 64 << 10
)

// frameError is the result of reading a frame.
type frameError int

const (
	frameOK frameError = iota
	// frameStreamEnded means that the stream was closed or failed, before or within
	// a frame.
	frameStreamEnded
	// frameMalformed means that the data is not a valid Frame or has no body.
	frameMalformed
	// frameOversized means that the announced size exceeds MaxFrameBytes.
	frameOversized
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, readBufferBytes); return &b }}
)

// newReader returns a pooled reader on r, to be returned with freeReader.
func newReader(r io.Reader) *bufio.Reader {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(r)

	return reader
}

func freeReader(reader *bufio.Reader) {
	reader.Reset(nil)
	readerPool.Put(reader)
}

// newBuffer returns an empty pooled buffer, to be returned with freeBuffer.
func newBuffer() *[]byte {
	return bufferPool.Get().(*[]byte)
}

func freeBuffer(buffer *[]byte) {
	if cap(*buffer) > maxPooledBytes {
		return
	}
	*buffer = (*buffer)[:0]
	bufferPool.Put(buffer)
}

// appendFrame appends the frame in the format of protodelim: the size as a
// varint, then the message. It reports false if the frame exceeds MaxFrameBytes
// or cannot be encoded.
func appendFrame(buffer []byte, frame *peerpb.Frame) ([]byte, bool) {
	options := proto.MarshalOptions{UseCachedSize: true}
	size := proto.Size(frame)
	if size > MaxFrameBytes {
		return buffer, false
	}
	buffer = protowire.AppendVarint(buffer, uint64(size)) //nolint:gosec // size is not negative
	buffer, err := options.MarshalAppend(buffer, frame)

	return buffer, err == nil
}

// readFrame reads one length-delimited frame. The frame is nil unless the result
// is frameOK.
func readFrame(reader *bufio.Reader) (*peerpb.Frame, frameError) {
	frame := &peerpb.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(reader, frame)
	if err == nil {
		if frame.Body == nil {
			return nil, frameMalformed
		}

		return frame, frameOK
	}

	return nil, classifyReadError(err)
}

func classifyReadError(err error) frameError {
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return frameOversized
	case errors.Is(err, proto.Error), errors.Is(err, errVarintOverflow):
		return frameMalformed
	default:
		return frameStreamEnded
	}
}

// errVarintOverflow is the error of protodelim for a frame size that is not a
// valid varint. Protowire does not export its error code for it, -3.
var errVarintOverflow = protowire.ParseError(-3)

// writeFrame writes the frame with one call of Write. It reports false if the
// frame cannot be encoded or the write fails.
func writeFrame(w io.Writer, frame *peerpb.Frame) bool {
	buffer := newBuffer()
	defer freeBuffer(buffer)
	var ok bool
	if *buffer, ok = appendFrame(*buffer, frame); !ok {
		return false
	}
	_, err := w.Write(*buffer)

	return err == nil
}

func errorFrame(reason, detail string) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Error{Error: &peerpb.Error{Reason: reason, Detail: detail}}}
}
