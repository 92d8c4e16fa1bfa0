// Package table prints measures beside their baselines.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Baseline is the value of a measure under another policy.
type Baseline struct {
	Name  string
	Value string
}

// Row is one measure in one setting.
type Row struct {
	Measure   string
	Setting   string
	Policy    string
	Baselines []Baseline
	// Bound is the requirement, or empty.
	Bound string
}

// Section is a group of measures. Run takes the number of seeds to average.
type Section struct {
	Name string
	Run  func(seeds int) []Row
}

// Write prints the rows of all sections in one table.
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
