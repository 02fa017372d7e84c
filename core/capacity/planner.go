package capacity

import (
	"math"
	"slices"
	"time"
)

// Scaling is what may be ordered for a pool, as operators declare it.
type Scaling struct {
	// Least and Most bound the servers of both kinds together in each zone.
	Least int `msgpack:"l"`
	Most  int `msgpack:"m"`
	// Boot is how long a new server takes before it serves.
	Boot time.Duration `msgpack:"b"`
	// ReclaimablePrice is the price of a reclaimable server against a regular one; zero
	// where there are none.
	ReclaimablePrice float64 `msgpack:"r"`
	// ZonePrices are the prices of a server in each zone.
	ZonePrices map[string]float64 `msgpack:"z"`
}

// Policy is how many servers to keep for a demand.
type Policy struct {
	// Reserve is how many times the needed servers there should be after all of a zone have
	// been taken away.
	Reserve float64
	// Regular is the part of the needed servers that may not be reclaimable.
	Regular float64
	// MostPrice bounds what all servers of a pool cost, in regular servers of a zone with
	// price 1; zero for no bound.
	MostPrice float64
}

// Limits of the planner.
const (
	// needTime is the time constant with which the highest need that was seen fades: bursts
	// come again, and reclaimable servers that wait for the next one cost little.
	needTime = 60 * time.Second
	// presentTime is the time constant with which the present need fades, by which regular
	// servers are kept in the place of others.
	presentTime = 8 * time.Second
	// unknownNeed is how many times the servers that were there first may be needed, until
	// that is known: a burst that comes at once can't be foreseen, and reclaimable servers
	// cost little for so long.
	unknownNeed = 4.0 / 3
	// learnTime is how long a need must have been seen before the servers become fewer
	// than were there at first: until then the operator's own count stands.
	learnTime = 10 * time.Second
	// bootSlack is how much longer than announced a server may take to announce itself
	// before it counts as missing: a heartbeat, and the provider's answer.
	bootSlack = 2 * time.Second
	// dryTime is the pause before a zone that has refused reclaimable servers is asked
	// again: a quarter of the time that a server takes to serve.
	dryTime = time.Second
	// againAfter is the pause before an order that was not accepted is given again.
	againAfter = 500 * time.Millisecond
	// shrinkAfter is how long a number must have been too high before it is lowered, and
	// shrinkPause the least time between two orders that lower the same number: parts of
	// prompts are lost with each server.
	shrinkAfter = 6 * time.Second
	shrinkPause = 4 * time.Second
	// replacePause is the pause where others have come in their place: the time in which a
	// server that leaves says so.
	replacePause = 1500 * time.Millisecond
	// shrinkSlack is the part of a number by which it may be too high for good.
	shrinkSlack = 0.15
	// enoughShare of the needed servers must be there or on the way; regular ones are
	// ordered where reclaimable ones are not to be had.
	enoughShare = 1.15
)

// Zone is what is seen in one availability zone.
type Zone struct {
	Name string
	// Regular and Reclaimable are the servers that take work.
	Regular, Reclaimable int
	// RegularLeaving and ReclaimableLeaving are the servers that say they leave.
	RegularLeaving, ReclaimableLeaving int
}

// ready is how many servers take work.
func (z *Zone) ready() int { return z.Regular + z.Reclaimable }

// Input is what a plan is made from.
type Input struct {
	Pool    string
	Scaling Scaling
	// Zones are those where the pool has servers or may have them.
	Zones []Zone
	// Need is how many servers the calls need, negative while unknown.
	Need float64
}

// Planner decides for one pool what to order. It goes by the servers that announce
// themselves; its own orders only tell what may be on the way. Not safe for concurrent
// use.
type Planner struct {
	policy Policy
	// first is how many servers there were before any was ordered, or those that an
	// earlier holder has left enough of after the loss of a zone.
	first int
	// standing are the orders of an earlier holder, which are given once more: that ends
	// what it has on its way. successor: there were such.
	standing  Orders
	successor bool
	// leaving is how many servers of each zone said they leave, when last seen.
	leaving map[string]int
	// need fades from the highest that was seen; known since learned.
	need    float64
	present float64
	needAt  time.Time
	learned time.Time
	orders  map[Subject]*sent
	// dry is until when a zone that has refused reclaimable servers is not asked for more;
	// it has a time, past or not, until the zone gives some.
	dry map[string]time.Time
	// begun is when the first plan was made.
	begun time.Time
	// zoneLoss is how many times the servers there must be so that enough are left when a
	// zone has lost all of its reclaimable ones.
	zoneLoss float64
}

