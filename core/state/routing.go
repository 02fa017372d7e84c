package state

import (
	"slices"

	"cardamomwick.example/core/fleet"
)

// DeclareCommand activates a routing declaration if its version is higher than the
// active one. The proposer has already validated it.
type DeclareCommand struct {
	Version uint64 `msgpack:"v"`
	// Declaration is an encoded routing.Declaration. It and Source are compressed by the
	// proposer and opaque to the state machine.
	Declaration []byte `msgpack:"d"`
	// Source is the operator's original text, for reading it back.
	Source []byte `msgpack:"s"`
}

// routingState holds the routing declaration and the registry of backend servers.
type routingState struct {
	Declared    DeclareCommand     `msgpack:"h"`
	Withdrawals []fleet.Withdrawal `msgpack:"w"`
	// Servers are the backend servers that have announced themselves and not departed. A
	// new leader, or a group that restarts, knows them immediately.
	Servers []fleet.Server `msgpack:"f,omitempty"`
	// Starts holds the newest start of each server with a persistent name, including
	// departed servers, so that a new leader does not accept an older start.
	Starts fleet.Starts `msgpack:"s"`
	// Software is the software of each pool's servers over the whole log.
	Software softwareHistory `msgpack:"v,omitempty"`
	// Revision increases with every change of the other fields.
	Revision uint64 `msgpack:"r"`
}

// declare stores the declaration if its version is higher than the stored one. An older
// or equal version is accepted without effect, so that retries are safe; the first content
// published under a version is final.
func (s *routingState) declare(c *DeclareCommand) Result {
	if c.Version > s.Declared.Version {
		s.Declared = *c
		s.Revision++
	}
	return Result{Code: CodeOK, Order: OrderResult{Version: s.Declared.Version}}
}

// maxServers limits the stored servers; the oldest are dropped first. It is twice the
// size of the largest supported deployment: when all servers are lost, their replacements
// announce themselves before the old ones expire.
const maxServers = 8192

// register stores servers and removes their older starts. A withdrawn server is not
// registered again. All servers are looked up in one pass: applying a log entry with
// hundreds of servers must not block a replica for longer than its peers wait for it.
func (s *routingState) register(list []fleet.Server) Result {
	known := s.lookUp(list)
	for _, server := range list {
		s.registerOne(server, known)
	}
	s.Servers = slices.Delete(s.Servers, 0, max(0, len(s.Servers)-maxServers))
	return Result{Code: CodeOK}
}

// lookUp returns, for the IDs of the servers and of their previous starts, whether each
// is registered or withdrawn.
func (s *routingState) lookUp(list []fleet.Server) map[string]bool {
	known := make(map[string]bool, 2*len(list))
	for i := range list {
		known[list[i].ID] = false
		known[s.Starts.NewestID(list[i].StableName())] = false
	}
	mark := func(id string) {
		if _, requested := known[id]; requested {
			known[id] = true
		}
	}
	for i := range s.Servers {
		mark(s.Servers[i].ID)
	}
	for i := range s.Withdrawals {
		mark(s.Withdrawals[i].ServerID)
	}
	return known
}

// registerOne stores a server unless it is stale, already registered or withdrawn.
func (s *routingState) registerOne(server fleet.Server, known map[string]bool) {
	s.Software.record(&server) // also of a late announcement: the server may have served
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

// applyPhases updates the phases of registered servers that are withdrawn and removes the
// departed ones.
func (s *routingState) applyPhases(phases map[string]fleet.Phase) {
	s.Servers = slices.DeleteFunc(s.Servers, func(x fleet.Server) bool { return phases[x.ID] == fleet.Departed })
	for i := range s.Servers {
		if phase, isWithdrawn := phases[s.Servers[i].ID]; isWithdrawn {
			s.Servers[i].Phase = phase
		}
	}
}

// withdraw stores withdrawals and keeps the latest fleet.MaxLoggedWithdrawals of them. A
// later phase replaces an earlier one.
func (s *routingState) withdraw(list []fleet.Withdrawal) Result {
	phases := make(map[string]fleet.Phase, len(list))
	for _, w := range list {
		phases[w.ServerID] = max(phases[w.ServerID], w.Phase)
	}
	s.applyPhases(phases)
	positions := make(map[string]int, len(list))
	for i, w := range s.Withdrawals {
		if _, requested := phases[w.ServerID]; requested {
			positions[w.ServerID] = i
		}
	}
	for _, w := range list {
		i, known := positions[w.ServerID]
		if known && w.Phase <= s.Withdrawals[i].Phase {
			continue
		}
		s.Revision++
		if known {
			s.Withdrawals[i].Phase = w.Phase
			continue
		}
		positions[w.ServerID] = len(s.Withdrawals)
		s.Withdrawals = append(s.Withdrawals, w)
	}
	s.Withdrawals = slices.Delete(s.Withdrawals, 0, max(0, len(s.Withdrawals)-fleet.MaxLoggedWithdrawals))
	return Result{Code: CodeOK}
}

// Routing is a copy of the routing state. Slices are shared and read-only.
type Routing struct {
	Declared    DeclareCommand
	Withdrawals []fleet.Withdrawal
	Servers     []fleet.Server
	Starts      []fleet.Start
	Revision    uint64
}

// Routing returns a copy of the committed routing state.
func (m *Machine) Routing() Routing {
	s := &m.routing
	return Routing{Declared: s.Declared, Withdrawals: slices.Clone(s.Withdrawals),
		Servers: slices.Clone(s.Servers), Starts: s.Starts.List(), Revision: s.Revision}
}

// RoutingRevision returns the current revision of the routing state.
func (m *Machine) RoutingRevision() uint64 { return m.routing.Revision }
