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

// PeerCaller sends frames to other daemons.
type PeerCaller interface {
	// Call sends a frame to a daemon and returns the answer. It reports false if there
	// is none before ctx ends.
	Call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool)
	// CallAddress is like Call for a seed, of which only the address is known.
	CallAddress(ctx context.Context, address netip.AddrPort, frame *peerpb.Frame) (*peerpb.Frame, bool)
}

// Settings are the fixed parameters of a membership. Name, zone, region and addresses
// are announced to the other daemons.
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
	// Incarnation is the result of IncarnationAt, except in tests. It is raised if peers
	// have a higher incarnation for the name.
	Incarnation uint64
	// OnIncarnationRaised, if set, is called with the new incarnation after it was
	// raised, always from the same goroutine. If it is raised several times at once,
	// only the last is reported. Sessions opened with the previous incarnation must be
	// closed.
	OnIncarnationRaised func(incarnation uint64)
}

// IncarnationAt returns the incarnation of a daemon that starts at now: the Unix time
// in milliseconds, at least 1.
func IncarnationAt(now time.Time) uint64 {
	return uint64(max(now.UnixMilli(), 1)) //nolint:gosec // positive
}

// Membership keeps this daemon's view of the fleet up to date and announces the daemon
// to the others. It is safe for concurrent use.
type Membership struct {
	settings Settings
	peers    PeerCaller
	replica  *Replica
	random   *rand.Rand // only for announceVersion
	counters counters

	cancel             context.CancelFunc
	ctx                context.Context // its end stops all loops
	loops              sync.WaitGroup
	rumorsPending      chan struct{} // signals sendRumors
	gapDetected        chan struct{} // signals catchUp: rumors may have been missed
	versionChanged     chan struct{} // signals announceVersion
	raisedIncarnations chan uint64   // holds the last incarnation that reportRaised has not reported
	joined             chan struct{} // closed after the first exchange with a seed

	ownMu sync.Mutex
	own   *peerpb.Member // the value of this daemon's member entry

	contactMu sync.Mutex
	contact   Contact

	subscribersMu sync.Mutex
	subscribers   map[*subscriber]struct{}

	incarnation atomic.Uint64
}

// counters are published under the names of their fields; see Variables.
type counters struct {
	Probes, ProbeFailures, Exchanges, ExchangeFailures expvar.Int
	Rumors, RumorFailures, JoinFailures, Raised        expvar.Int
	Changes                                            expvar.Int
}

