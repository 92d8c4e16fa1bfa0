package fleet

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// AttemptID identifies one attempt to run a request at one upstream.
type AttemptID struct {
	// Ingress is the name of the daemon that created the attempt.
	Ingress string
	// Incarnation is the incarnation of the ingress.
	Incarnation uint64
	// Sequence is never reused within an Incarnation of the ingress.
	Sequence uint64
}

// String returns the form used in logs and refusals, ingress/incarnation/sequence.
func (id AttemptID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Ingress, id.Incarnation, id.Sequence)
}

// Request is the part of a caller's request that reaches the upstream.
// It never contains the caller's key.
type Request struct {
	Method string
	Host   string
	// Target is the path and query as they are on the request line.
	Target string
	Header http.Header
	Body   []byte
}

// IdempotencyKeyHeader carries the caller's own key for a request, which lets an egress
// recognize repeats of it.
const IdempotencyKeyHeader = "Idempotency-Key"

// Attempt is a request that an ingress sends to the egress of one upstream.
type Attempt struct {
	ID AttemptID
	// EgressIncarnation is the incarnation of the egress that the attempt is
	// addressed to. An egress with another one refuses the attempt as not run. Zero
	// matches any incarnation.
	EgressIncarnation uint64
	Service           string
	// Route is the name of the matched route.
	Route         string
	Upstream      string
	ClientAccount string
	// Weight is the client account's share in fair queueing, at least 1.
	Weight     int
	Idempotent bool
	// IdempotencyKey is the idempotency key that the caller sent, or empty.
	IdempotencyKey string
	// RequestID is the request identifier that the caller sent, or empty.
	RequestID string
	// CallerService is the service of the instance that made the request, or empty
	// if it is not known.
	CallerService string
	// Priority orders queued attempts; 0 is the most urgent.
	Priority int
	// Nested marks a call that an upstream makes while it runs a request.
	Nested bool
	// NoWait makes the egress refuse the attempt if it cannot start at once, instead
	// of queueing it.
	NoWait bool
	// AllowSuspect lets the attempt run at a suspect upstream.
	AllowSuspect bool
	// TrialAllowed allows the egress to test a suspect upstream with this attempt. It is
	// set if the request can be repeated at another upstream when it fails.
	TrialAllowed bool
	// CheckOnly marks a query whether an attempt could start now. It never runs: if an
	// attempt could start, the egress refuses it with ReasonFree. Its Request is
	// empty.
	CheckOnly bool
	// NoAlternative says that the ingress found no other upstream with a free slot. The
	// egress then tests a suspect upstream at shorter intervals, so that a recovery
	// is noticed sooner.
	NoAlternative bool
	// Repeat marks a further attempt of a request that may have run before, and
	// the calls that an upstream makes while it runs such an attempt.
	Repeat bool
	// ExpectedDuration is how long requests of the route usually take at the service's
	// upstreams, or 0 if that is not known.
	ExpectedDuration time.Duration
	// TargetRemaining is the rest of the route's target latency when the attempt was
	// sent. It is 0 if the route has no target, and negative if the target was missed
	// already.
	TargetRemaining time.Duration
	// DeadlineRemaining is the time until the request's deadline when the attempt was
	// sent.
	DeadlineRemaining time.Duration
	Request           Request
	// OnAccepted, if set, is called at most once, when the egress has received the
	// attempt. At the egress it sends the confirmation to the ingress, and at the ingress
	// it is called for the confirmation. The function itself is not sent.
	OnAccepted func()
}

// Outcome says whether a request has run, as far as it is known.
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

// String returns the outcome's name as written in answers to callers.
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

// Reason classifies a refusal or failure. Its text is part of answers to callers,
// the peer protocol and metrics.
type Reason string

