package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Run sends an attempt to a daemon and returns the reply when its head has arrived.
// If the reply has an answer, the caller must close the answer's body, which streams
// the rest; closing it early cancels the attempt at the daemon. Cancelling ctx closes
// the stream, also while the body is read, but the daemon does not confirm that the
// attempt was cancelled. Without a refusal from the daemon, the outcome is NotRun
// only if no byte of the attempt left this process, and otherwise Unknown.
func (n *Network) Run(ctx context.Context, daemon string, attempt fleet.Attempt) fleet.Reply {
	n.counters.Attempts.Add(1)
	reply := n.run(ctx, daemon, &attempt)
	reply.ID = attempt.ID
	reply.Idempotent = attempt.Idempotent

	return reply
}

func (n *Network) run(ctx context.Context, daemon string, attempt *fleet.Attempt) fleet.Reply {
	out := newBuffer()
	defer func() { freeBuffer(out) }()
	var ok bool
	if *out, ok = appendFrame(*out, fromAttempt(attempt)); !ok {
		return fleet.Refuse(fleet.ReasonTooLarge, "the attempt does not fit a frame")
	}
	s := n.acquire(ctx, daemon)
	if s == nil {
		return fleet.Refuse(fleet.ReasonUnreachable, "no session to the daemon")
	}
	s.carriesAttempts.Store(true)
	stream, stopCancel, ok := s.openStream(ctx)
	if !ok {
		return fleet.Refuse(fleet.ReasonUnreachable, "no stream to the daemon")
	}
	if ctx.Err() != nil {
		s.closeStream(stream, stopCancel)

		return fleet.Refuse(fleet.ReasonCancelled, "cancelled before it was sent")
	}
	if sent, err := writeInChunks(stream, *out); err != nil {
		s.closeStream(stream, stopCancel)
		if sent == 0 && failedBeforeQueueing(err) {
			return fleet.Refuse(fleet.ReasonUnreachable, "the stream was closed before the attempt was sent")
		}

		return fleet.Fail(fleet.ReasonUnreachable, "the session broke while the attempt was sent")
	}
	reader := newReader(stream)
	frame, result := readFrame(reader)
	if frame.GetAccepted() != nil {
		if attempt.OnAccepted != nil {
			attempt.OnAccepted()
		}
		frame, result = readFrame(reader)
	}
	if head := frame.GetAnswerHead(); head != nil {
		return s.newReply(stream, stopCancel, reader, head)
	}
	freeReader(reader)
	s.closeStream(stream, stopCancel)
	switch refusal := frame.GetRefusal(); {
	case refusal != nil:
		return toRefusal(refusal)
	case ctx.Err() != nil:
		return fleet.Fail(fleet.ReasonCancelled, "cancelled while waiting for the answer")
	case result == frameStreamEnded:
		return fleet.Fail(fleet.ReasonUnreachable, "the stream broke before the answer")
	case frame.GetError() != nil:
		return fleet.Fail(fleet.ReasonUpstream, frame.GetError().Reason)
	default:
		n.countUndecodable(result)

		return fleet.Fail(fleet.ReasonUpstream, "the answer could not be decoded")
	}
}

// writeInChunks writes data to a stream in chunks of chunkBytes, so that the frames of other
// streams of the session can be sent in between.
func writeInChunks(stream io.Writer, data []byte) (sent int, err error) {
	for chunk := range slices.Chunk(data, chunkBytes) {
		n, err := stream.Write(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
	}

	return sent, nil
}

// newReply returns the reply for an answer's head. Its body takes over the stream
// and the reader.
func (s *session) newReply(
	stream *yamux.Stream, stopCancel func() bool, reader *bufio.Reader, head *peerpb.AnswerHead,
) fleet.Reply {
	body := &answerBody{session: s, stream: stream, stopCancel: stopCancel, reader: reader}

	return fleet.Reply{
		Outcome:     fleet.Ran,
		Load:        toLoad(head.Load),
		ServiceTime: time.Duration(head.ServedNanoseconds),
		Answer: fleet.Answer{
			Status:  int(head.Status),
			Header:  toHeader(head.Header),
			Body:    body,
			Trailer: body.trailers,
		},
	}
}

// failedBeforeQueueing reports whether a write failed before yamux accepted any
// data. After a timeout or the end of the session the data may still be queued.
func failedBeforeQueueing(err error) bool {
	return errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrStreamClosed)
}

