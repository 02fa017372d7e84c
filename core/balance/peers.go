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
	// made is when the exchange began, at when its counts last came; zero before.
	made, at time.Time
	kind     counts.MessageKind
	level    uint8
	// bySlot are its counts at the servers that this instance knows.
	bySlot []counts.Row
	// unknown are the numbers, by ID, of the servers that it told of and that this
	// instance does not know.
	unknown map[string]int
	// running are its calls at all of them.
	running    int
	rates      map[string]Rates
	boundaries map[string]counts.Boundary
	decides    bool
	// age is how old its counts were when it told them.
	age time.Duration
	// usesTold is the number of uses it need not be told.
	usesTold uint64
}

func (p *peer) fresh(now time.Time) bool { return !p.at.IsZero() && now.Sub(p.at) < peerTime }

// member reports whether this instance answers the peer's counts.
func (p *peer) member() bool { return p.kind == counts.MemberReport && !p.at.IsZero() }

// row is what the peer has at the server of a slot.
func (p *peer) row(slot int) counts.Row {
	if slot >= len(p.bySlot) {
		return counts.Row{}
	}
	return p.bySlot[slot]
}

// peer returns the state of the exchange with an instance.
func (b *Balancer) peer(now time.Time, name string) *peer {
	p := b.peers[name]
	if p == nil {
		p = &peer{name: name, made: now, usesTold: b.uses.before(now.Add(-usesWindow))}
		b.peers[name] = p
	}
	return p
}

// counted reports whether a peer's counts are part of what this instance reports
// upwards. Only members further down are: two instances that report to each other by
// different views of the membership would add up each other's counts for ever.
func (b *Balancer) counted(p *peer) bool { return p.member() && p.level < b.level }

// SetInstances takes how many instances place calls, this one included.
func (b *Balancer) SetInstances(n int) { b.instances = n }

// SetLevel takes this instance's place in the tree of collectors.
func (b *Balancer) SetLevel(level uint8) {
	if level != b.level {
		b.level = level
		b.recount()
	}
}

// Take takes a message of another instance.
func (b *Balancer) Take(now time.Time, m *counts.Message) {
	p := b.peer(now, m.Name)
	p.out.Acknowledge(m.Acknowledged)
	u, ok := p.in.Apply(m)
	moved := ok && (p.at.IsZero() || p.kind != m.Kind || p.level != m.Level)
	if ok {
		p.at, p.kind, p.level, p.decides = now, m.Kind, m.Level, m.DecidesBoundaries
		p.age = time.Duration(m.AgeMillis) * time.Millisecond
		p.rates = ratesOf(m.Rates)
	}
	if ok && p.kind == counts.MemberReply {
		b.leaveOthers(p)
	}
	b.takeRows(p, u, moved)
	b.shareSpeeds()
	b.takeUses(now, p, u.Uses)
	b.takeLimits(now, p, u.Limits)
	if u.NewStream || u.Boundaries != nil {
		p.boundaries = boundariesOf(u.Boundaries)
	}
	b.begin(now, p.boundaries)
}

// takeRows takes what has changed at the servers; moved: the peer has another place
// among the collectors than before.
func (b *Balancer) takeRows(p *peer, u counts.Update, moved bool) {
	if u.NewStream || moved {
		b.recount()
		return
	}
	for _, number := range u.ChangedRows {
		b.takeRow(p, number)
	}
}

// takeRow takes what a peer has at the server with a number of its stream.
func (b *Balancer) takeRow(p *peer, number int) {
	id, row := p.in.Server(number)
	if s := b.servers[id]; s != nil {
		b.setRow(p, s, row)
		return
	}
	p.noteUnknown(id, number)
}

// takeUses notes which shared parts were given to servers elsewhere.
func (b *Balancer) takeUses(now time.Time, from *peer, list []counts.Use) {
	for _, use := range list {
		s := b.servers[use.Server]
		if s == nil {
			continue
		}
		b.pool(s.Pool).noteHolder(use.Prefix, s)
		if s.parts.use(now, use.Prefix) {
			b.uses.add(now, from, use)
		}
	}
}

