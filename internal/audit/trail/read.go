package trail

import (
	"context"
	"encoding/json"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Filter selects records. Empty fields select all.
type Filter struct {
	Who     string
	Action  string
	Subject string
	// From is inclusive and Until exclusive.
	From, Until time.Time
}

func (f Filter) match(r Record) bool {
	return (f.Who == "" || f.Who == r.Who) &&
		(f.Action == "" || f.Action == r.Action) &&
		(f.Subject == "" || f.Subject == r.Subject) &&
		!r.When.Before(f.From) &&
		(f.Until.IsZero() || r.When.Before(f.Until))
}

// Read calls visit for each matching record in the order of time. Objects that
// are no records are passed over. The outcome is StoreOK if it read all.
func Read(ctx context.Context, store Store, filter Filter, visit func(Record)) fleet.StoreOutcome {
	after := ""
	if !filter.From.IsZero() {
		// Every name has a suffix, so that it is greater than its own time.
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
			if json.Unmarshal(object.Value, &record) == nil && filter.match(record) {
				visit(record)
			}
		}
	}
}
