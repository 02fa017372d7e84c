package capacity

import (
	"math"
	"time"
)

func zoneLoss(in *Input) float64 {
	zones := float64(len(in.Zones))
	switch {
	case in.Scaling.ReclaimablePrice <= 0:
		return 1
	case zones < 2:
		return 2 // the other half is to be regular servers by the time they are needed
	}
	return zones / (zones - 1)
}

// observe updates the planner's state from the input.
func (p *Planner) observe(now time.Time, in *Input) {
	for _, z := range in.Zones {
		if z.ReclaimableLeaving > p.leaving[z.Name] {
			// The provider is reclaiming ordered servers. They no longer count as
			// booting, so that the order may be repeated immediately.
			if o := p.orders[ServerGroup{in.Pool, z.Name, true}]; o != nil && o.count > z.Reclaimable {
				o.at = time.Time{}
			}
		}
		p.leaving[z.Name] = z.ReclaimableLeaving
	}
	p.observeInitial(now, in)
	if in.Need < 0 {
		return
	}
	if in.Need > 0 && p.needKnown.IsZero() {
		p.needKnown = now
	}
	if !p.needAt.IsZero() {
		p.need *= decay(now.Sub(p.needAt), needDecay)
		p.presentNeed *= decay(now.Sub(p.needAt), presentNeedDecay)
	}
	p.need, p.presentNeed, p.needAt = max(p.need, in.Need), max(p.presentNeed, in.Need), now
}

// observeInitial determines the number of servers that this planner has not ordered,
// until ordered ones take their place. Servers announce themselves one after the other.
func (p *Planner) observeInitial(now time.Time, in *Input) {
	regular, reclaimable := 0, 0
	for _, z := range in.Zones {
		regular += z.Regular
		reclaimable += z.Reclaimable
	}
	if p.started.IsZero() {
		p.started = now
	}
	// If no server was seen for the boot time, there are none; before that, they may
	// only be unknown.
	known := regular+reclaimable > 0 || p.successor || now.Sub(p.started) >= in.Scaling.BootTime
	if p.firstPlan.IsZero() && known {
		p.firstPlan, p.initialReclaimable = now, reclaimable
	}
	if p.firstPlan.IsZero() || now.Sub(p.firstPlan) >= in.Scaling.BootTime {
		return
	}
	if !p.successor {
		p.initial = max(p.initial, regular+p.initialReclaimable)
		return
	}
	ordered := 0
	for _, o := range p.previous {
		ordered += o.Count
	}
	p.initial = max(p.initial, int(math.Ceil(float64(ordered)/p.zoneLoss)))
}

func decay(d, constant time.Duration) float64 { return math.Exp(-d.Seconds() / constant.Seconds()) }

// learning reports whether the need has been known for too short a time to rely on it
// alone.
func (p *Planner) learning(now time.Time) bool {
	return p.needKnown.IsZero() || now.Sub(p.needKnown) < learningTime
}

// requiredNow returns how many servers must be present now.
func (p *Planner) requiredNow(now time.Time) int {
	required := requiredShare * p.presentNeed
	if p.learning(now) {
		required = max(required, float64(p.initial))
	}
	return int(math.Ceil(required))
}

// wanted returns how many servers there should be in total.
func (p *Planner) wanted(now time.Time) int {
	need := p.need
	if p.learning(now) {
		factor := 1.0
		if p.zoneLoss > 1 && !p.successor {
			factor = initialNeedFactor
		}
		need = max(need, factor*float64(p.initial))
	}
	return int(math.Ceil(p.policy.Reserve * need * p.zoneLoss))
}
