// Package scheduler is the entry's side of dispatching: it sends tickets to
// the pool's dispatcher, waits for grants, and moves everything to the next
// dispatcher when one is lost. The truth about waiting and running calls stays
// here, with the callers' connections.
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

// Timing of the link to a dispatcher.
const (
	syncPeriod = 200 * time.Millisecond
	// silenceLimit is how long a dispatcher may leave reports unanswered.
	silenceLimit = 700 * time.Millisecond
	// distrust is how long a lost dispatcher is passed over here.
	distrust = 3 * time.Second
	// settle is how young a ticket may be to be missing at the dispatcher.
	settle = 300 * time.Millisecond
)

// RefusedError is a dispatcher's refusal; the call was not run.
type RefusedError struct {
	Reason     dispatch.Reason
	RetryAfter time.Duration
}

// Error names the reason.
func (e *RefusedError) Error() string { return "refused by the dispatcher: " + string(e.Reason) }

// Slot is a granted place on a backend server.
type Slot interface {
	// Token notes a generated token.
	Token(now time.Time)
	// Finish gives the slot back.
	Finish(u dispatch.Usage)
}

// Ranker orders the instances for a key; gossip.Service is one.
type Ranker interface {
	Rank(key string) []membership.Instance
}

// Scheduler is a suture service.
type Scheduler struct {
	transport *frame.Transport
	ranker    Ranker
	entry     string
	sequence  atomic.Uint64

	mu    sync.Mutex
	pools map[string]*link
	// lost maps dispatchers' peer addresses to when they were lost.
	lost map[string]time.Time
}

// link is this entry's relation to one pool.
type link struct {
	pool       string
	dispatcher string
	calls      map[uint64]*Call
	// unanswered is when the oldest unanswered report was sent.
	unanswered time.Time
	progress   map[string]*dispatch.Progress
	firstSum   time.Duration
	firstCount int
}

// Call is one ticket's way through the dispatcher.
type Call struct {
	s      *Scheduler
	link   *link
	ticket dispatch.Ticket
	// arrived and deadline are on this entry's clock.
	arrived  time.Time
	deadline time.Time
	queued   time.Time
	answer   chan answer
	// The fields below are guarded by Scheduler.mu.
	server  string
	granted time.Time
	tokens  int
	busyAt  time.Time
	over    bool
}

type answer struct {
	grant   dispatch.Grant
	refusal *RefusedError
}

// New registers the frame handlers. process tells this start of the daemon
// from others.
func New(t *frame.Transport, r Ranker, process string) *Scheduler {
	s := &Scheduler{transport: t, ranker: r, entry: dispatcher.EntryName(t.Self(), process), pools: map[string]*link{}, lost: map[string]time.Time{}}
	t.HandleOneWay(dispatcher.MethodActions, s.handleActions)
	t.HandleOneWay(dispatcher.MethodSynced, s.handleSynced)
	t.OnDown(s.peerDown)
	return s
}

// String names the service in the supervisor's log.
func (s *Scheduler) String() string { return "scheduler" }

// Serve reports to the dispatchers until the context ends.
func (s *Scheduler) Serve(ctx context.Context) error {
	return loop.Every(ctx, syncPeriod, func(now time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, l := range s.pools {
			s.checkDispatcher(now, l)
			s.report(now, l)
		}
	})
}

// choose returns the pool's dispatcher in this entry's view.
func (s *Scheduler) choose(now time.Time, pool string) string {
	ranked := s.ranker.Rank(pool)
	for _, i := range ranked {
		if at, ok := s.lost[i.PeerAddress]; !ok || now.Sub(at) > distrust {
			return i.PeerAddress
		}
	}
	if len(ranked) > 0 {
		return ranked[0].PeerAddress
	}
	return s.transport.Self()
}

func (s *Scheduler) link(now time.Time, pool string) *link {
	l := s.pools[pool]
	if l == nil {
		l = &link{pool: pool, calls: map[uint64]*Call{}, progress: map[string]*dispatch.Progress{}}
		l.dispatcher = s.choose(now, pool)
		s.pools[pool] = l
	}
	return l
}

