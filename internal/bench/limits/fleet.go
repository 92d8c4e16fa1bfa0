// Package limits measures the limits of client accounts over a simulated fleet
// in virtual time: the chosen way against an even split across instances.
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
	// callTimeout is after how long a daemon gives an answer up.
	callTimeout = 200 * time.Millisecond
	// tick is how often a daemon looks for messages that are due.
	tick = 10 * time.Millisecond
	// storeLatency is the platform's response time.
	storeLatency = 2 * time.Millisecond
	// detection is after how long a failed daemon leaves the members.
	detection = 5 * time.Second
	// manageInterval is how often a daemon looks at the members and the store.
	manageInterval = time.Second
	// searchInterval is that time while it knows of no granter.
	searchInterval = 100 * time.Millisecond
)

// start is the wall clock at virtual time zero.
var start = time.Unix(1_700_000_000, 0)

// Fleet is a set of simulated daemons with one group of client accounts.
type Fleet struct {
	virtual.Loop
	Random *rand.Rand
	// Daemons holds all that ever lived, by order of their start.
	Daemons []*Daemon
	// Loss, Duplicates and Slow are the shares of messages that are lost, that
	// arrive twice and that take up to a second.
	Loss, Duplicates, Slow float64
	// Cut holds directed pairs of daemons between which no message passes.
	Cut map[[2]string]bool
	// StoreUnavailable makes reads and writes of the store fail.
	StoreUnavailable bool
	limits           tokens.LimitMap
	// owners is the store's object.
	owners *peerpb.Owners
}

// Daemon is one run of a simulated daemon.
type Daemon struct {
	Name string
	// Pool is the state under test.
	Pool *pool.Pool
	// ClockRate is the speed of the daemon's clock.
	ClockRate float64
	Dead      bool
	fleet     *Fleet
	number    int
	zone      int
	run       uint64
	leaving   bool
	failed    time.Duration
	paused    time.Duration
	resumed   []func()
	waiters   map[*tokens.Waiter]func(fleet.TokenResult)
	managed   time.Duration
}

// NewFleet returns a fleet of count daemons that know the limits.
func NewFleet(seed uint64, count int, limits tokens.LimitMap) *Fleet {
	f := &Fleet{Random: rand.New(rand.NewPCG(seed, 1)), Cut: map[[2]string]bool{}, limits: limits}
	for i := range count {
		f.Start(i, 1, 1)
	}

	return f
}

// Start starts a daemon with no state. The number determines its name,
// address and availability zone.
func (f *Fleet) Start(number int, incarnation uint64, clockRate float64) *Daemon {
	d := &Daemon{
		Name: fmt.Sprintf("daemon%d", number), fleet: f, ClockRate: clockRate, waiters: map[*tokens.Waiter]func(fleet.TokenResult){},
		managed: f.Now - time.Hour,
	}
	d.number, d.zone, d.run = number, number%4, incarnation
	d.Pool = pool.New(0, pool.Daemon{Name: d.Name, Incarnation: incarnation}, d.Clock(), rand.New(rand.NewPCG(f.Random.Uint64(), 2)))
	d.Pool.Configure(d.Clock(), f.limits)
	f.Daemons = append(f.Daemons, d)
	f.After(0, d.tick)

	return d
}

// Configure changes the limits; each daemon learns of it within a second.
func (f *Fleet) Configure(limits tokens.LimitMap) {
	f.limits = limits
	for _, d := range f.Daemons {
		f.After(time.Duration(f.Random.Int64N(int64(time.Second))), func() {
			d.do(func() { d.Pool.Configure(d.Clock(), limits) })
		})
	}
}

// Clock returns the time on the daemon's own clock.
func (d *Daemon) Clock() time.Time {
	return start.Add(time.Duration(float64(d.fleet.Now) * d.ClockRate))
}

// Kill stops the daemon at once.
func (d *Daemon) Kill() { d.Dead, d.failed = true, d.fleet.Now }

// Restart kills the daemon and starts it in place with nothing.
func (d *Daemon) Restart() *Daemon {
	d.Kill()

	return d.fleet.Start(d.number, d.run+1, d.ClockRate)
}

// Leave ends the daemon as planned; it stops a second later.
func (d *Daemon) Leave() {
	d.leaving = true
	d.Pool.StopGranting()
	d.fleet.After(time.Second, d.Kill)
}

// Pause stops the daemon's processing, but not its clock. What came in the
// meantime is processed in any order afterwards.
func (d *Daemon) Pause(length time.Duration) {
	d.paused = d.fleet.Now + length
	d.fleet.After(length, func() {
		resumed := d.resumed
		d.resumed = nil
		d.fleet.Random.Shuffle(len(resumed), func(i, j int) { resumed[i], resumed[j] = resumed[j], resumed[i] })
		for _, do := range resumed {
			d.do(do)
		}
	})
}

