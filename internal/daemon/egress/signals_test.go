package egress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// signalling is an upstream whose answers take 100 ms and carry signals.
type signalling struct {
	mu      sync.Mutex
	signals fleet.UpstreamSignals
	// calledAt are the times of the calls.
	calledAt []time.Time
}

func (s *signalling) call(ctx context.Context) (fleet.Answer, fleet.CallResult) {
	s.mu.Lock()
	s.calledAt = append(s.calledAt, time.Now())
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()

	return fleet.Answer{
		Status: http.StatusOK, Header: http.Header{}, Body: scriptedBody{ctx, strings.NewReader("ok"), io.EOF}, Signals: s.signals,
	}, fleet.CallAnswered
}

// set changes the signals of further answers.
func (s *signalling) set(signals fleet.UpstreamSignals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signals = signals
}

// callsBetween counts the calls in a span of time.
func (s *signalling) callsBetween(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.calledAt {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}

	return count
}

// load sends 20 attempts a second until stop is called, half of which do not wait for a slot.
func (f *fixture) load(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var loads sync.WaitGroup
	loads.Go(func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			loads.Go(func() {
				a := attemptOf(sequence)
				a.NoWait = sequence%2 == 0
				if reply := f.Run(ctx, session, a); reply.Outcome == fleet.Ran {
					_, _ = io.ReadAll(reply.Answer.Body)
				}
			})
			f.Announce(calendar)
			time.Sleep(50 * time.Millisecond)
		}
	})

	return func() {
		cancel()
		loads.Wait()
	}
}

// Guards against an upstream that gets more requests than the limit that it names, or that
// is held to it when it no longer names it, and against one that gets less.
func TestLimitNamedByUpstreamExceeded(t *testing.T) {
	t.Parallel()
	for _, limit := range []float64{0, 0.5, 1, 2.7, 6.1} {
		synctest.Test(t, func(t *testing.T) {
			// The window and the excess that are allowed, and the time until the limit
			// must be obeyed.
			const window, factor, slack, settle = 4 * time.Second, 1.5, 5, 3 * time.Second
			s := &signalling{}
			f := newFixture(t, s.call)
			stop := f.load(t)
			defer stop()
			time.Sleep(5 * time.Second)
			s.set(fleet.UpstreamSignals{HasLimit: true, Limit: limit})
			time.Sleep(settle)
			from := time.Now()
			time.Sleep(20 * time.Second)
			for start := from; !start.Add(window).After(time.Now()); start = start.Add(100 * time.Millisecond) {
				if got, most := s.callsBetween(start, start.Add(window)), factor*limit*window.Seconds()+slack; float64(got) > most {
					t.Fatalf("limit %g: got %d requests in %v, want at most %g", limit, got, window, most)
				}
			}
			if got, least := s.callsBetween(from, time.Now()), 0.9*limit*time.Since(from).Seconds()-1; float64(got) < least {
				t.Errorf("limit %g: got %d requests in %v, want at least %g", limit, got, time.Since(from), least)
			}
			s.set(fleet.UpstreamSignals{})
			time.Sleep(9 * time.Second) // two requests at the lowest rate, and their answers
			from = time.Now()
			time.Sleep(window)
			if got := s.callsBetween(from, time.Now()); got < 60 {
				t.Errorf("limit %g: got %d requests in %v after the limit ended, want at least 60 of 80", limit, got, window)
			}
		})
	}
}

// Guards against requests to an upstream that says in its answers that it leaves, whatever it
// announces, and against a next incarnation that gets none.
func TestRequestsToLeavingUpstream(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &signalling{}
		f := newFixture(t, s.call)
		stop := f.load(t)
		defer stop()
		time.Sleep(5 * time.Second)
		s.set(fleet.UpstreamSignals{Leaving: true})
		time.Sleep(200 * time.Millisecond) // an answer
		from := time.Now()
		time.Sleep(5 * time.Second)
		if got := s.callsBetween(from, time.Now()); got > 0 {
			t.Errorf("got %d requests after the upstream said that it leaves, want none", got)
		}
		if upstreams := f.Upstreams(); len(upstreams) != 1 || upstreams[0].State != fleet.Draining {
			t.Errorf("got %+v, want one upstream that drains", upstreams)
		}
		if reply := f.Run(t.Context(), session, attemptOf(9999)); reply.Reason != fleet.ReasonDraining {
			t.Errorf("got %v, %q, want the attempt refused as draining", reply.Outcome, reply.Reason)
		}
		stop()
		s.set(fleet.UpstreamSignals{})
		next := calendar
		next.Incarnation = 2
		f.Announce(next)
		if reply := f.Run(t.Context(), session, attemptOf(10_000)); reply.Outcome != fleet.Ran {
			t.Errorf("got %v, %q of the next incarnation, want an answer", reply.Outcome, reply.Reason)
		}
	})
}
