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

// failFast is how long an upstream that fails takes to say so.
const failFast = time.Millisecond

// upstreamModel runs requests beside a daemon.
type upstreamModel struct {
	fleet  *Fleet
	daemon *daemon

	mu     sync.Mutex
	random *rand.Rand
	// changes holds the times at which the state changes, beginning with failing.
	changes []time.Duration
}

// newUpstream draws when the upstream fails.
func newUpstream(f *Fleet, d *daemon, random *rand.Rand) *upstreamModel {
	u := &upstreamModel{fleet: f, daemon: d, random: random}
	failing := f.pattern.Failures
	if failing.MeanFailing == 0 {
		return u
	}
	at := time.Duration(0)
	if random.Float64() >= float64(failing.MeanFailing)/float64(failing.MeanFailing+failing.MeanHealthy) {
		at = draw(random, failing.MeanHealthy)
	}
	for at < f.pattern.Length {
		end := at + draw(random, failing.MeanFailing)
		u.changes = append(u.changes, at, end)
		at = end + draw(random, failing.MeanHealthy)
	}

	return u
}

// draw returns an exponentially distributed time.
func draw(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// fails reports whether the next request fails.
func (u *upstreamModel) fails() bool {
	at := time.Since(u.fleet.began)
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

// Call runs one attempt.
func (u *upstreamModel) Call(
	ctx context.Context, _ fleet.Upstream, a fleet.Attempt,
) (fleet.Answer, fleet.CallResult) {
	u.fleet.record.ran(a.RequestID)
	class := u.fleet.pattern.class(a.Route)
	if u.fails() {
		time.Sleep(failFast)

		return reply(http.StatusInternalServerError, 0), fleet.CallAnswered
	}
	work := u.work(class)
	if !pause(ctx, work/2) {
		return fleet.Answer{}, ended(ctx)
	}
	for _, call := range class.Calls {
		if u.chance() >= call.Share {
			continue
		}
		if !u.call(ctx, call) {
			if ctx.Err() != nil {
				return fleet.Answer{}, ended(ctx)
			}

			return reply(http.StatusInternalServerError, 0), fleet.CallAnswered
		}
	}
	if !pause(ctx, work/2) {
		return fleet.Answer{}, ended(ctx)
	}

	return reply(http.StatusOK, class.AnswerBytes), fleet.CallAnswered
}

// call makes the calls of a request and reports whether all succeeded.
func (u *upstreamModel) call(ctx context.Context, call Call) bool {
	deadline, _ := ctx.Deadline()
	class := u.fleet.pattern.class(call.Class)
	one := func() bool { return u.daemon.forward(ctx, class, "", u.fleet.requestID(), deadline) == served }
	if !call.Parallel {
		for range call.Times {
			if !one() {
				return false
			}
		}

		return true
	}
	results := make(chan bool, call.Times)
	for range call.Times {
		go func() { results <- one() }()
	}
	ok := true
	for range call.Times {
		ok = <-results && ok
	}

	return ok
}

func (u *upstreamModel) work(class *Class) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()

	return time.Duration(float64(class.MedianWork) * math.Exp(u.random.NormFloat64()*class.WorkSigma))
}

func (u *upstreamModel) chance() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.random.Float64()
}

func ended(ctx context.Context) fleet.CallResult {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fleet.CallTimedOut
	}

	return fleet.CallFailed
}

func reply(status, size int) fleet.Answer {
	return fleet.Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}
}

// pause waits and reports whether the context lasted.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
