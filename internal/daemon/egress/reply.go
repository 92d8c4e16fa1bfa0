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

// HeaderReplayed is the name of the header of answers to a request whose idempotency key
// has been used before. Its value is Answer if the answer is the one to the first request,
// and OutcomeOnly if that one was not recorded, since it was too large, cut short or not
// read to its end.
const HeaderReplayed = "Kumquatshelf-Replayed"

// rejection returns the reply to an attempt that the registry did not admit.
func rejection(admission attempt.Admission) fleet.Reply {
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
		return replayed(admission.Result)
	}

	return fleet.Fail(fleet.ReasonStale, "the session or the attempt is older than what is known")
}

// replayed returns the reply to a repeat of a request that has ended with result.
func replayed(result attempt.Result) fleet.Reply {
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
