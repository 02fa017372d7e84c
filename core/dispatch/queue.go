package dispatch

import (
	"container/heap"
	"sort"
	"time"

	"cardamomwick.example/core/bundle"
)

// queuedTicket is a ticket with its queueing state. It is kept after the grant for
// the accounting of the running call.
type queuedTicket struct {
	Ticket
	arrival time.Time
	expires time.Time
	reason  Reason
	// latestStart is the time of grant after which the first-token target is expected
	// to be missed.
	latestStart time.Time
	// removed is set once the ticket is granted, cancelled or refused; queues and
	// heaps delete such tickets lazily.
	removed bool
	// estimatedWork is charged when the ticket is granted, in output tokens.
	estimatedWork float64
}

// customerQueue holds one customer's tickets of one class, oldest first.
type customerQueue struct {
	name    string
	tickets []*queuedTicket
	// virtualTime is the granted work divided by the customer's weight (weighted fair
	// queueing).
	virtualTime float64
	// heapIndex is the position in the class's heap, -1 when absent.
	heapIndex int
}

// insert adds a ticket at its place by arrival.
func (q *customerQueue) insert(w *queuedTicket) {
	i := sort.Search(len(q.tickets), func(i int) bool { return q.tickets[i].arrival.After(w.arrival) })
	q.tickets = append(q.tickets, nil)
	copy(q.tickets[i+1:], q.tickets[i:])
	q.tickets[i] = w
}

// trim deletes removed tickets from both ends.
func (q *customerQueue) trim() {
	for len(q.tickets) > 0 && q.tickets[0].removed {
		q.tickets[0] = nil
		q.tickets = q.tickets[1:]
	}
	for n := len(q.tickets); n > 0 && q.tickets[n-1].removed; n-- {
		q.tickets = q.tickets[:n-1]
	}
}

// next returns the ticket to run next in the given order, nil if none waits.
func (q *customerQueue) next(order bundle.QueueOrder) *queuedTicket {
	q.trim()
	if len(q.tickets) == 0 {
		return nil
	}
	if order == bundle.QueueNewest {
		return q.tickets[len(q.tickets)-1]
	}
	return q.tickets[0]
}

// attainable returns the oldest ticket that can still meet its first-token target,
// nil if there is none. Tickets are sorted by arrival, so those that can't meet it
// any more come first.
func (q *customerQueue) attainable(now time.Time) *queuedTicket {
	q.trim()
	i := sort.Search(len(q.tickets), func(i int) bool { return q.tickets[i].latestStart.After(now) })
	for ; i < len(q.tickets); i++ {
		if !q.tickets[i].removed {
			return q.tickets[i]
		}
	}
	return nil
}

// customerHeap is a min-heap of a class's customers by virtual time.
type customerHeap []*customerQueue

func (h customerHeap) Len() int           { return len(h) }
func (h customerHeap) Less(i, j int) bool { return h[i].virtualTime < h[j].virtualTime }
func (h customerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}
func (h *customerHeap) Push(x any) {
	q := x.(*customerQueue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}
func (h *customerHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	q.heapIndex = -1
	*h = old[:len(old)-1]
	return q
}

// classQueue holds the waiting tickets of one class.
type classQueue struct {
	name      string
	policy    bundle.Class
	customers map[string]*customerQueue
	active    customerHeap
	// virtualTime is the least virtual time of a customer that becomes active, so that
	// an idle customer saves up no claim.
	virtualTime float64
	// recentWork is the work granted to the class, decayed over shareWindow.
	recentWork float64
	queued     int
	// grants counts the class's grants; see oldestFirstInterval.
	grants int
}

func newClassQueue(name string, policy bundle.Class) *classQueue {
	return &classQueue{name: name, policy: policy, customers: map[string]*customerQueue{}}
}

func (c *classQueue) add(w *queuedTicket) {
	q := c.customers[w.Customer]
	if q == nil {
		q = &customerQueue{name: w.Customer, heapIndex: -1}
		c.customers[w.Customer] = q
	}
	q.insert(w)
	c.queued++
	if q.heapIndex < 0 {
		q.virtualTime = max(q.virtualTime, c.virtualTime)
		heap.Push(&c.active, q)
	}
}

// remove marks a ticket as removed.
func (c *classQueue) remove(w *queuedTicket) {
	if !w.removed {
		w.removed = true
		c.queued--
	}
}

// oldestFirstInterval: every so many grants, a class in attainable-first order grants
// its next ticket by fair queueing and age alone, so that tickets which can't meet
// their target any more run as well.
const oldestFirstInterval = 8

// next returns the ticket to run next and its customer, nil if none waits.
func (c *classQueue) next(now time.Time) (*customerQueue, *queuedTicket) {
	if c.policy.Order == bundle.QueueAttainable && c.grants%oldestFirstInterval != oldestFirstInterval-1 {
		if q, w := c.firstAttainable(now); w != nil {
			return q, w
		}
	}
	for len(c.active) > 0 {
		q := c.active[0]
		if w := q.next(c.policy.Order); w != nil {
			return q, w
		}
		c.deactivate(q)
	}
	return nil, nil
}

// firstAttainable returns an attainable ticket of the customer with the lowest
// virtual time.
func (c *classQueue) firstAttainable(now time.Time) (*customerQueue, *queuedTicket) {
	var best *customerQueue
	var ticket *queuedTicket
	for _, q := range c.active {
		if best != nil && best.virtualTime <= q.virtualTime {
			continue
		}
		if w := q.attainable(now); w != nil {
			best, ticket = q, w
		}
	}
	return best, ticket
}

// deactivate removes a customer from the heap, and deletes it if it has no tickets and
// its virtual time is not ahead of the class's.
func (c *classQueue) deactivate(q *customerQueue) {
	if q.heapIndex >= 0 {
		heap.Remove(&c.active, q.heapIndex)
	}
	if len(q.tickets) == 0 && q.virtualTime <= c.virtualTime {
		delete(c.customers, q.name)
	}
}

// charge adds granted work to a customer's virtual time.
func (c *classQueue) charge(q *customerQueue, work, weight float64) {
	c.virtualTime = max(c.virtualTime, q.virtualTime)
	q.virtualTime += work / weight
	if q.heapIndex >= 0 {
		heap.Fix(&c.active, q.heapIndex)
	}
}

// newest returns the ticket of the class that arrived last, nil if none waits.
func (c *classQueue) newest() *queuedTicket {
	var last *queuedTicket
	for _, q := range c.active {
		if w := q.next(bundle.QueueNewest); w != nil && (last == nil || w.arrival.After(last.arrival)) {
			last = w
		}
	}
	return last
}

// expiryHeap is a min-heap of tickets by the time at which they are refused.
type expiryHeap []*queuedTicket

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*queuedTicket)) }
func (h *expiryHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
