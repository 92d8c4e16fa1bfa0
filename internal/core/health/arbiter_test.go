package health

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// TestMain fixes the seed of the generated cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "2718")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

var testService = fleet.Service{Name: "Calendar", Floor: fleet.Floor{Percent: 60}, DetectionThreshold: 8}

// bench drives one arbiter with reports of upstreams that each get the same
// traffic of three client accounts.
type bench struct {
	arbiter   *Arbiter
	now       time.Time
	random    *rand.Rand
	upstreams []Upstream
	// results returns the result of one request at one upstream.
	results func(upstream int, account string) fleet.Observation
	// ejections counts the ejections by upstream.
	ejections map[string]int
}

func newBench(upstreams int) *bench {
	b := &bench{
		arbiter: NewArbiter("a", testService, nil, start), now: start,
		random: rand.New(rand.NewPCG(1, 2)), ejections: map[string]int{},
	}
	for i := range upstreams {
		b.upstreams = append(b.upstreams, Upstream{
			Name: fmt.Sprint("u", i), Slots: 3, State: fleet.Ready, Alive: true,
			Daemon: fmt.Sprint("d", i), AvailabilityZone: fmt.Sprint("z", i%4),
		})
	}
	b.results = func(int, string) fleet.Observation { return answered(200, 25*time.Millisecond) }
	b.run(EjectionTTL + spreadAllowance)

	return b
}

func answered(status int, served time.Duration) fleet.Observation {
	return fleet.Observation{State: fleet.Ready, Status: status, Served: served}
}

func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(ReportInterval)
		c := NewCollector()
		for i, u := range b.upstreams {
			requests := 15
			if r := b.arbiter.records[u.Name]; r != nil && r.ejection.State != None {
				requests = 2 * int(r.ejection.State-1)
			}
			for range requests {
				account := []string{"x", "x", "y", "z"}[b.random.IntN(4)]
				o := b.results(i, account)
				o.Service, o.Upstream, o.ClientAccount, o.Route = testService.Name, u.Name, account, "r"
				o.Served = time.Duration(float64(o.Served) * (0.6 + 0.8*b.random.Float64()))
				c.Add(o)
			}
		}
		for _, counts := range c.Take() {
			b.arbiter.Report(counts, b.now)
		}
		for _, d := range b.arbiter.Decide(b.upstreams, b.now, b.random) {
			if d.Action == ActionEject {
				b.ejections[d.Upstream]++
			}
		}
	}
}

func TestEvidence(t *testing.T) {
	t.Parallel()
	// Guards against ejection for reasons other than a failing upstream, and
	// against gray failures that stay in service.
	byUpstreams := func(faulty int, o fleet.Observation) func(int, string) fleet.Observation {
		return func(i int, _ string) fleet.Observation {
			if i < faulty {
				return o
			}

			return answered(200, 25*time.Millisecond)
		}
	}
	only := func(o fleet.Observation) func(int, string) fleet.Observation { return byUpstreams(1, o) }
	slow := func(factor float64) func(int, string) fleet.Observation {
		return only(answered(200, time.Duration(factor*float64(25*time.Millisecond))))
	}
	everywhere := func(o fleet.Observation) func(int, string) fleet.Observation {
		return func(int, string) fleet.Observation { return o }
	}
	byAccount := func(status int, upstreams int) func(int, string) fleet.Observation {
		return func(i int, account string) fleet.Observation {
			if account == "x" && i < upstreams {
				return answered(status, 25*time.Millisecond)
			}

			return answered(200, 25*time.Millisecond)
		}
	}
	ready := fleet.Observation{State: fleet.Ready, Status: 200, Served: 25 * time.Millisecond}
	with := func(change func(*fleet.Observation)) fleet.Observation {
		o := ready
		change(&o)

		return o
	}
	tests := []struct {
		name    string
		results func(int, string) fleet.Observation
		// faulty is the number of upstreams, from u0 on, to be ejected.
		faulty int
	}{
		{"healthy", everywhere(ready), 0},
		{"slow 3×", slow(3), 1},
		{"slow 10×", slow(10), 1},
		{"slightly slow", slow(1.3), 0},
		{"truncated", only(with(func(o *fleet.Observation) { o.Truncated = true })), 1},
		{"server errors", only(answered(500, time.Millisecond)), 1},
		{"no answer", only(fleet.Observation{State: fleet.Ready, Result: fleet.CallFailed}), 1},
		{"half of the service failing", byUpstreams(3, answered(500, time.Millisecond)), 3},
		{"half of the service slow", byUpstreams(3, answered(200, 250*time.Millisecond)), 3},
		{"client errors", only(answered(404, time.Millisecond)), 0},
		{"shed", only(fleet.Observation{State: fleet.Ready, Result: fleet.CallShed}), 0},
		{"cold start", only(with(func(o *fleet.Observation) {
			o.State, o.Status, o.Served = fleet.Warming, 500, time.Second
		})), 0},
		{"shedding", only(with(func(o *fleet.Observation) { o.State, o.Served = fleet.Shedding, time.Second })), 0},
		{"draining", only(with(func(o *fleet.Observation) { o.State, o.Result = fleet.Draining, fleet.CallFailed })), 0},
		{"service-wide slowdown", everywhere(answered(200, 250*time.Millisecond)), 0},
		{"service-wide failure", everywhere(answered(500, time.Millisecond)), 0},
		{"one client account's 5xx everywhere", byAccount(500, 8), 0},
		{"one client account's 5xx at one upstream", byAccount(500, 1), 0},
		{"one client account's 4xx at one upstream", byAccount(400, 1), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(6)
			b.arbiter.service.Floor = fleet.Floor{Slots: 9}
			b.results = tt.results
			b.run(30 * time.Second)
			for i, u := range b.upstreams {
				if got, want := b.ejections[u.Name] > 0, i < tt.faulty; got != want {
					t.Errorf("%s ejected: got %v, want %v", u.Name, got, want)
				}
			}
		})
	}
}

