package balance

import (
	"cmp"
	"slices"

	"cardamomwick.example/core/rendezvous"
)

// otherSide is the rank of a server on the other side of the boundary.
const otherSide = -1

// ranked is a candidate for a call with its rank.
type ranked struct {
	*server
	rank int
}

// rankByHome returns the servers with their positions in the rendezvous ranking for an affinity
// key, among the servers on the call's side, in that order. Without a key all positions are zero.
// Servers on the other side follow, with rank otherSide.
func rankByHome(affinityKey string, list []*server, onSide func(*server) bool) []ranked {
	type scored struct {
		score uint64
		*server
	}
	home := make([]scored, 0, len(list))
	var away []*server
	for _, s := range list {
		switch {
		case !onSide(s):
			away = append(away, s)
		case affinityKey == "":
			home = append(home, scored{0, s})
		default:
			home = append(home, scored{rendezvous.Score(affinityKey, s.ID), s})
		}
	}
	if affinityKey != "" {
		slices.SortFunc(home, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	}
	out := make([]ranked, 0, len(list))
	for place, s := range home {
		if affinityKey == "" {
			place = 0
		}
		out = append(out, ranked{s.server, place})
	}
	for _, s := range away {
		out = append(out, ranked{s, otherSide})
	}
	return out
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
