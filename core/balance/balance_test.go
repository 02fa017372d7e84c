package balance

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamomwick.example/core/fleet"
)

func pool12() (*Balancer, []fleet.Server) {
	b := New("a", 1)
	var list []fleet.Server
	for i := range 12 {
		list = append(list, fleet.Server{ID: fmt.Sprintf("e%02d", i), Pool: "p", Slots: 64})
	}
	b.SetFleet(list)
	b.SetEngines("p", 500_000, 0)
	return b, list
}

var (
	chat  = Call{Tokens: 800, Unshared: 600, MaxOutput: 500, TargetLatency: 300 * time.Millisecond, TargetGap: 200 * time.Millisecond, AffinityKey: "c"}
	scene = Call{Tokens: 12000, Unshared: 6600, MaxOutput: 500, TargetLatency: 2500 * time.Millisecond, TargetGap: 800 * time.Millisecond, AffinityKey: "s"}
)

func fixedRandom() float64 { return 0.5 }

func TestSharedPrefixIsPlacedConsistently(t *testing.T) {
	b, _ := pool12()
	first, _ := b.Choose(t0, "p", scene, nil, fixedRandom)
	for range 5 {
		got, ok := b.Choose(t0, "p", scene, nil, fixedRandom)
		if !ok || got.ID != first.ID {
			t.Fatalf("the shared prefix was placed on %s after %s", got.ID, first.ID)
		}
	}
	// Other instances select the same home server without coordination.
	other, list := pool12()
	other.SetFleet([]fleet.Server{list[5], list[0], list[11], list[1], list[10], list[2], list[9], list[3], list[8], list[4], list[7], list[6]})
	if got, _ := other.Choose(t0, "p", scene, nil, fixedRandom); got.ID != first.ID {
		t.Errorf("another instance selects home server %s, want %s", got.ID, first.ID)
	}
}

func TestHomeServerIsLeftWhenBacklogged(t *testing.T) {
	b, _ := pool12()
	home, _ := b.Choose(t0, "p", scene, nil, fixedRandom)
	for range 60 {
		s, _ := b.Choose(t0, "p", scene, nil, fixedRandom)
		b.Start(t0, s.ID, scene)
		if s.ID != home.ID {
			return
		}
	}
	t.Error("sixty long prompts were placed on one engine")
}

func TestChatsAvoidServersWithLongPrompts(t *testing.T) {
	b, _ := pool12()
	long := map[string]bool{}
	for i := range 20 {
		c := scene
		c.AffinityKey = fmt.Sprint(i)
		b.RecordArrival(t0, "p", c)
		s, _ := b.Choose(t0, "p", c, nil, fixedRandom)
		b.Start(t0, s.ID, c)
		long[s.ID] = true
	}
	for i := range 100 {
		c := chat
		c.AffinityKey = fmt.Sprint(i)
		b.RecordArrival(t0, "p", c)
		s, _ := b.Choose(t0, "p", c, nil, fixedRandom)
		if long[s.ID] {
			t.Fatalf("a chat was placed on %s, which runs long prompts", s.ID)
		}
	}
}

// Events delayed in transit arrive all at the same time. One such stream made every
// other engine look a thousand times slower, and a single engine received the whole
// load.
func TestBufferedEventsDoNotSkewSlowness(t *testing.T) {
	b, list := pool12()
	regular, sudden := make([]time.Duration, 40), make([]time.Duration, 40)
	for i := range regular {
		regular[i] = 25 * time.Millisecond
		sudden[i] = 20 * time.Microsecond
	}
	for range 20 {
		for _, s := range list {
			b.RecordStream(t0, &Ticket{server: s.ID}, append([]time.Duration(nil), regular...))
		}
	}
	b.RecordStream(t0, &Ticket{server: list[3].ID}, sudden)
	b.refreshSlowness(t0.Add(time.Hour))
	for _, s := range b.servers {
		if s.slowness > 1.2 {
			t.Errorf("engine %s has slowness %.1f after a buffered stream on another engine", s.ID, s.slowness)
		}
	}
}

