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
	chat  = Call{Tokens: 800, Unshared: 600, MaxOutput: 500, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Home: "c"}
	scene = Call{Tokens: 12000, Unshared: 6600, MaxOutput: 500, Target: 2500 * time.Millisecond, Gap: 800 * time.Millisecond, Home: "s"}
)

func middle() float64 { return 0.5 }

func TestSharedPartHasAHome(t *testing.T) {
	b, _ := pool12()
	first, _ := b.Choose(t0, "p", scene, nil, middle)
	for range 5 {
		got, ok := b.Choose(t0, "p", scene, nil, middle)
		if !ok || got.ID != first.ID {
			t.Fatalf("the shared part went to %s after %s", got.ID, first.ID)
		}
	}
	// Other instances find the same home without a word.
	other, list := pool12()
	other.SetFleet([]fleet.Server{list[5], list[0], list[11], list[1], list[10], list[2], list[9], list[3], list[8], list[4], list[7], list[6]})
	if got, _ := other.Choose(t0, "p", scene, nil, middle); got.ID != first.ID {
		t.Errorf("another instance takes %s for the home, not %s", got.ID, first.ID)
	}
}

func TestHomeYieldsWhenItIsBehind(t *testing.T) {
	b, _ := pool12()
	home, _ := b.Choose(t0, "p", scene, nil, middle)
	for range 60 {
		s, _ := b.Choose(t0, "p", scene, nil, middle)
		b.Start(t0, s.ID, scene)
		if s.ID != home.ID {
			return
		}
	}
	t.Error("sixty long prompts went to one engine")
}

func TestNoChatBesideLongPrompts(t *testing.T) {
	b, _ := pool12()
	long := map[string]bool{}
	for i := range 20 {
		c := scene
		c.Home = fmt.Sprint(i)
		b.Arrive(t0, "p", c)
		s, _ := b.Choose(t0, "p", c, nil, middle)
		b.Start(t0, s.ID, c)
		long[s.ID] = true
	}
	for i := range 100 {
		c := chat
		c.Home = fmt.Sprint(i)
		b.Arrive(t0, "p", c)
		s, _ := b.Choose(t0, "p", c, nil, middle)
		if long[s.ID] {
			t.Fatalf("a chat went to %s, which reads long prompts", s.ID)
		}
	}
}

// Events that were held up on the way arrive all at once. One such stream once
// made every other engine look a thousand times slower, and a single engine got
// the whole load.
func TestEventsThatArriveAtOnceDoNotTellThePace(t *testing.T) {
	b, list := pool12()
	usual, sudden := make([]time.Duration, 40), make([]time.Duration, 40)
	for i := range usual {
		usual[i] = 25 * time.Millisecond
		sudden[i] = 20 * time.Microsecond
	}
	for range 20 {
		for _, s := range list {
			b.Streamed(t0, &Ticket{server: s.ID}, append([]time.Duration(nil), usual...))
		}
	}
	b.Streamed(t0, &Ticket{server: list[3].ID}, sudden)
	b.refreshPaces(t0.Add(time.Hour))
	for _, s := range b.servers {
		if s.slowness > 1.2 {
			t.Errorf("engine %s counts as %.1f times as slow after one odd stream elsewhere", s.ID, s.slowness)
		}
	}
}

func TestSlowEnginesTakeTheLongPrompts(t *testing.T) {
	b, list := pool12()
	gaps := func(d time.Duration) []time.Duration {
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
			b.Streamed(now, &Ticket{server: s.ID}, gaps(d))
		}
		b.Arrive(now, "p", scene)
		b.Choose(now, "p", scene, nil, middle)
	}
	long := b.longSide(now, "p")
	for i, s := range list {
		on := false
		for _, id := range long {
			on = on || id == s.ID
		}
		if i%3 == 2 && !on {
			t.Errorf("the slow engine %s is not among %v", s.ID, long)
		}
	}
}

func TestBoundaryStaysWhileBothSidesHaveRoom(t *testing.T) {
	b, _ := pool12()
	rnd := rand.New(rand.NewSource(4))
	b.Arrive(t0, "p", scene)
	before := fmt.Sprint(b.longSide(t0, "p"))
	for i := range 400 {
		now := t0.Add(time.Duration(i) * 20 * time.Millisecond)
		c := chat
		if rnd.Intn(5) == 0 {
			c = scene
		}
		b.Arrive(now, "p", c)
		if got := fmt.Sprint(b.longSide(now, "p")); got != before {
			t.Fatalf("after %d quiet arrivals the long side went from %s to %s", i, before, got)
		}
	}
}

