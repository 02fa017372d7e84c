// Package upstream is an HTTP/1.1 client to backend servers for routed calls. It
// sends each call once and never retries by itself. Every error says whether the
// call may have run. Answers are matched by the call's ID, and a connection that
// carried anything unexpected is not reused.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/core/httpresponse"
	"cardamomwick.example/core/membudget"
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
	Pool    string
	Address string
	// MaxConnections bounds this instance's connections to the server; zero means
	// no bound.
	MaxConnections int
	// CloseAfterUse closes connections after each call. It is set where the server accepts
	// fewer connections than there are instances.
	CloseAfterUse bool
}

// Error is a failed attempt.
type Error struct {
	// MayHaveRun is false only if the call certainly did not run.
	MayHaveRun bool
	// Reached is set if the call certainly reached the server's process: the answer had
	// begun, or the connection had carried an answer before. A new connection may have
	// been accepted by something else that listens in place of a server that has ended.
	Reached bool
	// Step is the operation that failed.
	Step   string
	Server string
	Err    error
}

// Error returns step, server and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at backend server %s: %v", e.Step, e.Server, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Cause classifies the error for metrics: malformed, timeout, refused, reset, closed, cancelled,
// connections (none is free), memory (there is none for the answer) or other.
func (e *Error) Cause() string {
	var timeout interface{ Timeout() bool }
	switch {
	case e.Malformed():
		return "malformed"
	case errors.Is(e.Err, ErrConnections):
		return "connections"
	case errors.Is(e.Err, ErrAnswerMemory):
		return "memory"
	case errors.Is(e.Err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(e.Err, syscall.ECONNRESET), errors.Is(e.Err, syscall.EPIPE):
		return "reset"
	case errors.Is(e.Err, io.EOF), errors.Is(e.Err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(e.Err, net.ErrClosed), errors.Is(e.Err, context.Canceled):
		return "cancelled"
	case errors.As(e.Err, &timeout) && timeout.Timeout():
		return "timeout"
	}
	return "other"
}

// Malformed reports whether the server sent something that is no valid answer.
func (e *Error) Malformed() bool {
	var malformed *httpresponse.Error
	return errors.As(e.Err, &malformed)
}

// Causes of an *Error.
var (
	// ErrConnections means that this instance's share of the server's connections is in use.
	ErrConnections = errors.New("no connection is free")
	// ErrAnswerMemory means that the memory for answers is in use.
	ErrAnswerMemory   = errors.New("there is no memory for the answer")
	errForeignAnswers = errors.New("the connection carries answers of other calls")
)

// maxForeignAnswers bounds the answers to other calls that are skipped while waiting
// for one.
const maxForeignAnswers = 2

// Bounds on what a server may send before the call's own answer, or where that is of no use.
const (
	// maxHeadBytes bounds all heads on the way to the call's answer, its own included.
	maxHeadBytes = 64 << 10
	// maxHeadTime bounds the time from the first byte of a head to its end. A head is sent at
	// once; a lost packet is sent again within a second.
	maxHeadTime = 2 * time.Second
	// maxDrainBytes and maxDrainTime bound the reading of a body that is of no use, so that its
	// connection can be kept.
	maxDrainBytes = 16 << 10
	maxDrainTime  = 100 * time.Millisecond
)

var (
	errHeadTooLong = errors.New("the head of the answer is too long")
	errBodyTooLong = errors.New("the body is too long to be read for nothing")
)

// asyncBodyBytes is the size from which the body is written while the client already
// waits for the answer: a server may refuse a long call before it has read it.
const asyncBodyBytes = 16 << 10

// Client holds the connections to all backend servers. Safe for concurrent use.
type Client struct {
	protocol Protocol
	dial     Dialer
	onDial   func(t Target, err error)
	memory   *membudget.Pool
	mu       sync.Mutex
	servers  map[string]*server
	dialled  int64
	// idleLimit is learned from one server and applied to all, since servers in the same
	// network lose their connections alike.
	idleLimit idleLimit
}

type server struct {
	idle []*conn
	open int
}

// NewClient returns a client without connections; a nil dialer selects Dial.
func NewClient(p Protocol, dial Dialer) *Client {
	if dial == nil {
		dial = Dial
	}
	return &Client{protocol: p, dial: dial, onDial: func(Target, error) {}, servers: map[string]*server{}}
}

// OnDial sets the function that is called with the result of each connection that a call
// opens. Call it before the first call.
func (c *Client) OnDial(f func(t Target, err error)) { c.onDial = f }

// BoundMemory sets what the heads of all answers may hold together. Call it before the first call.
func (c *Client) BoundMemory(p *membudget.Pool) { c.memory = p }

// Dialled returns the number of connections that were dialled, failed ones included.
func (c *Client) Dialled() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialled
}

// Response is an answer whose body is still to be read. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	Answer Answer
	// Length is the body's length, -1 when unknown.
	Length int64
	Body   io.Reader
	// EndsWithConnection is set if the body has neither a length nor chunks: only the end of
	// the connection ends it.
	EndsWithConnection bool

	client   *Client
	target   Target
	conn     *conn
	close    bool
	stop     func() bool
	upload   *upload
	complete bool
}

