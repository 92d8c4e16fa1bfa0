package trail

import (
	"context"
	"encoding/json"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Filter selects records by their fields. An empty field selects all records.
type Filter struct {
	Who     string
	Action  string
	Subject string
	// From and Until select records by the field When. From is inclusive and Until
	// exclusive.
	From, Until time.Time
}

// matches reports whether the filter selects the record.
func (f Filter) matches(r Record) bool {
	return (f.Who == "" || f.Who == r.Who) &&
		(f.Action == "" || f.Action == r.Action) &&
		(f.Subject == "" || f.Subject == r.Subject) &&
		!r.When.Before(f.From) &&
		(f.Until.IsZero() || r.When.Before(f.Until))
}

// Read calls visit for each record in the store that filter selects, in the order of
// time. It ignores audit objects whose value is not a valid record. The outcome is
// StoreOK if all records were read; otherwise visit may not have been called for all.
func Read(ctx context.Context, store Store, filter Filter, visit func(Record)) fleet.StoreOutcome {
	after := ""
	if !filter.From.IsZero() {
		// List returns the names that sort after this one. The name of a record is its
		// time and a suffix, so that a record whose time equals From is included.
		after = filter.From.UTC().Format(nameLayout)
	}
	for {
		objects, outcome := store.List(ctx, Kind, after)
		if outcome != fleet.StoreOK {
			return outcome
		}
		if len(objects) == 0 {
			return fleet.StoreOK
		}
		for _, object := range objects {
			after = object.Name
			if !filter.Until.IsZero() && object.Name >= filter.Until.UTC().Format(nameLayout) {
				return fleet.StoreOK
			}
			var record Record
			if json.Unmarshal(object.Value, &record) == nil && filter.matches(record) {
				visit(record)
			}
		}
	}
}
