package teamfile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Load parses a set of team files and combines them into one configuration,
// which is nil if there are findings. Slots is the number of slots that the
// upstreams of each service announce, by service name, or nil if that is unknown.
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

// Combine validates parsed team files against one another and returns the
// configuration that they define together, or nil if there are findings. Its
// routes are in the order of the files and refer to the routes in parsed. Slots
// is as in Load.
func Combine(version uint64, parsed []ParsedFile, slots map[string]int) (*fleet.Configuration, inifile.Findings) {
	c := newCombiner(version, parsed, slots)
	for i := range parsed {
		c.addFile(i)
	}
	for i := range parsed {
		c.checkRoutes(i)
	}
	if len(c.findings) > 0 {
		return nil, c.findings
	}

	return c.configuration, nil
}

// combiner builds a configuration from parsed team files. Each kind of name has
// a map of its own, allocated at its final size, because at the target size each
// configuration change makes every daemon insert 331,000 names.
type combiner struct {
	configuration *fleet.Configuration
	// slots is the number of announced slots by service name, or nil.
	slots map[string]int
	files []ParsedFile
	// teamFiles, serviceFiles and routeKeyFiles map a name to the first file that
	// defines it, given as an index in files.
	teamFiles     map[string]int
	serviceFiles  map[string]int
	routeKeyFiles map[routeKey]int
	// latestRoutes maps a host and path to the last route added for them, as an
	// index in configuration.Routes. previousRoutes holds for each route the index
	// of the route added before it for the same host and path, or -1.
	latestRoutes   map[hostPath]int
	previousRoutes []int
	// routeFiles maps each route's index in configuration.Routes to its file, given as
	// an index in files. It is in ascending order.
	routeFiles []int
	findings   inifile.Findings
}

// routeKey identifies a route. Route names are unique within a service because the
// latencies of requests are compared only with those of the same service and route
// name.
type routeKey struct {
	service, name string
}

// hostPath is the host and path prefix that a route matches.
type hostPath struct {
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
		slots:          slots,
		files:          parsed,
		teamFiles:      make(map[string]int, len(parsed)),
		serviceFiles:   make(map[string]int, services),
		routeKeyFiles:  make(map[routeKey]int, routes),
		latestRoutes:   make(map[hostPath]int, routes),
		previousRoutes: make([]int, 0, routes),
		routeFiles:     make([]int, 0, routes),
	}
}

// addFinding adds a finding about the file with the given index.
func (c *combiner) addFinding(fileIndex int, section, key, problem, expected string) {
	c.findings = append(c.findings, inifile.Finding{
		File: c.files[fileIndex].File, Section: section, Key: key, Problem: problem, Expected: expected,
	})
}

// reportDuplicate adds a finding if the file with the index fileIndex defines a name
// that another file, with the index earlier, defines already. Parse reports duplicates
// within one file.
func (c *combiner) reportDuplicate(fileIndex, earlier int, name, section, key string) {
	if fileIndex != earlier {
		c.addFinding(fileIndex, section, key, fmt.Sprintf("%s is already defined in %s", name, c.files[earlier].File), "a name that no other file uses")
	}
}

// addFile adds the definitions of one file to the configuration and reports the
// names that an earlier file defines.
func (c *combiner) addFile(fileIndex int) {
	team := c.files[fileIndex].Team
	if earlier, ok := c.teamFiles[team.Name]; ok && team.Name != "" {
		c.reportDuplicate(fileIndex, earlier, "Team "+team.Name, "", "Team")
	} else {
		c.teamFiles[team.Name] = fileIndex
	}
	for _, service := range team.Services {
		section := kindService + " " + service.Name
		if earlier, ok := c.serviceFiles[service.Name]; ok {
			c.reportDuplicate(fileIndex, earlier, section, section, "")

			continue
		}
		c.serviceFiles[service.Name] = fileIndex
		c.configuration.Services[service.Name] = service
		if announced, known := c.slots[service.Name]; known && service.CapacityFloor.Slots > announced {
			c.addFinding(fileIndex, section, "Floor", fmt.Sprintf("%d slots are above the capacity", service.CapacityFloor.Slots),
				fmt.Sprintf("at most the %d slots announced", announced))
		}
	}
	for _, account := range c.configuration.ClientAccounts.Add(team.ClientAccounts) {
		section := kindClientAccount + " " + account.Name
		c.reportDuplicate(fileIndex, c.accountFile(account.Name), section, section, "")
	}
	for i := range team.Routes {
		c.addRoute(fileIndex, &team.Routes[i])
	}
}

