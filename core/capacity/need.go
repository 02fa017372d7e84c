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
		return 2 // the other half is to be regular ones by the time they are needed
	}
	return zones / (zones - 1)
}

// note takes what is seen.
func (p *Planner) note(now time.Time, in *Input) {
	for _, z := range in.Zones {
		if z.ReclaimableLeaving > p.leaving[z.Name] {
			// What was ordered is being taken away.
			if o := p.orders[Subject{in.Pool, z.Name, true}]; o != nil && o.count > z.Reclaimable {
				o.at = time.Time{}
			}
		}
		p.leaving[z.Name] = z.ReclaimableLeaving
	}
	p.noteFirst(now, in)
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

// noteFirst notes how many servers there are that this planner has not ordered, until the
// ordered ones take over; they announce themselves one after the other.
func (p *Planner) noteFirst(now time.Time, in *Input) {
	regular, reclaimable := 0, 0
	for _, z := range in.Zones {
		regular += z.Regular
		reclaimable += z.Reclaimable
	}
	if p.since.IsZero() {
		p.since = now
	}
	// Without any server for so long there are none, not only none that is known.
	known := regular+reclaimable > 0 || p.successor || now.Sub(p.since) >= in.Scaling.Boot
	if p.begun.IsZero() && known {
		p.begun, p.foundReclaimable = now, reclaimable
	}
	if p.begun.IsZero() || now.Sub(p.begun) >= in.Scaling.Boot {
		return
	}
	if !p.successor {
		p.first = max(p.first, regular+p.foundReclaimable)
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
