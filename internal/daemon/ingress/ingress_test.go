package ingress

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
)

const testKey = "ks_test-key"

// world is the fake surroundings of an ingress.
type world struct {
	mu sync.Mutex
	// replies are given in order; the last one repeats.
	replies []func(ctx context.Context, attempt fleet.Attempt) fleet.Reply
	ran     []fleet.Attempt
	cancel  fleet.CancelResult
	take    fleet.TokenResult
	demand  fleet.TokenDemand
	contact keys.Contact
	list    []balance.Candidate
}

func (w *world) Run(ctx context.Context, _ string, attempt fleet.Attempt) fleet.Reply {
	w.mu.Lock()
	reply := w.replies[min(len(w.ran), len(w.replies)-1)]
	w.ran = append(w.ran, attempt)
	w.mu.Unlock()

	return reply(ctx, attempt)
}

func (w *world) Cancel(context.Context, string, fleet.AttemptID, uint64) fleet.CancelResult {
	return w.cancel
}

func (w *world) Take(_ context.Context, demand fleet.TokenDemand) fleet.TokenResult {
	w.demand = demand

	return w.take
}

func (w *world) Contact() keys.Contact { return w.contact }

func (w *world) Candidates(string) []balance.Candidate { return w.list }

func answer(status int, body string) func(context.Context, fleet.Attempt) fleet.Reply {
	return func(context.Context, fleet.Attempt) fleet.Reply {
		return fleet.Reply{Outcome: fleet.Ran, Answer: fleet.Answer{
			Status: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString(body)),
		}}
	}
}

func truncated(context.Context, fleet.Attempt) fleet.Reply {
	reply := answer(http.StatusOK, "")(context.Background(), fleet.Attempt{})
	reply.Answer.Body = io.NopCloser(io.MultiReader(bytes.NewBufferString("half"), brokenReader{}))

	return reply
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func give(reply fleet.Reply) func(context.Context, fleet.Attempt) fleet.Reply {
	return func(context.Context, fleet.Attempt) fleet.Reply { return reply }
}

// silent waits for the end of the attempt, as a link that lost the answer does.
func silent(ctx context.Context, _ fleet.Attempt) fleet.Reply {
	<-ctx.Done()

	return fleet.Fail(fleet.ReasonUnreachable, "no answer")
}

func newIngress(t *testing.T, w *world) *Ingress {
	t.Helper()

	table := keys.NewTable()
	table.Apply(keys.HashKey(testKey), "Club", keys.Valid)

	if w.list == nil {
		for _, name := range []string{"u0", "u1", "u2", "u3"} {
			w.list = append(w.list, balance.Candidate{Upstream: name, Daemon: name, Slots: 3, State: fleet.Ready})
		}
	}

	in, cleanUp := New(Dependencies{
		Name: "a", Incarnation: 1, Egress: w, Limiter: w, Candidates: w, ContactSource: w,
		Keys: table, Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler), Metrics: new(expvar.Map).Init(),
	})
	t.Cleanup(cleanUp)
	in.Configure(&fleet.Configuration{
		Version:  1,
		Services: map[string]fleet.Service{"S": {Name: "S", Deadline: time.Second}},
		Routes: []*fleet.Route{
			{Name: "read", Service: "S", PathPrefix: "/read", Methods: []string{"GET"}, Idempotent: true},
			{Name: "book", Service: "S", PathPrefix: "/book", Methods: []string{"POST"}},
			{Name: "open", Service: "S", PathPrefix: "/open", Methods: []string{"GET"}, Idempotent: true, AllowAnonymous: true},
		},
		ClientAccounts: fleet.IndexClientAccounts(fleet.ClientAccount{Name: "Club", Rate: 10, Burst: 10}),
	})

	return in
}

func request(method, target, key string) fleet.CallerRequest {
	return fleet.CallerRequest{
		Request: fleet.Request{Method: method, Target: target, Header: http.Header{}}, Key: key, ReceivedAt: time.Now(),
	}
}

