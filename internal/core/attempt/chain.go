package attempt

// order is one of the orders that finished records are kept in.
type order int

const (
	// allOrder is of the records of all ingresses, ownOrder of those of one.
	allOrder order = iota
	ownOrder
	orders
)

// chain is a doubly linked list of records, oldest first, whose links are in the
// records: an element of container/list is larger than a record itself.
type chain struct {
	order       order
	first, last *record
	length      int
}

// links are the neighbours of a record in one order.
type links struct {
	previous, next *record
}

// Len returns the number of records.
func (c *chain) Len() int { return c.length }

func (c *chain) push(rec *record) {
	rec.links[c.order] = links{previous: c.last}
	if c.last == nil {
		c.first = rec
	} else {
		c.last.links[c.order].next = rec
	}
	c.last = rec
	c.length++
}

// remove removes a record, which must be in the chain.
func (c *chain) remove(rec *record) {
	l := rec.links[c.order]
	if l == (links{}) && c.first != rec {
		panic("attempt: record is not in the chain") // it would cut the chain
	}
	if l.previous == nil {
		c.first = l.next
	} else {
		l.previous.links[c.order].next = l.next
	}
	if l.next == nil {
		c.last = l.previous
	} else {
		l.next.links[c.order].previous = l.previous
	}
	rec.links[c.order] = links{}
	c.length--
}
