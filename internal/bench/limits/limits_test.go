package limits

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260117", "rapid.checks": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against refusals inside the rate in the steady state and in a store
// outage, against admissions beyond rate × t + burst in any scenario, and
// against a fleet that does worse than an even split.
func TestScenarios(t *testing.T) {
	t.Parallel()
	refusesNone := map[string]bool{
		"steady state, skewed traffic": true, "steady state, at the rate": true, "steady state, 60 daemons, even traffic": true, "steady state, 20 ms to wait": true, "one client account at 10x its rate": true,
		"store unavailable for an hour": true, "daemon restarted without state": true,
	}
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			got := s.Run(1)
			if refusesNone[s.Name] && got.Policy.RefusedConforming > 0 {
				t.Errorf("got %d of %d requests refused inside the rate, want none", got.Policy.RefusedConforming, got.Policy.Conforming)
			}
			if got.Policy.RefusedConforming >= got.Baseline.RefusedConforming {
				t.Errorf("got %d requests refused inside the rate, want fewer than the %d of an even split", got.Policy.RefusedConforming, got.Baseline.RefusedConforming)
			}
			if excess := max(got.Policy.Excess, got.OverLimit.Excess); excess > 1e-6 {
				t.Errorf("got %v tokens above rate × t + burst, want none", excess)
			}
			if over := got.OverLimit; over.Conforming > 0 && over.Admitted < over.Conforming {
				t.Errorf("got %d admitted above the rate, want at least the %d inside it", over.Admitted, over.Conforming)
			}
		})
	}
}

var testLimits = tokens.LimitMap{
	"large": {Rate: 300, Burst: 320}, "medium": {Rate: 40, Burst: 10}, "single": {Rate: 20, Burst: 1}, "rare": {Rate: 0.5, Burst: 1},
}

// startBurstyTraffic sends the fleet traffic that makes daemons obtain more tokens than
// they need. In each cycle an account sends requests for up to 0.3 s, so that daemons
// expect demand and fetch tokens in advance, then none for up to 0.7 s, so that
// some of these tokens are still valid, and then three times its burst at once.
func startBurstyTraffic(f *Fleet, admissions map[string][]time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(f.limits)) {
		burst := int(f.limits[name].Burst)
		send := func(count int) {
			for range count {
				d := f.Daemons[f.Random.IntN(len(f.Daemons))]
				deadline := time.Duration(f.Random.Int64N(int64(time.Second)))
				d.runOrDefer(func() {
					d.Take(name, deadline, time.Duration(f.Random.Int64N(int64(deadline)+1)), func(result fleet.TokenResult) {
						if result.Outcome == fleet.TokenGranted {
							admissions[name] = append(admissions[name], f.Now)
						}
					})
				})
			}
		}
		var cycle func()
		cycle = func() {
			busy := time.Duration(f.Random.IntN(4)) * 100 * time.Millisecond
			for at := time.Duration(0); at < busy; at += 20 * time.Millisecond {
				f.After(at, func() { send(f.Random.IntN(burst/4 + 2)) })
			}
			flood := busy + time.Duration(f.Random.Int64N(int64(700*time.Millisecond)))
			f.After(flood, func() { send(3 * burst) })
			f.After(flood+time.Duration(f.Random.Int64N(int64(time.Second))), cycle)
		}
		f.After(0, cycle)
	}
}

