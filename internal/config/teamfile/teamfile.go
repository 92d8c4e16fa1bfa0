// Package teamfile parses team files, which are INI files with the services,
// routes and client accounts of one team, and validates them against one another.
package teamfile

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// maxDeadline is the longest deadline of a service. It equals the time for which
	// egresses keep idempotency records: a longer request could outlive the record
	// by which an egress recognises a repeated request.
	maxDeadline = 10 * time.Minute
	// maxLimit is the highest rate, in requests per second, and the highest burst, in
	// requests, of a client account. It is 5 times the fleet's peak rate at the
	// target size and fits the 32-bit counts that daemons exchange.
	maxLimit = 10_000_000
	// maxSlots is the highest capacity floor in slots.
	maxSlots = 10_000_000
	// maxDetectionThreshold is the highest outlier detection threshold, in nats. At
	// 1,000 nats, no outlier is ejected within a day of evidence.
	maxDetectionThreshold = 1000
	// defaultDetectionThreshold applies to services without a DetectionThreshold key,
	// in nats.
	defaultDetectionThreshold = 8
)

// File is a team file that is not parsed yet. Findings refer to it by Name.
type File struct {
	Name    string
	Content []byte
}

// ParsedFile is the team that a team file defines, with the name of that file.
type ParsedFile struct {
	File string
	Team fleet.Team
}

// Parse parses one team file. If there are findings, the result contains only the
// valid parts of the file and serves only to find further faults with Combine.
func Parse(file File) (ParsedFile, inifile.Findings) {
	f := inifile.Parse(file.Name, file.Content)
	parsed := ParsedFile{File: file.Name}
	seen := map[string]bool{}
	var accounts []fleet.ClientAccount
	for _, section := range f.Sections {
		if section.Name == "" {
			parsed.Team.Name, _ = section.Identifier("Team")
			section.ReportUnknownKeys("Team")

			continue
		}
		kind, name, _ := strings.Cut(section.Name, " ")
		name = strings.TrimSpace(name)
		if !isKind(kind) {
			section.Report("", "is not a known section", "[Service NAME], [Route NAME] or [ClientAccount NAME]")

			continue
		}
		if !inifile.IsIdentifier(name) {
			section.Report("", fmt.Sprintf("%q is not a name", name), inifile.IdentifierForm)
		}
		if id := kind + " " + name; seen[id] {
			section.Report("", "is defined twice in this file", "one section per name")
		} else {
			seen[id] = true
		}
		if kind == kindClientAccount {
			accounts = append(accounts, readClientAccount(parsed.Team.Name, name, section))
		} else {
			readSection(&parsed.Team, kind, name, section)
		}
	}

	// Copies the slices to release the unused capacity that append has left. It would
	// add up, because daemons keep the parsed teams of all files in memory.
	parsed.Team.Services = slices.Clone(parsed.Team.Services)
	parsed.Team.Routes = compactRoutes(parsed.Team.Routes)
	parsed.Team.ClientAccounts = fleet.NewAccountList(parsed.Team.Name, accounts)

	return parsed, f.Findings
}

func isKind(kind string) bool {
	return kind == kindService || kind == kindRoute || kind == kindClientAccount
}

// Kinds of sections; a section header consists of a kind and a name, such as
// [Service Calendar].
const (
	kindService       = "Service"
	kindRoute         = "Route"
	kindClientAccount = "ClientAccount"
)

func readSection(team *fleet.Team, kind, name string, section *inifile.Section) {
	switch kind {
	case kindService:
		team.Services = append(team.Services, readService(name, section))
	case kindRoute:
		team.Routes = append(team.Routes, readRoute(team.Name, name, section))
	}
}

func readService(name string, section *inifile.Section) fleet.Service {
	service := fleet.Service{Name: name, DetectionThreshold: defaultDetectionThreshold}
	service.CapacityFloor = readFloor(section)
	service.Deadline, _ = section.Duration("Deadline", time.Millisecond, maxDeadline)
	if section.Has("DetectionThreshold") {
		service.DetectionThreshold, _ = section.PositiveNumber("DetectionThreshold", maxDetectionThreshold)
	}
	section.ReportUnknownKeys("Floor, Deadline, DetectionThreshold")

	return service
}

// readFloor returns the capacity floor, given as a percentage or in slots.
func readFloor(section *inifile.Section) fleet.CapacityFloor {
	const expected = "a percentage from 1% to 100%, or a number of slots of at least 1"
	value, ok := section.Text("Floor", expected)
	if !ok {
		return fleet.CapacityFloor{}
	}
	if percent, isPercent := strings.CutSuffix(value, "%"); isPercent {
		n, err := strconv.Atoi(percent)
		if err == nil && n > 100 {
			section.Report("Floor", fmt.Sprintf("%q is above the capacity", value), expected)

			return fleet.CapacityFloor{}
		}
		if err == nil && n >= 1 {
			return fleet.CapacityFloor{Percent: n}
		}
	} else if n, err := strconv.Atoi(value); err == nil && n >= 1 && n <= maxSlots {
		return fleet.CapacityFloor{Slots: n}
	}
	section.Report("Floor", fmt.Sprintf("%q is not accepted", value), expected)

	return fleet.CapacityFloor{}
}

