package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
)

// RequestOptions are what a caller says about its request in the header.
type RequestOptions struct {
	// ID is the caller's own name for the request, or empty.
	ID string
	// Key is the caller's key, or empty.
	Key string
	// Timeout is how long the caller waits, or 0 if it does not say.
	Timeout time.Duration
}

// Protocol is what callers and the front tell each other in headers.
type Protocol interface {
	// Read takes the terms out of a request's header. Problem says what is wrong
	// with them, or is empty.
	Read(header http.Header) (terms RequestOptions, problem string)
	// Refuse returns the status of an answer to a request that has none from an
	// upstream, and sets what the header tells about it.
	Refuse(header http.Header, terms RequestOptions, reply fleet.Reply) int
	// SetAnswerHeader sets what the header of an upstream's answer tells about it.
	SetAnswerHeader(header http.Header)
}

// Headers of the fleet's own protocol.
const (
	// OutcomeHeader tells callers whether their request ran.
	OutcomeHeader = "Kumquatshelf-Outcome"
	// TimeoutHeader lets callers ask for a shorter deadline, as a duration.
	TimeoutHeader = "Kumquatshelf-Timeout"
	// RequestIDHeader is the caller's own name for a request, which logs repeat and
	// upstreams get.
	RequestIDHeader = "Request-ID"
)

// OwnProtocol is the protocol of callers that know the fleet's own interface.
type OwnProtocol struct{}

// Read takes the key and the timeout out of the header.
func (OwnProtocol) Read(header http.Header) (RequestOptions, string) {
	key, single := keys.FromHeader(header)
	if !single {
		return RequestOptions{}, "the request carries more than one key"
	}

	keys.RemoveAuthorization(header)

	terms := RequestOptions{ID: header.Get(RequestIDHeader), Key: key}

	if text := header.Get(TimeoutHeader); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return RequestOptions{}, TimeoutHeader + " is not a positive duration such as 800ms"
		}

		terms.Timeout = timeout
	}

	header.Del(TimeoutHeader)

	return terms, ""
}

// statuses are the HTTP statuses of refusals that have not run.
var statuses = map[fleet.Reason]int{
	fleet.ReasonBadRequest: http.StatusBadRequest,
	fleet.ReasonTooLarge:   http.StatusRequestEntityTooLarge,
	fleet.ReasonNoKey:      http.StatusUnauthorized,
	fleet.ReasonBadKey:     http.StatusUnauthorized,
	fleet.ReasonNoRoute:    http.StatusNotFound,
	fleet.ReasonLimit:      http.StatusTooManyRequests,
	fleet.ReasonUpgrade:    http.StatusNotImplemented,
	fleet.ReasonDeadline:   http.StatusGatewayTimeout,
}

// RefusalStatus returns the HTTP status of a reply without an answer. Before a request
// has run, rest is that of reasons without a status of their own.
func RefusalStatus(reply fleet.Reply) int {
	switch status, ok := statuses[reply.Reason]; {
	case reply.Outcome == fleet.Unknown && reply.Reason == fleet.ReasonDeadline:
		return http.StatusGatewayTimeout
	case reply.Outcome == fleet.Unknown:
		return http.StatusBadGateway
	case ok:
		return status
	}

	return http.StatusServiceUnavailable
}

// Refuse tells the outcome and when to come back, in whole seconds.
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

// SetAnswerHeader tells that the request ran.
func (OwnProtocol) SetAnswerHeader(header http.Header) {
	header.Set(OutcomeHeader, fleet.Ran.String())
}
