package inbound

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cardamomwick.example/core/membudget"
)

const (
	// headSlack is allowed beyond the largest head: as in net/http, since the limit is on header
	// lines, and the request line may come on top.
	headSlack = 4 << 10
	// timeoutSlack is added to the declared timeouts, for a process that is suspended or overloaded
	// meanwhile.
	timeoutSlack = 5 * time.Second
	// A refused client gets lingerTime to stop sending, of which up to lingerBytes are discarded: a
	// connection that is closed with unread bytes is reset, and the client loses the refusal.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
	// writeTimeout is how long a client may leave unread what is sent to it, before its call and the
	// server's slot are given up.
	writeTimeout = 30 * time.Second
	// writeRenewals is the number of times in writeTimeout that the deadline is renewed at most.
	writeRenewals = 4
	// refusalWriteTimeout bounds the sending of a refusal.
	refusalWriteTimeout = 100 * time.Millisecond
)

// RetryAfter is when a refused client may come back.
const RetryAfter = time.Second

// Conn is a client's connection. net/http reads requests from it.
type Conn struct {
	net.Conn
	listener *Listener
	client   membudget.Client
	closed   sync.Once

	// headDone is set once a head is complete, until the next one is expected. While a request is served,
	// net/http reads in another goroutine, which uses nothing else of the state of the head.
	headDone atomic.Bool
	// head is the head that is expected or received.
	head head
	// admitted is set while a call is served that Admit has admitted.
	admitted bool
	// isPeer is set if the client belongs to the system.
	isPeer bool
	// writeBegan is when the deadline for writing was last renewed.
	writeBegan time.Time

	// mu guards evicted, and deadlines against an eviction.
	mu      sync.Mutex
	evicted bool
}

func newConn(raw net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: raw, listener: l}
	c.headDone.Store(!l.http)
	c.client = membudget.Client{Listener: &l.count, Owner: c}
	return c
}

type connKey struct{}

// ConnContext adds a connection to the context of its requests; for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// fromContext returns the connection of a request, nil if it came from elsewhere.
func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ConnState follows the state of a connection; for http.Server.
func ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok || s != http.StateIdle {
		return
	}
	c.head, c.admitted = head{}, false
	c.headDone.Store(false)
	c.listener.guard.update(func(b *membudget.Budget) { b.EndRequest(time.Now(), &c.client) })
}

// Authenticated takes a connection out of the account: its client belongs to the system.
func (c *Conn) Authenticated() {
	c.isPeer = true
	c.listener.guard.update(func(b *membudget.Budget) { b.Close(&c.client) })
}

// errRefused ends the connection without an answer of net/http.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the client was refused")}

// Read implements net.Conn. It takes the memory for a head before net/http parses it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.wasEvicted() {
		if !c.headDone.Load() && c.head.begun {
			c.sendRefusal(http.StatusServiceUnavailable)
		}
		return 0, errRefused
	}
	if c.headDone.Load() || n == 0 {
		return n, err
	}
	if refusal := c.countHead(p[:n]); refusal != nil {
		return 0, refusal
	}
	return n, err
}

// Write implements net.Conn. A client that does not read ends the connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isPeer {
		return c.Conn.Write(p)
	}
	timeout := c.listener.writeTimeout
	if now := time.Now(); now.Sub(c.writeBegan) > timeout/writeRenewals {
		c.writeBegan = now
		if err := c.Conn.SetWriteDeadline(now.Add(timeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.guard.refuse(c.listener.name, ReasonUnread)
	}
	return n, err
}

// countHead counts received bytes of a head. An error means that the client was refused.
func (c *Conn) countHead(p []byte) error {
	first := c.head.bytes == 0
	c.head.add(p)
	c.headDone.Store(c.head.complete)
	limits := c.listener.limits()
	if first && !c.head.complete {
		if !c.listener.guard.setPhase(c, membudget.Receiving) {
			return errRefused
		}
		if limits.Timeout > 0 { // net/http sets no deadline between accepting and the end of the head
			_ = c.SetReadDeadline(time.Now().Add(limits.Timeout + timeoutSlack)) // fails only if the connection is closed
		}
	}
	if limits.MaxBytes > 0 && c.head.bytes > limits.MaxBytes+headSlack {
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHead)
	}
	if missing := c.head.missing(); missing > 0 {
		if !c.listener.guard.grow(c, membudget.Head, missing) {
			return c.refuse(http.StatusServiceUnavailable, ReasonMemory)
		}
		c.head.taken += missing
	}
	return nil
}

// refuse answers a head that is not received to its end, and returns errRefused.
func (c *Conn) refuse(status int, r Reason) error {
	c.listener.guard.refuse(c.listener.name, r)
	c.releaseRequest()
	c.sendRefusal(status)
	if r == ReasonMemory {
		return errRefused // a connection that lingers is memory too
	}
	if err := c.CloseWrite(); err == nil {
		// An error ends the discarding, as does the deadline.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return errRefused
}

// releaseRequest gives the memory of a refused request back: net/http keeps its connection for a while.
func (c *Conn) releaseRequest() {
	c.listener.guard.update(func(b *membudget.Budget) { b.ReleaseRequest(&c.client) })
}

// sendRefusal sends an answer without a body. Its loss is no harm: the connection is closed.
func (c *Conn) sendRefusal(status int) {
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		answer += "Retry-After: " + seconds(RetryAfter) + "\r\n"
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = io.WriteString(c.Conn, answer+"\r\n")
}

// evict ends the reading of a request. The goroutine that reads it then refuses it and closes the
// connection.
func (c *Conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
}

func (c *Conn) wasEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// SetReadDeadline implements net.Conn. The limits of the listener make it earlier.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil // the one that evict has set holds
	}
	if !c.headDone.Load() && !t.IsZero() {
		limits := c.listener.limits()
		timeout := limits.Timeout
		if c.head.bytes == 0 {
			timeout = limits.IdleTimeout
		}
		if latest := time.Now().Add(timeout + timeoutSlack); timeout > 0 && latest.Before(t) {
			t = latest
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the connection for writing; net/http calls it.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Do(func() {
		c.listener.guard.update(func(b *membudget.Budget) { b.Close(&c.client) })
	})
	return c.Conn.Close()
}
