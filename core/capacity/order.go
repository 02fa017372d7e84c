// Package capacity decides how many backend servers of which kind there should be in which
// availability zone.
package capacity

import "slices"

// Subject is what one order is about.
type Subject struct {
	Pool string `msgpack:"p"`
	Zone string `msgpack:"z"`
	// Reclaimable servers cost less and may be taken away, all of a zone at once.
	Reclaimable bool `msgpack:"r,omitempty"`
}

// Order asks for a number of servers of a subject.
type Order struct {
	Subject `msgpack:",inline"`
	Count   int `msgpack:"n"`
}

// Orders are the last order of each subject.
type Orders []Order

// keptOrders bounds the subjects remembered; the oldest go first.
const keptOrders = 1024

// With returns the orders with a further one.
func (o Orders) With(x Order) Orders {
	out := slices.DeleteFunc(slices.Clone(o), func(old Order) bool { return old.Subject == x.Subject })
	out = append(out, x)
	return out[max(0, len(out)-keptOrders):]
}

// Of returns the orders for a pool.
func (o Orders) Of(pool string) Orders {
	return slices.DeleteFunc(slices.Clone(o), func(x Order) bool { return x.Pool != pool })
}
