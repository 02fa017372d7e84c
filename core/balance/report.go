package balance

import "time"

// Report is what an instance tells the others.
type Report struct {
	// Name is the sender's; the one with the first name moves the boundaries.
	Name  string          `msgpack:"n"`
	Loads map[string]Load `msgpack:"l,omitempty"`
	Sides map[string]Side `msgpack:"s,omitempty"`
}

// Side is a pool's arriving work at one instance, in prompt tokens per second,
// and where the sender stands on the boundary.
type Side struct {
	Long  float64 `msgpack:"l"`
	Short float64 `msgpack:"s"`
	// Share is the part of the engines that long prompts get.
	Share float64 `msgpack:"b"`
}

type peer struct {
	at    time.Time
	loads map[string]Load
	sides map[string]Side
}

func (p *peer) fresh(now time.Time) bool { return now.Sub(p.at) < peerTime }

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
		r.Sides[name] = Side{p.sides.long.rate(now), p.sides.short.rate(now), b.longShare(now, name)}
	}
	return r
}

// TakeReport takes another instance's counts.
func (b *Balancer) TakeReport(now time.Time, r Report) {
	b.peers[r.Name] = &peer{at: now, loads: r.Loads, sides: r.Sides}
}

// Forget drops counts of instances that are silent.
func (b *Balancer) Forget(now time.Time) {
	for name, p := range b.peers {
		if !p.fresh(now) {
			delete(b.peers, name)
		}
	}
}
