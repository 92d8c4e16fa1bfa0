package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Settings are a node's fixed parameters.
type Settings struct {
	Name             string
	AvailabilityZone string
	// Incarnation should be higher than the incarnations of the daemon's earlier
	// runs. If a peer has entries of a higher one, the node raises its own above it.
	Incarnation uint64
	// DecodeInfo decodes the part of a member entry's value that the node needs.
	DecodeInfo func(value []byte) MemberInfo
}

// MemberInfo is the part of a member entry's value that a node needs.
type MemberInfo struct {
	AvailabilityZone string
	// Leaving says that the member is about to leave.
	Leaving bool
	// StoreUnavailable says that the store does not answer the member.
	StoreUnavailable bool
}

const (
	// Fanout is the number of peers to which a member forwards a rumor that it
	// received for the first time. With 4, about 2% of the members are not reached
	// by the rumor but by anti-entropy.
	Fanout = 4
	// MaxIndirectProbers is the maximum number of members that are asked for an indirect
	// probe.
	MaxIndirectProbers = 3
	// SuspicionTimeout is how long a suspected member has to refute the suspicion.
	SuspicionTimeout = 5 * time.Second
	// FaultyRetention is how long a faulty member's entries are kept, so that a member
	// that returns from a partition receives the suspicion and can refute it.
	FaultyRetention = time.Hour
	// ForgottenRetention is how long older entries of a forgotten member are refused.
	ForgottenRetention = 24 * time.Hour
	// LargeValueBytes is the size in bytes from which a rumor offers an entry's version
	// instead of carrying the entry. Without this each member receives every member entry,
	// of 150 bytes to 2 KB, Fanout times. An offer takes 20 bytes, the request and the
	// frames of one transfer about 100.
	LargeValueBytes = 64
	// requestInterval is the least time between two requests for the same offered
	// entry.
	requestInterval = time.Second
)

// Node is one member's replica of the set and its view of the other members.
type Node struct {
	settings Settings
	random   *rand.Rand
	set      set
	// incarnation and version are those of the node's own member entry.
	incarnation uint64
	version     uint64
	// left is true after Leave.
	left bool

	members map[string]*member
	// notAlive holds the members that are Suspect or Faulty.
	notAlive  map[string]*member
	forgotten map[string]forgotten
	lastTick  time.Time

	// changes holds the entries to return from Changes.
	changes []fleet.Entry
	// rumors holds the versions of the entries to return from Rumors.
	rumors []Version
	// requestedAt is when an offered entry was last requested, by key hash.
	requestedAt map[uint64]time.Time

	// ringsStale says that the lists of peers below do not match members.
	ringsStale bool
	ownZone    ring
	otherZones ring
	faulty     []string
}

// NewNode returns a node that knows only itself; value is the value of its member
// entry. The node owns the random source from then on.
func NewNode(settings Settings, value []byte, random *rand.Rand, now time.Time) *Node {
	n := &Node{
		settings:    settings,
		random:      random,
		incarnation: settings.Incarnation,
		members:     map[string]*member{},
		notAlive:    map[string]*member{},
		forgotten:   map[string]forgotten{},
		requestedAt: map[uint64]time.Time{},
		lastTick:    now,
	}
	n.Announce(value, now)

	return n
}

// Incarnation returns the node's own incarnation, which Merge may raise.
func (n *Node) Incarnation() uint64 {
	return n.incarnation
}

// Len returns the number of entries in the set.
func (n *Node) Len() int {
	return n.set.count
}

// Get returns an entry. The caller owns its value.
func (n *Node) Get(kind fleet.EntryKind, key string) (fleet.Entry, bool) {
	return n.set.get(kind, key)
}

// Range calls f for each entry of a kind, in no particular order. f must not change
// the node.
func (n *Node) Range(kind fleet.EntryKind, f func(fleet.Entry)) {
	n.set.visit(kind, f)
}

// Announce replaces the value of the node's own member entry.
func (n *Node) Announce(value []byte, now time.Time) {
	n.version++
	n.apply(fleet.Entry{
		Kind: fleet.KindMember, Key: n.settings.Name,
		Incarnation: n.incarnation, Version: n.version, Value: value,
	}, now)
}

// Publish merges an entry that this daemon wrote and reports whether the entry was
// stored. Member entries are written by Announce.
func (n *Node) Publish(e fleet.Entry, now time.Time) bool {
	before := len(n.changes)
	n.Merge([]fleet.Entry{e}, now)

	return len(n.changes) > before
}

// Merge stores the entries that are newer than the node's. For each entry that is
// older it returns the node's own, so that the sender can update its set.
func (n *Node) Merge(entries []fleet.Entry, now time.Time) (newer []fleet.Entry) {
	for _, e := range entries {
		if reply, ok := n.mergeOne(e, now); ok {
			newer = append(newer, reply)
		}
	}

	return newer
}

