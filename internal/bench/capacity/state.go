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

// epoch is the simulated time at which measurements begin.
var epoch = time.Unix(1_800_000_000, 0)

// stateMeasures returns the costs in live heap of the state of a daemon.
func stateMeasures() []measure {
	heapMeasure := func(description, item, mechanism string, target int, build func(int) any) measure {
		return measure{
			role: everyDaemon, description: description, unit: heapUnit, item: item, mechanism: mechanism, sizes: fractionsOf(target),
			target: float64(target), rate: 1, summed: true,
			cost: func(n int) float64 { return measureHeap(func() any { return build(n) }) },
		}
	}
	egress := heapMeasure("attempt records", "record", "registry bounded by attempt.DefaultLimits", attempt.DefaultLimits().Records, filledRegistry)
	egress.role = "egress"
	queued := heapMeasure("queued items", "item", "queue per upstream, 16 items each", 16*upstreamsPerDaemon, filledQueues)
	queued.role = "egress"
	granter := heapMeasure("buckets, batches, last requests", "client account", "granter per group, 256 groups", accountsPerGroup, usedGranter)
	granter.role, granter.summed = granterRole, false

	return []measure{
		heapMeasure("key table", "key", "keys.Table", accounts, newKeyTable),
		heapMeasure("replicated keys", "key", "packed entries of gossip", accounts, gossipKeys),
		heapMeasure("replicated members", "daemon", "packed entries of gossip, 43 upstreams each", daemons, gossipMembers),
		heapMeasure("directory of upstreams", "daemon", "daemon/directory", daemons, newDirectory),
		{
			role: everyDaemon, description: "installed configuration", unit: heapUnit, item: "team", summed: true, rate: 1, target: services,
			mechanism: "publication.Snapshot with parsed teams and files", sizes: fractionsOf(services),
			cost: func(n int) float64 { return float64(installTeams(n).HeapBytes) },
		},
		{
			role: everyDaemon, description: "route table", unit: heapUnit, item: "route", summed: true, rate: 1, target: routes,
			mechanism: "routing.Table over the configuration's routes", sizes: fractionsOf(routes),
			cost: func(n int) float64 {
				list := routeList(n)
				defer runtime.KeepAlive(list)

				return measureHeap(func() any { return routing.New(list) })
			},
		},
		{
			role: everyDaemon, description: "groups and limits of client accounts", unit: heapUnit, item: "client account", summed: true, rate: 1, target: accounts,
			mechanism: "core/pool over the configuration's accounts", sizes: fractionsOf(accounts), cost: unusedPoolsHeap,
		},
		egress, queued, granter,
	}
}

