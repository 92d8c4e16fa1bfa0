package membership

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// PeerCaller reaches other daemons.
type PeerCaller interface {
	Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)
	// CallAddress reaches a seed, whose name is not known.
	CallAddress(ctx context.Context, address netip.AddrPort, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Settings describe the daemon to the others.
type Settings struct {
	Name             string
	AvailabilityZone string
	Region           string
	PeerAddress      netip.AddrPort
	OperatorAddress  netip.AddrPort
	// Seeds are the peer addresses of daemons through which this one joins.
	Seeds []netip.AddrPort
	// DiscoverSeeds, if set, finds further daemons through which this one joins.
	DiscoverSeeds func(ctx context.Context) []netip.AddrPort
	// Incarnation is normally from Incarnation and is raised above what peers
	// hold for the name.
	Incarnation uint64
	// OnIncarnationRaised, if set, is called from one goroutine with each raised
	// incarnation; sessions opened with the former one must be closed.
	OnIncarnationRaised func(incarnation uint64)
}

// IncarnationAt returns the incarnation of a daemon that starts now: the wall
// clock in milliseconds.
func IncarnationAt(now time.Time) uint64 {
	return uint64(max(now.UnixMilli(), 1)) //nolint:gosec // positive
}

// Membership is this daemon's part in the fleet. It is safe for concurrent use.
type Membership struct {
	settings Settings
	peers    PeerCaller
	replica  *Replica
	random   *rand.Rand // used by the loop that delays announcements
	counters counters

	cancel  context.CancelFunc
	ctx     context.Context // ends all loops
	loops   sync.WaitGroup
	pending chan struct{} // there are rumors to spread
	missed  chan struct{} // rumors may have been missed
	delayed chan struct{} // the configuration version has to be announced
	raised  chan uint64
	joined  chan struct{}

	ownMu sync.Mutex
	own   *peerpb.Member

	contactMu sync.Mutex
	contact   Contact

	subscribersMu sync.Mutex
	subscribers   map[*subscriber]struct{}

	incarnation atomic.Uint64
}

type counters struct {
	Probes, ProbeFailures, Exchanges, ExchangeFailures expvar.Int
	Rumors, RumorFailures, JoinFailures, Raised        expvar.Int
	Changes                                            expvar.Int
}

// New returns the membership and a function that ends its goroutines. It joins
// the fleet through the seeds in the background; Joined tells when it has.
func New(settings Settings, peers PeerCaller, random *rand.Rand) (*Membership, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Membership{
		settings: settings, peers: peers, cancel: cancel, ctx: ctx,
		random:      rand.New(rand.NewPCG(random.Uint64(), random.Uint64())), //nolint:gosec // not for secrets
		pending:     make(chan struct{}, 1),
		missed:      make(chan struct{}, 1),
		delayed:     make(chan struct{}, 1),
		raised:      make(chan uint64, 1),
		joined:      make(chan struct{}),
		subscribers: map[*subscriber]struct{}{},
		own: &peerpb.Member{
			Name: settings.Name, PeerAddress: settings.PeerAddress.String(),
			AvailabilityZone: settings.AvailabilityZone, Region: settings.Region,
			OperatorAddress: settings.OperatorAddress.String(),
		},
	}
	m.incarnation.Store(settings.Incarnation)
	m.settings.Seeds = slices.DeleteFunc(slices.Clone(settings.Seeds), func(seed netip.AddrPort) bool {
		return seed == settings.PeerAddress
	})
	node := gossip.NewNode(gossip.Settings{
		Name: settings.Name, AvailabilityZone: settings.AvailabilityZone,
		Incarnation: settings.Incarnation, DecodeInfo: DecodeMemberInfo,
	}, encode(m.own), random, time.Now())
	m.replica = NewReplica(node)
	m.replica.Call = m.call
	m.replica.OnChange = m.changed
	for _, loop := range []func(){m.join, m.catchUp, m.spread, m.probe, m.synchronize, m.refresh, m.tick, m.announceVersion, m.raise} {
		m.loops.Go(loop)
	}

	return m, func() {
		cancel()
		m.loops.Wait()
		m.closeSubscribers()
	}
}

func encode(own *peerpb.Member) []byte {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(own)
	if err != nil {
		panic("membership: member entry cannot be encoded: " + err.Error())
	}

	return value
}

// Incarnation returns this daemon's incarnation.
func (m *Membership) Incarnation() uint64 {
	return m.incarnation.Load()
}

// Joined returns a channel that is closed after the first completed exchange
// with a seed, or at once if there are no seeds but this daemon.
func (m *Membership) Joined() <-chan struct{} {
	return m.joined
}

// Handle answers a frame of another daemon. It reports false for frames that do
// not belong to membership.
func (m *Membership) Handle(ctx context.Context, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	return m.replica.Handle(ctx, from, frame)
}

// SetUpstreams replaces the upstreams in the daemon's member entry.
func (m *Membership) SetUpstreams(upstreams []fleet.Upstream) {
	m.update(func(own *peerpb.Member) { own.Upstreams = fromUpstreams(upstreams) })
}

// SetLeaving tells the fleet whether the daemon is about to leave.
func (m *Membership) SetLeaving(leaving bool) {
	m.update(func(own *peerpb.Member) { own.Leaving = leaving })
}

// SetStoreUnavailable tells the fleet whether the store answers the daemon. Daemons that
// it does not answer are no relays while there are others.
func (m *Membership) SetStoreUnavailable(away bool) {
	m.update(func(own *peerpb.Member) { own.StoreAway = away })
}

// SetConfigurationVersion tells the fleet which configuration the daemon runs.
// It is announced with the next other change of the entry, or alone after a
// random delay of up to 3 s at 32 members and 10 hours at 3,500: in large fleets
// whoever needs the versions asks the daemons.
func (m *Membership) SetConfigurationVersion(version uint64) {
	m.ownMu.Lock()
	changed := m.own.ConfigurationVersion != version
	m.own.ConfigurationVersion = version
	m.ownMu.Unlock()
	if changed {
		wake(m.delayed)
	}
}

func (m *Membership) update(f func(own *peerpb.Member)) {
	m.ownMu.Lock()
	defer m.ownMu.Unlock()
	f(m.own)
	value := encode(m.own)
	m.replica.WithNode(func(node *gossip.Node, now time.Time) {
		held, _ := node.Get(fleet.KindMember, m.settings.Name)
		if string(held.Value) != string(value) {
			node.Announce(value, now)
		}
	})
}

// Publish merges an entry that this daemon wrote and spreads it. It reports
// whether the entry replaced the one in the set.
func (m *Membership) Publish(e fleet.Entry) bool {
	var replaced bool
	m.replica.WithNode(func(node *gossip.Node, now time.Time) { replaced = node.Publish(e, now) })

	return replaced
}

// Get returns an entry of the set.
func (m *Membership) Get(kind fleet.EntryKind, key string) (e fleet.Entry, ok bool) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { e, ok = node.Get(kind, key) })

	return e, ok
}