func TestWorstFirst(t *testing.T) {
	t.Parallel()
	// Guards against spending the floor's margin on the lesser faults: of five
	// suspects the floor of 60% lets three go.
	b := newBench(8)
	b.results = func(i int, _ string) fleet.Observation {
		served := 25 * time.Millisecond
		if i >= 3 && i <= 5 {
			served *= 3
		}
		failing := i < 3 && b.random.IntN(10) < 9
		if failing {
			return answered(503, served)
		}

		return answered(200, served)
	}
	b.arbiter.holdUntil = b.now.Add(3 * time.Second)
	b.run(4 * time.Second)
	for i := range 8 {
		got := b.ejections[fmt.Sprint("u", i)] > 0
		if want := i < 3; got != want {
			t.Errorf("u%d ejected: got %v, want %v", i, got, want)
		}
	}
}

func TestBackoffAndMemory(t *testing.T) {
	t.Parallel()
	// Guards against a flapping upstream that returns at the same pace for ever,
	// and against one that is punished for ever.
	b := newBench(8)
	faulty := true
	b.results = func(i int, _ string) fleet.Observation {
		if i == 0 && faulty {
			return answered(500, time.Millisecond)
		}

		return answered(200, 25*time.Millisecond)
	}
	b.run(10 * time.Minute)
	r := b.arbiter.records["u0"]
	// 5 s × (2^n − 1) is the time until ejection n+1 at the earliest.
	if got := b.ejections["u0"]; got < 6 || got > 7 {
		t.Errorf("ejections in 10 min: got %d, want 6 or 7", got)
	}
	if backoff := r.ejection.Until.Sub(r.since); r.ejection.State == Ejected && backoff > MaxBackoff {
		t.Errorf("backoff: got %v, want at most %v", backoff, MaxBackoff)
	}
	faulty = false
	b.run(MaxBackoff + maxProbation)
	if got := r.ejection.State; got != None {
		t.Fatalf("state after recovery: got %v, want None", got)
	}
	level := r.ejection.Level
	b.run(memoryStep + time.Second)
	if got, want := r.ejection.Level, level-1; got != want {
		t.Errorf("remembered ejections: got %d, want %d", got, want)
	}
}

func TestDrainLiftsLeastSuspect(t *testing.T) {
	t.Parallel()
	// Guards R1 when draining and failed instances take capacity after an
	// ejection: the lesser fault returns, the worse one stays out.
	for _, leave := range []func(*Upstream){
		func(u *Upstream) { u.State = fleet.Draining },
		func(u *Upstream) { u.Alive = false },
	} {
		b := newBench(8)
		b.results = func(i int, _ string) fleet.Observation {
			if i == 0 {
				return answered(500, 25*time.Millisecond)
			}
			if i == 1 {
				return answered(200, 75*time.Millisecond)
			}

			return answered(200, 25*time.Millisecond)
		}
		b.run(3 * time.Second)
		leave(&b.upstreams[7])
		leave(&b.upstreams[6])
		b.run(ReportInterval)
		got := []State{b.arbiter.records["u0"].ejection.State, b.arbiter.records["u1"].ejection.State}
		if want := []State{Ejected, None}; got[0] != want[0] || got[1] != want[1] {
			t.Errorf("states of worse and lesser fault: got %v, want %v", got, want)
		}
	}
}

