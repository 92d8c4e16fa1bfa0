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

// maxIdentifierLength is the greatest length of a name in bytes. It is bounded because
// names are part of the names of store objects and are sent with every attempt.
const maxIdentifierLength = 64

// Section is one section of a file. The methods that return the value of a key add
// a finding and return the zero value and false if the value is missing or does not
// have the expected form.
type Section struct {
	// Name is empty for the keys before the first section.
	Name   string
	file   *File
	keys   []string // names of the keys, in the order of the file
	values map[string]string
	read   map[string]bool // keys that a method has read, which are the known keys
}

// Report adds a finding about a key of the section, or about the section itself if
// key is empty.
func (s *Section) Report(key, problem, expected string) {
	s.file.addFinding(Finding{Section: s.Name, Key: key, Problem: problem, Expected: expected})
}

// Has reports whether the section contains the key.
func (s *Section) Has(key string) bool {
	_, ok := s.values[key]

	return ok
}

// Text returns the value of a required key, which must not be empty and must be valid
// UTF-8. Findings contain expected as the description of the accepted values.
func (s *Section) Text(key, expected string) (string, bool) {
	if s.read == nil {
		s.read = map[string]bool{}
	}
	s.read[key] = true
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

// Identifier returns the value of a required key, which must be a name as defined by
// IsIdentifier.
func (s *Section) Identifier(key string) (string, bool) {
	value, ok := s.Text(key, IdentifierForm)
	if ok && !IsIdentifier(value) {
		s.Report(key, fmt.Sprintf("%q is not a name", value), IdentifierForm)

		return "", false
	}

	return value, ok
}

// Duration returns the value of a required key, which must be a duration from least
// to most.
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

// Integer returns the value of a required key, which must be a whole number from
// least to most.
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

// PositiveNumber returns the value of a required key, which must be a decimal number
// above zero and not above most.
func (s *Section) PositiveNumber(key string, most float64) (float64, bool) {
	return s.number(key, fmt.Sprintf("a number above 0 and up to %g", most), math.SmallestNonzeroFloat64, most)
}

// Number returns the value of a required key, which must be a number from 0 to most.
func (s *Section) Number(key string, most float64) (float64, bool) {
	return s.number(key, fmt.Sprintf("a number from 0 to %g", most), 0, most)
}

func (s *Section) number(key, expected string, least, most float64) (float64, bool) {
	value, ok := s.Text(key, expected)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || n < least || n > most {
		s.Report(key, fmt.Sprintf("%q is not accepted", value), expected)

		return 0, false
	}

	return n, true
}

// Flag returns the value of an optional key, which must be true or false. It returns
// false if the key is absent or its value is not accepted.
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

// Address returns the value of a required key, which must be an IP address with a
// port other than 0.
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

// List returns the items of a required key, which must be a list separated by commas
// without empty items. Findings contain expected as the description of the accepted
// values.
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

// ReportUnknownKeys reports every key that no other method has read. The findings
// contain known, a list of the accepted keys separated by commas. ReportUnknownKeys must
// be called after all known keys have been read.
func (s *Section) ReportUnknownKeys(known string) {
	for _, key := range s.keys {
		if !s.read[key] {
			s.Report(key, "is not a known key", "one of "+known)
		}
	}
}

// IdentifierForm is the description, for findings, of the names that IsIdentifier accepts.
const IdentifierForm = "a name of 1 to 64 letters, digits and hyphens that begins with a letter"

// IsIdentifier reports whether name has the form of the names in configuration files,
// such as those of teams and services: 1 to 64 ASCII letters, digits and hyphens,
// beginning with a letter.
func IsIdentifier(name string) bool {
	if name == "" || len(name) > maxIdentifierLength {
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
