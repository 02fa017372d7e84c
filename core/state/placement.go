package state

import (
	"fmt"
	"time"

	"cardamomwick.example/core/duty"
)

// LeaseCommand renews or takes over the order lease; an empty Owner only reads.
type LeaseCommand struct {
	Owner string `msgpack:"o"`
	// Expected is what the sender has seen last.
	Expected duty.Lease `msgpack:"e"`
}

// EngineOrder tells an engine what to load. It is recorded before it is sent.
type EngineOrder struct {
	Fence    uint64   `msgpack:"f" json:"fence"`
	Server   string   `msgpack:"s" json:"server"`
	Pool     string   `msgpack:"p" json:"pool"`
	Version  string   `msgpack:"v" json:"version"`
	Adapters []string `msgpack:"a,omitempty" json:"adapters,omitempty"`
}

// keptOrders bounds the recorded engine orders.
const keptOrders = 4096

type placementState struct {
	// Lease says who may order engines about; its term is the number that orders carry.
	Lease duty.Lease `msgpack:"l"`
	// Orders holds the latest order per server.
	Orders map[string]EngineOrder `msgpack:"o"`
	// Loads is a token bucket over the weight store, as of LoadsAt.
	Loads   float64 `msgpack:"t"`
	LoadsAt int64   `msgpack:"a"`
}

func (s *placementState) lease(c *LeaseCommand) Result {
	code := CodeOK
	if c.Owner != "" && !s.Lease.Apply(duty.Claim{Holder: c.Owner, Expected: c.Expected}) {
		code = CodeStale
	}
	out := s.Lease
	return Result{Code: code, Lease: &out}
}

// order records an engine order of the current leaseholder, within the weight
// store's rate.
func (s *placementState) order(o *EngineOrder, perMinute float64, now int64) Result {
	cur := s.Lease
	if o.Fence != cur.Term || o.Fence == 0 {
		return Result{Code: CodeStale, Lease: &cur, Message: fmt.Sprintf("fence %d is not the current %d", o.Fence, cur.Term)}
	}
	if !s.takeLoad(perMinute, now) {
		return Result{Code: CodeRefused, Message: "the weight store's rate is used up"}
	}
	if s.Orders == nil || len(s.Orders) >= keptOrders {
		s.Orders = map[string]EngineOrder{}
	}
	s.Orders[o.Server] = *o
	return Result{Code: CodeOK, Lease: &cur}
}

// takeLoad takes one load from the bucket, which holds ten seconds of it but
// at least one; no rate means no limit.
func (s *placementState) takeLoad(perMinute float64, now int64) bool {
	if perMinute <= 0 {
		return true
	}
	most := max(1, perMinute/6)
	if s.LoadsAt == 0 {
		s.Loads = most
	}
	s.Loads = min(most, s.Loads+float64(now-s.LoadsAt)*perMinute/float64(time.Minute.Milliseconds()))
	s.LoadsAt = now
	if s.Loads < 1 {
		return false
	}
	s.Loads--
	return true
}
