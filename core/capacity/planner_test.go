package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var begin = time.Unix(1_800_000_000, 0)

var declared = Scaling{Least: 1, Most: 10, Boot: 4 * time.Second, ReclaimablePrice: 0.22,
	ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}

// cloud is a provider with the servers that it has given, replayed step by step.
type cloud struct {
	now     time.Time
	planner *Planner
	zones   []Zone
	booting []booting
	// dry: no reclaimable servers are to be had.
	dry bool
	// need is what the calls need.
	need float64
	// lowered counts the orders of fewer servers by subject; orders counts all.
	lowered map[Subject]int
	orders  int
	// price is the sum of what servers cost, in seconds.
	price float64
}

type booting struct {
	Order
	at time.Time
}

const tick = 500 * time.Millisecond

func newCloud(p Policy, regular int, zones ...string) *cloud {
	c := &cloud{now: begin, planner: NewPlanner(p, nil), lowered: map[Subject]int{}, need: -1}
	for _, z := range zones {
		c.zones = append(c.zones, Zone{Name: z, Regular: regular})
	}
	return c
}

func (c *cloud) zone(name string) *Zone {
	for i := range c.zones {
		if c.zones[i].Name == name {
			return &c.zones[i]
		}
	}
	return nil
}

func (c *cloud) ready() (n int) {
	for _, z := range c.zones {
		n += z.ready()
	}
	return n
}

// run plays a time; each is called after each step.
func (c *cloud) run(length time.Duration, each func()) {
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(tick) {
		c.boot()
		in := Input{Pool: "p", Scaling: declared, Need: c.need, Zones: append([]Zone(nil), c.zones...)}
		for _, o := range c.planner.Next(c.now, in) {
			c.take(o)
		}
		for i, z := range c.zones {
			c.price += declared.Price(z) * tick.Seconds()
			c.zones[i].RegularLeaving, c.zones[i].ReclaimableLeaving = 0, 0
		}
		if each != nil {
			each()
		}
	}
}

// boot lets servers come whose time has come, as far as the zone has room.
func (c *cloud) boot() {
	var left []booting
	for _, b := range c.booting {
		if b.at.After(c.now) {
			left = append(left, b)
			continue
		}
		z := c.zone(b.Zone)
		n := min(b.Count, declared.Most-z.ready())
		if b.Reclaimable {
			z.Reclaimable += n
		} else {
			z.Regular += n
		}
	}
	c.booting = left
}

func (c *cloud) take(o Order) {
	c.orders++
	z := c.zone(o.Zone)
	there := &z.Regular
	if o.Reclaimable {
		there = &z.Reclaimable
	}
	if o.Reclaimable && c.dry && o.Count > *there {
		c.planner.Given(c.now, o, false)
		c.planner.Dry(c.now, o.Zone)
		return
	}
	c.planner.Given(c.now, o, true)
	coming := 0
	var others []booting
	for _, b := range c.booting {
		if b.Subject == o.Subject {
			coming += b.Count
			continue
		}
		others = append(others, b)
	}
	c.booting = others
	switch {
	case o.Count < *there:
		c.lowered[o.Subject]++
		*there = o.Count
	case o.Count > *there:
		c.booting = append(c.booting, booting{Order{o.Subject, o.Count - *there}, c.now.Add(declared.Boot)})
	}
}

// reclaim takes all reclaimable servers of a zone away.
func (c *cloud) reclaim(zone string) {
	z := c.zone(zone)
	z.ReclaimableLeaving, z.Reclaimable = z.Reclaimable, 0
}

// TestCheaperServersComeInThePlaceOfOthers: a fleet of regular servers becomes one of
// reclaimable ones, and there are never fewer than before.
func TestCheaperServersComeInThePlaceOfOthers(t *testing.T) {
	c := newCloud(Policy{Reserve: 1}, 6, "a", "b", "c")
	c.run(30*time.Second, func() {
		if c.ready() < 18 {
			t.Errorf("%v: only %d servers of 18", c.now.Sub(begin), c.ready())
		}
	})
	regular := 0
	for _, z := range c.zones {
		regular += z.Regular
	}
	if regular != 0 || c.ready() != 30 { // all that may be ordered
		t.Errorf("%d regular ones of %d: %+v", regular, c.ready(), c.zones)
	}
}

