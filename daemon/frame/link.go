package frame

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/silence"
	"cardamomwick.example/daemon/boottime"
)

// pendingCall is a call that awaits its response; done is closed once body or err is set.
type pendingCall struct {
	link *link
	id   uint64
	done chan struct{}
	body []byte
	err  error
}

// link sends messages to one address. It dials when there is a message to send, and keeps
// the connection until it is idle.
type link struct {
	t       *Transport
	address string
	out     chan *Message
	nextID  atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]*pendingCall
	closing chan struct{}
	once    sync.Once
	// removed is set once the link was idle and has been removed from the transport; it
	// accepts no more messages.
	removed bool
	// failedAt is when dialling failed last, and failures the number of failures in a row.
	// Until the redial delay has passed, messages are refused immediately.
	failedAt time.Time
	failures int
	monitor  silence.Monitor
	// conn is the open connection, nil without one.
	conn *Conn
	// heardAt is when the last response of the peer arrived, by boottime, which includes
	// suspension.
	heardAt time.Time
}

func (l *link) close() { l.once.Do(func() { close(l.closing) }) }

func (l *link) enqueue(m *Message, p *pendingCall) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		return errLinkRemoved
	}
	if l.failures > 0 && time.Since(l.failedAt) < l.redialDelay() {
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
	l.monitor.Sent(time.Now(), p != nil)
	return nil
}

// redialDelay returns the delay after the failures so far. Call with the lock held.
func (l *link) redialDelay() time.Duration {
	const maxDoublings = 4 // enough to reach maxRedialDelay
	return min(maxRedialDelay, minRedialDelay<<min(l.failures-1, maxDoublings))
}

// forget discards a pending call, whose response is then ignored.
func (l *link) forget(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

// run dials whenever a message is queued, and writes until the connection ends.
func (l *link) run() {
	for {
		select {
		case <-l.closing:
			l.failPending(ErrUnreachable)
			return
		case m := <-l.out:
			if l.connectAndWrite(m) && l.removeIdle() {
				return
			}
		}
	}
}

// removeIdle removes an idle link from the transport, unless a message was queued meanwhile.
func (l *link) removeIdle() bool {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.out) > 0 {
		return false
	}
	l.removed = true
	delete(l.t.links, l.address)
	return true
}

// connectAndWrite opens a connection and writes queued messages until it ends. It reports
// whether it ended because it was idle.
func (l *link) connectAndWrite(first *Message) (idle bool) {
	c, err := Dial(l.address, l.t.self, *l.t.keys.Load(), dialTimeout)
	if err != nil {
		l.mu.Lock()
		l.failedAt = time.Now()
		l.failures++
		l.mu.Unlock()
		l.dropQueued()
		l.reportDown(ErrUnreachable)
		return false
	}
	c.progress.onBytes = l.recordBytes
	l.connected(c)
	broken := make(chan struct{})
	go l.readLoop(c, broken)
	idle = l.writeUntilBroken(c, first, broken)
	c.Close()
	l.mu.Lock()
	l.conn = nil
	l.mu.Unlock()
	if !idle {
		l.dropQueued()
		l.reportDown(ErrLost)
	}
	return idle
}

// connected records a new connection, on which queued messages are sent immediately.
func (l *link) connected(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
	l.failures = 0
	l.monitor.Connected()
	l.monitor.Sent(time.Now(), len(l.pending) > 0)
}

// recordBytes records that a part of a response arrived.
func (l *link) recordBytes() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordHeard()
}

// recordHeard records that the peer has answered. The caller holds l.mu.
func (l *link) recordHeard() {
	l.heardAt = boottime.Now()
	l.monitor.Received(time.Now(), len(l.pending) > 0)
}

// writeUntilBroken writes queued messages until the connection breaks, no longer delivers
// anything or is idle. It reports whether the connection was idle.
func (l *link) writeUntilBroken(c *Conn, m *Message, broken <-chan struct{}) (idle bool) {
	timer := time.NewTimer(l.t.idle)
	defer timer.Stop()
	for {
		if err := l.t.writeBatch(c, m, l.out); err != nil {
			return false
		}
		idleAt := time.Now().Add(l.t.idle)
		for m = nil; m == nil; {
			action, wait := l.nextAction(idleAt)
			switch action {
			case silence.CloseConnection:
				return false
			case silence.SendProbe:
				m = &Message{Kind: Request, Method: methodProbe}
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

// nextAction returns what to do about an unresponsive connection, and how long to wait until
// the next call. Without a wait, the connection is idle.
func (l *link) nextAction(idleAt time.Time) (silence.Action, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	action, wait := l.monitor.NextAction(now)
	if action == silence.CloseConnection {
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
	return action, wait
}

// dropQueued drops the messages that were queued for the broken connection.
func (l *link) dropQueued() {
	for {
		select {
		case <-l.out:
		default:
			return
		}
	}
}

// reportDown fails the pending calls and notifies the functions registered with OnDown.
func (l *link) reportDown(err error) {
	l.failPending(err)
	for _, f := range l.t.onDown {
		f(l.address)
	}
}

// failPending ends all pending calls with an error.
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

// readLoop delivers responses until the connection ends, then closes broken.
func (l *link) readLoop(c *Conn, broken chan<- struct{}) {
	defer close(broken)
	for {
		m, err := c.Read()
		if err != nil {
			l.t.recordReadError(err, l.address)
			return
		}
		if m.Kind != Response || l.t.filter(l.address, true) {
			continue
		}
		p := l.takePending(m.ID)
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

// takePending records a response and returns its call, nil if the call is no longer pending.
func (l *link) takePending(id uint64) *pendingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pending[id]
	delete(l.pending, id)
	l.recordHeard()
	return p
}
