package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// rumorInterval is how long changes are collected before they are sent as one
	// rumor. With about 6 hops at 3,500 members a rumor reaches all of them well
	// within the 3 s of R4.
	rumorInterval = 50 * time.Millisecond
	// gossipPeriod is the interval of probes and of anti-entropy exchanges.
	gossipPeriod = time.Second
	// directTimeout bounds a direct probe and indirectTimeout the indirect probes after it.
	// Together they are shorter than gossipPeriod.
	directTimeout   = 400 * time.Millisecond
	indirectTimeout = 500 * time.Millisecond
	// callTimeout bounds one call to another daemon.
	callTimeout = 900 * time.Millisecond
	// maxExchanges bounds the exchanges in one gossipPeriod with a peer that has further
	// entries.
	maxExchanges = 8
	// joinExchanges bounds the exchanges with one seed. 280,000 keys take about 120
	// exchanges of 256 KB.
	joinExchanges = 1000
	// seedPeriods is the number of periods between two exchanges with a seed after
	// the daemon has joined. It is not a multiple of a usual number of seeds, so that
	// each of them is used in turn.
	seedPeriods = 61
	// tickInterval is the interval of the time-outs of gossip and of the check for
	// missing contact.
	tickInterval = 250 * time.Millisecond
	// discoverPeriod is the time between two searches for other daemons in the store.
	discoverPeriod = 300 * time.Millisecond
	// refreshAfter is the time without contact with another availability zone after
	// which the daemon tries to renew it. It is longer than the interval of probes of
	// other zones, and leaves an exchange 500 ms before the daemon counts as isolated
	// after 2 s.
	refreshAfter = 1250 * time.Millisecond
	// refreshZones is the number of availability zones tried at once.
	refreshZones = 3
	// versionDelay times the square of the number of members is the maximum delay
	// before a changed configuration version is announced without another change: 15 s
	// at 32 members. An announcement costs each member about 2.4 KB with 43 upstreams,
	// so at 3,500 members, with a new version every 13 s, a short delay would exceed
	// the budget of 3 KB a second many times.
	versionDelay = 15 * time.Millisecond
)

// maxVersionDelay returns the maximum delay before a changed configuration version is
// announced without another change.
func maxVersionDelay(members int) time.Duration {
	return time.Duration(members*members) * versionDelay
}

// signal wakes the goroutine that receives from a channel with a buffer of one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default: // a signal is already pending
	}
}

// sleep waits for a duration. It reports false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callPeer sends a frame to another daemon and records the contact if it answers. The
// replica uses it for its calls.
func (m *Membership) callPeer(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := time.Now()
	answer, ok := m.peers.Call(ctx, daemon, frame)
	if ok {
		m.recordContact(startedAt, m.inOtherZone(daemon))
	}
	if frame.GetRumor() != nil {
		m.counters.Rumors.Add(1)
		if !ok {
			m.counters.RumorFailures.Add(1)
		}
	}

	return answer, ok
}

// handleChanges reports changed entries and a raised incarnation to the goroutines
// that wait for them. It runs while the replica is locked and must not block.
func (m *Membership) handleChanges(changes []fleet.Entry, incarnation uint64) {
	m.counters.Changes.Add(int64(len(changes)))
	signal(m.rumorsPending)
	if m.incarnation.Swap(incarnation) != incarnation {
		m.counters.Raised.Add(1)
		select {
		case <-m.raisedIncarnations: // replaced by the higher one below
		default:
		}
		m.raisedIncarnations <- incarnation
	}
	m.recordMembers(changes)
	m.notifySubscribers(changes)
}

// recordMembers sets KnewPeer and KnewOtherZone if the changes contain member entries of
// other daemons.
func (m *Membership) recordMembers(changes []fleet.Entry) {
	for _, e := range changes {
		if e.Kind != fleet.KindMember || e.Key == m.settings.Name {
			continue
		}
		zone := DecodeMemberInfo(e.Value).AvailabilityZone
		m.contactMu.Lock()
		m.contact.KnewPeer = true
		m.contact.KnewOtherZone = m.contact.KnewOtherZone || zone != m.settings.AvailabilityZone
		m.contactMu.Unlock()
	}
}

// reportRaised calls OnIncarnationRaised after the incarnation was raised. If it is raised
// again before the call, only the last incarnation is reported.
func (m *Membership) reportRaised() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case incarnation := <-m.raisedIncarnations:
			if m.settings.OnIncarnationRaised != nil {
				m.settings.OnIncarnationRaised(incarnation)
			}
		}
	}
}

// join synchronizes with the seeds until one answers, and again whenever the daemon knows
// no peer or only faulty ones. In addition it synchronizes with one seed every seedPeriods,
// so that parts of the fleet that formed separately find each other.
func (m *Membership) join() {
	if len(m.settings.Seeds) == 0 && m.settings.DiscoverSeeds == nil {
		close(m.joined)

		return
	}
	joined := false
	for round := 0; ; round++ {
		var peers []string
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) { peers = node.Peers(1) })
		if len(peers) == 0 || !joined || round%seedPeriods == 0 {
			for _, seed := range m.seeds(round, len(peers) > 0 && joined) {
				if m.joinThrough(seed) && !joined {
					joined = true
					close(m.joined)
				}
			}
		}
		if !sleep(m.ctx, m.joinPeriod(joined)) {
			return
		}
	}
}

