package overload

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// failureLatency is how long an upstream takes to answer a request that fails.
const failureLatency = time.Millisecond

// upstreamModel is a model of the upstream beside a daemon. It sleeps instead of working.
type upstreamModel struct {
	fleet  *Fleet
	daemon *daemon

	mu     sync.Mutex
	random *rand.Rand
	// changes holds the times since the start at which the state changes, in order. The
	// first change is to the failing state.
	changes []time.Duration
}

// newUpstream returns an upstream and draws the intervals in which it is failing. It
// begins failing with the long-term probability of that state.
func newUpstream(f *Fleet, d *daemon, random *rand.Rand) *upstreamModel {
	u := &upstreamModel{fleet: f, daemon: d, random: random}
	failing := f.pattern.Failures
	if failing.MeanFailing == 0 {
		return u
	}
	at := time.Duration(0)
	if random.Float64() >= float64(failing.MeanFailing)/float64(failing.MeanFailing+failing.MeanHealthy) {
		at = drawExponential(random, failing.MeanHealthy)
	}
	for at < f.pattern.Length {
		end := at + drawExponential(random, failing.MeanFailing)
		u.changes = append(u.changes, at, end)
		at = end + drawExponential(random, failing.MeanHealthy)
	}

	return u
}

// drawExponential returns an exponentially distributed time with the given mean.
func drawExponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// drawFailure reports whether the next request fails, drawn with the error share of the
// upstream's current state.
func (u *upstreamModel) drawFailure() bool {
	at := time.Since(u.fleet.started)
	u.mu.Lock()
	defer u.mu.Unlock()
	share := u.fleet.pattern.Failures.HealthyErrorShare
	for i := 0; i+1 < len(u.changes); i += 2 {
		if at >= u.changes[i] && at < u.changes[i+1] {
			share = u.fleet.pattern.Failures.FailingErrorShare
		}
	}

	return u.random.Float64() < share
}

// Call implements egress.UpstreamClient. The upstream works for half of the time that it
// draws, makes the calls of the request's class, and works for the other half. It answers
// with status 500 if it fails or if one of the calls fails.
func (u *upstreamModel) Call(
	ctx context.Context, _ fleet.Upstream, a fleet.Attempt,
) (fleet.Answer, fleet.CallResult) {
	u.fleet.recorder.countAttempt(a.RequestID)
	class := u.fleet.pattern.class(a.Route)
	if u.drawFailure() {
		time.Sleep(failureLatency)

		return reply(http.StatusInternalServerError, 0), fleet.CallAnswered
	}
	work := u.drawWork(class)
	if !sleep(ctx, work/2) {
		return fleet.Answer{}, interruptedResult(ctx)
	}
	for _, call := range class.Calls {
		if u.drawUniform() >= call.Share {
			continue
		}
		if !u.makeCalls(ctx, call) {
			if ctx.Err() != nil {
				return fleet.Answer{}, interruptedResult(ctx)
			}

			return reply(http.StatusInternalServerError, 0), fleet.CallAnswered
		}
	}
	if !sleep(ctx, work/2) {
		return fleet.Answer{}, interruptedResult(ctx)
	}

	return reply(http.StatusOK, class.AnswerBytes), fleet.CallAnswered
}

// makeCalls makes the calls of a request and reports whether all of them succeeded.
func (u *upstreamModel) makeCalls(ctx context.Context, call Call) bool {
	deadline, _ := ctx.Deadline()
	class := u.fleet.pattern.class(call.Class)
	callOnce := func() bool { return u.daemon.forward(ctx, class, "", u.fleet.requestID(), deadline) == served }
	if !call.Parallel {
		for range call.Times {
			if !callOnce() {
				return false
			}
		}

		return true
	}
	results := make(chan bool, call.Times)
	for range call.Times {
		go func() { results <- callOnce() }()
	}
	succeeded := true
	for range call.Times {
		succeeded = <-results && succeeded
	}

	return succeeded
}

// drawWork draws the time for which the upstream works on a request of the class.
func (u *upstreamModel) drawWork(class *Class) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()

	return time.Duration(float64(class.MedianWork) * math.Exp(u.random.NormFloat64()*class.WorkSigma))
}

// drawUniform returns a random number between 0 and 1.
func (u *upstreamModel) drawUniform() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.random.Float64()
}

// interruptedResult returns the result of a call whose context has ended.
func interruptedResult(ctx context.Context) fleet.CallResult {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fleet.CallTimedOut
	}

	return fleet.CallFailed
}

func reply(status, size int) fleet.Answer {
	return fleet.Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}
}

// sleep waits for d and reports whether it ended before the context did.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
