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

// fakeDependencies implements the interfaces in Dependencies and records how the ingress
// used them.
type fakeDependencies struct {
	mu sync.Mutex
	// replies are the functions that reply to the attempts, in order. The last one also
	// replies to all further attempts.
	replies      []func(ctx context.Context, attempt fleet.Attempt) fleet.Reply
	attempts     []fleet.Attempt
	cancelResult fleet.CancelResult
	tokenResult  fleet.TokenResult
	demand       fleet.TokenDemand
	contact      keys.Contact
	// outdated says that the configuration may be out of date.
	outdated   bool
	candidates []balance.Candidate
}

func (deps *fakeDependencies) Run(ctx context.Context, _ string, attempt fleet.Attempt) fleet.Reply {
	deps.mu.Lock()
	reply := deps.replies[min(len(deps.attempts), len(deps.replies)-1)]
	deps.attempts = append(deps.attempts, attempt)
	deps.mu.Unlock()

	return reply(ctx, attempt)
}

func (deps *fakeDependencies) Cancel(context.Context, string, fleet.AttemptID, uint64) fleet.CancelResult {
	return deps.cancelResult
}

func (deps *fakeDependencies) Take(_ context.Context, demand fleet.TokenDemand) fleet.TokenResult {
	deps.demand = demand

	return deps.tokenResult
}

func (deps *fakeDependencies) Contact() keys.Contact { return deps.contact }

func (deps *fakeDependencies) ConfigurationIsCurrent() bool { return !deps.outdated }

func (deps *fakeDependencies) Candidates(string) []balance.Candidate { return deps.candidates }

// answer replies with the given status and body.
func answer(status int, body string) func(context.Context, fleet.Attempt) fleet.Reply {
	return func(context.Context, fleet.Attempt) fleet.Reply {
		return fleet.Reply{Outcome: fleet.Ran, Answer: fleet.Answer{
			Status: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString(body)),
		}}
	}
}

