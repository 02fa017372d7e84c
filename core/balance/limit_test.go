package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"cardamomwick.example/core/ratelimit"
)

func perSecond(x float64) ratelimit.Limit {
	l, _ := ratelimit.NewLimit(x)
	return l
}

// What one entry reads in an answer must reach those whose calls the server never sees.
func TestLimitsReachAllInstances(t *testing.T) {
	g := newGroup()
	id := g.servers[4].ID
	limitOf := func(b *Balancer) ratelimit.Limit { return b.servers[id].limit.Limit }
	all := append([]*Balancer{g.collector, g.other}, g.members...)
	now := t0
	for _, l := range []ratelimit.Limit{perSecond(2.9), perSecond(7), {}, perSecond(2.9)} {
		now = now.Add(time.Second)
		g.members[1].HeardLimit(now, id, l)
		for range 3 {
			now = now.Add(100 * time.Millisecond)
			g.exchange(now)
		}
		for _, b := range all {
			if limitOf(b) != l {
				t.Errorf("%s has %+v, want %+v", b.name, limitOf(b), l)
			}
		}
	}
	if got := g.other.LimitChanges(); len(got) != 4 || got[0].From != g.collector.name || got[0].Server != id {
		t.Errorf("changes %+v", got)
	}
}

// plain is a call without a prompt.
var plain = Call{Target: 100 * time.Millisecond}

// choices sends so many calls a second for some time and counts the ones each server gets
// and those that get none. Each call is over at once.
func choices(b *Balancer, perSecond int, length time.Duration) map[string]int {
	rnd := rand.New(rand.NewPCG(1, 1))
	out := map[string]int{}
	for i := range int(length.Seconds() * float64(perSecond)) {
		now := t0.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		b.Arrive(now, "p", plain)
		s, ok := b.Choose(now, "p", plain, nil, rnd.Float64)
		out[s.ID]++
		if ok {
			b.End(b.Start(now, s.ID, plain))
		}
	}
	return out
}

// The calls that a limited server does not take go to the others.
func TestOtherServersTakeWhatALimitedOneDoesNot(t *testing.T) {
	b, list := pool12()
	id := list[0].ID
	b.HeardLimit(t0, id, perSecond(2))
	got := choices(b, 50, 10*time.Second)
	if got[id] < 10 || got[id] > 23 || got[""] > 0 {
		t.Errorf("%d calls for a server that takes 20, %d for none", got[id], got[""])
	}
}

// Where all servers are limited, an instance says when it will be allowed to send again.
func TestWaitWhereAllServersAreLimited(t *testing.T) {
	b, list := pool12()
	for _, s := range list {
		b.HeardLimit(t0, s.ID, perSecond(0.5))
	}
	got := choices(b, 50, 10*time.Second)
	sent := 50*10 - got[""]
	if sent < 40 || sent > 72 {
		t.Errorf("%d calls for servers that take 60", sent)
	}
	now := t0.Add(10 * time.Second)
	first, limited := b.TokenIn(now, "p", nil, 0)
	tenth, _ := b.TokenIn(now, "p", nil, 9)
	if !limited || first > time.Second || tenth < first || tenth > 2*time.Second {
		t.Errorf("the first call waits for %v, the tenth for %v", first, tenth)
	}
	rnd := rand.New(rand.NewPCG(2, 2))
	served := 0
	for after := time.Duration(0); after <= tenth; after += 10 * time.Millisecond {
		if s, ok := b.Choose(now.Add(after), "p", plain, nil, rnd.Float64); ok {
			b.Start(now.Add(after), s.ID, plain)
			served++
		}
	}
	if served < 9 || served > 12 {
		t.Errorf("%d calls are served within the time that the tenth was told", served)
	}
	if _, limited := b.TokenIn(now, "p", func(string) bool { return true }, 0); limited {
		t.Error("an excluded server is waited for")
	}
}

