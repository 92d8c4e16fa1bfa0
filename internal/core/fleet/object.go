package fleet

// MaxObjectBytes is the largest value that the platform's store accepts.
const MaxObjectBytes = 1_000_000

// Object is one object of the platform's store.
type Object struct {
	Kind string
	Name string
	// Version is store-wide and rises with each write.
	Version uint64
	Value   []byte
}

// Condition says when a write takes effect: if the object does not exist, for
// the zero Condition, or else if it has the given version.
type Condition struct {
	Version uint64
}

// IfAbsent lets a write take effect only if the object does not exist.
var IfAbsent = Condition{}

// IfVersion lets a write take effect only on an object of that version.
func IfVersion(version uint64) Condition {
	return Condition{Version: version}
}

// StoreOutcome is the result of a call to the platform's store.
type StoreOutcome int

// Outcomes of a call to the store.
const (
	// StoreUnavailable means that the call did not take effect.
	StoreUnavailable StoreOutcome = iota
	// StoreOK means that a write took effect, or that a read is complete.
	StoreOK
	// StoreNotFound means that the object does not exist.
	StoreNotFound
	// StoreConflict means that the condition did not hold; nothing was written.
	StoreConflict
	// StoreAmbiguous means that a write may have taken effect, or still may.
	StoreAmbiguous
	// StoreRejected means that the store never accepts such a call: the value
	// is too large or a name is malformed. Nothing was written.
	StoreRejected
)

// String returns the outcome's name.
func (o StoreOutcome) String() string {
	switch o {
	case StoreUnavailable:
		return "Unavailable"
	case StoreOK:
		return "OK"
	case StoreNotFound:
		return "NotFound"
	case StoreConflict:
		return "Conflict"
	case StoreAmbiguous:
		return "Ambiguous"
	case StoreRejected:
		return "Rejected"
	}

	return "Invalid"
}
