package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/membership"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// versionEntriesPerSecond is the limit for the whole fleet on member entries per second
	// that only announce a new configuration version. internal/daemon/membership spreads
	// them with versionDelay.
	versionEntriesPerSecond = 50.0
	// pledgeSeconds is the simulated time over which pledges are counted.
	pledgeSeconds = 60
)

// messageMeasures returns the costs of messages between daemons. Each exchange counts once,
// in both directions, at the daemon that sends the request. On average over the fleet a
// daemon receives as much as it sends.
func messageMeasures() []measure {
	sent := func(description, item, mechanism string, sizes []int, target, rate float64, cost func(int) float64) measure {
		return measure{
			role: everyDaemon, description: description, unit: trafficUnit, item: item, mechanism: mechanism, sizes: sizes, target: target, rate: rate,
			cost: cost, summed: true,
		}
	}
	memberBytes := func(n int) float64 { return float64(len(membership.MemberValue("daemon-0001", "zone-01", n))) }
	members := []int{11, 22, upstreamsPerDaemon}

	return []measure{
		sent("probes and anti-entropy without changes", "member", "gossip", []int{25, 50, 100}, daemons, 1, idleGossipBytes),
		sent("member entries of 11,750 failures and restarts a day", "upstream", "gossip, one transfer each", members, upstreamsPerDaemon,
			(restartsPerDay+750.0)/secondsPerDay, memberBytes),
		sent("member entries for configuration versions, 50/s", "upstream", "gossip, one transfer each", members, upstreamsPerDaemon,
			versionEntriesPerSecond, memberBytes),
		sent("configuration changes, 6,700 a day", "team", "manifest in 64 buckets with parts", fractionsOf(services), services, 1, changeBytes),
		sent("pledges of 31 owners, average of the fleet", "group", "shares lent to a granter per group", []int{16, 64, groups}, groups, 1.0/daemons,
			func(n int) float64 { return float64(n) * pledgeBytes() }),
		sent("tokens at 571 requests/s", "request/s", "holder per group, 256 groups", []int{143, 286, 571}, requestsPerDaemon, 1, tokenBytes),
	}
}

// idleGossipBytes returns the bytes per second and member of a fleet of n members in which
// nothing changes, counting each message once.
func idleGossipBytes(n int) float64 {
	f := membership.NewFleet(n, 4, upstreamsPerDaemon, 1)
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

// changeBytes returns the bytes per second that one daemon reads for configuration changes
// of the given number of teams.
func changeBytes(teams int) float64 {
	size := publication.Size{Teams: teams, Routes: teams * routes / services, ClientAccounts: teams * accounts / services, ChangesPerDay: changesPerDay}
	rows := publication.CompareLayouts(size)

	return rows[len(rows)-1].BytesPerSecond
}

// pledgeBytes returns the bytes per second of one group with the largest number of owners.
func pledgeBytes() float64 {
	var names []string
	pools := map[string]*pool.Pool{}
	for i := range pool.MaxOwners {
		name := fmt.Sprintf("daemon-%04d", i)
		names = append(names, name)
		pools[name] = pool.New(0, pool.Daemon{Name: name, Incarnation: 1}, epoch, rand.New(rand.NewPCG(1, uint64(i)))) //nolint:gosec // not for secrets
	}
	for _, p := range pools {
		p.UpdateOwners(epoch, pool.InitialOwners(names))
		p.SetCandidates(pool.RankDaemons(0, names))
	}
	bytes := 0
	const tick = 10 * time.Millisecond
	countFrom := epoch.Add(5 * time.Second)
	for now := epoch; now.Before(countFrom.Add(pledgeSeconds * time.Second)); now = now.Add(tick) {
		for _, name := range names {
			for _, message := range pools[name].DuePledges(now) {
				answer, _ := pools[message.To].Handle(now, name, message.Frame)
				pools[name].HandleAnswer(now, message, answer)
				if !now.Before(countFrom) && message.To != name {
					bytes += frameBytes(message.Frame) + frameBytes(answer) + streamOverheadBytes
				}
			}
		}
	}

	return float64(bytes) / pledgeSeconds
}

// frameBytes returns the size of a frame in bytes with its length prefix of 2 bytes.
func frameBytes(frame *peerpb.Frame) int { return proto.Size(frame) + 2 }

// tokenBytes returns the bytes per second of a daemon that spends rate tokens per second,
// spread at random over all client accounts. It simulates one group and multiplies the
// result by the number of groups.
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
	granter := tokens.NewGranter(epoch, 1, limits)
	var tokenHolders []*tokens.Holder
	for range holders {
		tokenHolders = append(tokenHolders, tokens.NewHolder(0, 1, limits))
	}
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // not for secrets
	share := float64(rate) / groups * tick.Seconds()
	bytes := 0
	// The buckets start empty, so the first 5 s are not counted.
	countFrom := epoch.Add(5 * time.Second)
	for now := epoch; now.Before(countFrom.Add(seconds * time.Second)); now = now.Add(tick) {
		for i, h := range tokenHolders {
			if now.After(countFrom) && random.Float64() < share {
				h.Take(now, fleet.TokenDemand{ClientAccount: accountName(random.IntN(accountsPerGroup)), Deadline: now.Add(time.Second)})
			}
			request := h.NextRequest(now)
			if request == nil {
				continue
			}
			result := granter.Handle(now, fmt.Sprintf("daemon-%04d", i), request, tokens.BatchTTL)
			h.HandleAnswer(now, request, result)
			bytes += frameBytes(&peerpb.Frame{Body: &peerpb.Frame_TokenRequest{TokenRequest: request}}) +
				frameBytes(&peerpb.Frame{Body: &peerpb.Frame_TokenResult{TokenResult: result}}) + streamOverheadBytes
		}
	}

	return float64(bytes) / seconds / holders * groups
}
