package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	adapter "github.com/kumquatshelf/kumquatshelf/internal/adapter/upstream"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/egress"
	standin "github.com/kumquatshelf/kumquatshelf/internal/standin/upstream"
)

var session = fleet.Session{Daemon: "i", Incarnation: 1, Number: 1}

// observations receives the egress's observations of its calls.
type observations chan fleet.Observation

func (o observations) Observe(observation fleet.Observation) { o <- observation }

// newDaemon starts an egress with its announcement endpoint and one stand-in with
// 3 slots, and waits until the stand-in is announced.
func newDaemon(t *testing.T) (*egress.Egress, *standin.Upstream, observations) {
	t.Helper()
	client, closeClient := adapter.NewClient(adapter.OwnProtocol{})
	t.Cleanup(closeClient)
	seen := make(observations, 1000)
	e, cleanUp := egress.New(egress.DefaultSettings(1), client, seen, slog.New(slog.DiscardHandler))
	t.Cleanup(cleanUp)
	e.OpenSession(session)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	routes := echo.New()
	adapter.Register(routes, e)
	server := &http.Server{Handler: routes, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	u, stop, err := standin.New(standin.Settings{
		Name: "c1", Service: "Calendar", Slots: 3, ServiceTime: time.Millisecond, Seed: 1,
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Daemon:  netip.MustParseAddrPort(listener.Addr().String()),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		if got := e.Upstreams(); len(got) != 0 {
			t.Errorf("got %+v after the stand-in stopped, want none", got)
		}
	})
	awaitState(t, e, fleet.Ready)

	return e, u, seen
}

// awaitState waits until the upstream is announced with the state.
func awaitState(t *testing.T, e *egress.Egress, want fleet.UpstreamState) {
	t.Helper()
	for {
		if got := e.Upstreams(); len(got) == 1 && got[0].State == want {
			return
		}
		<-e.Changed()
	}
}

func run(t *testing.T, e *egress.Egress, sequence int, budget time.Duration) (fleet.Reply, error) {
	t.Helper()
	id := fmt.Sprint(sequence)
	reply := e.Run(t.Context(), session, fleet.Attempt{
		ID:      fleet.AttemptID{Ingress: "i", Incarnation: 1, Sequence: uint64(sequence)},
		Service: "Calendar", Upstream: "c1", ClientAccount: fmt.Sprint(sequence % 4), Weight: 1, DeadlineRemaining: budget,
		// An upstream that misses deadlines becomes suspect. Without AllowSuspect, the
		// egress would not call it again.
		AllowSuspect: true,
		Request: fleet.Request{
			Method: "POST", Host: "estanques.example", Target: "/calendar?Length=1000&q=query-" + id,
			Header: http.Header{standin.HeaderRequestID: {id}, "Cookie": {"c=cookie-" + id}}, Body: []byte("x"),
		},
	})
	if reply.Outcome != fleet.Ran {
		return reply, nil
	}
	defer func() { _ = reply.Answer.Body.Close() }()
	body, err := io.ReadAll(reply.Answer.Body)
	if err == nil && reply.Answer.Status == http.StatusOK && (standin.Checksum(body) != reply.Answer.Header.Get(standin.HeaderChecksum) ||
		string(body) != string(standin.Body(id, 1000)) || reply.Answer.Header.Get(standin.HeaderRequestID) != id) {
		t.Errorf("got an answer of %d bytes for %s with header %v, want its own", len(body), id, reply.Answer.Header)
	}

	return reply, err
}

// Guards against a request that runs twice or not at all, an answer that is delivered
// to another request (R6, R8), and more concurrent requests than slots.
func TestRequestsThroughEgress(t *testing.T) {
	t.Parallel()
	e, u, _ := newDaemon(t)
	var group sync.WaitGroup
	for sequence := range 200 {
		group.Go(func() {
			if reply, err := run(t, e, sequence, time.Minute); reply.Outcome != fleet.Ran || err != nil {
				t.Errorf("got %+v, %v for %d, want Ran", reply, err, sequence)
			}
		})
	}
	group.Wait()
	if string(standin.Body("1", 1000)) == string(standin.Body("2", 1000)) {
		t.Error("two requests have the same answer")
	}
	got := u.Record()
	for id, runs := range got.Runs {
		if runs != 1 {
			t.Errorf("got %d runs of %s, want 1", runs, id)
		}
	}
	if len(got.Runs) != 200 || got.MostConcurrent > 3 || got.Shed != 0 || got.Completed != 200 {
		t.Errorf("got %d IDs, %d at once, %d shed, %d completed, want 200, at most 3, 0, 200",
			len(got.Runs), got.MostConcurrent, got.Shed, got.Completed)
	}
	for _, want := range []string{"query-7", "c=cookie-7", "cookie-7", "/calendar"} {
		if !slices.Contains(got.Values, want) {
			t.Errorf("the recorded values do not contain %q", want)
		}
	}
}

// Guards against a fault mode that has no effect, that makes the health probe fail, or
// that the egress reports as another kind of failure.
func TestModes(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		mode          string
		budget        time.Duration
		wantOutcome   fleet.Outcome
		wantReason    fleet.Reason
		wantStatus    int
		wantErr       error
		wantRuns      int
		wantTruncated bool
	}{
		"healthy":      {`{}`, time.Minute, fleet.Ran, "", 200, nil, 1, false},
		"cut":          {`{"CutFraction":1}`, time.Minute, fleet.Ran, "", 200, io.ErrUnexpectedEOF, 1, true},
		"broken":       {`{"BrokenFraction":1}`, time.Minute, fleet.Ran, "", 500, nil, 1, false},
		"shed":         {`{"ShedFraction":1}`, time.Minute, fleet.NotRun, fleet.ReasonShed, 0, nil, 0, false},
		"frozen":       {`{"Freeze":true}`, time.Second, fleet.Unknown, fleet.ReasonDeadline, 0, nil, 1, false},
		"flapping on":  {`{"BrokenFraction":1,"FlapPeriodMilliseconds":3600000}`, time.Minute, fleet.Ran, "", 500, nil, 1, false},
		"flapping off": {`{"BrokenFraction":1,"FlapPeriodMilliseconds":1}`, time.Minute, fleet.Ran, "", 0, nil, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, u, seen := newDaemon(t)
			if got := call(t, u, "PUT", "/Mode", tt.mode); got != http.StatusNoContent {
				t.Fatalf("got status %d for the mode, want 204", got)
			}
			reply, err := run(t, e, 1, tt.budget)
			if reply.Outcome != tt.wantOutcome || reply.Reason != tt.wantReason || !errors.Is(err, tt.wantErr) {
				t.Errorf("got %+v, error %v, want %v, %q, %v", reply, err, tt.wantOutcome, tt.wantReason, tt.wantErr)
			}
			if tt.wantStatus != 0 && reply.Answer.Status != tt.wantStatus {
				t.Errorf("got status %d, want %d", reply.Answer.Status, tt.wantStatus)
			}
			if got := u.Record().Runs["1"]; got != tt.wantRuns {
				t.Errorf("got %d runs, want %d", got, tt.wantRuns)
			}
			if got := <-seen; got.Truncated != tt.wantTruncated {
				t.Errorf("got %+v, want truncated %v", got, tt.wantTruncated)
			}
			if got := call(t, u, "GET", "/Health", ""); got != http.StatusOK {
				t.Errorf("got status %d from the probe, want 200", got)
			}
		})
	}
}

