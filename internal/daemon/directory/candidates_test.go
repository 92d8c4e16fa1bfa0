package directory

import (
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// memberEntry returns the entry of member d1 with the given upstreams of service S.
func memberEntry(t *testing.T, incarnation, version uint64, leaving bool, upstreams ...string) fleet.Entry {
	t.Helper()

	member := &peerpb.Member{Name: "d1", AvailabilityZone: "a", PeerAddress: "127.0.0.1:1", Leaving: leaving}
	for _, name := range upstreams {
		member.Upstreams = append(member.Upstreams, &peerpb.Upstream{Name: name, Service: "S", Slots: 3, State: uint32(fleet.Ready)})
	}

	value, err := proto.Marshal(member)
	if err != nil {
		t.Fatalf("encode member: %v", err)
	}

	return fleet.Entry{Kind: fleet.KindMember, Key: "d1", Incarnation: incarnation, Version: version, Value: value}
}

// TestCandidates guards against candidates whose daemon is faulty or leaving, or that
// their daemon no longer announces.
func TestCandidates(t *testing.T) {
	t.Parallel()

	tests := []struct {
		name          string
		entries       func(t *testing.T) []fleet.Entry
		status        gossip.Status
		want          int
		wantAccepting int
		wantZone      bool
	}{
		{"announced", func(t *testing.T) []fleet.Entry {
			return []fleet.Entry{memberEntry(t, 1, 1, false, "u1", "u2")}
		}, gossip.Alive, 2, 2, true},
		{"withdrawn", func(t *testing.T) []fleet.Entry {
			return []fleet.Entry{memberEntry(t, 1, 1, false, "u1", "u2"), memberEntry(t, 1, 2, false, "u2")}
		}, gossip.Alive, 1, 1, true},
		{"leaving", func(t *testing.T) []fleet.Entry {
			return []fleet.Entry{memberEntry(t, 1, 1, false, "u1"), memberEntry(t, 1, 2, true, "u1")}
		}, gossip.Alive, 1, 0, true},
		{"faulty", func(t *testing.T) []fleet.Entry {
			return []fleet.Entry{memberEntry(t, 1, 1, false, "u1")}
		}, gossip.Faulty, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d := New("a", func(string) (gossip.Status, bool) { return tt.status, true })
				for _, entry := range tt.entries(t) {
					d.Update(entry)
					d.Candidates("S") // fills the cache, which the next entry must invalidate
				}

				accepting := 0

				candidates := d.Candidates("S")
				for _, candidate := range candidates {
					if candidate.State != fleet.Draining {
						accepting++
					}

					if candidate.SameZone != tt.wantZone {
						t.Errorf("same zone: got %v, want %v", candidate.SameZone, tt.wantZone)
					}
				}

				if len(candidates) != tt.want || accepting != tt.wantAccepting {
					t.Errorf("got %d candidates and %d that accept requests, want %d and %d", len(candidates), accepting, tt.want, tt.wantAccepting)
				}
			})
		})
	}
}

// TestPrune guards against memory that grows with each replaced daemon, and against
// requests for upstreams of daemons that membership has removed.
func TestPrune(t *testing.T) {
	t.Parallel()

	known := true
	d := New("a", func(string) (gossip.Status, bool) { return gossip.Alive, known })
	d.Update(memberEntry(t, 1, 1, false, "u1"))
	d.Prune()

	if got := len(d.Upstreams("S")); got != 1 {
		t.Fatalf("upstreams of a known member: got %d, want 1", got)
	}

	known = false

	d.Prune()

	if got := len(d.Upstreams("S")); got != 0 || len(d.members) != 0 {
		t.Errorf("got %d upstreams and %d members after the daemon was removed, want none", got, len(d.members))
	}
}
