package dispatcher

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/dispatch"
	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/loop"
)

const (
	// tickPeriod is how often pools with waiting tickets are advanced even without a
	// message.
	tickPeriod = 20 * time.Millisecond
	// entryTTL is how long an entry may be silent before its tickets are removed and its
	// slots released.
	entryTTL = 1500 * time.Millisecond
	// idleTTL is how long a pool without tickets and messages is kept.
	idleTTL = time.Minute
	// maxPools limits the pools that peers' messages may create.
	maxPools = 1024
)

// Service dispatches the pools for which this instance is the dispatcher. It is a
// suture service.
type Service struct {
	transport *frame.Transport
	mu        sync.Mutex
	pools     map[string]*pool
	policy    dispatch.Policy
}

// pool is a dispatched pool with the entries that use it. mu guards core, entries and
// lastUsed.
type pool struct {
	name     string
	mu       sync.Mutex
	core     *dispatch.Pool
	entries  map[string]time.Time
	lastUsed time.Time
	wake     chan struct{}
	removed  chan struct{}
}

// New returns a service and registers its frame handlers.
func New(t *frame.Transport) *Service {
	s := &Service{transport: t, pools: map[string]*pool{}}
	frame.HandleDecoded(t, MethodEnqueue, s.enqueue)
	frame.HandleDecoded(t, MethodCancel, s.cancel)
	frame.HandleDecoded(t, MethodFinish, s.finish)
	frame.HandleDecoded(t, MethodSync, s.sync)
	frame.HandleDecoded(t, MethodAnnounce, s.announce)
	t.HandleRequest(MethodView, func(context.Context, string, []byte) (any, error) {
		return &ViewReply{Pools: s.View()}, nil
	})
	return s
}

// SetConfig applies a new configuration to all pools.
func (s *Service) SetConfig(c state.Config) {
	p := dispatch.Policy{Retired: c.Retired}
	if c.Bundle != nil {
		p.Classes = c.Bundle.Classes
		p.Customers = c.Bundle.Customers
	}
	s.mu.Lock()
	s.policy = p
	list := s.poolList()
	s.mu.Unlock()
	for _, q := range list {
		q.update(func(core *dispatch.Pool) { core.SetPolicy(p) })
	}
}

// poolList returns all pools. s.mu must be held.
func (s *Service) poolList() []*pool {
	out := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		out = append(out, p)
	}
	return out
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return "dispatcher" }

// Serve advances pools with waiting tickets, and removes silent entries and idle pools,
// until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	return loop.Every(ctx, tickPeriod, func(now time.Time) {
		s.mu.Lock()
		list := s.poolList()
		s.mu.Unlock()
		for _, p := range list {
			p.removeSilentEntries(now)
			if p.hasWaiting() {
				p.wakeUp()
			}
			s.removeIfIdle(p, now)
		}
	})
}

// removeIfIdle removes a pool that holds no tickets and was not used for idleTTL.
func (s *Service) removeIfIdle(p *pool, now time.Time) {
	p.mu.Lock()
	idle := p.core.Idle() && now.Sub(p.lastUsed) > idleTTL
	p.mu.Unlock()
	if !idle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools[p.name] == p {
		delete(s.pools, p.name)
		close(p.removed)
	}
}

// pool returns a pool, which it creates on first use; nil if there are maxPools
// already.
func (s *Service) pool(name string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p == nil && len(s.pools) < maxPools {
		now := time.Now()
		p = &pool{name: name, core: dispatch.NewPool(now), entries: map[string]time.Time{}, lastUsed: now, wake: make(chan struct{}, 1), removed: make(chan struct{})}
		p.core.SetPolicy(s.policy)
		s.pools[name] = p
		go s.run(p)
	}
	return p
}