func readRoute(team, name string, section *inifile.Section) fleet.Route {
	route := fleet.Route{Name: name, Team: team}
	route.Service, _ = section.Identifier("Service")
	route.Host = readHost(section)
	route.PathPrefix = readPathPrefix(section)
	route.Methods = readMethods(section)
	route.Idempotent = section.Flag("Idempotent")
	route.AllowAnonymous = section.Flag("Open")
	section.ReportUnknownKeys("Service, Host, PathPrefix, Methods, Idempotent, Open")

	return route
}

// compactRoutes returns a copy of a team's routes that uses less memory: its
// strings are not slices of the file's lines, so that the lines can be collected,
// and routes share equal services, hosts and methods.
func compactRoutes(routes []fleet.Route) []fleet.Route {
	routes = slices.Clone(routes)
	shared := map[string]string{}
	intern := func(text string) string {
		if _, ok := shared[text]; !ok {
			text = strings.Clone(text)
			shared[text] = text
		}

		return shared[text]
	}
	for i := range routes {
		r := &routes[i]
		r.Name, r.PathPrefix = strings.Clone(r.Name), strings.Clone(r.PathPrefix)
		r.Team, r.Service, r.Host = intern(r.Team), intern(r.Service), intern(r.Host)
		if i > 0 && slices.Equal(r.Methods, routes[i-1].Methods) {
			r.Methods = routes[i-1].Methods
		}
	}

	return routes
}

// readHost returns the host name in lower case, or an empty string if it is missing
// or invalid.
func readHost(section *inifile.Section) string {
	const expected = "a host name without port, such as estanques.example"
	value, ok := section.Text("Host", expected)
	if !ok {
		return ""
	}
	host := strings.ToLower(value)
	// RFC 1035 limits a host name to 253 characters and each label to 63.
	valid := len(host) <= 253
	for label := range strings.SplitSeq(host, ".") {
		invalid := strings.Trim(label, "abcdefghijklmnopqrstuvwxyz0123456789-")
		if label == "" || len(label) > 63 || invalid != "" || label[0] == '-' || label[len(label)-1] == '-' {
			valid = false
		}
	}
	if !valid {
		section.Report("Host", fmt.Sprintf("%q is not accepted", value), expected)

		return ""
	}

	return host
}

// readPathPrefix returns the path prefix without a trailing slash, or an empty
// string if it is missing or invalid.
func readPathPrefix(section *inifile.Section) string {
	const expected = "a path that begins with / and has no query, escape, empty or dot segment, such as /calendar"
	value, ok := section.Text("PathPrefix", expected)
	if !ok {
		return ""
	}
	valid := strings.HasPrefix(value, "/") && !strings.ContainsAny(value, "?#%\\ \t\r\n")
	if trimmed := strings.TrimSuffix(strings.TrimPrefix(value, "/"), "/"); valid && trimmed != "" {
		for segment := range strings.SplitSeq(trimmed, "/") {
			valid = valid && segment != "" && segment != "." && segment != ".."
		}
	} else if value != "/" {
		valid = false
	}
	if !valid {
		section.Report("PathPrefix", fmt.Sprintf("%q is not accepted", value), expected)

		return ""
	}
	if value == "/" {
		return value
	}

	return strings.TrimSuffix(value, "/")
}

// acceptedMethods are the HTTP methods that a route may list.
var acceptedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// readMethods returns the accepted methods in alphabetical order.
func readMethods(section *inifile.Section) []string {
	expected := "a list of " + strings.Join(acceptedMethods, ", ")
	items, _ := section.List("Methods", expected)
	var methods []string
	for _, item := range items {
		switch {
		case !slices.Contains(acceptedMethods, item):
			section.Report("Methods", fmt.Sprintf("%q is not accepted", item), expected)
		case slices.Contains(methods, item):
			section.Report("Methods", fmt.Sprintf("%q is listed twice", item), "each method once")
		default:
			// Appends the string from acceptedMethods, because item is a substring of the
			// file's line and would keep the whole line in memory.
			methods = append(methods, acceptedMethods[slices.Index(acceptedMethods, item)])
		}
	}
	slices.Sort(methods)

	return methods
}

func readClientAccount(team, name string, section *inifile.Section) fleet.ClientAccount {
	account := fleet.ClientAccount{Name: name, Team: team}
	account.Rate = readRate(section)
	account.Burst, _ = section.Integer("Burst", 1, maxLimit)
	section.ReportUnknownKeys("Rate, Burst")

	return account
}

// readRate returns the rate limit in requests per second.
func readRate(section *inifile.Section) float64 {
	const expected = "a number above 0 of requests with a unit /s, /m or /h, such as 50/s, and up to 10000000/s"
	value, ok := section.Text("Rate", expected)
	if !ok {
		return 0
	}
	number, unit, _ := strings.Cut(value, "/")
	unitSeconds := map[string]float64{"s": 1, "m": 60, "h": 3600}[strings.TrimSpace(unit)]
	n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	rate := n / unitSeconds
	if err != nil || unitSeconds == 0 || math.IsNaN(rate) || rate <= 0 || rate > maxLimit {
		section.Report("Rate", fmt.Sprintf("%q is not accepted", value), expected)

		return 0
	}

	return rate
}
