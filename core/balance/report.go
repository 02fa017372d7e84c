package balance

import "time"

// Report is what an instance tells the others.
type Report struct {
	// Name is the sender's; the one with the first name moves the boundaries.
	Name  string          `msgpack:"n"`
	Loads map[string]Load `msgpack:"l,omitempty"`
	Sides map[string]Side `msgpack:"s,omitempty"`
	// Paces are the times between two events by engine, in microseconds;
	// left out in most reports.
	Paces map[string]uint32 `msgpack:"p,omitempty"`
}

// Side is a pool's arriving work at one instance, in prompt tokens per second,
// and where the sender has the boundary.
type Side struct {
	Long  float64 `msgpack:"l"`
	Short float64 `msgpack:"s"`
	// Share is the part of the engines that long prompts get, Engines are these.
	Share   float64  `msgpack:"b"`
	Engines []string `msgpack:"e,omitempty"`
}

type peer struct {
	at    time.Time
	loads map[string]Load
	sides map[string]Side
	paces map[string]uint32
}

func (p *peer) fresh(now time.Time) bool { return now.Sub(p.at) < peerTime }

// pacesPeriod is how often paces are reported: they hardly change.
const pacesPeriod = 2 * time.Second

// Report returns this instance's counts for the others.
func (b *Balancer) Report(now time.Time) Report {
	r := Report{Name: b.name, Loads: map[string]Load{}, Sides: map[string]Side{}}
	for id, s := range b.servers {
		if s.own != (Load{}) {
			r.Loads[id] = s.own
		}
	}
	for name, p := range b.pools {
		if p.memory == 0 {
			continue
		}
		engines := b.longSide(now, name)
		side := Side{Long: p.sides.long.rate(now), Short: p.sides.short.rate(now), Share: p.sides.share}
		if b.first(now) {
			side.Engines = engines
		}
		r.Sides[name] = side
	}
	if now.Sub(b.reportedPaces) >= pacesPeriod {
		b.reportedPaces = now
		r.Paces = map[string]uint32{}
		for id, s := range b.servers {
			if s.pace.perEvent > 0 {
				r.Paces[id] = uint32(s.pace.perEvent.Microseconds())
			}
		}
	}
	return r
}

// first reports whether this instance moves the boundaries.
func (b *Balancer) first(now time.Time) bool {
	for name, p := range b.peers {
		if p.fresh(now) && name < b.name {
			return false
		}
	}
	return true
}

// TakeReport takes another instance's counts.
func (b *Balancer) TakeReport(now time.Time, r Report) {
	p := &peer{at: now, loads: r.Loads, sides: r.Sides, paces: r.Paces}
	if old := b.peers[r.Name]; old != nil && p.paces == nil {
		p.paces = old.paces
	}
	b.peers[r.Name] = p
}

// Forget drops counts of instances that are silent.
func (b *Balancer) Forget(now time.Time) {
	for name, p := range b.peers {
		if !p.fresh(now) {
			delete(b.peers, name)
		}
	}
}