// run advances the pool and sends its actions to the entries each time it is woken,
// until the pool is removed. Events that arrive meanwhile are handled together.
func (s *Service) run(p *pool) {
	for {
		select {
		case <-p.wake:
		case <-p.removed:
			return
		}
		p.mu.Lock()
		actions := p.core.Advance(time.Now())
		p.mu.Unlock()
		for entry, a := range groupByEntry(actions) {
			if err := s.transport.Send(entry, MethodActions, &Actions{Pool: p.name, Actions: a}); err != nil {
				log.WithError(err).WithField("step", "send actions").WithField("peer", entry).Debug("actions not sent; the next sync reconciles the entry")
			}
		}
	}
}

// groupByEntry groups actions by the peer address of the entry that they are for.
func groupByEntry(a dispatch.Actions) map[string]dispatch.Actions {
	out := map[string]dispatch.Actions{}
	for _, g := range a.Grants {
		to := PeerAddress(g.ID.Entry)
		x := out[to]
		x.Grants = append(x.Grants, g)
		out[to] = x
	}
	for _, r := range a.Refusals {
		to := PeerAddress(r.ID.Entry)
		x := out[to]
		x.Refusals = append(x.Refusals, r)
		out[to] = x
	}
	return out
}

// EntryName returns the name of an entry process in ticket IDs.
func EntryName(peerAddress, process string) string { return peerAddress + "#" + process }

// PeerAddress returns the peer address of an entry name.
func PeerAddress(entry string) string {
	address, _, _ := strings.Cut(entry, "#")
	return address
}

// wakeUp makes run advance the pool.
func (p *pool) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// hasWaiting reports whether the pool has waiting tickets and must be rescheduled
// periodically even if no message arrives: a ticket may expire, or a server may become usable again.
func (p *pool) hasWaiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Waiting() > 0
}

// update calls f with the pool's core and wakes the pool. It does nothing for nil,
// which Service.pool returns at its limit.
func (p *pool) update(f func(*dispatch.Pool)) {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.lastUsed = time.Now()
	f(p.core)
	p.mu.Unlock()
	p.wakeUp()
}

// removeSilentEntries removes the tickets of entries that did not report for entryTTL.
func (p *pool) removeSilentEntries(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for entry, seen := range p.entries {
		if now.Sub(seen) > entryTTL {
			p.core.DropEntry(now, entry)
			delete(p.entries, entry)
		}
	}
}

func (s *Service) enqueue(_ string, m *Enqueue) {
	p := s.pool(m.Pool)
	p.update(func(core *dispatch.Pool) {
		now := time.Now()
		for _, t := range m.Tickets {
			if _, ok := p.entries[t.ID.Entry]; !ok {
				p.entries[t.ID.Entry] = now
			}
			core.Enqueue(now, t)
		}
	})
}

func (s *Service) cancel(_ string, m *Cancel) {
	s.pool(m.Pool).update(func(core *dispatch.Pool) { core.Cancel(m.ID) })
}

func (s *Service) finish(_ string, m *Finish) {
	s.pool(m.Pool).update(func(core *dispatch.Pool) { core.Finish(time.Now(), m.ID, m.Usage) })
}

func (s *Service) sync(from string, m *Sync) {
	p := s.pool(m.Pool)
	waiting := 0
	p.update(func(core *dispatch.Pool) {
		now := time.Now()
		p.entries[m.Entry] = now
		core.Sync(now, m.Entry, m.Running, m.Progress)
		if m.FirstToken > 0 {
			core.ObserveFirstToken(m.FirstToken)
		}
		waiting = core.WaitingForEntry(m.Entry)
	})
	_ = s.transport.Send(from, MethodSyncReply, &SyncReply{Pool: m.Pool, Waiting: waiting})
}

func (s *Service) announce(_ string, m *Announce) {
	s.pool(m.Pool).update(func(core *dispatch.Pool) { core.Announce(time.Now(), m.Server) })
}

// View returns the state of the pools that this instance dispatches.
func (s *Service) View() map[string]dispatch.View {
	s.mu.Lock()
	list := s.poolList()
	s.mu.Unlock()
	out := map[string]dispatch.View{}
	for _, p := range list {
		p.mu.Lock()
		out[p.name] = p.core.View(time.Now())
		p.mu.Unlock()
	}
	return out
}