// countUndecodable counts an oversized frame or, for any other result, a malformed
// one.
func (n *Network) countUndecodable(result frameError) {
	if result == frameOversized {
		n.counters.Oversized.Add(1)
	} else {
		n.counters.Malformed.Add(1)
	}
}

// openStream opens a stream whose blocked reads and writes fail when ctx ends. The
// returned function detaches the stream from ctx. If openStream fails, it calls
// endStream itself and the caller must not call endStream again.
func (s *session) openStream(ctx context.Context) (*yamux.Stream, func() bool, bool) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		s.endStream()

		return nil, nil, false
	}
	stopCancel := context.AfterFunc(ctx, func() {
		_ = stream.SetDeadline(time.Unix(1, 0))
		_ = stream.Close()
	})

	return stream, stopCancel, true
}

// closeStream closes a stream of openStream and ends its use of the session.
func (s *session) closeStream(stream *yamux.Stream, stopCancel func() bool) {
	stopCancel()
	_ = stream.Close()
	s.endStream()
}

// Cancel asks a daemon to cancel an attempt that this daemon sent to its incarnation
// egressIncarnation. The result is CancelUnknown if no answer arrived.
func (n *Network) Cancel(
	ctx context.Context, daemon string, id fleet.AttemptID, egressIncarnation uint64,
) fleet.CancelResult {
	answer, ok := n.exchange(ctx, n.acquireAuxiliary(ctx, daemon), CancelFrame(id, egressIncarnation))
	if !ok {
		return fleet.CancelUnknown
	}

	return CancelResultOf(answer)
}

// CancelFrame returns the frame that cancels an attempt that was sent to an incarnation of a
// daemon.
func CancelFrame(id fleet.AttemptID, egressIncarnation uint64) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Cancel{
		Cancel: &peerpb.Cancel{ID: fromID(id), EgressIncarnation: egressIncarnation},
	}}
}

// CancelResultFrame returns the answer to a frame of CancelFrame.
func CancelResultFrame(result fleet.CancelResult) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_CancelResult{
		CancelResult: &peerpb.CancelResult{Result: uint32(result)}, //nolint:gosec // results are small
	}}
}

// ToAttemptID returns the ID of the attempt that a frame names.
func ToAttemptID(id *peerpb.AttemptID) fleet.AttemptID { return toID(id) }

// CancelResultOf returns the result in the answer to a cancel. It is CancelUnknown for nil
// and for other frames.
func CancelResultOf(answer *peerpb.Frame) fleet.CancelResult {
	switch fleet.CancelResult(answer.GetCancelResult().GetResult()) {
	case fleet.CancelNotRun:
		return fleet.CancelNotRun
	case fleet.CancelStarted:
		return fleet.CancelStarted
	case fleet.CancelUnknown:
	}

	return fleet.CancelUnknown
}

// Call sends one frame to a daemon and returns the answer. It returns false if no
// answer arrived or the answer is an error frame.
func (n *Network) Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	return n.exchange(ctx, n.acquire(ctx, daemon), frame)
}

// CallAddress is like Call, for a daemon whose name is not known yet.
func (n *Network) CallAddress(
	ctx context.Context, address netip.AddrPort, frame *peerpb.Frame,
) (*peerpb.Frame, bool) {
	return n.exchange(ctx, n.acquireAddress(ctx, address), frame)
}

// exchange sends a frame on the session, which may be nil, and returns the answer.
// It counts the call and its failure.
func (n *Network) exchange(ctx context.Context, s *session, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	n.counters.Calls.Add(1)
	answer := n.exchangeFrames(ctx, s, frame)
	if answer == nil {
		n.counters.CallFailures.Add(1)
	}

	return answer, answer != nil
}

// exchangeFrames is exchange without the counters. It returns nil on failure.
func (n *Network) exchangeFrames(ctx context.Context, s *session, frame *peerpb.Frame) *peerpb.Frame {
	if s == nil {
		return nil
	}
	stream, stopCancel, ok := s.openStream(ctx)
	if !ok {
		return nil
	}
	defer s.closeStream(stream, stopCancel)
	if !writeFrame(stream, frame) {
		return nil
	}
	reader := newReader(stream)
	defer freeReader(reader)
	answer, result := readFrame(reader)
	if result == frameMalformed || result == frameOversized {
		n.countUndecodable(result)
	}
	if result != frameOK || answer.GetError() != nil {
		return nil
	}

	return answer
}