func TestSlowEnginesServeLongPrompts(t *testing.T) {
	b, list := pool12()
	intervals := func(d time.Duration) []time.Duration {
		out := make([]time.Duration, 20)
		for i := range out {
			out[i] = d
		}
		return out
	}
	now := t0
	for range 40 {
		now = now.Add(swapPeriod)
		for i, s := range list {
			d := 20 * time.Millisecond
			if i%3 == 2 {
				d = 26 * time.Millisecond
			}
			b.RecordStream(now, &Ticket{server: s.ID}, intervals(d))
		}
		b.RecordArrival(now, "p", scene)
		b.Choose(now, "p", scene, nil, fixedRandom)
	}
	long := b.longSide(now, "p")
	for i, s := range list {
		on := false
		for _, id := range long {
			on = on || id == s.ID
		}
		if i%3 == 2 && !on {
			t.Errorf("slow engine %s is not on the long side %v", s.ID, long)
		}
	}
}

func TestBoundaryIsStableWithSpareCapacity(t *testing.T) {
	b, _ := pool12()
	rnd := rand.New(rand.NewSource(4))
	b.RecordArrival(t0, "p", scene)
	before := fmt.Sprint(b.longSide(t0, "p"))
	for i := range 400 {
		now := t0.Add(time.Duration(i) * 20 * time.Millisecond)
		c := chat
		if rnd.Intn(5) == 0 {
			c = scene
		}
		b.RecordArrival(now, "p", c)
		if got := fmt.Sprint(b.longSide(now, "p")); got != before {
			t.Fatalf("after %d arrivals the long side changed from %s to %s", i, before, got)
		}
	}
}

func TestBoundaryComesFromOneInstance(t *testing.T) {
	a, _ := pool12()
	z, _ := pool12()
	z.name = "z"
	for range 300 {
		a.RecordArrival(t0, "p", chat)
		a.RecordArrival(t0, "p", chat)
	}
	sendCollectorReport(t0, a, z)
	if fmt.Sprint(a.longSide(t0, "p")) != fmt.Sprint(z.longSide(t0, "p")) {
		t.Errorf("a has %v, z has %v", a.longSide(t0, "p"), z.longSide(t0, "p"))
	}
}

func TestUnreachableServerIsAvoided(t *testing.T) {
	b, _ := pool12()
	home, _ := b.Choose(t0, "p", chat, nil, fixedRandom)
	b.RecordFailure(t0, home.ID, true)
	if got, _ := b.Choose(t0, "p", chat, nil, fixedRandom); got.ID == home.ID {
		t.Error("a server that could not be reached was chosen again immediately")
	}
	if got, _ := b.Choose(t0.Add(avoidMax), "p", chat, nil, fixedRandom); got.ID != home.ID {
		t.Error("the server was not tried again later")
	}
}

func TestDrainingServersGetNoCalls(t *testing.T) {
	b, list := pool12()
	for i := range list {
		if i != 4 {
			list[i].Phase = fleet.Draining
		}
	}
	b.SetFleet(list)
	for range 20 {
		if got, ok := b.Choose(t0, "p", chat, nil, fixedRandom); !ok || got.ID != list[4].ID {
			t.Fatalf("chose %v", got)
		}
	}
	list[4].Phase = fleet.Draining
	b.SetFleet(list)
	if _, ok := b.Choose(t0, "p", chat, nil, fixedRandom); ok {
		t.Error("a draining server was chosen")
	}
}

