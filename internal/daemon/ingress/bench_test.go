package ingress

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
)

// instant answers every attempt at once and keeps nothing of it.
type instant struct {
	world
	header http.Header
}

func (i *instant) Run(_ context.Context, _ string, attempt fleet.Attempt) fleet.Reply {
	return fleet.Reply{Outcome: fleet.Ran, ID: attempt.ID, Load: fleet.Load{Slots: 3, State: fleet.Ready}, Answer: fleet.Answer{
		Status: http.StatusOK, Header: i.header, Body: io.NopCloser(strings.NewReader("an answer of a few bytes")),
	}}
}

func newInstant(tb testing.TB) *Ingress {
	tb.Helper()

	w := &instant{
		world:  world{take: fleet.TokenResult{Outcome: fleet.TokenGranted}, contact: keys.Contact{Store: time.Now()}},
		header: http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"24"}},
	}
	for _, name := range []string{"u0", "u1", "u2", "u3", "u4", "u5", "u6", "u7"} {
		w.list = append(w.list, balance.Candidate{Upstream: name, Daemon: name, Slots: 3, State: fleet.Ready})
	}

	table := keys.NewTable()
	table.Apply(keys.HashKey(testKey), "Club", keys.Valid)

	in, cleanUp := New(Dependencies{
		Name: "a", Incarnation: 1, Egress: w, Limiter: w, Candidates: w, ContactSource: w,
		Keys: table, Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler), Metrics: new(expvar.Map).Init(),
	})
	tb.Cleanup(cleanUp)
	in.Configure(&fleet.Configuration{
		Services:       map[string]fleet.Service{"S": {Name: "S", Deadline: time.Minute}},
		Routes:         []*fleet.Route{{Name: "read", Service: "S", PathPrefix: "/read", Methods: []string{"GET"}, Idempotent: true}},
		ClientAccounts: fleet.IndexClientAccounts(fleet.ClientAccount{Name: "Club", Rate: 10, Burst: 10}),
	})

	return in
}

// exchange runs one request of an ordinary caller and reads its answer.
func exchange(tb testing.TB, in *Ingress, buffer []byte) {
	tb.Helper()

	reply := in.Forward(context.Background(), fleet.CallerRequest{
		Key: testKey, ReceivedAt: time.Now(), Request: fleet.Request{
			Method: http.MethodGet, Host: "estanques.example", Target: "/read/pond-1",
			Header: http.Header{
				"Authorization": {"Bearer " + testKey}, "Accept": {"*/*"}, "User-Agent": {"Mozilla/5.0"},
				"Accept-Encoding": {"gzip"}, "Request-Id": {"4f8a"},
			},
		},
	})
	if reply.Outcome != fleet.Ran {
		tb.Fatalf("got %v %s, want Ran", reply.Outcome, reply.Reason)
	}

	for {
		if _, err := reply.Answer.Body.Read(buffer); err != nil {
			break
		}
	}

	_ = reply.Answer.Body.Close()
}

// BenchmarkForward measures the ingress alone, without callers and egress.
func BenchmarkForward(b *testing.B) {
	in := newInstant(b)

	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		buffer := make([]byte, 1024)
		for pb.Next() {
			exchange(b, in, buffer)
		}
	})
}

// maxAllocations is the target for a request at the ingress alone, the test's
// own 7 for the request and its answer included. It began with 52.
const maxAllocations = 40

// TestAllocations guards against work that is added to every request unnoticed.
func TestAllocations(t *testing.T) {
	in := newInstant(t)
	buffer := make([]byte, 1024)

	if got := testing.AllocsPerRun(200, func() { exchange(t, in, buffer) }); got > maxAllocations {
		t.Errorf("allocations per request: got %v, want at most %v", got, maxAllocations)
	}
}
