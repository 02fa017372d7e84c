// Package membudget bounds the memory and the connections that clients make a process hold.
//
// All listeners of a process draw on one Budget. Load pattern: thousands of clients open connections,
// send heads and bodies at the limits, whole or in part, and stay; ordinary requests of some tens of
// kilobytes arrive among them and must find room at any time. Where room is short, clients are
// evicted whose request has not been received to its end:
//
//  1. those that have stopped sending, the largest first;
//  2. large ones that go on sending: of the tenant that holds most, the one that began last, so that
//     the others come to their end;
//  3. for an ordinary request, idle connections, the longest idle first.
//
// Requests in progress can't be evicted. Therefore large ones may use five eighths of the budget, and
// ordinary ones of a tenant that holds more than half of it seven eighths, so that there is room for
// ordinary requests, also of other tenants. Clients are distinguished by what they hold
// and by their tenant, not by their address.
//
// The package does no I/O, the clock is passed in, and it is not safe for concurrent use.
package membudget

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what memory is held for.
type Kind uint8

// Kinds of memory.
const (
	// Connection is the fixed cost of an open connection.
	Connection Kind = iota
	// Head is the request line and the header lines.
	Head
	// Body is a request body.
	Body
	// Call is what serving a request takes besides.
	Call
	// Kinds is the number of kinds.
	Kinds
)

// String returns the name used in metrics.
func (k Kind) String() string { return [...]string{"connection", "head", "body", "call"}[k] }

// Phase is the state of a client's connection.
type Phase uint8

// Phases.
const (
	// Receiving: a request is being received, or none was sent on the connection yet.
	Receiving Phase = iota
	// Serving: a whole request was received and is being answered.
	Serving
	// Idle: the last request is answered, and the next one has not begun.
	Idle
)

// Limits bound what clients hold.
type Limits struct {
	// Bytes bounds the memory of all clients.
	Bytes int64
	// Connections bounds the open connections.
	Connections int
}

// LargestRequest returns the memory that large clients can have, and so a single one.
func (l Limits) LargestRequest() int64 { return l.Bytes / 8 * 5 }

// dominantTenant returns the memory beyond which a tenant that holds more than half gets none.
func (l Limits) dominantTenant() int64 { return l.Bytes / 8 * 7 }

const (
	// OrdinaryBytes is what an ordinary client holds at most, with the two buffers of a body that grows.
	// A usual body has 24 KB, the largest in use 140 KB.
	OrdinaryBytes = 512 << 10
	// slackShare is the part of Limits.Bytes that is freed beyond what is needed, if enough clients
	// have stopped sending, so that not each request searches all clients.
	slackShare = 16
	// HeadStallTime and StallTime are the times without progress after which a client has stopped sending
	// a head or a body. Clients send a head at once, and a body as fast as the network takes it.
	HeadStallTime = 250 * time.Millisecond
	StallTime     = time.Second
	// searchPause is the time for which no clients to evict are searched after none were found.
	searchPause = 10 * time.Millisecond
	// MinConnections is the number of connections that each listener may always have: a crowd at one
	// listener must not shut out the others.
	MinConnections = 16
)

// Listener counts the connections of one listener.
type Listener struct{ open int }

// Client is a connection of a client. Only its exported fields are set before it is passed to Open.
type Client struct {
	Listener *Listener
	// Owner is for the caller of the package, who finds there what to close.
	Owner any

	held  [Kinds]int64
	total int64
	// tenant is "" until it is known.
	tenant string
	phase  Phase
	// began is when the phase began, and progressed when the client last sent something since.
	began, progressed time.Time
	// open is set while the client is in the budget: opened, and neither closed nor evicted.
	open bool
	// place is the client's index in Budget.clients.
	place int
}

// Budget is the account of one process.
type Budget struct {
	limits  Limits
	clients []*Client
	held    [Kinds]int64
	total   int64
	tenants map[string]int64
	// noSearch is until when there are no clients to evict for a purpose.
	noSearch [purposes]time.Time
}

// purpose is what clients are evicted for.
type purpose uint8

