package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/membership"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/group"
	"github.com/kumquatshelf/kumquatshelf/internal/core/health"
	"github.com/kumquatshelf/kumquatshelf/internal/core/lease"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// versionAnnouncements is the fleet's bound of member entries per second
	// that only carry a new configuration version: one per versionDelay of
	// internal/daemon/membership.
	versionAnnouncements = 50.0
	leaseSeconds         = 60
)

// messageMeasures counts each message once, at the daemon that sends the request,
// in both directions. The average over the fleet is the same for receivers.
func messageMeasures() []measure {
	sent := func(role, what, per, mechanism string, sizes []int, target, rate float64, cost func(int) float64) measure {
		return measure{
			role: role, what: what, unit: traffic, per: per, mechanism: mechanism, sizes: sizes, target: target, rate: rate,
			cost: cost, every: role == everyDaemon,
		}
	}
	memberBytes := func(n int) float64 { return float64(len(membership.MemberValue("daemon-0001", "zone-01", n))) }
	reports := float64(time.Second / health.ReportInterval)
	members := []int{11, 22, perDaemon}

	return []measure{
		sent(everyDaemon, "probes and anti-entropy without changes", "member", "gossip", []int{25, 50, 100}, daemons, 1, idleGossip),
		sent(everyDaemon, "member entries of 11,750 failures and restarts a day", "upstream", "gossip, one transfer each", members, perDaemon,
			(restartsPerDay+750.0)/secondsPerDay, memberBytes),
		sent(everyDaemon, "member entries for configuration versions, 50/s", "upstream", "gossip, one transfer each", members, perDaemon,
			versionAnnouncements, memberBytes),
		sent(everyDaemon, "configuration changes, 6,700 a day", "team", "manifest in 64 buckets with parts", thirds(services), services, 1, changeBytes),
		sent(everyDaemon, "lease, average of the fleet", "group", "promises of five seats", []int{16, 64, groups}, groups, 1.0/daemons,
			func(n int) float64 { return float64(n) * leaseBytes() }),
		sent(leaseHolder, "lease of its groups", "group held", "promises of five seats", []int{1, 2, 4}, 1, 1,
			func(n int) float64 { return float64(n) * leaseBytes() }),
		sent(everyDaemon, "evidence of 43 upstreams, 4/s", "upstream", "peerpb.Evidence, frame per lease holder", members, perDaemon, reports,
			func(n int) float64 { return evidenceBytes(n, 0) }),
		sent(everyDaemon, "evidence of paths, 143 every 250 ms", "path", "peerpb.Evidence, frame per lease holder", []int{36, 72, 143}, 143, reports,
			func(n int) float64 { return evidenceBytes(0, n) }),
		sent(everyDaemon, "tokens at 571 requests/s", "request/s", "holder per group, 256 groups", []int{143, 286, 571}, requestsPerDaemon, 1, tokenBytes),
	}
}

// idleGossip returns the bytes per second and member of a fleet in which nothing
// changes, counting each message once.
func idleGossip(n int) float64 {
	f := membership.NewFleet(n, 4, perDaemon, 1)
	for range 5 * membership.StepsPerPeriod {
		f.Step()
	}
	const seconds = 10
	before := f.Bytes
	for range seconds * membership.StepsPerPeriod {
		f.Step()
	}

	return float64(f.Bytes-before) / seconds / float64(n)
}

func changeBytes(teams int) float64 {
	size := publication.Size{Teams: teams, Routes: teams * routes / services, ClientAccounts: teams * accounts / services, ChangesPerDay: changesPerDay}
	rows := publication.BytesPerChange(size)

	return rows[len(rows)-1].BytesPerSecond
}

// leaseBytes returns the bytes per second of one group with five seats.
func leaseBytes() float64 {
	var members []lease.Member
	all := map[string]*group.Group{}
	for i := range lease.MaxSeats {
		members = append(members, leaseMember(i))
		all[members[i].Name] = group.New(0, members[i], begin, rand.New(rand.NewPCG(1, uint64(i)))) //nolint:gosec // not for secrets
	}
	// A daemon proposes seats only after it found none in the store.
	all[members[0].Name].Read(begin, begin, nil)
	seats := all[members[0].Name].Propose(begin, members)
	for _, g := range all {
		g.Read(begin, begin, seats)
	}
	bytes := 0
	const tick = 50 * time.Millisecond
	settled := begin.Add(20 * time.Second)
	for now := begin; now.Before(settled.Add(leaseSeconds * time.Second)); now = now.Add(tick) {
		for _, m := range members {
			for _, message := range all[m.Name].Messages(now) {
				answer, _ := all[message.To].Handle(now, m.Name, message.Frame)
				all[m.Name].Answer(now, message, answer)
				if !now.Before(settled) && message.To != m.Name {
					bytes += frameBytes(message.Frame) + frameBytes(answer) + streamOverheadBytes
				}
			}
		}
	}

	return float64(bytes) / leaseSeconds
}

