package fleet

import (
	"hash/maphash"
	"iter"
	"math"
	"sort"
	"strings"
)

// ClientAccount is a tenant that calls through the fleet.
type ClientAccount struct {
	Name string
	Team string
	// Rate is in requests per second over the whole fleet. Zero is no limit.
	Rate float64
	// Burst is the number of requests that may come at once, at least 1.
	Burst int
	// Priority goes before that of routes, if it is above 0: 1 is the most urgent.
	Priority int
}

// AccountList is an immutable list of one team's client accounts. Every daemon
// holds all of them, and a list needs 16 bytes and the name for each.
type AccountList struct {
	team  string
	names string
	limit []accountLimit
	// priority is nil if no account of the list has one.
	priority []uint8
}

type accountLimit struct {
	rate  float64
	burst uint32
	// end is that of the account's name in names.
	end uint32
}

// NewAccountList returns the list of the given client accounts of a team. Bursts
// must be below 2^32.
func NewAccountList(team string, accounts []ClientAccount) AccountList {
	var names strings.Builder
	l := AccountList{team: team, limit: make([]accountLimit, len(accounts))}
	size := 0
	for _, account := range accounts {
		size += len(account.Name)
	}
	names.Grow(size)
	for i, account := range accounts {
		names.WriteString(account.Name)
		l.limit[i] = accountLimit{account.Rate, uint32(account.Burst), uint32(names.Len())} //nolint:gosec // a file is at most 1 MB
	}
	l.names = names.String()
	for i, account := range accounts {
		if account.Priority > 0 && l.priority == nil {
			l.priority = make([]uint8, len(accounts))
		}
		if l.priority != nil {
			l.priority[i] = uint8(min(max(account.Priority, 0), math.MaxUint8)) //nolint:gosec // bounded
		}
	}

	return l
}

// Len returns the number of client accounts.
func (l AccountList) Len() int { return len(l.limit) }

// At returns a client account by its index.
func (l AccountList) At(i int) ClientAccount {
	account := ClientAccount{Name: l.name(i), Team: l.team, Rate: l.limit[i].rate, Burst: int(l.limit[i].burst)}
	if l.priority != nil {
		account.Priority = int(l.priority[i])
	}

	return account
}

func (l AccountList) name(i int) string {
	start := uint32(0)
	if i > 0 {
		start = l.limit[i-1].end
	}

	return l.names[start:l.limit[i].end]
}

// ClientAccounts finds client accounts by name in the lists of all teams, which
// it refers to. It is safe for concurrent use once all lists are added.
type ClientAccounts struct {
	lists []AccountList
	// first is the number of accounts in the lists before.
	first []int
	// slots is a hash table with linear probing. A slot that is not 0 holds the
	// high half of the name's hash, so that most other names are passed over
	// without a look at them, and 1 more than the number of the account.
	slots []uint64
	added int
	names int
}

// accountSeed keeps names that collide in one process from doing so in others.
var accountSeed = maphash.MakeSeed()

// NewClientAccounts returns an empty table with room for capacity accounts.
func NewClientAccounts(capacity int) *ClientAccounts {
	size := 4
	for 3*size < 4*capacity {
		size *= 2
	}

	return &ClientAccounts{slots: make([]uint64, size)}
}

// IndexClientAccounts returns the table of the given accounts, whose names differ.
func IndexClientAccounts(accounts ...ClientAccount) *ClientAccounts {
	c := NewClientAccounts(len(accounts))
	for _, account := range accounts {
		c.Add(NewAccountList(account.Team, []ClientAccount{account}))
	}

	return c
}

// Add adds a list, up to the capacity in total. It returns the accounts whose
// name was there before; these are not found by name.
func (c *ClientAccounts) Add(list AccountList) []ClientAccount {
	var twice []ClientAccount
	c.lists = append(c.lists, list)
	c.first = append(c.first, c.added)
	for i := range list.Len() {
		c.added++
		name := list.name(i)
		slot, found := c.find(name)
		if found {
			twice = append(twice, list.At(i))

			continue
		}
		c.slots[slot] = hashName(name)&hashHalf | uint64(c.added) //nolint:gosec // far below 2^32
		c.names++
	}

	return twice
}

// Get returns the client account with the name. The nil table has none.
func (c *ClientAccounts) Get(name string) (ClientAccount, bool) {
	if c == nil {
		return ClientAccount{}, false
	}
	slot, found := c.find(name)
	if !found {
		return ClientAccount{}, false
	}
	list, i := c.at(c.slots[slot])

	return list.At(i), true
}

// Len returns the number of client accounts with different names.
func (c *ClientAccounts) Len() int {
	if c == nil {
		return 0
	}

	return c.names
}

// All iterates over the client accounts in the order of the lists. Where a name
// was added twice, both accounts are visited.
func (c *ClientAccounts) All() iter.Seq[ClientAccount] {
	return func(yield func(ClientAccount) bool) {
		if c == nil {
			return
		}
		for _, list := range c.lists {
			for i := range list.Len() {
				if !yield(list.At(i)) {
					return
				}
			}
		}
	}
}

// find returns the slot of the name, or the free slot for it.
func (c *ClientAccounts) find(name string) (slot int, found bool) {
	hash := hashName(name)
	mask := uint64(len(c.slots) - 1) //nolint:gosec // not negative
	for at := hash & mask; ; at = (at + 1) & mask {
		held := c.slots[at]
		if held == 0 {
			return int(at), false //nolint:gosec // below the number of slots
		}
		if held&hashHalf != hash&hashHalf {
			continue
		}
		if list, i := c.at(held); list.name(i) == name {
			return int(at), true //nolint:gosec // below the number of slots
		}
	}
}

// hashHalf is the part of a hash that a slot holds.
const hashHalf = uint64(0xffffffff_00000000)

func hashName(name string) uint64 { return maphash.String(accountSeed, name) }

// at returns the list and the index in it of the account in a slot.
func (c *ClientAccounts) at(held uint64) (AccountList, int) {
	number := int(held&^hashHalf) - 1 //nolint:gosec // 32 bits
	list := sort.SearchInts(c.first, number+1) - 1

	return c.lists[list], number - c.first[list]
}
