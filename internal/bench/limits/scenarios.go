package limits

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
)

// accountLoads returns the loads of eight client accounts of very different rates. Each
// offers the given share of its rate and sends 80% of its requests to one daemon.
func accountLoads(share float64) []Load {
	var out []Load
	for i, l := range []tokens.Limit{
		{Rate: 200, Burst: 400},
		{Rate: 100, Burst: 200},
		{Rate: 50, Burst: 100},
		{Rate: 20, Burst: 40},
		{Rate: 10, Burst: 20},
		{Rate: 10, Burst: 5},
		{Rate: 5, Burst: 1},
		{Rate: 0.5, Burst: 1},
	} {
		out = append(out, Load{Account: fmt.Sprintf("account%0*d", i+1, i), Limit: l, Offered: share * l.Rate, Skew: 0.8})
	}

	return out
}

// withSkewAndDeadline sets the skew and the deadline of all loads and returns them.
func withSkewAndDeadline(loads []Load, skew float64, deadline time.Duration) []Load {
	for i := range loads {
		loads[i].Skew, loads[i].Deadline = skew, deadline
	}

	return loads
}

// withTargetLatency sets the waits of requests with a deadline of 4 s and a target
// latency of 1 s, which wait at most 125 ms while their account is above the limit.
func withTargetLatency(loads []Load) []Load {
	for i := range loads {
		loads[i].Deadline, loads[i].OverLimitWait = 4*time.Second, 125*time.Millisecond
	}

	return loads
}

// oneAccountAboveRate returns the loads of accountLoads, with one account that offers 10
// times its rate.
func oneAccountAboveRate() []Load {
	out := accountLoads(0.9)
	out[2].Offered = 10 * out[2].Limit.Rate

	return out
}

// Scenarios returns the scenarios, without faults and with them, that compare the rate
// limiting of internal/core/pool with an even split of each limit across instances.
func Scenarios() []Scenario {
	kill := func(f *Fleet) {
		if d := f.Granter(); d != nil {
			d.Kill()
		}
	}

	return []Scenario{
		{Name: "steady state, skewed traffic", Daemons: 8, Loads: accountLoads(0.9), Length: 5 * time.Minute},
		{Name: "steady state, at the rate", Daemons: 8, Loads: accountLoads(1), Length: 5 * time.Minute},
		{Name: "steady state, 60 daemons, even traffic", Daemons: 60, Loads: withSkewAndDeadline(accountLoads(0.9), 0, 0), Length: time.Minute},
		{Name: "steady state, 20 ms to wait", Daemons: 8, Loads: withSkewAndDeadline(accountLoads(0.9), 0.8, 20*time.Millisecond), Length: 2 * time.Minute},
		{Name: "one client account at 10x its rate", Daemons: 8, Loads: oneAccountAboveRate(), Length: time.Minute},
		{Name: "store unavailable for an hour", Daemons: 8, Loads: accountLoads(0.9)[2:], Length: 75 * time.Minute, Fault: func(f *Fleet) {
			f.StoreUnavailable = true
			f.After(time.Hour, func() { f.StoreUnavailable = false })
		}},
		{Name: "granter killed", Daemons: 8, Loads: accountLoads(0.9), Length: time.Minute, Fault: kill},
		{Name: "granter of 24 killed, 1 s target", Daemons: 24, Loads: withTargetLatency(accountLoads(0.6)), Length: 20 * time.Second, Fault: kill},
		{Name: "store unavailable and granter killed", Daemons: 8, Loads: accountLoads(0.9), Length: time.Minute, Fault: func(f *Fleet) {
			f.StoreUnavailable = true
			kill(f)
		}},
		{Name: "granter paused past its lease", Daemons: 8, Loads: accountLoads(0.9), Length: time.Minute, Fault: func(f *Fleet) {
			f.Granter().Pause(6 * time.Second)
		}},
		{Name: "granter leaves", Daemons: 8, Loads: accountLoads(0.9), Length: time.Minute, Fault: func(f *Fleet) { f.Granter().Leave() }},
		{Name: "one-way partition from a zone", Daemons: 8, Loads: accountLoads(0.9), Length: time.Minute, Fault: func(f *Fleet) {
			for _, a := range f.Daemons {
				for _, b := range f.Daemons {
					if a.zone == f.Granter().zone && b.zone != a.zone {
						f.Cut[[2]string{a.Name, b.Name}] = true
					}
				}
			}
			f.After(10*time.Second, func() { clear(f.Cut) })
		}},
		{Name: "daemon restarted without state", Daemons: 8, Loads: accountLoads(0.9), Length: time.Minute, Fault: func(f *Fleet) {
			for _, d := range f.Daemons {
				if d != f.Granter() {
					d.Restart()

					return
				}
			}
		}},
		{Name: "granter restarted without state", Daemons: 8, Loads: accountLoads(0.9), Length: time.Minute, Fault: func(f *Fleet) { f.Granter().Restart() }},
		{Name: "all daemons restarted without state", Daemons: 24, Loads: withTargetLatency(accountLoads(0.6)), Length: 20 * time.Second, Fault: func(f *Fleet) {
			for _, d := range f.Daemons {
				d.Kill()
				down := time.Second + time.Duration(f.Random.Int64N(int64(800*time.Millisecond)))
				f.After(down, func() { f.Start(d.number, d.incarnation+1, d.ClockRate) })
			}
		}},
		{Name: "membership changing", Daemons: 8, Loads: accountLoads(0.9), Length: 5 * time.Minute, Fault: func(f *Fleet) {
			for i := range 8 {
				f.After(time.Duration(i)*20*time.Second, func() {
					f.Start(100+i, 1, 1)
					f.RunningDaemon(fmt.Sprintf("daemon%d", i)).Leave()
				})
			}
		}},
	}
}

// Print runs all scenarios with one seed and writes the results as a table. The refused
// columns count conforming requests.
func Print(w io.Writer, seed uint64) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintln(table, "scenario\tconforming\trefused of these\tgranter unreachable\trefused, even split\tmean wait\texcess\tabove the rate: offered\tadmitted")
	for _, s := range Scenarios() {
		if err != nil {
			return err
		}
		r := s.Run(seed)
		_, err = fmt.Fprintf(table, "%s\t%d\t%d (%.3f%%)\t%d\t%d (%.2f%%)\t%v\t%.3f\t%d\t%d\n", s.Name, r.Policy.Conforming,
			r.Policy.RefusedConforming, 100*r.Policy.RefusedRatio(), r.Policy.GranterUnreachable, r.Baseline.RefusedConforming, 100*r.Baseline.RefusedRatio(),
			(r.Policy.TotalWait / time.Duration(max(1, r.Policy.Admitted))).Round(10*time.Microsecond), max(r.Policy.Excess, r.OverLimit.Excess), r.OverLimit.Offered, r.OverLimit.Admitted)
	}
	if err != nil {
		return err
	}

	return table.Flush()
}