// seeds returns the addresses of the daemons to join through in a round, or only one
// of them if single is set.
func (m *Membership) seeds(round int, single bool) []netip.AddrPort {
	seeds := m.settings.Seeds
	if m.settings.DiscoverSeeds != nil {
		seeds = m.settings.DiscoverSeeds(m.ctx)
	}
	if single && len(seeds) > 0 {
		seeds = seeds[round%len(seeds):][:1]
	}

	return seeds
}

// joinPeriod returns the time between two rounds of join. It is shorter for a daemon
// that has not joined and finds its seeds in the store: daemons that start at the
// same time register there only shortly before the first search.
func (m *Membership) joinPeriod(joined bool) time.Duration {
	if joined || m.settings.DiscoverSeeds == nil {
		return gossipPeriod
	}

	return discoverPeriod
}

// joinThrough synchronizes with a seed until the seed has no further entries, at most
// joinExchanges times. It reports false if an exchange failed.
func (m *Membership) joinThrough(seed netip.AddrPort) bool {
	call := func(frame *peerpb.Frame) (*peerpb.Frame, bool) {
		ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
		defer cancel()

		return m.peers.CallAddress(ctx, seed, frame)
	}
	startedAt := time.Now()
	for range joinExchanges {
		more, ok := m.replica.Synchronize(m.ctx, call)
		if !ok {
			m.counters.JoinFailures.Add(1)

			return false
		}
		if !more {
			break
		}
	}
	m.contactMu.Lock()
	defer m.contactMu.Unlock()
	m.contact.record(startedAt, false)

	return true
}

// sendRumors collects changes for rumorInterval from the first one and then sends them as
// rumors.
func (m *Membership) sendRumors() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.rumorsPending:
		}
		if !sleep(m.ctx, rumorInterval) {
			return
		}
		// A slow peer must not delay the next rumors.
		rumors := m.replica.CollectRumors()
		m.loops.Go(func() { m.replica.SendRumors(m.ctx, rumors) })
	}
}

// probe probes members once in each gossipPeriod.
func (m *Membership) probe() {
	for sleep(m.ctx, gossipPeriod) {
		var targets []string
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) { targets = node.ProbeTargets() })
		for _, target := range targets {
			m.loops.Go(func() {
				m.counters.Probes.Add(1)
				if !m.replica.Probe(m.ctx, target, directTimeout, indirectTimeout) {
					m.counters.ProbeFailures.Add(1)
				}
			})
		}
	}
}

// synchronize runs anti-entropy with one peer in each gossipPeriod.
func (m *Membership) synchronize() {
	for sleep(m.ctx, gossipPeriod) {
		var peer string
		var known bool
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) { peer, known = node.SyncPeer() })
		if !known {
			continue
		}
		call := func(frame *peerpb.Frame) (*peerpb.Frame, bool) { return m.callPeer(m.ctx, peer, frame) }
		for range maxExchanges {
			more, ok := m.replica.Synchronize(m.ctx, call)
			m.counters.Exchanges.Add(1)
			if !ok {
				m.counters.ExchangeFailures.Add(1)
			}
			if !more {
				break
			}
		}
	}
}

// refreshContact synchronizes with members of several other availability zones when
// there was no contact with any other zone for refreshAfter. A daemon that was cut off
// for longer than the failure detector's time-out regards all of them as faulty, and
// would otherwise try one of them only once in about ten periods.
func (m *Membership) refreshContact() {
	for sleep(m.ctx, tickInterval) {
		contact := m.LastContact()
		if !contact.KnewOtherZone || time.Since(contact.OtherZone) < refreshAfter {
			continue
		}
		var peers []string
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) { peers = node.ZonePeers(refreshZones) })
		for _, peer := range peers {
			m.loops.Go(func() {
				m.counters.Exchanges.Add(1)
				_, ok := m.replica.Synchronize(m.ctx, func(frame *peerpb.Frame) (*peerpb.Frame, bool) {
					return m.callPeer(m.ctx, peer, frame)
				})
				if !ok {
					m.counters.ExchangeFailures.Add(1)
				}
			})
		}
	}
}

// tick runs the time-outs of the gossip node.
func (m *Membership) tick() {
	for sleep(m.ctx, tickInterval) {
		m.replica.WithNode(func(node *gossip.Node, now time.Time) { node.Tick(now) })
	}
}

// announceVersion announces a changed configuration version after a random delay, if
// no other change of the member entry has announced it before.
func (m *Membership) announceVersion() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.versionChanged:
		}
		members := 0
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) { members = node.MemberCount() })
		if !sleep(m.ctx, time.Duration(m.random.Int64N(int64(maxVersionDelay(members))+1))) {
			return
		}
		m.updateOwn(func(*peerpb.Member) {})
	}
}