const (
	forConnection purpose = iota
	forOrdinary
	// forDominant is an ordinary request of a tenant that holds more than half.
	forDominant
	forLarge
	purposes
)

// New returns a budget without clients.
func New(l Limits) *Budget { return &Budget{limits: l, tenants: map[string]int64{}} }

// Held returns the memory that clients hold of a kind.
func (b *Budget) Held(k Kind) int64 { return b.held[k] }

// Connections returns the number of open connections.
func (b *Budget) Connections() int { return len(b.clients) }

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }

// Open adds a connection that holds a number of bytes. Without room, even after the returned clients
// were evicted, ok is false and the connection must be closed.
func (b *Budget) Open(now time.Time, c *Client, bytes int64) (evicted []*Client, ok bool) {
	if c.Listener.open >= MinConnections {
		if evicted, ok = b.makeRoomForConnection(now); !ok {
			return evicted, false
		}
		more, ok := b.makeRoom(now, c, bytes)
		if evicted = append(evicted, more...); !ok {
			return evicted, false
		}
	}
	c.open, c.place = true, len(b.clients)
	c.phase, c.began, c.progressed = Receiving, now, now
	c.Listener.open++
	b.clients = append(b.clients, c)
	b.add(c, Connection, bytes)
	return evicted, true
}

// Grow gives a client more memory. Without room, even after the returned clients were evicted, ok is
// false: the client itself must give way, and its request be refused.
func (b *Budget) Grow(now time.Time, c *Client, k Kind, bytes int64) (evicted []*Client, ok bool) {
	if !c.open {
		return nil, false
	}
	c.progressed = now
	if evicted, ok = b.makeRoom(now, c, bytes); ok {
		b.add(c, k, bytes)
	}
	return evicted, ok
}

// Progress records that a client goes on sending.
func (b *Budget) Progress(now time.Time, c *Client) { c.progressed = now }

// Set replaces what a client holds of a kind by a smaller amount.
func (b *Budget) Set(c *Client, k Kind, bytes int64) {
	if c.open && bytes < c.held[k] {
		b.add(c, k, bytes-c.held[k])
	}
}

// SetTenant assigns a client to a tenant.
func (b *Budget) SetTenant(c *Client, tenant string) {
	if !c.open || c.tenant == tenant {
		return
	}
	b.addToTenant(c.tenant, -c.total)
	c.tenant = tenant
	b.addToTenant(tenant, c.total)
}

// SetPhase changes a client's phase. ok is false if it was evicted.
func (b *Budget) SetPhase(now time.Time, c *Client, p Phase) (ok bool) {
	if !c.open {
		return false
	}
	c.phase, c.began, c.progressed = p, now, now
	return true
}

// ReleaseRequest releases what a client's request holds.
func (b *Budget) ReleaseRequest(c *Client) {
	b.Set(c, Head, 0)
	b.Set(c, Body, 0)
	b.Set(c, Call, 0)
}

// EndRequest releases what a client's request holds. The connection is idle then.
func (b *Budget) EndRequest(now time.Time, c *Client) {
	b.ReleaseRequest(c)
	b.SetTenant(c, "")
	b.SetPhase(now, c, Idle)
}

// Close removes a client.
func (b *Budget) Close(c *Client) {
	if !c.open {
		return
	}
	for k := range Kinds {
		b.add(c, k, -c.held[k])
	}
	last := b.clients[len(b.clients)-1]
	b.clients[c.place], last.place = last, c.place
	b.clients[len(b.clients)-1] = nil
	b.clients = b.clients[:len(b.clients)-1]
	c.open = false
	c.Listener.open--
}

func (b *Budget) add(c *Client, k Kind, bytes int64) {
	c.held[k] += bytes
	c.total += bytes
	b.held[k] += bytes
	b.total += bytes
	b.addToTenant(c.tenant, bytes)
}

func (b *Budget) addToTenant(tenant string, bytes int64) {
	if b.tenants[tenant] += bytes; b.tenants[tenant] == 0 {
		delete(b.tenants, tenant)
	}
}