// Reasons for refusals and failures.
const (
	ReasonNone        Reason = ""
	ReasonBadRequest  Reason = "BadRequest"
	ReasonTooLarge    Reason = "TooLarge"
	ReasonNoKey       Reason = "NoKey"
	ReasonBadKey      Reason = "BadKey"
	ReasonNoRoute     Reason = "NoRoute"
	ReasonLimit       Reason = "Limit"     // the client account is above its limit
	ReasonLimitAway   Reason = "LimitAway" // no granter answered before the deadline
	ReasonIsolated    Reason = "Isolated"  // the daemon may have missed withdrawals of keys
	ReasonNotReady    Reason = "NotReady"  // the daemon has no configuration or no keys yet
	ReasonStopping    Reason = "Stopping"
	ReasonNoUpstream  Reason = "NoUpstream"
	ReasonDraining    Reason = "Draining"
	ReasonShed        Reason = "Shed" // the upstream refused the request without running it
	ReasonQueueFull   Reason = "QueueFull"
	ReasonBusy        Reason = "Busy"        // no free slot, and the attempt may not wait
	ReasonSuspect     Reason = "Suspect"     // the upstream is probably failing
	ReasonFree        Reason = "Free"        // the attempt was only a query, and could have started
	ReasonMisdirected Reason = "Misdirected" // another upstream has the address
	ReasonForeign     Reason = "Foreign"     // the answer belongs to another request
	ReasonDeadline    Reason = "Deadline"
	ReasonCancelled   Reason = "Cancelled"
	ReasonStale       Reason = "Stale"       // other incarnation, or sequence below the watermark
	ReasonUnreachable Reason = "Unreachable" // the egress or the upstream could not be reached
	ReasonTruncated   Reason = "Truncated"   // the answer's body was cut short
	ReasonUpstream    Reason = "Upstream"    // the upstream failed without an answer
	ReasonUpgrade     Reason = "Upgrade"     // connection upgrades are not supported
	// ReasonRepeated means that an earlier request has the same idempotency key.
	ReasonRepeated Reason = "Repeated"
)

// Answer is an upstream's HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	// Body is owned by the receiver of the answer, who must close it. Read returns
	// io.ErrUnexpectedEOF if the upstream's answer was cut short.
	Body    io.ReadCloser
	Trailer func() http.Header
	// Signals are what the upstream says about itself. They are known only to the egress
	// that called it.
	Signals UpstreamSignals
}

// Reply is the result of an attempt, or of a caller's whole request.
// Answer is set only if Outcome is Ran.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// Detail explains Reason in free text for operators; it never contains a key.
	Detail string
	ID     AttemptID
	// Idempotent says that the route allows the caller to repeat the request.
	Idempotent bool
	// RetryAfter is the time after which the caller should try again. It is set if the
	// cause of the refusal is temporary.
	RetryAfter time.Duration
	Answer     Answer
	Load       Load
	// ServiceTime is the time from the start to the answer of the upstream, measured by
	// the egress.
	ServiceTime time.Duration
}

// Refuse returns the reply for a request that has not run and never will.
func Refuse(reason Reason, detail string) Reply {
	return Reply{Outcome: NotRun, Reason: reason, Detail: detail}
}

// Fail returns the reply for a request that may have run.
func Fail(reason Reason, detail string) Reply {
	return Reply{Outcome: Unknown, Reason: reason, Detail: detail}
}

// CancelResult is the egress's answer to the cancellation of an attempt.
type CancelResult int

// Results of a cancellation.
const (
	// CancelUnknown means that the egress did not confirm the cancellation.
	CancelUnknown CancelResult = iota
	// CancelNotRun confirms that the attempt has not run and never will.
	CancelNotRun
	// CancelStarted means that the attempt had started before the cancellation.
	CancelStarted
)

// CallResult is how a call to a local upstream ended.
type CallResult int

// Results of a call to an upstream.
const (
	// CallAnswered means that the head of an answer was received.
	CallAnswered CallResult = iota
	// CallNotSent means that no byte of the request was sent.
	CallNotSent
	// CallShed means that the upstream refused the request without running it.
	CallShed
	// CallFailed means that the request was sent but no answer was received.
	CallFailed
	// CallTimedOut means that the deadline passed after the request was sent.
	CallTimedOut
	// CallMisdirected means that another upstream listens at the address. That
	// upstream did not run the request.
	CallMisdirected
	// CallForeign means that the answer received belongs to another request.
	CallForeign
)

// String returns the result's name as written in logs.
func (r CallResult) String() string {
	names := [...]string{"Answered", "NotSent", "Shed", "Failed", "TimedOut", "Misdirected", "Foreign"}
	if r < 0 || int(r) >= len(names) {
		return "Invalid"
	}

	return names[r]
}

// CallerRequest is a request as the ingress received it, with the caller's key.
type CallerRequest struct {
	Request Request
	// ID is the request identifier that the caller sent, or empty.
	ID string
	// Key is the caller's key, or empty.
	Key string
	// ReceivedAt is when the request's head had been read.
	ReceivedAt time.Time
	// Deadline is the deadline that the caller set, or zero.
	Deadline time.Time
}

// ServiceUsage counts the requests and repeats of a service since the last report.
type ServiceUsage struct {
	// Requests is the number of callers' requests for the service.
	Requests int
	// Repeats is the number of attempts for the service that were caused by repeated
	// requests of other services.
	Repeats int
}

// Add adds the counts of other.
func (u *ServiceUsage) Add(other ServiceUsage) {
	u.Requests += other.Requests
	u.Repeats += other.Repeats
}
