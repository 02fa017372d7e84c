// Package upstream speaks HTTP/1.1 to backend servers for routed calls. It
// sends each call once: nothing is repeated on its own. Every failure says
// whether the call may have run. Answers are matched by the call's ID, and a
// connection that carried anything unexpected is not used again.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
)

// Request is one attempt of one call.
type Request struct {
	CallID  string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool
}

// Target is the backend server that an attempt goes to.
type Target struct {
	ID      string
	Address string
	// MaxConnections bounds this instance's connections to the server; zero means
	// no bound.
	MaxConnections int
	// CloseAfterUse: connections are not kept for the next call, since the server takes
	// fewer of them than there are instances.
	CloseAfterUse bool
}

// Error is a failed attempt.
type Error struct {
	// Sent: the call may have run. False is certain.
	Sent bool
	// Reached: the server's process was there. Its answer had begun, or the connection had
	// carried an answer before; a new connection may have met something else that listens
	// for a server that has ended.
	Reached bool
	// Step tells what failed, Server where.
	Step   string
	Server string
	Err    error
}

// Error names step, server and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at backend server %s: %v", e.Step, e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errors inside an *Error.
var (
	// ErrConnections: this instance's share of the server's connections is in use.
	ErrConnections = errors.New("no connection is free")
	errForeign     = errors.New("the connection carries answers of other calls")
)

// maxForeign bounds the answers of other calls that are skipped on one
// connection.
const maxForeign = 2

// bigBody is the size from which the body is written while the answer is
// already awaited: a server may refuse a long call before it has read it.
const bigBody = 16 << 10

// Client holds the connections to all backend servers. Safe for concurrent use.
type Client struct {
	protocol Protocol
	mu       sync.Mutex
	servers  map[string]*server
	// dialled counts new connections.
	dialled int64
	// rest is learned at one server and holds for all: servers behind the same
	// network lose their connections alike.
	rest rest
}

type server struct {
	idle []*conn
	open int
}

// NewClient returns a client without connections.
func NewClient(p Protocol) *Client {
	return &Client{protocol: p, servers: map[string]*server{}}
}

// Dialled returns how many connections were made.
func (c *Client) Dialled() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialled
}

// Response is an answer whose body is still to be read. Close it.
type Response struct {
	Status int
	Header http.Header
	Answer Answer
	// Length is the body's length, -1 when unknown.
	Length int64
	Body   io.Reader

	client  *Client
	target  Target
	conn    *conn
	close   bool
	raw     io.Closer
	stop    func() bool
	written <-chan error
	whole   bool
}

// Send sends a call and returns the answer's head. The context's end closes
// the connection, at any time until the response is closed.
func (c *Client) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	cn, err := c.take(ctx, t)
	if err != nil {
		return nil, &Error{Step: "connect", Server: t.ID, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	sent := time.Now()
	written := make(chan error, 1)
	if err := c.write(cn, r, written); err != nil {
		stop()
		c.noteRest(cn, sent, err)
		c.drop(t, cn)
		return nil, &Error{Sent: !errors.Is(err, errNothingWritten), Reached: cn.used(), Step: "send", Server: t.ID, Err: err}
	}
	resp, err := c.readHead(cn, t, r)
	if err != nil {
		stop()
		c.noteRest(cn, sent, err)
		c.drop(t, cn)
		return nil, &Error{Sent: true, Reached: cn.used(), Step: "await answer", Server: t.ID, Err: err}
	}
	resp.stop, resp.written = stop, written
	return resp, nil
}

// noteRest learns from a reset in answer to a call on a connection that had
// rested.
func (c *Client) noteRest(cn *conn, sent time.Time, err error) {
	if !cn.used() || !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return
	}
	rested := sent.Sub(cn.restedSince)
	c.mu.Lock()
	c.rest.note(time.Now(), rested)
	most := c.rest.most
	c.mu.Unlock()
	log.WithFields(log.Fields{"step": "reuse connection", "peer": cn.RemoteAddr().String(), "rested_ms": rested.Milliseconds(), "most_ms": most.Milliseconds()}).
		Info("connection was reset after a rest; shorter rests from now on")
}

// errNothingWritten: the connection took no byte of the call.
var errNothingWritten = errors.New("no byte was written")

func (c *Client) write(cn *conn, r *Request, written chan<- error) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, v := range r.Header[name] {
			head.WriteString(name + ": " + v + "\r\n")
		}
	}
	if r.HasBody {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(r.Body) < bigBody {
		head.Write(r.Body)
		n, err := cn.Write(head.Bytes())
		written <- err
		return writeError(n, err)
	}
	n, err := cn.Write(head.Bytes())
	if err != nil {
		return writeError(n, err)
	}
	go func() {
		_, err := cn.Write(r.Body)
		written <- err
	}()
	return nil
}