// Up reports whether the daemon processes events.
func (d *Daemon) Up() bool { return !d.Dead && d.fleet.Now >= d.paused }

// Granter returns the daemon that was lent the shares of a majority, or nil.
func (f *Fleet) Granter() *Daemon {
	for _, d := range f.Daemons {
		if !d.Dead && d.Pool.HasMajority(d.Clock()) {
			return d
		}
	}

	return nil
}

// RunningDaemon returns the running daemon with a name, or nil.
func (f *Fleet) RunningDaemon(name string) *Daemon {
	for _, d := range f.Daemons {
		if d.Name == name && !d.Dead {
			return d
		}
	}

	return nil
}

func (d *Daemon) do(f func()) {
	switch {
	case d.Dead:
	case d.fleet.Now < d.paused:
		d.resumed = append(d.resumed, f)
	default:
		f()
	}
}

func (d *Daemon) tick() {
	if d.Dead {
		return
	}
	d.do(func() {
		now := d.Clock()
		for _, m := range d.Pool.DuePledges(now) {
			d.send(m)
		}
		d.resolve(d.Pool.Expire(now))
		d.request()
		d.manage(now)
	})
	d.fleet.After(tick, d.tick)
}

// Take asks for a token and calls done with the answer.
func (d *Daemon) Take(account string, deadline, patience time.Duration, done func(fleet.TokenResult)) {
	now := d.Clock()
	take, waiter := d.Pool.Take(now, fleet.TokenDemand{ClientAccount: account, Deadline: now.Add(deadline), OverLimitDeadline: now.Add(patience)})
	if waiter == nil {
		done(take)

		return
	}
	d.waiters[waiter] = done
	d.request()
}

func (d *Daemon) request() {
	if m := d.Pool.NextTokenRequest(d.Clock()); m != nil {
		d.send(*m)
	}
}

func (d *Daemon) resolve(waiters []*tokens.Waiter) {
	for _, w := range waiters {
		done := d.waiters[w]
		delete(d.waiters, w)
		done(w.Result)
	}
}

// send carries a message and its answer. A timed-out call is answered with
// nothing, and a later answer still arrives.
func (d *Daemon) send(m pool.Message) {
	f := d.fleet
	answered := false
	answer := func(frame *peerpb.Frame) {
		d.do(func() {
			answered = true
			d.resolve(d.Pool.HandleAnswer(d.Clock(), m, frame))
			d.request()
		})
	}
	f.carry(d.Name, m.To, func() {
		to := f.RunningDaemon(m.To)
		if to == nil {
			return
		}
		to.do(func() {
			if frame, ok := to.Pool.Handle(to.Clock(), d.Name, m.Frame); ok {
				f.carry(m.To, d.Name, func() { answer(frame) })
			}
		})
	})
	f.After(callTimeout, func() {
		if !answered {
			answer(nil)
		}
	})
}

// carry delivers one way: within a daemon at once, otherwise in 0.1 to 1.1 ms.
func (f *Fleet) carry(from, to string, deliver func()) {
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

// manage plays the slow part: the members, and the owners in the store.
func (d *Daemon) manage(now time.Time) {
	f := d.fleet
	if f.Now-d.managed < searchInterval || f.Now-d.managed < manageInterval && d.Pool.HasMajorityGranter(now) {
		return
	}
	d.managed = f.Now
	live := f.live()
	d.Pool.SetCandidates(pool.RankDaemons(0, live))
	if f.StoreUnavailable {
		return
	}
	known := d.Pool.Owners()
	proposal := d.Pool.ProposeOwners(now, live)
	if known.GetEpoch() == 0 && f.owners == nil && now.Sub(start) >= settle {
		proposal = pool.InitialOwners(live)
	}
	if proposal == nil && known.GetEpoch() > 0 {
		return
	}
	f.After(storeLatency, func() {
		if proposal != nil && f.owners.GetEpoch() == known.GetEpoch() {
			f.owners = proposal
		}
		found := f.owners
		f.After(storeLatency, func() {
			d.do(func() { d.Pool.UpdateOwners(d.Clock(), found) })
		})
	})
}

// live returns the daemons that count as members. One that failed does for a while.
func (f *Fleet) live() []string {
	var names []string
	for _, d := range f.Daemons {
		if !d.leaving && (!d.Dead || f.Now-d.failed < detection && f.RunningDaemon(d.Name) == nil) {
			names = append(names, d.Name)
		}
	}

	return names
}

// settle lets daemons that start together find each other before the first owners
// are named.
const settle = time.Second
