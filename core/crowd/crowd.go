// Package crowd simulates clients that make a server hold as much as they can, for tests
// with real processes.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// reopenPause is how long a client waits after its connection was closed before it opens
	// the next one.
	reopenPause = 100 * time.Millisecond
)

// Script sends what one client sends on a connection. client is the client's number, from 0.
type Script func(client int, w io.Writer) error

// Crowd is a number of clients that each keep a connection to one address open, and send the
// script again on a new one when it is closed.
type Crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	started sync.WaitGroup
	sent    atomic.Int64
}

// Start starts the clients. They run until Stop.
func Start(address string, clients int, s Script) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	for i := range clients {
		c.started.Add(1)
		c.clients.Go(func() { c.run(ctx, address, i, s) })
	}
	return c
}

// Sent returns how often the script was sent to its end.
func (c *Crowd) Sent() int64 { return c.sent.Load() }

// AwaitFirst waits until the first connection of each client has sent its script or was
// closed, at most for the timeout.
func (c *Crowd) AwaitFirst(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		c.started.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// Stop closes all connections.
func (c *Crowd) Stop() {
	c.cancel()
	c.clients.Wait()
}

func (c *Crowd) run(ctx context.Context, address string, client int, s Script) {
	var once sync.Once
	started := func() { once.Do(c.started.Done) }
	defer started()
	for ctx.Err() == nil {
		c.connect(ctx, address, client, s, started)
		select {
		case <-time.After(reopenPause):
		case <-ctx.Done():
		}
	}
}

// connect sends the script on one connection and keeps it until the server closes it.
func (c *Crowd) connect(ctx context.Context, address string, client int, s Script, sent func()) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		defer conn.Close() // ends the script
		_, _ = io.Copy(io.Discard, conn)
	}()
	if s(client, conn) == nil {
		c.sent.Add(1)
	}
	sent()
	<-closed
}
