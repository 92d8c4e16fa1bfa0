package gossip

import (
	"slices"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Status is what a node believes about a member.
type Status int

// Statuses of a member.
const (
	Alive Status = iota
	// Suspect marks a member that did not answer probes; it still counts as a
	// peer until SuspicionTimeout has passed.
	Suspect
	// Faulty marks a member that did not refute, or that has left.
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

type member struct {
	name                 string
	zone                 string
	leaving, storeAway   bool
	known                bool // a member entry has been seen
	incarnation, version uint64
	suspicion            Version
	status               Status
	since                time.Time
}

// forgotten is the last version of a member whose entries were dropped.
type forgotten struct {
	version Version
	until   time.Time
}

// The version of a suspicion entry is twice the member's version that it is
// about, plus one if the member is faulty. So faulty follows suspect, and a
// member refutes both by raising its version.
func suspicionVersion(version uint64, status Status) uint64 {
	if status == Faulty {
		return 2*version + 1
	}

	return 2 * version
}

func (m *member) currentStatus() Status {
	s := m.suspicion
	about := Version{Incarnation: s.Incarnation, Version: s.Version / 2}
	if s.Version == 0 || (Version{Incarnation: m.incarnation, Version: m.version}).newer(about) {
		return Alive
	}
	if s.Version%2 == 1 {
		return Faulty
	}

	return Suspect
}

func (n *Node) member(name string) *member {
	m := n.members[name]
	if m == nil {
		m = &member{name: name}
		n.members[name] = m
	}

	return m
}

// updateStatus updates a member's status after one of its entries changed.
func (n *Node) updateStatus(m *member, now time.Time) {
	status := m.currentStatus()
	n.ringsStale = n.ringsStale || status != m.status
	if status != m.status || m.since.IsZero() || status == Suspect {
		m.since = now
	}
	m.status = status
	if status == Alive {
		delete(n.doubtful, m.name)
	} else {
		n.doubtful[m.name] = m
	}
}

// Status returns what the node believes about a member, and whether it has seen
// the member's entry.
func (n *Node) Status(name string) (Status, bool) {
	m := n.members[name]
	if m == nil || !m.known {
		return Faulty, false
	}

	return m.status, true
}

// Zone returns a member's availability zone, or an empty string.
func (n *Node) Zone(name string) string {
	if m := n.members[name]; m != nil {
		return m.zone
	}

	return ""
}

// Suspect publishes the suspicion of a member that answered neither a direct
// nor an indirect probe.
func (n *Node) Suspect(name string, now time.Time) {
	m := n.members[name]
	if m == nil || m.status != Alive || name == n.settings.Name {
		return
	}
	n.accuse(m, Suspect, now)
}

// Leave declares the node itself faulty, so that peers need not detect it.
func (n *Node) Leave(now time.Time) {
	n.left = true
	n.accuse(n.member(n.settings.Name), Faulty, now)
}

func (n *Node) accuse(m *member, status Status, now time.Time) {
	n.store(fleet.Entry{
		Kind: fleet.KindSuspicion, Key: m.name,
		Incarnation: m.incarnation, Version: suspicionVersion(m.version, status),
	}, now)
}

// Tick declares suspects faulty whose time is over and forgets members that
// have been faulty for ForgetAfter.
func (n *Node) Tick(now time.Time) {
	gap := now.Sub(n.lastTick)
	n.lastTick = now
	// After a pause of this process the refutations are still unread, so the
	// suspects' time must not have run meanwhile.
	paused := gap > SuspicionTimeout/2
	for name, m := range n.doubtful {
		if m.status == Suspect && paused {
			m.since = m.since.Add(gap)
		}
		switch age := now.Sub(m.since); {
		case m.status == Suspect && age >= SuspicionTimeout:
			s := m.suspicion
			n.store(fleet.Entry{
				Kind: fleet.KindSuspicion, Key: name, Incarnation: s.Incarnation, Version: s.Version + 1,
			}, now)
		case m.status == Faulty && age >= FaultyRetention && name != n.settings.Name:
			n.forget(m, now)
		}
	}
	for name, f := range n.forgotten {
		if now.After(f.until) {
			delete(n.forgotten, name)
		}
	}
	for keyHash, at := range n.asked {
		if now.Sub(at) >= askAgain {
			delete(n.asked, keyHash)
		}
	}
}

func (n *Node) forget(m *member, now time.Time) {
	n.set.remove(fleet.KindMember, m.name)
	n.set.remove(fleet.KindSuspicion, m.name)
	delete(n.members, m.name)
	delete(n.doubtful, m.name)
	n.forgotten[m.name] = forgotten{
		version: Version{Incarnation: m.suspicion.Incarnation, Version: m.suspicion.Version / 2},
		until:   now.Add(ForgottenRetention),
	}
	n.ringsStale = true
}

// isForgotten reports whether an entry is about an incarnation of a member that was
// forgotten, and returns the suspicion that the member must refute to return.
func (n *Node) isForgotten(e fleet.Entry) (fleet.Entry, bool) {
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

// Live returns the names of the members that are neither faulty nor leaving, with
// the node's own unless it leaves.
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

// MemberCount returns the number of members that are not faulty, with the node.
func (n *Node) MemberCount() int {
	n.rings()

	return len(n.own.names) + len(n.other.names) + 1
}
