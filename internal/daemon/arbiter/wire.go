package arbiter

import (
	"fmt"
	"math"

	"github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// maxCount bounds the counts of one report; it is far above the requests of
// one upstream per interval and keeps sums from overflowing.
const maxCount = 1 << 20

func formatEvidence(m message) *peerpb.Evidence {
	evidence := &peerpb.Evidence{AvailabilityZone: m.from.AvailabilityZone}
	for _, c := range m.counts {
		u := &peerpb.UpstreamEvidence{
			Service: c.Service, Upstream: c.Upstream, Requests: count(c.Requests), Failures: count(c.Failures),
			Truncated: count(c.Truncated), Shed: count(c.Shed), Callers: count(c.Callers), SoleCaller: c.SoleCaller,
		}
		for _, a := range c.Accounts {
			u.Accounts = append(u.Accounts, &peerpb.AccountEvidence{
				Account: a.Account, Requests: count(a.Requests), Failures: count(a.Failures),
			})
		}
		for _, r := range c.Routes {
			u.Routes = append(u.Routes, &peerpb.RouteEvidence{
				Route: r.Route, Count: count(r.Count), Sum: float32(r.Sum), SumSquares: float32(r.SumSquares),
			})
		}
		evidence.Upstreams = append(evidence.Upstreams, u)
	}
	for _, p := range m.paths {
		evidence.Paths = append(evidence.Paths, &peerpb.PathEvidence{
			Service: p.Service, Upstream: p.Upstream, Reached: count(p.Reached), Unreached: count(p.Unreached),
		})
	}

	return evidence
}

func count(n int) uint32 {
	return uint32(min(max(n, 0), maxCount)) //nolint:gosec // bounded
}

// parseEvidence checks that counts are consistent, because a sum over
// inconsistent ones could pass for evidence.
func parseEvidence(from string, evidence *peerpb.Evidence) (message, error) {
	m := message{from: health.Reporter{Daemon: from, AvailabilityZone: evidence.GetAvailabilityZone()}}
	for _, u := range evidence.GetUpstreams() {
		c, err := parseCounts(u)
		if err != nil {
			return message{}, fmt.Errorf("evidence about upstream %q: %w", u.GetUpstream(), err)
		}
		m.counts = append(m.counts, c)
	}
	for _, p := range evidence.GetPaths() {
		if p.GetReached() > maxCount || p.GetUnreached() > maxCount {
			return message{}, fmt.Errorf("path evidence about upstream %q: count above %d", p.GetUpstream(), maxCount)
		}
		m.paths = append(m.paths, health.PathCounts{
			Service: p.GetService(), Upstream: p.GetUpstream(),
			Reached: int(p.GetReached()), Unreached: int(p.GetUnreached()),
		})
	}

	return m, nil
}

func parseCounts(u *peerpb.UpstreamEvidence) (health.Counts, error) {
	if u.GetRequests() > maxCount || u.GetShed() > maxCount {
		return health.Counts{}, fmt.Errorf("count above %d", maxCount)
	}
	if u.GetFailures() > u.GetRequests() || u.GetTruncated() > u.GetFailures() || u.GetCallers() > u.GetRequests() {
		return health.Counts{}, fmt.Errorf("%d failures and %d callers in %d requests",
			u.GetFailures(), u.GetCallers(), u.GetRequests())
	}
	c := health.Counts{
		Service: u.GetService(), Upstream: u.GetUpstream(), Requests: int(u.GetRequests()),
		Failures: int(u.GetFailures()), Truncated: int(u.GetTruncated()), Shed: int(u.GetShed()),
		Callers: int(u.GetCallers()), SoleCaller: u.GetSoleCaller(),
	}
	requests, failures := uint64(0), uint64(0)
	for _, a := range u.GetAccounts() {
		requests += uint64(a.GetRequests())
		failures += uint64(a.GetFailures())
		if a.GetFailures() > a.GetRequests() {
			return health.Counts{}, fmt.Errorf("client account has %d failures in %d requests",
				a.GetFailures(), a.GetRequests())
		}
		c.Accounts = append(c.Accounts, health.AccountCounts{
			Account: a.GetAccount(), Requests: int(a.GetRequests()), Failures: int(a.GetFailures()),
		})
	}
	if failures != uint64(u.GetFailures()) || requests > uint64(u.GetRequests()) {
		return health.Counts{}, fmt.Errorf("client accounts have %d of %d failures", failures, u.GetFailures())
	}

	return parseRoutes(c, u.GetRoutes())
}

func parseRoutes(c health.Counts, routes []*peerpb.RouteEvidence) (health.Counts, error) {
	left := c.Requests
	for _, r := range routes {
		sum, squares := float64(r.GetSum()), float64(r.GetSumSquares())
		n := float64(r.GetCount())
		// Logarithms of durations in milliseconds are within ±30.
		if math.IsNaN(sum) || math.Abs(sum) > 30*n || !(squares >= 0 && squares <= 900*n) {
			return health.Counts{}, fmt.Errorf("latency sums %v and %v over %v requests", sum, squares, n)
		}
		left -= int(r.GetCount())
		if left < 0 {
			return health.Counts{}, fmt.Errorf("more latencies than %d requests", c.Requests)
		}
		c.Routes = append(c.Routes, health.RouteLatency{
			Route: r.GetRoute(), Count: int(r.GetCount()), Sum: sum, SumSquares: squares,
		})
	}

	return c, nil
}
