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
	// rumorInterval collects changes that come together; with about 6 hops at
	// 3,500 members a rumor is everywhere well within the 3 s of R4.
	rumorInterval = 50 * time.Millisecond
	// period is the interval of probes and of anti-entropy.
	period = time.Second
	// A probe and its indirect probes together end within the period.
	directTimeout   = 400 * time.Millisecond
	indirectTimeout = 500 * time.Millisecond
	callTimeout     = 900 * time.Millisecond
	// maxExchanges bounds the exchanges of one period with a peer that has more.
	maxExchanges = 8
	// joinExchanges bounds the exchanges with one seed: 280,000 keys take about
	// 120 of 256 KB.
	joinExchanges = 1000
	// seedPeriods is the number of periods between exchanges with a seed. It is
	// no multiple of a usual number of seeds, so that all have their turn.
	seedPeriods  = 61
	tickInterval = 250 * time.Millisecond
	// discoverPeriod is the time between two looks for other daemons in the store.
	discoverPeriod = 300 * time.Millisecond
	// refreshAfter is longer than the period of the probes of other availability
	// zones and leaves an exchange 500 ms before the daemon counts as isolated
	// after 2 s.
	refreshAfter = 1250 * time.Millisecond
	// refreshPeers is the number of availability zones tried at once.
	refreshPeers = 3
	// versionDelay times the square of the number of members is the greatest
	// delay before a changed configuration version is announced alone: 15 s at 32
	// members. An announcement costs each member about 2.4 KB with 43 upstreams,
	// so at 3,500 members, with a new version every 13 s, a short delay would
	// exceed the budget of 3 KB a second many times.
	versionDelay = 15 * time.Millisecond
)

func maxVersionDelay(members int) time.Duration {
	return time.Duration(members*members) * versionDelay
}

func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default: // already woken
	}
}

func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call is the replica's way to other daemons; it notes completed exchanges.
func (m *Membership) call(ctx context.Context, daemon string, frame *peerpb.Frame) (*peerpb.Frame, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	answer, ok := m.peers.Call(ctx, daemon, frame)
	if ok {
		m.noteContact(began, m.otherZone(daemon))
	}
	if frame.GetRumor() != nil {
		m.counters.Rumors.Add(1)
		if !ok {
			m.counters.RumorFailures.Add(1)
		}
	}

	return answer, ok
}

// changed runs while the replica is locked.
func (m *Membership) changed(changes []fleet.Entry, incarnation uint64) {
	m.counters.Changes.Add(int64(len(changes)))
	wake(m.pending)
	if m.incarnation.Swap(incarnation) != incarnation {
		m.counters.Raised.Add(1)
		select {
		case <-m.raised: // only the last one matters
		default:
		}
		m.raised <- incarnation
	}
	m.noteMembers(changes)
	m.deliver(changes)
}

func (m *Membership) noteMembers(changes []fleet.Entry) {
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

func (m *Membership) raise() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case incarnation := <-m.raised:
			if m.settings.OnIncarnationRaised != nil {
				m.settings.OnIncarnationRaised(incarnation)
			}
		}
	}
}

// join tries the seeds until one answers, and again whenever no live peer is
// known. From time to time it exchanges with one seed in any case, so that parts
// of the fleet that started apart find each other.
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
		if !pause(m.ctx, m.joinPeriod(joined)) {
			return
		}
	}
}

// seeds returns the daemons to join through in a round. One is enough once peers
// are known.
func (m *Membership) seeds(round int, one bool) []netip.AddrPort {
	seeds := m.settings.Seeds
	if m.settings.DiscoverSeeds != nil {
		seeds = m.settings.DiscoverSeeds(m.ctx)
	}
	if one && len(seeds) > 0 {
		seeds = seeds[round%len(seeds):][:1]
	}

	return seeds
}

// joinPeriod is shorter for a daemon that looks for others in the store, because
// daemons that start together register only moments before.
func (m *Membership) joinPeriod(joined bool) time.Duration {
	if joined || m.settings.DiscoverSeeds == nil {
		return period
	}

	return discoverPeriod
}

func (m *Membership) joinThrough(seed netip.AddrPort) bool {
	call := func(frame *peerpb.Frame) (*peerpb.Frame, bool) {
		ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
		defer cancel()

		return m.peers.CallAddress(ctx, seed, frame)
	}
	began := time.Now()
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
	m.contact.note(began, false)

	return true
}

func (m *Membership) spread() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.pending:
		}
		if !pause(m.ctx, rumorInterval) {
			return
		}
		// A slow peer must not hold up the next rumors.
		rumors := m.replica.CollectRumors()
		m.loops.Go(func() { m.replica.SendRumors(m.ctx, rumors) })
	}
}

func (m *Membership) probe() {
	for pause(m.ctx, period) {
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

func (m *Membership) synchronize() {
	for pause(m.ctx, period) {
		var peer string
		var known bool
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) { peer, known = node.SyncPeer() })
		if !known {
			continue
		}
		call := func(frame *peerpb.Frame) (*peerpb.Frame, bool) { return m.call(m.ctx, peer, frame) }
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

// refresh exchanges with several other availability zones when the regular
// probes have reached none for a while. A daemon that was cut off for longer
// than the failure detector waits regards all of them as faulty, and would
// otherwise try one of them in ten periods only.
func (m *Membership) refresh() {
	for pause(m.ctx, tickInterval) {
		contact := m.LastContact()
		if !contact.KnewOtherZone || time.Since(contact.OtherZone) < refreshAfter {
			continue
		}
		var peers []string
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) { peers = node.ZonePeers(refreshPeers) })
		for _, peer := range peers {
			m.loops.Go(func() {
				m.counters.Exchanges.Add(1)
				_, ok := m.replica.Synchronize(m.ctx, func(frame *peerpb.Frame) (*peerpb.Frame, bool) {
					return m.call(m.ctx, peer, frame)
				})
				if !ok {
					m.counters.ExchangeFailures.Add(1)
				}
			})
		}
	}
}

func (m *Membership) tick() {
	for pause(m.ctx, tickInterval) {
		m.replica.WithNode(func(node *gossip.Node, now time.Time) { node.Tick(now) })
	}
}

// announceVersion announces a changed configuration version that no other
// change has carried.
func (m *Membership) announceVersion() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.delayed:
		}
		members := 0
		m.replica.WithNode(func(node *gossip.Node, _ time.Time) { members = node.MemberCount() })
		if !pause(m.ctx, time.Duration(m.random.Int64N(int64(maxVersionDelay(members))+1))) {
			return
		}
		m.update(func(*peerpb.Member) {})
	}
}
