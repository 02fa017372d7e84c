package dispatch

import (
	"container/heap"
	"sort"
	"time"

	"cardamomwick.example/core/bundle"
)

// waiting is a queued ticket.
type waiting struct {
	Ticket
	arrival time.Time
	expires time.Time
	reason  Reason
	// lostAt is when waiting has lost the first-token target.
	lostAt time.Time
	// gone: granted, cancelled or refused; heaps drop it lazily.
	gone bool
	// work is what its grant will charge, in token units.
	work float64
}

// customerQueue holds one customer's tickets of one class, oldest first.
type customerQueue struct {
	name    string
	tickets []*waiting
	// virtual is the weighted work this customer has been granted.
	virtual float64
	// slot is the position in the class's heap, -1 when absent.
	slot int
}

func (q *customerQueue) insert(w *waiting) {
	i := sort.Search(len(q.tickets), func(i int) bool { return q.tickets[i].arrival.After(w.arrival) })
	q.tickets = append(q.tickets, nil)
	copy(q.tickets[i+1:], q.tickets[i:])
	q.tickets[i] = w
}

// trim drops tickets that are gone from both ends.
func (q *customerQueue) trim() {
	for len(q.tickets) > 0 && q.tickets[0].gone {
		q.tickets[0] = nil
		q.tickets = q.tickets[1:]
	}
	for n := len(q.tickets); n > 0 && q.tickets[n-1].gone; n-- {
		q.tickets = q.tickets[:n-1]
	}
}

func (q *customerQueue) next(order bundle.QueueOrder) *waiting {
	q.trim()
	if len(q.tickets) == 0 {
		return nil
	}
	if order == bundle.QueueNewest {
		return q.tickets[len(q.tickets)-1]
	}
	return q.tickets[0]
}

// attainable returns the oldest ticket that can still meet its target. Tickets
// are sorted by arrival, so the lost ones come first.
func (q *customerQueue) attainable(now time.Time) *waiting {
	q.trim()
	i := sort.Search(len(q.tickets), func(i int) bool { return q.tickets[i].lostAt.After(now) })
	for ; i < len(q.tickets); i++ {
		if !q.tickets[i].gone {
			return q.tickets[i]
		}
	}
	return nil
}

// customerHeap orders the customers of a class by granted work.
type customerHeap []*customerQueue

func (h customerHeap) Len() int           { return len(h) }
func (h customerHeap) Less(i, j int) bool { return h[i].virtual < h[j].virtual }
func (h customerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot = i
	h[j].slot = j
}
func (h *customerHeap) Push(x any) {
	q := x.(*customerQueue)
	q.slot = len(*h)
	*h = append(*h, q)
}
func (h *customerHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	q.slot = -1
	*h = old[:len(old)-1]
	return q
}

// classQueue holds the waiting tickets of one class.
type classQueue struct {
	name      string
	policy    bundle.Class
	customers map[string]*customerQueue
	active    customerHeap
	// virtual is the work level at which a returning customer starts.
	virtual float64
	// granted is the class's recent work, decayed over shareWindow.
	granted float64
	count   int
	// grants counts towards the next grant by age alone.
	grants int
}

func newClassQueue(name string, policy bundle.Class) *classQueue {
	return &classQueue{name: name, policy: policy, customers: map[string]*customerQueue{}}
}

func (c *classQueue) add(w *waiting) {
	q := c.customers[w.Customer]
	if q == nil {
		q = &customerQueue{name: w.Customer, slot: -1}
		c.customers[w.Customer] = q
	}
	q.insert(w)
	c.count++
	if q.slot < 0 {
		q.virtual = max(q.virtual, c.virtual)
		heap.Push(&c.active, q)
	}
}

// remove marks a ticket as gone.
func (c *classQueue) remove(w *waiting) {
	if !w.gone {
		w.gone = true
		c.count--
	}
}

// lateEvery is how many grants of an attainable-first class come before one goes
// to its oldest call, lost or not.
const lateEvery = 8

// next returns the customer and the ticket that the class would run next, nil
// when none waits.
func (c *classQueue) next(now time.Time) (*customerQueue, *waiting) {
	if c.policy.Order == bundle.QueueAttainable && c.grants%lateEvery != lateEvery-1 {
		if q, w := c.firstAttainable(now); w != nil {
			return q, w
		}
	}
	for len(c.active) > 0 {
		q := c.active[0]
		if w := q.next(c.policy.Order); w != nil {
			return q, w
		}
		c.drop(q)
	}
	return nil, nil
}

// firstAttainable returns the attainable ticket of the customer that is owed
// the most.
func (c *classQueue) firstAttainable(now time.Time) (*customerQueue, *waiting) {
	var best *customerQueue
	var ticket *waiting
	for _, q := range c.active {
		if best != nil && best.virtual <= q.virtual {
			continue
		}
		if w := q.attainable(now); w != nil {
			best, ticket = q, w
		}
	}
	return best, ticket
}

// drop takes empty customers out of the heap.
func (c *classQueue) drop(q *customerQueue) {
	if q.slot >= 0 {
		heap.Remove(&c.active, q.slot)
	}
	if len(q.tickets) == 0 && q.virtual <= c.virtual {
		delete(c.customers, q.name)
	}
}

// charge adds granted work to a customer.
func (c *classQueue) charge(q *customerQueue, work, weight float64) {
	c.virtual = max(c.virtual, q.virtual)
	q.virtual += work / weight
	if q.slot >= 0 {
		heap.Fix(&c.active, q.slot)
	}
}

// newest returns the latest ticket of the class, for shedding.
func (c *classQueue) newest() *waiting {
	var last *waiting
	for _, q := range c.active {
		if w := q.next(bundle.QueueNewest); w != nil && (last == nil || w.arrival.After(last.arrival)) {
			last = w
		}
	}
	return last
}

// expiryHeap orders tickets by the time at which they are refused.
type expiryHeap []*waiting

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*waiting)) }
func (h *expiryHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
