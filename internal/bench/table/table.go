// Package table prints the results of benchmarks beside their baselines.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Baseline is the value of a measure under another policy than the one in use.
type Baseline struct {
	Name  string
	Value string
}

// Row is the value of one measure in one setting.
type Row struct {
	Measure string
	Setting string
	// Policy is the value under the policy in use, with its unit.
	Policy    string
	Baselines []Baseline
	// Bound is the requirement on the value, or empty if there is none.
	Bound string
}

// Section is a group of measures. Run measures them and returns their rows. Its seeds
// parameter is the number of runs to combine, each with its own seed; measures with a fixed
// seed ignore it.
type Section struct {
	Name string
	Run  func(seeds int) []Row
}

// Write runs all sections in order and writes their rows to w as one table. It returns an
// error only if writing fails.
func Write(w io.Writer, sections []Section, seeds int) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(out, "measure\tsetting\tthis policy\tbaseline\tbound"); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, section := range sections {
		for _, r := range section.Run(seeds) {
			var baselines []string
			for _, b := range r.Baselines {
				baselines = append(baselines, b.Value+" ("+b.Name+")")
			}
			_, err := fmt.Fprintf(out, "%s: %s\t%s\t%s\t%s\t%s\n",
				section.Name, r.Measure, r.Setting, r.Policy, strings.Join(baselines, "; "), r.Bound)
			if err != nil {
				return fmt.Errorf("write table: %w", err)
			}
		}
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}

	return nil
}
