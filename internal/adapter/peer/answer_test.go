package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Guards against answers whose data is lost, reordered or altered, and against
// truncated answers that are read as complete (R6).
func TestRunAnswers(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcdef"), 80<<10)
	truncated := io.MultiReader(strings.NewReader("part"), failingReader{})
	for _, c := range []struct {
		name, length string
		body         io.Reader
		want         []byte
		err          error
	}{
		{"empty", "0", http.NoBody, nil, nil},
		{"small", "5", strings.NewReader("hello"), []byte("hello"), nil},
		{"large", "", bytes.NewReader(large), large, nil},
		{"large of known length", "1310720", bytes.NewReader(large), large, nil},
		{"truncated", "", truncated, []byte("part"), io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, _, _ := newPair(t, nil, DefaultTiming(), answerWith(c.body, c.length))
			reply := client.Run(t.Context(), "B", fleet.Attempt{ID: fleet.AttemptID{Ingress: "A", Sequence: 9}})
			if reply.Outcome != fleet.Ran || reply.ID.Sequence != 9 {
				t.Fatalf("got %+v, want Ran", reply)
			}
			got, err := io.ReadAll(reply.Answer.Body)
			if !errors.Is(err, c.err) || !bytes.Equal(got, c.want) {
				t.Errorf("got %d bytes and %v, want %d and %v", len(got), err, len(c.want), c.err)
			}
			if err == nil && reply.Answer.Trailer().Get("X-End") != "1" {
				t.Error("got no trailer")
			}
			if got := reply.Answer.Header["X-Binary"]; !slices.Equal(got, []string{"caf\xe9"}) {
				t.Errorf("got header %q, want bytes that are not UTF-8 unchanged", got)
			}
			_ = reply.Answer.Body.Close()
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against the outcome NotRun for an attempt that may have run (R7).
func TestRunOutcomes(t *testing.T) {
	waitForCancel := func(ctx context.Context, _ fleet.Attempt) fleet.Reply {
		<-ctx.Done()

		return fleet.Fail(fleet.ReasonCancelled, "")
	}
	fault := &linkFault{}
	for _, c := range []struct {
		name   string
		daemon string
		run    func(context.Context, fleet.Attempt) fleet.Reply
		body   int
		during func(cancel func())
		want   fleet.Outcome
		reason fleet.Reason
	}{
		{"no address", "C", waitForCancel, 0, nil, fleet.NotRun, fleet.ReasonUnreachable},
		{"larger than a frame", "B", waitForCancel, 2 << 20, nil, fleet.NotRun, fleet.ReasonTooLarge},
		{"refused", "B", func(context.Context, fleet.Attempt) fleet.Reply {
			return fleet.Refuse(fleet.ReasonDraining, "d")
		}, 0, nil, fleet.NotRun, fleet.ReasonDraining},
		{"failed", "B", func(context.Context, fleet.Attempt) fleet.Reply {
			return fleet.Fail(fleet.ReasonUpstream, "d")
		}, 0, nil, fleet.Unknown, fleet.ReasonUpstream},
		{"cancelled after sending", "B", waitForCancel, 0, func(cancel func()) { cancel() }, fleet.Unknown, fleet.ReasonCancelled},
		{"cut after sending", "B", waitForCancel, 0, func(func()) { fault.closeConns() }, fleet.Unknown, fleet.ReasonUnreachable},
		{"answers dropped", "B", waitForCancel, 0, func(func()) { fault.dropReads.Store(true) }, fleet.Unknown, fleet.ReasonUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			client, _, _ := newPair(t, fault.dial, testTiming(), func(ctx context.Context, a fleet.Attempt) fleet.Reply {
				close(started)
				defer close(ended)

				return c.run(ctx, a)
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.during != nil {
				go func() {
					<-started
					c.during(cancel)
				}()
			}
			reply := client.Run(ctx, c.daemon, fleet.Attempt{Request: fleet.Request{Body: make([]byte, c.body)}})
			if reply.Outcome != c.want || reply.Reason != c.reason {
				t.Errorf("got %v %v, want %v %v", reply.Outcome, reply.Reason, c.want, c.reason)
			}
			if c.during != nil {
				<-ended // if the server's ctx did not end, the upstream's slot would stay occupied
			}
			fault.dropReads.Store(false)
		})
	}
}

// Guards against an upstream that goes on with an attempt after the caller has closed
// the answer's body early.
func TestCloseCancels(t *testing.T) {
	ended := make(chan struct{})
	client, _, _ := newPair(t, nil, testTiming(), func(ctx context.Context, _ fleet.Attempt) fleet.Reply {
		read, write := io.Pipe()
		go func() {
			defer close(ended)
			<-ctx.Done()
			_ = write.CloseWithError(ctx.Err())
		}()

		return fleet.Reply{Outcome: fleet.Ran, Answer: fleet.Answer{Status: 200, Body: read}}
	})
	reply := client.Run(t.Context(), "B", fleet.Attempt{})
	_ = reply.Answer.Body.Close()
	<-ended
	if result := client.Cancel(t.Context(), "B", fleet.AttemptID{}, 0); result != fleet.CancelStarted {
		t.Errorf("got cancel result %v, want CancelStarted", result)
	}
}

// Guards against one stream that is not read blocking the other streams of its
// session.
func TestSlowReader(t *testing.T) {
	client, _, _ := newPair(t, nil, testTiming(), func(_ context.Context, a fleet.Attempt) fleet.Reply {
		return answerWith(bytes.NewReader(make([]byte, a.Weight<<10)), "")(nil, a)
	})
	slow := client.Run(t.Context(), "B", fleet.Attempt{Weight: 4096})
	for range 100 {
		reply := client.Run(t.Context(), "B", fleet.Attempt{Weight: 8})
		if n, err := io.Copy(io.Discard, reply.Answer.Body); n != 8<<10 || err != nil {
			t.Fatalf("got %d bytes and %v, want 8 KiB", n, err)
		}
	}
	if n, err := io.Copy(io.Discard, slow.Answer.Body); n != 4<<20 || err != nil {
		t.Errorf("got %d bytes and %v from the slow stream, want 4 MiB", n, err)
	}
}