func TestOneInstanceDecidesForAll(t *testing.T) {
	a, _ := pool12()
	z, _ := pool12()
	z.name = "z"
	for range 300 {
		a.Arrive(t0, "p", chat)
		a.Arrive(t0, "p", chat)
	}
	tell(t0, a, z)
	if fmt.Sprint(a.longSide(t0, "p")) != fmt.Sprint(z.longSide(t0, "p")) {
		t.Errorf("a has %v, z has %v", a.longSide(t0, "p"), z.longSide(t0, "p"))
	}
}

func TestUnreachableServerIsPassedOver(t *testing.T) {
	b, _ := pool12()
	home, _ := b.Choose(t0, "p", chat, nil, middle)
	b.Bad(t0, home.ID, true)
	if got, _ := b.Choose(t0, "p", chat, nil, middle); got.ID == home.ID {
		t.Error("a server that could not be reached was chosen again at once")
	}
	if got, _ := b.Choose(t0.Add(avoidMax), "p", chat, nil, middle); got.ID != home.ID {
		t.Error("the server was not tried again later")
	}
}

func TestDrainingServersGetNothing(t *testing.T) {
	b, list := pool12()
	for i := range list {
		if i != 4 {
			list[i].Phase = fleet.Draining
		}
	}
	b.SetFleet(list)
	for range 20 {
		if got, ok := b.Choose(t0, "p", chat, nil, middle); !ok || got.ID != list[4].ID {
			t.Fatalf("chose %v", got)
		}
	}
	list[4].Phase = fleet.Draining
	b.SetFleet(list)
	if _, ok := b.Choose(t0, "p", chat, nil, middle); ok {
		t.Error("a draining server was chosen")
	}
}

// Whatever calls start, begin and end in which order, nothing is left over.
func TestLoadIsAccountedForExactly(t *testing.T) {
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
				b.Began(t0, &open[i/2])
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

// Servers that lose some answers by a reset must keep their other calls: taken
// for gone, seven of twelve engines left the load to the rest.
func TestServerThatAnswersOthersIsNotGone(t *testing.T) {
	b, _ := pool12()
	home, _ := b.Choose(t0, "p", scene, nil, middle)
	b.Good(t0, home.ID)
	b.Bad(t0.Add(aliveTime/2), home.ID, true)
	if got, _ := b.Choose(t0.Add(aliveTime/2), "p", scene, nil, middle); got.ID != home.ID {
		t.Error("a server that has just answered is passed over after one reset")
	}
}

// Sixty instances whose counts of each other are a quarter of a second old send
// plain calls to six servers of six slots. If each takes the server that looked
// emptiest, all take the same one.
func TestOldCountsDoNotHerdPlainCalls(t *testing.T) {
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
	told := t0
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
		if now.Sub(told) >= staleness {
			told = now
			for _, b := range all {
				for _, other := range all {
					if other != b {
						tell(now, b, other)
					}
				}
			}
		}
		b := all[rnd.Intn(instances)]
		s, _ := b.Choose(now, "p", Call{Target: 300 * time.Millisecond}, nil, rnd.Float64)
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

// Where there is no room, only the least urgent prompts are refused.
func TestUrgentPromptsAreAdmittedWithoutRoom(t *testing.T) {
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
		t.Error("a prompt of the lowest tier is expected in time though every engine is full")
	}
	if got := b.Forecast(t0, "p", c, time.Second, time.Second); got.Admission != Hopeless || got.Room <= 0 {
		t.Errorf("a prompt that can't be answered in its time: %+v", got)
	}
	c.Tier = 1
	if got := b.Forecast(t0, "p", c, time.Second, time.Second); got.Admission != InTime {
		t.Error("a prompt of a higher tier is put back for want of room")
	}
}

// In a burst, whether there is hope must not hang on a prompt's own length: the
// largest tenth of the prompts was served a third as often as all.
func TestLargePromptsAreNotRefusedMoreOften(t *testing.T) {
	b, _ := pool12()
	b.speed("p", 40_000)
	usual := longCall("s")
	now := t0
	for range 400 {
		now = now.Add(2 * time.Millisecond)
		b.Arrive(now, "p", usual)
		s, _ := b.Choose(now, "p", usual, nil, middle)
		b.Start(now, s.ID, usual)
	}
	large := usual
	large.Unshared *= 5
	large.Tokens = large.Unshared + usual.shared()
	for left := 500 * time.Millisecond; left < 30*time.Second; left += 500 * time.Millisecond {
		of, ofLarge := b.Forecast(now, "p", usual, left, left), b.Forecast(now, "p", large, left, left)
		if of.Admission != Hopeless && ofLarge.Admission == Hopeless {
			t.Errorf("with %v left a large prompt is hopeless, and one of the usual length %v", left, of.Admission)
		}
	}
}
