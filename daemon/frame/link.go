package frame

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// pendingCall waits for a response; done is closed once body or err is set.
type pendingCall struct {
	link *link
	id   uint64
	done chan struct{}
	body []byte
	err  error
}

// link is the outgoing side towards one address: it dials when there is
// something to send and keeps the connection.
type link struct {
	t       *Transport
	address string
	out     chan *Message
	nextID  atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]*pendingCall
	closing chan struct{}
	once    sync.Once
	// ended: the link was idle and is forgotten; nothing may be queued any more.
	ended bool
	// failedAt is when dialling failed last, after so many failures in a row; sends
	// fail fast for a while.
	failedAt time.Time
	failures int
}

func (l *link) close() { l.once.Do(func() { close(l.closing) }) }

func (l *link) enqueue(m *Message, p *pendingCall) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return errEnded
	}
	if l.failures > 0 && time.Since(l.failedAt) < l.redialPause() {
		return eris.Wrapf(ErrUnreachable, "peer %s", l.address)
	}
	select {
	case l.out <- m:
	default:
		return eris.Wrapf(ErrQueueFull, "peer %s", l.address)
	}
	if p != nil {
		l.pending[m.ID] = p
	}
	return nil
}

// redialPause is the pause after the failures so far. Call with the lock held.
func (l *link) redialPause() time.Duration {
	const doublings = 4 // beyond, the pause is at its most
	return min(mostRedialPause, redialPause<<min(l.failures-1, doublings))
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

// run dials for the first queued message and writes until the connection
// breaks, over and over.
func (l *link) run() {
	for {
		select {
		case <-l.closing:
			l.failPending(ErrUnreachable)
			return
		case m := <-l.out:
			if l.connectAndWrite(m) && l.end() {
				return
			}
		}
	}
}

// end forgets an idle link, unless something was queued meanwhile.
func (l *link) end() bool {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.out) > 0 {
		return false
	}
	l.ended = true
	delete(l.t.links, l.address)
	return true
}

// connectAndWrite reports whether the connection ended for idleness.
func (l *link) connectAndWrite(first *Message) (idle bool) {
	c, err := Dial(l.address, l.t.self, *l.t.keys.Load(), dialTimeout)
	if err != nil {
		l.mu.Lock()
		l.failedAt = time.Now()
		l.failures++
		l.mu.Unlock()
		l.drain()
		l.down(ErrUnreachable)
		return false
	}
	l.mu.Lock()
	l.failures = 0
	l.mu.Unlock()
	broken := make(chan struct{})
	go l.readLoop(c, broken)
	idle = l.writeUntilBroken(c, first, broken)
	c.Close()
	if !idle {
		l.drain()
		l.down(ErrLost)
	}
	return idle
}

// writeUntilBroken writes queued messages until the connection breaks or has
// been idle, which it reports.
func (l *link) writeUntilBroken(c *Conn, m *Message, broken <-chan struct{}) (idle bool) {
	timer := time.NewTimer(l.t.idle)
	defer timer.Stop()
	for {
		if err := l.t.writeBatch(c, m, l.out); err != nil {
			return false
		}
		timer.Reset(l.t.idle)
		for m = nil; m == nil; {
			select {
			case m = <-l.out:
			case <-broken:
				return false
			case <-l.closing:
				return false
			case <-timer.C:
				if l.quiet() {
					return true
				}
				timer.Reset(l.t.idle)
			}
		}
	}
}

// quiet reports whether no response is awaited.
func (l *link) quiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0
}

// drain drops queued messages that belong to the broken connection.
func (l *link) drain() {
	for {
		select {
		case <-l.out:
		default:
			return
		}
	}
}

func (l *link) down(err error) {
	l.failPending(err)
	for _, f := range l.t.onDown {
		f(l.address)
	}
}

func (l *link) failPending(err error) {
	l.mu.Lock()
	failed := l.pending
	l.pending = map[uint64]*pendingCall{}
	l.mu.Unlock()
	for _, p := range failed {
		p.err = err
		close(p.done)
	}
}

func (l *link) readLoop(c *Conn, broken chan<- struct{}) {
	defer close(broken)
	for {
		m, err := c.Read()
		if err != nil {
			l.t.countReadError(err, l.address)
			return
		}
		if m.Kind != Response || l.t.filter(l.address, true) {
			continue
		}
		l.mu.Lock()
		p := l.pending[m.ID]
		delete(l.pending, m.ID)
		l.mu.Unlock()
		if p == nil {
			continue
		}
		p.body = m.Body
		if m.Error != "" {
			p.err = &RemoteError{m.Error}
		}
		close(p.done)
	}
}
