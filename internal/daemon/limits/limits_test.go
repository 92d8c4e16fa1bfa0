package limits

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/lease"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// platform stands in for the store, the members, the entries and the network.
type platform struct {
	mu      sync.Mutex
	daemons map[string]*daemon
	values  map[string][]byte
	version map[string]uint64
	entries map[string]fleet.Entry
	puts    int
	lose    bool
	away    bool
	calls   int
	// cut reports that calls between two daemons fail.
	cut func(from, to string) bool
}

type daemon struct {
	*platform
	member  lease.Member
	limiter *Limiter
	stop    func()
}

func (d *daemon) Call(ctx context.Context, name string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	time.Sleep(500 * time.Microsecond)
	d.mu.Lock()
	d.calls++
	to := d.daemons[name]
	cut := d.cut != nil && (d.cut(d.member.Name, name) || d.cut(name, d.member.Name))
	d.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	if to == nil || cut {
		return nil, false
	}

	return to.limiter.Handle(ctx, d.member.Name, frame)
}

func (p *platform) Get(_ context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.away:
		return fleet.Object{}, fleet.StoreUnavailable
	case p.version[name] == 0:
		return fleet.Object{}, fleet.StoreNotFound
	}

	return fleet.Object{Kind: kind, Name: name, Version: p.version[name], Value: p.values[name]}, fleet.StoreOK
}

func (p *platform) Put(_ context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.away:
		return fleet.StoreUnavailable
	case p.version[object.Name] != condition.Version:
		return fleet.StoreConflict
	}
	p.puts++
	p.values[object.Name] = object.Value
	p.version[object.Name]++
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

func (p *platform) Live() []lease.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []lease.Member
	for _, d := range p.daemons {
		out = append(out, d.member)
	}

	return out
}

func (p *platform) Publish(entry fleet.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry.Newer(p.entries[entry.Key]) {
		p.entries[entry.Key] = entry
	}
}

func (p *platform) Lookup(_ fleet.EntryKind, key string) (fleet.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.entries[key]

	return entry, ok
}

var configuration = &fleet.Configuration{Version: 1, ClientAccounts: fleet.ClientAccountsOf(
	fleet.ClientAccount{Name: "club", Rate: 50, Burst: 100}, fleet.ClientAccount{Name: "single", Rate: 0.5, Burst: 1},
)}

func newPlatform() *platform {
	return &platform{daemons: map[string]*daemon{}, values: map[string][]byte{}, version: map[string]uint64{}, entries: map[string]fleet.Entry{}}
}

// start registers all daemons as members before it starts the first.
func start(p *platform, count int) []*daemon {
	var out []*daemon
	for i := range count {
		d := &daemon{platform: p, member: lease.Member{
			Name: fmt.Sprintf("daemon%d", i), AvailabilityZone: fmt.Sprintf("zone%d", i%3), Incarnation: 1,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7000),
		}}
		p.mu.Lock()
		p.daemons[d.member.Name] = d
		p.mu.Unlock()
		out = append(out, d)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, d := range out {
		d.limiter, d.stop = New(d.member, 4, d, p, p, p, rand.New(rand.NewPCG(uint64(i), 1)))
		d.limiter.Configure(configuration)
	}

	return out
}

func (d *daemon) kill() {
	d.mu.Lock()
	delete(d.daemons, d.member.Name)
	d.mu.Unlock()
	d.stop()
}

func stopAll(daemons []*daemon) {
	for _, d := range daemons {
		d.kill()
	}
}

func (d *daemon) take(account string, wait time.Duration) fleet.Take {
	return d.limiter.Take(context.Background(), account, time.Now().Add(wait))
}