// installTeams installs a configuration with the given number of teams, and with routes and
// client accounts in proportion to the target.
func installTeams(teams int) publication.Installation {
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

func newKeyTable(n int) any {
	t := keys.NewTable()
	for i := range n {
		t.Apply(keyHash(i), accountName(i), keys.Valid)
	}

	return t
}

func newNode() *gossip.Node {
	settings := gossip.Settings{Name: "daemon", AvailabilityZone: "zone", Incarnation: 1, DecodeInfo: daemon.DecodeMemberInfo}

	return gossip.NewNode(settings, nil, rand.New(rand.NewPCG(1, 1)), epoch) //nolint:gosec // not for secrets
}

// mergeEntry adds an entry to a node and removes it from the changes and rumors that the
// node still has to deliver.
func mergeEntry(n *gossip.Node, e fleet.Entry) {
	n.Merge([]fleet.Entry{e}, epoch)
	n.Changes()
	n.Rumors()
}

func gossipKeys(n int) any {
	node := newNode()
	for i := range n {
		value, _ := proto.Marshal(&peerpb.Key{ClientAccount: accountName(i)})
		mergeEntry(node, fleet.Entry{Kind: fleet.KindKey, Key: keyHash(i).String(), Version: 1, Value: value})
	}

	return node
}

func memberEntry(i int) fleet.Entry {
	name := fmt.Sprintf("daemon-%04d", i)

	return fleet.Entry{
		Kind: fleet.KindMember, Key: name, Incarnation: 1, Version: 1,
		Value: membership.MemberValue(name, fmt.Sprintf("zone-%02d", i%zones), upstreamsPerDaemon),
	}
}

func gossipMembers(n int) any {
	node := newNode()
	for i := range n {
		mergeEntry(node, memberEntry(i))
	}

	return node
}

func newDirectory(n int) any {
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

// unusedPoolsHeap returns the heap of the pools of all groups for n client accounts, at a
// daemon that requests no tokens.
func unusedPoolsHeap(n int) float64 {
	list := make([]fleet.ClientAccount, n)
	for i := range list {
		list[i] = fleet.ClientAccount{Name: accountName(i), Rate: 50, Burst: 100}
	}
	accounts := fleet.NewClientAccounts(n)
	accounts.Add(fleet.NewAccountList("Team", list))
	defer runtime.KeepAlive(accounts)

	return measureHeap(func() any {
		pools := make([]*pool.Pool, groups)
		for i := range pools {
			pools[i] = pool.New(i, pool.Daemon{Name: "daemon-0001", Incarnation: 1}, epoch, rand.New(rand.NewPCG(1, 1))) //nolint:gosec // not for secrets
			pools[i].Configure(epoch, tokens.GroupLimits(accounts, i, groups))
		}

		return pools
	})
}

func ingressSession(i int) fleet.Session {
	return fleet.Session{Daemon: fmt.Sprintf("daemon-%04d", i%daemons), Incarnation: 1, Number: 1}
}

// runAttempt admits, starts and finishes the i-th attempt.
func runAttempt(r *attempt.Registry, i int) {
	session := ingressSession(i)
	a := fleet.Attempt{ID: fleet.AttemptID{Ingress: session.Daemon, Incarnation: 1, Sequence: uint64(i + 1)}, Service: "Service0001"} //nolint:gosec // small
	r.Admit(session, a, epoch)
	r.Start(a.ID)
	r.Finish(a.ID, attempt.Result{Outcome: fleet.Ran}, epoch)
}

func newRegistry() *attempt.Registry {
	r := attempt.New(1, attempt.DefaultLimits())
	for i := range daemons {
		r.OpenSession(ingressSession(i), epoch)
	}

	return r
}

// filledRegistry returns a registry with n records of finished attempts.
func filledRegistry(n int) any {
	r := newRegistry()
	for i := range n {
		runAttempt(r, i)
	}

	return r
}

// filledQueues returns the queues of a daemon's upstreams with n items in total.
func filledQueues(n int) any {
	queues := make([]*queue.Queue, upstreamsPerDaemon)
	for i := range queues {
		queues[i] = queue.New(64)
	}
	for i := range n {
		queues[i%upstreamsPerDaemon].Push(item(i), 3, 0, epoch)
	}

	return queues
}

func item(i int) queue.Item {
	return queue.Item{ID: fleet.AttemptID{Ingress: "daemon-0001", Sequence: uint64(i)}, ClientAccount: accountName(i), Deadline: epoch.Add(time.Hour)} //nolint:gosec // small
}

// grantLoad requests one token at a time from a granter, in turn for all holders and client
// accounts, like holders whose demand is spread evenly.
type grantLoad struct {
	granter   *tokens.Granter
	accounts  int
	sequences []uint64
	requests  int
}

func newGrantLoad(n int) *grantLoad {
	limits := tokens.LimitMap{}
	for i := range n {
		limits[accountName(i)] = tokens.Limit{Rate: 50, Burst: 100}
	}

	return &grantLoad{granter: tokens.NewGranter(epoch, 1, limits), accounts: n, sequences: make([]uint64, daemons)}
}

// request sends the next request.
func (l *grantLoad) request() {
	holder := l.requests % daemons
	l.sequences[holder]++
	// With fewer client accounts than accountsPerGroup, the rate of requests is lower in
	// proportion to the number of accounts.
	interval := time.Duration(float64(time.Second) / requestsPerGroup * accountsPerGroup / float64(l.accounts))
	now := epoch.Add(time.Duration(l.requests) * interval)
	l.requests++
	l.granter.Handle(now, fmt.Sprintf("daemon-%04d", holder), &peerpb.TokenRequest{
		Incarnation: 1, Sequence: l.sequences[holder],
		Demands: []*peerpb.TokenDemand{{ClientAccount: strings.Clone(accountName(l.requests % l.accounts)), Tokens: 1, Waiting: 1}},
	}, tokens.BatchTTL)
}

// usedGranter returns a granter of n client accounts after as many requests as a group
// receives in 2 s at the target.
func usedGranter(n int) any {
	l := newGrantLoad(n)
	for range int(2 * requestsPerGroup) {
		l.request()
	}

	return l
}

// scatteredIndex returns an index below n for the i-th lookup, in an order unrelated to the
// order of insertion. The multiplier is 2^64 divided by the golden ratio.
func scatteredIndex(i, n int) int {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(i)*0x9e3779b97f4a7c15) //nolint:gosec // small

	return int(binary.BigEndian.Uint64(b[:])>>1) % n
}
