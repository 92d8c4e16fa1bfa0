package fleet

import "time"

// CapacityFloor is the least healthy capacity of a service that ejection must leave.
// Exactly one of its fields is set.
type CapacityFloor struct {
	// Percent is of the service's announced slots, 1 to 100.
	Percent int
	Slots   int
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name          string
	CapacityFloor CapacityFloor
	// Deadline bounds the time a caller's request may take, unless the caller
	// asks for less.
	Deadline time.Duration
	// DetectionThreshold is the evidence, in nats, that ejects an upstream.
	// A lower value detects earlier and ejects more healthy upstreams.
	DetectionThreshold float64
	// MaxConnections bounds the connections to one upstream, or is 0.
	MaxConnections int
}

// TrafficShare is a service's part of the requests of a route.
type TrafficShare struct {
	Service string
	// Weight is relative to the sum of all weights of the route.
	Weight float64
}

// Route sends requests with a host, path prefix and method to a service.
type Route struct {
	Name       string
	Team       string
	Service    string
	Host       string
	PathPrefix string
	// SubpathsOnly limits the route to paths in which a slash follows the prefix, so that
	// the prefix itself does not match.
	SubpathsOnly bool
	// Methods are the accepted methods; none accepts all.
	Methods []string
	// Split distributes the requests over several services, in place of Service.
	Split []TrafficShare
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// AllowAnonymous says that the route needs no key.
	AllowAnonymous bool
	// Timeout is the longest that a request is kept waiting, or 0 if only the
	// service's deadline counts.
	Timeout time.Duration
	// TargetLatency is within which an answer is worth most, or 0.
	TargetLatency time.Duration
	// MaxAttempts bounds the upstreams that may run one request, or is 0.
	MaxAttempts int
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
}

// CallerLimits bound what callers may send. Zero fields leave the settings'.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyHash is the SHA-256 hash of a key.
type KeyHash = [32]byte

// Team is the content of one team file.
type Team struct {
	Name           string
	Services       []Service
	Routes         []Route
	ClientAccounts AccountList
}

// Configuration is one published version of all team files.
// It is immutable once installed.
type Configuration struct {
	Version  uint64
	Services map[string]Service
	// Routes refer to those of the teams, which all versions share.
	Routes         []*Route
	ClientAccounts *ClientAccounts
	// Keys gives the client account of each key, if the configuration holds the
	// keys; it is nil if they are kept apart.
	Keys map[KeyHash]string
	// Limits bound what callers may send.
	Limits CallerLimits
}

// TokenOutcome is the result of asking for one token of a client account.
type TokenOutcome int

// Outcomes of asking for a token.
const (
	// TokenGranted means that the request may run.
	TokenGranted TokenOutcome = iota
	// OverLimit means that the client account is above its rate and burst.
	OverLimit
	// GranterUnreachable means that no granter answered before the deadline.
	GranterUnreachable
	// UnknownClientAccount means that the configuration has no such account.
	UnknownClientAccount
)

// TokenResult is the answer to a request for one token.
type TokenResult struct {
	Outcome TokenOutcome
	// RetryAfter estimates when a token will be available.
	RetryAfter time.Duration
}

// TokenDemand asks for one token of a client account.
type TokenDemand struct {
	ClientAccount string
	// Priority orders the requests of an account that is above its limit; 0 is the most
	// urgent.
	Priority int
	// Deadline is until when the request can wait for an answer of the granter.
	Deadline time.Time
	// OverLimitDeadline is until when it waits once the granter has said that the account is
	// above its limit. If it is zero, Deadline counts.
	OverLimitDeadline time.Time
}
