package router

import (
	"math/rand/v2"
	"time"

	"cardamomwick.example/core/balance"
	"cardamomwick.example/daemon/frame"
)

// Frame methods for loans of slots at brittle servers.
const (
	methodSlotRequest = "router.slot_request"
	methodSlotLoan    = "router.slot_loan"
	methodSlotReturn  = "router.slot_return"
)

// SlotMessages sends messages about loans of slots to other instances, given by their names. It does
// not wait. A lost request is repeated, and a lost loan or return ends by itself.
type SlotMessages interface {
	Request(to, pool string, slots int)
	Lend(balance.SlotLoan)
	Return(balance.SlotLoan)
}

type noSlotMessages struct{}

func (noSlotMessages) Request(string, string, int) {}
func (noSlotMessages) Lend(balance.SlotLoan)       {}
func (noSlotMessages) Return(balance.SlotLoan)     {}

// slotRequest asks for slots of a pool's servers, for calls that wait.
type slotRequest struct {
	From  string `msgpack:"f"`
	Pool  string `msgpack:"p"`
	Slots int    `msgpack:"n"`
}

// slotLoan lends slots of a server, or returns them.
type slotLoan struct {
	From   string `msgpack:"f"`
	Server string `msgpack:"s"`
	// Slots is 0 if the sender only reports that it still uses slots of the server.
	Slots int `msgpack:"n"`
}

// Slots sends and receives messages about loans. It implements SlotMessages.
type Slots struct {
	name      string
	transport *frame.Transport
	// addresses returns the addresses of those of the named instances that are in sight.
	addresses func(names []string) []string
}

// NewSlots returns the messages of the named instance.
func NewSlots(name string, t *frame.Transport, addresses func(names []string) []string) *Slots {
	return &Slots{name: name, transport: t, addresses: addresses}
}

// Receive registers the frame handlers, which pass messages to a router.
func (x *Slots) Receive(r *Router) {
	frame.HandleDecoded(x.transport, methodSlotRequest, func(_ string, m *slotRequest) { r.receiveSlotRequest(m) })
	frame.HandleDecoded(x.transport, methodSlotLoan, func(_ string, m *slotLoan) { r.receiveLoan(m.loan()) })
	frame.HandleDecoded(x.transport, methodSlotReturn, func(_ string, m *slotLoan) { r.receiveReturn(m.loan()) })
}

func (m *slotLoan) loan() balance.SlotLoan {
	return balance.SlotLoan{Instance: m.From, Server: m.Server, Slots: m.Slots}
}

// Request implements SlotMessages.
func (x *Slots) Request(to, pool string, slots int) {
	x.send(to, methodSlotRequest, &slotRequest{x.name, pool, slots})
}

// Lend implements SlotMessages.
func (x *Slots) Lend(l balance.SlotLoan) {
	x.send(l.Instance, methodSlotLoan, &slotLoan{x.name, l.Server, l.Slots})
}

// Return implements SlotMessages.
func (x *Slots) Return(l balance.SlotLoan) {
	x.send(l.Instance, methodSlotReturn, &slotLoan{x.name, l.Server, l.Slots})
}

func (x *Slots) send(to, method string, m any) {
	for _, a := range x.addresses([]string{to}) {
		_ = x.transport.Send(a, method, m) // see SlotMessages on lost messages
	}
}

// requestSlots asks other instances for slots, for the calls that wait for room at a pool.
func (r *Router) requestSlots(pool string) {
	r.mu.Lock()
	names, waiting := r.balancer.SlotOwnersToAsk(time.Now(), pool, rand.Float64), r.queue(pool).Len()
	r.mu.Unlock()
	for _, name := range names {
		r.opt.Slots.Request(name, pool, waiting)
	}
}

func (r *Router) receiveSlotRequest(m *slotRequest) {
	r.mu.Lock()
	r.balancer.RequestSlots(time.Now(), m.From, m.Pool, m.Slots)
	r.mu.Unlock()
	r.shareSlots(m.Pool)
}

func (r *Router) receiveLoan(l balance.SlotLoan) {
	r.mu.Lock()
	pool := r.balancer.BorrowSlots(time.Now(), l)
	r.mu.Unlock()
	if pool == "" {
		r.opt.Slots.Return(l) // the server has left the list
		return
	}
	r.shareSlots(pool)
}

func (r *Router) receiveReturn(l balance.SlotLoan) {
	r.mu.Lock()
	pool := r.balancer.TakeBack(time.Now(), l)
	r.mu.Unlock()
	if pool != "" {
		r.shareSlots(pool)
	}
}

// shareSlots gives free slots at a pool's brittle servers to the first call that waits here. If there
// is none, it returns those that are borrowed and lends the others.
func (r *Router) shareSlots(pool string) {
	r.mu.Lock()
	q, now := r.queue(pool), time.Now()
	waiting := q.Len() > 0
	q.WakeFirst()
	returned := r.balancer.ReturnSlots(now, pool, waiting)
	var lent []balance.SlotLoan
	if !waiting {
		lent = r.balancer.LendSlots(now, pool)
	}
	r.mu.Unlock()
	for _, l := range returned {
		r.opt.Slots.Return(l)
	}
	for _, l := range lent {
		r.opt.Slots.Lend(l)
	}
}

// returnExpiredSlots returns borrowed slots whose time is over, and reports on the others.
func (r *Router) returnExpiredSlots() {
	r.mu.Lock()
	pools := r.balancer.BorrowedPools()
	r.mu.Unlock()
	for _, pool := range pools {
		r.shareSlots(pool)
	}
}
