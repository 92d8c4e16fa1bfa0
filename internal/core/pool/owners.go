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
	// MaxOwners tolerates the loss of 15 instances at once.
	MaxOwners = 31
	// replaceAfter gives a daemon that failed the time to restart in place.
	replaceAfter = time.Minute
)

// RankDaemons returns the daemons that may grant a group's tokens, the preferred one
// first, by rendezvous hashing (Thaler and Ravishankar, 1998).
func RankDaemons(number int, daemons []string) []string {
	ranked := slices.Clone(daemons)
	weight := func(name string) uint64 { return xxhash.Sum64String(strconv.Itoa(number) + "/" + name) }
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})

	return ranked
}

// InitialOwners returns the owners of a fleet that has none, from the live daemons.
func InitialOwners(live []string) *peerpb.Owners {
	names := slices.Sorted(slices.Values(live))

	return &peerpb.Owners{Epoch: 1, Names: names[:min(len(names), MaxOwners)]}
}

// ProposeOwners returns the owners to put in place of the present ones, or nil. Live
// are the daemons that run and do not leave. Only a daemon with a majority
// proposes, and only once all owners know the present epoch.
func (p *Pool) ProposeOwners(now time.Time, live []string) *peerpb.Owners {
	if !p.ledger.majority(now) || !p.ledger.current(now) {
		return nil
	}
	names := p.owners.GetNames()
	next := &peerpb.Owners{Epoch: p.owners.GetEpoch() + 1}
	gone := slices.IndexFunc(names, func(name string) bool {
		return !slices.Contains(live, name) && p.ledger.unheard(name, now) >= replaceAfter
	})
	added := slices.IndexFunc(live, func(name string) bool { return !slices.Contains(names, name) })
	switch {
	case gone >= 0 && len(names) > 1:
		next.Names = slices.Concat(names[:gone], names[gone+1:])
	case added >= 0 && len(names) < MaxOwners:
		next.Names = append(slices.Clone(names), live[added])
		next.Added = live[added]
		slices.Sort(next.Names)
	default:
		return nil
	}

	return next
}
