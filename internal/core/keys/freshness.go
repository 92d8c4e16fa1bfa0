package keys

import "time"

// FreshnessLimit is how long a daemon accepts keys after its last completed exchange
// with the store or another daemon. Together with the grace period of running streams it
// stays within the 3 seconds after which a withdrawn key must not work any more.
const FreshnessLimit = 2 * time.Second

// Contact holds the times at which a daemon last completed an exchange with the store
// and with other daemons. Zero means never.
type Contact struct {
	Store time.Time
	// Peer is the time of the last exchange with any other daemon.
	Peer time.Time
	// OtherZone is the time of the last exchange with a daemon in another availability
	// zone.
	OtherZone time.Time
	// KnowsPeers says that the fleet has other daemons.
	KnowsPeers bool
	// KnowsOtherZones says that the fleet has daemons in other availability zones.
	KnowsOtherZones bool
}

// HasExchanged reports whether the daemon has completed any exchange. Before the first
// one, a key that is not in the table may still be valid.
func (c Contact) HasExchanged() bool {
	return !c.Store.IsZero() || !c.Peer.IsZero()
}

// Fresh reports whether a daemon with this contact may accept keys at now. While other
// availability zones are known, an exchange with a peer in the same zone does not count,
// because both daemons may be partitioned from the zone in which a key is withdrawn.
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

	// The only daemon of a fleet receives withdrawals from the operators' client itself.
	return true
}
