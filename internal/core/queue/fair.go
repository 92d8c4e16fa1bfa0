package queue

// accountQueue holds the waiting items of one client account on one level, oldest
// first.
type accountQueue struct {
	name string
	// weight is the account's share relative to the other accounts, at least 1. It is
	// also the quantum of the deficit round robin.
	weight int64
	// deficit is the unspent credit, in units of weight. Starting an item costs
	// fairQueue.itemCost.
	deficit int64
	items   []Item
}

// fairQueue orders the items of one level by deficit round robin over client accounts
// (Shreedhar and Varghese 1995). An item costs as much as the largest weight among the
// waiting accounts, so that a heavy account starts at most one item per turn instead of
// a batch of as many items as its weight.
type fairQueue struct {
	// length is the number of items of all accounts.
	length int
	// ring holds the accounts that have items, in the order of their turns.
	ring []*accountQueue
	// next is the index in ring of the account whose turn it is.
	next int
	// credited reports whether the account at next has received its quantum for this turn.
	credited bool
	// round counts the complete passes over the ring since the level was last empty.
	round int64
	// idle holds the accounts that have left the ring since the level was last empty, by
	// name.
	idle map[string]idleAccount
	// skipped counts the items of more urgent levels that were started while this level
	// had an item that could start.
	skipped int
}

// idleAccount is the state of an account at the time when it left the ring.
type idleAccount struct{ deficit, weight, round int64 }

// maxIdle bounds the accounts in fairQueue.idle, each of which takes about 100 bytes.
const maxIdle = 1024

// add appends an item to the queue of its client account.
func (f *fairQueue) add(item Item) {
	account := f.account(item.ClientAccount)
	if account == nil {
		account = &accountQueue{name: item.ClientAccount, deficit: f.savedDeficit(item)}
		delete(f.idle, item.ClientAccount)
		f.ring = append(f.ring, account)
	}
	account.weight = int64(item.Weight)
	account.items = append(account.items, item)
	f.length++
}

// advance ends the turn of the current account.
func (f *fairQueue) advance() {
	f.credited = false
	f.next++
	if f.next >= len(f.ring) {
		f.next = 0
		f.round++
	}
}

// savedDeficit returns the deficit with which an account joins the ring: the credit
// that it would have received in the rounds since it left, up to the cost of one item.
// Without it, an account of low weight that sends occasionally would wait many rounds
// with each item and get less than its share.
func (f *fairQueue) savedDeficit(item Item) int64 {
	idle, weight := f.idle[item.ClientAccount], int64(item.Weight)

	return min(max(f.itemCost(), weight), idle.deficit+(f.round-idle.round)*weight)
}

// removeIf removes and returns the items that match.
func (f *fairQueue) removeIf(match func(Item) bool) []Item {
	var removed []Item
	for i := len(f.ring) - 1; i >= 0; i-- {
		account := f.ring[i]
		for j := len(account.items) - 1; j >= 0; j-- {
			if match(account.items[j]) {
				removed = append(removed, account.items[j])
				f.removeAt(account, j)
			}
		}
	}

	return removed
}

// removeAt removes the item at the index from the account's queue. If the queue is then
// empty, it also removes the account from the ring.
func (f *fairQueue) removeAt(account *accountQueue, index int) {
	account.items = append(account.items[:index], account.items[index+1:]...)
	f.length--
	if len(account.items) > 0 {
		return
	}
	for i, other := range f.ring {
		if other != account {
			continue
		}
		f.ring = append(f.ring[:i], f.ring[i+1:]...)
		f.rememberIdle(account)
		switch {
		case i < f.next:
			f.next--
		case i == f.next:
			f.credited = false
		}
		if f.next >= len(f.ring) {
			f.next = 0
			f.round++
		}
		if len(f.ring) == 0 {
			f.round = 0
			clear(f.idle)
		}

		return
	}
}

// rememberIdle records the deficit of an account that leaves the ring. If maxIdle
// accounts are recorded, it first drops those that have saved the cost of an item, and
// records nothing if none has.
func (f *fairQueue) rememberIdle(account *accountQueue) {
	if f.idle == nil {
		f.idle = map[string]idleAccount{}
	}
	if len(f.idle) >= maxIdle {
		cost := f.itemCost()
		for name, other := range f.idle {
			if other.deficit+(f.round-other.round)*other.weight >= cost {
				delete(f.idle, name)
			}
		}
	}
	if len(f.idle) < maxIdle {
		f.idle[account.name] = idleAccount{account.deficit, account.weight, f.round}
	}
}

// account returns the queue of an account in the ring, or nil.
func (f *fairQueue) account(name string) *accountQueue {
	for _, account := range f.ring {
		if account.name == name {
			return account
		}
	}

	return nil
}

// itemCost returns the cost of an item: the largest weight among the waiting accounts.
func (f *fairQueue) itemCost() int64 {
	cost := int64(1)
	for _, account := range f.ring {
		cost = max(cost, account.weight)
	}

	return cost
}

// mostLoaded returns the account with the highest ratio of waiting items to weight.
func (f *fairQueue) mostLoaded() *accountQueue {
	mostLoaded := f.ring[0]
	for _, account := range f.ring[1:] {
		if account.loadPerWeight(account.weight, 0) > mostLoaded.loadPerWeight(mostLoaded.weight, 0) {
			mostLoaded = account
		}
	}

	return mostLoaded
}

// loadPerWeight returns the number of waiting items plus arriving ones, divided by the
// weight. The receiver may be nil, for an account without waiting items.
func (a *accountQueue) loadPerWeight(weight int64, arriving int) float64 {
	if a != nil {
		arriving += len(a.items)
	}

	return float64(arriving) / float64(weight)
}

// contains reports whether an item matches.
func (f *fairQueue) contains(match func(Item) bool) bool {
	for _, account := range f.ring {
		if account.indexOf(match) >= 0 {
			return true
		}
	}

	return false
}

// indexOf returns the index of the first item that matches, or -1.
func (a *accountQueue) indexOf(match func(Item) bool) int {
	for i := range a.items {
		if match(a.items[i]) {
			return i
		}
	}

	return -1
}

// popMatching removes and returns the next item that matches. It doesn't return if no
// item matches.
func (f *fairQueue) popMatching(match func(Item) bool) Item {
	cost := f.itemCost()
	for {
		account := f.ring[f.next]
		index := account.indexOf(match)
		if !f.credited && index >= 0 {
			account.deficit += account.weight
			f.credited = true
		}
		if account.deficit < cost || index < 0 {
			f.advance()

			continue
		}
		account.deficit -= cost
		next := account.items[index]
		f.removeAt(account, index)

		return next
	}
}

// estimateAhead estimates the number of items that start before an arriving one. Before the
// n-th item of an account starts, another account with k times its weight starts at most k
// times n items.
func (f *fairQueue) estimateAhead(item Item) float64 {
	ownItems, deficit := 0, f.savedDeficit(item)
	if account := f.account(item.ClientAccount); account != nil {
		ownItems, deficit = len(account.items), account.deficit
	}
	turns := max(0, float64(ownItems+1)-float64(deficit)/float64(max(f.itemCost(), int64(item.Weight))))
	ahead := float64(ownItems)
	for _, account := range f.ring {
		if account.name != item.ClientAccount {
			share := turns * float64(account.weight) / float64(item.Weight)
			ahead += min(float64(len(account.items)), share)
		}
	}

	return ahead
}