// Guards against more than rate × t + burst admissions in any window, over all
// holders and granters, under any mix of faults. The rate is measured by the fastest
// clock among the daemons, since a granter refills its buckets by its own clock.
func TestBound(t *testing.T) {
	t.Parallel()
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		limits := tokens.LimitMap{}
		for _, name := range []string{"large", "medium", "single", "rare"} {
			limits[name] = testLimits[name]
		}
		f := NewFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "daemons"), limits)
		fastest := 0.0
		for _, d := range f.Daemons {
			d.ClockRate = rapid.SampledFrom([]float64{0.95, 1, 1.05}).Draw(t, "clock rate")
			fastest = max(fastest, d.ClockRate)
		}
		f.Run(8 * time.Second)
		f.Loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.3}).Draw(t, "loss")
		f.Duplicates = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicates")
		f.Slow = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "slow")
		admissions := map[string][]time.Duration{}
		startBurstyTraffic(f, admissions)
		lastNumber := 100
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			f.Run(f.Now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "wait"))*time.Millisecond)
			d, other := f.Daemons[rapid.IntRange(0, len(f.Daemons)-1).Draw(t, "daemon")], f.Daemons[rapid.IntRange(0, len(f.Daemons)-1).Draw(t, "other")]
			if granter := f.Granter(); granter != nil && rapid.Bool().Draw(t, "granter") {
				d = granter
			}
			if d.Dead {
				continue
			}
			switch rapid.IntRange(0, 8).Draw(t, "fault") {
			case 0, 1:
				d.Pause(time.Duration(rapid.IntRange(1, 7000).Draw(t, "pause")) * time.Millisecond)
			case 2:
				d.Restart()
			case 3:
				d.Kill()
				lastNumber++
				f.Start(lastNumber, 1, d.ClockRate)
			case 4:
				lastNumber++
				f.Start(lastNumber, 1, d.ClockRate)
				d.Leave()
				if rapid.Bool().Draw(t, "returns") {
					f.After(time.Second+time.Duration(f.Random.Int64N(int64(time.Second))), func() {
						if f.RunningDaemon(d.Name) == nil {
							f.Start(d.number, d.incarnation+1, d.ClockRate)
						}
					})
				}
			case 5:
				f.Cut[[2]string{d.Name, other.Name}] = true
			case 6:
				clear(f.Cut)
				f.StoreUnavailable = !f.StoreUnavailable
			case 7:
				changedLimits := tokens.LimitMap{}
				for _, name := range slices.Sorted(maps.Keys(testLimits)) {
					limit := testLimits[name]
					if rapid.IntRange(0, 3).Draw(t, "lower") > 0 {
						limit = tokens.Limit{Rate: limit.Rate / 3, Burst: max(1, limit.Burst/5)}
					}
					changedLimits[name] = limit
				}
				if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
					delete(changedLimits, "medium")
				}
				f.Configure(changedLimits)
			case 8:
				for _, one := range slices.Clone(f.Daemons) {
					if !one.Dead {
						one.Restart()
					}
				}
			}
		}
		f.Run(f.Now + 5*time.Second)
		for name, limit := range testLimits {
			admitted += len(admissions[name])
			limit.Rate *= fastest
			if got := Excess(limit, admissions[name]); got > 1e-5 {
				t.Errorf("account %s: got %v tokens above rate × t + burst, want none", name, got)
			}
		}
	})
	if admitted < 10_000 {
		t.Errorf("got %d admissions over all cases, want at least 10,000 to make the property count", admitted)
	}
}

// Guards against a fleet that has no granter 2 s after a restart of all its daemons, and
// against daemons that start later, prefer another granter and so replace the first one,
// whose buckets are lost.
func TestRestartOfAll(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		f := NewFleet(seed, 24, testLimits)
		f.Run(warmUp)
		started := f.Now
		for _, d := range slices.Clone(f.Daemons) {
			d.Kill()
			after := time.Duration(f.Random.Int64N(int64(time.Second)))
			started = max(started, f.Now+after)
			f.After(after, func() { f.Start(d.number, d.incarnation+1, 1) })
		}
		f.Run(started + 2*time.Second)
		first := f.Granter()
		if first == nil {
			t.Errorf("seed %d: got no granter 2 s after the last daemon started", seed)

			continue
		}
		for range 100 {
			f.Run(f.Now + 100*time.Millisecond)
			if got := f.Granter(); got != first {
				t.Errorf("seed %d: got another granter %v after the last start, want %s to stay", seed, f.Now-started, first.Name)

				break
			}
		}
		if got := first.Pool.Share(first.Clock()); got < 1-1e-9 {
			t.Errorf("seed %d: got a share of %v in the end, want all", seed, got)
		}
	}
}
