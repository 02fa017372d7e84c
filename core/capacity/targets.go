package capacity

import (
	"math"
	"time"
)

// target is the number of servers of each kind that a zone should have.
type target struct{ regular, reclaimable int }

// targets returns the target of each zone.
func (p *Planner) targets(now time.Time, in *Input) []target {
	out := make([]target, len(in.Zones))
	want := max(p.wanted(now), in.Scaling.Min*len(in.Zones))
	if in.Scaling.ReclaimablePrice <= 0 {
		distribute(want, out, func(i int) (*int, int) { return &out[i].regular, in.Scaling.Max })
		p.limitCost(in, out)
		return out
	}
	regular := int(math.Ceil(p.policy.RegularShare * p.need))
	distribute(min(regular, want), out, func(i int) (*int, int) { return &out[i].regular, in.Scaling.Max })
	p.spreadReclaimable(in, want-regular, out)
	p.coverWithRegular(now, in, out)
	p.limitCost(in, out)
	return out
}

// limitCost lowers the targets until the cost is within the policy's bound, in the most
// expensive zones first and in each zone down to the minimum.
func (p *Planner) limitCost(in *Input, out []target) {
	if p.policy.MaxPrice <= 0 {
		return
	}
	cost := 0.0
	for i, z := range in.Zones {
		cost += in.Scaling.Price(Zone{Name: z.Name, Regular: out[i].regular, Reclaimable: out[i].reclaimable})
	}
	for i := len(out) - 1; i >= 0; i-- {
		price := in.Scaling.price(in.Zones[i].Name)
		lower := func(count *int, each float64) {
			for *count > 0 && cost > p.policy.MaxPrice && out[i].regular+out[i].reclaimable > in.Scaling.Min {
				*count--
				cost -= each
			}
		}
		lower(&out[i].regular, price)
		lower(&out[i].reclaimable, price*in.Scaling.ReclaimablePrice)
	}
}

// spreadReclaimable spreads reclaimable servers evenly over the zones. A zone that has
// refused them keeps its share as target and is asked again after a pause; meanwhile the
// other zones get its share.
func (p *Planner) spreadReclaimable(in *Input, want int, out []target) {
	each := (want + len(out) - 1) / len(out)
	for i, z := range in.Zones {
		if p.isUnavailable(z.Name) {
			out[i].reclaimable = max(z.Reclaimable, min(each, in.Scaling.Max-out[i].regular))
			want -= z.Reclaimable
		}
	}
	distribute(want, out, func(i int) (*int, int) {
		if p.isUnavailable(in.Zones[i].Name) {
			return nil, 0
		}
		return &out[i].reclaimable, in.Scaling.Max - out[i].regular
	})
}

// isUnavailable reports whether a zone has refused reclaimable servers and provided none
// since.
func (p *Planner) isUnavailable(zone string) bool {
	_, unavailable := p.unavailable[zone]
	return unavailable
}

// coverWithRegular keeps present regular servers while the reclaimable ones are too few,
// and adds regular ones if needed servers are neither present nor booting.
func (p *Planner) coverWithRegular(now time.Time, in *Input, out []target) {
	present, booting := 0, 0
	for _, z := range in.Zones {
		present += z.ready()
		booting += p.booting(now, in, ServerGroup{in.Pool, z.Name, false}, z.Regular)
		booting += p.booting(now, in, ServerGroup{in.Pool, z.Name, true}, z.Reclaimable)
	}
	// Needed servers stay; the others may be removed.
	surplus := max(0, present-p.requiredNow(now))
	for i := len(in.Zones) - 1; i >= 0; i-- { // the most expensive zones first
		excess := in.Zones[i].Regular - out[i].regular
		if excess <= 0 {
			continue
		}
		dropped := min(excess, surplus)
		surplus -= dropped
		out[i].regular = min(in.Zones[i].Regular-dropped, in.Scaling.Max)
	}
	missing := p.requiredNow(now) - present - booting
	for i, z := range in.Zones {
		reclaimable := z.Reclaimable + p.booting(now, in, ServerGroup{in.Pool, z.Name, true}, z.Reclaimable)
		if !p.isUnavailable(z.Name) && out[i].regular+reclaimable < in.Scaling.Max {
			return // reclaimable servers are available
		}
	}
	for i, z := range in.Zones {
		if missing <= 0 {
			return
		}
		room := in.Scaling.Max - max(out[i].regular, z.Regular) - z.Reclaimable
		add := max(0, min(room, missing))
		out[i].regular = max(out[i].regular, z.Regular) + add
		missing -= add
	}
}

// distribute adds n one by one, in turn, to the counts that are below their maximum.
func distribute(n int, out []target, place func(i int) (count *int, limit int)) {
	for n > 0 {
		added := false
		for i := range out {
			count, limit := place(i)
			if n > 0 && count != nil && *count < limit {
				*count++
				n--
				added = true
			}
		}
		if !added {
			return
		}
	}
}
