package tokens

import (
	"iter"
	"maps"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Limits is an immutable set of the limits of the client accounts of one group.
type Limits interface {
	// Get returns the limit of a client account, and false if the group has no such
	// account.
	Get(name string) (Limit, bool)
	// All iterates over the limits by the name of the client account, in unspecified
	// order.
	All() iter.Seq2[string, Limit]
}

// LimitMap implements Limits by a map from the name of the client account. It must
// not be changed while in use.
type LimitMap map[string]Limit

// Get returns the limit of a client account, and false if there is none.
func (m LimitMap) Get(name string) (Limit, bool) {
	limit, ok := m[name]

	return limit, ok
}

// All iterates over the limits in unspecified order.
func (m LimitMap) All() iter.Seq2[string, Limit] { return maps.All(m) }

// GroupLimits returns the limits of the client accounts of one group, with group from
// 0 to groups - 1. The result refers to accounts and copies nothing: each daemon is
// a holder in all groups, and maps of 280,000 limits would take 26 MB. Iterating
// over the result, which only granters do, visits the accounts of all groups.
func GroupLimits(accounts *fleet.ClientAccounts, group, groups int) Limits {
	return groupLimits{accounts, group, groups}
}

type groupLimits struct {
	accounts      *fleet.ClientAccounts
	group, groups int
}

func (l groupLimits) Get(name string) (Limit, bool) {
	account, ok := l.accounts.Get(name)
	if !ok || fleet.GroupIndex(name, l.groups) != l.group {
		return Limit{}, false
	}

	return Limit{Rate: account.Rate, Burst: float64(account.Burst)}, true
}

func (l groupLimits) All() iter.Seq2[string, Limit] {
	return func(yield func(string, Limit) bool) {
		for account := range l.accounts.All() {
			if fleet.GroupIndex(account.Name, l.groups) == l.group && !yield(account.Name, Limit{Rate: account.Rate, Burst: float64(account.Burst)}) {
				return
			}
		}
	}
}

// ScaleLimits returns the limits with rate and burst multiplied by share, from 0 to 1.
// A share of 0 gives zero limits, from which no token is granted.
func ScaleLimits(limits Limits, share float64) Limits {
	return scaledLimits{limits, share}
}

type scaledLimits struct {
	Limits
	share float64
}

func (s scaledLimits) Get(name string) (Limit, bool) {
	limit, ok := s.Limits.Get(name)

	return Limit{Rate: limit.Rate * s.share, Burst: limit.Burst * s.share}, ok
}

func (s scaledLimits) All() iter.Seq2[string, Limit] {
	return func(yield func(string, Limit) bool) {
		for name, limit := range s.Limits.All() {
			if !yield(name, Limit{Rate: limit.Rate * s.share, Burst: limit.Burst * s.share}) {
				return
			}
		}
	}
}

// limitOrZero returns the limit of a client account, or the zero limit.
func limitOrZero(limits Limits, name string) Limit {
	limit, _ := limits.Get(name)

	return limit
}
