package state

import (
	"cmp"
	"slices"

	"cardamomwick.example/core/fleet"
)

// PoolSoftware says which software the servers of a pool have run since the log began.
type PoolSoftware struct {
	Pool string `msgpack:"p"`
	// Software is the version of all servers that were ever registered; without meaning if
	// Several is set.
	Software fleet.SoftwareVersion `msgpack:"v"`
	// Several is set for good once servers of different or unknown versions were registered.
	Several bool `msgpack:"s,omitempty"`
}

// softwareHistory holds the software of all pools, sorted by pool.
type softwareHistory []PoolSoftware

// maxPools bounds the pools of a history; further ones count as having several versions.
const maxPools = 1024

// of returns the software of a pool; known is false before its first server was registered.
func (h softwareHistory) of(pool string) (s PoolSoftware, known bool) {
	i, found := h.find(pool)
	switch {
	case found:
		return h[i], true
	case len(h) >= maxPools:
		return PoolSoftware{Pool: pool, Several: true}, true
	}
	return PoolSoftware{}, false
}

func (h softwareHistory) find(pool string) (int, bool) {
	return slices.BinarySearchFunc(h, pool, func(x PoolSoftware, pool string) int { return cmp.Compare(x.Pool, pool) })
}

// record adds a registered server. An entry is written with its pool's first server, and changes
// at most once.
func (h *softwareHistory) record(server *fleet.Server) {
	s, known := h.of(server.Pool)
	if known && (s.Several || s.Software.Same(server.Software)) {
		return
	}
	i, found := h.find(server.Pool)
	if found {
		(*h)[i].Several = true
		return
	}
	*h = slices.Insert(*h, i, PoolSoftware{Pool: server.Pool, Software: server.Software, Several: !server.Software.Known()})
}

// restoreSoftware completes a history from the registered servers. A snapshot of an earlier build
// has none: its servers are of unknown version.
func (s *routingState) restoreSoftware() {
	for i := range s.Servers {
		s.Software.record(&s.Servers[i])
	}
}

// PoolSoftware returns what software the servers of a pool have run; known is false before its
// first server was registered.
func (m *Machine) PoolSoftware(pool string) (s PoolSoftware, known bool) {
	return m.routing.Software.of(pool)
}
