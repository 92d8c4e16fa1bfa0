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

// MaxFrameBytes is the largest frame that is sent or accepted: a caller's
// body of 1 MiB and 64 KiB for everything else.
const MaxFrameBytes = 1<<20 + 64<<10

const (
	// readBufferBytes holds head, chunk and end of a small answer.
	readBufferBytes = 4 << 10
	// pooledBytes bounds the buffers that are kept for reuse, so that a few
	// large frames do not stay in memory.
	pooledBytes = 64 << 10
)

type frameError int

const (
	frameOK frameError = iota
	// frameEnd means that the stream ended or broke, before or within a frame.
	frameEnd
	frameMalformed
	frameOversized
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	buffers = sync.Pool{New: func() any { b := make([]byte, 0, readBufferBytes); return &b }}
)

func newReader(r io.Reader) *bufio.Reader {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(r)

	return reader
}

func freeReader(reader *bufio.Reader) {
	reader.Reset(nil)
	readers.Put(reader)
}

func newBuffer() *[]byte {
	return buffers.Get().(*[]byte)
}

func freeBuffer(buffer *[]byte) {
	if cap(*buffer) > pooledBytes {
		return
	}
	*buffer = (*buffer)[:0]
	buffers.Put(buffer)
}

// appendFrame appends the frame as protodelim writes it: a varint with the
// size, then the message. It reports false if the frame is too large.
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

func readFrame(reader *bufio.Reader) (*peerpb.Frame, frameError) {
	frame := &peerpb.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(reader, frame)
	if err == nil {
		if frame.Body == nil {
			return nil, frameMalformed
		}

		return frame, frameOK
	}

	return nil, classify(err)
}

func classify(err error) frameError {
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return frameOversized
	case errors.Is(err, proto.Error), errors.Is(err, errVarint):
		return frameMalformed
	default:
		return frameEnd
	}
}

// errVarint is what protodelim returns for a size that is not a varint.
var errVarint = protowire.ParseError(-3)

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
