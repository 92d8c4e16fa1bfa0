// Package limits measures how a simulated fleet enforces the rate limits of client
// accounts in virtual time, and compares internal/core/pool with a baseline that
// splits each limit evenly across instances.
package limits

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/virtual"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// callTimeout is how long a daemon waits for the answer to a message.
	callTimeout = 200 * time.Millisecond
	// tickInterval is the interval at which a daemon sends due messages and resolves expired
	// requests.
	tickInterval = 10 * time.Millisecond
	// storeLatency is the latency of one read or write of the platform's store.
	storeLatency = 2 * time.Millisecond
	// detectionDelay is how long a killed daemon still counts as a live member.
	detectionDelay = 5 * time.Second
	// refreshInterval is the interval at which a daemon reads the live members and the
	// store.
	refreshInterval = time.Second
	// granterSearchInterval replaces refreshInterval while a daemon knows no granter.
	granterSearchInterval = 100 * time.Millisecond
)

// epoch is the wall-clock time at virtual time zero.
var epoch = time.Unix(1_700_000_000, 0)

// Fleet is a set of simulated daemons that share one group of client accounts. It is
// not safe for concurrent use: all its events run on the embedded loop.
type Fleet struct {
	virtual.Loop
	Random *rand.Rand
	// Daemons lists all daemons in the order in which they started, dead ones included.
	Daemons []*Daemon
	// Loss, Duplicates and Slow are the shares, 0 to 1, of messages that are lost, that
	// are sent twice and that are delayed by up to 1 s.
	Loss, Duplicates, Slow float64
	// Cut contains pairs of sender and receiver whose messages are lost.
	Cut map[[2]string]bool
	// StoreUnavailable makes all reads and writes of the store fail.
	StoreUnavailable bool
	limits           tokens.LimitMap
	// owners is the object in the store that names the owners, nil before the first write.
	owners *peerpb.Owners
}

// Daemon is one incarnation of a simulated daemon.
type Daemon struct {
	Name string
	// Pool is the implementation under test.
	Pool *pool.Pool
	// ClockRate is the speed of the daemon's clock relative to virtual time.
	ClockRate   float64
	Dead        bool
	fleet       *Fleet
	number      int
	zone        int
	incarnation uint64
	leaving     bool
	// killedAt and pausedUntil are in virtual time.
	killedAt    time.Duration
	pausedUntil time.Duration
	// deferred holds the events that arrived while the daemon was paused.
	deferred []func()
	// waiters maps the requests that wait for a token to their callbacks.
	waiters map[*tokens.Waiter]func(fleet.TokenResult)
	// lastRefresh is the virtual time of the last run of refreshOwners.
	lastRefresh time.Duration
}

// NewFleet returns a fleet of count daemons that are configured with the limits. The seed
// determines all random choices.
func NewFleet(seed uint64, count int, limits tokens.LimitMap) *Fleet {
	f := &Fleet{Random: rand.New(rand.NewPCG(seed, 1)), Cut: map[[2]string]bool{}, limits: limits}
	for i := range count {
		f.Start(i, 1, 1)
	}

	return f
}

// Start starts a daemon without state. The number determines its name and its
// availability zone.
func (f *Fleet) Start(number int, incarnation uint64, clockRate float64) *Daemon {
	d := &Daemon{
		Name: fmt.Sprintf("daemon%d", number), fleet: f, ClockRate: clockRate, waiters: map[*tokens.Waiter]func(fleet.TokenResult){},
		lastRefresh: f.Now - time.Hour,
	}
	d.number, d.zone, d.incarnation = number, number%4, incarnation
	d.Pool = pool.New(0, pool.Daemon{Name: d.Name, Incarnation: incarnation}, d.Clock(), rand.New(rand.NewPCG(f.Random.Uint64(), 2)))
	d.Pool.Configure(d.Clock(), f.limits)
	f.Daemons = append(f.Daemons, d)
	f.After(0, d.tick)

	return d
}

