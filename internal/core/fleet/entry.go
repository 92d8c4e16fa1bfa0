package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// EntryKind is the type of an entry in the replicated set.
type EntryKind uint8

// Kinds of entries. The value of each is a protobuf message of the same name.
const (
	// KindMember is keyed by daemon name and written by that daemon.
	KindMember EntryKind = iota + 1
	// KindKey is keyed by key hash; its version is 1 when given, 2 when withdrawn.
	KindKey
	// KindHead has one key; its version is the configuration's version.
	KindHead
	// KindSuspicion is keyed by daemon name.
	KindSuspicion
	// KindDrain is keyed by upstream name and written for operators.
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

// Session identifies one connection between two daemons. Number rises with
// each session that the opening daemon's incarnation opens.
type Session struct {
	Daemon      string
	Incarnation uint64
	Number      uint64
}

// Observation is the egress's evidence from one finished attempt.
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
	// ServiceTime is the time from start to the end of the answer's head.
	ServiceTime time.Duration
	// Route allows comparing latency among like requests.
	Route string
}

// GroupIndex returns the group of a client account or service, 0 to groups-1.
func GroupIndex(name string, groups int) int {
	return int(xxhash.Sum64String(name) % uint64(groups)) //nolint:gosec // groups is small and positive
}
