package limits

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// platform stands in for the store, the members and the network.
type platform struct {
	mu      sync.Mutex
	daemons map[string]*daemon
	value   []byte
	version uint64
	puts    int
	calls   int
	// lose drops the answers to writes, away refuses all calls of the store.
	lose, away bool
	// cut reports that calls between two daemons fail.
	cut func(from, to string) bool
}

type daemon struct {
	*platform
	name    string
	limiter *Limiter
	stop    func()
}

func (d *daemon) Call(ctx context.Context, name string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	time.Sleep(500 * time.Microsecond)
	d.mu.Lock()
	d.calls++
	to := d.daemons[name]
	cut := d.cut != nil && (d.cut(d.name, name) || d.cut(name, d.name))
	d.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	if to == nil || cut {
		return nil, false
	}

	return to.limiter.Handle(ctx, d.name, frame)
}

func (p *platform) Get(_ context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.away:
		return fleet.Object{}, fleet.StoreUnavailable
	case p.version == 0:
		return fleet.Object{}, fleet.StoreNotFound
	}

	return fleet.Object{Kind: kind, Name: name, Version: p.version, Value: p.value}, fleet.StoreOK
}

func (p *platform) Put(_ context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.away:
		return fleet.StoreUnavailable
	case p.version != condition.Version:
		return fleet.StoreConflict
	}
	p.puts++
	p.value = object.Value
	p.version++
	if p.lose {
		return fleet.StoreAmbiguous
	}

	return fleet.StoreOK
}

func (p *platform) counts() (puts, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.puts, p.calls
}

func (p *platform) Live() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name := range p.daemons {
		names = append(names, name)
	}

	return names
}

// Now implements Clock.
func (p *platform) Now() time.Time { return time.Now() }

const groups = 2

var configuration = &fleet.Configuration{Version: 1, ClientAccounts: fleet.IndexClientAccounts(
	fleet.ClientAccount{Name: "club", Rate: 50, Burst: 100}, fleet.ClientAccount{Name: "single", Rate: 0.5, Burst: 1},
)}

func newPlatform() *platform { return &platform{daemons: map[string]*daemon{}} }

// start registers all daemons as members before it starts the first.
func start(p *platform, count int) []*daemon {
	var out []*daemon
	for i := range count {
		d := &daemon{platform: p, name: fmt.Sprintf("daemon%d", i)}
		p.mu.Lock()
		p.daemons[d.name] = d
		p.mu.Unlock()
		out = append(out, d)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, d := range out {
		d.limiter, d.stop = New(Dependencies{
			Self: pool.Daemon{Name: d.name, Incarnation: 1}, Groups: groups, Peers: d, Store: p, Members: p, Clock: p,
			RetryBudget: pool.RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
			Random:      rand.New(rand.NewPCG(uint64(i), 1)), Log: slog.New(slog.DiscardHandler),
		})
		d.limiter.Configure(configuration)
	}

	return out
}

func (d *daemon) kill() {
	d.mu.Lock()
	delete(d.daemons, d.name)
	d.mu.Unlock()
	d.stop()
}

func stopAll(daemons []*daemon) {
	for _, d := range daemons {
		d.kill()
	}
}

func (d *daemon) take(account string, wait time.Duration) fleet.TokenResult {
	return d.limiter.Take(context.Background(), fleet.TokenDemand{ClientAccount: account, Deadline: time.Now().Add(wait)})
}

// shares returns the sum of the parts of a group's limits that are granted, and
// the daemon that grants the largest.
func shares(daemons []*daemon, number int) (sum float64, granter *daemon) {
	most := 0.0
	for _, d := range daemons {
		share := d.limiter.Shares()[number]
		sum += share
		if share > most {
			most, granter = share, d
		}
	}

	return sum, granter
}

// Guards against a fleet of one that needs a peer, and against limits that are
// not kept or whose refusals have the wrong outcome.
func TestFleetOfOne(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		daemons := start(p, 1)
		defer stopAll(daemons)
		time.Sleep(10 * time.Second)
		taken, began := 0, time.Now()
		for range 500 {
			if daemons[0].take("club", time.Millisecond).Outcome == fleet.TokenGranted {
				taken++
			}
		}
		if most := 100 + int(50*time.Since(began).Seconds()); taken < 100 || taken > most {
			t.Errorf("got %d taken in %v, want 100 to %d", taken, time.Since(began), most)
		}
		for _, want := range []fleet.TokenOutcome{fleet.TokenGranted, fleet.OverLimit} {
			if got := daemons[0].take("single", 100*time.Millisecond); got.Outcome != want {
				t.Errorf("got outcome %v for the account with a burst of one, want %v", got, want)
			}
		}
		if got := daemons[0].take("single", 3*time.Second); got.Outcome != fleet.TokenGranted {
			t.Errorf("got outcome %v with a deadline beyond the refill, want taken", got)
		}
		if got := daemons[0].take("nobody", time.Second); got.Outcome != fleet.UnknownClientAccount {
			t.Errorf("got outcome %v for an unknown account, want unknown", got)
		}
		if _, calls := p.counts(); calls != 0 {
			t.Errorf("got %d calls to peers, want none", calls)
		}
	})
}

