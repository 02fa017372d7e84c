package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/wire"
)

// group is two collectors and the members of the first.
type group struct {
	collector, other *Balancer
	members          []*Balancer
	servers          []fleet.Server
}

func newGroup() *group {
	g := &group{}
	instance := func(name string) *Balancer {
		b, list := pool12()
		b.name = name
		g.servers = list
		return b
	}
	g.collector, g.other = instance("b"), instance("a")
	g.collector.SetLevel(1)
	g.other.SetLevel(1)
	for i := range 3 {
		g.members = append(g.members, instance(fmt.Sprint("m", i)))
	}
	return g
}

// exchange lets all counts go once all the way round.
func (g *group) exchange(now time.Time) {
	for _, m := range g.members {
		report(now, m, g.collector)
	}
	tell(now, g.collector, g.other)
	tell(now, g.other, g.collector)
	for _, m := range g.members {
		report(now, m, g.collector)
		answer(now, g.collector, m)
	}
}

// pass lets a message go over the wire.
func pass(m counts.Message) *counts.Message {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		panic(err)
	}
	var out counts.Message
	if err := wire.Decode(data, &out); err != nil {
		panic(err)
	}
	return &out
}

func tell(now time.Time, from, to *Balancer)   { to.Take(now, pass(from.SumTo(now, to.name))) }
func report(now time.Time, from, to *Balancer) { to.Take(now, pass(from.ReportTo(now, to.name))) }
func answer(now time.Time, from, to *Balancer) { to.Take(now, pass(from.AnswerTo(now, to.name))) }

func (g *group) all() []*Balancer { return append([]*Balancer{g.collector, g.other}, g.members...) }

// Through collectors every instance must know what all have placed, each call
// counted once.
func TestCountsComeRoundOnce(t *testing.T) {
	g := newGroup()
	for i, b := range g.all() {
		for range i + 1 {
			b.Start(t0, g.servers[4].ID, chat)
		}
	}
	g.exchange(t0)
	g.exchange(t0.Add(100 * time.Millisecond))
	for _, b := range g.all() {
		if got := b.servers[g.servers[4].ID].load().Running; got != 15 {
			t.Errorf("instance %s counts %d of 15 calls", b.name, got)
		}
	}
}

func TestMembersGoByTheFirstCollectorsBoundary(t *testing.T) {
	g := newGroup()
	for range 300 {
		g.members[1].Arrive(t0, "p", chat)
		g.members[2].Arrive(t0, "p", scene)
	}
	g.exchange(t0)
	now := t0.Add(settleTime)
	g.exchange(now)
	now = now.Add(100 * time.Millisecond)
	g.exchange(now)
	want := fmt.Sprint(g.other.longSide(now, "p"))
	for _, b := range g.all() {
		if got := fmt.Sprint(b.longSide(now, "p")); got != want {
			t.Errorf("instance %s has %s on the long side, the first collector %s", b.name, got, want)
		}
	}
}

// A member that has lost its collector decides by itself again, and forgets
// counts that nobody confirms.
func TestCountsOfASilentCollectorFade(t *testing.T) {
	g := newGroup()
	g.collector.Start(t0, g.servers[4].ID, chat)
	g.exchange(t0)
	m := g.members[0]
	later := t0.Add(peerTime)
	m.Forget(later)
	if got := m.servers[g.servers[4].ID].load().Running; got != 0 {
		t.Errorf("%d calls are still counted", got)
	}
	if m.decider(later) != nil {
		t.Error("a silent collector still decides")
	}
}

func TestPacesOfAllInstancesAreAveraged(t *testing.T) {
	g := newGroup()
	gaps := make([]time.Duration, 20)
	for i, b := range []*Balancer{g.members[0], g.other} {
		for k := range gaps {
			gaps[k] = time.Duration(20+10*i) * time.Millisecond
		}
		b.Streamed(t0, &Ticket{server: g.servers[4].ID}, gaps)
	}
	g.exchange(t0)
	g.exchange(t0.Add(100 * time.Millisecond))
	for _, b := range []*Balancer{g.members[1], g.collector} {
		if got := b.perEvent(b.servers[g.servers[4].ID]); got != 25*time.Millisecond {
			t.Errorf("instance %s takes %v for the pace, want 25ms", b.name, got)
		}
	}
}

// Sixty instances see an idle engine read a long prompt once each. By itself
// each of them took the engines for half as fast as they were all through a
// burst, and gave half of the engines to the chats, which needed a quarter.
func TestReadingSpeedIsLearnedTogether(t *testing.T) {
	const tokensPerSecond = 120_000
	g := newGroup()
	took := func(tokens float64) time.Duration {
		return 50*time.Millisecond + time.Duration(tokens/tokensPerSecond*float64(time.Second))
	}
	for i, b := range g.all() {
		for _, c := range []Call{{Tokens: 10, Unshared: 10}, {Tokens: 9000, Unshared: 9000}} {
			ticket := b.Start(t0, g.servers[i].ID, c)
			b.Began(t0.Add(took(ticket.Ahead())), &ticket)
			b.End(ticket)
		}
	}
	g.exchange(t0)
	g.exchange(t0.Add(100 * time.Millisecond))
	for _, b := range g.all() {
		if got := b.pool("p").speed.value(); got < 0.75*tokensPerSecond {
			t.Errorf("instance %s takes %.0f tokens/s for the reading speed of %d", b.name, got, tokensPerSecond)
		}
	}
}

// The instance that decides is killed and starts again. It must go on from where
// the others have the boundary, not from its usual beginning.
func TestRestartedDeciderTakesTheBoundaryOver(t *testing.T) {
	g := newGroup()
	g.exchange(t0)
	burst := t0.Add(2 * time.Second)
	for i := range 100 {
		g.collector.Arrive(burst, "p", scene)
		if i%10 == 0 {
			g.members[1].Arrive(burst, "p", chat)
		}
	}
	g.exchange(burst)
	g.exchange(burst.Add(100 * time.Millisecond))
	want := fmt.Sprint(g.collector.longSide(burst.Add(100*time.Millisecond), "p"))
	if before := g.collector.pool("p").sides.share; before == startShare {
		t.Fatal("the burst has not moved the boundary")
	}
	later := t0.Add(10 * time.Second) // the burst is over, and nothing asks for a move
	g.exchange(later)
	if got := fmt.Sprint(g.other.longSide(later, "p")); got != want {
		t.Fatalf("the boundary moved from %s to %s by itself", want, got)
	}
	again, _ := pool12()
	again.name, again.firstStream = g.other.name, 2
	again.SetLevel(1)
	g.other = again
	g.collector.Forget(later.Add(peerTime))
	g.exchange(later.Add(peerTime))
	g.exchange(later.Add(peerTime + 100*time.Millisecond))
	for _, b := range g.all() {
		if got := fmt.Sprint(b.longSide(later.Add(peerTime+100*time.Millisecond), "p")); got != want {
			t.Errorf("instance %s has %s on the long side, %s before the restart", b.name, got, want)
		}
	}
}

// Two instances see each other as equals at first, then one reports to the other: it
// must be told anew what everyone else has.
func TestAnswersBeginWithEverything(t *testing.T) {
	g := newGroup()
	b, m := g.collector, g.members[0]
	g.other.Start(t0, g.servers[4].ID, chat)
	tell(t0, g.other, b)
	tell(t0, b, m)
	report(t0, m, b)
	answer(t0, b, m)
	if got := m.servers[g.servers[4].ID].load().Running; got != 1 {
		t.Errorf("the member counts %d calls, not the one elsewhere", got)
	}
}
