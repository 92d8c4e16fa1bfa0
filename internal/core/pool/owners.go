package pool

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

const (
	// MaxOwners is the maximum number of owners. With 31 owners, the loss of 15
	// instances at once leaves a majority.
	MaxOwners = 31
	// replacementDelay is how long an owner must have failed before it is replaced. It
	// leaves a failed daemon the time to restart in place.
	replacementDelay = time.Minute
)

// RankDaemons returns the given daemons in the order in which they are preferred as the
// granter of a group, by rendezvous hashing (Thaler and Ravishankar, 1998). The order
// depends only on the group and the names.
func RankDaemons(group int, daemons []string) []string {
	ranked := slices.Clone(daemons)
	weight := func(name string) uint64 { return xxhash.Sum64String(strconv.Itoa(group) + "/" + name) }
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})

	return ranked
}

// InitialOwners returns the initial owners of a fleet: up to MaxOwners of the live
// daemons, with epoch 1.
func InitialOwners(live []string) *peerpb.Owners {
	names := slices.Sorted(slices.Values(live))

	return &peerpb.Owners{Epoch: 1, Names: names[:min(len(names), MaxOwners)]}
}

// ProposeOwners returns the owners that should replace the present ones in the
// store, or nil. The proposal adds or removes one owner, and its epoch is higher by 1.
// Live lists the names of the daemons that run and are not about to stop. Only a daemon
// with a majority proposes owners, and only once all owners know the present epoch.
func (p *Pool) ProposeOwners(now time.Time, live []string) *peerpb.Owners {
	if !p.leases.hasMajority(now) || !p.leases.ownersCurrent(now) {
		return nil
	}
	names := p.owners.GetNames()
	next := &peerpb.Owners{Epoch: p.owners.GetEpoch() + 1}
	removable := slices.IndexFunc(names, func(name string) bool {
		return !slices.Contains(live, name) && p.leases.sinceMajorityContact(name, now) >= replacementDelay
	})
	added := slices.IndexFunc(live, func(name string) bool { return !slices.Contains(names, name) })
	switch {
	case removable >= 0 && len(names) > 1:
		next.Names = slices.Concat(names[:removable], names[removable+1:])
	case added >= 0 && len(names) < MaxOwners:
		next.Names = append(slices.Clone(names), live[added])
		next.Added = live[added]
		slices.Sort(next.Names)
	default:
		return nil
	}

	return next
}
