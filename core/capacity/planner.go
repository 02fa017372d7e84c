package capacity

import (
	"slices"
	"time"
)

// Policy determines how many servers to keep for a demand.
type Policy struct {
	// Reserve is the ratio of available to needed servers that must remain after the
	// loss of one zone.
	Reserve float64
	// RegularShare is the part of the needed servers that must not be reclaimable.
	RegularShare float64
	// MaxPrice bounds the cost of all servers of a pool, in regular servers of a zone
	// with price 1; zero for no bound.
	MaxPrice float64
}

// Parameters of the planner.
const (
	// needDecay is the time constant with which the highest observed need decays: bursts
	// recur, and reclaimable servers kept for the next one cost little.
	needDecay = 60 * time.Second
	// presentNeedDecay is the time constant of the present need, which determines how
	// many regular servers are kept until reclaimable ones replace them.
	presentNeedDecay = 8 * time.Second
	// initialNeedFactor is the assumed ratio of needed to initial servers until the need
	// is known: an immediate burst can't be foreseen, and reclaimable servers cost
	// little for that time.
	initialNeedFactor = 4.0 / 3
	// learningTime is how long the need must be known before the number of servers may
	// fall below the initial one. Until then the operator's choice stands.
	learningTime = 10 * time.Second
	// bootMargin is added to the announced boot time before an ordered server counts as
	// missing. It covers a heartbeat and the provider's response.
	bootMargin = 2 * time.Second
	// unavailableRetry is the pause before reclaimable servers are ordered again in a
	// zone that has refused them: a quarter of a server's boot time.
	unavailableRetry = time.Second
	// orderRetry is the pause before an order that was not accepted is retried.
	orderRetry = 500 * time.Millisecond
	// shrinkDelay is how long there must have been too many servers before their number
	// is lowered, and shrinkInterval the minimum time between two such orders for one
	// group: cached prompt prefixes are lost with each server.
	shrinkDelay    = 6 * time.Second
	shrinkInterval = 4 * time.Second
	// maxDecrease bounds by how much one order lowers a number. Each departing server is
	// an entry of the replicated log before it is acknowledged; with hundreds in one
	// order the acknowledgements took seconds.
	maxDecrease = 32
	// replaceInterval is the minimum time between two decreases of regular servers that
	// others have replaced: the time a departing server takes to announce it.
	replaceInterval = 1500 * time.Millisecond
	// shrinkTolerance is the fraction by which a number may stay too high.
	shrinkTolerance = 0.15
	// requiredShare is the ratio of present or booting servers to needed ones. Below it,
	// regular servers are ordered where reclaimable ones are unavailable.
	requiredShare = 1.15
)

// Planner decides which servers to order for one pool. It relies on the servers that
// announce themselves; its own orders only tell which servers may be booting. Not safe
// for concurrent use.
type Planner struct {
	policy Policy
	// initial is the number of servers before any was ordered. After a change of the
	// duty's holder it is the number that the previous orders leave after the loss of a
	// zone.
	initial int
	// previous holds the orders of the previous holder. They are sent again once, which
	// makes the provider reject orders of that holder that are still in transit.
	// successor is set if there were any.
	previous  Orders
	successor bool
	// leaving is the last seen number of departing servers of each zone.
	leaving map[string]int
	// need decays from the highest observed need; needKnown is when it was first known.
	need        float64
	presentNeed float64
	needAt      time.Time
	needKnown   time.Time
	orders      map[ServerGroup]*orderState
	// unavailable holds the end of the retry pause of each zone that has refused
	// reclaimable servers. The entry stays until the zone provides some.
	unavailable map[string]time.Time
	// started is when the planner was first called.
	started time.Time
	// firstPlan is the time of the first plan, initialReclaimable the number of
	// reclaimable servers then.
	firstPlan          time.Time
	initialReclaimable int
	// zoneLoss is the ratio of servers to order to servers needed, so that enough remain
	// when one zone loses all its reclaimable servers.
	zoneLoss float64
}

// orderState is the state of the last order for a server group.
type orderState struct {
	count int
	at    time.Time
	// accepted is set if the provider will execute the order.
	accepted bool
	// highSince is when the group first had too many servers; zero if it has not.
	highSince time.Time
}

// NewPlanner returns a planner that has not ordered anything yet; previous holds the
// orders of earlier holders of the duty.
func NewPlanner(p Policy, previous Orders) *Planner {
	return &Planner{policy: p, previous: previous, successor: len(previous) > 0, leaving: map[string]int{}, orders: map[ServerGroup]*orderState{}, unavailable: map[string]time.Time{}}
}