// accountFile returns the index of the first file that defines a client account.
// It searches all files because only duplicates need it, which saves a map of all
// client accounts.
func (c *combiner) accountFile(name string) int {
	return slices.IndexFunc(c.files, func(p ParsedFile) bool {
		for i := range p.Team.ClientAccounts.Len() {
			if p.Team.ClientAccounts.At(i).Name == name {
				return true
			}
		}

		return false
	})
}

// addRoute adds a route to the configuration. It reports a name that another file
// uses for the same service.
func (c *combiner) addRoute(fileIndex int, route *fleet.Route) {
	key := routeKey{route.Service, route.Name}
	if earlier, ok := c.routeKeyFiles[key]; ok {
		section := kindRoute + " " + route.Name
		c.reportDuplicate(fileIndex, earlier, section+" to Service "+route.Service, section, "")
	} else {
		c.routeKeyFiles[key] = fileIndex
	}
	matched := hostPath{route.Host, route.PathPrefix}
	previous, ok := c.latestRoutes[matched]
	if !ok {
		previous = -1
	}
	c.latestRoutes[matched] = len(c.configuration.Routes)
	c.configuration.Routes = append(c.configuration.Routes, route)
	c.previousRoutes = append(c.previousRoutes, previous)
	c.routeFiles = append(c.routeFiles, fileIndex)
}

// checkRoutes reports the routes of one file that name an unknown service or
// overlap another route. All files must have been added.
func (c *combiner) checkRoutes(fileIndex int) {
	for _, route := range c.files[fileIndex].Team.Routes {
		if _, ok := c.serviceFiles[route.Service]; !ok && route.Service != "" {
			c.addFinding(fileIndex, kindRoute+" "+route.Name, "Service", fmt.Sprintf("no team defines the service %q", route.Service),
				"a service with a section [Service "+route.Service+"] in a team file")
		}
	}
	first, _ := slices.BinarySearch(c.routeFiles, fileIndex)
	for i := first; i < len(c.routeFiles) && c.routeFiles[i] == fileIndex; i++ {
		route := c.configuration.Routes[i]
		if route.Host == "" || route.PathPrefix == "" {
			continue // reported by Parse
		}
		for j := c.previousRoutes[i]; j >= 0; j = c.previousRoutes[j] {
			c.checkSamePath(i, j)
		}
		for path := parentPath(route.PathPrefix); path != ""; path = parentPath(path) {
			j, ok := c.latestRoutes[hostPath{route.Host, path}]
			for ; ok && j >= 0; j = c.previousRoutes[j] {
				c.checkNestedPath(i, j)
			}
		}
	}
}

// parentPath returns path without its last segment, or an empty string for "/".
func parentPath(path string) string {
	if path == "/" {
		return ""
	}

	return path[:max(1, strings.LastIndexByte(path, '/'))]
}

// describeRoute returns the section and file of route i for use in findings.
func (c *combiner) describeRoute(i int) string {
	return fmt.Sprintf("[%s %s] in %s", kindRoute, c.configuration.Routes[i].Name, c.files[c.routeFiles[i]].File)
}

// checkSamePath reports the first method that route i shares with route j, which
// has the same host and path prefix.
func (c *combiner) checkSamePath(i, j int) {
	route, other := c.configuration.Routes[i], c.configuration.Routes[j]
	for _, method := range route.Methods {
		if slices.Contains(other.Methods, method) {
			c.addFinding(c.routeFiles[i], kindRoute+" "+route.Name, "PathPrefix",
				fmt.Sprintf("%s %s%s overlaps %s", method, route.Host, route.PathPrefix, c.describeRoute(j)),
				"a host, path prefix and method that no other route has")

			return
		}
	}
}

// checkNestedPath reports route i if route j, whose path prefix contains that of
// route i, belongs to another team, that is, comes from another file.
func (c *combiner) checkNestedPath(i, j int) {
	if c.routeFiles[i] == c.routeFiles[j] {
		return
	}
	route := c.configuration.Routes[i]
	c.addFinding(c.routeFiles[i], kindRoute+" "+route.Name, "PathPrefix",
		fmt.Sprintf("%s%s is inside %s of %s", route.Host, route.PathPrefix, c.configuration.Routes[j].PathPrefix, c.describeRoute(j)),
		"a path prefix outside those of other teams on the same host")
}
