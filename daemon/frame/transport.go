package frame

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/wire"
)

// Parameters of a Transport.
const (
	// refusalLogInterval is the time between two log lines about refused connections.
	refusalLogInterval = time.Second
	// dialTimeout is longer than any round trip between instances. A dial to one that does
	// not respond must end soon, since the instance may be back meanwhile.
	dialTimeout = 250 * time.Millisecond
	// writeTimeout bounds a write of at most maxWriteBytes.
	writeTimeout = 5 * time.Second
	// maxReceivePause is the longest pause in a response that still arrives.
	maxReceivePause = 500 * time.Millisecond
	// minRedialDelay is the delay before an unreachable address is dialled again. It doubles
	// with each failure up to maxRedialDelay. It starts low because instances that restart
	// together begin to listen within some tens of milliseconds of each other.
	minRedialDelay = 10 * time.Millisecond
	maxRedialDelay = 100 * time.Millisecond
	// maxQueued limits the messages that wait for one address. Each peer has its own queue
	// and buffers, whose memory adds up with hundreds of peers.
	maxQueued = 512
	// idleTimeout is how long an outgoing connection without traffic stays open.
	idleTimeout = 15 * time.Second
	// maxQueuedResponses limits the responses that wait for one connection.
	maxQueuedResponses = 256
	// maxConcurrentRequests limits the requests served concurrently per connection.
	maxConcurrentRequests = 512
)

// methodProbe is the request that probes whether a connection still works. Its response is
// empty.
const methodProbe = "frame.present"

// Errors of a Transport.
var (
	// ErrUnreachable means that the message certainly did not reach the peer.
	ErrUnreachable = eris.New("peer is unreachable")
	// ErrLost means that the connection broke; the peer may have handled the request.
	ErrLost = eris.New("connection to peer was lost")
	// ErrQueueFull means that too many messages wait for the peer.
	ErrQueueFull = eris.New("queue to peer is full")
	// errPanicked is returned to the sender of a request whose handler panicked.
	errPanicked = eris.New("the handler panicked")
	// errLinkRemoved means that the link was idle and has been removed; the message needs a
	// new one.
	errLinkRemoved = errors.New("link was removed")
)

// RemoteError is an error returned by the peer's handler.
type RemoteError struct{ Text string }

// Error returns the text from the peer.
func (e *RemoteError) Error() string { return e.Text }

// RequestHandler answers a request; its result is encoded as the response.
type RequestHandler func(ctx context.Context, from string, body []byte) (any, error)

// OneWayHandler handles a one-way message. Messages of a connection are handled in the order
// in which they were sent.
type OneWayHandler func(from string, body []byte)

// Filter reports whether a frame from or to a peer address is dropped. It is a hook for fault
// injection.
type Filter func(peer string, incoming bool) bool

// Transport exchanges messages with other instances. Handlers must be registered before
// Serve.
type Transport struct {
	self     string
	listen   string
	listener func(address string) (net.Listener, error)
	keys     atomic.Pointer[[]Key]
	filter   Filter
	requests map[string]RequestHandler
	oneWays  map[string]OneWayHandler
	streams  map[string]StreamHandler
	idle     time.Duration
	// onDown holds the functions to call when an outgoing connection failed or broke.
	onDown []func(address string)

	mu     sync.Mutex
	links  map[string]*link
	closed bool
	// BadFrames counts connections closed because of a protocol violation.
	BadFrames atomic.Int64
	// lastRefusal is when a refused connection was last logged, in nanoseconds since 1970.
	lastRefusal atomic.Int64
	// Panics counts messages whose handlers panicked.
	Panics atomic.Int64
	// Silent counts outgoing connections closed because the peer did not answer a probe.
	Silent atomic.Int64
	// BytesSent and MessagesSent count outgoing traffic.
	BytesSent, MessagesSent atomic.Int64
}

// NewTransport returns a transport for an instance with the given peer address. The filter,
// which may be nil, is not applied to messages to itself.
func NewTransport(self string, keys []Key, filter Filter) *Transport {
	if filter == nil {
		filter = func(string, bool) bool { return false }
	}
	peerFilter := func(peer string, incoming bool) bool { return peer != self && filter(peer, incoming) }
	listener := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	t := &Transport{self: self, listen: self, listener: listener, idle: idleTimeout, filter: peerFilter, links: map[string]*link{},
		requests: map[string]RequestHandler{}, oneWays: map[string]OneWayHandler{}, streams: map[string]StreamHandler{}}
	t.SetKeys(keys)
	t.HandleRequest(methodProbe, func(context.Context, string, []byte) (any, error) { return nil, nil })
	return t
}

// SetKeys replaces the keys. Open connections are not affected.
func (t *Transport) SetKeys(keys []Key) { t.keys.Store(&keys) }

// HandleRequest registers the handler of a request method.
func (t *Transport) HandleRequest(method string, h RequestHandler) { t.requests[method] = h }

