package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownZonePercent is the share, in percent, of random peers that are in the node's
	// own availability zone.
	ownZonePercent = 60
	// faultyPercent is the share, in percent, of anti-entropy exchanges that try a faulty
	// member, so that the two sides of a partition find each other when the partition ends.
	faultyPercent = 10
	// RelaysPerZone is the number of daemons in each availability zone that watch the
	// store on behalf of the others.
	RelaysPerZone = 2
)

// ring is a shuffled list of peers that is used in round-robin order, so that the
// time until a peer is chosen is bounded, as in SWIM.
type ring struct {
	names []string
	// next is the index of the next peer to choose.
	next int
}

// nextInRing returns the next peer of a ring, which is shuffled again after each
// round. It reports false if the ring is empty.
func (n *Node) nextInRing(r *ring) (string, bool) {
	if len(r.names) == 0 {
		return "", false
	}
	if r.next >= len(r.names) {
		r.next = 0
		n.shuffle(r.names)
	}
	r.next++

	return r.names[r.next-1], true
}

func (n *Node) shuffle(names []string) {
	n.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// updateRings rebuilds the lists of peers if members or their statuses have changed.
// Names are sorted before they are shuffled, so that a fixed seed gives a fixed
// order.
func (n *Node) updateRings() {
	if !n.ringsStale {
		return
	}
	n.ringsStale = false
	own, other, faulty := n.ownZone.names[:0], n.otherZones.names[:0], n.faulty[:0]
	for name, m := range n.members {
		switch {
		case name == n.settings.Name || !m.known:
		case m.status == Faulty:
			faulty = append(faulty, name)
		case m.zone == n.settings.AvailabilityZone:
			own = append(own, name)
		default:
			other = append(other, name)
		}
	}
	for _, names := range [][]string{own, other, faulty} {
		slices.Sort(names)
		n.shuffle(names)
	}
	n.ownZone, n.otherZones, n.faulty = ring{names: own}, ring{names: other}, faulty
}

// ProbeTargets returns the members to probe in this round: one in the node's own
// availability zone and one in another, if there are any.
func (n *Node) ProbeTargets() []string {
	n.updateRings()
	targets := make([]string, 0, 2)
	for _, r := range []*ring{&n.ownZone, &n.otherZones} {
		if name, ok := n.nextInRing(r); ok {
			targets = append(targets, name)
		}
	}

	return targets
}

// Peers returns up to count different members that are not faulty, chosen at random
// without the excluded names. Most of them are in the node's own availability zone.
func (n *Node) Peers(count int, exclude ...string) []string {
	n.updateRings()
	peers := make([]string, 0, count)
	add := func(name string) {
		if len(peers) < count && !slices.Contains(peers, name) && !slices.Contains(exclude, name) {
			peers = append(peers, name)
		}
	}
	for range 4 * count {
		if name, ok := n.randomPeer(); ok {
			add(name)
		}
	}
	// In a small fleet the random choices may not find count different peers. Fill up
	// in the order of the rings, which are shuffled.
	for _, names := range [][]string{n.otherZones.names, n.ownZone.names} {
		for _, name := range names {
			if len(peers) == count {
				return peers
			}
			add(name)
		}
	}

	return peers
}

// PeersOwnZoneFirst returns up to count members that are not faulty, in random order
// but with the members of the node's own availability zone before the others. If count is
// above 1, the last one is of another zone: what none of the own zone has may be there.
func (n *Node) PeersOwnZoneFirst(count int) []string {
	n.updateRings()
	own, other := n.shuffled(n.ownZone.names), n.shuffled(n.otherZones.names)
	if len(other) > 0 && count > 1 {
		own = own[:min(len(own), count-1)]
	}
	peers := slices.Concat(own, other)

	return peers[:min(len(peers), count)]
}

// shuffled returns a copy of names in random order.
func (n *Node) shuffled(names []string) []string {
	names = slices.Clone(names)
	n.shuffle(names)

	return names
}

// IndirectProbers returns up to MaxIndirectProbers members to ask for an indirect
// probe of the target. They are in as many different availability zones as possible:
// during a one-way partition between two zones only members in a third zone reach
// both.
func (n *Node) IndirectProbers(target string) []string {
	n.updateRings()
	var chosen, sameZone []string
	zones := map[string]bool{}
	for i := range 16 * MaxIndirectProbers {
		names := n.ownZone.names
		if i%MaxIndirectProbers != 0 && len(n.otherZones.names) > 0 {
			names = n.otherZones.names
		}
		if len(names) == 0 || len(chosen) == MaxIndirectProbers {
			continue
		}
		name := names[n.random.IntN(len(names))]
		if name == target || slices.Contains(chosen, name) || slices.Contains(sameZone, name) {
			continue
		}
		if zone := n.Zone(name); !zones[zone] {
			zones[zone] = true
			chosen = append(chosen, name)
		} else if len(sameZone) < MaxIndirectProbers {
			sameZone = append(sameZone, name)
		}
	}

	return append(chosen, sameZone[:min(len(sameZone), MaxIndirectProbers-len(chosen))]...)
}

// ZonePeers returns up to count members of other availability zones, at most one of
// each zone. If no member of another zone is alive or suspect, it returns faulty
// members. That is the case for a member that was cut off from all other zones.
func (n *Node) ZonePeers(count int) []string {
	n.updateRings()
	names := n.otherZones.names
	if len(names) == 0 {
		names = n.faulty
	}
	peers := make([]string, 0, count)
	zones := map[string]bool{n.settings.AvailabilityZone: true}
	for _, i := range n.random.Perm(len(names)) {
		if len(peers) == count {
			break
		}
		if zone := n.Zone(names[i]); !zones[zone] {
			zones[zone] = true
			peers = append(peers, names[i])
		}
	}

	return peers
}

// randomPeer returns a random member that is not faulty, in the node's own
// availability zone with a probability of ownZonePercent.
func (n *Node) randomPeer() (string, bool) {
	names := n.otherZones.names
	if len(names) == 0 || len(n.ownZone.names) > 0 && n.random.IntN(100) < ownZonePercent {
		names = n.ownZone.names
	}
	if len(names) == 0 {
		return "", false
	}

	return names[n.random.IntN(len(names))], true
}

// SyncPeer returns the peer for the next anti-entropy exchange. It reports false if
// the node knows no other member.
func (n *Node) SyncPeer() (string, bool) {
	n.updateRings()
	if len(n.faulty) > 0 && n.random.IntN(100) < faultyPercent {
		return n.faulty[n.random.IntN(len(n.faulty))], true
	}

	return n.randomPeer()
}

// Relays returns, for each availability zone, the RelaysPerZone members that watch
// the store: the alive, not leaving members with the lowest rendezvous hash (Thaler
// and Ravishankar, 1998). Members that the store answers precede the others.
func (n *Node) Relays() map[string][]string {
	type candidate struct {
		name             string
		storeUnavailable bool
		hash             uint64
	}
	zones := map[string][]candidate{}
	for name, m := range n.members {
		if m.known && m.status == Alive && !m.leaving {
			zones[m.zone] = append(zones[m.zone], candidate{name, m.storeUnavailable, xxhash.Sum64String(name)})
		}
	}
	relays := make(map[string][]string, len(zones))
	for zone, candidates := range zones {
		slices.SortFunc(candidates, func(a, b candidate) int {
			if a.storeUnavailable != b.storeUnavailable {
				return boolToInt(a.storeUnavailable) - boolToInt(b.storeUnavailable)
			}

			return cmp.Compare(a.hash, b.hash)
		})
		for _, c := range candidates[:min(RelaysPerZone, len(candidates))] {
			relays[zone] = append(relays[zone], c.name)
		}
	}

	return relays
}

func boolToInt(b bool) int {
	if b {
		return 1
	}

	return 0
}
