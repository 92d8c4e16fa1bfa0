package teamfile

import (
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
	parsed := make([]ParsedFile, 0, len(files))
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
// there are findings. Its routes are in the order of the files.
func Combine(version uint64, parsed []ParsedFile, slots map[string]int) (*fleet.Configuration, inifile.Findings) {
	c := newCombiner(version, parsed, slots)
	for i := range parsed {
		c.define(i)
	}
	for i := range parsed {
		c.checkRoutes(i)
	}
	if len(c.findings) > 0 {
		return nil, c.findings
	}

	return c.configuration, nil
}

// combiner uses one map for each kind of name, sized in advance: at the target,
// every change passes 331,000 names through it on every daemon.
type combiner struct {
	configuration *fleet.Configuration
	slots         map[string]int
	files         []ParsedFile
	// teams, services and routeNames hold the index of the defining file.
	teams      map[string]int
	services   map[string]int
	routeNames map[routeName]int
	// places maps a place to its latest route, by index in the configuration's
	// routes, and previous maps a route to the one before at the same place,
	// or to -1.
	places   map[place]int
	previous []int
	// owners is the index of the file of each route.
	owners   []int
	findings inifile.Findings
}

// routeName identifies a route. Names are unique within a service, because
// they tell latencies of like requests apart.
type routeName struct {
	service, name string
}

type place struct {
	host, path string
}

func newCombiner(version uint64, parsed []ParsedFile, slots map[string]int) *combiner {
	var services, routes, accounts int
	for _, p := range parsed {
		services += len(p.Team.Services)
		routes += len(p.Team.Routes)
		accounts += p.Team.ClientAccounts.Len()
	}

	return &combiner{
		configuration: &fleet.Configuration{
			Version:        version,
			Services:       make(map[string]fleet.Service, services),
			Routes:         make([]*fleet.Route, 0, routes),
			ClientAccounts: fleet.NewClientAccounts(accounts),
		},
		slots:      slots,
		files:      parsed,
		teams:      make(map[string]int, len(parsed)),
		services:   make(map[string]int, services),
		routeNames: make(map[routeName]int, routes),
		places:     make(map[place]int, routes),
		previous:   make([]int, 0, routes),
		owners:     make([]int, 0, routes),
	}
}

func (c *combiner) report(index int, section, key, problem, expected string) {
	c.findings = append(c.findings, inifile.Finding{
		File: c.files[index].File, Section: section, Key: key, Problem: problem, Expected: expected,
	})
}

// reportTwice reports a name that an earlier file defines. Duplicates within
// one file are reported by Parse.
func (c *combiner) reportTwice(index, earlier int, name, section, key string) {
	if index != earlier {
		c.report(index, section, key, fmt.Sprintf("%s is already defined in %s", name, c.files[earlier].File), "a name that no other file uses")
	}
}

func (c *combiner) define(index int) {
	team := c.files[index].Team
	if earlier, ok := c.teams[team.Name]; ok && team.Name != "" {
		c.reportTwice(index, earlier, "Team "+team.Name, "", "Team")
	} else {
		c.teams[team.Name] = index
	}
	for _, service := range team.Services {
		section := kindService + " " + service.Name
		if earlier, ok := c.services[service.Name]; ok {
			c.reportTwice(index, earlier, section, section, "")

			continue
		}
		c.services[service.Name] = index
		c.configuration.Services[service.Name] = service
		if announced, known := c.slots[service.Name]; known && service.CapacityFloor.Slots > announced {
			c.report(index, section, "Floor", fmt.Sprintf("%d slots are above the capacity", service.CapacityFloor.Slots),
				fmt.Sprintf("at most the %d slots announced", announced))
		}
	}
	for _, account := range c.configuration.ClientAccounts.Add(team.ClientAccounts) {
		section := kindClientAccount + " " + account.Name
		c.reportTwice(index, c.accountOwner(account.Name), section, section, "")
	}
	for i := range team.Routes {
		c.defineRoute(index, &team.Routes[i])
	}
}

// accountOwner returns the first file that defines a client account. It is
// looked up only for duplicates, which saves a map of all accounts.
func (c *combiner) accountOwner(name string) int {
	return slices.IndexFunc(c.files, func(p ParsedFile) bool {
		for i := range p.Team.ClientAccounts.Len() {
			if p.Team.ClientAccounts.At(i).Name == name {
				return true
			}
		}

		return false
	})
}

func (c *combiner) defineRoute(index int, route *fleet.Route) {
	id := routeName{route.Service, route.Name}
	if earlier, ok := c.routeNames[id]; ok {
		section := kindRoute + " " + route.Name
		c.reportTwice(index, earlier, section+" to Service "+route.Service, section, "")
	} else {
		c.routeNames[id] = index
	}
	at := place{route.Host, route.PathPrefix}
	before, ok := c.places[at]
	if !ok {
		before = -1
	}
	c.places[at] = len(c.configuration.Routes)
	c.configuration.Routes = append(c.configuration.Routes, route)
	c.previous = append(c.previous, before)
	c.owners = append(c.owners, index)
}

// checkRoutes checks the routes of one file against all others.
func (c *combiner) checkRoutes(index int) {
	for _, route := range c.files[index].Team.Routes {
		if _, ok := c.services[route.Service]; !ok && route.Service != "" {
			c.report(index, kindRoute+" "+route.Name, "Service", fmt.Sprintf("no team defines the service %q", route.Service),
				"a service with a section [Service "+route.Service+"] in a team file")
		}
	}
	first, _ := slices.BinarySearch(c.owners, index)
	for i := first; i < len(c.owners) && c.owners[i] == index; i++ {
		route := c.configuration.Routes[i]
		if route.Host == "" || route.PathPrefix == "" {
			continue // reported by Parse
		}
		for j := c.previous[i]; j >= 0; j = c.previous[j] {
			c.checkSame(i, j)
		}
		for path := parentPath(route.PathPrefix); path != ""; path = parentPath(path) {
			j, ok := c.places[place{route.Host, path}]
			for ; ok && j >= 0; j = c.previous[j] {
				c.checkInside(i, j)
			}
		}
	}
}

// parentPath returns the next shorter path at a segment boundary, or empty.
func parentPath(path string) string {
	if path == "/" {
		return ""
	}

	return path[:max(1, strings.LastIndexByte(path, '/'))]
}

func (c *combiner) where(i int) string {
	return fmt.Sprintf("[%s %s] in %s", kindRoute, c.configuration.Routes[i].Name, c.files[c.owners[i]].File)
}

// checkSame reports a method that two routes at the same place have.
func (c *combiner) checkSame(i, j int) {
	route, other := c.configuration.Routes[i], c.configuration.Routes[j]
	for _, method := range route.Methods {
		if slices.Contains(other.Methods, method) {
			c.report(c.owners[i], kindRoute+" "+route.Name, "PathPrefix",
				fmt.Sprintf("%s %s%s overlaps %s", method, route.Host, route.PathPrefix, c.where(j)),
				"a host, path prefix and method that no other route has")

			return
		}
	}
}

// checkInside reports a route below another team's path prefix.
func (c *combiner) checkInside(i, j int) {
	if c.owners[i] == c.owners[j] {
		return
	}
	route := c.configuration.Routes[i]
	c.report(c.owners[i], kindRoute+" "+route.Name, "PathPrefix",
		fmt.Sprintf("%s%s is inside %s of %s", route.Host, route.PathPrefix, c.configuration.Routes[j].PathPrefix, c.where(j)),
		"a path prefix outside those of other teams on the same host")
}
