package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/membudget"
)

// RetryAfter is when a refused client may come back.
const RetryAfter = time.Second

// Conn is a client's connection. net/http reads requests from it.
type Conn struct {
	net.Conn
	listener *Listener
	client   membudget.Client
	closed   sync.Once

	// mu guards evicted, and deadlines against an eviction.
	mu      sync.Mutex
	evicted bool
}

func newConn(raw net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: raw, listener: l}
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
	c.listener.guard.update(func(b *membudget.Budget) { b.EndRequest(time.Now(), &c.client) })
}

// closedError ends the connection without an answer of net/http.
func closedError(reason string) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: eris.New(reason)}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.wasEvicted() {
		return 0, closedError("evicted")
	}
	return n, err
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

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil // the one that evict has set holds
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
