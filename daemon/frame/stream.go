package frame

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/core/wire"
)

const (
	// streamHandshakeTimeout is short, since another peer can be asked: a suspended process
	// accepts connections and does nothing more.
	streamHandshakeTimeout = 250 * time.Millisecond
	// Keep-alive of streams: a peer that has lost power is noticed within two and a half
	// seconds.
	streamKeepAliveIdle     = time.Second
	streamKeepAliveInterval = 500 * time.Millisecond
	streamKeepAliveCount    = 3
)

// Stream is a connection of its own to a peer, for exchanges that are too long or too large to
// share a connection with other messages. One goroutine may send while another receives.
type Stream struct {
	conn *Conn
	// Peer is the address of the peer.
	Peer string
	// first is the message that opened an incoming stream, until it is received.
	first *Message
	t     *Transport
}

// StreamHandler serves an incoming stream until it returns.
type StreamHandler func(ctx context.Context, s *Stream)

// HandleStream registers the handler of incoming streams whose first message has this method.
// Call it before Serve.
func (t *Transport) HandleStream(method string, h StreamHandler) { t.streams[method] = h }

// OpenStream dials a new stream. The peer serves it once the first message arrives.
func (t *Transport) OpenStream(address string) (*Stream, error) {
	if t.filter(address, false) {
		return nil, eris.Wrapf(ErrUnreachable, "peer %s", address)
	}
	c, err := dial(address, t.self, *t.keys.Load(), dialTimeout, streamHandshakeTimeout)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		keepAlive := net.KeepAliveConfig{Enable: true, Idle: streamKeepAliveIdle, Interval: streamKeepAliveInterval, Count: streamKeepAliveCount}
		if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
			c.Close()
			return nil, eris.Wrapf(err, "set keep-alive of stream to %s", address)
		}
	}
	return &Stream{conn: c, Peer: address, t: t}, nil
}

// Send sends a message.
func (s *Stream) Send(method string, v any) error {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	if err := s.t.write(s.conn, &Message{Kind: StreamPart, Method: method, Body: body}); err != nil {
		return err
	}
	return s.conn.Flush()
}

// Receive returns the next message; a zero deadline is none.
func (s *Stream) Receive(deadline time.Time) (*Message, error) {
	if m := s.first; m != nil {
		s.first = nil
		return m, nil
	}
	if err := s.conn.raw.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	m, err := s.conn.Read()
	if err != nil {
		return nil, err
	}
	if m.Kind != StreamPart {
		return nil, eris.Errorf("message of kind %d on a stream", m.Kind)
	}
	return m, nil
}

// Decode decodes a message's body.
func (m *Message) Decode(v any) error { return wire.Decode(m.Body, v) }

// Close ends the stream. The peer's Receive then fails.
func (s *Stream) Close() { _ = s.conn.Close() }

// serveStream hands a connection over to the handler of its first message.
func (t *Transport) serveStream(ctx context.Context, c *Conn, first *Message) {
	h := t.streams[first.Method]
	if h == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			t.recordPanic(c.PeerAddress, first.Method, p)
		}
	}()
	h(ctx, &Stream{conn: c, Peer: c.PeerAddress, first: first, t: t})
}