// sent is the last order of a subject.
type sent struct {
	count int
	at    time.Time
	// settled: it was accepted.
	accepted bool
	// highSince is when the subject's servers were first too many; zero otherwise.
	highSince time.Time
}

// NewPlanner returns a planner that has ordered nothing itself; standing are the orders of
// earlier holders of the duty.
func NewPlanner(p Policy, standing Orders) *Planner {
	return &Planner{policy: p, standing: standing, successor: len(standing) > 0, leaving: map[string]int{}, orders: map[Subject]*sent{}, dry: map[string]time.Time{}}
}

func zoneLoss(in *Input) float64 {
	zones := float64(len(in.Zones))
	switch {
	case in.Scaling.ReclaimablePrice <= 0:
		return 1
	case zones < 2:
		return 2 // the other half is to be regular ones by the time they are needed
	}
	return zones / (zones - 1)
}

// target is how many servers a zone should have.
type target struct{ regular, reclaimable int }

// Next returns the orders to give now.
func (p *Planner) Next(now time.Time, in Input) []Order {
	if len(in.Zones) == 0 || in.Scaling.Most <= 0 {
		return nil
	}
	slices.SortFunc(in.Zones, func(a, b Zone) int { return compareZones(&in.Scaling, a.Name, b.Name) })
	p.zoneLoss = zoneLoss(&in)
	p.note(now, &in)
	if p.first == 0 {
		return nil // nothing is known yet
	}
	targets := p.targets(now, &in)
	var out []Order
	for i, z := range in.Zones {
		out = append(out, p.zoneOrders(now, &in, z, targets[i])...)
	}
	p.standing = nil
	return out
}

// zoneOrders returns the orders for a zone, those that lower a number first: both kinds
// together are bounded by what is ordered, not by what is there.
func (p *Planner) zoneOrders(now time.Time, in *Input, z Zone, t target) []Order {
	regular, reclaimable := Subject{in.Pool, z.Name, false}, Subject{in.Pool, z.Name, true}
	before := p.ordered(regular, z.Regular)
	first := p.order(now, in, regular, t.regular, z.Regular)
	if in.Scaling.ReclaimablePrice <= 0 {
		return first
	}
	others := before
	if len(first) > 0 {
		others = t.regular
	}
	t.reclaimable = max(0, min(t.reclaimable, in.Scaling.Most-others))
	second := p.order(now, in, reclaimable, t.reclaimable, z.Reclaimable)
	if t.regular > before {
		first, second = second, first
	}
	return append(first, second...)
}

// ordered is the number that stands of a subject: the last one accepted, or what is seen.
func (p *Planner) ordered(s Subject, seen int) int {
	if o := p.orders[s]; o != nil && o.accepted {
		return o.count
	}
	return seen
}

