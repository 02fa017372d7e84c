package balance

import (
	"slices"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/rendezvous"
)

// An instance lends its free slots at brittle servers to instances that have calls waiting. Each slot
// has one user at a time: its owner, or who has borrowed it.

// Times of loans.
const (
	// loanTime is how long calls may be started on a borrowed slot before its owner gets it back.
	loanTime = 200 * time.Millisecond
	// renewalInterval is the time between two reports of a borrower on the slots that it uses, and
	// loanLapse the time after which a loan without a report is over.
	renewalInterval = 500 * time.Millisecond
	loanLapse       = 2 * time.Second
	// requestInterval is the time between two requests for slots of a pool, and requestTime how long
	// an owner remembers one.
	requestInterval = 25 * time.Millisecond
	requestTime     = 300 * time.Millisecond
)

// Bounds of loans.
const (
	// askedOwners is the number of owners that a request goes to.
	askedOwners = 2
	// maxRequested is the number of slots that one request is for.
	maxRequested = 4
	// maxSearched is the number of servers that are searched for a free slot at a time.
	maxSearched = 64
)

// SlotLoan is a number of slots of a brittle server that one instance lends to another, or gets back.
type SlotLoan struct {
	// Instance is the name of the other instance.
	Instance string
	Server   string
	// Slots is 0 in a report of a borrower that it still uses slots of the server.
	Slots int
}

// lentSlots are slots that another instance has borrowed.
type lentSlots struct {
	slots int
	// heard is when they were lent or last reported on.
	heard time.Time
}

// borrowedSlots are slots of another instance.
type borrowedSlots struct {
	slots int
	// until is until when calls may be started on them.
	until time.Time
	// reported is when their owner last had a report.
	reported time.Time
}

// slotRequest is another instance's request for slots of a pool.
type slotRequest struct {
	slots int
	until time.Time
}

// loans are a server's slots that are not used by their owner, by the other instance.
type loans struct {
	lent     map[string]*lentSlots
	borrowed map[string]*borrowedSlots
}

// lentCount returns how many of this instance's slots others use.
func (l *loans) lentCount(now time.Time) (n int) {
	for name, x := range l.lent {
		if now.Sub(x.heard) >= loanLapse {
			delete(l.lent, name)
			continue
		}
		n += x.slots
	}
	return n
}

// borrowedCount returns how many slots of others this instance may start calls on.
func (l *loans) borrowedCount(now time.Time) (n int) {
	for _, x := range l.borrowed {
		if now.Before(x.until) {
			n += x.slots
		}
	}
	return n
}

// ownSlots returns how many of a server's slots this instance may use, with what it has lent and
// borrowed.
func (b *Balancer) ownSlots(now time.Time, s *server, slots int) int {
	owned := b.ownedSlots(now, s, slots)
	return max(0, owned-s.brittle.loans.lentCount(now)) + s.brittle.loans.borrowedCount(now)
}

// SlotOwnersToAsk returns the names of instances that may have free slots of a pool, none if they were
// asked just now or the pool is not brittle. random returns uniform values from [0, 1).
func (b *Balancer) SlotOwnersToAsk(now time.Time, poolName string, random func() float64) (names []string) {
	p := b.pool(poolName)
	if !p.brittle.Limited || len(p.servers) == 0 || now.Sub(p.requestedAt) < requestInterval || b.starting(now, slotSettleTime) {
		return nil
	}
	p.requestedAt = now
	for range 3 * askedOwners { // some of them are this instance, or were found before
		name := b.someOwner(p.servers[int(random()*float64(len(p.servers)))], random)
		if name == b.name || name == "" || slices.Contains(names, name) {
			continue
		}
		if names = append(names, name); len(names) == askedOwners {
			break
		}
	}
	return names
}

// someOwner returns one of the owners of a server's slots, "" if there is none.
func (b *Balancer) someOwner(s *server, random func() float64) string {
	names := b.divisions.present.names
	if len(names) <= s.Slots {
		if len(names) == 0 {
			return ""
		}
		return names[int(random()*float64(len(names)))]
	}
	// The owner of a random slot is the best of so many random instances that one of them owns one,
	// on average.
	best, score := "", uint64(0)
	for range max(1, len(names)/max(1, s.Slots)) {
		name := names[int(random()*float64(len(names)))]
		if x := rendezvous.Score(s.StableName(), name); best == "" || x > score {
			best, score = name, x
		}
	}
	return best
}

// RequestSlots records that another instance has calls waiting for so many slots of a pool.
func (b *Balancer) RequestSlots(now time.Time, from, poolName string, slots int) {
	p := b.pools[poolName]
	if p == nil {
		return
	}
	if p.requests == nil {
		p.requests = map[string]slotRequest{}
	}
	p.requests[from] = slotRequest{slots: min(slots, maxRequested), until: now.Add(requestTime)}
}

