package teamfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Load parses and combines a set of team files. The configuration is nil if
// there are findings. Slots holds the announced slots by service, or is nil if
// they are unknown.
func Load(version uint64, files []File, slots map[string]int) (*fleet.Configuration, inifile.Findings) {
	var findings inifile.Findings
	parsed := make([]Parsed, 0, len(files))
	for _, file := range files {
		p, found := Parse(file)
		parsed = append(parsed, p)
		findings = append(findings, found...)
	}
	configuration, found := Combine(version, parsed, slots)
	findings = append(findings, found...)
	if len(findings) > 0 {
		return nil, findings
	}

	return configuration, nil
}

// Combine validates teams against one another. The configuration is nil if
// there are findings. Its routes are sorted by host, path prefix and name.
func Combine(version uint64, parsed []Parsed, slots map[string]int) (*fleet.Configuration, inifile.Findings) {
	c := combiner{
		configuration: &fleet.Configuration{
			Version:        version,
			Services:       map[string]fleet.Service{},
			ClientAccounts: map[string]fleet.ClientAccount{},
		},
		slots: slots,
		names: map[string]int{},
		files: parsed,
	}
	for i := range parsed {
		c.define(i)
	}
	for _, p := range parsed {
		c.checkServices(p)
	}
	slices.SortFunc(c.routes, func(a, b placedRoute) int {
		return cmp.Or(
			strings.Compare(a.route.Host, b.route.Host),
			strings.Compare(a.route.PathPrefix, b.route.PathPrefix),
			strings.Compare(a.route.Name, b.route.Name),
			strings.Compare(a.route.Team, b.route.Team),
		)
	})
	c.checkOverlaps()
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	c.configuration.Routes = make([]fleet.Route, len(c.routes))
	for i, placed := range c.routes {
		c.configuration.Routes[i] = placed.route
	}

	return c.configuration, nil
}

type placedRoute struct {
	// index is the position of the file among those combined.
	index int
	file  string
	route fleet.Route
}

type combiner struct {
	configuration *fleet.Configuration
	slots         map[string]int
	files         []Parsed
	// names maps "Kind name" to the index of the file that defined it.
	names    map[string]int
	routes   []placedRoute
	findings inifile.Findings
}

func (c *combiner) report(file, section, key, problem, expected string) {
	c.findings = append(c.findings, inifile.Finding{File: file, Section: section, Key: key, Problem: problem, Expected: expected})
}

// claim records that a file defines a name, and reports a second definition.
// Duplicates within one file are reported by Parse.
func (c *combiner) claim(index int, id, section, key string) bool {
	other, taken := c.names[id]
	if !taken {
		c.names[id] = index

		return true
	}
	if other != index {
		c.report(c.files[index].File, section, key, fmt.Sprintf("%s is already defined in %s", id, c.files[other].File),
			"a name that no other file uses")
	}

	return false
}

func (c *combiner) define(index int) {
	p := c.files[index]
	if p.Team.Name != "" {
		c.claim(index, "Team "+p.Team.Name, "", "Team")
	}
	for _, service := range p.Team.Services {
		id := kindService + " " + service.Name
		if !c.claim(index, id, id, "") {
			continue
		}
		c.configuration.Services[service.Name] = service
		if announced, known := c.slots[service.Name]; known && service.Floor.Slots > announced {
			c.report(p.File, id, "Floor", fmt.Sprintf("%d slots are above the capacity", service.Floor.Slots),
				fmt.Sprintf("at most the %d slots announced", announced))
		}
	}
	for _, account := range p.Team.ClientAccounts {
		id := kindClientAccount + " " + account.Name
		if c.claim(index, id, id, "") {
			c.configuration.ClientAccounts[account.Name] = account
		}
	}
	for _, route := range p.Team.Routes {
		// Route names tell latencies of like requests apart within a service.
		c.claim(index, kindRoute+" "+route.Name+" to Service "+route.Service, kindRoute+" "+route.Name, "")
		c.routes = append(c.routes, placedRoute{index: index, file: p.File, route: route})
	}
}

func (c *combiner) checkServices(p Parsed) {
	for _, route := range p.Team.Routes {
		if _, ok := c.configuration.Services[route.Service]; !ok && route.Service != "" {
			c.report(p.File, kindRoute+" "+route.Name, "Service", fmt.Sprintf("no team defines the service %q", route.Service),
				"a service with a section [Service "+route.Service+"] in a team file")
		}
	}
}

// checkOverlaps compares each route with those whose prefix covers its own.
// These are found by looking up every parent path, which keeps the check
// linear in the number of routes.
func (c *combiner) checkOverlaps() {
	byPlace := make(map[string][]int, len(c.routes))
	for i, placed := range c.routes {
		route := placed.route
		if route.Host == "" || route.PathPrefix == "" {
			continue
		}
		for path := route.PathPrefix; path != ""; path = parentPath(path) {
			for _, j := range byPlace[route.Host+path] {
				c.checkPair(placed, c.routes[j], path == route.PathPrefix)
			}
		}
		byPlace[route.Host+route.PathPrefix] = append(byPlace[route.Host+route.PathPrefix], i)
	}
}

// parentPath returns the next shorter path at a segment boundary, or empty.
func parentPath(path string) string {
	if path == "/" {
		return ""
	}

	return path[:max(1, strings.LastIndexByte(path, '/'))]
}

func (c *combiner) checkPair(inner, outer placedRoute, same bool) {
	section := kindRoute + " " + inner.route.Name
	where := fmt.Sprintf("[%s %s] in %s", kindRoute, outer.route.Name, outer.file)
	sameTeam := inner.index == outer.index
	switch {
	case same:
		for _, method := range inner.route.Methods {
			if slices.Contains(outer.route.Methods, method) {
				c.report(inner.file, section, "PathPrefix",
					fmt.Sprintf("%s %s%s overlaps %s", method, inner.route.Host, inner.route.PathPrefix, where),
					"a host, path prefix and method that no other route has")

				return
			}
		}
	case !sameTeam:
		c.report(inner.file, section, "PathPrefix",
			fmt.Sprintf("%s%s is inside %s of %s", inner.route.Host, inner.route.PathPrefix, outer.route.PathPrefix, where),
			"a path prefix outside those of other teams on the same host")
	}
}