// HandleOneWay registers the handler of a one-way method.
func (t *Transport) HandleOneWay(method string, h OneWayHandler) { t.oneWays[method] = h }

// HandleDecoded registers the handler of a one-way method whose messages have one type. Messages that
// can't be decoded are dropped.
func HandleDecoded[T any](t *Transport, method string, f func(from string, m *T)) {
	t.HandleOneWay(method, func(from string, body []byte) {
		var m T
		if err := wire.Decode(body, &m); err != nil {
			log.WithError(err).WithField("step", "decode "+method).WithField("peer", from).Warn("message dropped")
			return
		}
		f(from, &m)
	})
}

// SetListen sets the address that Serve listens on, if the instance's peer address is
// forwarded to another one. It must be called before Serve.
func (t *Transport) SetListen(address string) { t.listen = address }

// SetListener replaces the function that listens for connections. It must be called before Serve.
// A connection with a method Authenticated gets a call of it after the handshake.
func (t *Transport) SetListener(listen func(address string) (net.Listener, error)) {
	t.listener = listen
}

// OnDown registers a function to call when an outgoing connection failed or broke.
func (t *Transport) OnDown(f func(address string)) { t.onDown = append(t.onDown, f) }

// String names the service in the supervisor's log. Without it the supervisor would format
// all fields of the transport while they are in use, a data race.
func (t *Transport) String() string { return "transport" }

// Self returns the instance's own peer address.
func (t *Transport) Self() string { return t.self }

// Serve accepts connections until the context ends.
func (t *Transport) Serve(ctx context.Context) error {
	l, err := t.listener(t.listen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", t.listen)
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		raw, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				t.closeLinks()
				return ctx.Err()
			}
			return eris.Wrap(err, "accept peer")
		}
		conns.Go(func() { t.serveConn(ctx, raw) })
	}
}

func (t *Transport) closeLinks() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, l := range t.links {
		l.close()
	}
}

func (t *Transport) serveConn(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	c, err := Accept(raw, t.self, *t.keys.Load())
	if err != nil {
		t.BadFrames.Add(1)
		t.logRefusal(err, raw.RemoteAddr().String())
		return
	}
	defer c.Close()
	if client, ok := raw.(interface{ Authenticated() }); ok {
		client.Authenticated()
	}
	out := make(chan *Message, maxQueuedResponses)
	done := make(chan struct{})
	go t.writeLoop(c, out, done)
	defer close(done)
	slots := make(chan struct{}, maxConcurrentRequests)
	for first := true; ; first = false {
		m, err := c.Read()
		if err != nil {
			t.recordReadError(err, c.PeerAddress)
			return
		}
		if t.filter(c.PeerAddress, true) {
			continue
		}
		switch m.Kind {
		case OneWay:
			if h := t.oneWays[m.Method]; h != nil {
				t.serveOneWay(h, c.PeerAddress, m)
			}
		case Request:
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				t.respond(ctx, c.PeerAddress, m, out, done)
			}()
		case StreamPart:
			if first { // only then nothing else writes to the connection
				t.serveStream(ctx, c, m)
			}
			return
		}
	}
}

// logRefusal logs a connection whose handshake failed, unless another one was logged just before:
// anyone can open connections.
func (t *Transport) logRefusal(err error, peer string) {
	now := time.Now().UnixNano()
	if last := t.lastRefusal.Load(); now-last < int64(refusalLogInterval) || !t.lastRefusal.CompareAndSwap(last, now) {
		return
	}
	log.WithError(err).WithFields(log.Fields{"step": "accept peer", "peer": peer, "bad_frames": t.BadFrames.Load()}).Warn("connection refused")
}

// recordReadError counts and logs protocol violations; a connection that just ended is none.
func (t *Transport) recordReadError(err error, peer string) {
	if errors.Is(err, ErrMAC) || errors.Is(err, ErrTooLarge) {
		t.BadFrames.Add(1)
		log.WithError(err).WithField("step", "read frame").WithField("peer", peer).Warn("connection closed")
	}
}

// respond serves a request and queues its response.
func (t *Transport) respond(ctx context.Context, from string, m *Message, out chan<- *Message, done <-chan struct{}) {
	resp := &Message{Kind: Response, ID: m.ID}
	h := t.requests[m.Method]
	if h == nil {
		resp.Error = "unknown method " + m.Method
	} else if v, err := t.serveRequest(ctx, h, from, m); err != nil {
		resp.Error = err.Error()
	} else if resp.Body, err = msgpack.Marshal(v); err != nil {
		resp.Error = err.Error()
	}
	if t.filter(from, false) {
		return
	}
	select {
	case out <- resp:
	case <-done:
	}
}

// serveOneWay runs the handler of a one-way message.
func (t *Transport) serveOneWay(h OneWayHandler, from string, m *Message) {
	defer func() {
		if p := recover(); p != nil {
			t.recordPanic(from, m.Method, p)
		}
	}()
	h(from, m.Body)
}

