package gossip

import (
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Status is the state of a member as the failure detector sees it.
type Status int

// Statuses of a member.
const (
	// Alive marks a member without a suspicion.
	Alive Status = iota
	// Suspect marks a member that did not answer probes. It is still used as a
	// peer until SuspicionTimeout has passed.
	Suspect
	// Faulty marks a member that did not refute the suspicion in time, or that has
	// left.
	Faulty
)

// String returns the status's name.
func (s Status) String() string {
	switch s {
	case Alive:
		return "Alive"
	case Suspect:
		return "Suspect"
	case Faulty:
		return "Faulty"
	}

	return "Invalid"
}

// member is a node's view of one member.
type member struct {
	name                      string
	zone                      string
	leaving, storeUnavailable bool
	known                     bool    // a member entry has been received
	incarnation, version      uint64  // of the member entry
	suspicion                 Version // of the suspicion entry, or zero if there is none
	status                    Status
	statusSince               time.Time
}

// forgotten remembers a member whose entries were removed from the set.
type forgotten struct {
	// version is the last version of the member entry.
	version Version
	expires time.Time
}

// suspicionVersion returns the version of a suspicion entry: twice the version of
// the suspected member entry, plus one if the member is faulty. So Faulty replaces
// Suspect, and a member refutes both by raising its own version.
func suspicionVersion(version uint64, status Status) uint64 {
	if status == Faulty {
		return 2*version + 1
	}

	return 2 * version
}

// currentStatus derives the status from the versions of the member entry and the
// suspicion entry.
func (m *member) currentStatus() Status {
	suspicion := m.suspicion
	suspected := Version{Incarnation: suspicion.Incarnation, Version: suspicion.Version / 2}
	if suspicion.Version == 0 || (Version{Incarnation: m.incarnation, Version: m.version}).newer(suspected) {
		return Alive
	}
	if suspicion.Version%2 == 1 {
		return Faulty
	}

	return Suspect
}

// member returns the member with the name, which it adds if it is new.
func (n *Node) member(name string) *member {
	m := n.members[name]
	if m == nil {
		m = &member{name: name}
		n.members[name] = m
	}

	return m
}

// updateStatus updates a member's status after a change of its member entry or its
// suspicion entry.
func (n *Node) updateStatus(m *member, now time.Time) {
	status := m.currentStatus()
	n.ringsStale = n.ringsStale || status != m.status
	if status != m.status || m.statusSince.IsZero() || status == Suspect {
		m.statusSince = now
	}
	m.status = status
	if status == Alive {
		delete(n.notAlive, m.name)
	} else {
		n.notAlive[m.name] = m
	}
}

// Status returns the status of a member. It reports false, with Faulty, if the node
// has no member entry of that name.
func (n *Node) Status(name string) (Status, bool) {
	m := n.members[name]
	if m == nil || !m.known {
		return Faulty, false
	}

	return m.status, true
}

// Zone returns a member's availability zone, or an empty string if it is not known.
func (n *Node) Zone(name string) string {
	if m := n.members[name]; m != nil {
		return m.zone
	}

	return ""
}

// Suspect publishes the suspicion of a member that answered neither a direct nor an
// indirect probe. It does nothing if the member is unknown, is not Alive or is the
// node itself.
func (n *Node) Suspect(name string, now time.Time) {
	m := n.members[name]
	if m == nil || m.status != Alive || name == n.settings.Name {
		return
	}
	n.publishSuspicion(m, Suspect, now)
}

// Leave declares the node itself faulty, so that its peers do not have to detect it.
// From then on the node does not refute suspicions of itself.
func (n *Node) Leave(now time.Time) {
	n.left = true
	n.publishSuspicion(n.member(n.settings.Name), Faulty, now)
}

// publishSuspicion writes a suspicion entry about a member's current version.
func (n *Node) publishSuspicion(m *member, status Status, now time.Time) {
	n.apply(fleet.Entry{
		Kind: fleet.KindSuspicion, Key: m.name,
		Incarnation: m.incarnation, Version: suspicionVersion(m.version, status),
	}, now)
}

// Tick runs the time-outs: it declares members faulty that have been suspect for
// SuspicionTimeout, and forgets members that have been faulty for FaultyRetention. More
// than half of SuspicionTimeout between two calls counts as a pause of the process.
func (n *Node) Tick(now time.Time) {
	gap := now.Sub(n.lastTick)
	n.lastTick = now
	// If this process was paused, refutations that arrived meanwhile have not been
	// read. The pause must not count towards SuspicionTimeout.
	paused := gap > SuspicionTimeout/2
	for name, m := range n.notAlive {
		if m.status == Suspect && paused {
			m.statusSince = m.statusSince.Add(gap)
		}
		switch age := now.Sub(m.statusSince); {
		case m.status == Suspect && age >= SuspicionTimeout:
			suspicion := m.suspicion
			n.apply(fleet.Entry{
				Kind: fleet.KindSuspicion, Key: name, Incarnation: suspicion.Incarnation, Version: suspicion.Version + 1,
			}, now)
		case m.status == Faulty && age >= FaultyRetention && name != n.settings.Name:
			n.forget(m, now)
		}
	}
	for name, f := range n.forgotten {
		if now.After(f.expires) {
			delete(n.forgotten, name)
		}
	}
	for keyHash, at := range n.requestedAt {
		if now.Sub(at) >= requestInterval {
			delete(n.requestedAt, keyHash)
		}
	}
}

// forget removes a member and its entries, and refuses older entries about it for
// ForgottenRetention.
func (n *Node) forget(m *member, now time.Time) {
	n.set.remove(fleet.KindMember, m.name)
	n.set.remove(fleet.KindSuspicion, m.name)
	delete(n.members, m.name)
	delete(n.notAlive, m.name)
	n.forgotten[m.name] = forgotten{
		version: Version{Incarnation: m.suspicion.Incarnation, Version: m.suspicion.Version / 2},
		expires: now.Add(ForgottenRetention),
	}
	n.ringsStale = true
}

// checkForgotten reports whether an entry must be refused because its member was
// forgotten. If the entry is not newer than the version that was forgotten, it also
// returns the suspicion that the member must refute to rejoin. A newer member entry
// is accepted and ends the refusals; a newer suspicion is refused, because the
// member it is about is not known.
func (n *Node) checkForgotten(e fleet.Entry) (fleet.Entry, bool) {
	f, ok := n.forgotten[e.Key]
	if !ok {
		return fleet.Entry{}, false
	}
	offered := Version{Incarnation: e.Incarnation, Version: e.Version}
	if e.Kind == fleet.KindSuspicion {
		offered.Version /= 2
	}
	if offered.newer(f.version) {
		if e.Kind == fleet.KindMember {
			delete(n.forgotten, e.Key)
		}

		return fleet.Entry{}, e.Kind == fleet.KindSuspicion
	}

	return fleet.Entry{
		Kind: fleet.KindSuspicion, Key: e.Key, Incarnation: f.version.Incarnation,
		Version: suspicionVersion(f.version.Version, Faulty),
	}, true
}

// Live returns the sorted names of the members that are neither faulty nor leaving,
// including the node's own unless it leaves.
func (n *Node) Live() []string {
	var names []string
	for name, m := range n.members {
		if m.known && m.status != Faulty && !m.leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)

	return names
}

// MemberCount returns the number of members that are not faulty, including the node.
func (n *Node) MemberCount() int {
	n.updateRings()

	return len(n.ownZone.names) + len(n.otherZones.names) + 1
}
