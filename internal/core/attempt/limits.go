package attempt

import "time"

// Limits bounds the memory of a registry.
type Limits struct {
	// Records is the number of attempts known at once, of all ingresses.
	Records int
	// RecordsPerIngress is the number of finished attempts kept per ingress.
	RecordsPerIngress int
	// Ingresses is the number of ingresses known at once.
	Ingresses int
	// IngressRetention is how long an ingress without a session stays known. It
	// must exceed the time that a message or a handshake can be delayed.
	IngressRetention time.Duration
	// KeysPerUpstream is the number of idempotency keys kept per upstream.
	KeysPerUpstream int
	// KeyRetention is how long an idempotency key is kept after its attempt ended.
	KeyRetention time.Duration
	// AnswerBytes bounds the recorded answers of all idempotency keys.
	AnswerBytes int
}

// DefaultLimits returns the limits of a daemon.
func DefaultLimits() Limits {
	return Limits{
		// At the target size an egress runs about 570 attempts per second, so
		// a finished attempt stays known for about two minutes.
		Records: 65_536,
		// Keeps one ingress from evicting the records of all others.
		RecordsPerIngress: 4_096,
		// 3,500 daemons and 11,000 replacements a day.
		Ingresses:        16_384,
		IngressRetention: 10 * time.Minute,
		// Both from section 2.4 of the design.
		KeysPerUpstream: 4_096,
		KeyRetention:    10 * time.Minute,
		// A quarter of the 32 MB that the control plane may use per daemon.
		AnswerBytes: 8 << 20,
	}
}
