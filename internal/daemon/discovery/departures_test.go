package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	standin "github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

// startRegistry starts a run of the daemon d1.
func startRegistry(t *testing.T, store Store) *Registry {
	t.Helper()
	r, stop := New("d1", netip.MustParseAddrPort("10.0.0.1:7000"), store, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	t.Cleanup(stop)

	return r
}

func gone(name string) fleet.Departure {
	return fleet.Departure{Name: name, Incarnation: 7, Gone: true, At: time.Now()}
}

// confirm records departures and reports whether that was confirmed within 700 ms.
func confirm(t *testing.T, r *Registry, departures ...fleet.Departure) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()

	return r.RecordDepartures(ctx, departures)
}

// names returns the names of the departures that a new run of the daemon knows of.
func names(t *testing.T, store Store) string {
	t.Helper()
	r := startRegistry(t, store)
	<-r.Restored()
	var all []string
	for _, departure := range r.Departures() {
		all = append(all, departure.Name)
	}

	return strings.Join(all, " ")
}

// Guards against a confirmed departure that the next run of the daemon does not know of: when
// answers of the store are lost, when it is away for a while, and when runs follow each other.
func TestConfirmedDepartureForgotten(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]standin.Faults{
		"answers lost": {LoseAnswers: 0.5}, "store slow": {Latency: 300 * time.Millisecond}, "store away": {Outage: true}, "none": {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := standin.New(rand.New(rand.NewPCG(1, 2)))
				confirmed := ""
				for run := range 4 {
					r := startRegistry(t, store)
					<-r.Restored()
					store.SetFaults(faults)
					upstream := fmt.Sprintf("i-%d", run)
					isConfirmed := confirm(t, r, gone(upstream))
					store.SetFaults(standin.Faults{})
					if name == "store away" {
						if isConfirmed {
							t.Errorf("run %d: got a departure confirmed without the store, want none", run)
						}
						time.Sleep(2 * maxRetryDelay)
						isConfirmed = confirm(t, r, gone(upstream))
					}
					if isConfirmed {
						confirmed = strings.TrimSpace(confirmed + " " + upstream)
					}
				}
				got := names(t, store)
				for upstream := range strings.FieldsSeq(confirmed) {
					if !strings.Contains(got, upstream) {
						t.Errorf("got %q after a restart, want %s among them", got, upstream)
					}
				}
				if faults == (standin.Faults{}) && got != "i-0 i-1 i-2 i-3" {
					t.Errorf("got %q, want all four", got)
				}
			})
		})
	}
}

// Guards against a record that grows without bound, and against more calls to the store than
// one read and one write for departures that come together.
func TestRecordOfManyDepartures(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(rand.New(rand.NewPCG(1, 2)))
		r := startRegistry(t, store)
		<-r.Restored()
		before := store.CallCounts()
		var together []fleet.Departure
		for i := range 43 {
			together = append(together, gone(fmt.Sprintf("t-%d", i)))
		}
		confirm(t, r, together...)
		if calls := store.CallCounts(); calls.Get-before.Get != 1 || calls.Put-before.Put != 1 {
			t.Errorf("got %d reads and %d writes for 43 departures, want 1 and 1", calls.Get-before.Get, calls.Put-before.Put)
		}
		longName := strings.Repeat("n", fleet.MaxNameBytes-8)
		for batch := range 30 {
			for i := range together {
				together[i] = gone(fmt.Sprintf("%s%08d", longName, 43*batch+i))
			}
			confirm(t, r, together...)
			time.Sleep(10 * time.Millisecond)
		}
		object, _ := store.Get(t.Context(), ObjectKind, "d1")
		if got := len(r.Departures()); got > maxDepartures || len(object.Value) > fleet.MaxObjectBytes/2 {
			t.Errorf("got %d departures in %d bytes, want at most %d", got, len(object.Value), maxDepartures)
		}
		time.Sleep(fleet.DepartureRetention)
		confirm(t, r, gone("last"))
		if got := names(t, store); got != "last" {
			t.Errorf("got departures %.100q after their retention, want the last alone", got)
		}
	})
}

// Guards against one unreadable departure in the daemon's object that hides the others or the
// daemon itself, and against a departure that a clock ahead of the present one keeps for long.
func TestOddDepartureInRecord(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(rand.New(rand.NewPCG(1, 2)))
		now := time.Now().Format(time.RFC3339Nano)
		value := `{"PeerAddress":"10.0.0.1:7000","Departures":[{"Name":"a\u0000","At":"` + now + `"},7,{"Name":"i-1","Incarnation":1e400},` +
			`{"Name":"i-2","Incarnation":3,"Gone":true,"At":"2999-01-01T00:00:00Z"}]}`
		store.Put(t.Context(), fleet.Object{Kind: ObjectKind, Name: "d1", Value: []byte(value)}, fleet.IfAbsent)
		if got := names(t, store); got != "i-2" {
			t.Errorf("got departures %q, want i-2", got)
		}
		time.Sleep(fleet.DepartureRetention + time.Second)
		r := startRegistry(t, store)
		<-r.Restored()
		confirm(t, r, gone("i-3"))
		if got := r.Departures(); len(got) != 2 {
			t.Errorf("got %d departures, want the future one as of now and the new one", len(got))
		}
	})
}

// FuzzRegistration guards against a panic on an arbitrary object of a daemon, and against
// departures and addresses out of range.
func FuzzRegistration(f *testing.F) {
	f.Add(`{"PeerAddress":"10.0.0.1:7000","Departures":[{"Name":"i-1","Incarnation":7,"Gone":true,"Sequence":1,"At":"2026-12-05T00:00:00Z"}]}`)
	f.Add(`{"PeerAddress":"10.0.0.1:99999"}`)
	f.Add(`{"PeerAddress":"10.0.0.1:-1","Departures":{}}`)
	f.Add(`{"Departures":[{"Name":"\u0000"},{"Incarnation":-1},{"At":1e999},` + strings.Repeat("[", 10_001))
	f.Add(`{"Departures":[{"Name":"` + strings.Repeat("i", 20<<10) + `"}]}`)
	f.Add("\xff\xfe")
	f.Fuzz(func(t *testing.T, value string) {
		registered, _ := decodeRegistration([]byte(value))
		for _, departure := range decodeDepartures(registered.Departures, time.Now()) {
			if !fleet.ValidName(departure.Name) || departure.At.After(time.Now()) {
				t.Errorf("got departure %+v, want a name and a time that can be used", departure)
			}
		}
	})
}
