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

// fakePlatform implements the store, the list of members and the clock, and connects
// the daemons of a test.
type fakePlatform struct {
	mu      sync.Mutex
	daemons map[string]*testDaemon
	value   []byte
	version uint64
	puts    int
	calls   int
	// reported is the sum of the requests in all messages for a retry budget that arrived.
	reported int
	// loseAnswers makes successful writes return StoreAmbiguous.
	loseAnswers bool
	// storeUnavailable makes all calls to the store fail.
	storeUnavailable bool
	// isCut reports whether messages from one daemon to another are lost, requests as
	// well as answers. If isCut is nil, no message is lost.
	isCut func(from, to string) bool
}

type testDaemon struct {
	*fakePlatform
	name    string
	limiter *Limiter
	stop    func()
}

func (d *testDaemon) Call(ctx context.Context, name string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	time.Sleep(500 * time.Microsecond)
	d.mu.Lock()
	d.calls++
	to := d.daemons[name]
	requestCut, answerCut := d.isCut != nil && d.isCut(d.name, name), d.isCut != nil && d.isCut(name, d.name)
	d.mu.Unlock()
	if requestCut {
		<-ctx.Done()
	}
	if to == nil || requestCut {
		return nil, false
	}
	delivered := frame
	if relay := frame.GetRelay(); relay.GetAsker() != "" {
		delivered = relay.GetFrame()
	}
	d.mu.Lock()
	d.reported += int(delivered.GetRetryRequest().GetRequests())
	d.mu.Unlock()
	answer, ok := to.limiter.Handle(ctx, d.name, frame)
	if answerCut {
		<-ctx.Done()

		return nil, false
	}

	return answer, ok
}

func (p *fakePlatform) Get(_ context.Context, kind, name string) (fleet.Object, fleet.StoreOutcome) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.storeUnavailable:
		return fleet.Object{}, fleet.StoreUnavailable
	case p.version == 0:
		return fleet.Object{}, fleet.StoreNotFound
	}

	return fleet.Object{Kind: kind, Name: name, Version: p.version, Value: p.value}, fleet.StoreOK
}

func (p *fakePlatform) Put(_ context.Context, object fleet.Object, condition fleet.Condition) fleet.StoreOutcome {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.storeUnavailable:
		return fleet.StoreUnavailable
	case p.version != condition.Version:
		return fleet.StoreConflict
	}
	p.puts++
	p.value = object.Value
	p.version++
	if p.loseAnswers {
		return fleet.StoreAmbiguous
	}

	return fleet.StoreOK
}

func (p *fakePlatform) putsAndCalls() (puts, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.puts, p.calls
}

func (p *fakePlatform) Live() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name := range p.daemons {
		names = append(names, name)
	}

	return names
}

// Now implements Clock.
func (p *fakePlatform) Now() time.Time { return time.Now() }

const groupCount = 2

var configuration = &fleet.Configuration{Version: 1, ClientAccounts: fleet.IndexClientAccounts(
	fleet.ClientAccount{Name: "club", Rate: 50, Burst: 100}, fleet.ClientAccount{Name: "single", Rate: 0.5, Burst: 1},
)}

func newFakePlatform() *fakePlatform { return &fakePlatform{daemons: map[string]*testDaemon{}} }

