package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var begin = time.Unix(1_800_000_000, 0)

var declared = Scaling{Min: 1, Max: 10, BootTime: 4 * time.Second, ReclaimablePrice: 0.22,
	ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}

// simulation is a provider with its servers and a planner, advanced step by step.
type simulation struct {
	now     time.Time
	planner *Planner
	zones   []Zone
	booting []booting
	// unavailable is set if the provider has no reclaimable servers.
	unavailable bool
	// need is the number of servers that the calls need.
	need float64
	// decreases counts the orders of fewer servers by server group; orders counts all
	// orders.
	decreases map[ServerGroup]int
	orders    int
	// price is the accumulated cost of the servers, in server seconds.
	price float64
}

type booting struct {
	Order
	at time.Time
}

const tick = 500 * time.Millisecond

func newSimulation(p Policy, regular int, zones ...string) *simulation {
	c := &simulation{now: begin, planner: NewPlanner(p, nil), decreases: map[ServerGroup]int{}, need: -1}
	for _, z := range zones {
		c.zones = append(c.zones, Zone{Name: z, Regular: regular})
	}
	return c
}

func (c *simulation) zone(name string) *Zone {
	for i := range c.zones {
		if c.zones[i].Name == name {
			return &c.zones[i]
		}
	}
	return nil
}

func (c *simulation) ready() (n int) {
	for _, z := range c.zones {
		n += z.ready()
	}
	return n
}

