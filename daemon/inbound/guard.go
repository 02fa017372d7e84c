// Package inbound guards the listeners of a process against clients that make it hold too much: it
// wraps their connections, and draws on one membudget.Budget for all that clients make the process
// hold before a request is served.
package inbound

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/membudget"
)

const (
	// connectionBytes is the cost of a connection: its goroutine, its buffers, and a head and an
	// answer of usual size.
	connectionBytes = 16 << 10
	// callBytes is what serving a call takes: its goroutines, its connection to a server and their
	// buffers.
	callBytes = 32 << 10
	// memoryPercent is the part of the machine's memory that clients may make the process hold. The
	// rest is for the process's own state and for what waits for the garbage collector.
	memoryPercent = 40
	// descriptorShare is the part of the process's descriptors that clients' connections may use.
	// The rest is for connections to servers and other instances, and for files.
	descriptorShare = 2
)

// Reason is why a client was refused or its connection closed.
type Reason uint8

// Reasons.
const (
	// ReasonConnections: there are too many connections.
	ReasonConnections Reason = iota
	// ReasonMemory: the memory for clients is used up.
	ReasonMemory
	// ReasonEvicted: the client gave way to another one.
	ReasonEvicted
	// ReasonHead: the head is too large.
	ReasonHead
	// ReasonBody: the body is too large.
	ReasonBody
	// ReasonSlow: the request did not arrive in time.
	ReasonSlow
	// ReasonUnread: the client does not read its answer.
	ReasonUnread
	// Reasons is the number of reasons.
	Reasons
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"connections", "memory", "evicted", "head_too_large", "body_too_large", "slow", "answer_unread"}[r]
}

// Guard is the account of one process and its listeners. Safe for concurrent use.
type Guard struct {
	mu     sync.Mutex
	budget *membudget.Budget

	refused [Reasons]atomic.Int64
	logMu   sync.Mutex
	logged  map[logKey]*logState
}

// New returns a guard for a process with a number of bytes and descriptors.
func New(memory int64, descriptors int) *Guard {
	return &Guard{budget: membudget.New(membudget.Limits{Bytes: memory / 100 * memoryPercent, Connections: descriptors / descriptorShare}), logged: map[logKey]*logState{}}
}

// Held returns the bytes that clients hold of a kind.
func (g *Guard) Held(k membudget.Kind) (bytes int64) {
	g.update(func(b *membudget.Budget) { bytes = b.Held(k) })
	return bytes
}

// Limits returns the limits for all clients together.
func (g *Guard) Limits() membudget.Limits { return g.budget.Limits() }

// Connections returns the number of clients' connections.
func (g *Guard) Connections() (n int) {
	g.update(func(b *membudget.Budget) { n = b.Connections() })
	return n
}

// Refusals returns how many requests were refused and connections closed for a reason.
func (g *Guard) Refusals(r Reason) int64 { return g.refused[r].Load() }

// grow gives a connection more memory.
func (g *Guard) grow(c *Conn, k membudget.Kind, bytes int64) (ok bool) {
	return g.decide(func(b *membudget.Budget) ([]*membudget.Client, bool) {
		return b.Grow(time.Now(), &c.client, k, bytes)
	})
}

func (g *Guard) open(c *Conn) (ok bool) {
	return g.decide(func(b *membudget.Budget) ([]*membudget.Client, bool) {
		return b.Open(time.Now(), &c.client, connectionBytes)
	})
}

// decide applies a decision of the budget, and ends the requests of those that give way.
func (g *Guard) decide(decision func(b *membudget.Budget) (evicted []*membudget.Client, ok bool)) (ok bool) {
	var evicted []*membudget.Client
	g.update(func(b *membudget.Budget) { evicted, ok = decision(b) })
	for _, x := range evicted {
		c := x.Owner.(*Conn)
		g.refuse(c.listener.name, ReasonEvicted)
		c.evict()
	}
	return ok
}

// update reads or changes the budget.
func (g *Guard) update(change func(b *membudget.Budget)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.budget)
}

// setPhase changes a connection's phase; ok is false if it was evicted.
func (g *Guard) setPhase(c *Conn, p membudget.Phase) (ok bool) {
	g.update(func(b *membudget.Budget) { ok = b.SetPhase(time.Now(), &c.client, p) })
	return ok
}

// logInterval is the time between two log lines about the same reason at the same listener.
const logInterval = time.Second

type logKey struct {
	listener string
	reason   Reason
}

// logState is the time of the last line, and what was not logged since.
type logState struct {
	last    time.Time
	skipped int
}

// refuse counts a refusal, and logs it unless another one was logged just before.
func (g *Guard) refuse(listener string, r Reason) {
	g.refused[r].Add(1)
	g.logMu.Lock()
	defer g.logMu.Unlock()
	k := logKey{listener, r}
	s := g.logged[k]
	if s == nil {
		s = &logState{}
		g.logged[k] = s
	}
	now := time.Now()
	if now.Sub(s.last) < logInterval {
		s.skipped++
		return
	}
	log.WithFields(log.Fields{"step": "guard listener", "listener": listener, "reason": r.String(), "not_logged": s.skipped,
		"held_bytes": g.Held(membudget.Head) + g.Held(membudget.Body) + g.Held(membudget.Connection), "connections": g.Connections()}).Warn("client refused or closed")
	s.last, s.skipped = now, 0
}