// startDaemons starts daemons after it has registered all of them as members.
func startDaemons(p *fakePlatform, count int) []*testDaemon {
	var out []*testDaemon
	for i := range count {
		d := &testDaemon{fakePlatform: p, name: fmt.Sprintf("daemon%d", i)}
		p.mu.Lock()
		p.daemons[d.name] = d
		p.mu.Unlock()
		out = append(out, d)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, d := range out {
		d.limiter, d.stop = New(Dependencies{
			Self: pool.Daemon{Name: d.name, Incarnation: 1}, Groups: groupCount, Peers: d, Store: p, Members: p, Clock: p,
			RetryBudget: pool.RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
			Random:      rand.New(rand.NewPCG(uint64(i), 1)), Log: slog.New(slog.DiscardHandler),
		})
		d.limiter.Configure(configuration)
	}

	return out
}

// kill stops a daemon at once and removes it from the members.
func (d *testDaemon) kill() {
	d.mu.Lock()
	delete(d.daemons, d.name)
	d.mu.Unlock()
	d.stop()
}

func stopAll(daemons []*testDaemon) {
	for _, d := range daemons {
		d.kill()
	}
}

func (d *testDaemon) take(account string, wait time.Duration) fleet.TokenResult {
	return d.limiter.Take(context.Background(), fleet.TokenDemand{ClientAccount: account, Deadline: time.Now().Add(wait)})
}

// grantedShares returns the sum of the parts of a group's limits that the daemons may
// grant, and the daemon with the largest part.
func grantedShares(daemons []*testDaemon, number int) (sum float64, granter *testDaemon) {
	largest := 0.0
	for _, d := range daemons {
		share := d.limiter.Shares()[number]
		sum += share
		if share > largest {
			largest, granter = share, d
		}
	}

	return sum, granter
}

// Guards against a single daemon that needs a peer to grant tokens, against exceeding
// the limits, and against refusals with the wrong outcome.
func TestFleetOfOne(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		daemons := startDaemons(p, 1)
		defer stopAll(daemons)
		time.Sleep(10 * time.Second)
		taken, startedAt := 0, time.Now()
		for range 500 {
			if daemons[0].take("club", time.Millisecond).Outcome == fleet.TokenGranted {
				taken++
			}
		}
		if most := 100 + int(50*time.Since(startedAt).Seconds()); taken < 100 || taken > most {
			t.Errorf("got %d taken in %v, want 100 to %d", taken, time.Since(startedAt), most)
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
		if _, calls := p.putsAndCalls(); calls != 0 {
			t.Errorf("got %d calls to peers, want none", calls)
		}
	})
}

// Guards against two sets of owners when several daemons write the initial ones at the
// same time, and against treating a write whose answer was lost as failed.
func TestRacingCreation(t *testing.T) {
	t.Parallel()
	for _, loseAnswers := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newFakePlatform()
			p.loseAnswers = loseAnswers
			daemons := startDaemons(p, 5)
			defer stopAll(daemons)
			time.Sleep(10 * time.Second)
			if puts, _ := p.putsAndCalls(); puts != 1 {
				t.Errorf("got %d writes of the owners, want 1", puts)
			}
			owners := &peerpb.Owners{}
			if err := proto.Unmarshal(p.value, owners); err != nil || len(owners.GetNames()) != len(daemons) {
				t.Errorf("got owners %v, %v, want all %d daemons", owners.GetNames(), err, len(daemons))
			}
			for number := range groupCount {
				sum, granter := grantedShares(daemons, number)
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

// Guards against a group that gets no new granter after its granter fails or leaves,
// against granting more than the limits during the change, and against reporting an
// unreachable granter as an exceeded limit.
func TestFailover(t *testing.T) {
	t.Parallel()
	const failoverTime = 4 * time.Second
	for _, test := range []struct {
		name  string
		fault func(p *fakePlatform, granter *testDaemon)
		// unreachable means that no granter answers directly after the fault.
		unreachable bool
		// minShare is the least part of the limits that the other daemons may grant
		// after the change.
		minShare float64
	}{
		{name: "killed", fault: func(_ *fakePlatform, granter *testDaemon) { granter.kill() }, unreachable: true, minShare: 0.79},
		{name: "killed while the store is unavailable", fault: func(p *fakePlatform, granter *testDaemon) {
			p.mu.Lock()
			p.storeUnavailable = true
			p.mu.Unlock()
			granter.kill()
		}, unreachable: true, minShare: 0.79},
		{name: "leaves", fault: func(_ *fakePlatform, granter *testDaemon) {
			granter.limiter.StopGranting()
			granter.kill()
		}, minShare: 0.79},
		{name: "cut off", fault: func(p *fakePlatform, granter *testDaemon) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.isCut = func(from, to string) bool { return from == granter.name || to == granter.name }
		}, unreachable: true, minShare: 0.79},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newFakePlatform()
				daemons := startDaemons(p, 5)
				defer stopAll(daemons)
				time.Sleep(10 * time.Second)
				number := fleet.GroupIndex("club", groupCount)
				_, granter := grantedShares(daemons, number)
				var others []*testDaemon
				for _, d := range daemons {
					if d != granter {
						others = append(others, d)
					}
				}
				if got := others[0].take("club", time.Second); got.Outcome != fleet.TokenGranted {
					t.Fatalf("got outcome %v before the fault, want taken", got)
				}
				test.fault(p, granter)
				if got := others[0].take("club", 100*time.Millisecond); test.unreachable && got.Outcome != fleet.GranterUnreachable {
					t.Errorf("got outcome %v without a granter, want granter unreachable", got)
				}
				if got := others[0].take("club", failoverTime); got.Outcome != fleet.TokenGranted {
					t.Errorf("got outcome %v within %v of the fault, want taken", got, failoverTime)
				}
				for range 200 {
					if sum, _ := grantedShares(daemons, number); sum > 1.001 {
						t.Fatalf("got shares of %v in total, want at most 1", sum)
					}
					time.Sleep(50 * time.Millisecond)
				}
				if sum, _ := grantedShares(others, number); sum < test.minShare {
					t.Errorf("got shares of %v at the others, want at least %v", sum, test.minShare)
				}
			})
		})
	}
}

