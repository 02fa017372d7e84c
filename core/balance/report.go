package balance

import (
	"math"
	"slices"
	"strings"
	"time"

	"cardamomwick.example/core/counts"
	"cardamomwick.example/core/ratelimit"
)

// Load is the load on one server.
type Load = counts.Load

// ArrivalRates is the arriving work of a pool.
type ArrivalRates struct {
	// LongTokens and ShortTokens are the prompt tokens per second to be processed on the
	// long and on the short side.
	LongTokens, ShortTokens float64
	CallsPerSecond          float64
	// PrefillSpeed is the observed prefill speed of the pool's engines.
	PrefillSpeed SpeedSample
}

func (r *ArrivalRates) add(x ArrivalRates) {
	r.LongTokens += x.LongTokens
	r.ShortTokens += x.ShortTokens
	r.CallsPerSecond += x.CallsPerSecond
	r.PrefillSpeed.add(x.PrefillSpeed)
}

// MemberReport returns the next message to this instance's collector, with the counts of
// this instance and of those in its subtree.
func (b *Balancer) MemberReport(now time.Time, collector string) counts.Message {
	return b.message(now, b.peer(now, collector), counts.MemberReport)
}

// CollectorReport returns the next message to another collector, with the same counts
// and the boundaries in use here.
func (b *Balancer) CollectorReport(now time.Time, peer string) counts.Message {
	return b.message(now, b.peer(now, peer), counts.CollectorReport)
}

// MemberReply returns the next message to a member, an instance that reports to this one,
// with the counts that its own reports do not cover and the boundaries in use here.
func (b *Balancer) MemberReply(now time.Time, member string) counts.Message {
	return b.message(now, b.peer(now, member), counts.MemberReply)
}

func (b *Balancer) message(now time.Time, p *peer, kind counts.MessageKind) counts.Message {
	if b.exchangeSince.IsZero() {
		b.exchangeSince = now
	}
	subtreeOnly := kind != counts.MemberReply
	content := counts.Content{Now: now, Kind: kind, Rates: b.ratesFor(now, p, subtreeOnly)}
	if kind != counts.MemberReport {
		content.Boundaries, content.BoundariesVersion = b.boundaries(now)
	}
	content.Uses = b.uses.next(now, p, subtreeOnly, b.inSubtree)
	m := p.out.Next(&view{b, p, subtreeOnly}, content, b.firstStream)
	m.Name, m.Level = b.name, b.level
	m.Brittle, m.Starting = b.brittleReports(now)
	instances := b.countedInstances(now, func(x *peer) bool { return x != p && (!subtreeOnly || b.inSubtree(x)) })
	m.Instances = uint16(min(instances, math.MaxUint16))
	m.Acknowledged = p.in.Position()
	m.AgeMillis = uint16(min(b.ageFor(now, p, subtreeOnly), maxCountsAge).Milliseconds())
	m.DecidesBoundaries = kind == counts.CollectorReport && len(content.Boundaries) > 0 && b.decider(now) == nil
	return m
}

// maxCountsAge bounds the reported age. Older counts are as good as unknown.
const maxCountsAge = time.Minute

// view selects the counts sent to a peer: those of all instances but the peer or, with
// subtreeOnly, only those of this instance and the members in its subtree.
type view struct {
	b           *Balancer
	to          *peer
	subtreeOnly bool
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

// Limit implements counts.View. A limit reported by the receiver is not sent back.
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
	others := s.peerRow
	if v.subtreeOnly {
		others = s.subtreeRow
	}
	r := s.ownRow()
	r.Add(others)
	if !v.subtreeOnly || v.b.inSubtree(v.to) { // the sum contains the receiver's counts
		r.Sub(v.to.row(slot))
	}
	return s.ID, r
}

// markChanged records a change of a server's reported state.
func (b *Balancer) markChanged(s *server) {
	s.version = b.changes.Record(s.slot, len(b.slots))
}

// ownRow returns this instance's own counts for a server.
func (s *server) ownRow() counts.Row {
	r := counts.Row{Load: s.own}
	if s.eventInterval.minimum > 0 {
		r.EventInterval = counts.EventInterval{Microseconds: uint32(s.eventInterval.minimum.Microseconds()), Instances: 1}
	}
	return r
}

// ratesFor returns the arrival rates of this instance and of all peers but the
// receiver or, with subtreeOnly, only of the members in its subtree.
func (b *Balancer) ratesFor(now time.Time, to *peer, subtreeOnly bool) []counts.ArrivalRates {
	var out []counts.ArrivalRates
	for name, p := range b.pools {
		sum := b.sumRates(now, p, name, func(x *peer) bool { return x != to && (!subtreeOnly || b.inSubtree(x)) })
		if p.kvTokens == 0 && sum.CallsPerSecond < minCallRate {
			continue
		}
		out = append(out, counts.ArrivalRates{Pool: name, LongTokens: float32(sum.LongTokens), ShortTokens: float32(sum.ShortTokens),
			PrefillSpeedSum: float32(sum.PrefillSpeed.Sum), PrefillSpeedCalls: float32(sum.PrefillSpeed.Calls), CallsPerSecond: float32(sum.CallsPerSecond)})
	}
	return out
}

// countedInstances returns of how many instances the counts are known, this one included.
func (b *Balancer) countedInstances(now time.Time, included func(*peer) bool) int {
	n := 1
	for _, x := range b.peers {
		if x.fresh(now) && included(x) {
			n += x.instances
		}
	}
	return n
}

// minCallRate is the number of calls per second from which the rates of a pool without
// engines are reported.
const minCallRate = 0.01

// boundaryPeriod is how long computed boundaries are reused: a collector sends some
// hundred messages a second, and each would recompute them.
const boundaryPeriod = 50 * time.Millisecond

// advertisedBoundaries are the boundaries sent to peers. The version increases with
// each change.
type advertisedBoundaries struct {
	list    []counts.Boundary
	version uint64
	at      time.Time
}

func (b *Balancer) boundaries(now time.Time) ([]counts.Boundary, uint64) {
	t := &b.advertised
	if !t.at.IsZero() && now.Sub(t.at) < boundaryPeriod {
		return t.list, t.version
	}
	t.at = now
	var list []counts.Boundary
	for name, p := range b.pools {
		if p.kvTokens == 0 {
			continue
		}
		if engines := b.longSide(now, name); p.sides.ready(now) {
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
	return x.Pool == y.Pool && x.Share == y.Share && equalLists(x.Engines, y.Engines)
}
