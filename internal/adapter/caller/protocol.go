package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
)

// RequestOptions are the options of a request that a caller sends in the header.
type RequestOptions struct {
	// ID is the caller's identifier of the request, or empty.
	ID string
	// Key is the caller's secret key, or empty.
	Key string
	// Timeout is how long the caller waits for the answer, or 0 if the caller set no timeout.
	Timeout time.Duration
}

// Protocol defines the headers that callers and the server exchange.
type Protocol interface {
	// Read returns the options in a request's header and removes the fields that must
	// not reach upstreams. Problem is the text of an error for the caller, or empty.
	Read(header http.Header) (options RequestOptions, problem string)
	// Refuse sets the header fields of the response to a request without an answer from
	// an upstream, and returns the response's HTTP status.
	Refuse(header http.Header, options RequestOptions, reply fleet.Reply) int
	// SetAnswerHeader sets the protocol's header fields on an upstream's answer.
	SetAnswerHeader(header http.Header)
}

// Headers of OwnProtocol.
const (
	// OutcomeHeader is a response header with the name of a fleet.Outcome, from which
	// callers learn whether their request ran.
	OutcomeHeader = "Kumquatshelf-Outcome"
	// TimeoutHeader is a request header with the time that the caller waits for the
	// answer, as a Go duration. It replaces a longer deadline of the service.
	TimeoutHeader = "Kumquatshelf-Timeout"
	// RequestIDHeader is a request header with the caller's identifier of the request,
	// which is logged and forwarded to the upstream.
	RequestIDHeader = "Request-ID"
)

// OwnProtocol is the protocol of callers that use Kumquatshelf's headers rather than
// those of a platform.
type OwnProtocol struct{}

// Read returns the request ID, the key and the timeout, and removes the timeout and the
// fields that can carry a key from the header. More than one key or an invalid timeout is a
// problem.
func (OwnProtocol) Read(header http.Header) (RequestOptions, string) {
	key, single := keys.FromHeader(header)
	if !single {
		return RequestOptions{}, "the request carries more than one key"
	}

	keys.RemoveAuthorization(header)

	options := RequestOptions{ID: header.Get(RequestIDHeader), Key: key}

	if text := header.Get(TimeoutHeader); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return RequestOptions{}, TimeoutHeader + " is not a positive duration such as 800ms"
		}

		options.Timeout = timeout
	}

	header.Del(TimeoutHeader)

	return options, ""
}

// statusByReason maps the reason of a refusal of a request that did not run to its HTTP
// status. Reasons without an entry have status 503.
var statusByReason = map[fleet.Reason]int{
	fleet.ReasonBadRequest: http.StatusBadRequest,
	fleet.ReasonTooLarge:   http.StatusRequestEntityTooLarge,
	fleet.ReasonNoKey:      http.StatusUnauthorized,
	fleet.ReasonBadKey:     http.StatusUnauthorized,
	fleet.ReasonNoRoute:    http.StatusNotFound,
	fleet.ReasonLimit:      http.StatusTooManyRequests,
	fleet.ReasonUpgrade:    http.StatusNotImplemented,
	fleet.ReasonDeadline:   http.StatusGatewayTimeout,
}

// RefusalStatus returns the HTTP status of a reply without an answer. If the request may
// have run, the status is 504 for ReasonDeadline and 502 for other reasons.
func RefusalStatus(reply fleet.Reply) int {
	switch status, ok := statusByReason[reply.Reason]; {
	case reply.Outcome == fleet.Unknown && reply.Reason == fleet.ReasonDeadline:
		return http.StatusGatewayTimeout
	case reply.Outcome == fleet.Unknown:
		return http.StatusBadGateway
	case ok:
		return status
	}

	return http.StatusServiceUnavailable
}

// Refuse sets OutcomeHeader, Retry-After in whole seconds, rounded up, if the reply has
// RetryAfter, and Www-Authenticate for status 401.
func (OwnProtocol) Refuse(header http.Header, _ RequestOptions, reply fleet.Reply) int {
	status := RefusalStatus(reply)
	header.Set(OutcomeHeader, reply.Outcome.String())

	if reply.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((reply.RetryAfter+time.Second-1)/time.Second)))
	}

	if status == http.StatusUnauthorized {
		header.Set("Www-Authenticate", "Bearer")
	}

	return status
}

// SetAnswerHeader sets OutcomeHeader to Ran.
func (OwnProtocol) SetAnswerHeader(header http.Header) {
	header.Set(OutcomeHeader, fleet.Ran.String())
}