// New returns the membership and a function that ends its goroutines. It joins the
// fleet through the seeds in the background; the channel of Joined is closed when it
// has joined.
func New(settings Settings, peers PeerCaller, random *rand.Rand) (*Membership, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Membership{
		settings: settings, peers: peers, cancel: cancel, ctx: ctx,
		random:             rand.New(rand.NewPCG(random.Uint64(), random.Uint64())), //nolint:gosec // not for secrets
		rumorsPending:      make(chan struct{}, 1),
		gapDetected:        make(chan struct{}, 1),
		versionChanged:     make(chan struct{}, 1),
		raisedIncarnations: make(chan uint64, 1),
		joined:             make(chan struct{}),
		subscribers:        map[*subscriber]struct{}{},
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
	m.replica.Call = m.callPeer
	m.replica.OnChange = m.handleChanges
	for _, loop := range []func(){m.join, m.catchUp, m.sendRumors, m.probe, m.synchronize, m.refreshContact, m.tick, m.announceVersion, m.reportRaised} {
		m.loops.Go(loop)
	}

	return m, func() {
		cancel()
		m.loops.Wait()
		m.closeSubscribers()
	}
}

// encode returns the value of the daemon's member entry.
func encode(own *peerpb.Member) []byte {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(own)
	if err != nil {
		panic("membership: encode member entry: " + err.Error())
	}

	return value
}

// Incarnation returns this daemon's incarnation.
func (m *Membership) Incarnation() uint64 {
	return m.incarnation.Load()
}

// Joined returns a channel that is closed after the first completed exchange with a seed.
// The channel is closed at once if DiscoverSeeds is not set and there are no seeds except
// this daemon.
func (m *Membership) Joined() <-chan struct{} {
	return m.joined
}

// Handle answers a frame of another daemon. It reports false for frames of other
// protocols than membership.
func (m *Membership) Handle(ctx context.Context, from string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	return m.replica.Handle(ctx, from, frame)
}

// SetUpstreams replaces the upstreams in the daemon's member entry.
func (m *Membership) SetUpstreams(upstreams []fleet.Upstream) {
	m.updateOwn(func(own *peerpb.Member) { own.Upstreams = fromUpstreams(upstreams) })
}

// SetLeaving announces to the fleet whether the daemon is about to leave.
func (m *Membership) SetLeaving(leaving bool) {
	m.updateOwn(func(own *peerpb.Member) { own.Leaving = leaving })
}

// SetStoreUnavailable announces to the fleet whether the store does not answer the
// daemon. Such daemons are relays only if their availability zone has too few others.
func (m *Membership) SetStoreUnavailable(unavailable bool) {
	m.updateOwn(func(own *peerpb.Member) { own.StoreAway = unavailable })
}

// SetConfigurationVersion sets the version of the configuration that the daemon runs.
// It is announced with the next other change of the member entry, or alone after a
// random delay of up to 3 s at 32 members and 10 hours at 3,500. In large fleets,
// clients that need the current versions query the daemons themselves.
func (m *Membership) SetConfigurationVersion(version uint64) {
	m.ownMu.Lock()
	changed := m.own.ConfigurationVersion != version
	m.own.ConfigurationVersion = version
	m.ownMu.Unlock()
	if changed {
		signal(m.versionChanged)
	}
}

// updateOwn changes the daemon's member entry and announces it if its value differs
// from the one in the set.
func (m *Membership) updateOwn(f func(own *peerpb.Member)) {
	m.ownMu.Lock()
	defer m.ownMu.Unlock()
	f(m.own)
	value := encode(m.own)
	m.replica.WithNode(func(node *gossip.Node, now time.Time) {
		stored, _ := node.Get(fleet.KindMember, m.settings.Name)
		if string(stored.Value) != string(value) {
			node.Announce(value, now)
		}
	})
}

// Publish merges an entry that this daemon wrote and sends it to the other members. It
// reports whether the entry was stored.
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

// Range calls f for each entry of a kind, in no particular order. f must not call the
// membership.
func (m *Membership) Range(kind fleet.EntryKind, f func(fleet.Entry)) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { node.Range(kind, f) })
}

// Members returns all members whose entry is known, including this daemon and faulty
// members. It decodes every member entry: at 3,500 members with 43 upstreams callers
// should subscribe to the changes instead.
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

// RandomPeers returns up to count other members that are not faulty, chosen at random.
// Most of them are in this daemon's own availability zone.
func (m *Membership) RandomPeers(count int) (names []string) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { names = node.Peers(count) })

	return names
}

// PeersOwnZoneFirst returns up to count other members that are not faulty, in random
// order but with the members of the daemon's own availability zone before the others, of
// which there is at least one if count is above 1.
func (m *Membership) PeersOwnZoneFirst(count int) (names []string) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { names = node.PeersOwnZoneFirst(count) })

	return names
}

// Status returns this daemon's view of a member. It reports false if the member is
// not known.
func (m *Membership) Status(name string) (status gossip.Status, ok bool) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { status, ok = node.Status(name) })

	return status, ok
}

// Address returns the address at which a member accepts sessions. It reports false if the
// member is unknown or the address malformed. Faulty members are included, so that the two
// sides of a partition find each other when the partition ends.
func (m *Membership) Address(daemon string) (netip.AddrPort, bool) {
	e, ok := m.Get(fleet.KindMember, daemon)
	if !ok {
		return netip.AddrPort{}, false
	}

	return peerAddress(e.Value)
}

// IsRelay reports whether this daemon is one of the daemons that watch the store on
// behalf of its availability zone.
func (m *Membership) IsRelay() bool {
	return slices.Contains(m.Relays()[m.settings.AvailabilityZone], m.settings.Name)
}

// Relays returns, for each availability zone, the names of the daemons that watch the
// store.
func (m *Membership) Relays() (relays map[string][]string) {
	m.replica.WithNode(func(node *gossip.Node, _ time.Time) { relays = node.Relays() })

	return relays
}

// Leave announces to the fleet that the daemon has left. It repeats the rumor until a
// peer has answered it and then reports true. It reports false if ctx ends before or
// no peer is known. The caller then ends the membership.
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
		if !sleep(ctx, rumorInterval) {
			return false
		}
	}
}

// Variables returns the counters under the names of their metrics. The caller publishes
// them.
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
