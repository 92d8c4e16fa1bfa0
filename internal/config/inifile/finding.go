package inifile

import "strings"

// Finding describes one fault in a file.
type Finding struct {
	// File is the name of the file.
	File string
	// Section and Key are empty if the finding concerns the file as a whole.
	Section string
	Key     string
	// Problem describes the fault and quotes the faulty value, if there is one.
	Problem string
	// Expected describes the accepted values, or is empty.
	Expected string
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	location := f.File
	if f.Section != "" {
		location += ": [" + f.Section + "]"
	}
	switch {
	case f.Key != "" && f.Section != "":
		location += " " + f.Key
	case f.Key != "":
		location += ": " + f.Key
	}
	if f.Expected == "" {
		return location + ": " + f.Problem
	}

	return location + ": " + f.Problem + "; expected " + f.Expected
}

// Findings is a list of faults.
type Findings []Finding

// String returns the findings as text with one line for each.
func (f Findings) String() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}

	return strings.Join(lines, "\n")
}
