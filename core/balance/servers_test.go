package balance

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
)

// BenchmarkOneServerChanges is what an instance pays when one server of a large fleet is
// replaced, with what 16 others have told of all. A fleet of hundreds of machines has
// dozens of such changes a second.
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
					tell(t0, z.members[i], z.collector)
				}
			}
			for n := range b.N {
				z.list[n%engines].ID = fmt.Sprintf("j-%010d", n)
				z.collector.SetFleet(z.list)
			}
		})
	}
}

// Servers come and go in any order while other instances tell of them, also of those that
// are not known here yet or any more. What is added up must stay what a fresh count gives:
// servers that seemed busy or idle for ever would get no calls, or all.
func TestCountsSurviveChangesOfTheFleet(t *testing.T) {
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
			tell(now, there, here)
			tell(now, here, there)
			checkCounted(t, here)
		}
	}
}

// checkCounted compares what is added up with a fresh count.
func checkCounted(t *testing.T, b *Balancer) {
	t.Helper()
	others := map[string]counts.Row{}
	for id, s := range b.servers {
		others[id] = s.others
	}
	b.recount()
	for id, s := range b.servers {
		if others[id].Load != s.others.Load {
			t.Fatalf("%s: %+v, counted anew %+v", id, others[id].Load, s.others.Load)
		}
	}
}

// A server that stays must not seem changed whenever another one comes or goes: each
// instance would look through all its counts for each message to each other one.
func TestServersThatStayAreNotToldAgain(t *testing.T) {
	b := New("a", 1)
	list := bigFleet(10)
	b.SetFleet(list)
	before := b.servers[list[3].ID].version
	b.SetFleet(append(bigFleet(9), fleet.Server{ID: "other", Pool: "p"}))
	if got := b.servers[list[3].ID].version; got != before {
		t.Errorf("version %d, %d before", got, before)
	}
}
