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
func rankByHome(home string, list []*server, onSide func(id string) bool) []int {
	ranks := make([]int, len(list))
	var order []int
	scores := make([]uint64, len(list))
	for i, s := range list {
		if !onSide(s.ID) {
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