// Send sends a call and returns once the answer's headers have arrived. The end of the
// context closes the connection, until the response is closed.
func (c *Client) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	cn, err := c.acquire(ctx, t)
	if err != nil {
		return nil, &Error{Step: "connect", Server: t.ID, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	sent := time.Now()
	up := newUpload()
	if err := c.write(cn, r, up); err != nil {
		stop()
		c.recordReset(cn, sent, err)
		c.discard(t, cn)
		return nil, &Error{MayHaveRun: !errors.Is(err, errNothingWritten), Reached: cn.used, Step: "send", Server: t.ID, Err: err}
	}
	resp, err := c.readHead(cn, t, r)
	if err != nil {
		stop()
		c.recordReset(cn, sent, err)
		c.discard(t, cn)
		return nil, &Error{MayHaveRun: true, Reached: cn.used, Step: "await answer", Server: t.ID, Err: err}
	}
	resp.stop, resp.upload = stop, up
	return resp, nil
}

// recordReset updates the idle limit if a call failed with a reset on a connection that
// had been idle.
func (c *Client) recordReset(cn *conn, sent time.Time, err error) {
	if cn.idleSince.IsZero() || !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return
	}
	idle := sent.Sub(cn.idleSince)
	c.mu.Lock()
	c.idleLimit.recordReset(time.Now(), idle)
	limit := c.idleLimit.limit
	c.mu.Unlock()
	log.WithFields(log.Fields{"step": "reuse connection", "peer": cn.RemoteAddr().String(), "rested_ms": idle.Milliseconds(), "most_ms": limit.Milliseconds()}).
		Info("connection was reset after a rest; shorter rests from now on")
}

// ForgetIdleLimit forgets what resets have shown of the idle time of connections, because they
// had another cause.
func (c *Client) ForgetIdleLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = idleLimit{}
}

// errNothingWritten means that no byte of the call was written to the connection.
var errNothingWritten = errors.New("no byte was written")

func (c *Client) write(cn *conn, r *Request, up *upload) error {
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
	if len(r.Body) < asyncBodyBytes {
		head.Write(r.Body)
		n, err := cn.Write(head.Bytes())
		up.end(err)
		return writeError(n, err)
	}
	n, err := cn.Write(head.Bytes())
	if err != nil {
		return writeError(n, err)
	}
	go func() {
		_, err := cn.Write(r.Body)
		up.end(err)
	}()
	return nil
}

func writeError(n int, err error) error {
	if err != nil && n == 0 {
		return fmt.Errorf("%w: %w", errNothingWritten, err)
	}
	return err
}

