// Package scheduler is the client of the dispatcher in an entry: it sends tickets
// to a pool's dispatcher, waits for grants, and sends all tickets and running calls
// to the next dispatcher when one fails. The entry's state of waiting and running
// calls is authoritative, since the entry holds the callers' connections.
package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/dispatch"
	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/dispatcher"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/loop"
)

// Timing of the messages to a dispatcher.
const (
	// syncPeriod is the time between reports.
	syncPeriod = 200 * time.Millisecond
	// dispatcherTimeout is how long a report may be unanswered before the dispatcher
	// counts as lost.
	dispatcherTimeout = 700 * time.Millisecond
	// lostDispatcherBackoff is how long this entry does not select a lost dispatcher.
	lostDispatcherBackoff = 3 * time.Second
	// ticketGrace is how long a ticket may be missing at the dispatcher before the
	// waiting tickets are sent again: it may still be on its way.
	ticketGrace = 300 * time.Millisecond
)

// RefusedError means that the dispatcher refused the call and it was not run.
type RefusedError struct {
	Reason     dispatch.Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused by the dispatcher: " + string(e.Reason) }

// Slot is a granted slot of a backend server.
type Slot interface {
	// ObserveToken counts a token received at the given time.
	ObserveToken(now time.Time)
	// Finish releases the slot.
	Finish(u dispatch.Usage)
}

// Ranker orders the instances for a key by preference; gossip.Service implements it.
type Ranker interface {
	Rank(key string) []membership.Instance
}

// Scheduler queues an entry's calls at the dispatchers. It is a suture service.
type Scheduler struct {
	transport *frame.Transport
	ranker    Ranker
	entry     string
	sequence  atomic.Uint64

	mu    sync.Mutex
	pools map[string]*poolState
	// lostAt holds when each lost dispatcher was last found lost, by peer address.
	lostAt map[string]time.Time
}

// poolState holds the calls of one pool and the state of its dispatcher.
type poolState struct {
	name       string
	dispatcher string
	calls      map[uint64]*Call
	// unansweredSince is when the oldest unanswered report was sent, zero if none is.
	unansweredSince time.Time
	progress        map[string]*dispatch.Progress
	firstTokenSum   time.Duration
	firstTokenCount int
}

// Call is a call that waits for a grant or holds a slot. It implements Slot.
type Call struct {
	scheduler *Scheduler
	pool      *poolState
	ticket    dispatch.Ticket
	// arrived and deadline are times of this entry's clock.
	arrived  time.Time
	deadline time.Time
	enqueued time.Time
	result   chan result
	// The fields below are guarded by Scheduler.mu.
	server        string
	granted       time.Time
	tokens        int
	progressSince time.Time
	finished      bool
}

type result struct {
	grant   dispatch.Grant
	refusal *RefusedError
}

// New returns a scheduler and registers its frame handlers. process identifies this
// start of the daemon.
func New(t *frame.Transport, r Ranker, process string) *Scheduler {
	s := &Scheduler{transport: t, ranker: r, entry: dispatcher.EntryName(t.Self(), process), pools: map[string]*poolState{}, lostAt: map[string]time.Time{}}
	t.HandleOneWay(dispatcher.MethodActions, s.handleActions)
	t.HandleOneWay(dispatcher.MethodSyncReply, s.handleSyncReply)
	t.OnDown(s.peerDown)
	return s
}

// String names the service in the supervisor's log.
func (s *Scheduler) String() string { return "scheduler" }

// Serve checks the dispatchers and reports to them until the context ends.
func (s *Scheduler) Serve(ctx context.Context) error {
	return loop.Every(ctx, syncPeriod, func(now time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, ps := range s.pools {
			s.checkDispatcher(now, ps)
			s.sendReport(now, ps)
		}
	})
}

// selectDispatcher returns the address of the first-ranked dispatcher that was not
// lost recently. If all were, it returns the first, without members its own address.
func (s *Scheduler) selectDispatcher(now time.Time, pool string) string {
	ranked := s.ranker.Rank(pool)
	for _, i := range ranked {
		if at, ok := s.lostAt[i.PeerAddress]; !ok || now.Sub(at) > lostDispatcherBackoff {
			return i.PeerAddress
		}
	}
	if len(ranked) > 0 {
		return ranked[0].PeerAddress
	}
	return s.transport.Self()
}

// poolState returns the state of a pool, which it creates on first use.
func (s *Scheduler) poolState(now time.Time, pool string) *poolState {
	ps := s.pools[pool]
	if ps == nil {
		ps = &poolState{name: pool, calls: map[uint64]*Call{}, progress: map[string]*dispatch.Progress{}}
		ps.dispatcher = s.selectDispatcher(now, pool)
		s.pools[pool] = ps
	}
	return ps
}

// checkDispatcher switches to another dispatcher when the current one does not
// answer or is no longer the first choice.
func (s *Scheduler) checkDispatcher(now time.Time, ps *poolState) {
	if !ps.unansweredSince.IsZero() && now.Sub(ps.unansweredSince) > dispatcherTimeout {
		s.lostAt[ps.dispatcher] = now
		ps.unansweredSince = time.Time{}
	}
	if d := s.selectDispatcher(now, ps.name); d != ps.dispatcher {
		s.switchDispatcher(now, ps, d)
	}
}

// switchDispatcher sends all calls of a pool to another dispatcher. Tickets carry
// their age, so their order is kept.
func (s *Scheduler) switchDispatcher(now time.Time, ps *poolState, to string) {
	log.WithField("pool", ps.name).WithField("peer", to).WithField("previous", ps.dispatcher).Info("dispatcher changed")
	ps.dispatcher = to
	ps.unansweredSince = time.Time{}
	s.sendReport(now, ps)
	s.resend(now, ps)
}

// peerDown marks a dispatcher as lost when the connection to it breaks.
func (s *Scheduler) peerDown(address string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt[address] = now
	for _, ps := range s.pools {
		if ps.dispatcher == address {
			if d := s.selectDispatcher(now, ps.name); d != address {
				s.switchDispatcher(now, ps, d)
			}
		}
	}
}

// resend sends all waiting tickets of a pool to its dispatcher.
func (s *Scheduler) resend(now time.Time, ps *poolState) {
	var tickets []dispatch.Ticket
	for _, c := range ps.calls {
		if c.server == "" {
			tickets = append(tickets, c.currentTicket(now))
		}
	}
	if len(tickets) > 0 {
		_ = s.transport.Send(ps.dispatcher, dispatcher.MethodEnqueue, &dispatcher.Enqueue{Pool: ps.name, Tickets: tickets})
	}
}

// currentTicket returns the ticket with its age and remaining time as of now.
func (c *Call) currentTicket(now time.Time) dispatch.Ticket {
	t := c.ticket
	t.Age = now.Sub(c.arrived)
	t.Remaining = c.deadline.Sub(now)
	return t
}

// sendReport sends a pool's running calls and their progress to the dispatcher. It
// sends nothing if there are neither calls nor progress.
func (s *Scheduler) sendReport(now time.Time, ps *poolState) {
	if len(ps.calls) == 0 && len(ps.progress) == 0 {
		ps.unansweredSince = time.Time{}
		return
	}
	m := dispatcher.Sync{Pool: ps.name, Entry: s.entry}
	for _, c := range ps.calls {
		if c.server != "" {
			c.collectProgress(now)
			m.Running = append(m.Running, dispatch.RunningCall{Ticket: c.currentTicket(now), Server: c.server})
		}
	}
	for _, p := range ps.progress {
		m.Progress = append(m.Progress, *p)
	}
	ps.progress = map[string]*dispatch.Progress{}
	if ps.firstTokenCount > 0 {
		m.FirstToken = ps.firstTokenSum / time.Duration(ps.firstTokenCount)
		ps.firstTokenSum, ps.firstTokenCount = 0, 0
	}
	if ps.unansweredSince.IsZero() {
		ps.unansweredSince = now
	}
	_ = s.transport.Send(ps.dispatcher, dispatcher.MethodSync, &m)
}

// collectProgress adds a call's tokens and generating time since the last report to
// the pool's progress.
func (c *Call) collectProgress(now time.Time) {
	if c.progressSince.IsZero() {
		return
	}
	p := c.pool.progress[c.server]
	if p == nil {
		p = &dispatch.Progress{Server: c.server}
		c.pool.progress[c.server] = p
	}
	p.Tokens += c.tokens
	p.Busy += now.Sub(c.progressSince)
	c.tokens = 0
	c.progressSince = now
}

// handleSyncReply sends the waiting tickets again if the dispatcher holds fewer of
// them than it should.
func (s *Scheduler) handleSyncReply(from string, body []byte) {
	var m dispatcher.SyncReply
	if wire.Decode(body, &m) != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	ps := s.pools[m.Pool]
	if ps == nil || ps.dispatcher != from {
		return
	}
	ps.unansweredSince = time.Time{}
	overdue := 0
	for _, c := range ps.calls {
		if c.server == "" && now.Sub(c.enqueued) > ticketGrace {
			overdue++
		}
	}
	if overdue > m.Waiting {
		s.resend(now, ps)
	}
}

func (s *Scheduler) handleActions(from string, body []byte) {
	var m dispatcher.Actions
	if err := wire.Decode(body, &m); err != nil {
		log.WithError(err).WithField("step", "decode actions").WithField("peer", from).Warn("message dropped")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range m.Actions.Grants {
		s.handleGrant(from, m.Pool, g)
	}
	for _, r := range m.Actions.Refusals {
		s.handleRefusal(m.Pool, r)
	}
}

// handleGrant passes a grant to its call, or releases the slot if the call has ended
// or already runs under another dispatcher's grant.
func (s *Scheduler) handleGrant(from, pool string, g dispatch.Grant) {
	c := s.findCall(pool, g.ID)
	if c == nil || c.server != "" {
		_ = s.transport.Send(from, dispatcher.MethodFinish, &dispatcher.Finish{Pool: pool, ID: g.ID})
		return
	}
	c.server = g.Server
	c.granted = time.Now()
	c.result <- result{grant: g}
}

// handleRefusal ends a waiting call with the refusal.
func (s *Scheduler) handleRefusal(pool string, r dispatch.Refusal) {
	c := s.findCall(pool, r.ID)
	if c == nil || c.server != "" {
		return
	}
	c.remove()
	c.result <- result{refusal: &RefusedError{r.Reason, r.RetryAfter}}
}

// findCall returns the call of a ticket of this process, nil if it has ended.
func (s *Scheduler) findCall(pool string, id dispatch.TicketID) *Call {
	ps := s.pools[pool]
	if ps == nil || id.Entry != s.entry {
		return nil
	}
	return ps.calls[id.Sequence]
}

// remove deletes a call from its pool. Scheduler.mu must be held.
func (c *Call) remove() {
	c.finished = true
	delete(c.pool.calls, c.ticket.ID.Sequence)
}

// Acquire queues a ticket and waits for a grant. arrived is when the caller's request
// was received, so that later attempts keep their place in the queue.
func (s *Scheduler) Acquire(ctx context.Context, pool string, t dispatch.Ticket, arrived, deadline time.Time) (Slot, dispatch.Grant, error) {
	now := time.Now()
	t.ID = dispatch.TicketID{Entry: s.entry, Sequence: s.sequence.Add(1)}
	c := &Call{scheduler: s, ticket: t, arrived: arrived, deadline: deadline, enqueued: now, result: make(chan result, 1)}
	s.mu.Lock()
	c.pool = s.poolState(now, pool)
	c.pool.calls[t.ID.Sequence] = c
	to := c.pool.dispatcher
	s.mu.Unlock()
	_ = s.transport.Send(to, dispatcher.MethodEnqueue, &dispatcher.Enqueue{Pool: pool, Tickets: []dispatch.Ticket{c.currentTicket(now)}})
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case r := <-c.result:
		if r.refusal != nil {
			return nil, dispatch.Grant{}, r.refusal
		}
		return c, r.grant, nil
	case <-timeout.C:
		c.Finish(dispatch.Usage{})
		return nil, dispatch.Grant{}, &RefusedError{dispatch.ReasonDeadline, time.Second}
	case <-ctx.Done():
		c.Finish(dispatch.Usage{})
		return nil, dispatch.Grant{}, eris.Wrap(ctx.Err(), "wait for a grant")
	}
}

// ObserveToken counts a received token; the first one gives the time to first token.
func (c *Call) ObserveToken(now time.Time) {
	c.scheduler.mu.Lock()
	defer c.scheduler.mu.Unlock()
	if c.progressSince.IsZero() {
		c.pool.firstTokenSum += now.Sub(c.granted)
		c.pool.firstTokenCount++
		c.progressSince = now
		return
	}
	c.tokens++
}

// Finish releases the slot, or cancels the ticket if it still waits.
func (c *Call) Finish(u dispatch.Usage) {
	c.scheduler.mu.Lock()
	defer c.scheduler.mu.Unlock()
	if c.finished {
		return
	}
	waiting := c.server == ""
	if !waiting {
		c.collectProgress(time.Now())
	}
	c.remove()
	to := c.pool.dispatcher
	if waiting {
		_ = c.scheduler.transport.Send(to, dispatcher.MethodCancel, &dispatcher.Cancel{Pool: c.pool.name, ID: c.ticket.ID})
		return
	}
	_ = c.scheduler.transport.Send(to, dispatcher.MethodFinish, &dispatcher.Finish{Pool: c.pool.name, ID: c.ticket.ID, Usage: u})
}

// Load returns the numbers of this entry's waiting and running calls.
func (s *Scheduler) Load() (waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ps := range s.pools {
		for _, c := range ps.calls {
			if c.server == "" {
				waiting++
				continue
			}
			running++
		}
	}
	return waiting, running
}