// mergeOne merges one entry. It reports true if an entry has to be returned to the
// sender.
func (n *Node) mergeOne(e fleet.Entry, now time.Time) (fleet.Entry, bool) {
	if e.Kind == 0 || e.Key == "" {
		return fleet.Entry{}, false
	}
	isMember := e.Kind == fleet.KindMember
	if isMember || e.Kind == fleet.KindSuspicion {
		if tombstone, ok := n.checkForgotten(e); ok {
			return tombstone, isMember
		}
		if e.Key == n.settings.Name && n.refute(e, now) {
			return fleet.Entry{}, false
		}
	}
	if stored, ok := n.set.version(KeyHash(e.Kind, e.Key)); ok {
		offered := versionOf(e)
		if !offered.newer(stored) {
			if !stored.newer(offered) {
				return fleet.Entry{}, false
			}

			return n.set.entry(stored.KeyHash)
		}
	}
	n.apply(e, now)

	return fleet.Entry{}, false
}

// refute handles an entry about the node itself. If the entry would replace the
// node's member entry or suspects the node, the node announces itself with a higher
// version. refute reports true for a member entry that must not be stored, because
// an earlier run of this daemon wrote it.
func (n *Node) refute(e fleet.Entry, now time.Time) bool {
	if e.Kind == fleet.KindMember {
		own := Version{Incarnation: n.incarnation, Version: n.version}
		if !(Version{Incarnation: e.Incarnation, Version: e.Version}).newer(own) {
			return false // mergeOne returns the node's own entry to the sender
		}
		// Peers have an entry of an earlier run whose clock was ahead.
		n.incarnation, n.version = e.Incarnation+1, 0
		n.reannounce(now)

		return true
	}
	if n.left {
		return false
	}
	switch suspected := e.Version / 2; {
	case e.Incarnation > n.incarnation:
		n.incarnation, n.version = e.Incarnation+1, 0
		n.reannounce(now)
	case e.Incarnation == n.incarnation && suspected >= n.version:
		n.version = suspected
		n.reannounce(now)
	}

	return false
}

// reannounce announces the unchanged value with the next version.
func (n *Node) reannounce(now time.Time) {
	own, _ := n.set.get(fleet.KindMember, n.settings.Name)
	n.Announce(own.Value, now)
}

// apply stores an entry, marks it as changed and as a rumor, and updates the member
// that it is about.
func (n *Node) apply(e fleet.Entry, now time.Time) {
	n.set.put(e)
	n.changes = append(n.changes, e)
	v := versionOf(e)
	n.rumors = append(n.rumors, v)
	delete(n.requestedAt, v.KeyHash)
	switch e.Kind {
	case fleet.KindMember:
		m := n.member(e.Key)
		info := n.settings.DecodeInfo(e.Value)
		n.ringsStale = n.ringsStale || !m.known || info.AvailabilityZone != m.zone
		m.incarnation, m.version, m.known = e.Incarnation, e.Version, true
		m.zone, m.leaving, m.storeUnavailable = info.AvailabilityZone, info.Leaving, info.StoreUnavailable
		n.updateStatus(m, now)
	case fleet.KindSuspicion:
		m := n.member(e.Key)
		m.suspicion = Version{Incarnation: e.Incarnation, Version: e.Version}
		n.updateStatus(m, now)
	default:
	}
}

// Changes returns the entries that changed since the last call, in order. An entry
// that changed several times is returned once for each change.
func (n *Node) Changes() []fleet.Entry {
	changes := n.changes
	n.changes = nil

	return changes
}

// HasRumors reports whether Rumors has anything to send.
func (n *Node) HasRumors() bool {
	return len(n.rumors) > 0
}

// Rumors returns the changes since the last call that have to be sent to Fanout
// peers: entries whose values are shorter than LargeValueBytes, and offers, which are
// the versions of the other entries.
func (n *Node) Rumors() (entries []fleet.Entry, offers []Version) {
	seen := make(map[uint64]bool, len(n.rumors))
	for _, v := range n.rumors {
		if seen[v.KeyHash] {
			continue
		}
		seen[v.KeyHash] = true
		e, ok := n.set.entry(v.KeyHash)
		switch {
		case !ok:
		case len(e.Value) < LargeValueBytes:
			entries = append(entries, e)
		default:
			offers = append(offers, versionOf(e))
		}
	}
	n.rumors = nil

	return entries, offers
}

// Wanted returns the offers that are newer than the node's entries and that the node
// has not requested within the last second.
func (n *Node) Wanted(offers []Version, now time.Time) []Version {
	var wanted []Version
	for _, offer := range offers {
		stored, ok := n.set.version(offer.KeyHash)
		if ok && !offer.newer(stored) || now.Sub(n.requestedAt[offer.KeyHash]) < requestInterval {
			continue
		}
		n.requestedAt[offer.KeyHash] = now
		wanted = append(wanted, offer)
	}

	return wanted
}

// Entries returns the entries that a peer requested by their key hashes, in the
// versions that the node has. Unknown entries are left out.
func (n *Node) Entries(wanted []Version) []fleet.Entry {
	entries := make([]fleet.Entry, 0, len(wanted))
	for _, v := range wanted {
		if e, ok := n.set.entry(v.KeyHash); ok {
			entries = append(entries, e)
		}
	}

	return entries
}
