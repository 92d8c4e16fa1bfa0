package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// stepKind selects the fault or the planned work of a step.
type stepKind int

// Kinds of steps. The kinds before stopDaemon are faults; the others are planned work.
const (
	killDaemon stepKind = iota
	pauseDaemon
	holdPeers
	delayPeers
	resetPeers
	holdStore
	delayStore
	resetStore
	pausePlatform
	storeOutage
	storeSlow
	storeLosesAnswers
	grayUpstream
	pauseUpstreams
	silentUpstream
	stopDaemon
	reloadDaemon
	drainUpstream
	publish
	withdrawKey
	kindCount
)

var kindNames = [kindCount]string{
	"kill daemon", "pause daemon", "hold peers", "delay peers", "reset peers", "hold store", "delay store", "reset store",
	"pause platform", "store outage", "store slow", "store loses answers", "gray upstream", "pause upstreams",
	"silent upstream", "stop daemon", "reload daemon", "drain upstream", "publish", "withdraw key",
}

// step is one fault or one piece of planned work.
type step struct {
	kind stepKind
	// startAt is the time from the start of the faults to the start of the step. duration
	// is the time until the fault is removed.
	startAt, duration time.Duration
	// daemon and service are indexes of what the step affects. Kinds that affect neither
	// ignore them.
	daemon, service int
	// variant selects one of several forms that some kinds have, such as which direction of
	// a connection is held back.
	variant int
}

func (s step) String() string {
	return fmt.Sprintf("%5.1fs %s: daemon %d, service %d, variant %d, for %s",
		s.startAt.Seconds(), kindNames[s.kind], s.daemon, s.service, s.variant, s.duration.Round(time.Millisecond))
}

const (
	// minGap and maxGap bound the time between the starts of independent steps. Steps
	// overlap because they last up to maxDuration.
	minGap      = 150 * time.Millisecond
	maxGap      = 1300 * time.Millisecond
	minDuration = 300 * time.Millisecond
	maxDuration = 6 * time.Second
	// variantCount is a common multiple of the numbers of forms that kinds have.
	variantCount = 12
	// With seriesProbability, a step is repeated at other daemons, one after another with
	// seriesGap in between. With simultaneousProbability, such a series runs at all
	// daemons at once.
	seriesProbability, simultaneousProbability = 0.25, 0.2
	seriesGap                                  = 400 * time.Millisecond
)

// newSchedule returns the random steps of a run of the given length, sorted by time. Equal
// arguments give equal schedules.
func newSchedule(seed uint64, length time.Duration, daemons, services int) []step {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // reproducible faults
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}

	var steps []step

	for at := minGap; at < length; at += between(minGap, maxGap) {
		planned := step{
			kind: stepKind(random.IntN(int(kindCount))), startAt: at, duration: between(minDuration, maxDuration),
			daemon: random.IntN(daemons), service: random.IntN(services), variant: random.IntN(variantCount),
		}
		steps = append(steps, planned)

		if random.Float64() >= seriesProbability {
			continue
		}

		gap, count := seriesGap, 1+random.IntN(daemons-1)
		if random.Float64() < simultaneousProbability {
			gap, count = 0, daemons-1
		}

		for i := 1; i <= count; i++ {
			next := planned
			next.startAt += time.Duration(i) * gap
			next.daemon = (planned.daemon + i) % daemons
			steps = append(steps, next)
		}
	}

	steps = slices.DeleteFunc(steps, func(s step) bool { return s.startAt >= length })
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.startAt - b.startAt) })

	return steps
}
