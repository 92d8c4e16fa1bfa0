package egress

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/kumquatshelf/kumquatshelf/internal/core/attempt"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// HeaderReplayed marks an answer to a repeated request with a known idempotency
// key. Its value is Answer for the first request's answer, and OutcomeOnly if
// that was too large, cut short or abandoned, and was therefore not kept.
const HeaderReplayed = "Kumquatshelf-Replayed"

// replyTo answers an attempt that the registry did not admit.
func replyTo(admission attempt.Admission) fleet.Reply {
	switch admission.Verdict {
	case attempt.Duplicate:
		return fleet.Fail(fleet.ReasonStale, "the attempt arrived before")
	case attempt.Cancelled:
		return fleet.Refuse(fleet.ReasonCancelled, "the attempt was cancelled or refused before")
	case attempt.WrongIncarnation:
		return fleet.Refuse(fleet.ReasonStale, "the attempt is meant for another incarnation of this daemon")
	case attempt.Full:
		return fleet.Refuse(fleet.ReasonQueueFull, "too many attempts are queued or running")
	case attempt.KeyMisused:
		return fleet.Refuse(fleet.ReasonBadRequest, "the Idempotency-Key was used with a different request")
	case attempt.KeyInProgress:
		return fleet.Fail(fleet.ReasonRepeated, "the first request with this Idempotency-Key has not ended")
	case attempt.Replayed:
		return replay(admission.Result)
	}

	return fleet.Fail(fleet.ReasonStale, "the session or the attempt is older than what is known")
}

func replay(result attempt.Result) fleet.Reply {
	if result.Outcome != fleet.Ran {
		return fleet.Fail(fleet.ReasonRepeated, "the outcome of the first request with this Idempotency-Key is unknown")
	}
	if !result.HasAnswer {
		text := fmt.Sprintf(
			"The first request with this Idempotency-Key ran with status %d. Its answer was not kept.\n", result.Status)

		return fleet.Reply{Outcome: fleet.Ran, Reason: fleet.ReasonRepeated, Answer: fleet.Answer{
			Status: http.StatusConflict,
			Header: http.Header{
				"Content-Type": {"text/plain; charset=utf-8"},
				HeaderReplayed: {"OutcomeOnly"},
			},
			Body:    io.NopCloser(strings.NewReader(text)),
			Trailer: func() http.Header { return nil },
		}}
	}
	header := result.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(HeaderReplayed, "Answer")

	return fleet.Reply{Outcome: fleet.Ran, Answer: fleet.Answer{
		Status:  result.Status,
		Header:  header,
		Body:    io.NopCloser(bytes.NewReader(result.Body)),
		Trailer: func() http.Header { return result.Trailer.Clone() },
	}}
}
