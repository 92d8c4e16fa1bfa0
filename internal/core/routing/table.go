// Package routing finds the route that matches a request.
package routing

import (
	"hash/maphash"
	"math/bits"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Result is the outcome of a lookup.
type Result int

// Results of a lookup.
const (
	// Matched means that a route was found.
	Matched Result = iota
	// NoRoute means that no route matches the host and path.
	NoRoute
	// MethodNotAllowed means that routes match the host and path, but none of them
	// accepts the method.
	MethodNotAllowed
	// BadPath means that the path has dot segments or empty segments, which
	// an upstream could resolve to another route's path.
	BadPath
)

// AnyHost is the host of a route that matches requests for every host.
const AnyHost = "*"

// Table is an immutable index of a configuration's routes by host and path prefix. It
// refers to the routes instead of copying them, so that it takes 12 to 20 bytes for each.
type Table struct {
	routes []*fleet.Route
	// slots is a hash table with linear probing. Each slot holds the index plus 1 of the
	// first route with a host and prefix, or 0 if it is empty.
	slots []uint32
	// next holds, for each route, the index plus 1 of the next route with the same host
	// and prefix, or 0 if there is none.
	next []uint32
	seed maphash.Seed
}

// New returns the table of the given routes, which must not be changed afterwards. Of
// several matching routes with the same host and prefix, the first has precedence.
func New(routes []*fleet.Route) *Table {
	slotCount := 4
	for 3*slotCount < 4*len(routes) {
		slotCount *= 2
	}

	t := &Table{
		routes: routes, slots: make([]uint32, slotCount), next: make([]uint32, len(routes)), seed: maphash.MakeSeed(),
	}

	// Insert in reverse order, since each route is put in front of the other routes with
	// its host and prefix.
	for i := len(routes) - 1; i >= 0; i-- {
		slot := t.findSlot(hostOf(routes[i]), trimSlash(routes[i].PathPrefix))
		t.next[i] = t.slots[slot]
		t.slots[slot] = uint32(i + 1) //nolint:gosec // far below 2^32
	}

	return t
}

// hostOf returns the host that the table stores for a route.
func hostOf(route *fleet.Route) string {
	if route.Host == "" {
		return AnyHost
	}

	return strings.ToLower(route.Host)
}

// findSlot returns the slot of the host and prefix, or the free slot to insert them in.
func (t *Table) findSlot(host, prefix string) uint64 {
	mask := uint64(len(t.slots) - 1)
	index := (maphash.String(t.seed, host) ^ bits.RotateLeft64(maphash.String(t.seed, prefix), 32)) & mask

	for ; t.slots[index] != 0; index = (index + 1) & mask {
		route := t.routes[t.slots[index]-1]
		if trimSlash(route.PathPrefix) == prefix && hostOf(route) == host {
			break
		}
	}

	return index
}

// Match returns the route for a request. host may contain a port, target is the path
// and query as on the request line. Routes for the host precede routes for any host, and
// among them the longest prefix of whole path segments wins. Routes that do not accept
// the method are skipped.
func (t *Table) Match(method, host, target string) (fleet.Route, Result) {
	requestPath, ok := cleanPath(target)
	if !ok {
		return fleet.Route{}, BadPath
	}

	raw, _, _ := strings.Cut(target, "?")
	withoutSlash := !strings.HasSuffix(raw, "/")
	result := NoRoute

	for _, h := range []string{normalizeHost(host), AnyHost} {
		for prefix := requestPath; ; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
			for i := t.slots[t.findSlot(h, prefix)]; i != 0; i = t.next[i-1] {
				if t.routes[i-1].SubpathsOnly && withoutSlash && prefix == requestPath {
					continue
				}

				if methods := t.routes[i-1].Methods; len(methods) == 0 || slices.Contains(methods, method) {
					return *t.routes[i-1], Matched
				}

				result = MethodNotAllowed
			}

			if prefix == "" {
				break
			}
		}
	}

	return fleet.Route{}, result
}

// cleanPath returns the decoded path of a request target without a trailing slash. It
// reports false for paths that an upstream could resolve to another path.
func cleanPath(target string) (string, bool) {
	raw, _, _ := strings.Cut(target, "?")

	decoded, err := url.PathUnescape(raw)
	if err != nil || !strings.HasPrefix(decoded, "/") || strings.Contains(decoded, "\\") {
		return "", false
	}

	// An upstream that decodes the path a second time must not find other segments.
	lower := strings.ToLower(decoded)
	if strings.Contains(lower, "%2e") || strings.Contains(lower, "%2f") {
		return "", false
	}

	clean := path.Clean(decoded)
	if trimSlash(decoded) != trimSlash(clean) {
		return "", false
	}

	return trimSlash(clean), true
}

func trimSlash(prefix string) string {
	return strings.TrimSuffix(prefix, "/")
}

// normalizeHost returns a host in lower case. It removes the port and a trailing dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}

	return strings.ToLower(strings.TrimSuffix(host, "."))
}
