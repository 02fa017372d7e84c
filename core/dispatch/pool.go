package dispatch

import (
	"container/heap"
	"math"
	"slices"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"cardamomwick.example/core/bundle"
	"cardamomwick.example/core/lengths"
)

// Queue parameters.
const (
	// maxWaiting is the most tickets that may wait in one pool.
	maxWaiting = 20000
	// shareWindow is the decay time constant of the work that guaranteed shares are
	// compared with.
	shareWindow = 10 * time.Second
	// syncGrace is how long a grant may be missing from its entry's reports before
	// its slot is released: a report may have been sent before the grant arrived.
	syncGrace = 2 * time.Second
	// promptWeight is the work of one input token in output tokens.
	promptWeight = 0.05
	// topTierReserve is the fraction of a server's slots that lower tiers leave free
	// while the top tier has traffic.
	topTierReserve = 0.06
	// maxSlotsWithoutReserve: servers with at most this many slots reserve none.
	maxSlotsWithoutReserve = 4
	// topTierReserveTime is how long after its last ticket the top tier counts as having
	// traffic.
	topTierReserveTime = 30 * time.Second
	// maxFirstTokenFraction is the largest part of a first-token target that is reserved
	// for producing the token.
	maxFirstTokenFraction = 0.5
	// defaultOutputTokens is the assumed answer length of a class without finished calls.
	defaultOutputTokens = 200
	minRetryAfter       = time.Second
	maxRetryAfter       = 30 * time.Second
)

// runningTicket is a ticket that holds a slot of a server.
type runningTicket struct {
	ticket *queuedTicket
	server string
	since  time.Time
	class  *classQueue
}

// Pool dispatches the calls of one pool. It is not safe for concurrent use.
type Pool struct {
	policy  Policy
	classes map[string]*classQueue
	// classesByTier lists the classes sorted by tier, then name.
	classesByTier []*classQueue
	waiting       map[TicketID]*queuedTicket
	expiry        expiryHeap
	running       map[TicketID]*runningTicket
	servers       map[string]*server
	// serversByID lists the servers sorted by ID, so that equal inputs give equal
	// grants.
	serversByID []*server
	limiters    map[string]*rate.Limiter
	inUse       map[string]int // running calls per customer
	lengths     *lengths.Estimator
	lastDecay   time.Time
	topTierSeen time.Time
	// finishRate is the exponential moving average of completed calls per second.
	finishRate     float64
	finishedSince  time.Time
	finishedCount  int
	meanFirstToken time.Duration
	pending        Actions
}

// NewPool returns an empty pool.
func NewPool(now time.Time) *Pool {
	return &Pool{classes: map[string]*classQueue{}, waiting: map[TicketID]*queuedTicket{}, running: map[TicketID]*runningTicket{},
		servers: map[string]*server{}, limiters: map[string]*rate.Limiter{}, inUse: map[string]int{},
		lengths: lengths.New(defaultOutputTokens), lastDecay: now, finishedSince: now}
}

// SetPolicy applies a new configuration. Tickets of classes that it no longer
// declares are refused.
func (p *Pool) SetPolicy(policy Policy) {
	old := p.policy
	p.policy = policy
	for name, c := range policy.Classes {
		if q := p.classes[name]; q != nil {
			q.policy = c
			continue
		}
		p.classes[name] = newClassQueue(name, c)
	}
	for name := range p.classes {
		if _, ok := policy.Classes[name]; !ok {
			p.removeClass(name)
		}
	}
	for name, c := range policy.Customers {
		if old.Customers[name].RequestsPerSecond != c.RequestsPerSecond || old.Customers[name].Burst != c.Burst {
			delete(p.limiters, name)
		}
	}
	p.sortClasses()
}

// sortClasses rebuilds classesByTier.
func (p *Pool) sortClasses() {
	p.classesByTier = p.classesByTier[:0]
	for _, q := range p.classes {
		p.classesByTier = append(p.classesByTier, q)
	}
	sort.Slice(p.classesByTier, func(i, j int) bool {
		a, b := p.classesByTier[i], p.classesByTier[j]
		if a.policy.Tier != b.policy.Tier {
			return a.policy.Tier < b.policy.Tier
		}
		return a.name < b.name
	})
}