// leaveOthers forgets whom this instance heard of the others before: a collector's
// answer holds everything but its own counts and those of its members.
func (b *Balancer) leaveOthers(collector *peer) {
	for name, p := range b.peers {
		if p != collector && !p.at.IsZero() && !p.member() {
			b.drop(name, p)
		}
	}
}

func ratesOf(list []counts.ArrivalRates) map[string]Rates {
	out := make(map[string]Rates, len(list))
	for _, x := range list {
		out[x.Pool] = Rates{Long: float64(x.LongTokens), Short: float64(x.ShortTokens), Reading: Reading{Sum: float64(x.PrefillSpeedSum), Calls: float64(x.PrefillSpeedCalls)}, Calls: float64(x.CallsPerSecond)}
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

// setRow takes what a peer has at a server.
func (b *Balancer) setRow(p *peer, s *server, row counts.Row) {
	if extra := len(b.slots) - len(p.bySlot); extra > 0 {
		p.bySlot = append(p.bySlot, make([]counts.Row, extra)...)
	}
	b.touch(s)
	old := p.bySlot[s.slot]
	p.bySlot[s.slot] = row
	p.running += row.Load.Running - old.Load.Running
	s.others.Sub(old)
	s.others.Add(row)
	if b.counted(p) {
		s.below.Sub(old)
		s.below.Add(row)
	}
}

// recount adds up anew what others have at each server.
func (b *Balancer) recount() {
	for _, s := range b.servers {
		s.others, s.below = counts.Row{}, counts.Row{}
		b.touch(s)
	}
	for _, p := range b.peers {
		p.bySlot, p.running = nil, 0
		clear(p.unknown)
		for number := range p.in.Servers() {
			b.takeRow(p, number)
		}
	}
}

// shareSpeeds adds up what others have seen of each pool's reading speed.
func (b *Balancer) shareSpeeds() {
	for name, pool := range b.pools {
		pool.speed.others = Reading{}
		for _, p := range b.peers {
			pool.speed.others.add(p.rates[name].Reading)
		}
	}
}

// drop forgets a peer and its counts.
func (b *Balancer) drop(name string, p *peer) {
	delete(b.peers, name)
	for slot, row := range p.bySlot {
		if s := b.slots[slot]; s != nil {
			b.touch(s)
			s.others.Sub(row)
			if b.counted(p) {
				s.below.Sub(row)
			}
		}
	}
}

// begin takes over the boundaries of others while this instance has only its
// own usual beginning.
func (b *Balancer) begin(now time.Time, held map[string]counts.Boundary) {
	for name, x := range held {
		if p := b.pool(name); !p.sides.settled(now) {
			p.sides.take(x)
		}
	}
}

// Forget drops counts of instances that are silent.
func (b *Balancer) Forget(now time.Time) {
	dropped := false
	for name, p := range b.peers {
		if !p.fresh(now) && now.Sub(p.made) >= peerTime {
			b.drop(name, p)
			dropped = true
		}
	}
	if dropped {
		b.shareSpeeds()
	}
}

// CountsAge is how old the counts of others are, on average over their calls.
func (b *Balancer) CountsAge(now time.Time) time.Duration {
	return b.age(now, 0, func(*peer) bool { return true })
}

// age is the average age of the counts of the peers that are included, and of so many
// calls that are known as they are.
func (b *Balancer) age(now time.Time, own int, included func(*peer) bool) time.Duration {
	var sum time.Duration
	calls := own
	for _, p := range b.peers {
		if p.fresh(now) && included(p) {
			sum += time.Duration(p.running) * (now.Sub(p.at) + p.age)
			calls += p.running
		}
	}
	if calls <= 0 {
		return 0
	}
	return sum / time.Duration(calls)
}

// ageFor is the age of what a peer is told.
func (b *Balancer) ageFor(now time.Time, to *peer, below bool) time.Duration {
	return b.age(now, b.ownRunning(), func(p *peer) bool { return p != to && (!below || b.counted(p)) })
}

// ownRunning counts this instance's own calls.
func (b *Balancer) ownRunning() int {
	n := 0
	for _, s := range b.slots {
		if s != nil {
			n += s.own.Running
		}
	}
	return n
}
