package routing

import (
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// TestMatch guards against a request running on another route's rules, above
// all a keyed path being reached through an open one.
func TestMatch(t *testing.T) {
	t.Parallel()

	table := New([]*fleet.Route{
		{Name: "public", Host: "ponds.example", PathPrefix: "/public", Methods: []string{"GET"}, AllowAnonymous: true},
		{Name: "calendar", Host: "ponds.example", PathPrefix: "/calendar/", Methods: []string{"GET", "HEAD"}},
		{Name: "day", Host: "ponds.example", PathPrefix: "/calendar/day", Methods: []string{"GET"}},
		{Name: "book", Host: "ponds.example", PathPrefix: "/calendar/day", Methods: []string{"POST"}},
		{Name: "below", Host: "ponds.example", PathPrefix: "/below/", SubpathsOnly: true},
		{Name: "any", PathPrefix: "/", Methods: []string{"GET"}},
	})
	tests := []struct {
		method, host, target string
		want                 string
		wantResult           Result
	}{
		{"GET", "ponds.example", "/calendar", "calendar", Matched},
		{"GET", "PONDS.example:8080", "/calendar/week?x=1", "calendar", Matched},
		{"GET", "ponds.example", "/calendar/day/1", "day", Matched},
		{"HEAD", "ponds.example", "/calendar/day/1", "calendar", Matched},
		{"POST", "ponds.example", "/calendar/day", "book", Matched},
		{"GET", "ponds.example", "/calendarx", "any", Matched},
		{"GET", "ponds.example", "/below", "any", Matched},
		{"POST", "ponds.example", "/below?x=/", "", MethodNotAllowed},
		{"GET", "ponds.example", "/below/", "below", Matched},
		{"GET", "ponds.example", "/below/x?y", "below", Matched},
		{"GET", "other.example", "/calendar", "any", Matched},
		{"DELETE", "ponds.example", "/calendar", "", MethodNotAllowed},
		{"POST", "ponds.example", "/public/../calendar/day", "", BadPath},
		{"GET", "ponds.example", "/public/%2e%2e/calendar", "", BadPath},
		{"GET", "ponds.example", "/public/%252e%252e/calendar", "", BadPath},
		{"GET", "ponds.example", "//calendar", "", BadPath},
		{"GET", "ponds.example", "/public\\..\\calendar", "", BadPath},
		{"GET", "ponds.example", "*", "", BadPath},
		{"GET", "ponds.example", "/%zz", "", BadPath},
	}

	for _, tt := range tests {
		got, result := table.Match(tt.method, tt.host, tt.target)
		if got.Name != tt.want || result != tt.wantResult {
			t.Errorf("%s %s%s: got %q, %v, want %q, %v", tt.method, tt.host, tt.target, got.Name, result, tt.want, tt.wantResult)
		}
	}
}

// TestMatchLikeScan guards against routes that the hash table loses or finds at
// another place, by comparison with a scan of all routes.
func TestMatchLikeScan(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.SampledFrom([]string{"a.example", "b.example", "A.example"})
		path := rapid.SampledFrom([]string{"/", "/a", "/a/b", "/a/b/c", "/b", "/ab"})
		method := rapid.SampledFrom([]string{"GET", "POST"})
		var routes []*fleet.Route
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			routes = append(routes, &fleet.Route{
				Name: strconv.Itoa(i), Host: host.Draw(t, "host"), PathPrefix: path.Draw(t, "prefix"), Methods: []string{method.Draw(t, "method")},
			})
		}
		gotMethod, gotHost, target := method.Draw(t, "wanted"), host.Draw(t, "to"), path.Draw(t, "target")
		want, wantResult := fleet.Route{}, NoRoute
		for _, r := range routes {
			prefix := trim(r.PathPrefix)
			if !strings.EqualFold(r.Host, gotHost) || !strings.HasPrefix(trim(target)+"/", prefix+"/") {
				continue
			}
			if r.Methods[0] != gotMethod {
				wantResult = MethodNotAllowed
			} else if want.Name == "" || len(prefix) > len(trim(want.PathPrefix)) {
				want = *r
			}
		}
		if want.Name != "" {
			wantResult = Matched
		}
		got, result := New(routes).Match(gotMethod, gotHost, target)
		if got.Name != want.Name || result != wantResult {
			t.Fatalf("got %q and %v, want %q and %v", got.Name, result, want.Name, wantResult)
		}
	})
}
