package resumption

import (
	"context"
	"sync"
	"time"

	"cardamomwick.example/core/fleet"
)

// historyTimeout bounds a read of the replicated log. It is longer than the election of a leader:
// after the loss of all instances many streams are resumed at once.
const historyTimeout = time.Second

// ReadSoftware returns the version that all servers of a pool have had since the replicated log
// began, by a linearizable read; ok is false if there were several, or none.
type ReadSoftware func(ctx context.Context, pool string) (v fleet.SoftwareVersion, ok bool, err error)

// History answers which software pools have run. Questions about a pool that arrive while a read
// is in progress share the next one: an answer must not be older than its question, and hundreds
// of streams may be resumed at the same moment. Safe for concurrent use.
type History struct {
	read ReadSoftware
	mu   sync.Mutex
	// next holds, for the pools that are being read, the read that follows; nil if no question
	// waits for it.
	next map[string]*pendingRead
}

// pendingRead is a read whose result is set when done is closed.
type pendingRead struct {
	done chan struct{}
	v    fleet.SoftwareVersion
	ok   bool
	err  error
}

// NewHistory returns a History that reads the log with the function.
func NewHistory(read ReadSoftware) *History {
	return &History{read: read, next: map[string]*pendingRead{}}
}

// OnlySoftware is ReadSoftware, shared by simultaneous questions.
func (h *History) OnlySoftware(ctx context.Context, pool string) (v fleet.SoftwareVersion, ok bool, err error) {
	r := h.join(pool)
	select {
	case <-r.done:
		return r.v, r.ok, r.err
	case <-ctx.Done():
		return "", false, ctx.Err()
	}
}

// join returns the next read of a pool, which has not begun.
func (h *History) join(pool string) *pendingRead {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, reading := h.next[pool]
	if next == nil {
		next = &pendingRead{done: make(chan struct{})}
		h.next[pool] = next
	}
	if !reading {
		go h.readWhileAsked(pool)
	}
	return next
}

// readWhileAsked reads a pool until no question is left.
func (h *History) readWhileAsked(pool string) {
	for {
		h.mu.Lock()
		r := h.next[pool]
		if r == nil {
			delete(h.next, pool)
			h.mu.Unlock()
			return
		}
		h.next[pool] = nil
		h.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
		r.v, r.ok, r.err = h.read(ctx, pool)
		cancel()
		close(r.done)
	}
}