// Range calls f for each entry of a kind, in no order. f must not call the
// membership.
func (m *Membership) Range(kind fleet.EntryKind, f func(fleet.Entry)) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { node.Range(kind, f) })
}

// Members returns all members whose entry is known, with this daemon and with
// those that are faulty. It decodes every member entry: at 3,500 members with 43
// upstreams a caller should rather subscribe to the changes.
func (m *Membership) Members() []Member {
	var entries []fleet.Entry
	statuses := map[string]gossip.Status{}
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) {
		node.Range(fleet.KindMember, func(e fleet.Entry) {
			entries = append(entries, e)
			statuses[e.Key], _ = node.Status(e.Key)
		})
	})
	members := make([]Member, 0, len(entries))
	for _, e := range entries {
		if member, ok := DecodeMember(e); ok {
			member.Status = statuses[e.Key]
			members = append(members, member)
		}
	}

	return members
}

// MemberCount returns the number of members that are not faulty, this daemon included.
func (m *Membership) MemberCount() (count int) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { count = node.MemberCount() })

	return count
}

// Live returns the names of the members that are neither faulty nor leaving, this
// daemon included.
func (m *Membership) Live() (names []string) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { names = node.Live() })

	return names
}

// RandomPeers returns up to count other members that are not faulty, at random.
func (m *Membership) RandomPeers(count int) (names []string) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { names = node.Peers(count) })

	return names
}

// PeersOwnZoneFirst returns up to count other members that are not faulty, at random, those of
// the own availability zone first.
func (m *Membership) PeersOwnZoneFirst(count int) (names []string) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { names = node.PeersOwnZoneFirst(count) })

	return names
}

// Status returns what this daemon believes about a member, and whether it knows
// the member.
func (m *Membership) Status(name string) (status gossip.Status, ok bool) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { status, ok = node.Status(name) })

	return status, ok
}

// Address returns where a member accepts sessions. Faulty members have one too,
// so that both sides of a partition meet again.
func (m *Membership) Address(daemon string) (netip.AddrPort, bool) {
	e, ok := m.Get(fleet.KindMember, daemon)
	if !ok {
		return netip.AddrPort{}, false
	}

	return peerAddress(e.Value)
}

// IsRelay reports whether this daemon is one of those that watch the store for its
// availability zone.
func (m *Membership) IsRelay() bool {
	return slices.Contains(m.Relays()[m.settings.AvailabilityZone], m.settings.Name)
}

// Relays returns, for each availability zone, the daemons that watch the store.
func (m *Membership) Relays() (relays map[string][]string) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { relays = node.Relays() })

	return relays
}

// Leave tells the fleet that the daemon has gone. It returns once a peer knows,
// or when ctx ends, and reports which. The caller then ends the membership.
func (m *Membership) Leave(ctx context.Context) bool {
	m.SetLeaving(true)
	m.replica.WithNode(func(node *gossip.Node, now time.Time) { node.Leave(now) })
	for {
		var rumors Rumors
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) {
			e, _ := node.Get(fleet.KindSuspicion, m.settings.Name)
			rumors = Rumors{entries: []fleet.Entry{e}, peers: node.Peers(gossip.Fanout)}
		})
		if len(rumors.peers) == 0 || m.replica.SendRumors(ctx, rumors) > 0 {
			return len(rumors.peers) > 0
		}
		if !pause(ctx, rumorInterval) {
			return false
		}
	}
}

// Variables returns the counters, for the caller to publish.
func (m *Membership) Variables() *expvar.Map {
	variables := new(expvar.Map)
	c := &m.counters
	for name, counter := range map[string]*expvar.Int{
		"Probes": &c.Probes, "ProbeFailures": &c.ProbeFailures, "Exchanges": &c.Exchanges,
		"ExchangeFailures": &c.ExchangeFailures, "Rumors": &c.Rumors, "RumorFailures": &c.RumorFailures,
		"JoinFailures": &c.JoinFailures, "Raised": &c.Raised, "Changes": &c.Changes,
	} {
		variables.Set(name, counter)
	}

	return variables
}
