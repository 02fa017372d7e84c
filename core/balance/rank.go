package balance

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

func score(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

// offSide is the rank of a server on the other side of the boundary.
const offSide = -1

// rankByHome returns each server's place in the rendezvous ranking of a shared
// part among the servers on the call's side; all zero without a part. Servers
// on the other side have the rank offSide.
func rankByHome(home string, list []*server, onSide func(*server) bool) []int {
	ranks := make([]int, len(list))
	var order []int
	scores := make([]uint64, len(list))
	for i, s := range list {
		if !onSide(s) {
			ranks[i] = offSide
			continue
		}
		order = append(order, i)
		scores[i] = score(home, s.ID)
	}
	if home == "" {
		return ranks
	}
	sort.Slice(order, func(a, b int) bool { return scores[order[a]] > scores[order[b]] })
	for place, i := range order {
		ranks[i] = place
	}
	return ranks
}

// home returns the first server in the ranking of a shared part.
func home(part string, list []*server) *server {
	best := list[0]
	for _, s := range list[1:] {
		if score(part, s.ID) > score(part, best.ID) {
			best = s
		}
	}
	return best
}
