package state

import (
	"slices"

	"cardamomwick.example/core/fleet"
)

// DeclareCommand puts a routing declaration in force if its version is above
// the one held. It has been checked before it is proposed.
type DeclareCommand struct {
	Version uint64 `msgpack:"v"`
	// Declaration is an encoded routing.Declaration. It and Source are opaque here:
	// the proposer has compressed both.
	Declaration []byte `msgpack:"d"`
	// Source is what the operator sent, for reading back.
	Source []byte `msgpack:"s"`
}

// routingState is the part of the machine that the routed calls follow.
type routingState struct {
	Held        DeclareCommand     `msgpack:"h"`
	Withdrawals []fleet.Withdrawal `msgpack:"w"`
	// Servers are the backend servers that have announced themselves and not
	// departed, so that a new leader, and a group that was down, know them at once.
	Servers []fleet.Server `msgpack:"f,omitempty"`
	// Starts are the newest starts of servers that keep their name, also of those
	// that have departed: a new leader must not take back an older one.
	Starts fleet.Starts `msgpack:"s"`
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

// keptServers bounds the servers remembered; the oldest go first. It is twice the servers
// of the largest deployment aimed at: after the loss of all of them, the next ones announce
// themselves before the former are forgotten.
const keptServers = 8192

// register remembers servers, and forgets their older starts. One that has said that it
// leaves stays so. What is there is looked up once for all of them: an entry of the log
// with hundreds of servers must not hold a replica up for longer than its peers wait.
func (s *routingState) register(list []fleet.Server) Result {
	known := s.known(list)
	for _, server := range list {
		s.registerOne(server, known)
	}
	s.Servers = slices.Delete(s.Servers, 0, max(0, len(s.Servers)-keptServers))
	return Result{Code: CodeOK}
}

// known tells by ID which of the servers, and of their former starts, are remembered or
// withdrawn.
func (s *routingState) known(list []fleet.Server) map[string]bool {
	known := make(map[string]bool, 2*len(list))
	for i := range list {
		known[list[i].ID] = false
		known[s.Starts.NewestID(list[i].StableName())] = false
	}
	note := func(id string) {
		if _, asked := known[id]; asked {
			known[id] = true
		}
	}
	for i := range s.Servers {
		note(s.Servers[i].ID)
	}
	for i := range s.Withdrawals {
		note(s.Withdrawals[i].ServerID)
	}
	return known
}

// registerOne remembers a server that is neither known nor withdrawn.
func (s *routingState) registerOne(server fleet.Server, known map[string]bool) {
	start := server.Start()
	if s.Starts.Stale(start) {
		return
	}
	if former := s.Starts.NewestID(start.Name); s.Starts.Record(start) {
		if known[former] {
			s.Servers = slices.DeleteFunc(s.Servers, func(x fleet.Server) bool { return x.StableName() == start.Name && x.StartedAt < start.StartedAt })
		}
		s.Revision++
	}
	if known[server.ID] {
		return
	}
	known[server.ID] = true
	server.Phase, server.Overdue = fleet.Ready, false
	s.Servers = append(s.Servers, server)
	s.Revision++
}

// settle applies withdrawals to the servers remembered.
func (s *routingState) settle(phases map[string]fleet.Phase) {
	s.Servers = slices.DeleteFunc(s.Servers, func(x fleet.Server) bool { return phases[x.ID] == fleet.Departed })
	for i := range s.Servers {
		if phase, withdrawn := phases[s.Servers[i].ID]; withdrawn {
			s.Servers[i].Phase = phase
		}
	}
}

// withdraw notes withdrawals, the latest fleet.MaxLoggedWithdrawals of them. A later phase
// replaces an earlier one.
func (s *routingState) withdraw(list []fleet.Withdrawal) Result {
	phases := make(map[string]fleet.Phase, len(list))
	for _, w := range list {
		phases[w.ServerID] = max(phases[w.ServerID], w.Phase)
	}
	s.settle(phases)
	noted := make(map[string]int, len(list))
	for i, w := range s.Withdrawals {
		if _, asked := phases[w.ServerID]; asked {
			noted[w.ServerID] = i
		}
	}
	for _, w := range list {
		i, known := noted[w.ServerID]
		if known && w.Phase <= s.Withdrawals[i].Phase {
			continue
		}
		s.Revision++
		if known {
			s.Withdrawals[i].Phase = w.Phase
			continue
		}
		noted[w.ServerID] = len(s.Withdrawals)
		s.Withdrawals = append(s.Withdrawals, w)
	}
	s.Withdrawals = slices.Delete(s.Withdrawals, 0, max(0, len(s.Withdrawals)-fleet.MaxLoggedWithdrawals))
	return Result{Code: CodeOK}
}

// Routing is a copy of the routing state. Slices are shared and read-only.
type Routing struct {
	Held        DeclareCommand
	Withdrawals []fleet.Withdrawal
	Servers     []fleet.Server
	Starts      []fleet.Start
	Revision    uint64
}

// Routing returns what is committed about routing.
func (m *Machine) Routing() Routing {
	s := &m.routing
	return Routing{Held: s.Held, Withdrawals: slices.Clone(s.Withdrawals),
		Servers: slices.Clone(s.Servers), Starts: s.Starts.List(), Revision: s.Revision}
}

// RoutingRevision returns the revision of what Routing would return.
func (m *Machine) RoutingRevision() uint64 { return m.routing.Revision }