// Guards against a mistyped mode that is accepted and silently changes nothing.
func TestBadModeIsRejected(t *testing.T) {
	t.Parallel()
	_, u, _ := newDaemon(t)
	for _, body := range []string{``, `{"Slow":2}`, `{"CutFraction":1.5}`, `{"SlowFactor":-1}`} {
		if got := call(t, u, "PUT", "/Mode", body); got != http.StatusBadRequest || u.Mode() != (standin.Mode{}) {
			t.Errorf("got status %d, mode %+v for %q, want 400 and no change", got, u.Mode(), body)
		}
	}
}

// Guards against new requests to a draining upstream (R9), and against a cancelled or
// expired request that keeps its slot in use.
func TestDrainCancelAndDeadline(t *testing.T) {
	t.Parallel()
	e, u, _ := newDaemon(t)
	u.SetMode(standin.Mode{SlowFactor: 1e9})
	for sequence := range 3 {
		// Either the egress or the stand-in may detect the deadline first.
		reply, _ := run(t, e, sequence, 200*time.Millisecond)
		if reply.Outcome != fleet.Unknown && reply.Answer.Status != http.StatusGatewayTimeout {
			t.Errorf("got %+v, want Unknown or status 504", reply)
		}
	}
	// The stand-in detects a closed connection slightly after the egress closes it.
	for u.Record().Cancelled+u.Record().Expired < 3 {
		time.Sleep(time.Millisecond)
	}
	u.SetMode(standin.Mode{})
	if reply, _ := run(t, e, 3, time.Minute); reply.Outcome != fleet.Ran {
		t.Errorf("got %+v after three deadlines, want Ran", reply)
	}
	u.SetMode(standin.Mode{Drain: true})
	awaitState(t, e, fleet.Draining)
	if reply, _ := run(t, e, 4, time.Minute); reply.Reason != fleet.ReasonDraining {
		t.Errorf("got %+v, want Draining", reply)
	}
	if got := u.Record(); got.ArrivedDraining != 0 || got.Cancelled+got.Expired != 3 {
		t.Errorf("got %+v, want 3 cancelled or expired and none while draining", got)
	}
}

func call(t *testing.T, u *standin.Upstream, method, path, body string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+u.Address().String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()

	return response.StatusCode
}