// truncatedAnswer replies with a body that breaks off.
func truncatedAnswer(context.Context, fleet.Attempt) fleet.Reply {
	reply := answer(http.StatusOK, "")(context.Background(), fleet.Attempt{})
	reply.Answer.Body = io.NopCloser(io.MultiReader(bytes.NewBufferString("half"), brokenReader{}))

	return reply
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// replyWith replies to every attempt with the same reply.
func replyWith(reply fleet.Reply) func(context.Context, fleet.Attempt) fleet.Reply {
	return func(context.Context, fleet.Attempt) fleet.Reply { return reply }
}

// neverAnswer waits for the end of the attempt, as if the answer had been lost on the
// connection.
func neverAnswer(ctx context.Context, _ fleet.Attempt) fleet.Reply {
	<-ctx.Done()

	return fleet.Fail(fleet.ReasonUnreachable, "no answer")
}

func newIngress(t *testing.T, deps *fakeDependencies) *Ingress {
	t.Helper()

	table := keys.NewTable()
	table.Apply(keys.HashKey(testKey), "Club", keys.Valid)

	if deps.candidates == nil {
		for _, name := range []string{"u0", "u1", "u2", "u3"} {
			deps.candidates = append(deps.candidates, balance.Candidate{Upstream: name, Daemon: name, Slots: 3, State: fleet.Ready})
		}
	}

	in, cleanUp := New(Dependencies{
		Name: "a", Incarnation: 1, Egress: deps, Limiter: deps, Candidates: deps, ContactSource: deps,
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

// TestOutcomes guards against a request that is retried, or refused as not run, although
// it may have run, and against one that is not retried although that is safe.
func TestOutcomes(t *testing.T) {
	t.Parallel()

	type script = []func(context.Context, fleet.Attempt) fleet.Reply

	ok := answer(http.StatusOK, "whole")
	lost := replyWith(fleet.Fail(fleet.ReasonUnreachable, "session lost"))
	drained := replyWith(fleet.Refuse(fleet.ReasonDraining, ""))
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
		{"read cut short, retried", "GET", "/read", script{truncatedAnswer, ok}, 0, fleet.Ran, "", 2},
		{"read failed by the upstream, retried", "GET", "/read", script{answer(500, ""), ok}, 0, fleet.Ran, "", 2},
		{"booking answered", "POST", "/book", script{ok}, 0, fleet.Ran, "", 1},
		{"booking lost, not confirmed", "POST", "/book", script{lost, ok}, fleet.CancelUnknown, fleet.Unknown, fleet.ReasonUnreachable, 1},
		{"booking lost, had started", "POST", "/book", script{lost, ok}, fleet.CancelStarted, fleet.Unknown, fleet.ReasonUnreachable, 1},
		{"booking lost, confirmed not run", "POST", "/book", script{lost, ok}, fleet.CancelNotRun, fleet.Ran, "", 2},
		{"booking refused while draining", "POST", "/book", script{drained, drained, ok}, 0, fleet.Ran, "", 3},
		{"booking cut short", "POST", "/book", script{truncatedAnswer, ok}, fleet.CancelStarted, fleet.Unknown, fleet.ReasonTruncated, 1},
		{"booking failed by the upstream", "POST", "/book", script{answer(500, "no"), ok}, 0, fleet.Ran, "", 1},
		{"booking unanswered until the deadline", "POST", "/book", script{neverAnswer}, fleet.CancelUnknown, fleet.Unknown, fleet.ReasonUnreachable, 1},
		{"booking cancelled at the deadline", "POST", "/book", script{neverAnswer}, fleet.CancelNotRun, fleet.NotRun, fleet.ReasonDeadline, 1},
		{"all refuse", "POST", "/book", script{drained}, 0, fleet.NotRun, fleet.ReasonDraining, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				deps := &fakeDependencies{replies: tt.replies, cancelResult: tt.cancel}
				in := newIngress(t, deps)

				reply := in.Forward(t.Context(), request(tt.method, tt.path, testKey))
				if reply.Outcome != tt.want || reply.Reason != tt.wantReason {
					t.Errorf("got %v %q, want %v %q", reply.Outcome, reply.Reason, tt.want, tt.wantReason)
				}

				if len(deps.attempts) != tt.wantAttempts {
					t.Errorf("attempts: got %d, want %d", len(deps.attempts), tt.wantAttempts)
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

// TestRefusalsOfOutdatedDaemon guards against a final refusal, for an unknown route or key,
// by a daemon that may have missed the configuration that has them.
func TestRefusalsOfOutdatedDaemon(t *testing.T) {
	t.Parallel()

	for name, tt := range map[string]struct {
		path, key string
		outdated  bool
		want      fleet.Reason
	}{
		"unknown route":               {"/new", testKey, false, fleet.ReasonNoRoute},
		"unknown key":                 {"/read", "ks_new", false, fleet.ReasonBadKey},
		"unknown route, outdated":     {"/new", testKey, true, fleet.ReasonNotReady},
		"unknown key, outdated":       {"/read", "ks_new", true, fleet.ReasonNotReady},
		"no key, outdated":            {"/read", "", true, fleet.ReasonNoKey},
		"known route, outdated":       {"/read", testKey, true, ""},
		"path out of range, outdated": {"/read/../x", testKey, true, fleet.ReasonBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				deps := &fakeDependencies{
					replies:  []func(context.Context, fleet.Attempt) fleet.Reply{answer(http.StatusOK, "whole")},
					outdated: tt.outdated,
				}
				in := newPlatformIngress(t, deps, &fakeBudget{})
				got := in.Forward(t.Context(), request("GET", tt.path, tt.key))
				if got.Reason != tt.want || tt.want == fleet.ReasonNotReady && (got.Outcome != fleet.NotRun || got.RetryAfter == 0) {
					t.Errorf("got %+v, want reason %q", got, tt.want)
				}
				closeBody(got)
			})
		})
	}
}

// TestRefusedBeforeRunning guards against requests that run without a key, with an
// invalid key or without a token, and against a key that is sent to an egress.
func TestRefusedBeforeRunning(t *testing.T) {
	t.Parallel()

	stale := keys.Contact{KnowsPeers: true}
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
		{"isolated", "/read", testKey, fleet.TokenResult{}, stale, fleet.ReasonIsolated, 0},
		{"open route while isolated", "/open", "", fleet.TokenResult{}, stale, "", 1},
		{"over limit", "/read", testKey, fleet.TokenResult{Outcome: fleet.OverLimit}, keys.Contact{}, fleet.ReasonLimit, 0},
		{"granter away", "/read", testKey, fleet.TokenResult{Outcome: fleet.GranterUnreachable}, keys.Contact{}, fleet.ReasonLimitAway, 0},
		{"key in path", "/read/" + testKey, testKey, fleet.TokenResult{}, keys.Contact{}, fleet.ReasonBadRequest, 0},
		{"no route", "/none", testKey, fleet.TokenResult{}, keys.Contact{}, fleet.ReasonNoRoute, 0},
		{"key in query is dropped", "/read?k=" + testKey, testKey, fleet.TokenResult{}, keys.Contact{}, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			deps := &fakeDependencies{replies: []func(context.Context, fleet.Attempt) fleet.Reply{answer(200, "x")}, tokenResult: tt.take, contact: tt.contact}
			in := newIngress(t, deps)

			reply := in.Forward(t.Context(), request("GET", tt.path, tt.key))
			defer closeBody(reply)

			if reply.Reason != tt.want {
				t.Errorf("reason: got %q, want %q", reply.Reason, tt.want)
			}

			if tt.want != "" && reply.Outcome != fleet.NotRun {
				t.Errorf("outcome: got %v, want %v", reply.Outcome, fleet.NotRun)
			}

			if len(deps.attempts) != tt.wantAttempts {
				t.Fatalf("attempts: got %d, want %d", len(deps.attempts), tt.wantAttempts)
			}
		})
	}
}

// TestWithdrawalCutsStream guards against an answer that continues for more than 3
// seconds after its key was withdrawn, whether the daemon has learned of the withdrawal
// or is isolated and cannot learn of it.
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

				deps := &fakeDependencies{
					replies: []func(context.Context, fleet.Attempt) fleet.Reply{replyWith(stream)},
					contact: keys.Contact{Store: time.Now(), KnowsPeers: name == "isolated"},
				}
				in := newIngress(t, deps)
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
				time.Sleep(time.Second) // until the writer has noticed the closed pipe
			})
		})
	}
}

