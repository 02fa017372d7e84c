// Package capacity decides how many backend servers of which kind each availability zone
// should have.
package capacity

import "slices"

// ServerGroup identifies the servers that an order is about.
type ServerGroup struct {
	Pool string `msgpack:"p"`
	Zone string `msgpack:"z"`
	// Reclaimable servers cost less. The provider may take them away, all of a zone at
	// once.
	Reclaimable bool `msgpack:"r,omitempty"`
}

// Order requests a number of servers for a server group.
type Order struct {
	ServerGroup `msgpack:",inline"`
	Count       int `msgpack:"n"`
}

// Orders holds the last order of each server group.
type Orders []Order

// maxOrders bounds the remembered server groups; the oldest are dropped first.
const maxOrders = 1024

// With returns a copy that includes the order and no earlier one for its group.
func (o Orders) With(x Order) Orders {
	out := slices.DeleteFunc(slices.Clone(o), func(old Order) bool { return old.ServerGroup == x.ServerGroup })
	out = append(out, x)
	return out[max(0, len(out)-maxOrders):]
}

// Of returns the orders for a pool.
func (o Orders) Of(pool string) Orders {
	return slices.DeleteFunc(slices.Clone(o), func(x Order) bool { return x.Pool != pool })
}
