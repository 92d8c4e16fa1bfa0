package egress

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

var (
	session  = fleet.Session{Daemon: "i", Incarnation: 1, Number: 1}
	newer    = fleet.Session{Daemon: "i", Incarnation: 1, Number: 2}
	calendar = fleet.Upstream{
		Name: "c1", Service: "Calendar", Address: netip.MustParseAddrPort("127.0.0.1:81"), Slots: 2, State: fleet.Ready,
	}
)

type callFunc func(ctx context.Context) (fleet.Answer, fleet.CallResult)

// fixture is an egress with one upstream, and what it did.
type fixture struct {
	*Egress
	mu           sync.Mutex
	call         callFunc
	ran          []uint64
	observations []fleet.Observation
}

func (f *fixture) Call(ctx context.Context, _ fleet.Upstream, a fleet.Attempt) (fleet.Answer, fleet.CallResult) {
	f.mu.Lock()
	f.ran = append(f.ran, a.ID.Sequence)
	f.mu.Unlock()

	return f.call(ctx)
}

func (f *fixture) Observe(o fleet.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, o)
}

// runs returns the attempts that reached the upstream.
func (f *fixture) runs() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.ran)
}

// counts returns the number of running and queued attempts, and of slots in use.
func (f *fixture) counts() (running, queued, slots int) {
	f.Egress.mu.Lock()
	defer f.Egress.mu.Unlock()
	for _, l := range f.lanes {
		slots += l.inFlight
	}

	return f.running, len(f.waiting), slots
}

func newFixture(t *testing.T, call callFunc) *fixture {
	f := &fixture{call: call}
	var cleanUp func()
	f.Egress, cleanUp = New(DefaultSettings(7), f, f, slog.New(slog.DiscardHandler))
	t.Cleanup(cleanUp)
	f.OpenSession(session)
	f.Announce(calendar)
	<-f.Changed()

	return f
}

func attemptOf(sequence uint64) fleet.Attempt {
	return fleet.Attempt{
		ID:      fleet.AttemptID{Ingress: "i", Incarnation: 1, Sequence: sequence},
		Service: "Calendar", Upstream: "c1", ClientAccount: "a", DeadlineRemaining: time.Second, EgressIncarnation: 7,
	}
}

// reader is a body that ends with err; "block" waits for the context.
type reader struct {
	ctx  context.Context
	text *strings.Reader
	err  error
}

var errBlock = errors.New("block")

func (r reader) Read(p []byte) (int, error) {
	if r.text.Len() > 0 {
		return r.text.Read(p)
	}
	if errors.Is(r.err, errBlock) {
		<-r.ctx.Done()

		return 0, r.ctx.Err()
	}

	return 0, r.err
}

func (r reader) Close() error { return nil }

// answers returns a call that takes 100 ms and whose body ends with err.
func answers(text string, err error) callFunc {
	return func(ctx context.Context) (fleet.Answer, fleet.CallResult) {
		time.Sleep(100 * time.Millisecond)

		return fleet.Answer{
			Status: 201, Header: http.Header{"A": {"b"}}, Body: reader{ctx, strings.NewReader(text), err},
		}, fleet.CallAnswered
	}
}

func ends(result fleet.CallResult) callFunc {
	return func(context.Context) (fleet.Answer, fleet.CallResult) {
		return fleet.Answer{Header: http.Header{"Retry-After": {"2"}}}, result
	}
}

// hangs until the context ends.
func hangs(ctx context.Context) (fleet.Answer, fleet.CallResult) {
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fleet.Answer{}, fleet.CallTimedOut
	}

	return fleet.Answer{}, fleet.CallFailed
}

