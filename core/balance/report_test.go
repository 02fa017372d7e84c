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

// group is two collectors and the members of the first one.
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

// exchange sends the counts of all instances to all others.
func (g *group) exchange(now time.Time) {
	for _, m := range g.members {
		sendMemberReport(now, m, g.collector)
	}
	sendCollectorReport(now, g.collector, g.other)
	sendCollectorReport(now, g.other, g.collector)
	for _, m := range g.members {
		sendMemberReport(now, m, g.collector)
		sendMemberReply(now, g.collector, m)
	}
}

// roundTrip encodes and decodes a message.
func roundTrip(m counts.Message) *counts.Message {
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

func sendCollectorReport(now time.Time, from, to *Balancer) {
	to.Receive(now, roundTrip(from.CollectorReport(now, to.name)))
}
func sendMemberReport(now time.Time, from, to *Balancer) {
	to.Receive(now, roundTrip(from.MemberReport(now, to.name)))
}
func sendMemberReply(now time.Time, from, to *Balancer) {
	to.Receive(now, roundTrip(from.MemberReply(now, to.name)))
}

func (g *group) all() []*Balancer { return append([]*Balancer{g.collector, g.other}, g.members...) }

// Every instance must receive the calls of all others through the collectors, each
// call counted once.
func TestEachCallIsCountedOnce(t *testing.T) {
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

func TestMembersAdoptFirstCollectorsBoundary(t *testing.T) {
	g := newGroup()
	for range 300 {
		g.members[1].RecordArrival(t0, "p", chat)
		g.members[2].RecordArrival(t0, "p", scene)
	}
	g.exchange(t0)
	now := t0.Add(startupGrace)
	g.exchange(now)
	now = now.Add(100 * time.Millisecond)
	g.exchange(now)
	want := fmt.Sprint(g.other.longSide(now, "p"))
	for _, b := range g.all() {
		if got := fmt.Sprint(b.longSide(now, "p")); got != want {
			t.Errorf("instance %s has %s on the long side, the first collector has %s", b.name, got, want)
		}
	}
}

// A member that has lost its collector must decide by itself again and drop counts
// that are no longer confirmed.
func TestSilentCollectorIsDropped(t *testing.T) {
	g := newGroup()
	g.collector.Start(t0, g.servers[4].ID, chat)
	g.exchange(t0)
	m := g.members[0]
	later := t0.Add(peerTTL)
	m.DropSilentPeers(later)
	if got := m.servers[g.servers[4].ID].load().Running; got != 0 {
		t.Errorf("%d calls are still counted", got)
	}
	if m.decider(later) != nil {
		t.Error("a silent collector still decides the boundary")
	}
}

func TestEventIntervalsOfAllInstancesAreAveraged(t *testing.T) {
	g := newGroup()
	intervals := make([]time.Duration, 20)
	for i, b := range []*Balancer{g.members[0], g.other} {
		for k := range intervals {
			intervals[k] = time.Duration(20+10*i) * time.Millisecond
		}
		b.RecordStream(t0, &Ticket{server: g.servers[4].ID}, intervals)
	}
	g.exchange(t0)
	g.exchange(t0.Add(100 * time.Millisecond))
	for _, b := range []*Balancer{g.members[1], g.collector} {
		if got := b.eventInterval(b.servers[g.servers[4].ID]); got != 25*time.Millisecond {
			t.Errorf("instance %s has event interval %v, want 25ms", b.name, got)
		}
	}
}

// Each instance sees an idle engine process a long prompt only once. Without sharing
// these observations, each of sixty instances estimated half the actual speed
// throughout a burst and assigned half of the engines to the chats, which needed a
// quarter.
func TestPrefillSpeedIsShared(t *testing.T) {
	const tokensPerSecond = 120_000
	g := newGroup()
	took := func(tokens float64) time.Duration {
		return 50*time.Millisecond + time.Duration(tokens/tokensPerSecond*float64(time.Second))
	}
	for i, b := range g.all() {
		for _, c := range []Call{{Tokens: 10, Unshared: 10}, {Tokens: 9000, Unshared: 9000}} {
			ticket := b.Start(t0, g.servers[i].ID, c)
			b.RecordFirstEvent(t0.Add(took(ticket.Ahead())), &ticket)
			b.End(ticket)
		}
	}
	g.exchange(t0)
	g.exchange(t0.Add(100 * time.Millisecond))
	for _, b := range g.all() {
		if got := b.pool("p").speed.value(); got < 0.75*tokensPerSecond {
			t.Errorf("instance %s estimates a prefill speed of %.0f tokens/s, want about %d", b.name, got, tokensPerSecond)
		}
	}
}

// When the instance that decides is killed and restarts, it must adopt the other
// instances' boundary and not return to its initial one.
func TestRestartedInstanceAdoptsBoundary(t *testing.T) {
	g := newGroup()
	g.exchange(t0)
	burst := t0.Add(2 * time.Second)
	for i := range 100 {
		g.collector.RecordArrival(burst, "p", scene)
		if i%10 == 0 {
			g.members[1].RecordArrival(burst, "p", chat)
		}
	}
	g.exchange(burst)
	g.exchange(burst.Add(100 * time.Millisecond))
	want := fmt.Sprint(g.collector.longSide(burst.Add(100*time.Millisecond), "p"))
	if before := g.collector.pool("p").sides.share; before == initialLongShare {
		t.Fatal("the burst has not moved the boundary")
	}
	later := t0.Add(10 * time.Second) // after the burst, when no move is needed
	g.exchange(later)
	if got := fmt.Sprint(g.other.longSide(later, "p")); got != want {
		t.Fatalf("the boundary moved from %s to %s without need", want, got)
	}
	restarted, _ := pool12()
	restarted.name, restarted.firstStream = g.other.name, 2
	restarted.SetLevel(1)
	g.other = restarted
	g.collector.DropSilentPeers(later.Add(peerTTL))
	g.exchange(later.Add(peerTTL))
	g.exchange(later.Add(peerTTL + 100*time.Millisecond))
	for _, b := range g.all() {
		if got := fmt.Sprint(b.longSide(later.Add(peerTTL+100*time.Millisecond), "p")); got != want {
			t.Errorf("instance %s has %s on the long side, %s before the restart", b.name, got, want)
		}
	}
}

// Two instances first exchange counts as equal collectors, then one becomes a member
// of the other. It must be sent the counts of all other instances again.
func TestFirstReplyIsComplete(t *testing.T) {
	g := newGroup()
	b, m := g.collector, g.members[0]
	g.other.Start(t0, g.servers[4].ID, chat)
	sendCollectorReport(t0, g.other, b)
	sendCollectorReport(t0, b, m)
	sendMemberReport(t0, m, b)
	sendMemberReply(t0, b, m)
	if got := m.servers[g.servers[4].ID].load().Running; got != 1 {
		t.Errorf("the member counts %d calls, want the one of another instance", got)
	}
}
