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
	// Incarnation must be higher than that of the daemon's former lives; peers
	// that hold a higher one raise it.
	Incarnation uint64
	// DecodeInfo reads what the node needs from the value of a member entry.
	DecodeInfo func(value []byte) MemberInfo
}

// MemberInfo is what a node needs to know from a member's value.
type MemberInfo struct {
	AvailabilityZone string
	// Leaving says that the member is about to leave.
	Leaving bool
	// StoreUnavailable says that the store does not answer the member.
	StoreUnavailable bool
}

const (
	// Fanout is the number of peers that get a rumor on its first receipt; 4
	// leave about 2% of the members to anti-entropy.
	Fanout = 4
	// MaxIndirectProbers is the most peers that are asked for an indirect probe.
	MaxIndirectProbers = 3
	// SuspicionTimeout is the time a suspected member has to refute.
	SuspicionTimeout = 5 * time.Second
	// FaultyRetention is how long a faulty member's entries are kept, so that
	// members that return from a partition learn of it and can refute.
	FaultyRetention = time.Hour
	// ForgottenRetention is how long older entries of a forgotten member are refused.
	ForgottenRetention = 24 * time.Hour
	// LargeValueBytes is the size in bytes from which a rumor offers an entry
	// instead of carrying it. Without this each member receives every member
	// entry of about 2 KB four times.
	LargeValueBytes = 256
	// askAgain is how long an offered entry that was asked for is not asked
	// for again.
	askAgain = time.Second
)

// Node is one member's replica of the set and its view of the other members.
type Node struct {
	settings    Settings
	random      *rand.Rand
	set         set
	incarnation uint64
	version     uint64
	left        bool

	members   map[string]*member
	doubtful  map[string]*member
	forgotten map[string]forgotten
	lastTick  time.Time

	changes []fleet.Entry
	rumors  []Version
	asked   map[uint64]time.Time

	ringsStale bool
	own        ring
	other      ring
	faulty     []string
}

// NewNode returns a node that knows only itself. The random source is owned by
// the node from then on.
func NewNode(settings Settings, value []byte, random *rand.Rand, now time.Time) *Node {
	n := &Node{
		settings:    settings,
		random:      random,
		incarnation: settings.Incarnation,
		members:     map[string]*member{},
		doubtful:    map[string]*member{},
		forgotten:   map[string]forgotten{},
		asked:       map[uint64]time.Time{},
		lastTick:    now,
	}
	n.Announce(value, now)

	return n
}

// Incarnation returns the node's own incarnation, which merging may raise.
func (n *Node) Incarnation() uint64 {
	return n.incarnation
}

// Len returns the number of entries in the set.
func (n *Node) Len() int {
	return n.set.count
}

// Get returns an entry. The value is the caller's.
func (n *Node) Get(kind fleet.EntryKind, key string) (fleet.Entry, bool) {
	return n.set.get(kind, key)
}

// Range calls f for each entry of a kind, in no order. f must not change the
// node.
func (n *Node) Range(kind fleet.EntryKind, f func(fleet.Entry)) {
	n.set.visit(kind, f)
}

// Announce replaces the value of the node's own member entry.
func (n *Node) Announce(value []byte, now time.Time) {
	n.version++
	n.store(fleet.Entry{
		Kind: fleet.KindMember, Key: n.settings.Name,
		Incarnation: n.incarnation, Version: n.version, Value: value,
	}, now)
}

// Publish merges an entry that this daemon wrote and reports whether it
// replaced the one in the set. Member entries are written by Announce.
func (n *Node) Publish(e fleet.Entry, now time.Time) bool {
	before := len(n.changes)
	n.Merge([]fleet.Entry{e}, now)

	return len(n.changes) > before
}

// Merge takes over the entries that are newer than those in the set. It returns
// the node's own for those that are older, so that the sender can catch up.
func (n *Node) Merge(entries []fleet.Entry, now time.Time) (newer []fleet.Entry) {
	for _, e := range entries {
		if reply, ok := n.mergeOne(e, now); ok {
			newer = append(newer, reply)
		}
	}

	return newer
}