// run advances the simulation; each is called after each step.
func (c *simulation) run(length time.Duration, each func()) {
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(tick) {
		c.boot()
		in := Input{Pool: "p", Scaling: declared, Need: c.need, Zones: append([]Zone(nil), c.zones...)}
		for _, o := range c.planner.Next(c.now, in) {
			c.apply(o)
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

// boot starts the servers that are due, up to the zone's maximum.
func (c *simulation) boot() {
	var left []booting
	for _, b := range c.booting {
		if b.at.After(c.now) {
			left = append(left, b)
			continue
		}
		z := c.zone(b.Zone)
		n := min(b.Count, declared.Max-z.ready())
		if b.Reclaimable {
			z.Reclaimable += n
		} else {
			z.Regular += n
		}
	}
	c.booting = left
}

func (c *simulation) apply(o Order) {
	c.orders++
	z := c.zone(o.Zone)
	present := &z.Regular
	if o.Reclaimable {
		present = &z.Reclaimable
	}
	if o.Reclaimable && c.unavailable && o.Count > *present {
		c.planner.RecordResult(c.now, o, false)
		c.planner.MarkUnavailable(c.now, o.Zone)
		return
	}
	c.planner.RecordResult(c.now, o, true)
	coming := 0
	var others []booting
	for _, b := range c.booting {
		if b.ServerGroup == o.ServerGroup {
			coming += b.Count
			continue
		}
		others = append(others, b)
	}
	c.booting = others
	switch {
	case o.Count < *present:
		c.decreases[o.ServerGroup]++
		*present = o.Count
	case o.Count > *present:
		c.booting = append(c.booting, booting{Order{o.ServerGroup, o.Count - *present}, c.now.Add(declared.BootTime)})
	}
}

// reclaim simulates that the provider reclaims all reclaimable servers of a zone.
func (c *simulation) reclaim(zone string) {
	z := c.zone(zone)
	z.ReclaimableLeaving, z.Reclaimable = z.Reclaimable, 0
}

// Reclaimable servers replace a fleet of regular ones without ever having fewer servers
// than before.
func TestReclaimableServersReplaceRegularOnes(t *testing.T) {
	c := newSimulation(Policy{Reserve: 1}, 6, "a", "b", "c")
	c.run(30*time.Second, func() {
		if c.ready() < 18 {
			t.Errorf("%v: only %d servers of 18", c.now.Sub(begin), c.ready())
		}
	})
	regular := 0
	for _, z := range c.zones {
		regular += z.Regular
	}
	if regular != 0 || c.ready() != 30 { // the maximum that may be ordered
		t.Errorf("%d regular servers of %d: %+v", regular, c.ready(), c.zones)
	}
}

// Ordered servers that appear early must not count as servers of the operator; otherwise
// more of them would be ordered each time.
func TestEarlyOrderedServersDoNotCountAsInitial(t *testing.T) {
	p := NewPlanner(Policy{Reserve: 1}, nil)
	in := Input{Pool: "p", Scaling: declared, Need: -1, Zones: []Zone{{Name: "a", Regular: 2}, {Name: "b", Regular: 2}, {Name: "c", Regular: 2}}}
	p.Next(begin, in)
	first := p.Status(begin).Want
	for i := range in.Zones {
		in.Zones[i].Reclaimable = 4
	}
	now := begin.Add(declared.BootTime / 2)
	p.Next(now, in)
	if want := p.Status(now).Want; want != first {
		t.Errorf("%d servers wanted, %d before the ordered ones appeared", want, first)
	}
}

// A pool without servers gets some, from the first planner and from a successor.
func TestServersAreOrderedForEmptyPool(t *testing.T) {
	in := Input{Pool: "p", Scaling: declared, Need: 0, Zones: []Zone{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	for name, previous := range map[string]Orders{"first": nil, "successor": {{ServerGroup{"p", "a", true}, 0}}} {
		p := NewPlanner(Policy{Reserve: 1}, previous)
		ordered := 0
		for now := begin; now.Sub(begin) < 2*declared.BootTime; now = now.Add(tick) {
			for _, o := range p.Next(now, in) {
				p.RecordResult(now, o, true)
				ordered = max(ordered, o.Count)
			}
		}
		if ordered < declared.Min {
			t.Errorf("%s: no server was ordered", name)
		}
	}
}

// A single order must not remove hundreds of servers.
func TestDecreaseIsBounded(t *testing.T) {
	p := NewPlanner(Policy{Reserve: 1}, nil)
	wide := declared
	wide.Max = 1000
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
		if o.Count < 300-maxDecrease {
			t.Errorf("order %+v lowers the number by more than %d", o, maxDecrease)
		}
	}
	if lowered == 0 {
		t.Error("no number was lowered")
	}
}

// After the loss of a zone enough servers remain, and the lost ones are replaced within
// a boot time.
func TestZoneLossLeavesEnoughServers(t *testing.T) {
	c := newSimulation(Policy{Reserve: 1}, 5, "a", "b", "c")
	c.need = 15
	c.run(30*time.Second, nil)
	for _, zone := range []string{"a", "b", "c"} {
		c.reclaim(zone)
		if c.ready() < 15 {
			t.Errorf("after the loss of %s only %d of 15 needed servers remain: %+v", zone, c.ready(), c.zones)
		}
		c.run(declared.BootTime+2*time.Second, nil)
		if c.zone(zone).ready() == 0 {
			t.Errorf("the lost servers of %s were not replaced: %+v", zone, c.zones)
		}
	}
}

// Zone after zone is reclaimed while no reclaimable servers are available. Regular
// servers must replace them, and must be removed later.
func TestRegularServersReplaceUnavailableReclaimableOnes(t *testing.T) {
	c := newSimulation(Policy{Reserve: 1}, 5, "a", "b", "c")
	c.need = 15
	c.run(30*time.Second, nil)
	c.unavailable = true
	for _, zone := range []string{"a", "b", "c"} {
		c.reclaim(zone)
		c.run(8*time.Second, nil)
		if c.ready() < 15 {
			t.Errorf("after %s was reclaimed: %d servers of 15: %+v", zone, c.ready(), c.zones)
		}
	}
	c.unavailable = false
	c.run(30*time.Second, nil)
	for _, z := range c.zones {
		if z.Regular > 0 {
			t.Errorf("regular servers remain although reclaimable ones are available: %+v", c.zones)
		}
	}
}

// A need that oscillates with a period of about 11 s must not cause servers to be
// ordered and removed repeatedly.
func TestOscillatingNeedDoesNotFlap(t *testing.T) {
	c := newSimulation(Policy{Reserve: 1}, 5, "a", "b", "c")
	i := 0
	c.run(5*time.Minute, func() {
		i++
		c.need = []float64{8, 10, 13, 15, 12, 9, 7}[i/3%7]
	})
	for s, n := range c.decreases {
		if n > 6 {
			t.Errorf("%+v was lowered %d times in five minutes", s, n)
		}
	}
}

func TestServersAreRemovedWhenNeedFalls(t *testing.T) {
	c := newSimulation(Policy{Reserve: 1}, 5, "a", "b", "c")
	c.need = 18
	c.run(time.Minute, nil)
	if c.ready() < 27 {
		t.Errorf("%d servers for a need of 18 with a reserve for one zone", c.ready())
	}
	c.need = 2
	c.run(5*time.Minute, nil)
	if c.ready() > 5 || c.ready() < 3 {
		t.Errorf("%d servers for a need of 2", c.ready())
	}
}

// While entries can't be reached and the need is unknown, servers must not be removed.
func TestUnknownNeedKeepsServers(t *testing.T) {
	c := newSimulation(Policy{Reserve: 1}, 5, "a", "b", "c")
	c.run(10*time.Minute, nil)
	if c.ready() != 30 { // twice the initial number
		t.Errorf("%d servers", c.ready())
	}
}

// The cost stays within its bound, and each zone keeps its minimum.
func TestCostIsBounded(t *testing.T) {
	c := newSimulation(Policy{Reserve: 1, MaxPrice: 2}, 5, "a", "b", "c")
	c.need = 30
	c.run(time.Minute, nil)
	price := 0.0
	for _, z := range c.zones {
		price += declared.Price(z)
		if z.ready() < declared.Min {
			t.Errorf("%+v has fewer servers than the minimum", z)
		}
	}
	if price > 2 {
		t.Errorf("servers cost %g: %+v", price, c.zones)
	}
}

func TestPoolWithoutReclaimableServersOrdersRegularOnes(t *testing.T) {
	p := NewPlanner(Policy{Reserve: 1.2}, nil)
	in := Input{Pool: "p", Scaling: Scaling{Min: 1, Max: 10, BootTime: time.Second}, Need: 10, Zones: []Zone{{Name: "a", Regular: 4}, {Name: "b", Regular: 4}}}
	p.Next(begin, in)
	got := fmt.Sprint(p.Next(begin.Add(3*time.Second), in))
	if want := "[{{p a false} 6} {{p b false} 6}]"; got != want {
		t.Errorf("ordered %s, want %s", got, want)
	}
}

// A successor sends the previous orders again with its own fencing tokens and changes
// nothing else; otherwise each change of the holder would add servers. An order without
// a response is retried after a pause.
func TestSuccessorResendsPreviousOrders(t *testing.T) {
	var previous Orders
	in := Input{Pool: "p", Scaling: declared, Need: 4}
	for _, zone := range []string{"a", "b", "c"} {
		previous = previous.With(Order{ServerGroup{"p", zone, true}, 3}).With(Order{ServerGroup{"p", zone, false}, 0})
		in.Zones = append(in.Zones, Zone{Name: zone, Reclaimable: 3})
	}
	p := NewPlanner(Policy{Reserve: 1}, previous)
	orders := p.Next(begin, in)
	if len(orders) != len(previous) {
		t.Fatalf("a successor orders %v", orders)
	}
	for _, o := range orders {
		if !slices.Contains(previous, o) {
			t.Errorf("%v was not ordered before", o)
		}
		p.RecordResult(begin, o, o.Zone != "a")
	}
	in.Zones[1].Reclaimable = 0 // b is the cheapest zone, a the second cheapest
	if again := p.Next(begin.Add(100*time.Millisecond), in); len(again) != 0 {
		t.Errorf("retried without a pause: %v", again)
	}
	if again := fmt.Sprint(p.Next(begin.Add(time.Second), in)); again != "[{{p a true} 3}]" {
		t.Errorf("after one second: %v", again)
	}
}
