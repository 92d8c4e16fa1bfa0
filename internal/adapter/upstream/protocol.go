package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Protocol defines the headers that a daemon and its upstreams exchange.
type Protocol interface {
	// Describe sets the request headers that describe an attempt to its upstream.
	// Remaining is the time until the attempt's deadline, or 0 if it has none.
	Describe(header http.Header, upstream fleet.Upstream, attempt fleet.Attempt, remaining time.Duration)
	// Classify returns the result of a call from the head of its answer: CallAnswered,
	// CallShed, CallMisdirected, CallForeign or CallFailed.
	Classify(status int, header http.Header, attempt fleet.Attempt) fleet.CallResult
	// Identify returns how the head of an answer shows to which request it belongs.
	Identify(header http.Header) Identity
	// Signals returns what the upstream says about itself in the head of an answer.
	Signals(header http.Header) fleet.UpstreamSignals
}

// Identity is how an answer shows to which request it belongs. An upstream may send an answer
// once more, when the connection is in use for another request.
type Identity int

const (
	// Identified answers name their request, so that a copy is recognized.
	Identified Identity = iota
	// Unnamed answers lack the name that others of the protocol have.
	Unnamed
	// Unidentifiable answers are of a protocol in which answers name no request.
	Unidentifiable
)

// Headers of OwnProtocol.
const (
	// HeaderDeadline is a request header with the time until the deadline, in
	// milliseconds.
	HeaderDeadline = "Kumquatshelf-Deadline-Milliseconds"
	// HeaderShed, with the value true, marks an answer with status 503 of an upstream
	// that did not run the request.
	HeaderShed = "Kumquatshelf-Shed"
	// HeaderLimit is an answer header with the number of requests a second, with
	// fractions, that the upstream takes from all daemons together while its answers name
	// it.
	HeaderLimit = "Kumquatshelf-Limit"
	// HeaderLeaving, with the value true, marks the answers of an upstream that is about
	// to stop and takes no new requests.
	HeaderLeaving = "Kumquatshelf-Leaving"
)

// OwnProtocol is the protocol of upstreams that use Kumquatshelf's headers rather than
// those of a platform.
type OwnProtocol struct{}

// Describe sets HeaderDeadline to at least 1 ms, or removes it if there is no
// deadline.
func (OwnProtocol) Describe(header http.Header, _ fleet.Upstream, _ fleet.Attempt, remaining time.Duration) {
	header.Del(HeaderDeadline)
	if remaining > 0 {
		header.Set(HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
}

// Classify returns CallShed for status 503 with HeaderShed, and CallAnswered for any
// other answer.
func (OwnProtocol) Classify(status int, header http.Header, _ fleet.Attempt) fleet.CallResult {
	if status == http.StatusServiceUnavailable && strings.EqualFold(header.Get(HeaderShed), "true") {
		return fleet.CallShed
	}

	return fleet.CallAnswered
}

// Identify returns Unidentifiable.
func (OwnProtocol) Identify(http.Header) Identity { return Unidentifiable }

// Signals reads HeaderLimit and HeaderLeaving.
func (OwnProtocol) Signals(header http.Header) fleet.UpstreamSignals {
	signals := ParseLimit(header.Get(HeaderLimit))
	signals.Leaving = strings.EqualFold(header.Get(HeaderLeaving), "true")

	return signals
}

// ParseLimit returns the signals of an upstream that names the limit in text, a number of
// requests a second with fractions. An empty text names none.
func ParseLimit(text string) fleet.UpstreamSignals {
	if text == "" {
		return fleet.UpstreamSignals{}
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(limit, 0) {
		limit = math.NaN()
	}

	return fleet.UpstreamSignals{HasLimit: true, Limit: limit}
}
