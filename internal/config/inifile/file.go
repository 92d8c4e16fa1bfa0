// Package inifile parses and validates INI files. It reports all faults of a file
// together instead of stopping at the first.
package inifile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// maxSyntaxFindings is the highest number of malformed lines that are reported for
// one file. The parser stops at the first malformed line, so that the file is parsed
// again without that line for each of them.
const maxSyntaxFindings = 50

// File is a parsed INI file with the faults found so far.
type File struct {
	// Name identifies the file in findings.
	Name string
	// Sections are in the order of the file. The first contains the keys before the
	// first section header.
	Sections []*Section
	Findings Findings
}

// Parse parses the content of the file with the given name. It reports malformed
// lines as findings and parses the other lines as if the malformed lines were
// absent.
func Parse(name string, content []byte) *File {
	f := &File{Name: name}
	if i := bytes.IndexByte(content, 0); i >= 0 {
		f.addFinding(Finding{Problem: fmt.Sprintf("zero byte at offset %d", i), Expected: "a text file in UTF-8"})

		return f
	}
	lines := strings.Split(string(content), "\n")
	for range maxSyntaxFindings {
		parsed, err := ini.LoadSources(ini.LoadOptions{
			AllowNonUniqueSections:     true,
			AllowShadows:               true,
			AllowDuplicateShadowValues: true,
			IgnoreContinuation:         true,
			KeyValueDelimiters:         "=",
			SpaceBeforeInlineComment:   true,
		}, []byte(strings.Join(lines, "\n")))
		if err == nil {
			f.addSections(parsed)

			return f
		}
		line, ok := malformedLine(err)
		f.addFinding(Finding{Problem: fmt.Sprintf("cannot be read: %v", err), Expected: "\"[Section]\" or \"Key = value\" on each line"})
		if !ok || !blankLine(lines, line) {
			return f
		}
	}

	return f
}

// malformedLine returns the line that caused a parse error, and false if the error
// does not concern one line.
func malformedLine(err error) (string, bool) {
	var delimiter ini.ErrDelimiterNotFound
	if errors.As(err, &delimiter) {
		return delimiter.Line, true
	}
	var empty ini.ErrEmptyKeyName
	if errors.As(err, &empty) {
		return empty.Line, true
	}

	return "", false
}

// blankLine empties the first of lines that equals line apart from surrounding white
// space. It returns false if there is none.
func blankLine(lines []string, line string) bool {
	line = strings.TrimSpace(line)
	for i := range lines {
		if line != "" && strings.TrimSpace(lines[i]) == line {
			lines[i] = ""

			return true
		}
	}

	return false
}

// addSections adds the sections of a parsed file and reports keys that a section
// contains more than once.
func (f *File) addSections(parsed *ini.File) {
	for i, s := range parsed.Sections() {
		section := &Section{file: f, values: map[string]string{}}
		if i > 0 || s.Name() != ini.DefaultSection {
			section.Name = s.Name()
		}
		for _, key := range s.Keys() {
			values := key.ValueWithShadows()
			section.keys = append(section.keys, key.Name())
			section.values[key.Name()] = key.Value()
			if len(values) > 1 {
				section.Report(key.Name(), fmt.Sprintf("is given %d times", len(values)), "one value")
			}
		}
		f.Sections = append(f.Sections, section)
	}
}

// addFinding adds a finding about this file.
func (f *File) addFinding(finding Finding) {
	finding.File = f.Name
	f.Findings = append(f.Findings, finding)
}
