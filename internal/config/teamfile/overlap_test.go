package teamfile

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against overlaps that the lookup by parent paths misses or invents,
// by comparison with every pair of routes.
func TestOverlapsOfGeneratedRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parsed []ParsedFile
		for i := range 3 {
			team := fleet.Team{Name: fmt.Sprintf("T%d", i)}
			if i == 0 {
				team.Services = []fleet.Service{{Name: "S", CapacityFloor: fleet.CapacityFloor{Slots: 1}}}
			}
			for j := range rapid.IntRange(0, 4).Draw(t, "routes") {
				team.Routes = append(team.Routes, fleet.Route{
					Name: fmt.Sprintf("R%d-%d", i, j), Team: team.Name, Service: "S",
					Host:       rapid.SampledFrom([]string{"a.example", "b.example"}).Draw(t, "host"),
					PathPrefix: rapid.SampledFrom([]string{"/", "/a", "/ab", "/a/b", "/a/b/c", "/b"}).Draw(t, "path"),
					Methods:    []string{rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")},
				})
			}
			parsed = append(parsed, ParsedFile{File: team.Name, Team: team})
		}
		var want []string
		for i, p := range parsed {
			for j, q := range parsed {
				for k, r := range p.Team.Routes {
					for l, s := range q.Team.Routes {
						earlier := j < i || j == i && l < k
						same := r.PathPrefix == s.PathPrefix && slices.Equal(r.Methods, s.Methods) && earlier
						inside := i != j && r.PathPrefix != s.PathPrefix && strings.HasPrefix(r.PathPrefix+"/", strings.TrimSuffix(s.PathPrefix, "/")+"/")
						if r.Host == s.Host && (same || inside) {
							want = append(want, r.Name+" "+s.Name)
						}
					}
				}
			}
		}
		var got []string
		_, findings := Combine(1, parsed, nil)
		for _, finding := range findings {
			_, other, _ := strings.Cut(finding.Problem, "[Route ")
			other, _, _ = strings.Cut(other, "]")
			got = append(got, strings.TrimPrefix(finding.Section, "Route ")+" "+other)
		}
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("got overlaps %v, want %v", got, want)
		}
	})
}
