package balance

import (
	"sort"

	"cardamomwick.example/core/rendezvous"
)

// otherSide is the rank of a server on the other side of the boundary.
const otherSide = -1

// rankByHome returns each server's position in the rendezvous ranking for an affinity
// key, among the servers on the call's side. Without a key all positions are zero.
// Servers on the other side have rank otherSide.
func rankByHome(affinityKey string, list []*server, onSide func(*server) bool) []int {
	ranks := make([]int, len(list))
	var order []int
	scores := make([]uint64, len(list))
	for i, s := range list {
		if !onSide(s) {
			ranks[i] = otherSide
			continue
		}
		order = append(order, i)
		scores[i] = rendezvous.Score(affinityKey, s.ID)
	}
	if affinityKey == "" {
		return ranks
	}
	sort.Slice(order, func(a, b int) bool { return scores[order[a]] > scores[order[b]] })
	for place, i := range order {
		ranks[i] = place
	}
	return ranks
}

// rendezvousFirst returns the home server of a shared prefix, the first in its ranking.
func rendezvousFirst(prefix string, list []*server) *server {
	best := list[0]
	for _, s := range list[1:] {
		if rendezvous.Score(prefix, s.ID) > rendezvous.Score(prefix, best.ID) {
			best = s
		}
	}
	return best
}
