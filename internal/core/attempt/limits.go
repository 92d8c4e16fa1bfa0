package attempt

import "time"

// Limits bounds the memory of a registry.
type Limits struct {
	// Records is the maximum number of attempt records of all ingresses together.
	Records int
	// RecordsPerIngress is the maximum number of records of finished attempts per ingress.
	RecordsPerIngress int
	// Ingresses is the maximum number of ingresses with records.
	Ingresses int
	// IngressRetention is the minimum time that an ingress without a session is retained.
	// It must exceed the time by which a message or a handshake can be delayed.
	IngressRetention time.Duration
	// KeysPerUpstream is the maximum number of idempotency keys per upstream.
	KeysPerUpstream int
	// KeyRetention is how long an idempotency key is retained after its attempt ended.
	KeyRetention time.Duration
	// AnswerBytes is the maximum total size of the answers recorded for all idempotency
	// keys.
	AnswerBytes int
}

// DefaultLimits returns the limits that a daemon uses.
func DefaultLimits() Limits {
	return Limits{
		// At the target size an egress runs about 570 attempts per second, so that the record
		// of a finished attempt is retained for about two minutes.
		Records: 65_536,
		// Prevents one ingress from evicting the records of all others.
		RecordsPerIngress: 4_096,
		// Enough for 3,500 daemons and 11,000 replacements of daemons per day.
		Ingresses:        16_384,
		IngressRetention: 10 * time.Minute,
		// KeysPerUpstream and KeyRetention follow section 2.4 of the design.
		KeysPerUpstream: 4_096,
		KeyRetention:    10 * time.Minute,
		// A quarter of the 32 MB of memory that the control plane may use per daemon.
		AnswerBytes: 8 << 20,
	}
}
