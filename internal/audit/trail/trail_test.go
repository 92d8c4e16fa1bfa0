package trail

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

func subjects(t *testing.T, store Store, filter Filter) []string {
	t.Helper()
	var all []string
	if got := Read(t.Context(), store, filter, func(r Record) { all = append(all, r.Subject) }); got != fleet.StoreOK {
		t.Fatalf("got %v, want OK", got)
	}

	return all
}

// Guards against records that are lost, doubled or out of order when the store
// fails, and against drops that are not counted.
func TestRecordsSurviveFaults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		faults  platform.Faults
		records int
		dropped int
	}{
		"none":          {records: 10},
		"outage":        {faults: platform.Faults{Outage: true}, records: capacity},
		"answers lost":  {faults: platform.Faults{LoseAnswers: 5}, records: 10},
		"slow":          {faults: platform.Faults{Latency: 4 * time.Second}, records: 10},
		"longer outage": {faults: platform.Faults{Outage: true}, records: capacity + 7, dropped: 7},
		"full and slow": {faults: platform.Faults{Latency: 4 * time.Second}, records: capacity + 7, dropped: 6}, // the first is being written
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := platform.New(rand.New(rand.NewPCG(1, 2)))
				store.SetFaults(c.faults)
				trail, stop := New(store, slog.New(slog.DiscardHandler))
				defer stop()
				for i := range c.records {
					trail.Add(Record{Who: "ana", Action: ActionDrain, Subject: fmt.Sprintf("%05d", i)})
					time.Sleep(time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				store.SetFaults(platform.Faults{})
				if !trail.Flush(t.Context()) {
					t.Fatal("got an unfinished flush, want all written")
				}
				if got, want := trail.Dropped(), uint64(c.dropped); got != want {
					t.Errorf("got %d dropped, want %d", got, want)
				}
				got := subjects(t, store, Filter{})
				if len(got) != c.records-c.dropped || !slices.IsSorted(got) || len(slices.Compact(got)) != len(got) {
					t.Errorf("got %d records, sorted %v, want %d in order", len(got), slices.IsSorted(got), c.records-c.dropped)
				}
			})
		})
	}
}

// Guards against a flush that never returns while the store is away.
func TestFlushEndsWithItsContext(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(rand.New(rand.NewPCG(1, 2)))
		store.SetFaults(platform.Faults{Outage: true})
		trail, stop := New(store, slog.New(slog.DiscardHandler))
		defer stop()
		trail.Add(Record{Who: "ana"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if trail.Flush(ctx) {
			t.Error("got a finished flush in an outage, want none")
		}
	})
}

// TestUnwritten guards against records that a daemon which stops in an outage
// of the store neither writes nor logs.
func TestUnwritten(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(rand.New(rand.NewPCG(1, 2)))
		store.SetFaults(platform.Faults{Outage: true})
		trail, stop := New(store, slog.New(slog.DiscardHandler))
		defer stop()

		trail.Add(Record{Who: "ana", Action: ActionDrain, Subject: "u1"})
		trail.Add(Record{Who: "ana", Action: ActionUndrain, Subject: "u1"})

		got := trail.PendingRecords()
		if len(got) != 2 || !strings.Contains(got[0], ActionDrain) || !strings.Contains(got[1], ActionUndrain) {
			t.Errorf("got %v, want both records in their order", got)
		}
	})
}

// Guards against a filter that hides or adds records.
func TestReadFilters(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(rand.New(rand.NewPCG(1, 2)))
		trail, stop := New(store, slog.New(slog.DiscardHandler))
		defer stop()
		start := time.Now()
		for i := range 4 {
			who, action := "ana", ActionPublish
			if i%2 == 1 {
				who, action = "bo", ActionDrain
			}
			trail.Add(Record{Who: who, Action: action, Subject: fmt.Sprint(i), When: start.Add(time.Duration(i) * time.Second)})
		}
		store.Put(t.Context(), fleet.Object{Kind: Kind, Name: "20000101T000001.000000000Z", Value: []byte("{")}, fleet.IfAbsent)
		trail.Flush(t.Context())
		for name, c := range map[string]struct {
			filter Filter
			want   string
		}{
			"all":     {Filter{}, "[0 1 2 3]"},
			"who":     {Filter{Who: "bo"}, "[1 3]"},
			"action":  {Filter{Action: ActionPublish}, "[0 2]"},
			"subject": {Filter{Subject: "2"}, "[2]"},
			"from":    {Filter{From: start.Add(time.Second)}, "[1 2 3]"},
			"until":   {Filter{Until: start.Add(2 * time.Second)}, "[0 1]"},
			"both":    {Filter{From: start.Add(time.Second), Until: start.Add(2 * time.Second)}, "[1]"},
		} {
			if got := fmt.Sprint(subjects(t, store, c.filter)); got != c.want {
				t.Errorf("%s: got %s, want %s", name, got, c.want)
			}
		}
		store.SetFaults(platform.Faults{Outage: true})
		if got := Read(t.Context(), store, Filter{}, func(Record) {}); got != fleet.StoreUnavailable {
			t.Errorf("got %v in an outage, want Unavailable", got)
		}
	})
}
