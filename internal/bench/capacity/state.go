package capacity

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/bench/membership"
	"github.com/kumquatshelf/kumquatshelf/internal/bench/publication"
	"github.com/kumquatshelf/kumquatshelf/internal/core/attempt"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/core/queue"
	"github.com/kumquatshelf/kumquatshelf/internal/core/routing"
	"github.com/kumquatshelf/kumquatshelf/internal/core/tokens"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/directory"
	daemon "github.com/kumquatshelf/kumquatshelf/internal/daemon/membership"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

var begin = time.Unix(1_800_000_000, 0)

func stateMeasures() []measure {
	every := func(what, per, mechanism string, target int, build func(int) any) measure {
		return measure{
			role: everyDaemon, what: what, unit: heap, per: per, mechanism: mechanism, sizes: thirds(target),
			target: float64(target), rate: 1, every: true,
			cost: func(n int) float64 { return heapOf(func() any { return build(n) }) },
		}
	}
	egress := every("attempt records", "record", "registry bounded by attempt.DefaultLimits", attempt.DefaultLimits().Records, registry)
	egress.role = "egress"
	queued := every("queued items", "item", "queue per upstream, 16 items each", 16*perDaemon, queues)
	queued.role = "egress"
	granter := every("buckets, batches, last requests", "client account", "granter per group, 256 groups", accountsPerGroup, granters)
	granter.role, granter.every = granterRole, false

	return []measure{
		every("key table", "key", "keys.Table", accounts, keyTable),
		every("replicated keys", "key", "packed entries of gossip", accounts, gossipKeys),
		every("replicated members", "daemon", "packed entries of gossip, 43 upstreams each", daemons, gossipMembers),
		every("directory of upstreams", "daemon", "daemon/directory", daemons, directories),
		{
			role: everyDaemon, what: "installed configuration", unit: heap, per: "team", every: true, rate: 1, target: services,
			mechanism: "publication.Snapshot with parsed teams and files", sizes: thirds(services),
			cost: func(n int) float64 { return float64(installation(n).HeapBytes) },
		},
		{
			role: everyDaemon, what: "route table", unit: heap, per: "route", every: true, rate: 1, target: routes,
			mechanism: "routing.Table over the configuration's routes", sizes: thirds(routes),
			cost: func(n int) float64 {
				list := routeList(n)
				defer runtime.KeepAlive(list)

				return heapOf(func() any { return routing.New(list) })
			},
		},
		{
			role: everyDaemon, what: "groups and limits of client accounts", unit: heap, per: "client account", every: true, rate: 1, target: accounts,
			mechanism: "core/pool over the configuration's accounts", sizes: thirds(accounts), cost: holders,
		},
		egress, queued, granter,
	}
}

func installation(teams int) publication.Installation {
	result, err := publication.Install(context.Background(), publication.Size{
		Teams: teams, Routes: teams * routes / services, ClientAccounts: teams * accounts / services, ChangesPerDay: changesPerDay,
	})
	if err != nil {
		panic(err)
	}

	return result
}

func accountName(i int) string { return fmt.Sprintf("Account%06d", i) }

func keyHash(i int) keys.Hash { return keys.HashKey(fmt.Sprint("key ", i)) }

func keyTable(n int) any {
	t := keys.NewTable()
	for i := range n {
		t.Apply(keyHash(i), accountName(i), keys.Valid)
	}

	return t
}

func node() *gossip.Node {
	settings := gossip.Settings{Name: "daemon", AvailabilityZone: "zone", Incarnation: 1, DecodeInfo: daemon.DecodeMemberInfo}

	return gossip.NewNode(settings, nil, rand.New(rand.NewPCG(1, 1)), begin) //nolint:gosec // not for secrets
}

func merge(n *gossip.Node, e fleet.Entry) {
	n.Merge([]fleet.Entry{e}, begin)
	n.Changes()
	n.Rumors()
}

func gossipKeys(n int) any {
	set := node()
	for i := range n {
		value, _ := proto.Marshal(&peerpb.Key{ClientAccount: accountName(i)})
		merge(set, fleet.Entry{Kind: fleet.KindKey, Key: keyHash(i).String(), Version: 1, Value: value})
	}

	return set
}

func memberEntry(i int) fleet.Entry {
	name := fmt.Sprintf("daemon-%04d", i)

	return fleet.Entry{
		Kind: fleet.KindMember, Key: name, Incarnation: 1, Version: 1,
		Value: membership.MemberValue(name, fmt.Sprintf("zone-%02d", i%zones), perDaemon),
	}
}

func gossipMembers(n int) any {
	set := node()
	for i := range n {
		merge(set, memberEntry(i))
	}

	return set
}

