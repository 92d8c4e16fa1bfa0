package document

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// shortWaitShare is the share of MaxDelay, in eighths, for which the store holds a
	// watch that nobody else would replace: that of a relay, or of a daemon that no other
	// daemon answers. Other watches are held for longWait.
	shortWaitShare = 5
	longWait       = 20 * time.Second
	// watchMargin is how much longer than its wait a watch may take. The store may never
	// answer a watch, for example after it dropped its history.
	watchMargin = 400 * time.Millisecond
	// doubtShare is the share of MaxDelay, in eighths, after which a watch that has not
	// delivered a change that other daemons know of is abandoned.
	doubtShare = 2
	// doubtInterval is how often a daemon checks whether to abandon a long watch.
	doubtInterval = 200 * time.Millisecond
	// spreadShare is the share of MaxDelay, in eighths, over which daemons spread their
	// next watches after a change: 3,500 daemons would otherwise call the store at once.
	spreadShare = 1
	// readTimeout bounds reads other than watches. The store usually answers within
	// milliseconds.
	readTimeout = time.Second
	// firstRetry and maxRetry are the bounds of the exponential backoff after failed
	// reads of the store. A change made during an outage takes effect within maxRetry
	// of the end of the outage.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 1500 * time.Millisecond
)

// watchLoop installs changes of the object in the store until ctx ends. No daemon relies
// on others for this: it may be cut off from them while the store serves it.
func (f *Follower) watchLoop(ctx context.Context, random *rand.Rand) {
	revision, failures := uint64(0), 0
	for ctx.Err() == nil {
		before, began := f.installedVersion(), time.Now()
		next, outcome, abandoned := f.readStore(ctx, revision)
		if !abandoned {
			f.recordOutcome(outcome)
		}
		switch {
		case abandoned || outcome == fleet.StoreCompacted:
			revision = 0
		case outcome != fleet.StoreOK:
			// After a failure the daemon reads the object, which takes less time than
			// another watch that may not be answered.
			revision = 0
			sleep(ctx, retryDelay(failures, random))
			failures++
		default:
			revision, failures = next, 0
			f.readFrom.Store(&began)
			if before != 0 && f.installedVersion() != before {
				sleep(ctx, time.Duration(random.Int64N(int64(f.delayShare(spreadShare)))))
			}
		}
	}
}

// readStore installs the object's value from the store. If revision is not 0, it waits for
// changes after the revision and installs those instead of reading the object. It returns
// the revision from which the next watch continues, and whether it abandoned the watch.
func (f *Follower) readStore(ctx context.Context, revision uint64) (next uint64, outcome fleet.StoreOutcome, abandoned bool) {
	if revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, outcome := f.Store.Page(ctx, f.Source.Kind, "", false)
		for _, object := range page.Objects {
			f.installObject(object, originStore)
		}

		return page.Revision, outcome, false
	}
	f.missedSince.Store(nil)
	wait := f.delayShare(shortWaitShare)
	short := f.needsShortWait()
	if !short {
		wait = max(wait, longWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	var doubts sync.WaitGroup
	doubted := false
	if !short {
		doubts.Go(func() {
			doubted = f.awaitDoubt(ctx)
			cancel()
		})
	}
	events, outcome := f.Store.Events(ctx, f.Source.Kind, revision, wait)
	cancel()
	doubts.Wait()
	for _, event := range events.Events {
		if !event.Removed {
			f.installObject(event.Object, originStore)
		}
	}

	return events.Revision, outcome, doubted && outcome != fleet.StoreOK
}

// needsShortWait reports whether no other daemon would make this one notice that its watch
// has died.
func (f *Follower) needsShortWait() bool {
	return f.Members.IsRelay() || time.Since(f.Members.LastPeerContact()) > f.delayShare(shortWaitShare)
}

// awaitDoubt waits until there is reason to believe that the present long watch has died.
// It returns false if ctx ends before.
func (f *Follower) awaitDoubt(ctx context.Context) bool {
	for {
		sleep(ctx, doubtInterval)
		if ctx.Err() != nil {
			return false
		}
		if f.needsShortWait() || age(f.missedSince.Load()) > f.delayShare(doubtShare) {
			return true
		}
	}
}

// delayShare returns a share of MaxDelay in eighths.
func (f *Follower) delayShare(eighths time.Duration) time.Duration {
	return f.MaxDelay * eighths / 8
}

// recordOutcome records whether the store answered, and when. If the store became
// available or unavailable, it reports that to the fleet and logs it.
func (f *Follower) recordOutcome(outcome fleet.StoreOutcome) {
	unavailable := outcome != fleet.StoreOK && outcome != fleet.StoreCompacted
	if !unavailable {
		now := time.Now()
		f.storeContact.Store(&now)
	}
	if f.storeUnavailable.Swap(unavailable) == unavailable {
		return
	}
	f.Members.SetStoreUnavailable(unavailable)
	if unavailable {
		f.Log.Warn("dependency lost", "dependency", "store", "outcome", outcome.String(), "version", f.installedVersion())
	} else {
		f.Log.Info("dependency regained", "dependency", "store", "version", f.installedVersion())
	}
}

// retryDelay returns the delay before the next read. It doubles with each failure up
// to maxRetry, and the upper half of it is random.
func retryDelay(failures int, random *rand.Rand) time.Duration {
	wait := min(firstRetry<<min(failures, 10), maxRetry)

	return wait/2 + time.Duration(random.Int64N(int64(wait/2)))
}

// sleep waits for d, or until ctx ends if that is earlier.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
