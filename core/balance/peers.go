package balance

import (
	"time"

	"cardamomwick.example/core/counts"
)

// peer is another instance with which counts are exchanged.
type peer struct {
	name string
	in   counts.Receiver
	out  counts.Sender
	// createdAt is when the exchange began; updatedAt is when the peer's counts were
	// last received, or zero.
	createdAt, updatedAt time.Time
	kind                 counts.MessageKind
	level                uint8
	// bySlot holds the peer's counts by slot, for servers known to this instance.
	bySlot []counts.Row
	// unknown maps the IDs of servers that this instance does not know to their
	// numbers in the peer's stream.
	unknown map[string]int
	// instances is the number of instances whose counts the peer's are.
	instances int
	// running is the number of the peer's calls on known servers.
	running           int
	rates             map[string]ArrivalRates
	boundaries        map[string]counts.Boundary
	decidesBoundaries bool
	// reportedAge is the age of the counts when the peer sent them.
	reportedAge time.Duration
	// nextUse is the sequence number of the next prefix use to send to the peer.
	nextUse uint64
}

func (p *peer) fresh(now time.Time) bool {
	return !p.updatedAt.IsZero() && now.Sub(p.updatedAt) < peerTTL
}

// member reports whether the peer reports to this instance and receives its replies.
func (p *peer) member() bool { return p.kind == counts.MemberReport && !p.updatedAt.IsZero() }

// row returns the peer's counts for the server in a slot.
func (p *peer) row(slot int) counts.Row {
	if slot >= len(p.bySlot) {
		return counts.Row{}
	}
	return p.bySlot[slot]
}

// peer returns the exchange state for an instance, creating it if needed.
func (b *Balancer) peer(now time.Time, name string) *peer {
	p := b.peers[name]
	if p == nil {
		p = &peer{name: name, createdAt: now, nextUse: b.uses.firstAfter(now.Add(-usesBacklog))}
		b.peers[name] = p
	}
	return p
}

// inSubtree reports whether a peer's counts are included in this instance's reports.
// Only members of a lower level are: two instances that report to each other because
// their views of the membership differ would otherwise add up each other's counts
// without end.
func (b *Balancer) inSubtree(p *peer) bool { return p.member() && p.level < b.level }

// SetInstances sets the number of instances that place calls, including this one.
func (b *Balancer) SetInstances(n int) { b.instances = n }

// SetLevel sets this instance's level in the tree of collectors.
func (b *Balancer) SetLevel(level uint8) {
	if level != b.level {
		b.level = level
		b.recomputeSums()
	}
}

// Receive processes a message of another instance.
func (b *Balancer) Receive(now time.Time, m *counts.Message) {
	p := b.peer(now, m.Name)
	p.out.Acknowledge(m.Acknowledged)
	u, ok := p.in.Apply(m)
	moved := ok && (p.updatedAt.IsZero() || p.kind != m.Kind || p.level != m.Level)
	if ok {
		p.updatedAt, p.kind, p.level, p.decidesBoundaries = now, m.Kind, m.Level, m.DecidesBoundaries
		p.reportedAge = time.Duration(m.AgeMillis) * time.Millisecond
		p.rates = ratesOf(m.Rates)
		p.instances = max(1, int(m.Instances))
	}
	if ok && p.kind == counts.MemberReply {
		b.dropOtherSources(p)
	}
	b.applyRows(p, u, moved)
	b.aggregateSpeeds()
	b.applyUses(now, p, u.Uses)
	b.mergeLimits(now, p, u.Limits)
	b.mergeBrittle(now, p, m)
	if u.NewStream || u.Boundaries != nil {
		p.boundaries = boundariesOf(u.Boundaries)
	}
	b.adoptBoundaries(now, p.boundaries)
}

// applyRows applies changed counts. moved is set if the peer's message kind or
// level has changed.
func (b *Balancer) applyRows(p *peer, u counts.Update, moved bool) {
	if u.NewStream || moved {
		b.recomputeSums()
		return
	}
	for _, number := range u.ChangedRows {
		b.applyRow(p, number)
	}
}

// applyRow applies the peer's counts for the server with the given number in its
// stream.
func (b *Balancer) applyRow(p *peer, number int) {
	id, row := p.in.Server(number)
	if s := b.servers[id]; s != nil {
		b.setRow(p, s, row)
		return
	}
	p.recordUnknown(id, number)
}

// applyUses records which shared prefixes other instances sent to servers.
func (b *Balancer) applyUses(now time.Time, from *peer, list []counts.Use) {
	for _, use := range list {
		s := b.servers[use.Server]
		if s == nil {
			continue
		}
		b.pool(s.Pool).recordHolder(use.Prefix, s)
		if s.cache.recordUse(now, use.Prefix) {
			b.uses.add(now, from, use)
		}
	}
}

