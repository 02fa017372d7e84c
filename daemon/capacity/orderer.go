// Package capacity orders backend servers from the provider.
package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/capacity"
	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/duties"
	"cardamomwick.example/daemon/provider"
)

// DutyName is the duty of ordering backend servers.
const DutyName = "servers"

// period is the time between two plans: an eighth of the shortest boot seen.
const period = 500 * time.Millisecond

// Options sets up an Orderer.
type Options struct {
	Policy   capacity.Policy
	Provider provider.Client
	// Declaration returns the one in force, nil before the first.
	Declaration func() *routing.Declaration
	// Servers returns the backend servers that are known, and whether that is up to date.
	Servers func() ([]fleet.Server, bool)
	// State is what the log holds of earlier orders.
	State func() state.Duties
	// Demands asks for what the entries know.
	Demands func(context.Context) ([]capacity.Demand, error)
}

// Orderer is the work of the duty.
type Orderer struct {
	opt Options

	term     uint64
	planned  time.Time
	planners map[string]*capacity.Planner
	reach    provider.Reach

	mu     sync.Mutex
	counts []Count
}

// New returns the work of the duty of ordering servers.
func New(o Options) *Orderer { return &Orderer{opt: o} }

// Do implements duties.Work.
func (o *Orderer) Do(ctx context.Context, t *duties.Tenure) {
	now := time.Now()
	if t.Term != o.term {
		o.term, o.planners = t.Term, map[string]*capacity.Planner{}
		o.reach.Begin(now)
	}
	if now.Sub(o.planned) < period {
		return
	}
	o.planned = now
	servers, fresh := o.opt.Servers()
	d := o.opt.Declaration()
	if d == nil || !fresh {
		return
	}
	needs := o.needs(ctx)
	var orders []capacity.Order
	var counts []Count
	for i := range d.Pools {
		pool := &d.Pools[i]
		if pool.Scaling == nil {
			continue
		}
		in := input(pool, servers, needs)
		p := o.planner(pool.Name)
		orders = append(orders, p.Next(now, in)...)
		counts = append(counts, countsOf(p.Status(now), &in)...)
	}
	o.mu.Lock()
	o.counts = counts
	o.mu.Unlock()
	if len(orders) > 0 {
		o.give(ctx, t, orders, needs)
	}
}

// needs asks for the servers that each pool needs.
func (o *Orderer) needs(ctx context.Context) map[string]capacity.Demand {
	out := map[string]capacity.Demand{}
	list, err := o.opt.Demands(ctx)
	if err != nil {
		log.WithError(eris.Cause(err)).WithField("step", "ask for demand").Debug("the plan goes on without")
	}
	for _, d := range list {
		out[d.Pool] = d
	}
	return out
}

func (o *Orderer) planner(pool string) *capacity.Planner {
	p := o.planners[pool]
	if p == nil {
		p = capacity.NewPlanner(o.opt.Policy, o.opt.State().Orders.Of(pool))
		o.planners[pool] = p
	}
	return p
}

// input is what a plan for a pool is made from.
func input(pool *routing.Pool, servers []fleet.Server, needs map[string]capacity.Demand) capacity.Input {
	in := capacity.Input{Pool: pool.Name, Scaling: *pool.Scaling, Need: -1}
	if d, known := needs[pool.Name]; known {
		in.Need = d.Servers()
	}
	at := map[string]int{}
	for _, s := range servers {
		if s.Pool != pool.Name {
			continue
		}
		i, known := at[s.Zone]
		if !known {
			i = len(in.Zones)
			at[s.Zone] = i
			in.Zones = append(in.Zones, capacity.Zone{Name: s.Zone})
		}
		z := &in.Zones[i]
		switch {
		case s.Reclaimable && s.Phase == fleet.Draining:
			z.ReclaimableLeaving++
		case s.Phase == fleet.Draining:
			z.RegularLeaving++
		case !s.AcceptsWork():
		case s.Reclaimable:
			z.Reclaimable++
		default:
			z.Regular++
		}
	}
	for zone := range pool.Scaling.ZonePrices {
		if _, known := at[zone]; !known {
			in.Zones = append(in.Zones, capacity.Zone{Name: zone})
		}
	}
	return in
}

// give sends orders: those of one zone one after the other, since a provider checks their
// fences together, those of several zones side by side.
func (o *Orderer) give(ctx context.Context, t *duties.Tenure, orders []capacity.Order, needs map[string]capacity.Demand) {
	type place struct{ pool, zone string }
	zones := map[place][]capacity.Order{}
	for _, x := range orders {
		at := place{x.Pool, x.Zone}
		zones[at] = append(zones[at], x)
	}
	var wait sync.WaitGroup
	results := make(chan result, len(orders))
	for _, list := range zones {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for _, x := range list {
				results <- o.order(ctx, t, x)
			}
		}()
	}
	wait.Wait()
	close(results)
	lost := false
	for r := range results {
		need := needs[r.order.Pool]
		lost = o.note(time.Now(), r, need) || lost
	}
	if lost {
		t.Release(ctx, provider.OutOfReach)
	}
}

// result is what became of an order.
type result struct {
	order   capacity.Order
	fence   uint64
	outcome provider.Outcome
}

func (o *Orderer) order(ctx context.Context, t *duties.Tenure, x capacity.Order) result {
	r := result{order: x, outcome: provider.Unreachable}
	res, err := t.Record(ctx, state.EffectCommand{Order: &x})
	if err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "record order", "pool": x.Pool, "zone": x.Zone}).Warn("not sent")
		return r
	}
	r.fence = res.Fence
	r.outcome = o.opt.Provider.Order(ctx, t, res.Fence, x)
	return r
}

// note takes the outcome of an order, and reports whether the provider is out of reach.
func (o *Orderer) note(now time.Time, r result, need capacity.Demand) (lost bool) {
	p := o.planner(r.order.Pool)
	p.RecordResult(now, r.order, r.outcome == provider.Accepted)
	if r.outcome == provider.Refused && r.order.Reclaimable {
		p.MarkUnavailable(now, r.order.Zone)
	}
	st := p.Status(now)
	log.WithFields(log.Fields{"step": "order servers", "pool": r.order.Pool, "zone": r.order.Zone, "reclaimable": r.order.Reclaimable,
		"count": r.order.Count, "fence": r.fence, "outcome": r.outcome, "want": st.Want, "need": st.Need, "short": need.Short, "long": need.Long,
		"running": need.Running}).Info("servers ordered")
	return o.reach.Note(now, r.outcome)
}

// Count is what the holder of the duty wants and sees in a zone, for metrics.
type Count struct {
	Pool, Zone           string
	Want                 int
	Regular, Reclaimable int
	// Price is what the servers cost, in regular servers of a zone with price 1.
	Price float64
}

func countsOf(st capacity.Status, in *capacity.Input) []Count {
	var out []Count
	for _, z := range in.Zones {
		out = append(out, Count{Pool: in.Pool, Zone: z.Name, Want: st.Want, Regular: z.Regular, Reclaimable: z.Reclaimable, Price: in.Scaling.Price(z)})
	}
	return out
}

// Counts returns what the last plan wanted and saw.
func (o *Orderer) Counts() []Count {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}
