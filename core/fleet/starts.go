package fleet

import "strconv"

// keptStarts bounds the servers whose newest start is remembered: the restarts of
// an hour at the largest deployment aimed at.
const keptStarts = 4096

// Start is one start of a server that keeps its name.
type Start struct {
	Name string `msgpack:"n"`
	// Born is in Unix milliseconds by the server's clock, zero for unknown.
	Born int64 `msgpack:"b"`
}

// Start returns which start the server is.
func (s *Server) Start() Start { return Start{s.OwnName(), s.Born} }

// StartID returns the ID of a start: the server's own name where it does not say
// when it started. Everything that is kept by ID then ends with the start: counts,
// health, connections.
func StartID(start Start) string {
	if start.Born == 0 {
		return start.Name
	}
	return start.Name + "@" + strconv.FormatInt(start.Born, 10)
}

// Starts knows the newest start of each server. It answers servers that crash and
// start again under their name: what the former start has said may arrive seconds
// later, or through an instance that was cut off, and must not bring it back. Not
// safe for concurrent use.
type Starts struct {
	newest map[string]int64
	order  []string
}

// NewStarts returns an empty record.
func NewStarts() *Starts { return &Starts{newest: map[string]int64{}} }

// Stale reports whether a newer start of the server is known.
func (s *Starts) Stale(start Start) bool { return start.Born < s.newest[start.Name] }

// Note takes a start and reports whether it follows another one or is the first.
// Starts without a time are not kept: each has its own name.
func (s *Starts) Note(start Start) bool {
	if start.Born <= s.newest[start.Name] {
		return false
	}
	if _, known := s.newest[start.Name]; !known {
		s.order = append(s.order, start.Name)
	}
	s.newest[start.Name] = start.Born
	if len(s.order) > keptStarts {
		delete(s.newest, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// Newest returns the ID of the newest start known of a server.
func (s *Starts) Newest(name string) string { return StartID(Start{name, s.newest[name]}) }

// List returns all starts, the first ones noted first.
func (s *Starts) List() []Start {
	out := make([]Start, 0, len(s.order))
	for _, name := range s.order {
		out = append(out, Start{name, s.newest[name]})
	}
	return out
}
