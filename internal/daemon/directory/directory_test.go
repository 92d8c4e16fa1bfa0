package directory

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/kumquatshelf/kumquatshelf/internal/core/balance"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// TestDirectoryLikeMap compares the directory with a map of all upstreams. It guards
// against upstreams that stay after their daemon no longer announces them, are lost when
// they move to another daemon, or are listed with the state of another upstream.
func TestDirectoryLikeMap(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := New("zone0", func(daemon string) (gossip.Status, bool) {
			return map[bool]gossip.Status{true: gossip.Faulty}[daemon == "d2"], true
		})
		type upstreamID struct{ service, name string }
		want, owners := map[upstreamID]balance.Candidate{}, map[upstreamID]string{}
		for step := range rapid.IntRange(1, 12).Draw(t, "updates") {
			number := rapid.IntRange(0, 3).Draw(t, "daemon")
			daemon, zone := fmt.Sprintf("d%d", number), fmt.Sprintf("zone%d", number%2)
			m := &peerpb.Member{Name: daemon, AvailabilityZone: zone, Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0}
			for id, owner := range owners {
				if owner == daemon {
					delete(owners, id)
					delete(want, id)
				}
			}
			for range rapid.IntRange(0, 6).Draw(t, "upstreams") {
				id := upstreamID{rapid.SampledFrom([]string{"s0", "s1", "s2"}).Draw(t, "service"), fmt.Sprintf("u%d", rapid.IntRange(0, 7).Draw(t, "upstream"))}
				state := rapid.SampledFrom([]fleet.UpstreamState{fleet.Warming, fleet.Ready, fleet.Shedding}).Draw(t, "state")
				since := int64(rapid.IntRange(0, 2).Draw(t, "since"))
				m.Upstreams = append(m.Upstreams, &peerpb.Upstream{
					Name: id.name, Service: id.service, Slots: uint32(step), State: uint32(state), StateSinceUnixNanoseconds: since,
				})
				owners[id] = daemon
				if m.Leaving {
					state = fleet.Draining
				}
				want[id] = balance.Candidate{
					Upstream: id.name, Daemon: daemon, EgressIncarnation: uint64(step + 1), SameZone: zone == "zone0", Slots: step, State: state,
				}
				if c := want[id]; since != 0 {
					c.StateSince = time.Unix(0, since)
					want[id] = c
				}
			}
			value, _ := proto.Marshal(m)
			d.Update(fleet.Entry{Kind: fleet.KindMember, Key: daemon, Incarnation: uint64(step + 1), Value: value})
			services := map[string]bool{}
			for _, service := range []string{"s0", "s1", "s2"} {
				var candidates []balance.Candidate
				upstreams := 0
				for id, c := range want {
					if id.service != service {
						continue
					}
					services[service] = true
					upstreams++
					if c.Daemon != "d2" {
						candidates = append(candidates, c)
					}
				}
				got := slices.Clone(d.Candidates(service))
				for _, list := range [][]balance.Candidate{got, candidates} {
					slices.SortFunc(list, func(a, b balance.Candidate) int { return cmp.Compare(a.Upstream, b.Upstream) })
				}
				if !slices.Equal(got, candidates) {
					t.Fatalf("%s: got %v, want %v", service, got, candidates)
				}
				if all := d.Upstreams(service); len(all) != upstreams {
					t.Fatalf("%s: got %v, want %d upstreams", service, all, upstreams)
				}
			}
			if got := d.Services(); len(got) != len(services) {
				t.Fatalf("got services %v, want %v", got, services)
			}
		}
	})
}
