package health

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/table"
)

const (
	// caseLength is the time of one run of one case.
	caseLength = 2 * time.Minute
	// quietLength is the time without fault per seed and threshold.
	quietLength = 30 * time.Minute
	// workers bounds the runs at the same time.
	workers   = 4
	firstSeed = 1
)

// LimaThreshold and VillalobosThreshold are the DetectionThreshold chosen from
// the curve for each deployment, in nats: for Lima the lowest with less than
// one false ejection per hour, for Villalobos the lowest without any, also at
// four times the model's rate of background failures.
const (
	LimaThreshold       = 5
	VillalobosThreshold = 12
)

var thresholds = []float64{3, 4, 5, 6, 8, 10, 12, 16, 20, 24}

// Section measures detection and ejection, and if full is set also the curve of
// detection time against false ejections, which takes minutes.
func Section(full bool) table.Section {
	return table.Section{Name: "gray failures", Run: func(seeds int) (rows []table.Row) {
		for _, s := range settings() {
			rows = append(rows, caseRows(s, seeds)...)
			if full {
				rows = append(rows, curveRows(s.deployment, seeds)...)
			}
		}

		return rows
	}}
}

type setting struct {
	deployment Deployment
	threshold  float64
}

func settings() []setting {
	return []setting{{Lima, LimaThreshold}, {Villalobos, VillalobosThreshold}}
}

// job is one run to do.
type job struct {
	deployment Deployment
	fault      fault
	choice     choice
	threshold  float64
	seed       uint64
	length     time.Duration
}

// playAll runs the jobs on a few goroutines and returns their results in order.
func playAll(jobs []job) []result {
	results := make([]result, len(jobs))
	next := make(chan int)
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for i := range next {
				j := jobs[i]
				results[i] = play(j.deployment, j.fault, j.choice, j.threshold, j.seed, j.length)
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	running.Wait()

	return results
}

// summary joins the runs of one case under one policy.
type summary struct {
	runs     int
	detected []result
	falses   float64
	length   time.Duration
	all      int
	late     int
	least    int
	required int
}

func summarize(results []result) summary {
	s := summary{runs: len(results), least: results[0].least, required: results[0].required}
	for _, r := range results {
		if r.detected {
			s.detected = append(s.detected, r)
		}
		s.falses += r.falseEjections
		s.length += r.length
		s.all += r.all
		s.late += r.late
		s.least = min(s.least, r.least)
	}

	return s
}

func (s summary) falsePerHour() float64 {
	return s.falses / s.length.Hours()
}

// detection returns the median and the worst of a value over the runs with
// detection.
func (s summary) detection(value func(result) int, format func(int) string) string {
	if len(s.detected) == 0 {
		return "not detected"
	}
	var values []int
	for _, r := range s.detected {
		values = append(values, value(r))
	}
	slices.Sort(values)
	text := format(values[(len(values)-1)/2]) + ", worst " + format(values[len(values)-1])
	if len(values) < s.runs {
		text += fmt.Sprintf(", %d of %d runs", len(values), s.runs)
	}

	return text
}

func caseRows(s setting, seeds int) []table.Row {
	cases := append(faults(), none)
	var jobs []job
	for _, f := range cases {
		for c := thisPolicy; c <= successRate; c++ {
			for seed := range seeds {
				jobs = append(jobs, job{s.deployment, f, c, s.threshold, uint64(firstSeed + seed), caseLength}) //nolint:gosec // small
			}
		}
	}
	results := playAll(jobs)
	var rows []table.Row
	for _, f := range cases {
		var summaries []summary
		for c := thisPolicy; c <= successRate; c++ {
			summaries = append(summaries, summarize(results[:seeds]))
			results = results[seeds:]
		}
		rows = append(rows, rowsOf(s, f, summaries)...)
	}

	return rows
}

func rowsOf(s setting, f fault, summaries []summary) []table.Row {
	row := func(measure, bound string, value func(summary) string) table.Row {
		return table.Row{
			Measure: measure,
			Setting: fmt.Sprintf("%s, threshold %v, %s", s.deployment.Name, s.threshold, f.name),
			Policy:  value(summaries[0]),
			Baselines: []table.Baseline{
				{Name: "5 errors in a row", Value: value(summaries[1])},
				{Name: "success rate", Value: value(summaries[2])},
			},
			Bound: bound,
		}
	}
	var rows []table.Row
	if f.gray != 0 {
		rows = append(rows,
			row("time until detection", "", func(s summary) string {
				return s.detection(func(r result) int { return int(r.detectedAfter) },
					func(n int) string { return time.Duration(n).String() })
			}),
			row("requests until detection", "", func(s summary) string {
				return s.detection(func(r result) int { return r.requests }, strconv.Itoa)
			}))
	}

	return append(rows,
		row("false ejections per hour", "", func(s summary) string { return fmt.Sprintf("%.1f", s.falsePerHour()) }),
		row("failed or late", "", func(s summary) string {
			return fmt.Sprintf("%.2f%%", 100*float64(s.late)/float64(s.all))
		}),
		row("least healthy slots", fmt.Sprintf("≥ %d (R1)", summaries[0].required), func(s summary) string {
			return fmt.Sprint(s.least)
		}))
}

// curveFaults are the cases whose detection time makes up the curve.
func curveFaults() (selected []fault) {
	for _, f := range faults() {
		if f.gray == 1 && f.healthy == nil {
			selected = append(selected, f)
		}
	}

	return selected
}

// point is one point of the curve of detection time against false ejections.
type point struct {
	threshold float64
	detection time.Duration
	slowest   time.Duration
	slowCase  string
	falses    float64
}

// curve measures detection time and false ejections for each threshold. A run
// without detection counts with its whole length.
func curve(d Deployment, seeds int) []point {
	cases := append(curveFaults(), none)
	var jobs []job
	for _, threshold := range thresholds {
		for _, f := range cases {
			length := caseLength
			if f.gray == 0 {
				length = quietLength
			}
			for seed := range seeds {
				jobs = append(jobs, job{d, f, thisPolicy, threshold, uint64(100 + seed), length}) //nolint:gosec // small
			}
		}
	}
	results := playAll(jobs)
	var points []point
	for _, threshold := range thresholds {
		p := point{threshold: threshold}
		for _, f := range cases {
			runs := results[:seeds]
			results = results[seeds:]
			if f.gray == 0 {
				p.falses = summarize(runs).falsePerHour()

				continue
			}
			mean := meanDetection(runs)
			p.detection += mean / time.Duration(len(cases)-1)
			if mean > p.slowest {
				p.slowest, p.slowCase = mean, f.name
			}
		}
		points = append(points, p)
	}

	return points
}

func meanDetection(runs []result) (mean time.Duration) {
	for _, r := range runs {
		after := r.detectedAfter
		if !r.detected {
			after = r.length
		}
		mean += after / time.Duration(len(runs))
	}

	return mean
}

func curveRows(d Deployment, seeds int) (rows []table.Row) {
	for _, p := range curve(d, seeds) {
		rows = append(rows, table.Row{
			Measure: "curve",
			Setting: fmt.Sprintf("%s, threshold %v", d.Name, p.threshold),
			Policy: fmt.Sprintf("mean detection %v, slowest %v (%s), %.1f false ejections per hour",
				p.detection.Round(10*time.Millisecond), p.slowest.Round(10*time.Millisecond), p.slowCase, p.falses),
		})
	}

	return rows
}