// LendSlots lends free slots of a pool's servers to the instances that have requested some. Call it
// only while no call of this instance waits for them.
func (b *Balancer) LendSlots(now time.Time, poolName string) (out []SlotLoan) {
	p := b.pool(poolName)
	if len(p.requests) == 0 || !p.brittle.Limited {
		return nil
	}
	c, ok := b.checkBrittle(now, poolName, Call{})
	if !ok {
		return nil
	}
	for range min(maxSearched, len(p.servers)) {
		if p.nextLent++; p.nextLent >= len(p.servers) {
			p.nextLent = 0
		}
		s := p.servers[p.nextLent]
		if wait, brittle := c.wait(s); s.Phase != fleet.Ready || wait > 0 || !brittle {
			continue
		}
		name, found := p.nextRequest(now)
		if !found {
			break
		}
		s.brittle.loans.lend(now, name)
		out = append(out, SlotLoan{Instance: name, Server: s.ID, Slots: 1})
	}
	return out
}

// nextRequest returns an instance that has requested a slot, and takes one from its request.
func (p *pool) nextRequest(now time.Time) (name string, found bool) {
	for name, r := range p.requests {
		if r.slots--; r.slots < 0 || now.After(r.until) {
			delete(p.requests, name)
			continue
		}
		p.requests[name] = r
		return name, true
	}
	return "", false
}

func (l *loans) lend(now time.Time, to string) {
	if l.lent == nil {
		l.lent = map[string]*lentSlots{}
	}
	x := l.lent[to]
	if x == nil {
		x = &lentSlots{}
		l.lent[to] = x
	}
	x.slots++
	x.heard = now
}

// BorrowSlots records slots that another instance has lent, and returns the pool they are of, "" if
// their server is not known.
func (b *Balancer) BorrowSlots(now time.Time, loan SlotLoan) (poolName string) {
	s := b.servers[loan.Server]
	if s == nil {
		return ""
	}
	l := &s.brittle.loans
	if l.borrowed == nil {
		l.borrowed = map[string]*borrowedSlots{}
	}
	x := l.borrowed[loan.Instance]
	if x == nil {
		x = &borrowedSlots{}
		l.borrowed[loan.Instance] = x
	}
	x.slots += loan.Slots
	x.until, x.reported = now.Add(loanTime), now
	b.borrowedAt[s.ID] = struct{}{}
	return s.Pool
}

// ReturnSlots returns the borrowed slots of a pool that this instance no longer needs, and the reports
// that are due on others. waiting is set if calls of this instance wait for slots.
func (b *Balancer) ReturnSlots(now time.Time, poolName string, waiting bool) (out []SlotLoan) {
	for id := range b.borrowedAt {
		s := b.servers[id]
		if s == nil {
			delete(b.borrowedAt, id)
			continue
		}
		if s.Pool != poolName {
			continue
		}
		out = append(out, b.returnServerSlots(now, s, waiting)...)
		if len(s.brittle.loans.borrowed) == 0 {
			delete(b.borrowedAt, id)
		}
	}
	return out
}

func (b *Balancer) returnServerSlots(now time.Time, s *server, waiting bool) (out []SlotLoan) {
	l := &s.brittle.loans
	needed := s.ownUse(now).Running - max(0, b.ownedSlots(now, s, b.roomSlots(now, s))-l.lentCount(now))
	for name, x := range l.borrowed {
		kept := x.slots
		if !waiting || !now.Before(x.until) {
			kept = min(kept, max(0, needed))
		}
		needed -= kept
		if kept < x.slots || now.Sub(x.reported) >= renewalInterval {
			out = append(out, SlotLoan{Instance: name, Server: s.ID, Slots: x.slots - kept})
			x.slots, x.reported = kept, now
		}
		if x.slots == 0 {
			delete(l.borrowed, name)
		}
	}
	return out
}

// expire ends the use of borrowed slots: their owners may have lost them with the room that a rejection
// has shown.
func (l *loans) expire(now time.Time) {
	for _, x := range l.borrowed {
		x.until = now
	}
}

// TakeBack records slots that another instance has returned, or still uses, and returns the pool they
// are of, "" if their server is not known.
func (b *Balancer) TakeBack(now time.Time, loan SlotLoan) (poolName string) {
	s := b.servers[loan.Server]
	if s == nil {
		return ""
	}
	if x := s.brittle.loans.lent[loan.Instance]; x != nil {
		x.slots -= loan.Slots
		x.heard = now
		if x.slots <= 0 {
			delete(s.brittle.loans.lent, loan.Instance)
		}
	}
	return s.Pool
}

// roomSlots returns how many calls may run at a brittle server.
func (b *Balancer) roomSlots(now time.Time, s *server) int {
	c := brittleCheck{b: b, now: now, pool: b.pool(s.Pool)}
	return c.slots(s)
}

// BorrowedPools returns the pools of which slots are borrowed.
func (b *Balancer) BorrowedPools() []string {
	var out []string
	seen := map[string]bool{}
	for id := range b.borrowedAt {
		if s := b.servers[id]; s != nil && !seen[s.Pool] {
			seen[s.Pool] = true
			out = append(out, s.Pool)
		}
	}
	return out
}