func writeError(n int, err error) error {
	if err != nil && n == 0 {
		return fmt.Errorf("%w: %w", errNothingWritten, err)
	}
	return err
}

// readHead reads answers until one belongs to the call.
func (c *Client) readHead(cn *conn, t Target, r *Request) (*Response, error) {
	for foreign := 0; foreign <= maxForeign; {
		raw, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		a := c.protocol.Answer(raw.StatusCode, raw.Header)
		if a.CallID != "" && a.CallID != r.CallID {
			foreign++
			if _, err := io.Copy(io.Discard, raw.Body); err != nil {
				return nil, err
			}
			continue
		}
		spoiled := foreign > 0 || raw.Close || raw.ContentLength < 0 && len(raw.TransferEncoding) == 0
		resp := &Response{Status: raw.StatusCode, Header: raw.Header, Answer: a, Length: raw.ContentLength,
			client: c, target: t, conn: cn, close: spoiled, raw: raw.Body}
		resp.Body = &wholeReader{r: raw.Body, whole: &resp.whole}
		return resp, nil
	}
	return nil, errForeign
}

// wholeReader notes when the body has been read to its proper end.
type wholeReader struct {
	r     io.Reader
	whole *bool
}

func (w *wholeReader) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	if err == io.EOF {
		*w.whole = true
	}
	return n, err
}

// Close gives the connection back if the whole answer was read and nothing
// else has happened on it; otherwise the connection is closed, which ends the
// server's work on the call.
func (r *Response) Close() {
	alive := r.stop()
	if !alive || !r.whole || r.close || r.target.CloseAfterUse || !r.bodyWritten() || r.conn.reader.Buffered() > 0 {
		r.client.drop(r.target, r.conn)
		return
	}
	idle := defaultIdle
	if r.Answer.KeepAlive > 0 {
		idle = r.Answer.KeepAlive
	}
	r.conn.usableUntil = time.Now().Add(time.Duration(float64(idle) * idleShare))
	r.conn.restedSince = time.Now()
	r.client.put(r.target, r.conn)
}

// bodyWritten reports whether the server has taken the whole call. One that
// answered earlier still expects the rest, where another call must not stand.
func (r *Response) bodyWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// take returns an idle connection, the last used first, or a new one.
func (c *Client) take(ctx context.Context, t Target) (*conn, error) {
	c.mu.Lock()
	s := c.server(t.ID)
	for len(s.idle) > 0 {
		cn := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		now := time.Now()
		if now.Before(cn.usableUntil) && c.rest.allows(now, now.Sub(cn.restedSince)) && cn.quiet() {
			c.mu.Unlock()
			return cn, nil
		}
		s.open--
		cn.Close()
	}
	if t.MaxConnections > 0 && s.open >= t.MaxConnections {
		c.mu.Unlock()
		return nil, ErrConnections
	}
	s.open++
	c.dialled++
	c.mu.Unlock()
	cn, err := dial(t.Address, dialBound(ctx))
	if err != nil {
		c.mu.Lock()
		s.open--
		c.mu.Unlock()
		return nil, err
	}
	return cn, nil
}

func dialBound(ctx context.Context) time.Duration {
	if until, ok := ctx.Deadline(); ok {
		return max(time.Millisecond, min(dialTimeout, time.Until(until)))
	}
	return dialTimeout
}

func (c *Client) server(id string) *server {
	s := c.servers[id]
	if s == nil {
		s = &server{}
		c.servers[id] = s
	}
	return s
}

func (c *Client) put(t Target, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(t.ID)
	s.idle = append(s.idle, cn)
}

func (c *Client) drop(t Target, cn *conn) {
	cn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server(t.ID).open--
}

// Forget closes the idle connections to servers that are gone.
func (c *Client) Forget(gone func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.servers {
		if !gone(id) {
			continue
		}
		for _, cn := range s.idle {
			cn.Close()
			s.open--
		}
		s.idle = nil
		if s.open == 0 {
			delete(c.servers, id)
		}
	}
}

// Sweep closes connections that have been idle too long.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, s := range c.servers {
		kept := s.idle[:0]
		for _, cn := range s.idle {
			if now.Before(cn.usableUntil) {
				kept = append(kept, cn)
				continue
			}
			cn.Close()
			s.open--
		}
		s.idle = kept
	}
}
