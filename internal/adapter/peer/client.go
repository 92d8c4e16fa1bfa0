package peer

import (
	"bufio"
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// Run sends an attempt and returns the reply once its head has arrived. If the
// reply has an answer, its body streams the rest and must be closed; closing it
// early cancels the attempt at the other side. Cancelling ctx closes the stream,
// also while the body is read, which does not confirm a cancel. The reply is
// NotRun without a word from the other side only if no byte of the attempt left
// this process.
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
	s.attempts.Store(true)
	stream, release, ok := s.openStream(ctx)
	if !ok {
		return fleet.Refuse(fleet.ReasonUnreachable, "no stream to the daemon")
	}
	if ctx.Err() != nil {
		s.abandon(stream, release)

		return fleet.Refuse(fleet.ReasonCancelled, "cancelled before it was sent")
	}
	if sent, err := stream.Write(*out); err != nil {
		s.abandon(stream, release)
		if sent == 0 && unsent(err) {
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
		return s.answer(stream, release, reader, head)
	}
	freeReader(reader)
	s.abandon(stream, release)
	switch refusal := frame.GetRefusal(); {
	case refusal != nil:
		return toRefusal(refusal)
	case ctx.Err() != nil:
		return fleet.Fail(fleet.ReasonCancelled, "cancelled while waiting for the answer")
	case result == frameEnd:
		return fleet.Fail(fleet.ReasonUnreachable, "the stream broke before the answer")
	case frame.GetError() != nil:
		return fleet.Fail(fleet.ReasonUpstream, frame.GetError().Reason)
	default:
		n.countBad(result)

		return fleet.Fail(fleet.ReasonUpstream, "the answer could not be decoded")
	}
}

func (s *session) answer(
	stream *yamux.Stream, release func() bool, reader *bufio.Reader, head *peerpb.AnswerHead,
) fleet.Reply {
	body := &answerBody{session: s, stream: stream, release: release, reader: reader}

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

// unsent reports whether a write failed before yamux accepted anything. After a
// timeout or the end of the session the data may still be queued.
func unsent(err error) bool {
	return errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrStreamClosed)
}

func (n *Network) countBad(result frameError) {
	if result == frameOversized {
		n.counters.Oversized.Add(1)
	} else {
		n.counters.Malformed.Add(1)
	}
}

// openStream opens a stream whose waiting reads and writes end with ctx. On
// failure it gives the session back.
func (s *session) openStream(ctx context.Context) (*yamux.Stream, func() bool, bool) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		s.end()

		return nil, nil, false
	}
	release := context.AfterFunc(ctx, func() {
		_ = stream.SetDeadline(time.Unix(1, 0))
		_ = stream.Close()
	})

	return stream, release, true
}

func (s *session) abandon(stream *yamux.Stream, release func() bool) {
	release()
	_ = stream.Close()
	s.end()
}

// Cancel asks a daemon to cancel an attempt that this daemon sent to the given
// incarnation of it.
func (n *Network) Cancel(
	ctx context.Context, daemon string, id fleet.AttemptID, egressIncarnation uint64,
) fleet.CancelResult {
	frame := &peerpb.Frame{Body: &peerpb.Frame_Cancel{
		Cancel: &peerpb.Cancel{ID: fromID(id), EgressIncarnation: egressIncarnation},
	}}
	answer, ok := n.exchange(ctx, n.acquireBeside(ctx, daemon), frame)
	if !ok {
		return fleet.CancelUnknown
	}
	switch fleet.CancelResult(answer.GetCancelResult().GetResult()) {
	case fleet.CancelNotRun:
		return fleet.CancelNotRun
	case fleet.CancelStarted:
		return fleet.CancelStarted
	case fleet.CancelUnknown:
	}

	return fleet.CancelUnknown
}

// Call sends one frame to a daemon and returns the answer. It reports false if
// no answer came or the answer is an error frame.
func (n *Network) Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	return n.exchange(ctx, n.acquire(ctx, daemon), frame)
}

// CallAddress is Call for a daemon of which only the address is known.
func (n *Network) CallAddress(
	ctx context.Context, address netip.AddrPort, frame *peerpb.Frame,
) (*peerpb.Frame, bool) {
	return n.exchange(ctx, n.acquireAddress(ctx, address), frame)
}

func (n *Network) exchange(ctx context.Context, s *session, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	n.counters.Calls.Add(1)
	answer := n.exchangeOn(ctx, s, frame)
	if answer == nil {
		n.counters.CallFailures.Add(1)
	}

	return answer, answer != nil
}

func (n *Network) exchangeOn(ctx context.Context, s *session, frame *peerpb.Frame) *peerpb.Frame {
	if s == nil {
		return nil
	}
	stream, release, ok := s.openStream(ctx)
	if !ok {
		return nil
	}
	defer s.abandon(stream, release)
	if !writeFrame(stream, frame) {
		return nil
	}
	reader := newReader(stream)
	defer freeReader(reader)
	answer, result := readFrame(reader)
	if result == frameMalformed || result == frameOversized {
		n.countBad(result)
	}
	if result != frameOK || answer.GetError() != nil {
		return nil
	}

	return answer
}
