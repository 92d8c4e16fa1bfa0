package peer

import (
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

func fromHeader(header http.Header) []*peerpb.HeaderField {
	if len(header) == 0 {
		return nil
	}
	fields := make([]peerpb.HeaderField, len(header))
	list := make([]*peerpb.HeaderField, 0, len(header))
	for name, values := range header {
		field := &fields[len(list)]
		field.Name = name
		if validUTF8(values) {
			field.Values = values
		} else {
			for _, value := range values {
				field.RawValues = append(field.RawValues, []byte(value))
			}
		}
		list = append(list, field)
	}

	return list
}

func validUTF8(values []string) bool {
	for _, value := range values {
		if !utf8.ValidString(value) {
			return false
		}
	}

	return true
}

func toHeader(fields []*peerpb.HeaderField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		values := field.Values
		for _, raw := range field.RawValues {
			values = append(values, string(raw))
		}
		header[field.Name] = values
	}

	return header
}

func fromID(id fleet.AttemptID) *peerpb.AttemptID {
	return &peerpb.AttemptID{Ingress: id.Ingress, Incarnation: id.Incarnation, Sequence: id.Sequence}
}

func toID(id *peerpb.AttemptID) fleet.AttemptID {
	return fleet.AttemptID{Ingress: id.GetIngress(), Incarnation: id.GetIncarnation(), Sequence: id.GetSequence()}
}

func fromAttempt(attempt *fleet.Attempt) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Attempt{Attempt: &peerpb.Attempt{
		ID:                fromID(attempt.ID),
		EgressIncarnation: attempt.EgressIncarnation,
		Service:           attempt.Service,
		Upstream:          attempt.Upstream,
		ClientAccount:     attempt.ClientAccount,
		Weight:            uint32(max(attempt.Weight, 0)), //nolint:gosec // weights are small
		Idempotent:        attempt.Idempotent,
		IdempotencyKey:    attempt.IdempotencyKey,
		BudgetNanoseconds: int64(attempt.DeadlineRemaining),
		Method:            attempt.Request.Method,
		Host:              attempt.Request.Host,
		Target:            attempt.Request.Target,
		Header:            fromHeader(attempt.Request.Header),
		Body:              attempt.Request.Body,
		Route:             attempt.Route,
		RequestID:         attempt.RequestID,
		CallerService:     attempt.CallerService,
		Priority:          uint32(max(attempt.Priority, 0)), //nolint:gosec // priorities are small
		Nested:            attempt.Nested,
		NoWait:            attempt.NoWait,
		Forced:            attempt.AllowSuspect,
		Trial:             attempt.TrialAllowed,
		Repeat:            attempt.Repeat,
		Pressed:           attempt.NoAlternative,
		Ask:               attempt.CheckOnly,

		ExpectedNanoseconds: int64(attempt.ExpectedDuration),
		TargetNanoseconds:   int64(attempt.TargetRemaining),
	}}}
}

func toAttempt(attempt *peerpb.Attempt) fleet.Attempt {
	return fleet.Attempt{
		ID:                toID(attempt.ID),
		EgressIncarnation: attempt.EgressIncarnation,
		Service:           attempt.Service,
		Route:             attempt.Route,
		Upstream:          attempt.Upstream,
		ClientAccount:     attempt.ClientAccount,
		Weight:            max(int(attempt.Weight), 1),
		Idempotent:        attempt.Idempotent,
		IdempotencyKey:    attempt.IdempotencyKey,
		RequestID:         attempt.RequestID,
		CallerService:     attempt.CallerService,
		Priority:          int(attempt.Priority),
		Nested:            attempt.Nested,
		NoWait:            attempt.NoWait,
		AllowSuspect:      attempt.Forced,
		TrialAllowed:      attempt.Trial,
		Repeat:            attempt.Repeat,
		NoAlternative:     attempt.Pressed,
		CheckOnly:         attempt.Ask,
		ExpectedDuration:  time.Duration(attempt.ExpectedNanoseconds),
		TargetRemaining:   time.Duration(attempt.TargetNanoseconds),
		DeadlineRemaining: time.Duration(attempt.BudgetNanoseconds),
		Request: fleet.Request{
			Method: attempt.Method,
			Host:   attempt.Host,
			Target: attempt.Target,
			Header: toHeader(attempt.Header),
			Body:   attempt.Body,
		},
	}
}

func fromLoad(load fleet.Load) *peerpb.Load {
	if load == (fleet.Load{}) {
		return nil
	}

	return &peerpb.Load{
		InFlight: uint32(max(load.InFlight, 0)), //nolint:gosec // counts are small
		Queued:   uint32(max(load.Queued, 0)),   //nolint:gosec // counts are small
		Slots:    uint32(max(load.Slots, 0)),    //nolint:gosec // counts are small
		State:    uint32(load.State),            //nolint:gosec // states are small

		SuspicionPermille:  uint32(min(max(load.Suspicion, 0), 1) * 1000),
		WaitNanoseconds:    int64(load.ExpectedWait),
		ServiceNanoseconds: int64(load.ServiceTime),
		Suspect:            load.Suspect,
	}
}

func toLoad(load *peerpb.Load) fleet.Load {
	return fleet.Load{
		InFlight: int(load.GetInFlight()),
		Queued:   int(load.GetQueued()),
		Slots:    int(load.GetSlots()),
		State:    fleet.UpstreamState(load.GetState()),

		Suspicion:    float64(load.GetSuspicionPermille()) / 1000,
		ExpectedWait: time.Duration(load.GetWaitNanoseconds()),
		ServiceTime:  time.Duration(load.GetServiceNanoseconds()),
		Suspect:      load.GetSuspect(),
	}
}

func fromRefusal(reply *fleet.Reply) *peerpb.Frame {
	refusal := &peerpb.Refusal{
		Reason:                string(reply.Reason),
		Detail:                reply.Detail,
		Load:                  fromLoad(reply.Load),
		RetryAfterNanoseconds: int64(reply.RetryAfter),
	}
	if reply.Outcome == fleet.NotRun {
		refusal.Outcome = uint32(fleet.NotRun)
	}

	return &peerpb.Frame{Body: &peerpb.Frame_Refusal{Refusal: refusal}}
}

func toRefusal(refusal *peerpb.Refusal) fleet.Reply {
	reply := fleet.Reply{
		Outcome:    fleet.Unknown,
		Reason:     fleet.Reason(refusal.Reason),
		Detail:     refusal.Detail,
		Load:       toLoad(refusal.Load),
		RetryAfter: time.Duration(refusal.RetryAfterNanoseconds),
	}
	if refusal.Outcome == uint32(fleet.NotRun) {
		reply.Outcome = fleet.NotRun
	}

	return reply
}