// stalled reports whether a client has stopped sending in the middle of a request.
func (c *Client) stalled(now time.Time) bool {
	limit := HeadStallTime
	if c.held[Body] > 0 {
		limit = StallTime
	}
	return c.phase == Receiving && now.Sub(c.progressed) >= limit
}

// makeRoomForConnection evicts a client if there are as many connections as allowed.
func (b *Budget) makeRoomForConnection(now time.Time) (evicted []*Client, ok bool) {
	if len(b.clients) < b.limits.Connections {
		return nil, true
	}
	if now.Before(b.noSearch[forConnection]) {
		return nil, false
	}
	stalled := b.find(func(c *Client) bool { return c.stalled(now) })
	idle := b.find(func(c *Client) bool { return c.phase == Idle })
	for _, list := range [][]*Client{stalled, idle} {
		if len(list) == 0 {
			continue
		}
		slices.SortFunc(list, func(x, y *Client) int { return x.progressed.Compare(y.progressed) })
		list = list[:min(len(list), 1+b.limits.Connections/slackShare)]
		for _, x := range list {
			b.Close(x)
		}
		return list, true
	}
	b.noSearch[forConnection] = now.Add(searchPause)
	return nil, false
}

// makeRoom evicts clients until another one may have more bytes, and reports whether it may. The
// client itself gives way before those that are not evicted.
func (b *Budget) makeRoom(now time.Time, c *Client, bytes int64) (evicted []*Client, ok bool) {
	limit, p := b.limits.Bytes, forOrdinary
	switch {
	case c.total+bytes > OrdinaryBytes:
		limit, p = b.limits.LargestRequest(), forLarge
	case b.tenants[c.tenant] > b.limits.Bytes/2:
		limit, p = b.limits.dominantTenant(), forDominant
	}
	if b.total+bytes <= limit {
		return nil, true
	}
	if now.Before(b.noSearch[p]) {
		return nil, false
	}
	stalled := b.find(func(x *Client) bool { return x != c && x.stalled(now) })
	slices.SortFunc(stalled, func(x, y *Client) int { return cmp.Compare(y.total, x.total) })
	evicted = b.evictUntil(stalled, limit-bytes-b.limits.Bytes/slackShare, nil)
	for b.total+bytes > limit {
		next := b.largest(c, p == forLarge)
		if next == nil || next == c {
			break
		}
		b.Close(next)
		evicted = append(evicted, next)
	}
	if b.total+bytes > limit && p != forLarge {
		idle := b.find(func(x *Client) bool { return x.phase == Idle })
		slices.SortFunc(idle, func(x, y *Client) int { return x.began.Compare(y.began) })
		evicted = b.evictUntil(idle, limit-bytes, evicted)
	}
	if len(evicted) == 0 {
		b.noSearch[p] = now.Add(searchPause)
	}
	return evicted, b.total+bytes <= limit
}

// evictUntil evicts clients of a list in its order until all others hold no more than a number of
// bytes, and appends them to evicted.
func (b *Budget) evictUntil(list []*Client, most int64, evicted []*Client) []*Client {
	for _, x := range list {
		if b.total <= most {
			break
		}
		b.Close(x)
		evicted = append(evicted, x)
	}
	return evicted
}

// largest returns the large client that must give way next while its request is being received: the
// one that began last of the tenant that holds most. The requester is one of them if it is large.
func (b *Budget) largest(requester *Client, requesterIsLarge bool) (last *Client) {
	for _, x := range b.clients {
		if x == requester && !requesterIsLarge || x != requester && (x.phase != Receiving || x.total <= OrdinaryBytes) {
			continue
		}
		if last == nil || cmp.Or(cmp.Compare(b.tenants[x.tenant], b.tenants[last.tenant]), x.began.Compare(last.began)) > 0 {
			last = x
		}
	}
	return last
}

func (b *Budget) find(matches func(*Client) bool) (list []*Client) {
	for _, x := range b.clients {
		if matches(x) {
			list = append(list, x)
		}
	}
	return list
}