// checkDispatcher moves to another dispatcher when the current one is silent
// or no longer the first choice.
func (s *Scheduler) checkDispatcher(now time.Time, l *link) {
	if !l.unanswered.IsZero() && now.Sub(l.unanswered) > silenceLimit {
		s.lost[l.dispatcher] = now
		l.unanswered = time.Time{}
	}
	if d := s.choose(now, l.pool); d != l.dispatcher {
		s.move(now, l, d)
	}
}

// move sends all calls of a pool to another dispatcher, with their age, so
// that their order is kept.
func (s *Scheduler) move(now time.Time, l *link, to string) {
	log.WithField("pool", l.pool).WithField("peer", to).WithField("previous", l.dispatcher).Info("dispatcher changed")
	l.dispatcher = to
	l.unanswered = time.Time{}
	s.report(now, l)
	s.resend(now, l)
}

func (s *Scheduler) peerDown(address string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[address] = now
	for _, l := range s.pools {
		if l.dispatcher == address {
			if d := s.choose(now, l.pool); d != address {
				s.move(now, l, d)
			}
		}
	}
}

func (s *Scheduler) resend(now time.Time, l *link) {
	var tickets []dispatch.Ticket
	for _, c := range l.calls {
		if c.server == "" {
			tickets = append(tickets, c.current(now))
		}
	}
	if len(tickets) > 0 {
		_ = s.transport.Send(l.dispatcher, dispatcher.MethodEnqueue, &dispatcher.Enqueue{Pool: l.pool, Tickets: tickets})
	}
}

// current returns the ticket with its age as of now.
func (c *Call) current(now time.Time) dispatch.Ticket {
	t := c.ticket
	t.Age = now.Sub(c.arrived)
	t.Remaining = c.deadline.Sub(now)
	return t
}

// report sends what runs and how fast. An idle pool sends nothing.
func (s *Scheduler) report(now time.Time, l *link) {
	if len(l.calls) == 0 && len(l.progress) == 0 {
		l.unanswered = time.Time{}
		return
	}
	m := dispatcher.Sync{Pool: l.pool, Entry: s.entry}
	for _, c := range l.calls {
		if c.server != "" {
			c.settleProgress(now)
			m.Running = append(m.Running, dispatch.RunningCall{Ticket: c.current(now), Server: c.server})
		}
	}
	for _, p := range l.progress {
		m.Progress = append(m.Progress, *p)
	}
	l.progress = map[string]*dispatch.Progress{}
	if l.firstCount > 0 {
		m.FirstToken = l.firstSum / time.Duration(l.firstCount)
		l.firstSum, l.firstCount = 0, 0
	}
	if l.unanswered.IsZero() {
		l.unanswered = now
	}
	_ = s.transport.Send(l.dispatcher, dispatcher.MethodSync, &m)
}

// settleProgress moves a stream's tokens into the pool's report.
func (c *Call) settleProgress(now time.Time) {
	if c.busyAt.IsZero() {
		return
	}
	p := c.link.progress[c.server]
	if p == nil {
		p = &dispatch.Progress{Server: c.server}
		c.link.progress[c.server] = p
	}
	p.Tokens += c.tokens
	p.Busy += now.Sub(c.busyAt)
	c.tokens = 0
	c.busyAt = now
}

func (s *Scheduler) handleSynced(from string, body []byte) {
	var m dispatcher.Synced
	if wire.Decode(body, &m) != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.pools[m.Pool]
	if l == nil || l.dispatcher != from {
		return
	}
	l.unanswered = time.Time{}
	settled := 0
	for _, c := range l.calls {
		if c.server == "" && now.Sub(c.queued) > settle {
			settled++
		}
	}
	if settled > m.Waiting {
		s.resend(now, l)
	}
}