func (n *Node) mergeOne(e fleet.Entry, now time.Time) (fleet.Entry, bool) {
	if e.Kind == 0 || e.Key == "" {
		return fleet.Entry{}, false
	}
	isMember := e.Kind == fleet.KindMember
	if isMember || e.Kind == fleet.KindSuspicion {
		if tombstone, ok := n.isForgotten(e); ok {
			return tombstone, isMember
		}
		if e.Key == n.settings.Name && n.defend(e, now) {
			return fleet.Entry{}, false
		}
	}
	if held, ok := n.set.version(KeyHash(e.Kind, e.Key)); ok {
		offered := versionOf(e)
		if !offered.newer(held) {
			if !held.newer(offered) {
				return fleet.Entry{}, false
			}

			return n.set.entry(held.KeyHash)
		}
	}
	n.store(e, now)

	return fleet.Entry{}, false
}

// defend handles an entry about the node itself. It reports true if the entry
// must not be stored, because it claims to be the node's own.
func (n *Node) defend(e fleet.Entry, now time.Time) bool {
	if e.Kind == fleet.KindMember {
		mine := Version{Incarnation: n.incarnation, Version: n.version}
		if !(Version{Incarnation: e.Incarnation, Version: e.Version}).newer(mine) {
			return false // the ordinary comparison answers with the node's own
		}
		// Peers hold a former life whose clock was ahead.
		n.incarnation, n.version = e.Incarnation+1, 0
		n.announceAgain(now)

		return true
	}
	if n.left {
		return false
	}
	switch about := e.Version / 2; {
	case e.Incarnation > n.incarnation:
		n.incarnation, n.version = e.Incarnation+1, 0
		n.announceAgain(now)
	case e.Incarnation == n.incarnation && about >= n.version:
		n.version = about
		n.announceAgain(now)
	}

	return false
}

func (n *Node) announceAgain(now time.Time) {
	own, _ := n.set.get(fleet.KindMember, n.settings.Name)
	n.Announce(own.Value, now)
}

func (n *Node) store(e fleet.Entry, now time.Time) {
	n.set.put(e)
	n.changes = append(n.changes, e)
	v := versionOf(e)
	n.rumors = append(n.rumors, v)
	delete(n.asked, v.KeyHash)
	switch e.Kind {
	case fleet.KindMember:
		m := n.member(e.Key)
		described := n.settings.DecodeInfo(e.Value)
		n.ringsStale = n.ringsStale || !m.known || described.AvailabilityZone != m.zone
		m.incarnation, m.version, m.known = e.Incarnation, e.Version, true
		m.zone, m.leaving, m.storeAway = described.AvailabilityZone, described.Leaving, described.StoreUnavailable
		n.updateStatus(m, now)
	case fleet.KindSuspicion:
		m := n.member(e.Key)
		m.suspicion = Version{Incarnation: e.Incarnation, Version: e.Version}
		n.updateStatus(m, now)
	default:
	}
}

// Changes returns the entries that changed since the last call. Of several
// changes to one entry all are returned, in order.
func (n *Node) Changes() []fleet.Entry {
	changes := n.changes
	n.changes = nil

	return changes
}

// HasRumors reports whether there is anything to send to peers.
func (n *Node) HasRumors() bool {
	return len(n.rumors) > 0
}

// Rumors returns what has to be sent to Fanout peers: entries with small values
// and offers of entries with large ones.
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

// Wanted returns the offered entries that the node lacks and has not asked for
// within the last second.
func (n *Node) Wanted(offers []Version, now time.Time) []Version {
	var wanted []Version
	for _, offer := range offers {
		held, ok := n.set.version(offer.KeyHash)
		if ok && !offer.newer(held) || now.Sub(n.asked[offer.KeyHash]) < askAgain {
			continue
		}
		n.asked[offer.KeyHash] = now
		wanted = append(wanted, offer)
	}

	return wanted
}

// Entries returns the entries with the given key hashes.
func (n *Node) Entries(wanted []Version) []fleet.Entry {
	entries := make([]fleet.Entry, 0, len(wanted))
	for _, v := range wanted {
		if e, ok := n.set.entry(v.KeyHash); ok {
			entries = append(entries, e)
		}
	}

	return entries
}