// Guards against a wrong outcome, and against evidence that blames an upstream
// for what an ingress or a deadline did.
func TestOutcome(t *testing.T) {
	t.Parallel()
	const none = fleet.CallResult(-1)
	for name, tt := range map[string]struct {
		call          callFunc
		cancelAfter   time.Duration
		read          string // all, close, late or nothing
		wantOutcome   fleet.Outcome
		wantReason    fleet.Reason
		wantResult    fleet.CallResult
		wantTruncated bool
	}{
		"answered":               {answers("ok", io.EOF), 0, "all", fleet.Ran, "", fleet.CallAnswered, false},
		"body cut":               {answers("ok", io.ErrUnexpectedEOF), 0, "all", fleet.Ran, "", fleet.CallAnswered, true},
		"body closed early":      {answers("ok", errBlock), 0, "close", fleet.Ran, "", fleet.CallAnswered, false},
		"body never read":        {answers("ok", errBlock), 0, "nothing", fleet.Ran, "", fleet.CallAnswered, false},
		"body stops":             {answers("ok", errBlock), 0, "all", fleet.Ran, "", fleet.CallTimedOut, false},
		"body read too late":     {answers("ok", errBlock), 0, "late", fleet.Ran, "", fleet.CallAnswered, false},
		"shed":                   {ends(fleet.CallShed), 0, "", fleet.NotRun, fleet.ReasonShed, fleet.CallShed, false},
		"not sent":               {ends(fleet.CallNotSent), 0, "", fleet.NotRun, fleet.ReasonUnreachable, fleet.CallNotSent, false},
		"failed":                 {ends(fleet.CallFailed), 0, "", fleet.Unknown, fleet.ReasonUpstream, fleet.CallFailed, false},
		"deadline":               {hangs, 0, "", fleet.Unknown, fleet.ReasonDeadline, fleet.CallTimedOut, false},
		"cancelled early":        {hangs, 800 * time.Millisecond, "", fleet.Unknown, fleet.ReasonCancelled, none, false},
		"cancelled at the limit": {hangs, 950 * time.Millisecond, "", fleet.Unknown, fleet.ReasonCancelled, fleet.CallTimedOut, false},
		"cancelled body":         {answers("ok", errBlock), 500 * time.Millisecond, "all", fleet.Ran, "", fleet.CallAnswered, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, tt.call)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.cancelAfter > 0 {
					time.AfterFunc(tt.cancelAfter, cancel)
				}
				got := f.Run(ctx, session, attemptOf(1))
				switch tt.read {
				case "late":
					time.Sleep(2 * time.Second)
					_, _ = io.ReadAll(got.Answer.Body)
				case "all":
					_, _ = io.ReadAll(got.Answer.Body)
				case "close":
					_ = got.Answer.Body.Close()
				}
				time.Sleep(2 * time.Second)
				if got.Outcome != tt.wantOutcome || got.Reason != tt.wantReason || got.ID != attemptOf(1).ID {
					t.Errorf("got %+v, want %v, %q", got, tt.wantOutcome, tt.wantReason)
				}
				if tt.wantReason == fleet.ReasonShed && got.RetryAfter != 2*time.Second {
					t.Errorf("got RetryAfter %v, want 2s", got.RetryAfter)
				}
				if running, _, slots := f.counts(); running != 0 || slots != 0 {
					t.Errorf("got %d running, %d slots in use, want none", running, slots)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				if tt.wantResult == none {
					if len(f.observations) > 0 {
						t.Errorf("got %+v, want no observation", f.observations)
					}

					return
				}
				if len(f.observations) != 1 || f.observations[0].Result != tt.wantResult || f.observations[0].Truncated != tt.wantTruncated {
					t.Errorf("got %+v, want one with result %d, truncated %v", f.observations, tt.wantResult, tt.wantTruncated)
				}
			})
		})
	}
}

// Guards against blaming an upstream, which answers in 100 ms, for attempts
// that had too little time left.
func TestTimeoutWithoutAChance(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answers("ok", io.EOF))
		_, _ = io.ReadAll(f.Run(t.Context(), session, attemptOf(1)).Answer.Body)
		f.call = hangs
		for sequence, budget := range map[uint64]time.Duration{2: 199 * time.Millisecond, 3: 200 * time.Millisecond} {
			a := attemptOf(sequence)
			a.DeadlineRemaining = budget
			f.Run(t.Context(), session, a)
		}
		if len(f.observations) != 2 || f.observations[1].Result != fleet.CallTimedOut {
			t.Errorf("got %+v, want the answer and the timeout after 200 ms", f.observations)
		}
	})
}

