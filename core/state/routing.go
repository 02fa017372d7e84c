package state

import (
	"cardamomwick.example/core/fleet"
)

// keptWithdrawals bounds the backend servers remembered as leaving. A server is
// gone for good some seconds after it has said so; this many leave in an hour
// of rolling replacement at the sizes aimed for.
const keptWithdrawals = 1024

// DeclareCommand puts a routing declaration in force if its version is above
// the one held. It has been checked before it is proposed.
type DeclareCommand struct {
	Version uint64 `msgpack:"v"`
	// Declaration is an encoded routing.Declaration.
	Declaration []byte `msgpack:"d"`
	// Source is what the operator sent, for reading back.
	Source []byte `msgpack:"s"`
}

// routingState is the part of the machine that the routed calls follow.
type routingState struct {
	Held        DeclareCommand     `msgpack:"h"`
	Withdrawals []fleet.Withdrawal `msgpack:"w"`
	// Revision rises with every change of the above.
	Revision uint64 `msgpack:"r"`
}

// declare keeps the highest version; the first content under a version stays.
// An older or equal version is accepted and changes nothing, so that an order
// can be sent again.
func (s *routingState) declare(c *DeclareCommand) Result {
	if c.Version > s.Held.Version {
		s.Held = *c
		s.Revision++
	}
	return Result{Code: CodeOK, Order: OrderResult{Version: s.Held.Version}}
}

func (s *routingState) withdraw(w fleet.Withdrawal) Result {
	for i := range s.Withdrawals {
		old := &s.Withdrawals[i]
		if old.ServerID != w.ServerID {
			continue
		}
		if w.Phase > old.Phase {
			old.Phase = w.Phase
			s.Revision++
		}
		return Result{Code: CodeOK}
	}
	s.Withdrawals = append(s.Withdrawals, w)
	if extra := len(s.Withdrawals) - keptWithdrawals; extra > 0 {
		s.Withdrawals = append([]fleet.Withdrawal(nil), s.Withdrawals[extra:]...)
	}
	s.Revision++
	return Result{Code: CodeOK}
}

// Routing is a copy of the routing state. Slices are shared and read-only.
type Routing struct {
	Held        DeclareCommand
	Withdrawals []fleet.Withdrawal
	Revision    uint64
}

// Routing returns what is committed about routing.
func (m *Machine) Routing() Routing {
	s := &m.routing
	return Routing{Held: s.Held, Withdrawals: append([]fleet.Withdrawal(nil), s.Withdrawals...), Revision: s.Revision}
}

// RoutingRevision returns the revision of what Routing would return.
func (m *Machine) RoutingRevision() uint64 { return m.routing.Revision }