func compareZones(s *Scaling, a, b string) int {
	pa, pb := s.price(a), s.price(b)
	switch {
	case pa < pb, pa == pb && a < b:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// Price is what the servers of a zone cost, in regular servers of a zone with price 1.
func (s *Scaling) Price(z Zone) float64 {
	return s.price(z.Name) * (float64(z.Regular) + s.ReclaimablePrice*float64(z.Reclaimable))
}

func (s *Scaling) price(zone string) float64 {
	if x, ok := s.ZonePrices[zone]; ok {
		return x
	}
	return 1
}

// note takes what is seen.
func (p *Planner) note(now time.Time, in *Input) {
	ready := 0
	for _, z := range in.Zones {
		ready += z.ready()
		if z.ReclaimableLeaving > p.leaving[z.Name] {
			// What was ordered is being taken away.
			if o := p.orders[Subject{in.Pool, z.Name, true}]; o != nil && o.count > z.Reclaimable {
				o.at = time.Time{}
			}
		}
		p.leaving[z.Name] = z.ReclaimableLeaving
	}
	p.noteFirst(now, in, ready)
	if in.Need < 0 {
		return
	}
	if in.Need > 0 && p.learned.IsZero() {
		p.learned = now
	}
	if !p.needAt.IsZero() {
		p.need *= faded(now.Sub(p.needAt), needTime)
		p.present *= faded(now.Sub(p.needAt), presentTime)
	}
	p.need, p.present, p.needAt = max(p.need, in.Need), max(p.present, in.Need), now
}

// noteFirst notes how many servers there are before those that are ordered can have come;
// they announce themselves one after the other.
func (p *Planner) noteFirst(now time.Time, in *Input, ready int) {
	if p.begun.IsZero() && ready > 0 {
		p.begun = now
	}
	if p.begun.IsZero() || now.Sub(p.begun) >= in.Scaling.Boot {
		return
	}
	if !p.successor {
		p.first = max(p.first, ready)
		return
	}
	ordered := 0
	for _, o := range p.standing {
		ordered += o.Count
	}
	p.first = max(p.first, int(math.Ceil(float64(ordered)/p.zoneLoss)))
}

func faded(d, constant time.Duration) float64 { return math.Exp(-d.Seconds() / constant.Seconds()) }

// learning: the need has not been seen for long enough to go by it alone.
func (p *Planner) learning(now time.Time) bool {
	return p.learned.IsZero() || now.Sub(p.learned) < learnTime
}

// enough is how many servers must be there now.
func (p *Planner) enough(now time.Time) int {
	enough := enoughShare * p.present
	if p.learning(now) {
		enough = max(enough, float64(p.first))
	}
	return int(math.Ceil(enough))
}

// want is how many servers there should be altogether.
func (p *Planner) want(now time.Time) int {
	need := p.need
	if p.learning(now) {
		unknown := 1.0
		if p.zoneLoss > 1 && !p.successor {
			unknown = unknownNeed
		}
		need = max(need, unknown*float64(p.first))
	}
	return int(math.Ceil(p.policy.Reserve * need * p.zoneLoss))
}

// targets returns how many servers of each kind each zone should have.
func (p *Planner) targets(now time.Time, in *Input) []target {
	out := make([]target, len(in.Zones))
	want := max(p.want(now), in.Scaling.Least*len(in.Zones))
	if in.Scaling.ReclaimablePrice <= 0 {
		spread(want, out, func(i int) (*int, int) { return &out[i].regular, in.Scaling.Most })
		p.bound(in, out)
		return out
	}
	regular := int(math.Ceil(p.policy.Regular * p.need))
	spread(min(regular, want), out, func(i int) (*int, int) { return &out[i].regular, in.Scaling.Most })
	p.reclaimable(in, want-regular, out)
	p.replace(now, in, out)
	p.bound(in, out)
	return out
}

// bound lowers the targets until they cost no more than they may: the dearest zones first,
// and in each what is ordered beyond the least.
func (p *Planner) bound(in *Input, out []target) {
	if p.policy.MostPrice <= 0 {
		return
	}
	cost := 0.0
	for i, z := range in.Zones {
		cost += in.Scaling.Price(Zone{Name: z.Name, Regular: out[i].regular, Reclaimable: out[i].reclaimable})
	}
	for i := len(out) - 1; i >= 0; i-- {
		price := in.Scaling.price(in.Zones[i].Name)
		lower := func(count *int, each float64) {
			for *count > 0 && cost > p.policy.MostPrice && out[i].regular+out[i].reclaimable > in.Scaling.Least {
				*count--
				cost -= each
			}
		}
		lower(&out[i].regular, price)
		lower(&out[i].reclaimable, price*in.Scaling.ReclaimablePrice)
	}
}

// reclaimable spreads reclaimable servers evenly over the zones. Those that have none to
// give are asked for their part now and then; the others get it meanwhile.
func (p *Planner) reclaimable(in *Input, want int, out []target) {
	each := (want + len(out) - 1) / len(out)
	for i, z := range in.Zones {
		if p.isDry(z.Name) {
			out[i].reclaimable = max(z.Reclaimable, min(each, in.Scaling.Most-out[i].regular))
			want -= z.Reclaimable
		}
	}
	spread(want, out, func(i int) (*int, int) {
		if p.isDry(in.Zones[i].Name) {
			return nil, 0
		}
		return &out[i].reclaimable, in.Scaling.Most - out[i].regular
	})
}

// isDry reports whether a zone has refused reclaimable servers and given none since.
func (p *Planner) isDry(zone string) bool { _, dry := p.dry[zone]; return dry }

// replace keeps regular servers that are there while the others are too few, and adds
// such where the needed ones are neither there nor on the way.
func (p *Planner) replace(now time.Time, in *Input, out []target) {
	there, coming := 0, 0
	for _, z := range in.Zones {
		there += z.ready()
		coming += p.booting(now, in, Subject{in.Pool, z.Name, false}, z.Regular)
		coming += p.booting(now, in, Subject{in.Pool, z.Name, true}, z.Reclaimable)
	}
	// What is needed must stay; what goes beyond it may be late.
	surplus := max(0, there-p.enough(now))
	for i := len(in.Zones) - 1; i >= 0; i-- { // the dearest zones first
		excess := in.Zones[i].Regular - out[i].regular
		if excess <= 0 {
			continue
		}
		dropped := min(excess, surplus)
		surplus -= dropped
		out[i].regular = min(in.Zones[i].Regular-dropped, in.Scaling.Most)
	}
	missing := p.enough(now) - there - coming
	for i, z := range in.Zones {
		given := z.Reclaimable + p.booting(now, in, Subject{in.Pool, z.Name, true}, z.Reclaimable)
		if !p.isDry(z.Name) && out[i].regular+given < in.Scaling.Most {
			return // reclaimable ones are to be had
		}
	}
	for i, z := range in.Zones {
		if missing <= 0 {
			return
		}
		room := in.Scaling.Most - max(out[i].regular, z.Regular) - z.Reclaimable
		add := max(0, min(room, missing))
		out[i].regular = max(out[i].regular, z.Regular) + add
		missing -= add
	}
}

// spread gives out n one after the other, to the places that still have room.
func spread(n int, out []target, place func(i int) (count *int, most int)) {
	for n > 0 {
		given := false
		for i := range out {
			count, most := place(i)
			if n > 0 && count != nil && *count < most {
				*count++
				n--
				given = true
			}
		}
		if !given {
			return
		}
	}
}

// booting is how many ordered servers may still come.
func (p *Planner) booting(now time.Time, in *Input, s Subject, seen int) int {
	o := p.orders[s]
	if o == nil || !o.accepted || now.Sub(o.at) > in.Scaling.Boot+bootSlack {
		return 0
	}
	return max(0, o.count-seen)
}

// order returns the order of a subject, if one is due.
func (p *Planner) order(now time.Time, in *Input, s Subject, want, seen int) []Order {
	o := p.orders[s]
	if o == nil {
		o = &sent{count: -1}
		p.orders[s] = o
	}
	if !p.due(now, in, s, o, want, seen) {
		return nil
	}
	return []Order{{s, want}}
}

func (p *Planner) due(now time.Time, in *Input, s Subject, o *sent, want, seen int) bool {
	if want >= seen || seen-want <= int(shrinkSlack*float64(want)) && want > 0 {
		o.highSince = time.Time{}
	} else if o.highSince.IsZero() {
		o.highSince = now
	}
	switch {
	case slices.ContainsFunc(p.standing, func(x Order) bool { return x.Subject == s }):
		return true
	case !o.accepted && now.Sub(o.at) < againAfter:
		return false
	case want > seen+p.booting(now, in, s, seen):
		return !s.Reclaimable || !now.Before(p.dry[s.Zone])
	case o.highSince.IsZero():
		return false
	case !s.Reclaimable && in.Scaling.ReclaimablePrice > 0:
		return now.Sub(o.at) >= replacePause
	}
	return now.Sub(o.highSince) >= shrinkAfter && now.Sub(o.at) >= shrinkPause
}

// Given notes that an order was given; accepted: it will be carried out.
func (p *Planner) Given(now time.Time, o Order, accepted bool) {
	s := p.orders[o.Subject]
	if s == nil {
		s = &sent{}
		p.orders[o.Subject] = s
	}
	s.count, s.at, s.accepted = o.Count, now, accepted
	s.highSince = time.Time{}
	if o.Reclaimable && accepted && o.Count > 0 {
		delete(p.dry, o.Zone)
	}
}

// Dry notes that a zone has no reclaimable servers.
func (p *Planner) Dry(now time.Time, zone string) { p.dry[zone] = now.Add(dryTime) }

// Status is what the planner goes by, for logs and metrics.
type Status struct {
	// Need is the highest need that was seen lately, Want how many servers there should be.
	Need float64
	Want int
}

// Status returns what the planner goes by.
func (p *Planner) Status(now time.Time) Status { return Status{p.need, p.want(now)} }