// TestOutcomes guards against a request being repeated when it may have run,
// being refused as not run when it may have run, or not being retried when
// that is safe.
func TestOutcomes(t *testing.T) {
	t.Parallel()

	type script = []func(context.Context, fleet.Attempt) fleet.Reply

	ok := answer(http.StatusOK, "whole")
	lost := give(fleet.Fail(fleet.ReasonUnreachable, "session lost"))
	drained := give(fleet.Refuse(fleet.ReasonDraining, ""))
	tests := []struct {
		name         string
		method, path string
		replies      script
		cancel       fleet.CancelResult
		want         fleet.Outcome
		wantReason   fleet.Reason
		wantAttempts int
	}{
		{"read answered", "GET", "/read", script{ok}, 0, fleet.Ran, "", 1},
		{"read lost, retried", "GET", "/read", script{lost, ok}, 0, fleet.Ran, "", 2},
		{"read cut short, retried", "GET", "/read", script{truncated, ok}, 0, fleet.Ran, "", 2},
		{"read failed by the upstream, retried", "GET", "/read", script{answer(500, ""), ok}, 0, fleet.Ran, "", 2},
		{"booking answered", "POST", "/book", script{ok}, 0, fleet.Ran, "", 1},
		{"booking lost, not confirmed", "POST", "/book", script{lost, ok}, fleet.CancelUnknown, fleet.Unknown, fleet.ReasonUnreachable, 1},
		{"booking lost, had started", "POST", "/book", script{lost, ok}, fleet.CancelStarted, fleet.Unknown, fleet.ReasonUnreachable, 1},
		{"booking lost, confirmed not run", "POST", "/book", script{lost, ok}, fleet.CancelNotRun, fleet.Ran, "", 2},
		{"booking refused while draining", "POST", "/book", script{drained, drained, ok}, 0, fleet.Ran, "", 3},
		{"booking cut short", "POST", "/book", script{truncated, ok}, fleet.CancelStarted, fleet.Unknown, fleet.ReasonTruncated, 1},
		{"booking failed by the upstream", "POST", "/book", script{answer(500, "no"), ok}, 0, fleet.Ran, "", 1},
		{"booking unanswered until the deadline", "POST", "/book", script{silent}, fleet.CancelUnknown, fleet.Unknown, fleet.ReasonUnreachable, 1},
		{"booking cancelled at the deadline", "POST", "/book", script{silent}, fleet.CancelNotRun, fleet.NotRun, fleet.ReasonDeadline, 1},
		{"all refuse", "POST", "/book", script{drained}, 0, fleet.NotRun, fleet.ReasonDraining, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := &world{replies: tt.replies, cancel: tt.cancel}
				in := newIngress(t, w)

				reply := in.Forward(t.Context(), request(tt.method, tt.path, testKey))
				if reply.Outcome != tt.want || reply.Reason != tt.wantReason {
					t.Errorf("got %v %q, want %v %q", reply.Outcome, reply.Reason, tt.want, tt.wantReason)
				}

				if len(w.ran) != tt.wantAttempts {
					t.Errorf("attempts: got %d, want %d", len(w.ran), tt.wantAttempts)
				}

				closeBody(reply)
			})
		})
	}
}

func closeBody(reply fleet.Reply) {
	if reply.Answer.Body != nil {
		_ = reply.Answer.Body.Close()
	}
}