func (s *Scheduler) handleActions(from string, body []byte) {
	var m dispatcher.Actions
	if err := wire.Decode(body, &m); err != nil {
		log.WithError(err).WithField("step", "decode grants").WithField("peer", from).Warn("message dropped")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range m.Do.Grants {
		s.takeGrant(from, m.Pool, g)
	}
	for _, r := range m.Do.Refusals {
		s.takeRefusal(m.Pool, r)
	}
}

// takeGrant starts a call, or gives the slot back when the call is gone or
// runs already by another dispatcher's grant.
func (s *Scheduler) takeGrant(from, pool string, g dispatch.Grant) {
	c := s.find(pool, g.ID)
	if c == nil || c.server != "" {
		_ = s.transport.Send(from, dispatcher.MethodFinish, &dispatcher.Finish{Pool: pool, ID: g.ID})
		return
	}
	c.server = g.Server
	c.granted = time.Now()
	c.answer <- answer{grant: g}
}

func (s *Scheduler) takeRefusal(pool string, r dispatch.Refusal) {
	c := s.find(pool, r.ID)
	if c == nil || c.server != "" {
		return
	}
	c.end()
	c.answer <- answer{refusal: &RefusedError{r.Reason, r.RetryAfter}}
}

func (s *Scheduler) find(pool string, id dispatch.TicketID) *Call {
	l := s.pools[pool]
	if l == nil || id.Entry != s.entry {
		return nil
	}
	return l.calls[id.Sequence]
}

// end forgets a call; the lock is held.
func (c *Call) end() {
	c.over = true
	delete(c.link.calls, c.ticket.ID.Sequence)
}

// Acquire queues a ticket and waits for a grant. arrived is when the caller's
// request came, so that later attempts keep their place.
func (s *Scheduler) Acquire(ctx context.Context, pool string, t dispatch.Ticket, arrived, deadline time.Time) (Slot, dispatch.Grant, error) {
	now := time.Now()
	t.ID = dispatch.TicketID{Entry: s.entry, Sequence: s.sequence.Add(1)}
	c := &Call{s: s, ticket: t, arrived: arrived, deadline: deadline, queued: now, answer: make(chan answer, 1)}
	s.mu.Lock()
	c.link = s.link(now, pool)
	c.link.calls[t.ID.Sequence] = c
	to := c.link.dispatcher
	s.mu.Unlock()
	_ = s.transport.Send(to, dispatcher.MethodEnqueue, &dispatcher.Enqueue{Pool: pool, Tickets: []dispatch.Ticket{c.current(now)}})
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	select {
	case a := <-c.answer:
		if a.refusal != nil {
			return nil, dispatch.Grant{}, a.refusal
		}
		return c, a.grant, nil
	case <-late.C:
		c.Finish(dispatch.Usage{})
		return nil, dispatch.Grant{}, &RefusedError{dispatch.ReasonDeadline, time.Second}
	case <-ctx.Done():
		c.Finish(dispatch.Usage{})
		return nil, dispatch.Grant{}, eris.Wrap(ctx.Err(), "wait for a grant")
	}
}

// Token notes a generated token.
func (c *Call) Token(now time.Time) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.busyAt.IsZero() {
		c.link.firstSum += now.Sub(c.granted)
		c.link.firstCount++
		c.busyAt = now
		return
	}
	c.tokens++
}

// Finish gives the slot back, or withdraws the ticket when it still waits.
func (c *Call) Finish(u dispatch.Usage) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.over {
		return
	}
	waiting := c.server == ""
	if !waiting {
		c.settleProgress(time.Now())
	}
	c.end()
	to := c.link.dispatcher
	if waiting {
		_ = c.s.transport.Send(to, dispatcher.MethodCancel, &dispatcher.Cancel{Pool: c.link.pool, ID: c.ticket.ID})
		return
	}
	_ = c.s.transport.Send(to, dispatcher.MethodFinish, &dispatcher.Finish{Pool: c.link.pool, ID: c.ticket.ID, Usage: u})
}

// Load returns the waiting and running calls of this entry.
func (s *Scheduler) Load() (waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.pools {
		for _, c := range l.calls {
			if c.server == "" {
				waiting++
				continue
			}
			running++
		}
	}
	return waiting, running
}
