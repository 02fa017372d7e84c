// Package gossip runs the membership protocol of an instance over frames. It lists
// the live instances and ranks them for roles.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/membership"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/loop"
)

const (
	method     = "gossip"
	tickPeriod = 50 * time.Millisecond
)

// Service maintains an instance's view of the other instances. It implements
// suture.Service.
type Service struct {
	transport *frame.Transport
	mu        sync.Mutex
	table     *membership.Table
	self      membership.Instance
	version   uint64
	flags     membership.Flags
	view      atomic.Pointer[view]
}

// view is a snapshot for readers: the instances, and a cache of their rankings by
// key.
type view struct {
	instances []membership.Instance
	// entries are the instances that accept calls; reaching are those of them that reach
	// the servers themselves.
	entries  []membership.Instance
	reaching []membership.Instance
	holders  []membership.Instance
	mu       sync.Mutex
	rankings map[string][]membership.Instance
}

// maxCachedRankings bounds the cached rankings per view.
const maxCachedRankings = 4096

// New returns a Service, initially isolated, and registers its frame handler.
func New(t *frame.Transport, self membership.Instance, seeds []string) *Service {
	s := &Service{transport: t, self: self, flags: membership.Flags{Isolated: true}}
	self.Isolated = true
	s.table = membership.New(self, seeds, time.Now(), rand.IntN)
	s.publish()
	t.HandleOneWay(method, s.handle)
	return s
}

// String names the service in the supervisor's log.
func (s *Service) String() string { return "membership" }

// Serve runs the protocol's probes until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	return loop.Every(ctx, tickPeriod, func(time.Time) {
		s.mu.Lock()
		out := s.table.Tick(time.Now())
		s.publish()
		s.mu.Unlock()
		s.send(out)
	})
}

func (s *Service) handle(_ string, body []byte) {
	var m membership.Message
	if err := wire.Decode(body, &m); err != nil {
		log.WithError(err).WithField("step", "decode gossip").Warn("message dropped")
		return
	}
	s.mu.Lock()
	out := s.table.Handle(time.Now(), m)
	s.publish()
	s.mu.Unlock()
	s.send(out)
}

// send ignores errors: the protocol tolerates the loss of messages.
func (s *Service) send(list []membership.Outgoing) {
	for _, o := range list {
		_ = s.transport.Send(o.To, method, &o.Message)
	}
}

// publish replaces the readers' view if the membership has changed. The caller holds s.mu.
func (s *Service) publish() {
	if v := s.table.Version(); v != s.version || s.view.Load() == nil {
		s.version = v
		instances := s.table.Instances()
		accepting := entries(instances)
		s.view.Store(&view{instances: instances, entries: accepting, reaching: reaching(accepting), holders: s.table.ShareHolders(), rankings: map[string][]membership.Instance{}})
	}
}

// entries returns the instances that accept calls.
func entries(list []membership.Instance) []membership.Instance {
	var out []membership.Instance
	for _, i := range list {
		if i.CallerAddress != "" && !i.Draining && !i.Isolated && i.State == membership.Alive {
			out = append(out, i)
		}
	}
	return out
}

// reaching returns the entries that reach the servers themselves, or all if none does.
func reaching(entries []membership.Instance) []membership.Instance {
	var out []membership.Instance
	for _, i := range entries {
		if !i.Partitioned {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		return entries
	}
	return out
}

// Instances lists the instances believed alive, sorted by name. Callers must not change
// it.
func (s *Service) Instances() []membership.Instance { return s.view.Load().instances }

// Entries lists the instances that accept calls, sorted by name. Callers must not change
// it. It is computed once per membership change, since each call needs the number of
// entries.
func (s *Service) Entries() []membership.Instance { return s.view.Load().entries }

// ReachingEntries lists the entries that reach the servers themselves, or all entries if none
// does. Callers must not change it.
func (s *Service) ReachingEntries() []membership.Instance { return s.view.Load().reaching }

// ShareHolders lists the entries among which bounds on all of them together are divided; see
// membership.Table. Callers must not change it.
func (s *Service) ShareHolders() []membership.Instance { return s.view.Load().holders }

// Self returns this instance.
func (s *Service) Self() membership.Instance { return s.self }

// SetDraining announces to the other instances that this one accepts no new work.
func (s *Service) SetDraining() { s.setFlags(func(f *membership.Flags) { f.Draining = true }) }

// SetIsolated announces to the other instances whether this one lacks a configuration
// lease.
func (s *Service) SetIsolated(v bool) {
	s.setFlags(func(f *membership.Flags) { f.Isolated = v })
}

// SetPartitioned announces to the other instances whether this one can't reach servers that
// others reach. Callers are then sent to the others.
func (s *Service) SetPartitioned(v bool) {
	s.setFlags(func(f *membership.Flags) { f.Partitioned = v })
}

func (s *Service) setFlags(change func(*membership.Flags)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.flags)
	s.table.SetFlags(time.Now(), s.flags)
	s.publish()
}

// Draining reports whether this instance is shutting down.
func (s *Service) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flags.Draining
}

// Rank orders the instances by preference for a key. Draining and isolated ones come
// last. Callers must not change the result.
func (s *Service) Rank(key string) []membership.Instance {
	v := s.view.Load()
	v.mu.Lock()
	defer v.mu.Unlock()
	if r, ok := v.rankings[key]; ok {
		return r
	}
	r := rank(key, v.instances)
	if len(v.rankings) < maxCachedRankings {
		v.rankings[key] = r
	}
	return r
}

// Holds reports whether this instance ranks first for a role.
func (s *Service) Holds(role string) bool {
	ranked := s.Rank(role)
	return len(ranked) > 0 && ranked[0].Name == s.self.Name
}

func rank(key string, instances []membership.Instance) []membership.Instance {
	var preferred, rest []membership.Instance
	for _, i := range instances {
		if i.Draining || i.Isolated {
			rest = append(rest, i)
			continue
		}
		preferred = append(preferred, i)
	}
	return append(membership.Rank(key, preferred), membership.Rank(key, rest)...)
}
