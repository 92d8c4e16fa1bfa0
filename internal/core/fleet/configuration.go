package fleet

import "time"

// CapacityFloor is the healthy capacity of a service that must remain when upstreams are
// ejected. Exactly one of its fields is set.
type CapacityFloor struct {
	// Percent is a percentage of the service's announced slots, 1 to 100.
	Percent int
	// Slots is a number of slots.
	Slots int
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name          string
	CapacityFloor CapacityFloor
	// Deadline bounds the duration of a caller's request, unless the caller sets a
	// shorter one.
	Deadline time.Duration
	// DetectionThreshold is the evidence, in nats, that ejects an upstream.
	// A lower value detects earlier and ejects more healthy upstreams.
	DetectionThreshold float64
	// MaxConnections bounds the connections to one upstream; 0 means no bound.
	MaxConnections int
}

// TrafficShare is a service's share of the requests of a route.
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
	// Methods are the accepted methods; an empty list accepts all.
	Methods []string
	// Split distributes the requests over several services. If it is set, Service is
	// not used.
	Split []TrafficShare
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// AllowAnonymous says that the route needs no key.
	AllowAnonymous bool
	// Timeout bounds the duration of a request of the route; 0 means that only the
	// service's deadline applies.
	Timeout time.Duration
	// TargetLatency is the time within which callers benefit most from an answer, or
	// 0 if the route has no target.
	TargetLatency time.Duration
	// MaxAttempts bounds the upstreams that may run one request; 0 means no bound.
	MaxAttempts int
	// Priority orders the route's requests among those of other routes; 0 is the most
	// urgent.
	Priority int
}

// CallerLimits bound what callers may send. A zero field leaves the limit of the
// daemon's settings in force.
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
	Version uint64
	// Services is indexed by the services' names.
	Services map[string]Service
	// Routes points to the routes of the teams, which successive versions share.
	Routes         []*Route
	ClientAccounts *ClientAccounts
	// Keys maps the hash of each key to the name of its client account. It is nil if
	// keys are distributed separately from the configuration.
	Keys map[KeyHash]string
	// Limits bound what callers may send.
	Limits CallerLimits
	// Warnings describe values that are not known, and how they are treated.
	Warnings []string
}

// TokenOutcome is the result of requesting one token of a client account.
type TokenOutcome int

// Outcomes of requesting a token.
const (
	// TokenGranted means that a token was granted and the request may run.
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
	// RetryAfter is the estimated time until a token is available.
	RetryAfter time.Duration
}

// TokenDemand is a request for one token of a client account.
type TokenDemand struct {
	ClientAccount string
	// Priority orders the requests of an account that is above its limit; 0 is the most
	// urgent.
	Priority int
	// Deadline is until when the request can wait for an answer of the granter.
	Deadline time.Time
	// OverLimitDeadline replaces Deadline after the granter has answered that the
	// account is above its limit. If it is zero, Deadline applies.
	OverLimitDeadline time.Time
}