// TestStopWaitsForAnswers guards against a planned stop that cuts off answers.
func TestStopWaitsForAnswers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		deps := &fakeDependencies{replies: []func(context.Context, fleet.Attempt) fleet.Reply{answer(200, "x")}}
		in := newIngress(t, deps)
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

// TestHedge guards against hedges of non-idempotent requests, and against an idempotent
// request that is not hedged when its upstream is slow.
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
				deps := &fakeDependencies{replies: []func(context.Context, fleet.Attempt) fleet.Reply{fast}}
				in := newIngress(t, deps)

				for range 50 {
					closeBody(in.Forward(t.Context(), request("GET", "/read", testKey)))
				}

				deps.attempts, deps.replies = nil, []func(context.Context, fleet.Attempt) fleet.Reply{neverAnswer, fast}
				reply := in.Forward(t.Context(), request(tt.method, tt.path, testKey))
				closeBody(reply)

				if len(deps.attempts) != tt.want {
					t.Errorf("attempts: got %d, want %d", len(deps.attempts), tt.want)
				}

				time.Sleep(time.Second) // the slow attempt ends at the deadline
			})
		})
	}
}

// TestHedgeDoesNotCancelSlowerAttempt guards against hedged requests that cancel the
// slower attempt. The egress would then not learn how slow its upstream is.
func TestHedgeDoesNotCancelSlowerAttempt(t *testing.T) {
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
		deps := &fakeDependencies{replies: []func(context.Context, fleet.Attempt) fleet.Reply{fast}}
		in := newIngress(t, deps)

		for range 50 {
			closeBody(in.Forward(t.Context(), request("GET", "/read", testKey)))
		}

		deps.attempts, deps.replies = nil, []func(context.Context, fleet.Attempt) fleet.Reply{slow, fast}
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

// countingBody is an answer's body that counts the calls of Close.
type countingBody struct {
	io.Reader
	closed *atomic.Int64
}

func (c countingBody) Close() error {
	c.closed.Add(1)

	return nil
}

// TestHedgeClosesSlowerAnswer guards against the answer of the slower attempt that stays
// open and keeps its slot, and against a hedge at the same upstream when a service has
// only one.
func TestHedgeClosesSlowerAnswer(t *testing.T) {
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
						reply.Answer.Body = countingBody{Reader: bytes.NewBufferString("x"), closed: &closed}

						return reply
					}
				}
				fast, slow := after(10*time.Millisecond), after(500*time.Millisecond)
				deps := &fakeDependencies{replies: []func(context.Context, fleet.Attempt) fleet.Reply{fast}}

				for i := range upstreams {
					deps.candidates = append(deps.candidates, balance.Candidate{Upstream: "u" + strconv.Itoa(i), Daemon: "b", Slots: 3, State: fleet.Ready})
				}

				in := newIngress(t, deps)

				for range 50 {
					closeBody(in.Forward(t.Context(), request("GET", "/read", testKey)))
				}

				deps.attempts, deps.replies = nil, []func(context.Context, fleet.Attempt) fleet.Reply{slow, fast}

				closed.Store(0)
				closeBody(in.Forward(t.Context(), request("GET", "/read", testKey)))
				time.Sleep(time.Second)

				if got := int(closed.Load()); len(deps.attempts) != want || got != want {
					t.Errorf("got %d attempts and %d closed answers, want %d of each", len(deps.attempts), got, want)
				}
			})
		})
	}
}
