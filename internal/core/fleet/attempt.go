package fleet

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// AttemptID identifies one attempt to run a request at one upstream.
// An ingress never reuses a Sequence within an Incarnation.
type AttemptID struct {
	// Ingress is the name of the daemon that created the attempt.
	Ingress     string
	Incarnation uint64
	Sequence    uint64
}

// String returns the form used in logs and refusals.
func (id AttemptID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Ingress, id.Incarnation, id.Sequence)
}

// Request is the part of a caller's request that reaches the upstream.
// It never contains the caller's key.
type Request struct {
	Method string
	Host   string
	// Target is the path with the query, as on the request line.
	Target string
	Header http.Header
	Body   []byte
}

// Attempt is a request on its way to one upstream.
type Attempt struct {
	ID AttemptID
	// EgressIncarnation is the incarnation of the daemon it is meant for;
	// any other incarnation refuses it as not run. Zero matches any.
	EgressIncarnation uint64
	Service           string
	// Route is the name of the matched route.
	Route         string
	Upstream      string
	ClientAccount string
	// Weight is the client account's share in fair queueing, at least 1.
	Weight     int
	Idempotent bool
	// IdempotencyKey is the caller's own key, or empty.
	IdempotencyKey string
	// RequestID is the caller's own name for the request, or empty.
	RequestID string
	// CallerService is the service of the instance where the request began, or
	// empty if that is not known.
	CallerService string
	// Priority orders waiting attempts; 0 is the most urgent.
	Priority int
	// Nested marks a call that an upstream makes while it runs a request.
	Nested bool
	// NoWait refuses the attempt if it cannot start at once.
	NoWait bool
	// AllowSuspect lets the attempt run at a suspect upstream.
	AllowSuspect bool
	// TrialAllowed says that the request can be repeated elsewhere if it fails, so that a
	// suspect upstream may be tried with it.
	TrialAllowed bool
	// CheckOnly asks only whether the attempt could start now, which is refused with
	// ReasonFree if it could. Its Request is empty.
	CheckOnly bool
	// NoAlternative says that no other upstream was found with a free slot, so that one
	// that has recovered is needed.
	NoAlternative bool
	// Repeat marks a further attempt of a request that may have run before, and
	// the calls of an upstream that runs one.
	Repeat bool
	// ExpectedDuration is how long requests of the route usually take at the service's
	// upstreams, or 0 if that is not known.
	ExpectedDuration time.Duration
	// TargetRemaining is the time left, when it was sent, within which an answer is worth
	// most. It is 0 if the route has no target, and negative if the time has passed.
	TargetRemaining time.Duration
	// DeadlineRemaining is the time left until the request's deadline when it was sent.
	DeadlineRemaining time.Duration
	Request           Request
	// OnAccepted, if set, is called at most once when the egress has said that the
	// attempt arrived. It is not sent to the egress.
	OnAccepted func()
}

// Outcome says what is known about a request having run.
type Outcome int

// Outcomes of a request.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the upstream answered.
	Ran
)

// String returns the outcome's name as it stands in answers to callers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	case Unknown:
		return "Unknown"
	}

	return "Invalid"
}

// Reason classifies a refusal or failure.
type Reason string

