package fleet

import (
	"slices"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// keptStarts bounds the servers whose newest start is remembered: as many as a registry
// holds, so that none of its servers is taken for a new one.
const keptStarts = maxServers

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
// later, or through an instance that was cut off, and must not bring it back. The
// zero value knows none. Not safe for concurrent use.
type Starts struct {
	newest map[string]int64
	// order has the names as their newest starts were noted.
	order []string
}

// Stale reports whether a newer start of the server is known.
func (s *Starts) Stale(start Start) bool { return start.Born < s.newest[start.Name] }

// Note takes a start and reports whether it follows another one or is the first.
// Starts without a time are not kept: each has its own name.
func (s *Starts) Note(start Start) bool {
	if start.Born <= s.newest[start.Name] {
		return false
	}
	if s.newest == nil {
		s.newest = map[string]int64{}
	}
	if _, known := s.newest[start.Name]; known {
		s.order = slices.DeleteFunc(s.order, func(name string) bool { return name == start.Name })
	}
	s.newest[start.Name] = start.Born
	s.order = append(s.order, start.Name)
	if len(s.order) > keptStarts {
		delete(s.newest, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// Newest returns the ID of the newest start known of a server.
func (s *Starts) Newest(name string) string { return StartID(Start{name, s.newest[name]}) }

// List returns all starts, in the order in which they were noted.
func (s *Starts) List() []Start {
	out := make([]Start, 0, len(s.order))
	for _, name := range s.order {
		out = append(out, Start{name, s.newest[name]})
	}
	return out
}

// EncodeMsgpack writes the list of starts.
func (s *Starts) EncodeMsgpack(e *msgpack.Encoder) error { return e.Encode(s.List()) }

// DecodeMsgpack reads what EncodeMsgpack writes.
func (s *Starts) DecodeMsgpack(d *msgpack.Decoder) error {
	var list []Start
	if err := d.Decode(&list); err != nil {
		return err
	}
	*s = Starts{}
	for _, x := range list {
		s.Note(x)
	}
	return nil
}
