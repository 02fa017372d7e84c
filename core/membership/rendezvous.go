package membership

import (
	"sort"

	"cardamomwick.example/core/rendezvous"
)

// TopTwo returns the first instances of the ranking for a key, at most two. It is for keys
// that are used once: it neither sorts nor keeps anything.
func TopTwo(key string, instances []Instance) []Instance {
	best, second := -1, -1
	var bestScore, secondScore uint64
	for i := range instances {
		s := rendezvous.Score(key, instances[i].Name)
		switch {
		case best < 0 || s > bestScore:
			second, secondScore = best, bestScore
			best, bestScore = i, s
		case second < 0 || s > secondScore:
			second, secondScore = i, s
		}
	}
	var out []Instance
	for _, i := range []int{best, second} {
		if i >= 0 {
			out = append(out, instances[i])
		}
	}
	return out
}

// Rank orders instances for a key by rendezvous hashing (highest random weight): all that
// know the same instances agree on the first one, and the loss of an instance moves only
// the keys it held.
func Rank(key string, instances []Instance) []Instance {
	type scored struct {
		score    uint64
		instance Instance
	}
	list := make([]scored, 0, len(instances))
	for _, i := range instances {
		list = append(list, scored{rendezvous.Score(key, i.Name), i})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].score > list[b].score })
	out := make([]Instance, len(list))
	for k, s := range list {
		out[k] = s.instance
	}
	return out
}
