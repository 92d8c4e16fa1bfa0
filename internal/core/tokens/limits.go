package tokens

import (
	"iter"
	"maps"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Limits are the limits of the client accounts of one group. They do not change.
type Limits interface {
	// Get returns the limit of a client account of the group.
	Get(name string) (Limit, bool)
	All() iter.Seq2[string, Limit]
}

// LimitMap holds limits by client account. It must not be changed while in use.
type LimitMap map[string]Limit

// Get returns the limit of a client account.
func (m LimitMap) Get(name string) (Limit, bool) {
	limit, ok := m[name]

	return limit, ok
}

// All iterates over the limits, in no order.
func (m LimitMap) All() iter.Seq2[string, Limit] { return maps.All(m) }

// GroupLimits returns the limits of one of so many groups of the client accounts of
// a configuration. It only refers to them: each daemon is a holder in all
// groups, and maps of 280,000 limits would take 26 MB. Iterating passes over the
// accounts of all groups, which only granters do.
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

// ScaleLimits returns the limits multiplied by a share. A share of 0 has no limits, so
// that nothing is granted.
func ScaleLimits(limits Limits, share float64) Limits {
	return scaled{limits, share}
}

type scaled struct {
	Limits
	share float64
}

func (s scaled) Get(name string) (Limit, bool) {
	limit, ok := s.Limits.Get(name)

	return Limit{Rate: limit.Rate * s.share, Burst: limit.Burst * s.share}, ok
}

func (s scaled) All() iter.Seq2[string, Limit] {
	return func(yield func(string, Limit) bool) {
		for name, limit := range s.Limits.All() {
			if !yield(name, Limit{Rate: limit.Rate * s.share, Burst: limit.Burst * s.share}) {
				return
			}
		}
	}
}

// limitOf returns the limit of a client account, or the zero limit.
func limitOf(limits Limits, name string) Limit {
	limit, _ := limits.Get(name)

	return limit
}
