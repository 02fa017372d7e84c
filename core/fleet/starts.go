package fleet

import (
	"slices"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// maxStarts bounds the servers whose newest start is remembered: as many as a registry
// holds, so that none of its servers is taken for a new one.
const maxStarts = maxServers

// Start identifies one start of a server that keeps its name.
type Start struct {
	Name string `msgpack:"n"`
	// StartedAt is in Unix milliseconds by the server's clock, zero if unknown.
	StartedAt int64 `msgpack:"b"`
}

func (s *Server) Start() Start { return Start{s.StableName(), s.StartedAt} }

// StartID returns the ID of a start, or the server's own name if it does not announce when
// it started. Everything that is kept by ID thus ends with the start: counts, health,
// connections.
func StartID(start Start) string {
	if start.StartedAt == 0 {
		return start.Name
	}
	return start.Name + "@" + strconv.FormatInt(start.StartedAt, 10)
}

// Starts holds the newest start of each server. A server may crash and start again under
// the same name; announcements of its former start can arrive seconds later, or through an
// instance that was partitioned off, and must not bring that start back. The zero value is
// empty. Not safe for concurrent use.
type Starts struct {
	newest map[string]int64
	// order holds the names in the order in which their newest starts were recorded.
	order []string
}

// Stale reports whether a newer start of the server is known.
func (s *Starts) Stale(start Start) bool { return start.StartedAt < s.newest[start.Name] }

// Record records a start and reports whether it is newer than the one known, if any. Starts
// without a time are not recorded: each has its own name.
func (s *Starts) Record(start Start) bool {
	if start.StartedAt <= s.newest[start.Name] {
		return false
	}
	if s.newest == nil {
		s.newest = map[string]int64{}
	}
	if _, known := s.newest[start.Name]; known {
		s.order = slices.DeleteFunc(s.order, func(name string) bool { return name == start.Name })
	}
	s.newest[start.Name] = start.StartedAt
	s.order = append(s.order, start.Name)
	if len(s.order) > maxStarts {
		delete(s.newest, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// NewestID returns the ID of the newest known start of a server.
func (s *Starts) NewestID(name string) string { return StartID(Start{name, s.newest[name]}) }

// List returns all starts, in the order in which they were recorded.
func (s *Starts) List() []Start {
	out := make([]Start, 0, len(s.order))
	for _, name := range s.order {
		out = append(out, Start{name, s.newest[name]})
	}
	return out
}

// EncodeMsgpack writes the list of starts.
func (s *Starts) EncodeMsgpack(e *msgpack.Encoder) error { return e.Encode(s.List()) }

// DecodeMsgpack reads the output of EncodeMsgpack.
func (s *Starts) DecodeMsgpack(d *msgpack.Decoder) error {
	var list []Start
	if err := d.Decode(&list); err != nil {
		return err
	}
	*s = Starts{}
	for _, x := range list {
		s.Record(x)
	}
	return nil
}
