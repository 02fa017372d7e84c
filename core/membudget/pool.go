package membudget

import "sync/atomic"

// Pool bounds the memory that the answers of all servers hold together, beyond the small amount that
// each call may hold anyway. It is apart from the Budget, so that servers in trouble can't push clients
// out. Nothing is evicted: who gets no memory sends on what it has, or gives up. Load pattern: the
// servers of a pool send large parts of answers, and then nothing or little more, to all their calls
// at once, while others answer as usual. A nil Pool has no bound. Safe for concurrent use.
type Pool struct {
	limit        int64
	held, denied atomic.Int64
}

// NewPool returns a pool with a limit in bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// Held returns the bytes that are in use.
func (p *Pool) Held() int64 { return p.held.Load() }

// Denied returns how often there was no memory.
func (p *Pool) Denied() int64 { return p.denied.Load() }

// take takes bytes from the pool, and reports whether there were as many.
func (p *Pool) take(bytes int64) bool {
	if p == nil || p.held.Add(bytes) <= p.limit {
		return true
	}
	p.held.Add(-bytes)
	p.denied.Add(1)
	return false
}

// Holding is what one answer holds of a pool. Not safe for concurrent use.
type Holding struct {
	Pool  *Pool
	bytes int64
}

// GrowTo makes the answer hold at least a number of bytes, and reports whether there is memory for
// that.
func (h *Holding) GrowTo(bytes int64) bool {
	if bytes <= h.bytes {
		return true
	}
	if !h.Pool.take(bytes - h.bytes) {
		return false
	}
	h.bytes = bytes
	return true
}

// Release gives back what the answer holds.
func (h *Holding) Release() {
	if h.Pool != nil {
		h.Pool.held.Add(-h.bytes)
	}
	h.bytes = 0
}
