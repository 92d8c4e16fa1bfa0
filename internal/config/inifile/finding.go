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
	var b strings.Builder
	b.WriteString(f.File)
	b.WriteString(":")
	if f.Section != "" {
		b.WriteString(" [" + f.Section + "]")
	}
	if f.Key != "" {
		b.WriteString(" " + f.Key)
	}
	b.WriteString(": " + f.Problem)
	if f.Expected != "" {
		b.WriteString("; expected " + f.Expected)
	}

	return b.String()
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