// serveRequest runs the handler of a request. A panic becomes an error for the sender: if it
// ended the process, the sender would retry at the next peer and end that as well.
func (t *Transport) serveRequest(ctx context.Context, h RequestHandler, from string, m *Message) (v any, err error) {
	defer func() {
		if p := recover(); p != nil {
			t.recordPanic(from, m.Method, p)
			err = errPanicked
		}
	}()
	return h(ctx, from, m.Body)
}

func (t *Transport) recordPanic(from, method string, p any) {
	t.Panics.Add(1)
	log.WithFields(log.Fields{"step": "handle message", "peer": from, "method": method, "panic": fmt.Sprint(p), "stack": string(debug.Stack())}).
		Error("the handler panicked; the message is dropped")
}

// writeLoop writes queued responses until done is closed.
func (t *Transport) writeLoop(c *Conn, out <-chan *Message, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case m := <-out:
			if err := t.writeBatch(c, m, out); err != nil {
				c.Close()
				return
			}
		}
	}
}

// writeBatch writes m and everything queued, then flushes.
func (t *Transport) writeBatch(c *Conn, m *Message, out <-chan *Message) error {
	for {
		if err := t.write(c, m); err != nil {
			return err
		}
		select {
		case m = <-out:
		default:
			return c.Flush()
		}
	}
}

// write writes and counts one message.
func (t *Transport) write(c *Conn, m *Message) error {
	if err := c.Write(m); err != nil {
		return err
	}
	t.MessagesSent.Add(1)
	t.BytesSent.Add(int64(len(m.Body) + 32))
	return nil
}

// Send queues a one-way message and does not wait. The message is lost if the connection
// breaks; a full queue is an error.
func (t *Transport) Send(address, method string, v any) error {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	if t.filter(address, false) {
		return nil
	}
	return t.enqueue(address, func(*link) *Message { return &Message{Kind: OneWay, Method: method, Body: body} }, nil)
}

// enqueue queues a message on the link to the address, or on a new one if the link has just
// been removed.
func (t *Transport) enqueue(address string, message func(*link) *Message, p *pendingCall) error {
	for {
		l := t.link(address)
		err := l.enqueue(message(l), p)
		if !errors.Is(err, errLinkRemoved) {
			return err
		}
	}
}

// Call sends a request and decodes the response into out. ErrUnreachable means that the
// request certainly did not reach the peer.
func (t *Transport) Call(ctx context.Context, address, method string, in, out any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	if t.filter(address, false) {
		<-ctx.Done()
		return eris.Wrapf(ctx.Err(), "%s at peer %s", method, address)
	}
	p := &pendingCall{done: make(chan struct{})}
	err = t.enqueue(address, func(l *link) *Message {
		p.link, p.id = l, l.nextID.Add(1)
		return &Message{Kind: Request, ID: p.id, Method: method, Body: body}
	}, p)
	if err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		p.link.forget(p.id)
		return eris.Wrapf(context.Cause(ctx), "%s at peer %s", method, address)
	}
	if p.err != nil {
		return eris.Wrapf(p.err, "%s at peer %s", method, address)
	}
	return eris.Wrap(wire.Decode(p.body, out), "decode response")
}

// HeardFrom returns when the last response from an address arrived, by boottime, which shows
// that messages get through both ways. A peer that is too slow for its requests still answers
// probes. The time is zero if there was no response or the link was idle and is gone.
func (t *Transport) HeardFrom(address string) time.Time {
	l := t.existingLink(address)
	if l == nil {
		return time.Time{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heardAt
}

// WithResponseTimeout returns a context for a call to an address that ends after the timeout,
// or, if a response is arriving from there then, when no more of it comes.
func (t *Transport) WithResponseTimeout(parent context.Context, address string, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := t.cancelUnlessReceiving(ctx, cancel, address, timeout)
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// cancelUnlessReceiving cancels a context after a time unless a response is arriving then, and
// then checks again, until the context ends.
func (t *Transport) cancelUnlessReceiving(ctx context.Context, cancel context.CancelCauseFunc, address string, after time.Duration) *time.Timer {
	return time.AfterFunc(after, func() {
		if ctx.Err() == nil && t.receivingFrom(address) {
			t.cancelUnlessReceiving(ctx, cancel, address, maxReceivePause)
			return
		}
		cancel(context.DeadlineExceeded)
	})
}

// receivingFrom reports whether a response is arriving from an address.
func (t *Transport) receivingFrom(address string) bool {
	l := t.existingLink(address)
	if l == nil {
		return false
	}
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	return c != nil && c.progress.receiving(maxReceivePause)
}

// existingLink returns the link to an address, nil without one.
func (t *Transport) existingLink(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[address]
}

// link returns the link to an address, which it creates if necessary.
func (t *Transport) link(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[address]
	if l == nil {
		l = &link{t: t, address: address, out: make(chan *Message, maxQueued), pending: map[uint64]*pendingCall{}, closing: make(chan struct{})}
		t.links[address] = l
		if t.closed {
			l.close()
		}
		go l.run()
	}
	return l
}
