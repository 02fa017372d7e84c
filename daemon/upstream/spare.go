package upstream

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Open opens a connection to find out whether that is possible. A later call uses it, unless
// this instance has its share of connections already.
func (c *Client) Open(t Target, timeout time.Duration) error {
	cn, keep, err := c.openSpare(t, t.MaxConnections, timeout)
	if err != nil {
		return err
	}
	c.putSpare(t, cn, keep)
	return nil
}

// openSpare opens a connection without a call. keep reports whether it fits into the bound on this
// instance's connections to the server, 0 for none.
func (c *Client) openSpare(t Target, bound int, timeout time.Duration) (cn *conn, keep bool, err error) {
	c.mu.Lock()
	s := c.server(t.ID)
	keep = !t.CloseAfterUse && (t.MaxConnections <= 0 || s.open < bound)
	s.open++
	c.dialled++
	c.mu.Unlock()
	cn, err = c.connect(t, s, timeout)
	return cn, keep, err
}

// putSpare keeps a connection for a later call, or closes it.
func (c *Client) putSpare(t Target, cn *conn, keep bool) {
	if !keep {
		c.discard(t, cn)
		return
	}
	cn.putAside(defaultKeepAlive)
	c.release(t, cn)
}

// errServerEnded means that the server's process ended together with the connection that its
// answer was to end with.
var errServerEnded = fmt.Errorf("the server ended with its answer: %w", io.ErrUnexpectedEOF)

// The time that a terminating process, or a proxy before it, gets to close its connections and its
// listener. The caller of a stream has all events already and waits for its end only.
const (
	aliveCheckDelay       = 15 * time.Millisecond
	streamAliveCheckDelay = 60 * time.Millisecond
)

// aliveCheckDelay returns how long to wait for further signs after the end of the connection.
func (r *Response) aliveCheckDelay() time.Duration {
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return streamAliveCheckDelay
	}
	return aliveCheckDelay
}

// isAlive reports whether a server still runs after one of its connections has ended: it keeps
// another connection open, or accepts a new one and keeps it open for the delay. A later call uses
// that one.
func (c *Client) isAlive(t Target, delay time.Duration) bool {
	time.Sleep(delay)
	if c.hasOpenConnection(t.ID) {
		return true
	}
	cn, keep, err := c.openSpare(t, t.MaxConnections+1, dialTimeout) // the one that has ended still counts
	if err != nil {
		return false
	}
	time.Sleep(delay)
	alive := cn.isSilent()
	c.putSpare(t, cn, alive && keep)
	return alive
}

// hasOpenConnection reports whether the server has not closed the latest idle connection to it.
func (c *Client) hasOpenConnection(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.server(id).idle
	return len(idle) > 0 && idle[len(idle)-1].isSilent()
}