// frameBytes is the length of a frame with its length prefix.
func frameBytes(frame *peerpb.Frame) int { return proto.Size(frame) + 2 }

// evidenceFrame returns the evidence of one interval as internal/daemon/arbiter
// encodes it.
func evidenceFrame(upstreams, paths int) *peerpb.Frame {
	evidence := &peerpb.Evidence{AvailabilityZone: "zone-01"}
	for i := range upstreams {
		u := &peerpb.UpstreamEvidence{Service: serviceOf(i), Upstream: fmt.Sprintf("daemon-0001-%02d", i), Requests: intervalRequests, Callers: intervalRequests}
		for r := range uint32(intervalRequests) {
			u.Routes = append(u.Routes, &peerpb.RouteEvidence{Route: health.Hash(fmt.Sprint(i, r)), Count: 1, Sum: 3.5, SumSquares: 12.2})
		}
		evidence.Upstreams = append(evidence.Upstreams, u)
	}
	for i := range paths {
		evidence.Paths = append(evidence.Paths, &peerpb.PathEvidence{Service: serviceOf(i + upstreams), Upstream: fmt.Sprintf("daemon-%04d-01", i), Reached: 1})
	}

	return &peerpb.Frame{Body: &peerpb.Frame_Evidence{Evidence: evidence}}
}

func serviceOf(i int) string { return fmt.Sprintf("Service%04d", i*151%services) }

// evidenceBytes returns the bytes of one interval, in one frame for each lease
// holder; each holder has one group.
func evidenceBytes(upstreams, paths int) float64 {
	holders := map[int]bool{}
	for i := range upstreams + paths {
		holders[fleet.Group(serviceOf(i), groups)] = true
	}
	answer := frameBytes(&peerpb.Frame{Body: &peerpb.Frame_Acknowledged{Acknowledged: &peerpb.Acknowledged{Accepted: true}}})
	empty := frameBytes(evidenceFrame(0, 0))

	return float64(frameBytes(evidenceFrame(upstreams, paths)) - empty + len(holders)*(empty+answer+streamOverheadBytes))
}

// tokenBytes returns the bytes per second of a daemon that spends rate tokens per
// second of all client accounts in turn, from the share of one group.
func tokenBytes(rate int) float64 {
	const (
		holders = 50
		seconds = 20
		tick    = 5 * time.Millisecond
	)
	limits := tokens.LimitMap{}
	for i := range accountsPerGroup {
		limits[accountName(i)] = tokens.Limit{Rate: 50, Burst: 100}
	}
	granter := tokens.NewGranter(begin, 1, limits)
	var all []*tokens.Holder
	for range holders {
		all = append(all, tokens.NewHolder(0, 1, limits))
	}
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // not for secrets
	share := float64(rate) / groups * tick.Seconds()
	bytes := 0
	// The buckets start empty.
	settled := begin.Add(5 * time.Second)
	for now := begin; now.Before(settled.Add(seconds * time.Second)); now = now.Add(tick) {
		for i, h := range all {
			if now.After(settled) && random.Float64() < share {
				h.Take(now, accountName(random.IntN(accountsPerGroup)), now.Add(time.Second))
			}
			request := h.Request(now)
			if request == nil {
				continue
			}
			result := granter.Handle(now, fmt.Sprintf("daemon-%04d", i), request, tokens.TTL)
			h.Answer(now, request, result)
			bytes += frameBytes(&peerpb.Frame{Body: &peerpb.Frame_TokenRequest{TokenRequest: request}}) +
				frameBytes(&peerpb.Frame{Body: &peerpb.Frame_TokenResult{TokenResult: result}}) + streamOverheadBytes
		}
	}

	return float64(bytes) / seconds / holders * groups
}
