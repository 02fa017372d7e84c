package capacity

import (
	"math"
	"time"
)

// target is how many servers a zone should have.
type target struct{ regular, reclaimable int }

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