func directories(n int) any {
	d := directory.New("zone-01", nil)
	for i := range n {
		d.Update(memberEntry(i))
	}

	return d
}

func routeList(n int) []*fleet.Route {
	list := make([]*fleet.Route, n)
	for i := range list {
		team := i % services
		list[i] = &fleet.Route{
			Name: fmt.Sprintf("Route%05d", i), Team: fmt.Sprintf("Team%04d", team), Service: fmt.Sprintf("Service%04d", team),
			Host: fmt.Sprintf("team%04d.example", team), PathPrefix: fmt.Sprintf("/route%05d", i), Methods: methods, Idempotent: true,
		}
	}

	return list
}

var methods = []string{"GET", "HEAD"}

// holders returns the groups of a daemon that uses none of its accounts.
func holders(n int) float64 {
	list := make([]fleet.ClientAccount, n)
	for i := range list {
		list[i] = fleet.ClientAccount{Name: accountName(i), Rate: 50, Burst: 100}
	}
	accounts := fleet.NewClientAccounts(n)
	accounts.Add(fleet.NewAccountList("Team", list))
	defer runtime.KeepAlive(accounts)

	return heapOf(func() any {
		all := make([]*pool.Pool, groups)
		for i := range all {
			all[i] = pool.New(i, pool.Daemon{Name: "daemon-0001", Incarnation: 1}, begin, rand.New(rand.NewPCG(1, 1))) //nolint:gosec // not for secrets
			all[i].Configure(begin, tokens.GroupLimits(accounts, i, groups))
		}

		return all
	})
}

func ingressSession(i int) fleet.Session {
	return fleet.Session{Daemon: fmt.Sprintf("daemon-%04d", i%daemons), Incarnation: 1, Number: 1}
}

func runAttempt(r *attempt.Registry, i int) {
	session := ingressSession(i)
	a := fleet.Attempt{ID: fleet.AttemptID{Ingress: session.Daemon, Incarnation: 1, Sequence: uint64(i + 1)}, Service: "Service0001"} //nolint:gosec // small
	r.Admit(session, a, begin)
	r.Start(a.ID)
	r.Finish(a.ID, attempt.Result{Outcome: fleet.Ran}, begin)
}

func newRegistry() *attempt.Registry {
	r := attempt.New(1, attempt.DefaultLimits())
	for i := range daemons {
		r.OpenSession(ingressSession(i), begin)
	}

	return r
}

func registry(n int) any {
	r := newRegistry()
	for i := range n {
		runAttempt(r, i)
	}

	return r
}

func queues(n int) any {
	all := make([]*queue.Queue, perDaemon)
	for i := range all {
		all[i] = queue.New(64)
	}
	for i := range n {
		all[i%perDaemon].Push(item(i), 3, 0, begin)
	}

	return all
}

func item(i int) queue.Item {
	return queue.Item{ID: fleet.AttemptID{Ingress: "daemon-0001", Sequence: uint64(i)}, ClientAccount: accountName(i), Deadline: begin.Add(time.Hour)} //nolint:gosec // small
}

// load asks a granter for one token at a time, as holders do whose demand is
// spread over all client accounts.
type load struct {
	granter  *tokens.Granter
	accounts int
	sequence []uint64
	asked    int
}

func newLoad(n int) *load {
	limits := tokens.LimitMap{}
	for i := range n {
		limits[accountName(i)] = tokens.Limit{Rate: 50, Burst: 100}
	}

	return &load{granter: tokens.NewGranter(begin, 1, limits), accounts: n, sequence: make([]uint64, daemons)}
}

func (l *load) ask() {
	holder := l.asked % daemons
	l.sequence[holder]++
	// A share of the group's requests for a share of its client accounts.
	interval := time.Duration(float64(time.Second) / requestsPerGroup * accountsPerGroup / float64(l.accounts))
	now := begin.Add(time.Duration(l.asked) * interval)
	l.asked++
	l.granter.Handle(now, fmt.Sprintf("daemon-%04d", holder), &peerpb.TokenRequest{
		Incarnation: 1, Sequence: l.sequence[holder],
		Demands: []*peerpb.TokenDemand{{ClientAccount: strings.Clone(accountName(l.asked % l.accounts)), Tokens: 1, Waiting: 1}},
	}, tokens.BatchTTL)
}

func granters(n int) any {
	l := newLoad(n)
	for range int(2 * requestsPerGroup) {
		l.ask()
	}

	return l
}

// sequence returns distinct numbers in an order unrelated to that of insertion.
func sequence(i, n int) int {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(i)*0x9e3779b97f4a7c15) //nolint:gosec // small

	return int(binary.BigEndian.Uint64(b[:])>>1) % n
}
