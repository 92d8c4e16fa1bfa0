package settings

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Guards against a reload that leaves a changed setting unnoticed.
func TestChanges(t *testing.T) {
	t.Parallel()

	before := Settings{
		Name: "a", Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7001")},
		Bounds: Bounds{StopGrace: 6 * time.Second, RetrySlack: 56},
	}

	for _, c := range []struct {
		name   string
		change func(*Settings)
		want   []string
	}{
		{"nothing", func(*Settings) {}, nil},
		{"equal seeds in another list", func(s *Settings) { s.Seeds = slices.Clone(s.Seeds) }, nil},
		{"seeds", func(s *Settings) { s.Seeds = nil }, []string{"Seeds"}},
		{"a bound and an address", func(s *Settings) {
			s.Bounds.StopGrace = time.Second
			s.Platform = netip.MustParseAddrPort("10.0.0.9:80")
		}, []string{"Platform", "Bounds.StopGrace"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			after := before
			c.change(&after)

			if got := ChangedNames(before, after); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
