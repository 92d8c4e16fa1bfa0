// Package inifile reads INI files and collects all findings in one pass.
package inifile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// maxSyntaxFindings bounds the number of times that a file with unreadable
// lines is read again, since each reading stops at the first such line.
const maxSyntaxFindings = 50

// File is a parsed INI file with the findings made so far.
type File struct {
	Name     string
	Sections []*Section
	Findings Findings
}

// Parse parses content. Unreadable lines become findings; the remaining lines
// are parsed as if they were absent.
func Parse(name string, content []byte) *File {
	f := &File{Name: name}
	if i := bytes.IndexByte(content, 0); i >= 0 {
		f.report(Finding{Problem: fmt.Sprintf("zero byte at offset %d", i), Expected: "a text file in UTF-8"})

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
			f.collect(parsed)

			return f
		}
		line, ok := unreadableLine(err)
		f.report(Finding{Problem: fmt.Sprintf("cannot be read: %v", err), Expected: "\"[Section]\" or \"Key = value\" on each line"})
		if !ok || !blank(lines, line) {
			return f
		}
	}

	return f
}

func unreadableLine(err error) (string, bool) {
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

func blank(lines []string, line string) bool {
	line = strings.TrimSpace(line)
	for i := range lines {
		if line != "" && strings.TrimSpace(lines[i]) == line {
			lines[i] = ""

			return true
		}
	}

	return false
}

func (f *File) collect(parsed *ini.File) {
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

func (f *File) report(finding Finding) {
	finding.File = f.Name
	f.Findings = append(f.Findings, finding)
}
