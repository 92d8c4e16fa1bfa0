package group

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/lease"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

var begin = time.Unix(1_000_000, 0)

// alone returns the group of a fleet of one that has held its lease for long
// enough to fill its buckets, and the time.
func alone(t *testing.T) (*Group, time.Time) {
	t.Helper()
	self := lease.Member{Name: "daemon1", AvailabilityZone: "zone1", PeerAddress: netip.MustParseAddrPort("127.0.0.1:7000"), Incarnation: 5}
	g := New(0, self, begin, rand.New(rand.NewPCG(1, 1)))
	g.Configure(begin, tokens.LimitMap{"club": {Rate: 10, Burst: 20}})
	g.Read(begin, begin, nil)
	if got := g.Propose(begin, []lease.Member{self}); got != nil {
		t.Fatalf("got %v at the start, want time to find other daemons first", got)
	}
	created := begin.Add(createAlone)
	g.Read(created, created, g.Propose(created, []lease.Member{self}))
	now := run(g, created, 10*time.Second)
	if !g.Held(now) {
		t.Fatal("got no lease, want the only daemon to hold it")
	}

	return g, now
}

// run passes the group's messages to itself.
func run(g *Group, now time.Time, length time.Duration) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for _, m := range g.Messages(now) {
			answer, _ := g.Handle(now, m.To, m.Frame)
			g.Answer(now, m, answer)
		}
	}

	return now
}

func ask(g *Group, now time.Time, sequence uint64) *peerpb.TokenResult {
	request := &peerpb.TokenRequest{Incarnation: 1, Sequence: sequence, Demands: []*peerpb.TokenDemand{{ClientAccount: "club", Tokens: 20, Waiting: 20}}}
	answer, _ := g.Handle(now, "daemon2", &peerpb.Frame{Body: &peerpb.Frame_TokenRequest{TokenRequest: request}})

	return answer.GetTokenResult()
}

// Guards against a granter that grants after its lease, or that keeps its
// buckets while another could have held the lease.
func TestGranterPausedPastItsLease(t *testing.T) {
	t.Parallel()
	g, now := alone(t)
	now = now.Add(lease.Duration)
	if got := ask(g, now, 1); got.GetGranter() {
		t.Errorf("got %v after the lease, want no grant", got)
	}
	now = run(g, now.Add(lease.Duration), time.Second)
	if got := ask(g, now, 2); !got.GetGranter() || len(got.GetGrants()) != 1 || got.GetGrants()[0].GetTokens() > 10 {
		t.Errorf("got %v within a second of the new lease, want at most the 10 tokens refilled in it", got)
	}
}

// Guards against a granter that releases its lease while tokens that it
// granted can still be spent by a holder with a slower clock.
func TestReleaseWaitsForGrants(t *testing.T) {
	t.Parallel()
	g, now := alone(t)
	ended := now
	last := now.Add(lease.Margin(time.Duration(ask(g, now, 1).GetGrants()[0].GetValidNanoseconds())))
	g.End(now)
	for sequence := uint64(2); sequence < 100; sequence++ {
		for _, m := range g.Messages(now) {
			if m.Frame.GetPromiseRequest().GetRelease() {
				if now.Before(last) {
					t.Errorf("got a release %v before the last grant expired, want it after", last.Sub(now))
				}
				if now.Sub(ended) > time.Second {
					t.Errorf("got a release after %v, want it within a second", now.Sub(ended))
				}

				return
			}
		}
		for _, grant := range ask(g, now, sequence).GetGrants() {
			if grant.GetTokens() > 0 {
				last = now.Add(lease.Margin(time.Duration(grant.GetValidNanoseconds())))
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	t.Error("got no release, want one")
}

// Guards against a leaving granter that keeps its lease to the end, because the
// others replaced its seat when it announced that it leaves.
func TestUnseatedGranterReleases(t *testing.T) {
	t.Parallel()
	g, now := alone(t)
	var others []lease.Member
	for i := range 3 {
		name := fmt.Sprintf("other%d", i)
		others = append(others, lease.Member{
			Name: name, AvailabilityZone: name, Incarnation: 1, PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(i+1)),
		})
	}
	g.Read(now, now, lease.Plan(0, g.Seats(), others))
	if seated, _ := g.Seated(now); seated || !g.Held(now) {
		t.Fatalf("got seated %v, held %v, want a holder without a seat", seated, g.Held(now))
	}
	g.End(now)
	for range 100 {
		for _, m := range g.Messages(now) {
			if m.Frame.GetPromiseRequest().GetRelease() {
				return
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	t.Error("got no release within a second, want one")
}
