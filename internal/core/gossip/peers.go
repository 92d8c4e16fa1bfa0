package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownShare is the share of peers that are chosen from the own availability
	// zone, in percent.
	ownShare = 60
	// faultyShare is how often, in percent, anti-entropy tries a faulty member,
	// so that both sides of a partition meet again.
	faultyShare = 10
	// RelaysPerZone is the number of daemons in each availability zone that
	// watch the store.
	RelaysPerZone = 2
)

// ring is a shuffled list of peers that is gone through in order, so that each
// peer's turn comes within a bounded time.
type ring struct {
	names []string
	next  int
}

func (n *Node) turn(r *ring) (string, bool) {
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

// rings brings the lists of peers up to date. Names are sorted before they are
// shuffled, so that a fixed seed gives a fixed order.
func (n *Node) rings() {
	if !n.ringsStale {
		return
	}
	n.ringsStale = false
	own, other, faulty := n.own.names[:0], n.other.names[:0], n.faulty[:0]
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
	n.own, n.other, n.faulty = ring{names: own}, ring{names: other}, faulty
}

// ProbeTargets returns the members to probe in this round: one of the own
// availability zone and one of another, as far as there are any.
func (n *Node) ProbeTargets() []string {
	n.rings()
	targets := make([]string, 0, 2)
	for _, r := range []*ring{&n.own, &n.other} {
		if name, ok := n.turn(r); ok {
			targets = append(targets, name)
		}
	}

	return targets
}

// Peers returns up to count different peers that are not faulty, most of them
// of the own availability zone, and none of the excluded names.
func (n *Node) Peers(count int, exclude ...string) []string {
	n.rings()
	peers := make([]string, 0, count)
	add := func(name string) {
		if len(peers) < count && !slices.Contains(peers, name) && !slices.Contains(exclude, name) {
			peers = append(peers, name)
		}
	}
	for range 4 * count {
		if name, ok := n.pick(); ok {
			add(name)
		}
	}
	// In a small fleet the draws may repeat; the rings are shuffled.
	for _, names := range [][]string{n.other.names, n.own.names} {
		for _, name := range names {
			if len(peers) == count {
				return peers
			}
			add(name)
		}
	}

	return peers
}

// PeersOwnZoneFirst returns up to count members at random, those of the own availability zone
// before the others.
func (n *Node) PeersOwnZoneFirst(count int) []string {
	n.rings()
	var near []string
	for _, names := range [][]string{n.own.names, n.other.names} {
		for _, i := range n.random.Perm(len(names)) {
			if len(near) < count {
				near = append(near, names[i])
			}
		}
	}

	return near
}

// IndirectProbers returns the members to ask for an indirect probe, of as many different
// availability zones as possible: under a one-way partition between two zones
// only helpers in a third one reach both.
func (n *Node) IndirectProbers(target string) []string {
	n.rings()
	var chosen, spare []string
	zones := map[string]bool{}
	for i := range 16 * MaxIndirectProbers {
		names := n.own.names
		if i%MaxIndirectProbers != 0 && len(n.other.names) > 0 {
			names = n.other.names
		}
		if len(names) == 0 || len(chosen) == MaxIndirectProbers {
			continue
		}
		name := names[n.random.IntN(len(names))]
		if name == target || slices.Contains(chosen, name) || slices.Contains(spare, name) {
			continue
		}
		if zone := n.Zone(name); !zones[zone] {
			zones[zone] = true
			chosen = append(chosen, name)
		} else if len(spare) < MaxIndirectProbers {
			spare = append(spare, name)
		}
	}

	return append(chosen, spare[:min(len(spare), MaxIndirectProbers-len(chosen))]...)
}

// ZonePeers returns up to count members of other availability zones, at most
// one of each. They are faulty ones if there are no others, which is so for a
// member that was cut off from all other availability zones.
func (n *Node) ZonePeers(count int) []string {
	n.rings()
	names := n.other.names
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

func (n *Node) pick() (string, bool) {
	names := n.other.names
	if len(names) == 0 || len(n.own.names) > 0 && n.random.IntN(100) < ownShare {
		names = n.own.names
	}
	if len(names) == 0 {
		return "", false
	}

	return names[n.random.IntN(len(names))], true
}

// SyncPeer returns the peer of the next anti-entropy exchange.
func (n *Node) SyncPeer() (string, bool) {
	n.rings()
	if len(n.faulty) > 0 && n.random.IntN(100) < faultyShare {
		return n.faulty[n.random.IntN(len(n.faulty))], true
	}

	return n.pick()
}

// Relays returns, for each availability zone, the live members with the lowest
// rendezvous hash (Thaler and Ravishankar, 1998). Those that the store answers go
// before the others.
func (n *Node) Relays() map[string][]string {
	type candidate struct {
		name string
		away bool
		hash uint64
	}
	zones := map[string][]candidate{}
	for name, m := range n.members {
		if m.known && m.status == Alive && !m.leaving {
			zones[m.zone] = append(zones[m.zone], candidate{name, m.storeAway, xxhash.Sum64String(name)})
		}
	}
	relays := make(map[string][]string, len(zones))
	for zone, candidates := range zones {
		slices.SortFunc(candidates, func(a, b candidate) int {
			if a.away != b.away {
				return boolToInt(a.away) - boolToInt(b.away)
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