// removeClass refuses the waiting tickets of a class and removes it.
func (p *Pool) removeClass(name string) {
	for _, w := range p.waiting {
		if w.Class == name {
			p.refuse(w, ReasonUnknownClass)
		}
	}
	delete(p.classes, name)
}

// Announce adds or updates a backend server.
func (p *Pool) Announce(now time.Time, info ServerInfo) {
	s := p.servers[info.ID]
	if s == nil {
		s = newServer(info)
		p.servers[info.ID] = s
		p.serversByID = append(p.serversByID, s)
		sort.Slice(p.serversByID, func(i, j int) bool { return p.serversByID[i].ID < p.serversByID[j].ID })
	}
	s.update(now, info)
}

// Enqueue adds a ticket to the queue. A ticket that is already waiting or running
// is ignored, so entries may send tickets repeatedly.
func (p *Pool) Enqueue(now time.Time, t Ticket) {
	if p.waiting[t.ID] != nil || p.running[t.ID] != nil {
		return
	}
	w := &queuedTicket{Ticket: t, arrival: now.Add(-t.Age)}
	c := p.classes[t.Class]
	if c == nil {
		p.refuse(w, ReasonUnknownClass)
		return
	}
	if t.Attempt <= 1 && t.Age < syncGrace && !p.allowRate(now, t.Customer) {
		p.refuse(w, ReasonCustomerRate)
		return
	}
	p.setExpiry(now, w, c)
	w.estimatedWork = p.estimate(&w.Ticket)
	if c.policy.Tier == p.topTier() {
		p.topTierSeen = now
	}
	if len(p.waiting) >= maxWaiting && !p.shedLowerTier(c) {
		p.refuse(w, ReasonQueueFull)
		return
	}
	p.waiting[t.ID] = w
	c.add(w)
	heap.Push(&p.expiry, w)
}

// topTier returns the highest tier of the configuration; 1 is the highest possible.
func (p *Pool) topTier() int {
	if len(p.classesByTier) == 0 {
		return 1
	}
	return p.classesByTier[0].policy.Tier
}

// setExpiry sets when a waiting ticket is refused, and the latest start at which
// its first-token target can be met. A class that gives up on a missed
// first-token target is refused only for time spent waiting: the time reserved
// for producing the first token is at most half of the target, so a ticket is
// never refused before it has waited for the other half.
func (p *Pool) setExpiry(now time.Time, w *queuedTicket, c *classQueue) {
	w.expires = now.Add(w.Remaining)
	w.reason = ReasonDeadline
	target := c.policy.FirstTokenTarget.D()
	reserve := min(p.meanFirstToken, time.Duration(float64(target)*maxFirstTokenFraction))
	w.latestStart = w.arrival.Add(target - reserve)
	if c.policy.GiveUp == bundle.GiveUpFirstToken && w.latestStart.Before(w.expires) {
		w.expires = w.latestStart
		w.reason = ReasonFirstToken
	}
}

// allowRate takes a token from the customer's rate limiter and reports whether
// there was one.
func (p *Pool) allowRate(now time.Time, customer string) bool {
	c, ok := p.policy.Customers[customer]
	if !ok || c.RequestsPerSecond == 0 {
		return true
	}
	l := p.limiters[customer]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(c.RequestsPerSecond), c.Burst)
		p.limiters[customer] = l
	}
	return l.AllowN(now, 1)
}

// estimate returns a ticket's expected work in output tokens.
func (p *Pool) estimate(t *Ticket) float64 {
	return p.lengths.Mean(t.Class) + promptWeight*float64(t.PromptTokens)
}