// Next returns the orders to send now.
func (p *Planner) Next(now time.Time, in Input) []Order {
	if len(in.Zones) == 0 || in.Scaling.Max <= 0 {
		return nil
	}
	slices.SortFunc(in.Zones, func(a, b Zone) int { return compareZones(&in.Scaling, a.Name, b.Name) })
	p.zoneLoss = zoneLoss(&in)
	p.observe(now, &in)
	if p.firstPlan.IsZero() {
		return nil // the existing servers are not known yet
	}
	targets := p.targets(now, &in)
	var out []Order
	for i, z := range in.Zones {
		out = append(out, p.zoneOrders(now, &in, z, targets[i])...)
	}
	p.previous = nil
	return out
}

// zoneOrders returns the orders for a zone, decreases first. The limit on both kinds
// together applies to the ordered numbers, not to the present servers.
func (p *Planner) zoneOrders(now time.Time, in *Input, z Zone, t target) []Order {
	regular, reclaimable := ServerGroup{in.Pool, z.Name, false}, ServerGroup{in.Pool, z.Name, true}
	before := p.ordered(regular, z.Regular)
	first := p.order(now, in, regular, t.regular, z.Regular)
	if in.Scaling.ReclaimablePrice <= 0 {
		return first
	}
	others := before
	if len(first) > 0 {
		others = t.regular
	}
	t.reclaimable = max(0, min(t.reclaimable, in.Scaling.Max-others))
	second := p.order(now, in, reclaimable, t.reclaimable, z.Reclaimable)
	if t.regular > before {
		first, second = second, first
	}
	return append(first, second...)
}

// ordered returns the last accepted number for a server group, or the number seen.
func (p *Planner) ordered(s ServerGroup, seen int) int {
	if o := p.orders[s]; o != nil && o.accepted {
		return o.count
	}
	return seen
}

// booting returns how many ordered servers may still be booting.
func (p *Planner) booting(now time.Time, in *Input, s ServerGroup, seen int) int {
	o := p.orders[s]
	if o == nil || !o.accepted || now.Sub(o.at) > in.Scaling.BootTime+bootMargin {
		return 0
	}
	return max(0, o.count-seen)
}

// order returns the order for a server group if one is due.
func (p *Planner) order(now time.Time, in *Input, s ServerGroup, want, seen int) []Order {
	o := p.orders[s]
	if o == nil {
		o = &orderState{count: -1}
		p.orders[s] = o
	}
	if !p.due(now, in, s, o, want, seen) {
		return nil
	}
	return []Order{{s, max(want, seen-maxDecrease)}}
}

func (p *Planner) due(now time.Time, in *Input, s ServerGroup, o *orderState, want, seen int) bool {
	if want >= seen || seen-want <= int(shrinkTolerance*float64(want)) && want > 0 {
		o.highSince = time.Time{}
	} else if o.highSince.IsZero() {
		o.highSince = now
	}
	switch {
	case slices.ContainsFunc(p.previous, func(x Order) bool { return x.ServerGroup == s }):
		return true
	case !o.accepted && now.Sub(o.at) < orderRetry:
		return false
	case want > seen+p.booting(now, in, s, seen):
		return !s.Reclaimable || !now.Before(p.unavailable[s.Zone])
	case o.highSince.IsZero():
		return false
	case !s.Reclaimable && in.Scaling.ReclaimablePrice > 0:
		return now.Sub(o.at) >= replaceInterval
	}
	return now.Sub(o.highSince) >= shrinkDelay && now.Sub(o.at) >= shrinkInterval
}

// RecordResult records that an order was sent and whether the provider accepted it.
func (p *Planner) RecordResult(now time.Time, o Order, accepted bool) {
	s := p.orders[o.ServerGroup]
	if s == nil {
		s = &orderState{}
		p.orders[o.ServerGroup] = s
	}
	s.count, s.at, s.accepted = o.Count, now, accepted
	s.highSince = time.Time{}
	if o.Reclaimable && accepted && o.Count > 0 {
		delete(p.unavailable, o.Zone)
	}
}

// MarkUnavailable records that a zone has no reclaimable servers.
func (p *Planner) MarkUnavailable(now time.Time, zone string) {
	p.unavailable[zone] = now.Add(unavailableRetry)
}

// Status is the planner's state for logs and metrics.
type Status struct {
	// Need is the recent highest need, Want the number of servers there should be.
	Need float64
	Want int
}

// Status returns the planner's state.
func (p *Planner) Status(now time.Time) Status { return Status{p.need, p.wanted(now)} }