// dropOtherSources drops all peers that are neither the collector nor members: the
// collector's reply already contains all counts except this instance's own and those
// of its members.
func (b *Balancer) dropOtherSources(collector *peer) {
	for name, p := range b.peers {
		if p != collector && !p.updatedAt.IsZero() && !p.member() {
			b.drop(name, p)
		}
	}
}

func ratesOf(list []counts.ArrivalRates) map[string]ArrivalRates {
	out := make(map[string]ArrivalRates, len(list))
	for _, x := range list {
		out[x.Pool] = ArrivalRates{LongTokens: float64(x.LongTokens), ShortTokens: float64(x.ShortTokens), CallsPerSecond: float64(x.CallsPerSecond),
			PrefillSpeed: SpeedSample{Sum: float64(x.PrefillSpeedSum), Calls: float64(x.PrefillSpeedCalls)}}
	}
	return out
}

func boundariesOf(list []counts.Boundary) map[string]counts.Boundary {
	out := make(map[string]counts.Boundary, len(list))
	for _, x := range list {
		out[x.Pool] = x
	}
	return out
}

// setRow replaces the peer's counts for a server.
func (b *Balancer) setRow(p *peer, s *server, row counts.Row) {
	if extra := len(b.slots) - len(p.bySlot); extra > 0 {
		p.bySlot = append(p.bySlot, make([]counts.Row, extra)...)
	}
	b.markChanged(s)
	old := p.bySlot[s.slot]
	p.bySlot[s.slot] = row
	p.running += row.Load.Running - old.Load.Running
	s.peerRow.Sub(old)
	s.peerRow.Add(row)
	if b.inSubtree(p) {
		s.subtreeRow.Sub(old)
		s.subtreeRow.Add(row)
	}
}

// recomputeSums rebuilds the sums of the peers' counts for each server.
func (b *Balancer) recomputeSums() {
	for _, s := range b.servers {
		s.peerRow, s.subtreeRow = counts.Row{}, counts.Row{}
		b.markChanged(s)
	}
	for _, p := range b.peers {
		p.bySlot, p.running = nil, 0
		clear(p.unknown)
		for number := range p.in.Servers() {
			b.applyRow(p, number)
		}
	}
}

// aggregateSpeeds sums the prefill speeds that the peers observed in each pool.
func (b *Balancer) aggregateSpeeds() {
	for name, pool := range b.pools {
		pool.speed.others = SpeedSample{}
		for _, p := range b.peers {
			pool.speed.others.add(p.rates[name].PrefillSpeed)
		}
	}
}

// drop removes a peer and its counts.
func (b *Balancer) drop(name string, p *peer) {
	delete(b.peers, name)
	for slot, row := range p.bySlot {
		if s := b.slots[slot]; s != nil {
			b.markChanged(s)
			s.peerRow.Sub(row)
			if b.inSubtree(p) {
				s.subtreeRow.Sub(row)
			}
		}
	}
}

// adoptBoundaries adopts a peer's boundaries for pools in which this instance still
// uses the initial one.
func (b *Balancer) adoptBoundaries(now time.Time, boundaries map[string]counts.Boundary) {
	for name, x := range boundaries {
		if p := b.pool(name); !p.sides.ready(now) {
			p.sides.adopt(x)
		}
	}
}

// DropSilentPeers removes the counts of instances that have stopped sending.
func (b *Balancer) DropSilentPeers(now time.Time) {
	dropped := false
	for name, p := range b.peers {
		if !p.fresh(now) && now.Sub(p.createdAt) >= peerTTL {
			b.drop(name, p)
			dropped = true
		}
	}
	if dropped {
		b.aggregateSpeeds()
	}
}

// CountsAge returns the average age of the peers' counts, weighted by their calls.
func (b *Balancer) CountsAge(now time.Time) time.Duration {
	return b.age(now, 0, func(*peer) bool { return true })
}

// age returns the average age of the counts of the included peers, weighted by calls,
// together with own calls of age zero.
func (b *Balancer) age(now time.Time, own int, included func(*peer) bool) time.Duration {
	var sum time.Duration
	calls := own
	for _, p := range b.peers {
		if p.fresh(now) && included(p) {
			sum += time.Duration(p.running) * (now.Sub(p.updatedAt) + p.reportedAge)
			calls += p.running
		}
	}
	if calls <= 0 {
		return 0
	}
	return sum / time.Duration(calls)
}

// ageFor returns the age of the counts sent to a peer.
func (b *Balancer) ageFor(now time.Time, to *peer, subtreeOnly bool) time.Duration {
	return b.age(now, b.running, func(p *peer) bool { return p != to && (!subtreeOnly || b.inSubtree(p)) })
}
