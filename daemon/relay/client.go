package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"cardamomwick.example/core/httpresponse"
	"cardamomwick.example/core/relay"
	"cardamomwick.example/daemon/frame"
)

const (
	// acceptTimeout bounds the wait for the response to an offer, which needs no work at
	// the peer.
	acceptTimeout = 250 * time.Millisecond
	// idleTimeout is how long an unused stream is kept; maxIdle bounds them per peer.
	idleTimeout = 10 * time.Second
	maxIdle     = 32
)

// DeclinedError means that a peer has not taken a call. It has certainly not run there.
type DeclinedError struct {
	Peer   string
	Reason relay.Decline
	// Err is the cause if the peer could not be asked.
	Err error
}

// Error returns peer, reason and cause.
func (e *DeclinedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("offer call to peer %s: %v", e.Peer, e.Err)
	}
	return fmt.Sprintf("peer %s declined the call: %s", e.Peer, e.Reason)
}

// Unwrap returns the cause.
func (e *DeclinedError) Unwrap() error { return e.Err }

// ErrLost means that an exchange broke off: the call may have run.
var ErrLost = eris.New("the exchange with the peer was lost")

// Client offers calls to peers. Safe for concurrent use.
type Client struct {
	transport *frame.Transport
	mu        sync.Mutex
	idle      map[string][]idleStream
}

type idleStream struct {
	*frame.Stream
	since time.Time
}

// NewClient returns a client without streams.
func NewClient(t *frame.Transport) *Client {
	return &Client{transport: t, idle: map[string][]idleStream{}}
}

// Answer is an answer whose body is still to be received.
type Answer struct {
	Status int
	Header http.Header
	// End is set once Next has returned the end.
	End End

	client *Client
	stream *frame.Stream
	stop   func() bool
	done   bool
}

// Send offers a call to a peer and sends it once the peer has accepted. It returns when the
// answer's head has arrived. The error is a *DeclinedError if the call has certainly not run,
// otherwise it wraps ErrLost. The end of the context ends the exchange, and the call at the
// peer, until the answer is closed.
func (c *Client) Send(ctx context.Context, peer string, o *Offer, call *Call) (*Answer, error) {
	method := methodOffer
	if call.Origin != nil {
		method = methodOfferStream
	}
	s, err := c.offer(ctx, peer, method, o)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, s.Close)
	a, err := c.call(s, call)
	if err != nil {
		stop()
		s.Close()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

// offer returns a stream on which the peer has accepted the offer.
func (c *Client) offer(ctx context.Context, peer, method string, o *Offer) (*frame.Stream, error) {
	for {
		s, reused := c.takeIdle(peer)
		if !reused {
			var err error
			if s, err = c.transport.OpenStream(peer); err != nil {
				return nil, &DeclinedError{Peer: peer, Reason: relay.Unreachable, Err: err}
			}
		}
		err := accepted(ctx, s, method, o)
		if err == nil {
			return s, nil
		}
		s.Close()
		if !reused || ctx.Err() != nil || !isClosed(err) {
			return nil, err
		}
		c.dropIdle(peer) // the peer has restarted, and closed all of them
	}
}

// isClosed reports whether the peer has closed the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// accepted sends an offer and waits until the peer accepts it.
func accepted(ctx context.Context, s *frame.Stream, method string, o *Offer) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	failed := func(err error) error {
		return &DeclinedError{Peer: s.Peer, Reason: relay.Unreachable, Err: err}
	}
	if err := s.Send(method, o); err != nil {
		return failed(err)
	}
	m, err := s.Receive(time.Now().Add(acceptTimeout))
	switch {
	case err != nil:
		return failed(err)
	case m.Method == methodAccepted:
		return nil
	case m.Method == methodDeclined:
		return decodeDeclined(s.Peer, m)
	}
	return failed(eris.Errorf("unexpected message %q", m.Method))
}

func decodeDeclined(peer string, m *frame.Message) error {
	var d declined
	if err := m.Decode(&d); err != nil {
		return &DeclinedError{Peer: peer, Reason: relay.Unreachable, Err: err}
	}
	return &DeclinedError{Peer: peer, Reason: d.Reason}
}

// call sends the call and receives the head of the answer.
func (c *Client) call(s *frame.Stream, call *Call) (*Answer, error) {
	if err := s.Send(methodCall, call); err != nil {
		return nil, lost(err)
	}
	m, err := s.Receive(time.Time{})
	if err != nil {
		return nil, lost(err)
	}
	if m.Method == methodDeclined {
		return nil, decodeDeclined(s.Peer, m)
	}
	var h head
	if m.Method != methodHead {
		return nil, lost(eris.Errorf("unexpected message %q", m.Method))
	}
	if err := m.Decode(&h); err != nil {
		return nil, lost(err)
	}
	if err := httpresponse.CheckFinal(h.Status, h.Header); err != nil {
		return nil, lost(err)
	}
	return &Answer{Status: h.Status, Header: h.Header, client: c, stream: s}, nil
}

func lost(err error) error { return fmt.Errorf("%w: %w", ErrLost, err) }

// Next returns the next part of the body; done is true, without a part, at the end of a
// complete answer.
func (a *Answer) Next() (part []byte, done bool, err error) {
	m, err := a.stream.Receive(time.Time{})
	if err != nil {
		return nil, false, lost(err)
	}
	switch m.Method {
	case methodBody:
		err = m.Decode(&part)
	case methodEnd:
		err = m.Decode(&a.End)
		a.done = err == nil
	default:
		err = eris.Errorf("unexpected message %q", m.Method)
	}
	if err != nil {
		return nil, false, lost(err)
	}
	return part, a.done, nil
}

// Close keeps the stream for the next call if the answer is complete. Otherwise it ends the
// exchange and the call at the peer.
func (a *Answer) Close() {
	if alive := a.stop(); !alive || !a.done {
		a.stream.Close()
		return
	}
	c := a.client
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[a.stream.Peer]
	if len(list) >= maxIdle {
		a.stream.Close()
		return
	}
	c.idle[a.stream.Peer] = append(list, idleStream{a.stream, time.Now()})
}

// takeIdle returns the stream to a peer that was used last.
func (c *Client) takeIdle(peer string) (*frame.Stream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[peer]
	if len(list) == 0 {
		return nil, false
	}
	last := list[len(list)-1]
	c.idle[peer] = list[:len(list)-1]
	if time.Since(last.since) >= idleTimeout {
		last.Close()
		return nil, false
	}
	return last.Stream, true
}

func (c *Client) dropIdle(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.idle[peer] {
		s.Close()
	}
	delete(c.idle, peer)
}

// CloseExpired closes the streams that have been idle for too long.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, list := range c.idle {
		kept := list[:0]
		for _, s := range list {
			if time.Since(s.since) < idleTimeout {
				kept = append(kept, s)
				continue
			}
			s.Close()
		}
		if c.idle[peer] = kept; len(kept) == 0 {
			delete(c.idle, peer)
		}
	}
}
