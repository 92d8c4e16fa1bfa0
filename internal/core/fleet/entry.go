package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// EntryKind is the type of an entry in the replicated set.
type EntryKind uint8

// Kinds of entries. The value of each is a protobuf message of the same name.
const (
	// KindMember describes a daemon. It is keyed by the daemon's name and written by
	// that daemon.
	KindMember EntryKind = iota + 1
	// KindKey is the state of a caller's key. It is keyed by the key's hash; its
	// version is 1 for a valid key and 2 for a withdrawn one.
	KindKey
	// KindHead identifies the latest configuration. It has a single key; its version
	// is the configuration's version.
	KindHead
	// KindSuspicion reports a daemon as suspect or faulty. It is keyed by the
	// daemon's name.
	KindSuspicion
	// KindDrain is an operator's request to drain an upstream. It is keyed by the
	// upstream's name and written by the daemon that receives the request.
	KindDrain
)

// Entry is one item of the replicated set. Of two entries with the same kind
// and key, the one with the higher (Incarnation, Version) wins.
type Entry struct {
	Kind        EntryKind
	Key         string
	Incarnation uint64
	Version     uint64
	Value       []byte
}

// Newer reports whether e replaces other.
func (e Entry) Newer(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}

	return e.Version > other.Version
}

// Session identifies one connection between two daemons.
type Session struct {
	// Daemon and Incarnation identify the daemon at the other end.
	Daemon      string
	Incarnation uint64
	// Number is assigned by the daemon that opens the session. It increases with each
	// session that one incarnation of that daemon opens.
	Number uint64
}

// Observation is what the egress learned about an upstream from one finished
// attempt.
type Observation struct {
	Service       string
	Upstream      string
	ClientAccount string
	State         UpstreamState
	Result        CallResult
	// Status is the HTTP status, if Result is CallAnswered.
	Status int
	// Truncated says that the answer's body was cut short.
	Truncated bool
	// ServiceTime is the time from the start of the attempt to the end of the answer's
	// head.
	ServiceTime time.Duration
	// Route is the name of the route. Latencies are compared within a route only.
	Route string
}

// GroupIndex returns the index of the group of a client account or service, from 0 to
// groups-1. It is the name's xxHash modulo groups.
func GroupIndex(name string, groups int) int {
	return int(xxhash.Sum64String(name) % uint64(groups)) //nolint:gosec // groups is small and positive
}