// TestOrderedServersThatComeEarlyAreNotTakenForTheOperators: they would be ordered again
// and again, each time more.
func TestOrderedServersThatComeEarlyAreNotTakenForTheOperators(t *testing.T) {
	p := NewPlanner(Policy{Reserve: 1}, nil)
	in := Input{Pool: "p", Scaling: declared, Need: -1, Zones: []Zone{{Name: "a", Regular: 2}, {Name: "b", Regular: 2}, {Name: "c", Regular: 2}}}
	p.Next(begin, in)
	first := p.Status(begin).Want
	for i := range in.Zones {
		in.Zones[i].Reclaimable = 4
	}
	now := begin.Add(declared.Boot / 2)
	p.Next(now, in)
	if want := p.Status(now).Want; want != first {
		t.Errorf("%d servers are wanted, %d before the ordered ones came", want, first)
	}
}

// TestServersAreOrderedWhereNoneIsLeft, by the first planner and by a successor.
func TestServersAreOrderedWhereNoneIsLeft(t *testing.T) {
	in := Input{Pool: "p", Scaling: declared, Need: 0, Zones: []Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	for name, standing := range map[string]Orders{"first": nil, "successor": {{Subject{"p", "a", true}, 0}}} {
		p := NewPlanner(Policy{Reserve: 1}, standing)
		ordered := 0
		for now := begin; now.Sub(begin) < 2*declared.Boot; now = now.Add(tick) {
			for _, o := range p.Next(now, in) {
				p.Given(now, o, true)
				ordered = max(ordered, o.Count)
			}
		}
		if ordered < declared.Least {
			t.Errorf("%s: none is ordered", name)
		}
	}
}

// TestHundredsAreNotLoweredAtOnce.
func TestHundredsAreNotLoweredAtOnce(t *testing.T) {
	p := NewPlanner(Policy{Reserve: 1}, nil)
	wide := declared
	wide.Most = 1000
	in := Input{Pool: "p", Scaling: wide, Need: -1, Zones: []Zone{{Name: "a", Regular: 300}, {Name: "b", Regular: 300}}}
	p.Next(begin, in)
	for i := range in.Zones {
		in.Zones[i].Reclaimable = 900
	}
	lowered := 0
	for _, o := range p.Next(begin.Add(time.Minute), in) {
		if o.Reclaimable {
			continue
		}
		lowered++
		if o.Count < 300-mostLowered {
			t.Errorf("%+v at once, of 300", o)
		}
	}
	if lowered == 0 {
		t.Error("nothing is lowered")
	}
}

// TestTheLossOfAZoneLeavesEnough, and what was lost is there again after a boot.
func TestTheLossOfAZoneLeavesEnough(t *testing.T) {
	c := newCloud(Policy{Reserve: 1}, 5, "a", "b", "c")
	c.need = 15
	c.run(30*time.Second, nil)
	for _, zone := range []string{"a", "b", "c"} {
		c.reclaim(zone)
		if c.ready() < 15 {
			t.Errorf("without %s only %d servers of 15 needed: %+v", zone, c.ready(), c.zones)
		}
		c.run(declared.Boot+2*time.Second, nil)
		if c.zone(zone).ready() == 0 {
			t.Errorf("nothing came in the place of what %s has lost: %+v", zone, c.zones)
		}
	}
}

// TestRegularServersComeWhereOthersAreNotToBeHad: zone after zone is reclaimed while
// there are no others, and the needed servers are there again; afterwards they go.
func TestRegularServersComeWhereOthersAreNotToBeHad(t *testing.T) {
	c := newCloud(Policy{Reserve: 1}, 5, "a", "b", "c")
	c.need = 15
	c.run(30*time.Second, nil)
	c.dry = true
	for _, zone := range []string{"a", "b", "c"} {
		c.reclaim(zone)
		c.run(8*time.Second, nil)
		if c.ready() < 15 {
			t.Errorf("after %s was reclaimed: %d servers of 15: %+v", zone, c.ready(), c.zones)
		}
	}
	c.dry = false
	c.run(30*time.Second, nil)
	for _, z := range c.zones {
		if z.Regular > 0 {
			t.Errorf("regular servers stay although others are to be had: %+v", c.zones)
		}
	}
}

// TestWavesDoNotFlap: a need that goes up and down in waves of 11 s does not order servers
// back and forth.
func TestWavesDoNotFlap(t *testing.T) {
	c := newCloud(Policy{Reserve: 1}, 5, "a", "b", "c")
	i := 0
	c.run(5*time.Minute, func() {
		i++
		c.need = []float64{8, 10, 13, 15, 12, 9, 7}[i/3%7]
	})
	for s, n := range c.lowered {
		if n > 6 {
			t.Errorf("%+v was lowered %d times in five minutes", s, n)
		}
	}
}

// TestServersGoWhenTheNeedIsOver.
func TestServersGoWhenTheNeedIsOver(t *testing.T) {
	c := newCloud(Policy{Reserve: 1}, 5, "a", "b", "c")
	c.need = 18
	c.run(time.Minute, nil)
	if c.ready() < 27 {
		t.Errorf("%d servers for a need of 18 and the loss of a zone", c.ready())
	}
	c.need = 2
	c.run(5*time.Minute, nil)
	if c.ready() > 5 || c.ready() < 3 {
		t.Errorf("%d servers for a need of 2", c.ready())
	}
}

// TestANeedThatNobodyTellsKeepsWhatIsThere: while the entries are out of touch nothing
// shrinks to nothing.
func TestANeedThatNobodyTellsKeepsWhatIsThere(t *testing.T) {
	c := newCloud(Policy{Reserve: 1}, 5, "a", "b", "c")
	c.run(10*time.Minute, nil)
	if c.ready() != 30 { // twice as many
		t.Errorf("%d servers", c.ready())
	}
}

// TestSpendingIsBounded, and the least stays.
func TestSpendingIsBounded(t *testing.T) {
	c := newCloud(Policy{Reserve: 1, MostPrice: 2}, 5, "a", "b", "c")
	c.need = 30
	c.run(time.Minute, nil)
	price := 0.0
	for _, z := range c.zones {
		price += declared.Price(z)
		if z.ready() < declared.Least {
			t.Errorf("%+v has fewer than the least", z)
		}
	}
	if price > 2 {
		t.Errorf("servers cost %g: %+v", price, c.zones)
	}
}

// TestAPoolWithoutReclaimableServersOrdersRegularOnes.
func TestAPoolWithoutReclaimableServersOrdersRegularOnes(t *testing.T) {
	p := NewPlanner(Policy{Reserve: 1.2}, nil)
	in := Input{Pool: "p", Scaling: Scaling{Least: 1, Most: 10, Boot: time.Second}, Need: 10, Zones: []Zone{{Name: "a", Regular: 4}, {Name: "b", Regular: 4}}}
	p.Next(begin, in)
	got := fmt.Sprint(p.Next(begin.Add(3*time.Second), in))
	if want := "[{{p a false} 6} {{p b false} 6}]"; got != want {
		t.Errorf("ordered %s, want %s", got, want)
	}
}

// TestASuccessorGivesTheStandingOrdersAgain, with fences of its own, and changes nothing
// else: each change of the holder would make the servers more otherwise. An order without
// an answer is given again after a pause.
func TestASuccessorGivesTheStandingOrdersAgain(t *testing.T) {
	var standing Orders
	in := Input{Pool: "p", Scaling: declared, Need: 4}
	for _, zone := range []string{"a", "b", "c"} {
		standing = standing.With(Order{Subject{"p", zone, true}, 3}).With(Order{Subject{"p", zone, false}, 0})
		in.Zones = append(in.Zones, Zone{Name: zone, Reclaimable: 3})
	}
	p := NewPlanner(Policy{Reserve: 1}, standing)
	orders := p.Next(begin, in)
	if len(orders) != len(standing) {
		t.Fatalf("a successor gives %v", orders)
	}
	for _, o := range orders {
		if !slices.Contains(standing, o) {
			t.Errorf("%v was not ordered before", o)
		}
		p.Given(begin, o, o.Zone != "a")
	}
	in.Zones[1].Reclaimable = 0 // b is the cheapest, and a the second
	if again := p.Next(begin.Add(100*time.Millisecond), in); len(again) != 0 {
		t.Errorf("at once again: %v", again)
	}
	if again := fmt.Sprint(p.Next(begin.Add(time.Second), in)); again != "[{{p a true} 3}]" {
		t.Errorf("after a second: %v", again)
	}
}
