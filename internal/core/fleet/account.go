package fleet

import (
	"hash/maphash"
	"iter"
	"math"
	"sort"
	"strings"
)

// ClientAccount is a tenant whose requests the fleet routes to upstreams.
type ClientAccount struct {
	Name string
	Team string
	// Rate is the limit in requests per second over the whole fleet. Zero means no limit.
	Rate float64
	// Burst is the number of requests that may arrive at once, at least 1.
	Burst int
	// Priority overrides the priority of the matched route if it is above 0; 1 is
	// the most urgent.
	Priority int
}

// AccountList is an immutable list of one team's client accounts. Every daemon stores
// the lists of all teams, so accounts are packed: each takes 16 bytes plus its name.
type AccountList struct {
	team string
	// names is the concatenation of the names of all accounts.
	names  string
	limits []accountLimit
	// priority is indexed like limits. It is nil if no account has a priority.
	priority []uint8
}

// accountLimit is the packed form of one client account, without its priority.
type accountLimit struct {
	rate  float64
	burst uint32
	// nameEnd is the offset in AccountList.names after the account's name.
	nameEnd uint32
}

// NewAccountList returns the list of the given client accounts of a team. Bursts
// must be below 2^32; priorities are bounded to 0 to 255.
func NewAccountList(team string, accounts []ClientAccount) AccountList {
	var names strings.Builder
	l := AccountList{team: team, limits: make([]accountLimit, len(accounts))}
	size := 0
	for _, account := range accounts {
		size += len(account.Name)
	}
	names.Grow(size)
	for i, account := range accounts {
		names.WriteString(account.Name)
		l.limits[i] = accountLimit{account.Rate, uint32(account.Burst), uint32(names.Len())} //nolint:gosec // a file is at most 1 MB
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

// Len returns the number of client accounts in the list.
func (l AccountList) Len() int { return len(l.limits) }

// At returns the client account at an index from 0 to Len()-1.
func (l AccountList) At(i int) ClientAccount {
	account := ClientAccount{Name: l.name(i), Team: l.team, Rate: l.limits[i].rate, Burst: int(l.limits[i].burst)}
	if l.priority != nil {
		account.Priority = int(l.priority[i])
	}

	return account
}

func (l AccountList) name(i int) string {
	start := uint32(0)
	if i > 0 {
		start = l.limits[i-1].nameEnd
	}

	return l.names[start:l.limits[i].nameEnd]
}

// ClientAccounts is a hash table that finds client accounts by name in the lists
// of all teams. It shares the memory of the lists. It is safe for concurrent use
// once all lists are added.
type ClientAccounts struct {
	lists []AccountList
	// firstNumbers holds, for each list, the number of its first account. Accounts
	// are numbered from 0 across all lists.
	firstNumbers []int
	// slots is a hash table with linear probing. The high half of a slot holds the
	// high half of the name's hash, so that most other names are skipped without
	// comparing them; the low half holds the account's number plus 1. An empty slot
	// is 0.
	slots []uint64
	// count is the number of accounts added.
	count int
	// distinct is the number of different names.
	distinct int
}

// nameHashSeed is random per process, so that names that collide in one daemon
// don't collide in the others.
var nameHashSeed = maphash.MakeSeed()

// NewClientAccounts returns an empty table for at most capacity accounts. Three
// quarters of its slots are used at most.
func NewClientAccounts(capacity int) *ClientAccounts {
	size := 4
	for 3*size < 4*capacity {
		size *= 2
	}

	return &ClientAccounts{slots: make([]uint64, size)}
}

// IndexClientAccounts returns the table of the given accounts, whose names must
// differ.
func IndexClientAccounts(accounts ...ClientAccount) *ClientAccounts {
	c := NewClientAccounts(len(accounts))
	for _, account := range accounts {
		c.Add(NewAccountList(account.Team, []ClientAccount{account}))
	}

	return c
}

// Add adds a list. All lists together must not exceed the capacity. It returns
// the accounts whose name the table had already; Get does not find these.
func (c *ClientAccounts) Add(list AccountList) []ClientAccount {
	var duplicates []ClientAccount
	c.lists = append(c.lists, list)
	c.firstNumbers = append(c.firstNumbers, c.count)
	for i := range list.Len() {
		c.count++
		name := list.name(i)
		slot, found := c.findSlot(name)
		if found {
			duplicates = append(duplicates, list.At(i))

			continue
		}
		c.slots[slot] = hashName(name)&hashMask | uint64(c.count) //nolint:gosec // far below 2^32
		c.distinct++
	}

	return duplicates
}

// Get returns the client account with the name. A nil table has no accounts.
func (c *ClientAccounts) Get(name string) (ClientAccount, bool) {
	if c == nil {
		return ClientAccount{}, false
	}
	slot, found := c.findSlot(name)
	if !found {
		return ClientAccount{}, false
	}
	list, i := c.accountInSlot(c.slots[slot])

	return list.At(i), true
}

// Len returns the number of client accounts, counting each name once.
func (c *ClientAccounts) Len() int {
	if c == nil {
		return 0
	}

	return c.distinct
}

// All iterates over the client accounts in the order in which they were added. If
// a name was added twice, both accounts are visited.
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

// findSlot returns the slot of the name, or the free slot to insert it in.
func (c *ClientAccounts) findSlot(name string) (slot int, found bool) {
	hash := hashName(name)
	mask := uint64(len(c.slots) - 1) //nolint:gosec // not negative
	for index := hash & mask; ; index = (index + 1) & mask {
		value := c.slots[index]
		if value == 0 {
			return int(index), false //nolint:gosec // below the number of slots
		}
		if value&hashMask != hash&hashMask {
			continue
		}
		if list, i := c.accountInSlot(value); list.name(i) == name {
			return int(index), true //nolint:gosec // below the number of slots
		}
	}
}

// hashMask selects the part of a hash that a slot stores.
const hashMask = uint64(0xffffffff_00000000)

func hashName(name string) uint64 { return maphash.String(nameHashSeed, name) }

// accountInSlot returns the list that has the account of a slot's value, and the
// account's index in the list.
func (c *ClientAccounts) accountInSlot(value uint64) (AccountList, int) {
	number := int(value&^hashMask) - 1 //nolint:gosec // 32 bits
	list := sort.SearchInts(c.firstNumbers, number+1) - 1

	return c.lists[list], number - c.firstNumbers[list]
}