// TestRefusedBeforeRunning guards against requests that run for nobody, for a
// withdrawn key or without a token, and against a key reaching an egress.
func TestRefusedBeforeRunning(t *testing.T) {
	t.Parallel()

	old := keys.Contact{KnowsPeers: true}
	informed := keys.Contact{Store: time.Now()}
	tests := []struct {
		name         string
		path, key    string
		take         fleet.TokenResult
		contact      keys.Contact
		want         fleet.Reason
		wantAttempts int
	}{
		{"no key", "/read", "", fleet.TokenResult{}, keys.Contact{}, fleet.ReasonNoKey, 0},
		{"wrong key", "/read", "x", fleet.TokenResult{}, informed, fleet.ReasonBadKey, 0},
		{"unknown key before any key was learned", "/read", "x", fleet.TokenResult{}, keys.Contact{}, fleet.ReasonNotReady, 0},
		{"isolated", "/read", testKey, fleet.TokenResult{}, old, fleet.ReasonIsolated, 0},
		{"open route while isolated", "/open", "", fleet.TokenResult{}, old, "", 1},
		{"over limit", "/read", testKey, fleet.TokenResult{Outcome: fleet.OverLimit}, keys.Contact{}, fleet.ReasonLimit, 0},
		{"granter away", "/read", testKey, fleet.TokenResult{Outcome: fleet.GranterUnreachable}, keys.Contact{}, fleet.ReasonLimitAway, 0},
		{"key in path", "/read/" + testKey, testKey, fleet.TokenResult{}, keys.Contact{}, fleet.ReasonBadRequest, 0},
		{"no route", "/none", testKey, fleet.TokenResult{}, keys.Contact{}, fleet.ReasonNoRoute, 0},
		{"key in query is dropped", "/read?k=" + testKey, testKey, fleet.TokenResult{}, keys.Contact{}, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			w := &world{replies: []func(context.Context, fleet.Attempt) fleet.Reply{answer(200, "x")}, take: tt.take, contact: tt.contact}
			in := newIngress(t, w)

			reply := in.Forward(t.Context(), request("GET", tt.path, tt.key))
			defer closeBody(reply)

			if reply.Reason != tt.want {
				t.Errorf("reason: got %q, want %q", reply.Reason, tt.want)
			}

			if tt.want != "" && reply.Outcome != fleet.NotRun {
				t.Errorf("outcome: got %v, want %v", reply.Outcome, fleet.NotRun)
			}

			if len(w.ran) != tt.wantAttempts {
				t.Fatalf("attempts: got %d, want %d", len(w.ran), tt.wantAttempts)
			}
		})
	}
}

// TestWithdrawalCutsStream guards against a withdrawn key being served on an
// open connection for more than 3 seconds, with the withdrawal heard or the
// daemon cut off from hearing it.
func TestWithdrawalCutsStream(t *testing.T) {
	t.Parallel()

	for _, name := range []string{"withdrawn", "isolated"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				reader, writer := io.Pipe()
				stream := answer(http.StatusOK, "")(t.Context(), fleet.Attempt{})
				stream.Answer.Header.Set("Content-Type", "text/event-stream")
				stream.Answer.Body = reader

				go func() {
					for {
						if _, err := writer.Write([]byte("data")); err != nil {
							return
						}

						time.Sleep(100 * time.Millisecond)
					}
				}()

				w := &world{
					replies: []func(context.Context, fleet.Attempt) fleet.Reply{give(stream)},
					contact: keys.Contact{Store: time.Now(), KnowsPeers: name == "isolated"},
				}
				in := newIngress(t, w)
				reply := in.Forward(t.Context(), request("GET", "/read", testKey))

				began := time.Now()

				if name == "withdrawn" {
					in.Keys.Apply(keys.HashKey(testKey), "Club", keys.Withdrawn)
					in.RecheckStreams()
				}

				_, err := io.Copy(io.Discard, reply.Answer.Body)
				if !errors.Is(err, ErrKeyWithdrawn) {
					t.Errorf("error: got %v, want %v", err, ErrKeyWithdrawn)
				}

				if got, want := time.Since(began), 3*time.Second; got > want {
					t.Errorf("cut after: got %v, want at most %v", got, want)
				}

				closeBody(reply)
				time.Sleep(time.Second) // lets the writer see the closed pipe
			})
		})
	}
}

// TestStopWaitsForAnswers guards against a planned stop cutting answers.
func TestStopWaitsForAnswers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := &world{replies: []func(context.Context, fleet.Attempt) fleet.Reply{answer(200, "x")}}
		in := newIngress(t, w)
		running := in.Forward(t.Context(), request("GET", "/read", testKey))

		stopped := make(chan time.Time, 1)

		go func() {
			in.Stop(t.Context())
			stopped <- time.Now()
		}()

		synctest.Wait()

		refused := in.Forward(t.Context(), request("GET", "/read", testKey))
		if refused.Outcome != fleet.NotRun || refused.Reason != fleet.ReasonStopping {
			t.Errorf("got %v %q, want %v %q", refused.Outcome, refused.Reason, fleet.NotRun, fleet.ReasonStopping)
		}

		if len(stopped) != 0 {
			t.Fatal("Stop returned while an answer was running")
		}

		closeBody(running)
		<-stopped
	})
}

