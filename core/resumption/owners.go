package resumption

import (
	"cmp"
	"slices"

	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/rendezvous"
)

const (
	// Copies is the number of instances that a record is sent to.
	Copies = 3
	// Queried is the number of instances that are queried for a record. It exceeds Copies because
	// the reader may know other instances than the writer, as when some of them have just
	// ended or started.
	Queried = 2 * Copies
	// maxCandidates bounds the instances that keep records. Each instance sends to all of them,
	// often enough that its connections to them stay open; with a few hundred it would dial
	// anew for nearly each record.
	maxCandidates = 64
	// candidatesKey is the rendezvous key of the candidates.
	candidatesKey = "stream records"
)

// Candidates returns the instances that keep records: those that are not shutting down, at most
// maxCandidates of them, the same for all that know the same instances.
func Candidates(instances []membership.Instance) []membership.Instance {
	list := make([]candidate, 0, len(instances))
	for i := range instances {
		if x := &instances[i]; !x.Draining {
			list = append(list, candidate{x, rendezvous.Score(candidatesKey, x.Name)})
		}
	}
	if len(list) > maxCandidates {
		slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		list = list[:maxCandidates]
	}
	out := make([]membership.Instance, len(list))
	for i := range list {
		out[i] = *list[i].Instance
	}
	return out
}

// Owners returns the candidates that keep a stream's records, n at most, in an order that all
// agree on who know the same candidates. One that comes or goes moves few records. They are in
// different zones as far as possible. The one with the address self is left out.
func Owners(k Key, candidates []membership.Instance, self string, n int) []membership.Instance {
	key := string(k[:])
	list := make([]candidate, 0, len(candidates))
	for i := range candidates {
		if x := &candidates[i]; x.PeerAddress != self {
			list = append(list, candidate{x, rendezvous.Score(key, x.Name)})
		}
	}
	out := make([]membership.Instance, 0, n)
	for len(out) < n && len(list) > 0 {
		best := 0
		for i := range list {
			if list[i].before(&list[best], out) {
				best = i
			}
		}
		out = append(out, *list[best].Instance)
		list[best] = list[len(list)-1]
		list = list[:len(list)-1]
	}
	return out
}

// candidate is an instance with its rendezvous score.
type candidate struct {
	*membership.Instance
	score uint64
}

// before reports whether c ranks before x, given the owners chosen so far: candidates in zones
// without an owner rank first.
func (c *candidate) before(x *candidate, chosen []membership.Instance) bool {
	if c.Zone != x.Zone && len(chosen) > 0 {
		if taken, other := hasZone(chosen, c.Zone), hasZone(chosen, x.Zone); taken != other {
			return other
		}
	}
	return c.score > x.score
}

func hasZone(list []membership.Instance, zone string) bool {
	for i := range list {
		if list[i].Zone == zone {
			return true
		}
	}
	return false
}