// Guards against running a queued attempt that was refused, and against an
// attempt that waits without an end. Both slots are held when the third
// attempt arrives.
func TestQueuedAttemptIsRefused(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		do   func(f *fixture, cancel func())
		want fleet.Reason
	}{
		"deadline":                   {func(*fixture, func()) {}, fleet.ReasonDeadline},
		"ingress gives up":           {func(_ *fixture, cancel func()) { cancel() }, fleet.ReasonCancelled},
		"cancelled":                  {func(f *fixture, _ func()) { f.Cancel(f.base, session, attemptOf(3).ID) }, fleet.ReasonCancelled},
		"session closed":             {func(f *fixture, _ func()) { f.CloseSession(session) }, fleet.ReasonCancelled},
		"session replaced":           {func(f *fixture, _ func()) { f.OpenSession(newer) }, fleet.ReasonCancelled},
		"operator drains":            {func(f *fixture, _ func()) { f.Drain("c1") }, fleet.ReasonDraining},
		"upstream announces leaving": {func(f *fixture, _ func()) { f.Announce(withState(fleet.Draining)) }, fleet.ReasonDraining},
		"upstream withdrawn":         {func(f *fixture, _ func()) { f.Withdraw("c1") }, fleet.ReasonNoUpstream},
		"upstream silent":            {func(*fixture, func()) { time.Sleep(announceTimeout + sweepInterval) }, fleet.ReasonNoUpstream},
		"daemon stops":               {func(f *fixture, _ func()) { go f.Stop(f.base) }, fleet.ReasonStopping},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, answers("", errBlock))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				replies := make(chan fleet.Reply, 3)
				for sequence := range uint64(3) {
					a := attemptOf(sequence + 1)
					a.DeadlineRemaining = 10 * time.Second
					if name == "deadline" && sequence == 2 {
						a.DeadlineRemaining = time.Second
					}
					runContext := t.Context()
					if sequence == 2 {
						runContext = ctx
					}
					go func() { replies <- f.Run(runContext, session, a) }()
					synctest.Wait()
				}
				time.Sleep(200 * time.Millisecond)
				tt.do(f, cancel)
				first, second := <-replies, <-replies
				third := <-replies
				if first.Outcome != fleet.Ran || second.Outcome != fleet.Ran {
					t.Fatalf("got %+v, %+v, want both running", first, second)
				}
				if third.Outcome != fleet.NotRun || third.Reason != tt.want {
					t.Errorf("got %+v, want NotRun, %s", third, tt.want)
				}
				_ = first.Answer.Body.Close()
				_ = second.Answer.Body.Close()
				time.Sleep(time.Minute)
				if _, queued, _ := f.counts(); len(f.runs()) != 2 || queued != 0 {
					t.Errorf("got %v ran, %d queued, want 2 and none", f.runs(), queued)
				}
			})
		})
	}
}

func withState(state fleet.UpstreamState) fleet.Upstream {
	upstream := calendar
	upstream.State = state

	return upstream
}

