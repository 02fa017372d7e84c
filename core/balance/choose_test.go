package balance

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// loadedBalancer returns a balancer for a pool of engines on which calls of both kinds run.
func loadedBalancer(engines int, rnd *rand.Rand) *Balancer {
	b := New("a", 1)
	list := bigFleet(engines)
	b.SetFleet(list)
	b.SetEngines("p", 362_091, 0)
	for range 2 * engines {
		c := chat
		if rnd.Intn(3) == 0 {
			c = longCall(fmt.Sprint(rnd.Intn(50)))
		}
		b.Start(t0, list[rnd.Intn(engines)].ID, c)
	}
	for _, s := range b.pool("p").servers {
		s.slowness = 1 + rnd.Float64()
	}
	return b
}

// A call must be placed as if all servers had been compared, whatever their load and the call.
func TestSkippedServersWouldNotBeChosen(t *testing.T) {
	for seed := range int64(30) {
		rnd := rand.New(rand.NewSource(seed))
		b := loadedBalancer(1+rnd.Intn(200), rnd)
		p := b.pool("p")
		for range 20 {
			c := slices.Concat([]Call{chat, scene, plain}, []Call{longCall(fmt.Sprint(rnd.Intn(50)))})[rnd.Intn(4)]
			c.AffinityKey = []string{c.AffinityKey, fmt.Sprint(rnd.Intn(50)), ""}[rnd.Intn(3)]
			r := p.request(t0, c)
			list := rankByHome(c.AffinityKey, p.servers, func(s *server) bool { return s.long == (c.Tokens >= LongPromptTokens) })
			var want ranked
			least := math.Inf(1)
			for _, s := range list {
				loss := p.loss(t0, s.server, r, s.rank)
				if s.rank != 0 || c.AffinityKey == "" {
					loss += jitterLoss * fixedRandom()
				}
				if loss < least {
					want, least = s, loss
				}
			}
			if got, loss := p.leastLoss(t0, r, list, fixedRandom); got != want || loss != least {
				t.Fatalf("seed %d: chose %s with loss %v, want %s with %v", seed, got.ID, loss, want.ID, least)
			}
		}
	}
}

// BenchmarkChooseAmong3000Servers measures the placement of a call in a large pool.
func BenchmarkChooseAmong3000Servers(b *testing.B) {
	rnd := rand.New(rand.NewSource(1))
	x := loadedBalancer(3000, rnd)
	x.Forecast(t0, "p", scene, time.Second, time.Second)
	for n := 0; b.Loop(); n++ {
		c := scene
		if n%2 == 0 {
			c = chat
		}
		c.AffinityKey = fmt.Sprint(n % 500)
		x.Choose(t0, "p", c, nil, rnd.Float64)
	}
}
