package dispatcher

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/dispatch"
	"cardamomwick.example/core/state"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/loop"
)

const (
	tickPeriod = 20 * time.Millisecond
	// entryTTL is how long an entry may be silent before its grants are freed.
	entryTTL = 1500 * time.Millisecond
	// idleTTL is how long a pool without tickets and announcements is kept.
	idleTTL = time.Minute
	// maxPools bounds what peers may make us create.
	maxPools = 1024
)

// Service holds the pools that this instance dispatches. It is a suture
// service.
type Service struct {
	transport *frame.Transport
	mu        sync.Mutex
	pools     map[string]*pool
	policy    dispatch.Policy
}

// pool is one dispatched pool; mu guards its fields.
type pool struct {
	name    string
	mu      sync.Mutex
	core    *dispatch.Pool
	entries map[string]time.Time
	used    time.Time
	wake    chan struct{}
	dropped chan struct{}
}

// New registers the frame handlers.
func New(t *frame.Transport) *Service {
	s := &Service{transport: t, pools: map[string]*pool{}}
	handle(t, MethodEnqueue, s.enqueue)
	handle(t, MethodCancel, s.cancel)
	handle(t, MethodFinish, s.finish)
	handle(t, MethodSync, s.sync)
	handle(t, MethodAnnounce, s.announce)
	t.HandleRequest(MethodView, func(context.Context, string, []byte) (any, error) {
		return &ViewReply{Pools: s.View()}, nil
	})
	return s
}

// handle decodes a one-way message before it is handled.
func handle[T any](t *frame.Transport, method string, f func(from string, m *T)) {
	t.HandleOneWay(method, func(from string, body []byte) {
		var m T
		if err := wire.Decode(body, &m); err != nil {
			log.WithError(err).WithField("step", "decode "+method).WithField("peer", from).Warn("message dropped")
			return
		}
		f(from, &m)
	})
}

// SetConfig takes a new configuration.
func (s *Service) SetConfig(c state.Config) {
	p := dispatch.Policy{Retired: c.Retired}
	if c.Bundle != nil {
		p.Classes = c.Bundle.Classes
		p.Customers = c.Bundle.Customers
	}
	s.mu.Lock()
	s.policy = p
	list := s.list()
	s.mu.Unlock()
	for _, x := range list {
		x.change(func(core *dispatch.Pool) { core.SetPolicy(p) })
	}
}

func (s *Service) list() []*pool {
	out := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		out = append(out, p)
	}
	return out
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return "dispatcher" }

// Serve advances all pools until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	return loop.Every(ctx, tickPeriod, func(now time.Time) {
		s.mu.Lock()
		list := s.list()
		s.mu.Unlock()
		for _, p := range list {
			p.dropSilent(now)
			if p.hasWaiting() {
				p.poke()
			}
			s.dropIdle(p, now)
		}
	})
}

func (s *Service) dropIdle(p *pool, now time.Time) {
	p.mu.Lock()
	idle := p.core.Idle() && now.Sub(p.used) > idleTTL
	p.mu.Unlock()
	if !idle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools[p.name] == p {
		delete(s.pools, p.name)
		close(p.dropped)
	}
}

// pool returns or makes a pool.
func (s *Service) pool(name string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p == nil && len(s.pools) < maxPools {
		now := time.Now()
		p = &pool{name: name, core: dispatch.NewPool(now), entries: map[string]time.Time{}, used: now, wake: make(chan struct{}, 1), dropped: make(chan struct{})}
		p.core.SetPolicy(s.policy)
		s.pools[name] = p
		go s.advance(p)
	}
	return p
}

// advance sends what the pool wants done, once for all events that gathered.
func (s *Service) advance(p *pool) {
	for {
		select {
		case <-p.wake:
		case <-p.dropped:
			return
		}
		p.mu.Lock()
		actions := p.core.Advance(time.Now())
		p.mu.Unlock()
		for entry, a := range split(actions) {
			if err := s.transport.Send(entry, MethodActions, &Actions{Pool: p.name, Actions: a}); err != nil {
				log.WithError(err).WithField("step", "send grants").WithField("peer", entry).Debug("entry will sync")
			}
		}
	}
}

// split groups actions by the entry's peer address.
func split(a dispatch.Actions) map[string]dispatch.Actions {
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

// EntryName names an entry process in ticket IDs.
func EntryName(peerAddress, process string) string { return peerAddress + "#" + process }

// PeerAddress returns the peer address of an entry name.
func PeerAddress(entry string) string {
	address, _, _ := strings.Cut(entry, "#")
	return address
}

func (p *pool) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// hasWaiting reports whether time alone may change something: a ticket may
// expire, or a server may come back.
func (p *pool) hasWaiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Waiting() > 0
}

// change runs f on the pool and advances it.
func (p *pool) change(f func(*dispatch.Pool)) {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.used = time.Now()
	f(p.core)
	p.mu.Unlock()
	p.poke()
}

func (p *pool) dropSilent(now time.Time) {
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
	p.change(func(core *dispatch.Pool) {
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
	s.pool(m.Pool).change(func(core *dispatch.Pool) { core.Cancel(m.ID) })
}

func (s *Service) finish(_ string, m *Finish) {
	s.pool(m.Pool).change(func(core *dispatch.Pool) { core.Finish(time.Now(), m.ID, m.Usage) })
}

func (s *Service) sync(from string, m *Sync) {
	p := s.pool(m.Pool)
	waiting := 0
	p.change(func(core *dispatch.Pool) {
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
	s.pool(m.Pool).change(func(core *dispatch.Pool) { core.Announce(time.Now(), m.Server) })
}

// View returns the pools dispatched here.
func (s *Service) View() map[string]dispatch.View {
	s.mu.Lock()
	list := s.list()
	s.mu.Unlock()
	out := map[string]dispatch.View{}
	for _, p := range list {
		p.mu.Lock()
		out[p.name] = p.core.View(time.Now())
		p.mu.Unlock()
	}
	return out
}