func granterOf(daemons []*daemon, number int) (*daemon, int) {
	var granter *daemon
	count := 0
	for _, d := range daemons {
		if d.limiter.Held(number, time.Now()) {
			granter = d
			count++
		}
	}

	return granter, count
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
			if daemons[0].take("club", time.Millisecond).Outcome == fleet.Taken {
				taken++
			}
		}
		if most := 100 + int(50*time.Since(began).Seconds()); taken < 100 || taken > most {
			t.Errorf("got %d taken in %v, want 100 to %d", taken, time.Since(began), most)
		}
		for _, want := range []fleet.TakeOutcome{fleet.Taken, fleet.OverLimit} {
			if got := daemons[0].take("single", 100*time.Millisecond); got.Outcome != want {
				t.Errorf("got outcome %v for the account with a burst of one, want %v", got, want)
			}
		}
		if got := daemons[0].take("single", 3*time.Second); got.Outcome != fleet.Taken {
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

// Guards against two seats objects when daemons race, and against treating a
// write whose answer was lost as failed.
func TestRacingCreation(t *testing.T) {
	t.Parallel()
	for _, lose := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform()
			p.lose = lose
			daemons := start(p, 5)
			defer stopAll(daemons)
			time.Sleep(10 * time.Second)
			if puts, _ := p.counts(); puts != len(daemons[0].limiter.slots) {
				t.Errorf("got %d writes, want one for each of %d groups", puts, len(daemons[0].limiter.slots))
			}
			for number := range daemons[0].limiter.slots {
				granter, count := granterOf(daemons, number)
				if count != 1 {
					t.Fatalf("got %d holders of group %d, want 1", count, number)
				}
				for _, d := range daemons {
					if got, _ := d.limiter.Holder(number); got != granter.member.Name {
						t.Errorf("got holder %q at %s, want %q", got, d.member.Name, granter.member.Name)
					}
				}
			}
		})
	}
}

// Guards against a group that stays without a granter after its fault, and
// against outcomes that do not tell an absent granter from the limit.
func TestFailover(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		fault func(p *platform, granter *daemon)
		away  bool
		wait  time.Duration
	}{
		{name: "granter killed", fault: func(_ *platform, granter *daemon) { granter.kill() }, away: true, wait: lease.Margin(lease.Duration) + time.Second},
		{name: "granter killed while the store is away", fault: func(p *platform, granter *daemon) {
			p.mu.Lock()
			p.away = true
			p.mu.Unlock()
			granter.kill()
		}, away: true, wait: lease.Margin(lease.Duration) + time.Second},
		{name: "granter leaves", fault: func(_ *platform, granter *daemon) {
			granter.limiter.Stop(context.Background())
			granter.kill()
		}, wait: time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform()
				daemons := start(p, 5)
				defer stopAll(daemons)
				time.Sleep(10 * time.Second)
				number := fleet.Group("club", 4)
				granter, _ := granterOf(daemons, number)
				var other *daemon
				for _, d := range daemons {
					if d != granter {
						other = d
					}
				}
				if got := other.take("club", time.Second); got.Outcome != fleet.Taken {
					t.Fatalf("got outcome %v before the fault, want taken", got)
				}
				test.fault(p, granter)
				time.Sleep(600 * time.Millisecond)
				if got := other.take("club", 100*time.Millisecond); test.away && got.Outcome != fleet.GranterAway {
					t.Errorf("got outcome %v without a granter, want granter away", got)
				}
				if got := other.take("club", test.wait); got.Outcome != fleet.Taken {
					t.Errorf("got outcome %v within %v of the fault, want taken", got, test.wait)
				}
				if _, count := granterOf(daemons, number); count != 1 {
					t.Errorf("got %d holders, want 1", count)
				}
			})
		})
	}
}

// Guards against answering for others: a forged candidate, a group that does
// not exist, a frame of another kind.
func TestHandleRefuses(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		daemons := start(newPlatform(), 1)
		defer stopAll(daemons)
		for _, frame := range []*peerpb.Frame{
			{},
			{Body: &peerpb.Frame_Probe{Probe: &peerpb.Probe{}}},
			{Body: &peerpb.Frame_TokenRequest{TokenRequest: &peerpb.TokenRequest{Group: 4}}},
			{Body: &peerpb.Frame_SeatEpoch{SeatEpoch: &peerpb.SeatEpoch{Group: 1 << 31}}},
			{Body: &peerpb.Frame_PromiseRequest{PromiseRequest: &peerpb.PromiseRequest{Candidate: "daemon0"}}},
		} {
			if answer, ok := daemons[0].limiter.Handle(context.Background(), "daemon7", frame); ok {
				t.Errorf("got answer %v to %v, want none", answer, frame)
			}
		}
	})
}
