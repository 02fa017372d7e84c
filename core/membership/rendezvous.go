package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders instances by rendezvous hashing (highest random weight) for a
// key: all who know the same instances agree on the first, and the loss of an
// instance moves only what it held.
func Rank(key string, instances []Instance) []Instance {
	type scored struct {
		score    uint64
		instance Instance
	}
	list := make([]scored, 0, len(instances))
	for _, i := range instances {
		list = append(list, scored{xxhash.Sum64String(key + "\x00" + i.Name), i})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].score > list[b].score })
	out := make([]Instance, len(list))
	for k, s := range list {
		out[k] = s.instance
	}
	return out
}
