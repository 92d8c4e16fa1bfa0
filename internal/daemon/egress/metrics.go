package egress

import (
	"expvar"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Metrics returns the egress's counters. They are not published to expvar, where names
// are unique in a process, so that there can be several egresses. The caller publishes
// them under a name of its choice.
func (e *Egress) Metrics() expvar.Var { return e.counters }

func (e *Egress) newCounters() *expvar.Map {
	counters := new(expvar.Map).Init()
	counters.Set("InFlight", expvar.Func(func() any {
		e.mu.Lock()
		defer e.mu.Unlock()

		return e.running
	}))
	counters.Set("Queued", expvar.Func(func() any {
		e.mu.Lock()
		defer e.mu.Unlock()

		return len(e.queued)
	}))
	counters.Set("AttemptsKnown", expvar.Func(func() any {
		e.mu.Lock()
		defer e.mu.Unlock()

		return e.registry.Len()
	}))

	counters.Set("WaitSeconds", &e.waitTimes)
	counters.Set("ServedSeconds", &e.serveTimes)

	return counters
}

func (e *Egress) countReply(reply fleet.Reply) {
	e.counters.Add("Attempts", 1)
	e.counters.Add("Outcome"+reply.Outcome.String(), 1)
	if reply.Reason != fleet.ReasonNone {
		e.counters.Add("Reason"+string(reply.Reason), 1)
	}
}

func (e *Egress) countResult(observation fleet.Observation) {
	if observation.Truncated {
		e.counters.Add("CallsTruncated", 1)

		return
	}
	name := "CallsAnswered"
	switch observation.Result {
	case fleet.CallNotSent:
		name = "CallsNotSent"
	case fleet.CallShed:
		name = "CallsShed"
	case fleet.CallFailed:
		name = "CallsFailed"
	case fleet.CallTimedOut:
		name = "CallsTimedOut"
	case fleet.CallMisdirected:
		name = "CallsMisdirected"
	case fleet.CallForeign:
		name = "CallsForeign"
	case fleet.CallAnswered:
	}
	e.counters.Add(name, 1)
}
