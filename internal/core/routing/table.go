// Package routing finds the route of a request.
package routing

import (
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Result says how a lookup ended.
type Result int

// Results of a lookup.
const (
	// Matched means that a route was found.
	Matched Result = iota
	// NoRoute means that no route has the host and path.
	NoRoute
	// MethodNotAllowed means that routes exist, but not for the method.
	MethodNotAllowed
	// BadPath means that the path has dot segments or empty segments, which
	// an upstream could resolve to another route's path.
	BadPath
)

// AnyHost is the host of routes that match every host.
const AnyHost = "*"

type key struct {
	host   string
	prefix string
}

// Table is an immutable index of a configuration's routes.
type Table struct {
	routes map[key][]fleet.Route
}

// New returns the table of the given routes.
func New(routes []fleet.Route) *Table {
	t := &Table{routes: make(map[key][]fleet.Route, len(routes))}
	for _, route := range routes {
		k := key{host: strings.ToLower(route.Host), prefix: trim(route.PathPrefix)}
		if k.host == "" {
			k.host = AnyHost
		}

		t.routes[k] = append(t.routes[k], route)
	}

	return t
}

// Match returns the route with the longest prefix of whole path segments for
// the host, then for any host. The host may carry a port.
func (t *Table) Match(method, host, target string) (fleet.Route, Result) {
	requestPath, ok := cleanPath(target)
	if !ok {
		return fleet.Route{}, BadPath
	}

	result := NoRoute

	for _, h := range []string{hostname(host), AnyHost} {
		for prefix := requestPath; ; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
			routes := t.routes[key{host: h, prefix: prefix}]
			for _, route := range routes {
				if slices.Contains(route.Methods, method) {
					return route, Matched
				}
			}

			if len(routes) > 0 {
				result = MethodNotAllowed
			}

			if prefix == "" {
				break
			}
		}
	}

	return fleet.Route{}, result
}

func cleanPath(target string) (string, bool) {
	raw, _, _ := strings.Cut(target, "?")

	decoded, err := url.PathUnescape(raw)
	if err != nil || !strings.HasPrefix(decoded, "/") || strings.Contains(decoded, "\\") {
		return "", false
	}

	// A second decoding at the upstream must not reveal other segments.
	lower := strings.ToLower(decoded)
	if strings.Contains(lower, "%2e") || strings.Contains(lower, "%2f") {
		return "", false
	}

	clean := path.Clean(decoded)
	if trim(decoded) != trim(clean) {
		return "", false
	}

	return trim(clean), true
}

func trim(prefix string) string {
	return strings.TrimSuffix(prefix, "/")
}

func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}

	return strings.ToLower(strings.TrimSuffix(host, "."))
}
