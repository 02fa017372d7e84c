package balance

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

func score(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

// rankByHome returns each server's place in the rendezvous ranking of a shared
// part; all zero without one.
func rankByHome(home string, list []*server) []int {
	ranks := make([]int, len(list))
	if home == "" {
		return ranks
	}
	order := make([]int, len(list))
	scores := make([]uint64, len(list))
	for i, s := range list {
		order[i] = i
		scores[i] = score(home, s.ID)
	}
	sort.Slice(order, func(a, b int) bool { return scores[order[a]] > scores[order[b]] })
	for place, i := range order {
		ranks[i] = place
	}
	return ranks
}
