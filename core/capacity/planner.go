package capacity

import (
	"slices"
	"time"
)

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
	// mostLowered bounds by how much one order lowers a number: each server that leaves is
	// an entry of the replicated log before it is acknowledged, and hundreds at once were
	// acknowledged seconds late.
	mostLowered = 32
	// replacePause is the pause where others have come in their place: the time in which a
	// server that leaves says so.
	replacePause = 1500 * time.Millisecond
	// shrinkSlack is the part of a number by which it may be too high for good.
	shrinkSlack = 0.15
	// enoughShare of the needed servers must be there or on the way; regular ones are
	// ordered where reclaimable ones are not to be had.
	enoughShare = 1.15
)

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
	// since is when the planner was first asked.
	since time.Time
	// begun is when the first plan was made, foundReclaimable how many reclaimable servers
	// there were then.
	begun            time.Time
	foundReclaimable int
	// zoneLoss is how many times the servers there must be so that enough are left when a
	// zone has lost all of its reclaimable ones.
	zoneLoss float64
}

// sent is the last order of a subject.
type sent struct {
	count int
	at    time.Time
	// accepted: the provider will carry it out.
	accepted bool
	// highSince is when the subject's servers were first too many; zero otherwise.
	highSince time.Time
}

// NewPlanner returns a planner that has ordered nothing itself; standing are the orders of
// earlier holders of the duty.
func NewPlanner(p Policy, standing Orders) *Planner {
	return &Planner{policy: p, standing: standing, successor: len(standing) > 0, leaving: map[string]int{}, orders: map[Subject]*sent{}, dry: map[string]time.Time{}}
}

// Next returns the orders to give now.
func (p *Planner) Next(now time.Time, in Input) []Order {
	if len(in.Zones) == 0 || in.Scaling.Most <= 0 {
		return nil
	}
	slices.SortFunc(in.Zones, func(a, b Zone) int { return compareZones(&in.Scaling, a.Name, b.Name) })
	p.zoneLoss = zoneLoss(&in)
	p.note(now, &in)
	if p.begun.IsZero() {
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
	return []Order{{s, max(want, seen-mostLowered)}}
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
