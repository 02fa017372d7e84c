package state

import (
	"fmt"
	"time"

	"cardamomwick.example/core/duty"
)

// LeaseCommand renews or acquires the order lease. An empty Owner only reads it.
type LeaseCommand struct {
	Owner string `msgpack:"o"`
	// Expected is the lease as last seen by the sender.
	Expected duty.Lease `msgpack:"e"`
}

// EngineOrder instructs an engine to load a model version. It is recorded before it is
// sent.
type EngineOrder struct {
	Fence    uint64   `msgpack:"f" json:"fence"`
	Server   string   `msgpack:"s" json:"server"`
	Pool     string   `msgpack:"p" json:"pool"`
	Version  string   `msgpack:"v" json:"version"`
	Adapters []string `msgpack:"a,omitempty" json:"adapters,omitempty"`
}

// maxEngineOrders limits the recorded engine orders.
const maxEngineOrders = 4096

type placementState struct {
	// Lease determines who may send engine orders; its term is their fencing token.
	Lease duty.Lease `msgpack:"l"`
	// Orders holds the latest order by server.
	Orders map[string]EngineOrder `msgpack:"o"`
	// LoadTokens is the level at RefilledAt of a token bucket that limits the loading of
	// model weights from the weight store.
	LoadTokens float64 `msgpack:"t"`
	RefilledAt int64   `msgpack:"a"`
}

func (s *placementState) lease(c *LeaseCommand) Result {
	code := CodeOK
	if c.Owner != "" && !s.Lease.Apply(duty.Claim{Holder: c.Owner, Expected: c.Expected}) {
		code = CodeStale
	}
	out := s.Lease
	return Result{Code: code, Lease: &out}
}

// recordOrder records an engine order if the sender holds the lease and the weight
// store's load rate permits it.
func (s *placementState) recordOrder(o *EngineOrder, perMinute float64, now int64) Result {
	cur := s.Lease
	if o.Fence != cur.Term || o.Fence == 0 {
		return Result{Code: CodeStale, Lease: &cur, Message: fmt.Sprintf("fence %d is not the current %d", o.Fence, cur.Term)}
	}
	if !s.takeLoadToken(perMinute, now) {
		return Result{Code: CodeRefused, Message: "the weight store's rate is used up"}
	}
	if s.Orders == nil || len(s.Orders) >= maxEngineOrders {
		s.Orders = map[string]EngineOrder{}
	}
	s.Orders[o.Server] = *o
	return Result{Code: CodeOK, Lease: &cur}
}

// takeLoadToken takes one token from the bucket, one for each loading of model weights.
// The bucket's capacity is the number of loadings in ten seconds, at least one. A rate
// of zero means no limit.
func (s *placementState) takeLoadToken(perMinute float64, now int64) bool {
	if perMinute <= 0 {
		return true
	}
	burst := max(1, perMinute/6)
	if s.RefilledAt == 0 {
		s.LoadTokens = burst
	}
	s.LoadTokens = min(burst, s.LoadTokens+float64(now-s.RefilledAt)*perMinute/float64(time.Minute.Milliseconds()))
	s.RefilledAt = now
	if s.LoadTokens < 1 {
		return false
	}
	s.LoadTokens--
	return true
}