// Configure changes the limits. Each daemon applies them after a random delay below 1 s.
func (f *Fleet) Configure(limits tokens.LimitMap) {
	f.limits = limits
	for _, d := range f.Daemons {
		f.After(time.Duration(f.Random.Int64N(int64(time.Second))), func() {
			d.runOrDefer(func() { d.Pool.Configure(d.Clock(), limits) })
		})
	}
}

// Clock returns the time on the daemon's own clock.
func (d *Daemon) Clock() time.Time {
	return epoch.Add(time.Duration(float64(d.fleet.Now) * d.ClockRate))
}

// Kill stops the daemon at once.
func (d *Daemon) Kill() { d.Dead, d.killedAt = true, d.fleet.Now }

// Restart kills the daemon, starts its next incarnation without state and returns it.
func (d *Daemon) Restart() *Daemon {
	d.Kill()

	return d.fleet.Start(d.number, d.incarnation+1, d.ClockRate)
}

// Leave shuts the daemon down gracefully: it stops granting and is removed from the
// members at once, and stops 1 s later.
func (d *Daemon) Leave() {
	d.leaving = true
	d.Pool.StopGranting()
	d.fleet.After(time.Second, d.Kill)
}

// Pause suspends the daemon's processing, but not its clock. Events that arrive in the
// meantime are processed in random order afterwards.
func (d *Daemon) Pause(length time.Duration) {
	d.pausedUntil = d.fleet.Now + length
	d.fleet.After(length, func() {
		resumed := d.deferred
		d.deferred = nil
		d.fleet.Random.Shuffle(len(resumed), func(i, j int) { resumed[i], resumed[j] = resumed[j], resumed[i] })
		for _, do := range resumed {
			d.runOrDefer(do)
		}
	})
}

// Up reports whether the daemon is neither dead nor paused.
func (d *Daemon) Up() bool { return !d.Dead && d.fleet.Now >= d.pausedUntil }

// Granter returns the first daemon to which more than half of the owners lease their
// shares, or nil if there is none.
func (f *Fleet) Granter() *Daemon {
	for _, d := range f.Daemons {
		if !d.Dead && d.Pool.HasMajority(d.Clock()) {
			return d
		}
	}

	return nil
}

// RunningDaemon returns the daemon with a name that is not dead, or nil. It may be
// paused.
func (f *Fleet) RunningDaemon(name string) *Daemon {
	for _, d := range f.Daemons {
		if d.Name == name && !d.Dead {
			return d
		}
	}

	return nil
}

// runOrDefer calls f now, or after the pause if the daemon is paused. It drops f if the
// daemon is dead.
func (d *Daemon) runOrDefer(f func()) {
	switch {
	case d.Dead:
	case d.fleet.Now < d.pausedUntil:
		d.deferred = append(d.deferred, f)
	default:
		f()
	}
}

// tick sends due pledges and token requests, resolves expired requests and refreshes the
// owners. It runs every tickInterval until the daemon is dead.
func (d *Daemon) tick() {
	if d.Dead {
		return
	}
	d.runOrDefer(func() {
		now := d.Clock()
		for _, m := range d.Pool.DuePledges(now) {
			d.send(m)
		}
		d.resolve(d.Pool.Expire(now))
		d.request()
		d.refreshOwners(now)
	})
	d.fleet.After(tickInterval, d.tick)
}

// Take requests a token and calls done once with the result. The request waits at most
// deadline, and at most overLimitWait while its account is above the limit.
func (d *Daemon) Take(account string, deadline, overLimitWait time.Duration, done func(fleet.TokenResult)) {
	now := d.Clock()
	result, waiter := d.Pool.Take(now, fleet.TokenDemand{ClientAccount: account, Deadline: now.Add(deadline), OverLimitDeadline: now.Add(overLimitWait)})
	if waiter == nil {
		done(result)

		return
	}
	d.waiters[waiter] = done
	d.request()
}