// Guards against two sets of owners when daemons race to name the first ones, and
// against treating a write whose answer was lost as failed.
func TestRacingCreation(t *testing.T) {
	t.Parallel()
	for _, lose := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform()
			p.lose = lose
			daemons := start(p, 5)
			defer stopAll(daemons)
			time.Sleep(10 * time.Second)
			if puts, _ := p.counts(); puts != 1 {
				t.Errorf("got %d writes of the owners, want 1", puts)
			}
			owners := &peerpb.Owners{}
			if err := proto.Unmarshal(p.value, owners); err != nil || len(owners.GetNames()) != len(daemons) {
				t.Errorf("got owners %v, %v, want all %d daemons", owners.GetNames(), err, len(daemons))
			}
			for number := range groups {
				sum, granter := shares(daemons, number)
				if sum < 0.999 || sum > 1.001 {
					t.Errorf("group %d: got shares of %v in total, want 1", number, sum)
				}
				for _, d := range daemons {
					if got := d.limiter.Granter(number); got != granter.name {
						t.Errorf("got granter %q at %s, want %q", got, d.name, granter.name)
					}
				}
			}
		})
	}
}

// Guards against a group that stays without a granter after its fault, against
// granting more than the limits meanwhile, and against outcomes that do not tell
// an absent granter from the limit.
func TestFailover(t *testing.T) {
	t.Parallel()
	const takeover = 4 * time.Second
	for _, test := range []struct {
		name  string
		fault func(p *platform, granter *daemon)
		// away says that no granter answers at first.
		away bool
		// least is the part of the limits that is granted afterwards.
		least float64
	}{
		{name: "killed", fault: func(_ *platform, granter *daemon) { granter.kill() }, away: true, least: 0.79},
		{name: "killed while the store is away", fault: func(p *platform, granter *daemon) {
			p.mu.Lock()
			p.away = true
			p.mu.Unlock()
			granter.kill()
		}, away: true, least: 0.79},
		{name: "leaves", fault: func(_ *platform, granter *daemon) {
			granter.limiter.StopGranting()
			granter.kill()
		}, least: 0.79},
		{name: "cut off", fault: func(p *platform, granter *daemon) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.cut = func(from, to string) bool { return from == granter.name || to == granter.name }
		}, away: true, least: 0.79},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform()
				daemons := start(p, 5)
				defer stopAll(daemons)
				time.Sleep(10 * time.Second)
				number := fleet.GroupIndex("club", groups)
				_, granter := shares(daemons, number)
				var rest []*daemon
				for _, d := range daemons {
					if d != granter {
						rest = append(rest, d)
					}
				}
				if got := rest[0].take("club", time.Second); got.Outcome != fleet.TokenGranted {
					t.Fatalf("got outcome %v before the fault, want taken", got)
				}
				test.fault(p, granter)
				if got := rest[0].take("club", 100*time.Millisecond); test.away && got.Outcome != fleet.GranterUnreachable {
					t.Errorf("got outcome %v without a granter, want granter away", got)
				}
				if got := rest[0].take("club", takeover); got.Outcome != fleet.TokenGranted {
					t.Errorf("got outcome %v within %v of the fault, want taken", got, takeover)
				}
				for range 200 {
					if sum, _ := shares(daemons, number); sum > 1.001 {
						t.Fatalf("got shares of %v in total, want at most 1", sum)
					}
					time.Sleep(50 * time.Millisecond)
				}
				if sum, _ := shares(rest, number); sum < test.least {
					t.Errorf("got shares of %v at the others, want at least %v", sum, test.least)
				}
			})
		})
	}
}

// Guards against daemons that have no limits while one direction of the way to the
// granter is cut and another daemon reaches it.
func TestRelay(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		daemons := start(p, 5)
		defer stopAll(daemons)
		time.Sleep(10 * time.Second)
		_, granter := shares(daemons, fleet.GroupIndex("club", groups))
		other := daemons[0]
		if other == granter {
			other = daemons[1]
		}
		p.mu.Lock()
		p.cut = func(from, to string) bool { return from == other.name && to == granter.name }
		p.mu.Unlock()
		time.Sleep(time.Second)
		for range 10 {
			if got := other.take("club", 500*time.Millisecond); got.Outcome != fleet.TokenGranted {
				t.Errorf("got outcome %v, want taken", got)
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// Guards against a retry budget that each daemon has for itself, and against
// repeats that are reported and not counted.
func TestRetryIsPooled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		daemons := start(newPlatform(), 5)
		defer stopAll(daemons)
		time.Sleep(10 * time.Second)
		if !daemons[1].limiter.ReportUsage("Reported", fleet.ServiceUsage{Repeats: 100}) {
			t.Error("got a report that was not counted")
		}
		granted := map[string]int{}
		for _, d := range daemons {
			for range 50 {
				for _, service := range []string{"Booking", "Reported"} {
					if ok, answered := d.limiter.SpendRetry(service, fleet.ServiceUsage{}); ok {
						granted[service]++
					} else if !answered {
						t.Fatal("got no answer about a retry")
					}
				}
			}
		}
		if got := granted["Booking"]; got == 0 || got > 50 {
			t.Errorf("got %d extra attempts at all daemons together, want 1 to 50", got)
		}
		if got := granted["Reported"]; got != 0 {
			t.Errorf("got %d extra attempts after 100 repeats, want none", got)
		}
	})
}

// Guards against answering for groups that do not exist, and frames of another
// kind.
func TestHandleRefuses(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		daemons := start(newPlatform(), 1)
		defer stopAll(daemons)
		for _, frame := range []*peerpb.Frame{
			{},
			{Body: &peerpb.Frame_Probe{Probe: &peerpb.Probe{}}},
			{Body: &peerpb.Frame_TokenRequest{TokenRequest: &peerpb.TokenRequest{Group: groups}}},
			{Body: &peerpb.Frame_Pledge{Pledge: &peerpb.Pledge{Group: 1 << 31}}},
		} {
			if answer, ok := daemons[0].limiter.Handle(context.Background(), "daemon7", frame); ok {
				t.Errorf("got answer %v to %v, want none", answer, frame)
			}
		}
	})
}