// shedLowerTier frees a place in the queue for a ticket of class c by refusing the
// newest ticket of the lowest tier that has one, and reports whether it could.
// Tickets of the same or a higher tier are never shed.
func (p *Pool) shedLowerTier(c *classQueue) bool {
	for i := len(p.classesByTier) - 1; i >= 0; i-- {
		lower := p.classesByTier[i]
		if lower.policy.Tier <= c.policy.Tier {
			return false
		}
		if w := lower.newest(); w != nil {
			p.refuse(w, ReasonQueueFull)
			return true
		}
	}
	return false
}

// refuse removes a ticket and adds a Refusal to the pending actions.
func (p *Pool) refuse(w *queuedTicket, reason Reason) {
	if c := p.classes[w.Class]; c != nil && p.waiting[w.ID] == w {
		c.remove(w)
	}
	delete(p.waiting, w.ID)
	p.pending.Refusals = append(p.pending.Refusals, Refusal{ID: w.ID, Reason: reason, RetryAfter: p.retryAfter(w.Class), Attempt: w.Attempt})
}

// retryAfter estimates how long the tickets now waiting in the class, and in
// those that precede it by tier, take to run.
func (p *Pool) retryAfter(class string) time.Duration {
	ahead := 0
	for _, c := range p.classesByTier {
		ahead += c.queued
		if c.name == class {
			break
		}
	}
	if p.finishRate <= 0 {
		return minRetryAfter
	}
	d := time.Duration(float64(ahead) / p.finishRate * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Cancel removes a waiting ticket. It has no effect on running ones.
func (p *Pool) Cancel(id TicketID) {
	if w := p.waiting[id]; w != nil {
		p.classes[w.Class].remove(w)
		delete(p.waiting, id)
	}
}

// Finish releases a grant's slot, and updates the estimates of answer lengths and
// the server's fault state from the usage.
func (p *Pool) Finish(now time.Time, id TicketID, u Usage) {
	r := p.running[id]
	if r == nil {
		return
	}
	p.releaseRunning(now, id, r)
	s := p.servers[r.server]
	if s != nil {
		s.chargeRequests(now, u.ExtraRequests)
	}
	switch {
	case u.Fault && s != nil:
		s.recordFault(now)
	case u.Completed:
		if s != nil {
			s.consecutiveFaults = 0
		}
		p.lengths.Observe(r.ticket.Class, u.OutputTokens)
		p.correctCharge(r, u)
		p.finishedCount++
	}
}

// correctCharge replaces the estimated work charged to the class and the customer
// by the actual work.
func (p *Pool) correctCharge(r *runningTicket, u Usage) {
	actual := float64(u.OutputTokens) + promptWeight*float64(r.ticket.PromptTokens)
	diff := actual - r.ticket.estimatedWork
	r.class.recentWork = math.Max(0, r.class.recentWork+diff)
	if q := r.class.customers[r.ticket.Customer]; q != nil {
		q.virtualTime += diff / p.weight(r.ticket.Customer)
		if q.heapIndex >= 0 {
			heap.Fix(&r.class.active, q.heapIndex)
		}
	}
}

// releaseRunning removes a running ticket and releases its slot.
func (p *Pool) releaseRunning(now time.Time, id TicketID, r *runningTicket) {
	delete(p.running, id)
	if s := p.servers[r.server]; s != nil {
		s.release(now)
	}
	if p.inUse[r.ticket.Customer]--; p.inUse[r.ticket.Customer] <= 0 {
		delete(p.inUse, r.ticket.Customer)
	}
}

// weight returns the customer's fair-queueing weight, 1 by default.
func (p *Pool) weight(customer string) float64 {
	if c, ok := p.policy.Customers[customer]; ok && c.Weight > 0 {
		return c.Weight
	}
	return 1
}

// Sync reconciles the grants of one entry with the calls that it reports as
// running. Unknown calls are adopted, as after a change of dispatcher; slots of
// grants that the entry doesn't report are released after syncGrace.
func (p *Pool) Sync(now time.Time, entry string, list []RunningCall, progress []Progress) {
	named := make(map[TicketID]bool, len(list))
	for _, r := range list {
		named[r.Ticket.ID] = true
		if p.running[r.Ticket.ID] == nil {
			p.adopt(now, r)
		}
	}
	for id, r := range p.running {
		if id.Entry == entry && !named[id] && now.Sub(r.since) > syncGrace {
			p.releaseRunning(now, id, r)
		}
	}
	for _, g := range progress {
		if s := p.servers[g.Server]; s != nil {
			s.observeProgress(g.Tokens, g.Busy)
		}
	}
	if len(progress) > 0 {
		updateSpeeds(p.serversByID)
	}
}

// adopt records a running call that another dispatcher granted.
func (p *Pool) adopt(now time.Time, r RunningCall) {
	c := p.classes[r.Ticket.Class]
	if c == nil {
		return
	}
	p.Cancel(r.Ticket.ID)
	w := &queuedTicket{Ticket: r.Ticket, arrival: now.Add(-r.Ticket.Age), estimatedWork: p.estimate(&r.Ticket)}
	p.markRunning(now, w, c, r.Server)
}

// markRunning records that a ticket holds a slot, and charges its estimated work to
// its class.
func (p *Pool) markRunning(now time.Time, w *queuedTicket, c *classQueue, serverID string) {
	p.running[w.ID] = &runningTicket{ticket: w, server: serverID, since: now, class: c}
	p.inUse[w.Customer]++
	c.recentWork += w.estimatedWork
	if s := p.servers[serverID]; s != nil {
		s.acquire(now)
	}
}

// DropEntry removes all waiting and running tickets of an entry that no longer
// reports.
func (p *Pool) DropEntry(now time.Time, entry string) {
	for id := range p.waiting {
		if id.Entry == entry {
			p.Cancel(id)
		}
	}
	for id, r := range p.running {
		if id.Entry == entry {
			p.releaseRunning(now, id, r)
		}
	}
}

// ObserveFirstToken adds a sample to the moving average of the time from grant to
// first token.
func (p *Pool) ObserveFirstToken(d time.Duration) {
	if p.meanFirstToken == 0 {
		p.meanFirstToken = d
		return
	}
	p.meanFirstToken += (d - p.meanFirstToken) / 16
}

// Advance refuses expired tickets, removes silent servers and grants free slots. It
// returns the grants and refusals since the last call.
func (p *Pool) Advance(now time.Time) Actions {
	p.decay(now)
	p.expire(now)
	p.removeSilentServers(now)
	for p.grantNext(now) {
	}
	out := p.pending
	p.pending = Actions{}
	return out
}

// decay ages the classes' recent work and updates the rate of completed calls.
func (p *Pool) decay(now time.Time) {
	dt := now.Sub(p.lastDecay)
	if dt <= 0 {
		return
	}
	p.lastDecay = now
	f := math.Exp(-float64(dt) / float64(shareWindow))
	for _, c := range p.classesByTier {
		c.recentWork *= f
	}
	if span := now.Sub(p.finishedSince); span >= time.Second {
		perSecond := float64(p.finishedCount) / span.Seconds()
		p.finishRate += 0.3 * (perSecond - p.finishRate)
		p.finishedCount = 0
		p.finishedSince = now
	}
}

// expire refuses the tickets whose waiting time is over.
func (p *Pool) expire(now time.Time) {
	for len(p.expiry) > 0 && (p.expiry[0].removed || !now.Before(p.expiry[0].expires)) {
		w := heap.Pop(&p.expiry).(*queuedTicket)
		if !w.removed {
			p.refuse(w, w.reason)
		}
	}
}

// removeSilentServers removes servers that have not announced themselves for ten
// times ServerTTL and hold no granted slot.
func (p *Pool) removeSilentServers(now time.Time) {
	p.serversByID = slices.DeleteFunc(p.serversByID, func(s *server) bool {
		if now.Sub(s.lastAnnounced) < 10*ServerTTL || s.granted > 0 {
			return false
		}
		delete(p.servers, s.ID)
		return true
	})
}
