package fleet

// MaxObjectBytes is the size in bytes of the largest value that is written to the
// platform's store. The store accepts objects of up to a megabyte, and values are
// encoded in base64.
const MaxObjectBytes = 768_000

// Object is one object of the platform's store.
type Object struct {
	Kind string
	Name string
	// Version increases with each write of any object of the store.
	Version uint64
	Value   []byte
}

// Condition is the precondition of a write. The zero Condition requires that the
// object does not exist, any other that the object has the given version.
type Condition struct {
	Version uint64
}

// IfAbsent lets a write take effect only if the object does not exist.
var IfAbsent = Condition{}

// IfVersion lets a write take effect only if the object has the version.
func IfVersion(version uint64) Condition {
	return Condition{Version: version}
}

// ObjectPage is one page of the list of a kind's objects, sorted by name.
type ObjectPage struct {
	Objects []Object
	// Last is the greatest name of the page. The next page starts after it. Objects
	// may lack the object with this name.
	Last string
	// More says that the store has further objects after Last.
	More bool
	// Revision is the revision of the store at which the page was read.
	Revision uint64
}

// ObjectEvent is one change of an object.
type ObjectEvent struct {
	Object  Object
	Removed bool
}

// ObjectEvents are the changes of the objects of a kind after a revision.
type ObjectEvents struct {
	Events []ObjectEvent
	// Revision is the revision to pass to the next watch.
	Revision uint64
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
	// StoreRejected means that the store will not accept the call if it is repeated:
	// the value is too large or a name is malformed. Nothing was written.
	StoreRejected
	// StoreCompacted means that the store no longer has the changes after the
	// revision that a watch requested. The objects have to be listed again.
	StoreCompacted
)

// String returns the outcome's name as written in logs.
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
	case StoreCompacted:
		return "Compacted"
	}

	return "Invalid"
}
