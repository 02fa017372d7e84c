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

// DutyName is the name of the duty to order backend servers.
const DutyName = "servers"

// planInterval is the time between two plans: an eighth of the shortest boot time seen.
const planInterval = 500 * time.Millisecond

// Options configures an Orderer.
type Options struct {
	Policy   capacity.Policy
	Provider provider.Client
	// Declaration returns the declaration in force, nil before the first one.
	Declaration func() *routing.Declaration
	// Servers returns the known backend servers, and whether the list is up to date.
	Servers func() ([]fleet.Server, bool)
	// State returns the replicated state of the duties, which includes earlier orders.
	State func() state.Duties
	// Demands requests the demand reported by the entries.
	Demands func(context.Context) ([]capacity.Demand, error)
}

// Orderer implements the duty: it plans the servers of each pool and orders them.
type Orderer struct {
	opt Options

	term         uint64
	lastPlan     time.Time
	planners     map[string]*capacity.Planner
	reachability provider.Reachability

	mu     sync.Mutex
	counts []ZoneCounts
}

// New returns an orderer that has planned nothing.
func New(o Options) *Orderer { return &Orderer{opt: o} }

// Do implements duties.Work.
func (o *Orderer) Do(ctx context.Context, t *duties.Tenure) {
	now := time.Now()
	if t.Term != o.term {
		o.term, o.planners = t.Term, map[string]*capacity.Planner{}
		o.reachability.Reset(now)
	}
	if now.Sub(o.lastPlan) < planInterval {
		return
	}
	o.lastPlan = now
	servers, fresh := o.opt.Servers()
	d := o.opt.Declaration()
	if d == nil || !fresh {
		return
	}
	demands := o.demands(ctx)
	var orders []capacity.Order
	var counts []ZoneCounts
	for i := range d.Pools {
		pool := &d.Pools[i]
		if pool.Scaling == nil {
			continue
		}
		in := planInput(pool, servers, demands)
		p := o.planner(pool.Name)
		orders = append(orders, p.Next(now, in)...)
		counts = append(counts, zoneCounts(p.Status(now), &in)...)
	}
	o.mu.Lock()
	o.counts = counts
	o.mu.Unlock()
	if len(orders) > 0 {
		o.sendOrders(ctx, t, orders, demands)
	}
}

// demands returns the reported demand by pool.
func (o *Orderer) demands(ctx context.Context) map[string]capacity.Demand {
	out := map[string]capacity.Demand{}
	list, err := o.opt.Demands(ctx)
	if err != nil {
		log.WithError(eris.Cause(err)).WithField("step", "request demand").Debug("planning without the demand")
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

// planInput returns the planner's input for a pool.
func planInput(pool *routing.Pool, servers []fleet.Server, demands map[string]capacity.Demand) capacity.Input {
	in := capacity.Input{Pool: pool.Name, Scaling: *pool.Scaling, Need: -1}
	if d, known := demands[pool.Name]; known {
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

// sendOrders sends orders: sequentially for one zone of a pool, since a provider checks
// their fencing tokens together, and concurrently otherwise.
func (o *Orderer) sendOrders(ctx context.Context, t *duties.Tenure, orders []capacity.Order, demands map[string]capacity.Demand) {
	type poolZone struct{ pool, zone string }
	zones := map[poolZone][]capacity.Order{}
	for _, x := range orders {
		at := poolZone{x.Pool, x.Zone}
		zones[at] = append(zones[at], x)
	}
	var wait sync.WaitGroup
	results := make(chan result, len(orders))
	for _, list := range zones {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for _, x := range list {
				results <- o.send(ctx, t, x)
			}
		}()
	}
	wait.Wait()
	close(results)
	unreachable := false
	for r := range results {
		demand := demands[r.order.Pool]
		unreachable = o.recordResult(time.Now(), r, demand) || unreachable
	}
	if unreachable {
		t.Release(ctx, provider.ReasonUnreachable)
	}
}

// result is the result of an order.
type result struct {
	order   capacity.Order
	fence   uint64
	outcome provider.Outcome
}

// send records an order in the log and sends it to the provider.
func (o *Orderer) send(ctx context.Context, t *duties.Tenure, x capacity.Order) result {
	r := result{order: x, outcome: provider.Unreachable}
	res, err := t.Record(ctx, state.EffectCommand{Order: &x})
	if err != nil {
		log.WithError(eris.Cause(err)).WithFields(log.Fields{"step": "record order", "pool": x.Pool, "zone": x.Zone}).Warn("order not sent")
		return r
	}
	r.fence = res.Fence
	r.outcome = o.opt.Provider.Order(ctx, t, res.Fence, x)
	return r
}

// recordResult processes the result of an order, and reports whether the provider has been
// unreachable for too long.
func (o *Orderer) recordResult(now time.Time, r result, demand capacity.Demand) (unreachable bool) {
	p := o.planner(r.order.Pool)
	p.RecordResult(now, r.order, r.outcome == provider.Accepted)
	if r.outcome == provider.Refused && r.order.Reclaimable {
		p.MarkUnavailable(now, r.order.Zone)
	}
	st := p.Status(now)
	log.WithFields(log.Fields{"step": "order servers", "pool": r.order.Pool, "zone": r.order.Zone, "reclaimable": r.order.Reclaimable,
		"count": r.order.Count, "fence": r.fence, "outcome": r.outcome, "want": st.Want, "need": st.Need, "short": demand.Short, "long": demand.Long,
		"running": demand.Running}).Info("servers ordered")
	return o.reachability.Record(now, r.outcome)
}

// ZoneCounts holds the wanted and present servers in a zone as of the last plan, for
// metrics.
type ZoneCounts struct {
	Pool, Zone           string
	Want                 int
	Regular, Reclaimable int
	// Price is the cost of the servers in units of a regular server in a zone with price 1.
	Price float64
}

func zoneCounts(st capacity.Status, in *capacity.Input) []ZoneCounts {
	var out []ZoneCounts
	for _, z := range in.Zones {
		out = append(out, ZoneCounts{Pool: in.Pool, Zone: z.Name, Want: st.Want, Regular: z.Regular, Reclaimable: z.Reclaimable, Price: in.Scaling.Price(z)})
	}
	return out
}

// Counts returns the wanted and present servers by zone as of the last plan.
func (o *Orderer) Counts() []ZoneCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}
