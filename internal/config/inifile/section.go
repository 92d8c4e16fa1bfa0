package inifile

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// maxNameLength is the longest name in bytes. Names appear in object names of
// the store and in every attempt.
const maxNameLength = 64

// Section is one section of a file. Its methods take a key's value, report a
// finding if the value is missing or not of the expected form, and return the
// zero value and false in that case.
type Section struct {
	// Name is empty for the keys before the first section.
	Name   string
	file   *File
	keys   []string
	values map[string]string
	taken  map[string]bool
}

// Report adds a finding about the section, or about one of its keys.
func (s *Section) Report(key, problem, expected string) {
	s.file.report(Finding{Section: s.Name, Key: key, Problem: problem, Expected: expected})
}

// Has reports whether the section contains the key.
func (s *Section) Has(key string) bool {
	_, ok := s.values[key]

	return ok
}

// Text takes a required, non-empty value. Expected describes it in findings.
func (s *Section) Text(key, expected string) (string, bool) {
	if s.taken == nil {
		s.taken = map[string]bool{}
	}
	s.taken[key] = true
	value, ok := s.values[key]
	switch {
	case !ok:
		s.Report(key, "is missing", expected)
	case value == "":
		s.Report(key, "is empty", expected)
	case !utf8.ValidString(value):
		s.Report(key, "is not valid UTF-8", expected)
	default:
		return value, true
	}

	return "", false
}

// Identifier takes a required name.
func (s *Section) Identifier(key string) (string, bool) {
	value, ok := s.Text(key, IdentifierForm)
	if ok && !IsIdentifier(value) {
		s.Report(key, fmt.Sprintf("%q is not a name", value), IdentifierForm)

		return "", false
	}

	return value, ok
}

// Duration takes a required duration from least to most.
func (s *Section) Duration(key string, least, most time.Duration) (time.Duration, bool) {
	expected := fmt.Sprintf("a duration with a unit from %v to %v, such as 500ms or 2s", least, most)
	value, ok := s.Text(key, expected)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < least || d > most {
		s.Report(key, fmt.Sprintf("%q is not accepted", value), expected)

		return 0, false
	}

	return d, true
}

// Integer takes a required whole number from least to most.
func (s *Section) Integer(key string, least, most int) (int, bool) {
	expected := fmt.Sprintf("a whole number from %d to %d", least, most)
	value, ok := s.Text(key, expected)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < least || n > most {
		s.Report(key, fmt.Sprintf("%q is not accepted", value), expected)

		return 0, false
	}

	return n, true
}

// PositiveNumber takes a required decimal number above zero and up to most.
func (s *Section) PositiveNumber(key string, most float64) (float64, bool) {
	expected := fmt.Sprintf("a number above 0 and up to %g", most)
	value, ok := s.Text(key, expected)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || n <= 0 || n > most {
		s.Report(key, fmt.Sprintf("%q is not accepted", value), expected)

		return 0, false
	}

	return n, true
}

// Flag takes an optional true or false; it is false if absent.
func (s *Section) Flag(key string) bool {
	if !s.Has(key) {
		return false
	}
	value, ok := s.Text(key, "true or false")
	if ok && value != "true" && value != "false" {
		s.Report(key, fmt.Sprintf("%q is not accepted", value), "true or false")
	}

	return value == "true"
}

// Address takes a required IP address with port.
func (s *Section) Address(key string) (netip.AddrPort, bool) {
	const expected = "an IP address with a port from 1 to 65535, such as 127.0.0.1:7000"
	value, ok := s.Text(key, expected)
	if !ok {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		s.Report(key, fmt.Sprintf("%q is not accepted", value), expected)

		return netip.AddrPort{}, false
	}

	return address, true
}

// List takes a required list separated by commas, without empty items.
func (s *Section) List(key, expected string) ([]string, bool) {
	value, ok := s.Text(key, expected)
	if !ok {
		return nil, false
	}
	items := strings.Split(value, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
		if items[i] == "" {
			s.Report(key, fmt.Sprintf("%q has an empty item", value), expected)

			return nil, false
		}
	}

	return items, true
}

// ReportUnknownKeys reports every key that was not taken. Known lists the accepted keys.
func (s *Section) ReportUnknownKeys(known string) {
	for _, key := range s.keys {
		if !s.taken[key] {
			s.Report(key, "is not a known key", "one of "+known)
		}
	}
}

// IdentifierForm describes the names that IsIdentifier accepts.
const IdentifierForm = "a name of 1 to 64 letters, digits and hyphens that begins with a letter"

// IsIdentifier reports whether name has the form that all names share.
func IsIdentifier(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (i == 0 || (c < '0' || c > '9') && c != '-') {
			return false
		}
	}

	return true
}
