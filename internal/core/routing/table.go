// Package routing finds the route of a request.
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

// Table is an immutable index of a configuration's routes. It refers to the
// routes, so that it needs 12 to 20 bytes for each.
type Table struct {
	routes []*fleet.Route
	// slots is a hash table with linear probing over hosts and prefixes. It
	// holds 1 more than the index of the first route of each, or 0.
	slots []uint32
	// next holds 1 more than the index of the next route with the same host and
	// prefix, or 0.
	next []uint32
	seed maphash.Seed
}

// New returns the table of the given routes, which must not be changed.
func New(routes []*fleet.Route) *Table {
	size := 4
	for 3*size < 4*len(routes) {
		size *= 2
	}

	t := &Table{
		routes: routes, slots: make([]uint32, size), next: make([]uint32, len(routes)), seed: maphash.MakeSeed(),
	}

	// Backwards, so that the routes of one place are found in their order.
	for i := len(routes) - 1; i >= 0; i-- {
		slot := t.find(hostOf(routes[i]), trim(routes[i].PathPrefix))
		t.next[i] = t.slots[slot]
		t.slots[slot] = uint32(i + 1) //nolint:gosec // far below 2^32
	}

	return t
}

func hostOf(route *fleet.Route) string {
	if route.Host == "" {
		return AnyHost
	}

	return strings.ToLower(route.Host)
}

// find returns the slot of a host and prefix, or the free slot for them.
func (t *Table) find(host, prefix string) uint64 {
	mask := uint64(len(t.slots) - 1)
	at := (maphash.String(t.seed, host) ^ bits.RotateLeft64(maphash.String(t.seed, prefix), 32)) & mask

	for ; t.slots[at] != 0; at = (at + 1) & mask {
		route := t.routes[t.slots[at]-1]
		if trim(route.PathPrefix) == prefix && hostOf(route) == host {
			break
		}
	}

	return at
}

// Match returns the route with the longest prefix of whole path segments for
// the host, then for any host. The host may carry a port.
func (t *Table) Match(method, host, target string) (fleet.Route, Result) {
	requestPath, ok := cleanPath(target)
	if !ok {
		return fleet.Route{}, BadPath
	}

	raw, _, _ := strings.Cut(target, "?")
	itself := !strings.HasSuffix(raw, "/")
	result := NoRoute

	for _, h := range []string{hostname(host), AnyHost} {
		for prefix := requestPath; ; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
			for i := t.slots[t.find(h, prefix)]; i != 0; i = t.next[i-1] {
				if t.routes[i-1].SubpathsOnly && itself && prefix == requestPath {
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
