// Package baseline holds the simple policies that the dispatcher is measured
// against: each entry sends every call on at once, to the next server in turn
// or to the less loaded of two by their reports, and the engines queue first in
// first out. It is switched on by settings for experiments only.
package baseline

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"cardamomwick.example/core/dispatch"
	"cardamomwick.example/core/wire"
	"cardamomwick.example/daemon/dispatcher"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/scheduler"
)

// Names of the policies in settings.
const (
	RoundRobin = "round_robin"
	TwoChoices = "two_choices"
)

const pollPeriod = 20 * time.Millisecond

// Policy grants slots without any dispatcher.
type Policy struct {
	name  string
	mu    sync.Mutex
	pools map[string]map[string]server
	turns map[string]int
}

type server struct {
	dispatch.ServerInfo
	seen time.Time
}

// New takes announcements in the dispatcher's place.
func New(name string, t *frame.Transport) *Policy {
	p := &Policy{name: name, pools: map[string]map[string]server{}, turns: map[string]int{}}
	t.HandleOneWay(dispatcher.MethodAnnounce, func(_ string, body []byte) {
		var m dispatcher.Announce
		if wire.Decode(body, &m) == nil {
			p.announce(&m)
		}
	})
	return p
}

func (p *Policy) announce(m *dispatcher.Announce) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools[m.Pool] == nil {
		p.pools[m.Pool] = map[string]server{}
	}
	p.pools[m.Pool][m.Server.ID] = server{m.Server, time.Now()}
}

// Acquire implements entry.Slots: it waits only while no server is known.
func (p *Policy) Acquire(ctx context.Context, pool string, t dispatch.Ticket, _, deadline time.Time) (scheduler.Slot, dispatch.Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		if s, ok := p.choose(pool, t.Exclude); ok {
			return slot{}, dispatch.Grant{Server: s.ID, Address: s.Address, Attempt: t.Attempt}, nil
		}
		select {
		case <-ctx.Done():
			return nil, dispatch.Grant{}, &scheduler.RefusedError{Reason: dispatch.ReasonDeadline, RetryAfter: time.Second}
		case <-time.After(pollPeriod):
		}
	}
}

func (p *Policy) choose(pool string, exclude []string) (server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []server
	for _, s := range p.pools[pool] {
		if time.Since(s.seen) < dispatch.ServerTTL && !slices.Contains(exclude, s.ID) {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return server{}, false
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	if p.name == RoundRobin {
		p.turns[pool]++
		return live[p.turns[pool]%len(live)], true
	}
	a, b := live[rand.IntN(len(live))], live[rand.IntN(len(live))]
	if (b.Running+b.Queued)*a.Slots < (a.Running+a.Queued)*b.Slots {
		return b, true
	}
	return a, true
}

// Load implements entry.Slots.
func (p *Policy) Load() (waiting, running int) { return 0, 0 }

// slot is a grant that nobody counts.
type slot struct{}

// ObserveToken implements scheduler.Slot.
func (slot) ObserveToken(time.Time) {}

// Finish implements scheduler.Slot.
func (slot) Finish(dispatch.Usage) {}