// Reasons for refusals and failures.
const (
	ReasonNone        Reason = ""
	ReasonBadRequest  Reason = "BadRequest"
	ReasonTooLarge    Reason = "TooLarge"
	ReasonNoKey       Reason = "NoKey"
	ReasonBadKey      Reason = "BadKey"
	ReasonNoRoute     Reason = "NoRoute"
	ReasonLimit       Reason = "Limit"
	ReasonLimitAway   Reason = "LimitAway" // no granter reached within the deadline
	ReasonIsolated    Reason = "Isolated"
	ReasonNotReady    Reason = "NotReady" // the daemon has no configuration yet
	ReasonStopping    Reason = "Stopping"
	ReasonNoUpstream  Reason = "NoUpstream"
	ReasonDraining    Reason = "Draining"
	ReasonShed        Reason = "Shed"
	ReasonQueueFull   Reason = "QueueFull"
	ReasonBusy        Reason = "Busy"    // no free slot, and the attempt may not wait
	ReasonSuspect     Reason = "Suspect" // the upstream probably fails at present
	ReasonFree        Reason = "Free"    // the attempt only asked, and could start
	ReasonMisdirected Reason = "Misdirected"
	ReasonForeign     Reason = "Foreign" // the answer belongs to another request
	ReasonDeadline    Reason = "Deadline"
	ReasonCancelled   Reason = "Cancelled"
	ReasonStale       Reason = "Stale" // wrong incarnation, or below the watermark
	ReasonUnreachable Reason = "Unreachable"
	ReasonTruncated   Reason = "Truncated"
	ReasonUpstream    Reason = "Upstream" // the upstream failed without an answer
	ReasonUpgrade     Reason = "Upgrade"
	// ReasonRepeated answers a repeat whose idempotency key is known.
	ReasonRepeated Reason = "Repeated"
)

// Answer is an upstream's answer. Whoever receives it closes Body.
// Body returns io.ErrUnexpectedEOF when the upstream's answer was cut short.
type Answer struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Trailer func() http.Header
}

// Reply is the result of an attempt, or of a caller's whole request.
// Answer is set only if Outcome is Ran.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// Detail is for people; it never contains a key.
	Detail string
	ID     AttemptID
	// Idempotent says that the route allows the caller to repeat the request.
	Idempotent bool
	// RetryAfter is set on refusals that pass by themselves.
	RetryAfter time.Duration
	Answer     Answer
	Load       Load
	// ServiceTime is the time from start to answer at the upstream, by the egress.
	ServiceTime time.Duration
}

// Refuse returns a reply for a request that has not run.
func Refuse(reason Reason, detail string) Reply {
	return Reply{Outcome: NotRun, Reason: reason, Detail: detail}
}

// Fail returns a reply for a request that may have run.
func Fail(reason Reason, detail string) Reply {
	return Reply{Outcome: Unknown, Reason: reason, Detail: detail}
}

// CancelResult is the egress's answer to a cancel.
type CancelResult int

// Results of a cancel.
const (
	// CancelUnknown means that no confirmation was received.
	CancelUnknown CancelResult = iota
	// CancelNotRun confirms that the attempt has not run and never will.
	CancelNotRun
	// CancelStarted means that the attempt had started.
	CancelStarted
)

// CallResult is how a call to a local upstream ended.
type CallResult int

// Results of a call to an upstream.
const (
	// CallAnswered means that an answer's head was received.
	CallAnswered CallResult = iota
	// CallNotSent means that no byte of the request left the daemon.
	CallNotSent
	// CallShed means that the upstream refused the request without running it.
	CallShed
	// CallFailed means that the request was sent and no answer came.
	CallFailed
	// CallTimedOut means that the deadline passed after the request was sent.
	CallTimedOut
	// CallMisdirected means that another upstream has the address. It did not run
	// the request.
	CallMisdirected
	// CallForeign means that an answer came that does not belong to the request.
	CallForeign
)

// String returns the result's name as it stands in logs.
func (r CallResult) String() string {
	names := [...]string{"Answered", "NotSent", "Shed", "Failed", "TimedOut", "Misdirected", "Foreign"}
	if r < 0 || int(r) >= len(names) {
		return "Invalid"
	}

	return names[r]
}

// CallerRequest is a request as it came from a caller, with its key.
type CallerRequest struct {
	Request Request
	// ID is the caller's own name for the request, or empty.
	ID string
	// Key is the caller's key, or empty.
	Key string
	// ReceivedAt is when its head had been read.
	ReceivedAt time.Time
	// Deadline is the caller's own, or zero.
	Deadline time.Time
}

// ServiceUsage counts what a service was used for since the last report.
type ServiceUsage struct {
	// Requests is the number of callers' requests for the service.
	Requests int
	// Repeats is the number of attempts that repeated runs of other services'
	// requests caused.
	Repeats int
}