// Guards against a daemon that gets no tokens while its messages to the granter are
// lost, although another daemon can relay them.
func TestRelay(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		daemons := startDaemons(p, 5)
		defer stopAll(daemons)
		time.Sleep(10 * time.Second)
		_, granter := grantedShares(daemons, fleet.GroupIndex("club", groupCount))
		other := daemons[0]
		if other == granter {
			other = daemons[1]
		}
		p.mu.Lock()
		p.isCut = func(from, to string) bool { return from == other.name && to == granter.name }
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

// Guards against a separate retry budget at each daemon, and against not counting
// reported repeats.
func TestRetryIsPooled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		daemons := startDaemons(newFakePlatform(), 5)
		defer stopAll(daemons)
		time.Sleep(10 * time.Second)
		if got := daemons[1].limiter.ReportUsage("Reported", fleet.ServiceUsage{Repeats: 100}); got != (fleet.ServiceUsage{}) {
			t.Errorf("got %+v that was not counted, want none", got)
		}
		granted := map[string]int{}
		for _, d := range daemons {
			for range 50 {
				for _, service := range []string{"Booking", "Reported"} {
					if ok, _ := d.limiter.SpendRetry(service, fleet.ServiceUsage{}); ok {
						granted[service]++
					}
					if got := d.limiter.ReportUsage("Other", fleet.ServiceUsage{Requests: 1}); got != (fleet.ServiceUsage{}) {
						t.Fatalf("got %+v that was not counted, want none", got)
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

// Guards against requests that raise the retry budget twice: the granter counted them and
// its answer was lost, or they reached it both directly and through relays.
func TestRetryCountsRequestsOnce(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		// isCut decides on a message from the granter.
		isCut func(to, asker string) bool
		// wantAll means that all requests must be counted.
		wantAll bool
	}{
		{"no answer of the granter", func(string, string) bool { return true }, false},
		{"no direct answer of the granter", func(to, asker string) bool { return to == asker }, true},
		{"no cut", func(string, string) bool { return false }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const requests = 50
				p := newFakePlatform()
				daemons := startDaemons(p, 6)
				defer stopAll(daemons)
				time.Sleep(10 * time.Second)
				_, granter := grantedShares(daemons, 0)
				asker := daemons[0]
				if asker == granter {
					asker = daemons[1]
				}
				p.mu.Lock()
				p.isCut = func(from, to string) bool { return from == granter.name && tt.isCut(to, asker.name) }
				p.mu.Unlock()
				uncounted := fleet.ServiceUsage{Requests: requests}
				for range 10 {
					uncounted = asker.limiter.ReportUsage("Booking", uncounted)
					time.Sleep(time.Second)
				}
				p.mu.Lock()
				defer p.mu.Unlock()
				if p.reported > requests || tt.wantAll && p.reported < requests {
					t.Errorf("got %d requests counted, want at most %d, all of them: %v", p.reported, requests, tt.wantAll)
				}
			})
		})
	}
}

// Guards against answering requests for groups that do not exist, and frames of other
// types.
func TestHandleRefuses(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		daemons := startDaemons(newFakePlatform(), 1)
		defer stopAll(daemons)
		for _, frame := range []*peerpb.Frame{
			{},
			{Body: &peerpb.Frame_Probe{Probe: &peerpb.Probe{}}},
			{Body: &peerpb.Frame_TokenRequest{TokenRequest: &peerpb.TokenRequest{Group: groupCount}}},
			{Body: &peerpb.Frame_Pledge{Pledge: &peerpb.Pledge{Group: 1 << 31}}},
		} {
			if answer, ok := daemons[0].limiter.Handle(context.Background(), "daemon7", frame); ok {
				t.Errorf("got answer %v to %v, want none", answer, frame)
			}
		}
	})
}
