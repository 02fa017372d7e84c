package balance

import (
	"slices"
	"strings"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/ratelimit"
)

// Load is what runs at one server.
type Load = counts.Load

// Rates is the work that arrives for a pool, in prompt tokens per second.
type Rates struct {
	Long, Short float64
	// Calls is the calls a second.
	Calls float64
	// Reading is the speed at which the pool's engines were seen to read.
	Reading Reading
}

func (r *Rates) add(x Rates) {
	r.Long += x.Long
	r.Short += x.Short
	r.Calls += x.Calls
	r.Reading.add(x.Reading)
}

// ReportTo returns the next message with this instance's counts, and those of the
// members below it, for its collector.
func (b *Balancer) ReportTo(now time.Time, collector string) counts.Message {
	return b.message(now, b.peer(now, collector), counts.FromMember)
}

// SumTo returns the next message with the same counts for another collector, and
// the boundaries that this one goes by.
func (b *Balancer) SumTo(now time.Time, peer string) counts.Message {
	return b.message(now, b.peer(now, peer), counts.ToPeer)
}

// AnswerTo returns the next message with what everyone but the named member has,
// and the boundaries that this instance goes by.
func (b *Balancer) AnswerTo(now time.Time, member string) counts.Message {
	return b.message(now, b.peer(now, member), counts.Answer)
}

func (b *Balancer) message(now time.Time, p *peer, kind counts.Kind) counts.Message {
	if b.since.IsZero() {
		b.since = now
	}
	below := kind != counts.Answer
	content := counts.Content{Now: now, Kind: kind, Rates: b.ratesFor(now, p, below)}
	if kind != counts.FromMember {
		content.Boundaries, content.Version = b.boundaries(now)
	}
	content.Uses = b.uses.next(now, p, below, b.counted)
	m := p.out.Next(&view{b, p, below}, content, b.firstStream)
	m.Name, m.Level = b.name, b.level
	m.Heard = p.in.Heard()
	m.AgeMillis = uint16(min(b.ageFor(now, p, below), mostAge).Milliseconds())
	m.Decides = kind == counts.ToPeer && len(content.Boundaries) > 0 && b.decider(now) == nil
	return m
}

// mostAge bounds the age that is told: beyond it counts are as good as unknown.
const mostAge = time.Minute

// view is what a peer is told: what everyone but the peer has, or with below only what
// this instance and the members below it have.
type view struct {
	b     *Balancer
	to    *peer
	below bool
}

// Slots implements counts.View.
func (v *view) Slots() int { return len(v.b.slots) }

// Version implements counts.View.
func (v *view) Version(slot int) uint64 {
	if s := v.b.slots[slot]; s != nil {
		return s.version
	}
	return 0
}

// Changes implements counts.View.
func (v *view) Changes() *counts.ChangeLog { return &v.b.changes }

// Limit implements counts.View. What the receiver has told is not told back.
func (v *view) Limit(slot int) ratelimit.Announced {
	s := v.b.slots[slot]
	if s == nil || s.limit.from == v.to {
		return ratelimit.Announced{}
	}
	return s.limit.Announced
}

// Row implements counts.View.
func (v *view) Row(slot int) (string, counts.Row) {
	s := v.b.slots[slot]
	if s == nil {
		return "", counts.Row{}
	}
	others := s.others
	if v.below {
		others = s.below
	}
	r := s.ownRow()
	r.Add(others)
	if !v.below || v.b.counted(v.to) { // the receiver's own part is among them
		r.Sub(v.to.row(slot))
	}
	return s.ID, r
}

// touch notes that the counts at a server have changed.
func (b *Balancer) touch(s *server) {
	s.version = b.changes.Note(s.slot, len(b.slots))
}

// ownRow is what this instance tells of a server.
func (s *server) ownRow() counts.Row {
	r := counts.Row{Load: s.own}
	if s.pace.perEvent > 0 {
		r.Pace = counts.Pace{Microseconds: uint32(s.pace.perEvent.Microseconds()), Instances: 1}
	}
	return r
}

// ratesFor sums what arrives here and at the others but the receiver; below: at the
// members below only.
func (b *Balancer) ratesFor(now time.Time, to *peer, below bool) []counts.Rates {
	var out []counts.Rates
	for name, p := range b.pools {
		sum := b.ratesOf(now, p, name, func(x *peer) bool { return x != to && (!below || b.counted(x)) })
		if p.memory == 0 && sum.Calls < leastCalls {
			continue
		}
		out = append(out, counts.Rates{Pool: name, Long: float32(sum.Long), Short: float32(sum.Short),
			ReadingSum: float32(sum.Reading.Sum), ReadingCalls: float32(sum.Reading.Calls), Calls: float32(sum.Calls)})
	}
	return out
}

// leastCalls a second are told of a pool that has no engines: less says nothing.
const leastCalls = 0.01

// boundaryPeriod is how long boundaries are told as they were found: a collector
// makes some hundred messages a second, and each would decide anew.
const boundaryPeriod = 50 * time.Millisecond

// toldBoundaries are boundaries as they are told, with a version that rises with
// each change.
type toldBoundaries struct {
	list    []counts.Boundary
	version uint64
	at      time.Time
}

func (b *Balancer) boundaries(now time.Time) ([]counts.Boundary, uint64) {
	t := &b.told
	if !t.at.IsZero() && now.Sub(t.at) < boundaryPeriod {
		return t.list, t.version
	}
	t.at = now
	var list []counts.Boundary
	for name, p := range b.pools {
		if p.memory == 0 {
			continue
		}
		if engines := b.longSide(now, name); p.sides.settled(now) {
			list = append(list, counts.Boundary{Pool: name, Share: p.sides.share, Engines: engines})
		}
	}
	slices.SortFunc(list, func(x, y counts.Boundary) int { return strings.Compare(x.Pool, y.Pool) })
	if !slices.EqualFunc(list, t.list, sameBoundary) {
		t.list = list
		t.version++
	}
	return t.list, t.version
}

func sameBoundary(x, y counts.Boundary) bool {
	return x.Pool == y.Pool && x.Share == y.Share && slices.Equal(x.Engines, y.Engines)
}