// readHead reads answers' headers until one belongs to the call.
func (c *Client) readHead(cn *conn, t Target, r *Request) (*Response, error) {
	cn.headBytes = maxHeadBytes
	for foreign := 0; foreign <= maxForeignAnswers; {
		raw, err := cn.readResponse(r.Method)
		if err != nil {
			return nil, err
		}
		if httpresponse.IsInformational(raw.StatusCode) {
			continue
		}
		a := c.protocol.ParseAnswer(raw.StatusCode, raw.Header)
		if a.CallID != "" && a.CallID != r.CallID {
			foreign++
			if err := cn.drain(raw.Body); err != nil {
				return nil, err
			}
			continue
		}
		unframed := raw.ContentLength < 0 && len(raw.TransferEncoding) == 0
		resp := &Response{Status: raw.StatusCode, Header: raw.Header, Answer: a, Length: raw.ContentLength, EndsWithConnection: unframed,
			client: c, target: t, conn: cn, close: foreign > 0 || raw.Close || unframed}
		resp.Body = &eofReader{raw: raw, resp: resp}
		return resp, nil
	}
	return nil, errForeignAnswers
}

// eofReader sets complete when the body has been read to its end, its trailer included.
type eofReader struct {
	raw  *http.Response
	resp *Response
}

func (w *eofReader) Read(p []byte) (int, error) {
	n, err := w.raw.Body.Read(p)
	if err == nil || w.resp.complete {
		return n, err
	}
	if err != io.EOF {
		return n, w.resp.conn.bodyError(err)
	}
	if err := httpresponse.CheckFields(w.raw.Trailer); err != nil {
		return n, err
	}
	if w.resp.EndsWithConnection {
		if err := w.resp.checkEnd(); err != nil {
			return n, err
		}
	}
	w.resp.complete = true
	return n, err
}

// checkEnd returns an error unless the end of the connection is the end of the answer.
func (r *Response) checkEnd() error {
	if err := r.upload.await(r.conn); err != nil {
		return err
	}
	if !r.client.isAlive(r.target, r.aliveCheckDelay()) {
		return errServerEnded
	}
	return nil
}

// Drain reads the rest of a body that is of no use, if it is short and arrives soon, so that Close
// can keep the connection.
func (r *Response) Drain() {
	if r.EndsWithConnection {
		return // it can't be kept
	}
	if err := r.conn.drain(r.Body); err != nil {
		r.close = true
	}
}

// Close keeps the connection for reuse if the whole answer was read and nothing
// unexpected happened on it. Otherwise it closes the connection, which ends the
// server's work on the call.
func (r *Response) Close() {
	alive := r.stop()
	if !alive || !r.complete || r.close || r.target.CloseAfterUse || !r.upload.succeeded() || r.conn.reader.Buffered() > 0 {
		r.client.discard(r.target, r.conn)
		return
	}
	idle := defaultKeepAlive
	if r.Answer.KeepAlive > 0 {
		idle = r.Answer.KeepAlive
	}
	r.conn.putAside(idle)
	r.conn.used = true
	r.client.release(r.target, r.conn)
}

// acquire returns the most recently used idle connection, or a new one.
func (c *Client) acquire(ctx context.Context, t Target) (*conn, error) {
	c.mu.Lock()
	s := c.server(t.ID)
	for len(s.idle) > 0 {
		cn := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		now := time.Now()
		if now.Before(cn.usableUntil) && c.idleLimit.allows(now, now.Sub(cn.idleSince)) && cn.isSilent() {
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
	cn, err := c.connect(t, s, boundedDialTimeout(ctx))
	c.onDial(t, err)
	return cn, err
}

// connect dials a connection that is already counted.
func (c *Client) connect(t Target, s *server, timeout time.Duration) (*conn, error) {
	raw, err := c.dial(t.Address, timeout)
	if err != nil {
		c.mu.Lock()
		s.open--
		c.mu.Unlock()
		return nil, err
	}
	return newConn(raw, c.memory), nil
}

func boundedDialTimeout(ctx context.Context) time.Duration {
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

func (c *Client) release(t Target, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.memory.Release()
	s := c.server(t.ID)
	s.idle = append(s.idle, cn)
}

func (c *Client) discard(t Target, cn *conn) {
	cn.Close()
	cn.memory.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server(t.ID).open--
}

// CloseIdle closes the idle connections to the servers for which gone returns true.
func (c *Client) CloseIdle(gone func(id string) bool) {
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

// CloseExpired closes connections that have been idle for too long.
func (c *Client) CloseExpired() {
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
