package balance

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Report is what one instance, or several together, tell others: counts that
// placement adds to its own.
type Report struct {
	// Name is the sender's.
	Name string `msgpack:"n"`
	// Answer: the report holds all that the receiver does not know by itself, and
	// replaces whatever it had from others.
	Answer bool             `msgpack:"a,omitempty"`
	Loads  map[string]Load  `msgpack:"l,omitempty"`
	Rates  map[string]Rates `msgpack:"r,omitempty"`
	// Decides: the sender moves the boundaries.
	Decides bool `msgpack:"d,omitempty"`
	// Boundaries are where the sender has each pool's sides; left out by members and
	// by those that have just started.
	Boundaries map[string]Boundary `msgpack:"b,omitempty"`
	// Uses are the shared parts that calls were given to an engine with lately.
	Uses map[string][]partKey `msgpack:"u,omitempty"`
	// Paces are the times between two events by engine; left out in most reports.
	Paces map[string]Pace `msgpack:"p,omitempty"`
}

const (
	// loadCounts is how many counts a Load has on the wire.
	loadCounts = 5
	// memoryUnit is the unit of Memory on the wire, in tokens: engines hand out their
	// memory in blocks of 16, and up to a million tokens take two bytes less so.
	memoryUnit = 16
)

// EncodeMsgpack writes the counts without names: reports of many servers
// go out ten times a second.
func (l Load) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(loadCounts); err != nil {
		return err
	}
	return e.EncodeMulti(l.Running, l.Unread, l.Memory/memoryUnit, l.Sensitive, l.Long)
}

// DecodeMsgpack reads what EncodeMsgpack writes.
func (l *Load) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != loadCounts {
		return fmt.Errorf("a load has %d counts, not %d", n, loadCounts)
	}
	err = d.DecodeMulti(&l.Running, &l.Unread, &l.Memory, &l.Sensitive, &l.Long)
	l.Memory *= memoryUnit
	return err
}

// Rates is the work that arrives for a pool, in prompt tokens per second.
type Rates struct {
	Long  float64 `msgpack:"l"`
	Short float64 `msgpack:"s"`
	// Reading is the speed at which the pool's engines were seen to read.
	Reading Reading `msgpack:"r"`
}

func (r *Rates) add(x Rates) {
	r.Long += x.Long
	r.Short += x.Short
	r.Reading.add(x.Reading)
}

// Boundary is a decision on the sides of a pool.
type Boundary struct {
	// Share is the part of the engines that long prompts get, Engines are these.
	Share   float64  `msgpack:"s"`
	Engines []string `msgpack:"e"`
}

// Pace is the sum of the times between two events that Instances have measured
// at one engine.
type Pace struct {
	Microseconds uint32 `msgpack:"u"`
	Instances    uint32 `msgpack:"i"`
}

func (p *Pace) add(x Pace) {
	p.Microseconds += x.Microseconds
	p.Instances += x.Instances
}

// peer is what was last heard of another instance.
type peer struct {
	Report
	at time.Time
	// member: the peer reports to this instance, which answers for it.
	member bool
	// answeredPaces is when the member was last told the paces.
	answeredPaces time.Time
}

func (p *peer) fresh(now time.Time) bool { return now.Sub(p.at) < peerTime }

// pacesPeriod is how often paces are reported: they hardly change.
const pacesPeriod = 2 * time.Second

// Own returns this instance's counts, for its collector.
func (b *Balancer) Own(now time.Time) Report {
	b.begun(now)
	r := b.newReport(due(&b.reportedPaces, now))
	b.addOwn(now, &r)
	return r
}

// Sum returns the counts of this instance and of those that report to it, for
// other collectors.
func (b *Balancer) Sum(now time.Time) Report {
	b.begun(now)
	r := b.newReport(due(&b.reportedPaces, now))
	b.addOwn(now, &r)
	for _, p := range b.peers {
		if p.member && p.fresh(now) {
			r.add(&p.Report)
		}
	}
	r.Boundaries = b.boundaries(now)
	r.Decides = b.decider(now) == nil && len(r.Boundaries) > 0
	return r
}

// AnswerTo returns what everyone but the named member has, and the boundaries
// that this instance goes by. Call it after TakeMember.
func (b *Balancer) AnswerTo(now time.Time, member string) Report {
	r := b.newReport(due(&b.peers[member].answeredPaces, now))
	r.Answer = true
	b.addOwn(now, &r)
	for name, p := range b.peers {
		if name != member && p.fresh(now) {
			r.add(&p.Report)
		}
	}
	r.Boundaries = b.boundaries(now)
	return r
}

func (b *Balancer) begun(now time.Time) {
	if b.since.IsZero() {
		b.since = now
	}
}

// due reports whether paces are to be told again, and notes it.
func due(last *time.Time, now time.Time) bool {
	if now.Sub(*last) < pacesPeriod {
		return false
	}
	*last = now
	return true
}

