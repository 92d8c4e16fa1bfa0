package routing

import (
	"testing"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// TestMatch guards against a request running on another route's rules, above
// all a keyed path being reached through an open one.
func TestMatch(t *testing.T) {
	t.Parallel()

	table := New([]fleet.Route{
		{Name: "public", Host: "ponds.example", PathPrefix: "/public", Methods: []string{"GET"}, Open: true},
		{Name: "calendar", Host: "ponds.example", PathPrefix: "/calendar/", Methods: []string{"GET", "HEAD"}},
		{Name: "day", Host: "ponds.example", PathPrefix: "/calendar/day", Methods: []string{"GET"}},
		{Name: "book", Host: "ponds.example", PathPrefix: "/calendar/day", Methods: []string{"POST"}},
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