// A limit ends with the server's word, and with the server: what comes after it under
// another name takes what it is given.
func TestLimitEnds(t *testing.T) {
	b, list := pool12()
	id := list[0].ID
	b.HeardLimit(t0, id, perSecond(0))
	b.HeardLimit(t0.Add(time.Second), id, ratelimit.Limit{})
	if got := choices(b, 50, 5*time.Second); got[id] == 0 {
		t.Error("a server whose limit has ended gets nothing")
	}
	b.HeardLimit(t0.Add(time.Minute), id, perSecond(1))
	again := append(list[:0:0], list...)
	again[0].ID += "-again"
	b.SetFleet(again)
	if b.servers[again[0].ID].limit.Limited {
		t.Error("a new start has the limit of its former one")
	}
}

// Servers that never name a limit must cost no bytes.
func TestNothingIsToldOfServersWithoutLimits(t *testing.T) {
	b, list := pool12()
	for _, s := range list {
		b.HeardLimit(t0, s.ID, ratelimit.Limit{})
	}
	if m := b.SumTo(t0, "peer"); len(m.Limits) > 0 {
		t.Errorf("%d bytes of limits", len(m.Limits))
	}
}

// A word that comes back must not be told again and again.
func TestLimitsAreNotToldBack(t *testing.T) {
	a, list := pool12()
	b, _ := pool12()
	a.name, b.name = "a", "b"
	a.HeardLimit(t0, list[0].ID, perSecond(3))
	told := 0
	for i := range 20 {
		now := t0.Add(time.Duration(i+1) * 100 * time.Millisecond)
		for _, pair := range [][2]*Balancer{{a, b}, {b, a}} {
			m := pair[0].SumTo(now, pair[1].name)
			told += len(m.Limits)
			pair[1].Take(now, pass(m))
		}
	}
	if oneLimit := len(appendedLimit(t, a)); told > oneLimit {
		t.Errorf("%d bytes of limits in 40 messages, one takes %d", told, oneLimit)
	}
}

func appendedLimit(t *testing.T, b *Balancer) []byte {
	t.Helper()
	m := b.SumTo(t0.Add(3*time.Second), "newcomer")
	if len(m.Limits) == 0 {
		t.Fatal("a newcomer is told no limit")
	}
	return m.Limits
}

// Servers that take less than their part of the calls count as less than whole ones when
// servers are ordered; those whose limit does not bind count as whole.
func TestLimitedServersCountInPart(t *testing.T) {
	b, list := pool12()
	now := t0
	for range 120 { // 12 calls a second for ten seconds: one for each server
		now = now.Add(time.Second / 12)
		b.Arrive(now, "p", plain)
	}
	if d := b.Demand(now, "p"); d.RateLimited != 0 {
		t.Errorf("%g servers withheld without limits", d.RateLimited)
	}
	b.HeardLimit(now, list[0].ID, perSecond(0.5))
	b.HeardLimit(now, list[1].ID, perSecond(0))
	b.HeardLimit(now, list[2].ID, perSecond(50))
	if d := b.Demand(now, "p"); d.RateLimited < 1.4 || d.RateLimited > 1.6 || d.Servers() < d.RateLimited {
		t.Errorf("%g servers withheld, want 1.5", d.RateLimited)
	}
}

// A limit that has ended must be found out at the rate that it had, though placement has
// better servers for each call: the others may be gone the next moment.
func TestEndOfALimitIsHeardThoughOthersAreBetter(t *testing.T) {
	b, list := pool12()
	id := list[0].ID
	b.HeardLimit(t0, id, perSecond(0.5))
	for range 40 {
		b.Start(t0, id, plain) // what it runs keeps calls away from it
	}
	rnd := rand.New(rand.NewPCG(3, 3))
	for i := range 6 * 50 {
		now := t0.Add(time.Duration(i) * time.Second / 50)
		b.Arrive(now, "p", plain)
		if s, ok := b.Choose(now, "p", plain, nil, rnd.Float64); !ok {
			t.Fatal("no server is chosen")
		} else if s.ID == id {
			return
		}
	}
	t.Error("the server was not asked in 6 s, at a call each 2 s")
}