// Guards against load left over after any sequence of starts, first events and ends.
func TestLoadReturnsToZero(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("back to zero", prop.ForAll(func(steps []uint8) bool {
		b, list := pool12()
		var open []Ticket
		for i, step := range steps {
			c := chat
			if step%3 == 0 {
				c = scene
			}
			open = append(open, b.Start(t0, list[int(step)%len(list)].ID, c))
			if step%2 == 0 {
				b.RecordFirstEvent(t0, &open[i/2])
			}
		}
		for _, ticket := range open {
			b.End(ticket)
		}
		for _, s := range b.servers {
			if s.own != (Load{}) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.UInt8())))
	p.TestingRun(t)
}

// A server that loses some answers to connection resets must keep its other calls.
// When such servers were treated as unreachable, seven of twelve engines left their
// load to the rest.
func TestServerWithRecentSuccessIsNotAvoided(t *testing.T) {
	b, _ := pool12()
	home, _ := b.Choose(t0, "p", scene, nil, fixedRandom)
	b.RecordSuccess(t0, home.ID)
	b.RecordFailure(t0.Add(recentSuccessWindow/2), home.ID, true)
	if got, _ := b.Choose(t0.Add(recentSuccessWindow/2), "p", scene, nil, fixedRandom); got.ID != home.ID {
		t.Error("a server with a recent success is avoided after one reset")
	}
}

// Sixty instances with counts that are 250 ms old send plain calls to six servers of
// six slots. If each chose the server with the fewest known calls, all would choose
// the same one.
func TestStaleCountsDoNotHerdPlainCalls(t *testing.T) {
	const (
		instances = 60
		servers   = 6
		work      = 60 * time.Millisecond
		staleness = 250 * time.Millisecond
	)
	var list []fleet.Server
	for i := range servers {
		list = append(list, fleet.Server{ID: fmt.Sprintf("s%d", i), Pool: "p", Slots: 6})
	}
	all := make([]*Balancer, instances)
	for i := range all {
		all[i] = New(fmt.Sprintf("i%02d", i), 1)
		all[i].SetFleet(list)
	}
	rnd := rand.New(rand.NewSource(5))
	type running struct {
		ticket Ticket
		by     *Balancer
		until  time.Time
	}
	var open []running
	count := map[string]int{}
	full, calls := 0, 0
	exchanged := t0
	for now := t0; now.Before(t0.Add(10 * time.Second)); now = now.Add(4 * time.Millisecond) {
		kept := open[:0]
		for _, r := range open {
			if now.Before(r.until) {
				kept = append(kept, r)
				continue
			}
			r.by.End(r.ticket)
			count[r.ticket.server]--
		}
		open = kept
		if now.Sub(exchanged) >= staleness {
			exchanged = now
			for _, b := range all {
				for _, other := range all {
					if other != b {
						sendCollectorReport(now, b, other)
					}
				}
			}
		}
		b := all[rnd.Intn(instances)]
		s, _ := b.Choose(now, "p", Call{TargetLatency: 300 * time.Millisecond}, nil, rnd.Float64)
		open = append(open, running{b.Start(now, s.ID, Call{}), b, now.Add(work)})
		calls++
		if count[s.ID]++; count[s.ID] > 6 {
			full++
		}
	}
	t.Logf("%d of %d calls found the slots of their server full", full, calls)
	if 10*full > calls {
		t.Errorf("%d of %d calls found the slots of their server full", full, calls)
	}
}

// Without free capacity, only prompts of the lowest tier are refused.
func TestHigherTiersBypassAdmission(t *testing.T) {
	b, list := pool12()
	b.SetEngines("p", 500_000, 2)
	for _, s := range list {
		for range 80 {
			b.Start(t0, s.ID, scene)
		}
	}
	c := scene
	c.Tier = 2
	if got := b.Forecast(t0, "p", c, time.Minute, time.Minute); got.Admission == InTime {
		t.Error("a prompt of the lowest tier is expected in time although every engine is full")
	}
	if got := b.Forecast(t0, "p", c, time.Second, time.Second); got.Admission != Infeasible || got.RetryAfter <= 0 {
		t.Errorf("forecast for a prompt that cannot meet its deadline: %+v", got)
	}
	c.Tier = 1
	if got := b.Forecast(t0, "p", c, time.Second, time.Second); got.Admission != InTime {
		t.Error("a prompt of a higher tier is not admitted as in time")
	}
}

// In a burst, feasibility must not depend on a prompt's own length: the largest tenth
// of the prompts was served a third as often as the average.
func TestLargePromptsAreNotRefusedMoreOften(t *testing.T) {
	b, _ := pool12()
	b.setSpeed("p", 40_000)
	average := longCall("s")
	now := t0
	for range 400 {
		now = now.Add(2 * time.Millisecond)
		b.RecordArrival(now, "p", average)
		s, _ := b.Choose(now, "p", average, nil, fixedRandom)
		b.Start(now, s.ID, average)
	}
	large := average
	large.Unshared *= 5
	large.Tokens = large.Unshared + average.shared()
	for left := 500 * time.Millisecond; left < 30*time.Second; left += 500 * time.Millisecond {
		of, ofLarge := b.Forecast(now, "p", average, left, left), b.Forecast(now, "p", large, left, left)
		if of.Admission != Infeasible && ofLarge.Admission == Infeasible {
			t.Errorf("with %v left a large prompt is infeasible, one of average length is %v", left, of.Admission)
		}
	}
}
