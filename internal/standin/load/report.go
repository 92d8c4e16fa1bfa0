package load

import (
	"net/http"
	"slices"
	"time"
)

// Report compares what callers were told with what upstreams ran.
type Report struct {
	Requests int
	Ran      int
	NotRun   int
	Unknown  int
	// Lost counts requests that ended without a verdict, and answers for
	// requests that no upstream ran.
	Lost int
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int
	// FalselyRefused counts refusals of requests inside the client account's
	// rate, as the caller of Compare decides.
	FalselyRefused int
	// FalselyNotRun counts requests refused as not run that ran.
	FalselyNotRun int
	// Wrong counts answers that were not whole or not the request's own.
	Wrong int
	// Failed counts requests that an upstream answered with a server error.
	Failed   int
	P50, P99 time.Duration
}

// HasNoViolations reports whether no request was lost, doubled, wrongly answered or
// falsely refused.
func (r Report) HasNoViolations() bool {
	return r.Lost == 0 && r.Doubled == 0 && r.FalselyRefused == 0 && r.FalselyNotRun == 0 && r.Wrong == 0
}

// Compare judges the results of some streams against the upstreams' record of
// how often each request ran. Refused requests count as falsely refused unless
// justified says otherwise.
func Compare(results []Result, streams []Stream, ran map[string]int, justified func(Result) bool) Report {
	idempotent := make(map[string]bool, len(streams))
	for _, stream := range streams {
		idempotent[stream.Name] = stream.Idempotent
	}

	var (
		report    Report
		latencies []time.Duration
	)

	for _, result := range results {
		safe, known := idempotent[result.Stream]
		if !known {
			continue
		}

		report.Requests++
		report.add(result, ran[result.ID], safe, justified)

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

// add counts one result whose request ran the given number of times.
func (r *Report) add(result Result, times int, idempotent bool, justified func(Result) bool) {
	if times > 1 && !idempotent {
		r.Doubled++
	}

	switch result.Verdict {
	case Ran:
		r.Ran++

		if times == 0 {
			r.Lost++
		}

		if result.Status >= http.StatusInternalServerError {
			r.Failed++
		}
	case NotRun:
		r.NotRun++

		if times > 0 && !idempotent {
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
