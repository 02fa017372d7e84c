package frame

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/silence"
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
	silence  silence.Monitor
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
	l.silence.Sent(time.Now(), p != nil)
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
	l.connected()
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

// connected notes a new connection, on which what is queued is sent at once.
func (l *link) connected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.silence.Connected()
	l.silence.Sent(time.Now(), len(l.pending) > 0)
}

// writeUntilBroken writes queued messages until the connection breaks, is silent, or
// has been idle, which it reports.
func (l *link) writeUntilBroken(c *Conn, m *Message, broken <-chan struct{}) (idle bool) {
	timer := time.NewTimer(l.t.idle)
	defer timer.Stop()
	for {
		if err := l.t.writeBatch(c, m, l.out); err != nil {
			return false
		}
		idleAt := time.Now().Add(l.t.idle)
		for m = nil; m == nil; {
			step, wait := l.due(idleAt)
			switch step {
			case silence.CloseConnection:
				return false
			case silence.SendProbe:
				m = &Message{Kind: Request, Method: methodPresent}
				continue
			}
			if wait <= 0 {
				return true
			}
			timer.Reset(wait)
			select {
			case m = <-l.out:
			case <-broken:
				return false
			case <-l.closing:
				return false
			case <-timer.C:
			}
		}
	}
}

// due returns what to do about a silence, and how long to wait for the next look;
// nothing to wait for means that the connection is idle.
func (l *link) due(idleAt time.Time) (silence.Action, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	step, wait := l.silence.NextAction(now)
	if step == silence.CloseConnection {
		l.t.Silent.Add(1)
		log.WithFields(log.Fields{"step": "keep connection", "peer": l.address, "questions": len(l.pending)}).Warn("the connection brings no answers; a new one is made")
	}
	untilIdle := idleAt.Sub(now)
	if untilIdle <= 0 && len(l.pending) > 0 {
		untilIdle = l.t.idle
	}
	if wait == 0 || untilIdle < wait {
		wait = untilIdle
	}
	return step, wait
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
		p := l.answered(m.ID)
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

// answered notes a response and returns the call that it is for, nil for one that
// nobody waits for any more.
func (l *link) answered(id uint64) *pendingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pending[id]
	delete(l.pending, id)
	l.silence.Received(time.Now(), len(l.pending) > 0)
	return p
}
