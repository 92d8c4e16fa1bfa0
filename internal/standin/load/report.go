package load

import (
	"net/http"
	"slices"
	"time"
)

// Report compares the outcomes that callers received with what upstreams ran. It counts
// requests.
type Report struct {
	Requests int
	Ran      int
	NotRun   int
	Unknown  int
	// Lost counts requests with the verdict Broken, and answers to requests that no
	// upstream ran.
	Lost int
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int
	// FalselyRefused counts requests with the verdict NotRun that the caller of Compare
	// does not accept as justified, such as those within the client account's rate.
	FalselyRefused int
	// FalselyNotRun counts non-idempotent requests with the verdict NotRun that ran.
	FalselyNotRun int
	// Wrong counts answers that were corrupted or belonged to another request.
	Wrong int
	// Failed counts requests that ran and were answered with a server error.
	Failed int
	// P50 and P99 are latencies of the requests with the verdict Ran.
	P50, P99 time.Duration
}

// HasNoViolations reports whether no request was lost, ran more often than allowed, was
// wrongly answered or was falsely refused.
func (r Report) HasNoViolations() bool {
	return r.Lost == 0 && r.Doubled == 0 && r.FalselyRefused == 0 && r.FalselyNotRun == 0 && r.Wrong == 0
}

// Compare evaluates the results of the given streams against the upstreams' record of
// how often each request ID ran. A refused request counts as falsely refused unless
// justified returns true for it.
func Compare(results []Result, streams []Stream, runs map[string]int, justified func(Result) bool) Report {
	idempotent := make(map[string]bool, len(streams))
	for _, stream := range streams {
		idempotent[stream.Name] = stream.Idempotent
	}

	var (
		report    Report
		latencies []time.Duration
	)

	for _, result := range results {
		idempotentStream, known := idempotent[result.Stream]
		if !known {
			continue
		}

		report.Requests++
		report.addResult(result, runs[result.ID], idempotentStream, justified)

		if result.Verdict == Ran {
			latencies = append(latencies, result.Latency)
		}
	}

	slices.Sort(latencies)

	if n := len(latencies); n > 0 {
		report.P50, report.P99 = latencies[n/2], latencies[n*99/100]
	}

	return report
}

// addResult counts one result, whose request ran the given number of times.
func (r *Report) addResult(result Result, runs int, idempotent bool, justified func(Result) bool) {
	if runs > 1 && !idempotent {
		r.Doubled++
	}

	switch result.Verdict {
	case Ran:
		r.Ran++

		if runs == 0 {
			r.Lost++
		}

		if result.Status >= http.StatusInternalServerError {
			r.Failed++
		}
	case NotRun:
		r.NotRun++

		if runs > 0 && !idempotent {
			r.FalselyNotRun++
		}

		if !justified(result) {
			r.FalselyRefused++
		}
	case Unknown:
		r.Unknown++
	case Wrong:
		r.Wrong++
	case Broken:
		r.Lost++
	}
}