// Guards against more requests at an upstream than it has slots, against a
// slot that is freed before the body ended, and against one that is lost.
func TestSlotsAreHeldUntilBodyEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answers("ok", io.EOF))
		replies := make(chan fleet.Reply, 5)
		for sequence := range uint64(5) {
			go func() { replies <- f.Run(t.Context(), session, attemptOf(sequence+1)) }()
		}
		time.Sleep(500 * time.Millisecond)
		for ended, want := range []int{2, 3, 4, 5, 5} {
			if got := len(f.runs()); got != want {
				t.Fatalf("got %d started after %d ended, want %d", got, ended, want)
			}
			reply := <-replies
			if got := reply.Load; got.Slots != 2 || got.InFlight > 2 || got.State != fleet.Ready {
				t.Errorf("got load %+v, want at most 2 of 2 slots in flight", got)
			}
			_, _ = io.ReadAll(reply.Answer.Body)
			_ = reply.Answer.Body.Close()
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a started attempt that is reported as not run, or that a late
// copy or a late cancel changes.
func TestCancelAndCopies(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, answers("ok", io.EOF))
		if got := f.CancelForIncarnation(t.Context(), session, attemptOf(1).ID, 7); got != fleet.CancelNotRun {
			t.Errorf("got %d for a cancel before its attempt, want CancelNotRun", got)
		}
		if got := f.Run(t.Context(), session, attemptOf(1)); got.Outcome != fleet.NotRun {
			t.Errorf("got %+v for the cancelled attempt, want NotRun", got)
		}
		if got := f.Cancel(t.Context(), session, attemptOf(2).ID); got != fleet.CancelUnknown {
			t.Errorf("got %d for a cancel without an incarnation, want CancelUnknown", got)
		}
		reply := f.Run(t.Context(), session, attemptOf(3))
		if got := f.Run(t.Context(), session, attemptOf(3)); got.Outcome != fleet.Unknown {
			t.Errorf("got %+v for a copy, want Unknown", got)
		}
		if got := f.Cancel(t.Context(), session, attemptOf(3).ID); got != fleet.CancelStarted {
			t.Errorf("got %d for a started attempt, want CancelStarted", got)
		}
		if body, err := io.ReadAll(reply.Answer.Body); string(body) != "ok" || err != nil {
			t.Errorf("got %q, %v after the cancel, want the answer", body, err)
		}
		for name, change := range map[string]func(a *fleet.Attempt){
			"other incarnation": func(a *fleet.Attempt) { a.EgressIncarnation = 6 },
			"unknown upstream":  func(a *fleet.Attempt) { a.Upstream = "c2" },
			"other service":     func(a *fleet.Attempt) { a.Service = "Weather" },
			"no budget":         func(a *fleet.Attempt) { a.DeadlineRemaining = 0 },
		} {
			a := attemptOf(10)
			a.ID.Sequence += uint64(len(name))
			change(&a)
			if got := f.Run(t.Context(), session, a); got.Outcome != fleet.NotRun {
				t.Errorf("got %+v for %s, want NotRun", got, name)
			}
		}
		if len(f.runs()) != 1 {
			t.Errorf("got %v ran, want 3 only", f.runs())
		}
	})
}

// Guards against running a repeated request again, and against a replayed
// answer that is incomplete or carries a later change.
func TestIdempotencyKeyReplays(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		text       string
		err        error
		wantStatus int
		wantMark   string
	}{
		"kept":      {"ok", io.EOF, 201, "Answer"},
		"too large": {strings.Repeat("x", maxRecordedBody+1), io.EOF, 409, "OutcomeOnly"},
		"cut":       {"ok", io.ErrUnexpectedEOF, 409, "OutcomeOnly"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, answers(tt.text, tt.err))
				a := attemptOf(1)
				a.IdempotencyKey = "12345678"
				first := f.Run(t.Context(), session, a)
				first.Answer.Header.Set("A", "changed")
				a.ID.Sequence = 2
				if got := f.Run(t.Context(), session, a); got.Outcome != fleet.Unknown || got.Reason != fleet.ReasonRepeated {
					t.Errorf("got %+v while the first runs, want Unknown, Repeated", got)
				}
				_, _ = io.ReadAll(first.Answer.Body)
				for a.ID.Sequence = range uint64(5) {
					if a.ID.Sequence < 3 {
						continue
					}
					got := f.Run(t.Context(), session, a)
					body, _ := io.ReadAll(got.Answer.Body)
					if got.Answer.Status != tt.wantStatus || got.Answer.Header.Get(HeaderReplayed) != tt.wantMark {
						t.Errorf("got %+v, want %d, %s", got, tt.wantStatus, tt.wantMark)
					}
					if tt.wantStatus == 201 && (string(body) != "ok" || got.Answer.Header.Get("A") != "b") {
						t.Errorf("got %q, %v, want the first answer", body, got.Answer.Header)
					}
				}
				if len(f.runs()) != 1 {
					t.Errorf("got %v ran, want the first only", f.runs())
				}
			})
		})
	}
}