func TestPaths(t *testing.T) {
	t.Parallel()
	// Guards against ejection for a one-way partition, and against an
	// unreachable upstream that stays in service.
	tests := []struct {
		name   string
		zones  int
		cut    []int
		silent bool
		want   bool
	}{
		{"one of four", 4, []int{0}, false, false},
		{"two of four", 4, []int{0, 1}, false, false},
		{"three of four", 4, []int{0, 1, 2}, false, true},
		{"one of three", 3, []int{2}, false, false},
		{"two of three", 3, []int{1, 2}, false, true},
		{"one of four, silent", 4, []int{0}, true, false},
		{"two of four, silent, reached by two", 4, []int{0, 1}, true, false},
		{"all of four, silent", 4, []int{0, 1, 2, 3}, true, true},
		{"single availability zone", 1, []int{0}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := paths{}
			for i := range tt.zones {
				p.add(Reporter{fmt.Sprint("d", i), fmt.Sprint("z", i)}, PathCounts{Reached: 1}, start)
			}
			for _, i := range tt.cut {
				p.add(Reporter{fmt.Sprint("d", i), fmt.Sprint("z", i)}, PathCounts{Unreached: 3}, start)
			}
			if got := p.unreachable(tt.zones, tt.silent, start); got != tt.want {
				t.Errorf("unreachable: got %v, want %v", got, tt.want)
			}
			if p.unreachable(tt.zones, tt.silent, start.Add(pathMemory+1)) {
				t.Error("unreachable after the ingresses fell silent: got true, want false")
			}
		})
	}
}

func TestCollectorBounds(t *testing.T) {
	t.Parallel()
	// Guards the size of reports against any number of client accounts and
	// routes, and the totals against the cut.
	c := NewCollector()
	for i := range 1000 {
		o := answered(500, time.Millisecond)
		o.Truncated = i%2 == 0
		o.ClientAccount, o.Route = fmt.Sprint("c", i), fmt.Sprint("r", i)
		c.Add(o)
	}
	got := c.Take()[0]
	failures := 0
	for _, a := range got.Accounts {
		failures += a.Failures
	}
	if got.Requests != 1000 || got.Failures != 1000 || got.Truncated != 500 || failures != 1000 {
		t.Errorf("counts: got %d, %d, %d, %d", got.Requests, got.Failures, got.Truncated, failures)
	}
	if len(got.Accounts) > maxAccounts+1 || len(got.Routes) > maxRoutes {
		t.Errorf("report: got %d client accounts and %d routes", len(got.Accounts), len(got.Routes))
	}
	c.Add(answered(404, time.Millisecond))
	if len(c.Take()) != 0 {
		t.Error("report after a client error: got evidence, want none")
	}
}

// view is one daemon's copy of the published ejections.
type view map[string]time.Time

// TestFloorProperty guards R1: whatever the evidence, drains, deaths,
// takeovers and lost messages, the ejections that any daemon holds valid, all
// taken together, leave the floor whenever one is made, and otherwise cross it
// for at most the TTL after other capacity left.
func TestFloorProperty(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(rapid.IntRange(3, 8).Draw(t, "upstreams"))
		floor := fleet.Floor{Percent: rapid.IntRange(1, 100).Draw(t, "percent")}
		service := testService
		service.Floor = floor
		now := start
		random := rand.New(rand.NewPCG(3, 4))
		views := []view{{}, {}, {}}
		arbiter := NewArbiter("a0", service, nil, now)
		lostCapacity := now.Add(-time.Hour)
		for step := range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(ReportInterval)
			i := rapid.IntRange(0, len(b.upstreams)-1).Draw(t, "upstream")
			u := &b.upstreams[i]
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				u.State = fleet.UpstreamState(rapid.IntRange(0, 3).Draw(t, "state"))
				lostCapacity = now
			case 1:
				u.Alive = !u.Alive
				lostCapacity = now
			case 2:
				from := rapid.IntRange(0, 2).Draw(t, "successor")
				arbiter = NewArbiter(fmt.Sprint("a", step), service, known(views[from], now), now)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Second)
			default:
				arbiter.Report(Counts{Upstream: u.Name, Requests: 40, Failures: rapid.IntRange(0, 40).Draw(t, "failures")}, now)
			}
			ejected := false
			for _, d := range arbiter.Decide(b.upstreams, now, random) {
				ejected = ejected || d.Action == ActionEject
				for n, v := range views {
					if rapid.IntRange(0, 3).Draw(t, "lost") == 0 && n > 0 {
						continue
					}
					delete(v, d.Upstream)
					if d.State == Ejected {
						v[d.Upstream] = now.Add(EjectionTTL)
					}
				}
			}
			if ejected {
				lostCapacity = now.Add(-time.Hour)
			}
			checkFloor(t, b.upstreams, floor, views, now, lostCapacity)
		}
	})
}

func known(v view, now time.Time) (all []Ejection) {
	for name, until := range v {
		if now.Before(until) {
			all = append(all, Ejection{Upstream: name, State: Ejected, Until: until, Level: 1})
		}
	}

	return all
}

func checkFloor(t *rapid.T, upstreams []Upstream, floor fleet.Floor, views []view, now, lost time.Time) {
	required := RequiredSlots(floor, upstreams)
	without := HealthySlots(upstreams, func(string) bool { return false })
	with := HealthySlots(upstreams, func(name string) bool {
		for _, v := range views {
			if now.Before(v[name]) {
				return true
			}
		}

		return false
	})
	if with < without && with < required && now.Sub(lost) > EjectionTTL {
		t.Fatalf("healthy capacity: got %d of %d, want at least %d", with, without, required)
	}
}
