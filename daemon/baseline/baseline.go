// Package baseline implements the simple load-balancing policies that the
// dispatcher is compared with: each entry forwards every call immediately, either
// round-robin or to the less loaded of two random servers by their reports, and
// the engines queue first in, first out. It is enabled in the settings for
// experiments only.
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

// pollPeriod is how often a call that has no server looks for one.
const pollPeriod = 20 * time.Millisecond

// Policy grants slots without a dispatcher.
type Policy struct {
	name     string
	mu       sync.Mutex
	pools    map[string]map[string]server
	lastTurn map[string]int
}

type server struct {
	dispatch.ServerInfo
	lastAnnounced time.Time
}

// New returns a policy that handles servers' announcements in the dispatcher's place.
func New(name string, t *frame.Transport) *Policy {
	p := &Policy{name: name, pools: map[string]map[string]server{}, lastTurn: map[string]int{}}
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

// Acquire implements entry.Slots. It waits only while no server is available.
func (p *Policy) Acquire(ctx context.Context, pool string, t dispatch.Ticket, _, deadline time.Time) (scheduler.Slot, dispatch.Grant, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		if s, ok := p.selectServer(pool, t.Exclude); ok {
			return slot{}, dispatch.Grant{Server: s.ID, Address: s.Address, Attempt: t.Attempt}, nil
		}
		select {
		case <-ctx.Done():
			return nil, dispatch.Grant{}, &scheduler.RefusedError{Reason: dispatch.ReasonDeadline, RetryAfter: time.Second}
		case <-time.After(pollPeriod):
		}
	}
}

// selectServer applies the policy to the servers that are announced and not excluded.
func (p *Policy) selectServer(pool string, exclude []string) (server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var available []server
	for _, s := range p.pools[pool] {
		if time.Since(s.lastAnnounced) < dispatch.ServerTTL && !slices.Contains(exclude, s.ID) {
			available = append(available, s)
		}
	}
	if len(available) == 0 {
		return server{}, false
	}
	sort.Slice(available, func(i, j int) bool { return available[i].ID < available[j].ID })
	if p.name == RoundRobin {
		p.lastTurn[pool]++
		return available[p.lastTurn[pool]%len(available)], true
	}
	a, b := available[rand.IntN(len(available))], available[rand.IntN(len(available))]
	if (b.Running+b.Queued)*a.Slots < (a.Running+a.Queued)*b.Slots {
		return b, true
	}
	return a, true
}

// Load implements entry.Slots. Calls are not counted.
func (p *Policy) Load() (waiting, running int) { return 0, 0 }

// slot is a granted slot without accounting.
type slot struct{}

// ObserveToken implements scheduler.Slot.
func (slot) ObserveToken(time.Time) {}

// Finish implements scheduler.Slot.
func (slot) Finish(dispatch.Usage) {}
