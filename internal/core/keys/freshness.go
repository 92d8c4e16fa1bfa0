package keys

import "time"

// FreshnessLimit is how long a daemon trusts its key table after the last completed
// exchange. With the grace that running streams are given, it keeps the
// 3 seconds within which a withdrawn key must stop working.
const FreshnessLimit = 2 * time.Second

// Contact tells when a daemon last completed an exchange. Zero means never.
type Contact struct {
	Store time.Time
	// Peer is any other daemon, OtherZone one in another availability zone.
	Peer      time.Time
	OtherZone time.Time
	// KnowsPeers and KnowsOtherZones say whether there is anybody to reach.
	KnowsPeers      bool
	KnowsOtherZones bool
}

// HasExchanged reports whether a daemon with such contact has learned of any keys.
// Before that, an unknown key may be valid.
func (c Contact) HasExchanged() bool {
	return !c.Store.IsZero() || !c.Peer.IsZero()
}

// Fresh reports whether a daemon with such contact may accept keys at now.
// A peer in the same availability zone does not count while others are known,
// because both may be cut off from the place where a key is withdrawn.
func Fresh(now time.Time, contact Contact) bool {
	recent := func(t time.Time) bool { return !t.IsZero() && now.Sub(t) <= FreshnessLimit }

	switch {
	case recent(contact.Store):
		return true
	case contact.KnowsOtherZones:
		return recent(contact.OtherZone)
	case contact.KnowsPeers:
		return recent(contact.Peer)
	}

	// A single daemon gets withdrawals from the operators' client itself.
	return true
}
