package inifile

import "strings"

// Finding is one fault in a file, with what was expected instead.
type Finding struct {
	File string
	// Section and Key are empty if the finding concerns the file as a whole.
	Section string
	Key     string
	// Problem says what is wrong and quotes the value found.
	Problem string
	// Expected says what would be accepted.
	Expected string
}

// String returns the finding on one line.
func (f Finding) String() string {
	place := f.File
	if f.Section != "" {
		place += ": [" + f.Section + "]"
	}
	switch {
	case f.Key != "" && f.Section != "":
		place += " " + f.Key
	case f.Key != "":
		place += ": " + f.Key
	}
	if f.Expected == "" {
		return place + ": " + f.Problem
	}

	return place + ": " + f.Problem + "; expected " + f.Expected
}

// Findings are the faults found in one pass.
type Findings []Finding

// String returns the findings, one per line.
func (f Findings) String() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}

	return strings.Join(lines, "\n")
}
