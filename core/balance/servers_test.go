package balance

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
)

// BenchmarkOneServerChanges measures the cost of replacing one server of a large fleet
// when 16 other instances have reported counts for all servers. A fleet of hundreds of
// machines has dozens of such changes per second.
func BenchmarkOneServerChanges(b *testing.B) {
	for _, engines := range []int{117, 3000} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			z := newZone(16, engines)
			for i := range z.members {
				for n, s := range z.list {
					if n%4 == 0 {
						z.members[i].Start(t0, s.ID, chat)
					}
				}
				for range 1 + engines/4/256 {
					sendCollectorReport(t0, z.members[i], z.collector)
				}
			}
			// Each list has one server less and one more than the list before, in order of IDs.
			lists := make([][]fleet.Server, 16)
			for n := range lists {
				z.list[engines*n/len(lists)].ID = fmt.Sprintf("j-%010d", n)
				lists[n] = slices.SortedFunc(slices.Values(z.list), fleet.CompareIDs)
			}
			b.ResetTimer()
			for n := range b.N {
				z.collector.SetFleet(lists[n%len(lists)])
			}
		})
	}
}

// Servers are added and removed in any order while other instances report counts for
// them, including for servers not known here. The incremental sums must equal a fresh
// computation: a server that seemed permanently busy or idle would get no calls, or
// all.
func TestSumsSurviveFleetChanges(t *testing.T) {
	for seed := range int64(20) {
		rnd := rand.New(rand.NewSource(seed))
		all := bigFleet(30)
		here, there := New("a", 1), New("b", 1)
		there.SetFleet(all)
		there.SetLevel(1)
		now := t0
		open := []Ticket{}
		for range 300 {
			now = now.Add(10 * time.Millisecond)
			if len(open) > 20 {
				there.End(open[0])
				open = open[1:]
			}
			open = append(open, there.Start(now, all[rnd.Intn(len(all))].ID, chat))
			var list []fleet.Server
			for _, s := range all {
				if rnd.Intn(4) > 0 {
					list = append(list, s)
				}
			}
			rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			here.SetFleet(list)
			sendCollectorReport(now, there, here)
			sendCollectorReport(now, here, there)
			checkSums(t, here)
		}
	}
}

// checkSums compares the incremental sums with a fresh computation.
func checkSums(t *testing.T, b *Balancer) {
	t.Helper()
	others := map[string]counts.Row{}
	for id, s := range b.servers {
		others[id] = s.peerRow
	}
	b.recomputeSums()
	for id, s := range b.servers {
		if others[id].Load != s.peerRow.Load {
			t.Fatalf("%s: incremental sum %+v, recomputed %+v", id, others[id].Load, s.peerRow.Load)
		}
	}
}

// A server must not appear changed when another one is added or removed. Otherwise
// each instance would scan all its counts for each message to each peer.
func TestUnchangedServersKeepVersion(t *testing.T) {
	b := New("a", 1)
	list := bigFleet(10)
	b.SetFleet(list)
	before := b.servers[list[3].ID].version
	b.SetFleet(append(bigFleet(9), fleet.Server{ID: "other", Pool: "p"}))
	if got := b.servers[list[3].ID].version; got != before {
		t.Errorf("version is %d, was %d", got, before)
	}
}