// TestHedge guards against hedges of non-idempotent requests, and against one
// slow upstream slowing down an idempotent request.
func TestHedge(t *testing.T) {
	t.Parallel()

	tests := []struct {
		method, path string
		want         int
	}{{"GET", "/read", 2}, {"POST", "/book", 1}}
	for _, tt := range tests {
		t.Run(tt.method, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				fast := func(ctx context.Context, a fleet.Attempt) fleet.Reply {
					time.Sleep(10 * time.Millisecond)

					return answer(200, "x")(ctx, a)
				}
				w := &world{replies: []func(context.Context, fleet.Attempt) fleet.Reply{fast}}
				in := newIngress(t, w)

				for range 50 {
					closeBody(in.Forward(t.Context(), request("GET", "/read", testKey)))
				}

				w.ran, w.replies = nil, []func(context.Context, fleet.Attempt) fleet.Reply{silent, fast}
				reply := in.Forward(t.Context(), request(tt.method, tt.path, testKey))
				closeBody(reply)

				if len(w.ran) != tt.want {
					t.Errorf("attempts: got %d, want %d", len(w.ran), tt.want)
				}

				time.Sleep(time.Second) // the slow attempt ends at the deadline
			})
		})
	}
}

// TestHedgeLoserRunsOn guards against hedges keeping a slow upstream's answers
// out of the evidence by cancelling its attempts.
func TestHedgeLoserRunsOn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		cancelled := false
		slow := func(ctx context.Context, a fleet.Attempt) fleet.Reply {
			select {
			case <-time.After(500 * time.Millisecond):
			case <-ctx.Done():
				cancelled = true
			}

			return answer(200, "x")(ctx, a)
		}
		fast := func(ctx context.Context, a fleet.Attempt) fleet.Reply {
			time.Sleep(10 * time.Millisecond)

			return answer(200, "x")(ctx, a)
		}
		w := &world{replies: []func(context.Context, fleet.Attempt) fleet.Reply{fast}}
		in := newIngress(t, w)

		for range 50 {
			closeBody(in.Forward(t.Context(), request("GET", "/read", testKey)))
		}

		w.ran, w.replies = nil, []func(context.Context, fleet.Attempt) fleet.Reply{slow, fast}
		began := time.Now()
		closeBody(in.Forward(t.Context(), request("GET", "/read", testKey)))

		if got, want := time.Since(began), 200*time.Millisecond; got > want {
			t.Errorf("answered after: got %v, want at most %v", got, want)
		}

		time.Sleep(time.Second)

		if cancelled {
			t.Error("the slow attempt was cancelled")
		}
	})
}

// closing counts how often an answer's body was closed.
type closing struct {
	io.Reader
	closed *atomic.Int64
}

func (c closing) Close() error {
	c.closed.Add(1)

	return nil
}

// TestHedgeClosesTheLoser guards against the answer of the slower attempt staying
// open, with its slot, and against a hedge at the upstream that is slow already
// when a service has one upstream only.
func TestHedgeClosesTheLoser(t *testing.T) {
	t.Parallel()

	for upstreams, want := range map[int]int{1: 1, 2: 2} {
		t.Run(strconv.Itoa(upstreams), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var closed atomic.Int64

				after := func(delay time.Duration) func(context.Context, fleet.Attempt) fleet.Reply {
					return func(ctx context.Context, a fleet.Attempt) fleet.Reply {
						time.Sleep(delay)

						reply := answer(200, "")(ctx, a)
						reply.Answer.Body = closing{Reader: bytes.NewBufferString("x"), closed: &closed}

						return reply
					}
				}
				fast, slow := after(10*time.Millisecond), after(500*time.Millisecond)
				w := &world{replies: []func(context.Context, fleet.Attempt) fleet.Reply{fast}}

				for i := range upstreams {
					w.list = append(w.list, balance.Candidate{Upstream: "u" + strconv.Itoa(i), Daemon: "b", Slots: 3, State: fleet.Ready})
				}

				in := newIngress(t, w)

				for range 50 {
					closeBody(in.Forward(t.Context(), request("GET", "/read", testKey)))
				}

				w.ran, w.replies = nil, []func(context.Context, fleet.Attempt) fleet.Reply{slow, fast}

				closed.Store(0)
				closeBody(in.Forward(t.Context(), request("GET", "/read", testKey)))
				time.Sleep(time.Second)

				if got := int(closed.Load()); len(w.ran) != want || got != want {
					t.Errorf("got %d attempts and %d closed answers, want %d of both", len(w.ran), got, want)
				}
			})
		})
	}
}