// request sends the next token request if one is due.
func (d *Daemon) request() {
	if m := d.Pool.NextTokenRequest(d.Clock()); m != nil {
		d.send(*m)
	}
}

// resolve calls the callbacks of waiters that have a result.
func (d *Daemon) resolve(waiters []*tokens.Waiter) {
	for _, w := range waiters {
		done := d.waiters[w]
		delete(d.waiters, w)
		done(w.Result)
	}
}

// send transmits a message and its answer. When a call times out, the pool is given a
// nil answer; an answer that arrives later is still passed to the pool.
func (d *Daemon) send(m pool.Message) {
	f := d.fleet
	answered := false
	answer := func(frame *peerpb.Frame) {
		d.runOrDefer(func() {
			answered = true
			d.resolve(d.Pool.HandleAnswer(d.Clock(), m, frame))
			d.request()
		})
	}
	f.transmit(d.Name, m.To, func() {
		to := f.RunningDaemon(m.To)
		if to == nil {
			return
		}
		to.runOrDefer(func() {
			if frame, ok := to.Pool.Handle(to.Clock(), d.Name, m.Frame); ok {
				f.transmit(m.To, d.Name, func() { answer(frame) })
			}
		})
	})
	f.After(callTimeout, func() {
		if !answered {
			answer(nil)
		}
	})
}

// transmit delivers one message in one direction. Within a daemon it is delivered at
// once; between daemons it takes 0.1 to 1.1 ms and is subject to the fleet's faults.
func (f *Fleet) transmit(from, to string, deliver func()) {
	if from == to {
		f.After(0, deliver)

		return
	}
	copies := 1
	if f.Random.Float64() < f.Duplicates {
		copies = 2
	}
	for range copies {
		delay := 100*time.Microsecond + time.Duration(f.Random.Int64N(int64(time.Millisecond)))
		if f.Random.Float64() < f.Slow {
			delay = time.Duration(f.Random.Int64N(int64(time.Second)))
		}
		if !f.Cut[[2]string{from, to}] && f.Random.Float64() >= f.Loss {
			f.After(delay, deliver)
		}
	}
}

// refreshOwners updates the daemon's candidates from the live members and its owners from
// the store, every refreshInterval, or every granterSearchInterval while no granter is
// known.
func (d *Daemon) refreshOwners(now time.Time) {
	f := d.fleet
	if f.Now-d.lastRefresh < granterSearchInterval || f.Now-d.lastRefresh < refreshInterval && d.Pool.HasMajorityGranter(now) {
		return
	}
	d.lastRefresh = f.Now
	live := f.liveMembers()
	d.Pool.SetCandidates(pool.RankDaemons(0, live))
	if f.StoreUnavailable {
		return
	}
	knownOwners := d.Pool.Owners()
	proposal := d.Pool.ProposeOwners(now, live)
	if knownOwners.GetEpoch() == 0 && f.owners == nil && now.Sub(epoch) >= initialOwnersDelay {
		proposal = pool.InitialOwners(live)
	}
	if proposal == nil && knownOwners.GetEpoch() > 0 {
		return
	}
	f.After(storeLatency, func() {
		if proposal != nil && f.owners.GetEpoch() == knownOwners.GetEpoch() {
			f.owners = proposal
		}
		found := f.owners
		f.After(storeLatency, func() {
			d.runOrDefer(func() { d.Pool.UpdateOwners(d.Clock(), found) })
		})
	})
}

// liveMembers returns the names of the daemons that membership reports as live. A killed
// daemon counts for detectionDelay after Kill, unless it has been restarted.
func (f *Fleet) liveMembers() []string {
	var names []string
	for _, d := range f.Daemons {
		if !d.leaving && (!d.Dead || f.Now-d.killedAt < detectionDelay && f.RunningDaemon(d.Name) == nil) {
			names = append(names, d.Name)
		}
	}

	return names
}

// initialOwnersDelay lets daemons that start together discover each other before one of
// them writes the initial owners to the store.
const initialOwnersDelay = time.Second