func (b *Balancer) newReport(withPaces bool) Report {
	r := Report{Name: b.name, Loads: map[string]Load{}, Rates: map[string]Rates{}}
	if withPaces {
		r.Paces = map[string]Pace{}
	}
	return r
}

func (b *Balancer) addOwn(now time.Time, r *Report) {
	for id, s := range b.servers {
		if s.own != (Load{}) {
			r.addLoad(id, s.own)
		}
		if recent := s.parts.recent(now); len(recent) > 0 {
			r.addUses(id, recent)
		}
		if s.pace.perEvent > 0 {
			r.addPace(id, Pace{uint32(s.pace.perEvent.Microseconds()), 1})
		}
	}
	for name, p := range b.pools {
		if p.memory > 0 {
			r.addRates(name, Rates{Long: p.sides.long.rate(now), Short: p.sides.short.rate(now), Reading: p.speed.own})
		}
	}
}

func (r *Report) add(x *Report) {
	for id, l := range x.Loads {
		r.addLoad(id, l)
	}
	for pool, rates := range x.Rates {
		r.addRates(pool, rates)
	}
	for id, uses := range x.Uses {
		r.addUses(id, uses)
	}
	for id, pace := range x.Paces {
		r.addPace(id, pace)
	}
}

func (r *Report) addUses(id string, x []partKey) {
	if r.Uses == nil {
		r.Uses = map[string][]partKey{}
	}
	r.Uses[id] = append(r.Uses[id], x...)
}

func (r *Report) addLoad(id string, x Load) {
	sum := r.Loads[id]
	sum.add(x)
	r.Loads[id] = sum
}

func (r *Report) addRates(pool string, x Rates) {
	sum := r.Rates[pool]
	sum.add(x)
	r.Rates[pool] = sum
}

// addPace does nothing in a report without paces.
func (r *Report) addPace(id string, x Pace) {
	if r.Paces == nil {
		return
	}
	sum := r.Paces[id]
	sum.add(x)
	r.Paces[id] = sum
}

func (b *Balancer) boundaries(now time.Time) map[string]Boundary {
	out := map[string]Boundary{}
	for name, p := range b.pools {
		if p.memory == 0 {
			continue
		}
		if engines := b.longSide(now, name); p.sides.settled(now) {
			out[name] = Boundary{Engines: engines, Share: p.sides.share}
		}
	}
	return out
}

// TakeMember takes the counts of an instance that this one answers.
func (b *Balancer) TakeMember(now time.Time, r Report) { b.take(now, r, true) }

// TakeSum takes a collector's sum, or its answer.
func (b *Balancer) TakeSum(now time.Time, r Report) {
	if r.Answer {
		for name := range b.peers {
			if name != r.Name {
				delete(b.peers, name)
			}
		}
	}
	b.take(now, r, false)
}

func (b *Balancer) take(now time.Time, r Report, member bool) {
	p := &peer{Report: r, at: now, member: member}
	if old := b.peers[r.Name]; old != nil {
		p.answeredPaces = old.answeredPaces
		if r.Paces == nil {
			p.Paces = old.Paces
		}
	}
	b.peers[r.Name] = p
	for id, uses := range r.Uses {
		if s := b.servers[id]; s != nil {
			for _, part := range uses {
				s.parts.use(now, part)
			}
		}
	}
	b.countOthers(now)
	b.begin(now, r.Boundaries)
}

// begin takes over the boundaries of others while this instance has only its
// own usual beginning.
func (b *Balancer) begin(now time.Time, held map[string]Boundary) {
	for name, x := range held {
		if p := b.pool(name); !p.sides.settled(now) {
			p.sides.take(x)
		}
	}
}

// Collects reports whether other instances report to this one.
func (b *Balancer) Collects(now time.Time) bool {
	for _, p := range b.peers {
		if p.member && p.fresh(now) {
			return true
		}
	}
	return false
}

// Forget drops counts of instances that are silent.
func (b *Balancer) Forget(now time.Time) {
	before := len(b.peers)
	for name, p := range b.peers {
		if !p.fresh(now) {
			delete(b.peers, name)
		}
	}
	if len(b.peers) != before {
		b.countOthers(now)
	}
}

// countOthers adds up what all others have at each server and have seen of each
// pool, once for many placements.
func (b *Balancer) countOthers(now time.Time) {
	for _, s := range b.servers {
		s.others = Load{}
	}
	for _, p := range b.pools {
		p.speed.others = Reading{}
	}
	for _, p := range b.peers {
		if !p.fresh(now) {
			continue
		}
		for id, l := range p.Loads {
			if s := b.servers[id]; s != nil {
				s.others.add(l)
			}
		}
		for name, rates := range p.Rates {
			if pool := b.pools[name]; pool != nil {
				pool.speed.others.add(rates.Reading)
			}
		}
	}
}
