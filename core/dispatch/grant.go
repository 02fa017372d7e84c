package dispatch

import (
	"container/heap"
	"math"
	"slices"
	"sort"
	"time"
)

// grantNext grants one ticket and reports whether a ticket could be granted.
func (p *Pool) grantNext(now time.Time) bool {
	for _, c := range p.classesByPriority(now) {
		if p.grantFromClass(now, c) {
			return true
		}
	}
	return false
}

// classesByPriority lists the classes that have waiting tickets: first those below
// their guaranteed share, the one that received the smallest part of it first,
// then the others by tier.
func (p *Pool) classesByPriority(now time.Time) []*classQueue {
	total := 0.0
	for _, c := range p.classesByTier {
		total += c.recentWork
	}
	var belowShare, rest []*classQueue
	for _, c := range p.classesByTier {
		if c.queued == 0 {
			continue
		}
		if c.recentWork < c.policy.Share*total {
			belowShare = append(belowShare, c)
			continue
		}
		rest = append(rest, c)
	}
	sort.SliceStable(belowShare, func(i, j int) bool {
		return belowShare[i].recentWork*belowShare[j].policy.Share < belowShare[j].recentWork*belowShare[i].policy.Share
	})
	return append(belowShare, rest...)
}

// grantFromClass grants the first ticket of the class that can run now. Customers
// whose next ticket can't run are taken out of the heap until the search ends.
func (p *Pool) grantFromClass(now time.Time, c *classQueue) bool {
	var skipped []*customerQueue
	defer func() {
		for _, q := range skipped {
			heap.Push(&c.active, q)
		}
	}()
	for {
		q, w := c.next(now)
		if w == nil {
			return false
		}
		limited := p.atConcurrencyLimit(w.Customer)
		if !limited {
			if s := p.selectServer(now, w, c); s != nil {
				p.grant(now, w, c, q, s)
				return true
			}
			if len(w.Exclude) == 0 {
				return false // no server has a free slot for any other ticket of the class either
			}
		}
		heap.Remove(&c.active, q.heapIndex)
		skipped = append(skipped, q)
	}
}

// atConcurrencyLimit reports whether a customer runs as many calls as its
// max_running allows.
func (p *Pool) atConcurrencyLimit(customer string) bool {
	c, ok := p.policy.Customers[customer]
	return ok && c.MaxRunning > 0 && p.inUse[customer] >= c.MaxRunning
}

// grant moves a waiting ticket to the running ones and adds a Grant to the pending
// actions.
func (p *Pool) grant(now time.Time, w *queuedTicket, c *classQueue, q *customerQueue, s *server) {
	c.remove(w)
	c.grants++
	delete(p.waiting, w.ID)
	q.trim()
	c.charge(q, w.estimatedWork, p.weight(w.Customer))
	p.markRunning(now, w, c, s.ID)
	s.chargeRequests(now, 1)
	p.pending.Grants = append(p.pending.Grants, Grant{ID: w.ID, Server: s.ID, Address: s.Address, Attempt: w.Attempt})
}

// selectServer returns the server with a free slot that has the lowest cost for
// the ticket, nil if there is none. Servers on which the call has failed are
// used only when no other server is usable.
func (p *Pool) selectServer(now time.Time, w *queuedTicket, c *classQueue) *server {
	var best *server
	lowest := math.Inf(1)
	reserve := p.mustReserve(now, c)
	excluded := p.exclusionsApply(now, w)
	for _, s := range p.serversByID {
		if !p.eligible(now, s) || !s.allowsRequest(now) || (excluded && slices.Contains(w.Exclude, s.ID)) {
			continue
		}
		limit := s.limit()
		if reserve && limit > maxSlotsWithoutReserve {
			limit -= max(1, int(topTierReserve*float64(limit)))
		}
		if s.used() >= limit {
			continue
		}
		if cost := s.cost(now, &w.Ticket); cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// mustReserve reports whether a class must leave slots free for the top tier: it
// is of a lower tier, and the top tier had tickets recently.
func (p *Pool) mustReserve(now time.Time, c *classQueue) bool {
	return c.policy.Tier != p.topTier() && !p.topTierSeen.IsZero() && now.Sub(p.topTierSeen) < topTierReserveTime
}

// eligible reports whether a server is usable and not retired.
func (p *Pool) eligible(now time.Time, s *server) bool {
	_, retired := p.policy.Retired[s.ID]
	return !retired && s.usable(now)
}

// exclusionsApply reports whether a ticket excludes servers and an eligible server
// remains; otherwise the exclusions are ignored.
func (p *Pool) exclusionsApply(now time.Time, w *queuedTicket) bool {
	if len(w.Exclude) == 0 {
		return false
	}
	for _, s := range p.serversByID {
		if p.eligible(now, s) && !slices.Contains(w.Exclude, s.ID) {
			return true
		}
	}
	return false
}
