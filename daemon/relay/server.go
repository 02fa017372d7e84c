package relay

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"cardamomwick.example/core/relay"
	"cardamomwick.example/daemon/frame"
)

// streamIdleTimeout is how long an accepted stream stays open without an offer; longer than
// the client keeps it.
const streamIdleTimeout = 2 * idleTimeout

// Handler serves the calls of peers.
type Handler interface {
	// AcceptsOffer decides on an offer before its call is sent.
	AcceptsOffer(o *Offer) (reason relay.Decline, ok bool)
	// ServeRelayed serves a call. If it declines, nothing was written and no server has
	// received the call. A panic with http.ErrAbortHandler breaks the answer off.
	ServeRelayed(w http.ResponseWriter, req *http.Request, peer string, c *Call) (End, *relay.Decline)
}

// Server accepts the calls of peers.
type Server struct {
	handler Handler
	// maxBytes bounds the bodies of the calls that are served at a time, 0 for relay.MaxServedBytes.
	maxBytes int
	mu       sync.Mutex
	calls    int
	bytes    int
}

// NewServer registers the handler of streams from peers.
func NewServer(t *frame.Transport, h Handler) *Server {
	s := &Server{handler: h}
	t.HandleStream(methodOffer, s.serve)
	t.HandleStream(methodOfferStream, s.serve)
	return s
}

// LimitBytes lowers the bound on the bodies of the calls that are served at a time. Call it before the
// transport serves.
func (s *Server) LimitBytes(bytes int64) { s.maxBytes = int(min(bytes, relay.MaxServedBytes)) }

// Calls returns the number of calls that are served for peers.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// reserve counts a call if there is capacity for it.
func (s *Server) reserve(o *Offer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.BodyBytes < 0 || s.calls >= relay.MaxServed || s.bytes+o.BodyBytes > cmp.Or(s.maxBytes, relay.MaxServedBytes) {
		return false
	}
	s.calls++
	s.bytes += o.BodyBytes
	return true
}

func (s *Server) release(o *Offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	s.bytes -= o.BodyBytes
}

// serve serves the exchanges of one stream one after the other.
func (s *Server) serve(ctx context.Context, stream *frame.Stream) {
	in := newReceiver(ctx, stream)
	defer in.stop()
	for {
		if err := s.exchange(stream, in); err != nil {
			if !eris.Is(err, errEnded) {
				log.WithError(err).WithFields(log.Fields{"step": "serve call of peer", "peer": stream.Peer}).Debug("stream closed")
			}
			return
		}
	}
}

// errEnded means that the peer has closed the stream between two exchanges.
var errEnded = eris.New("the stream has ended")

// exchange serves one offer. An error ends the stream.
func (s *Server) exchange(stream *frame.Stream, in *receiver) error {
	var o Offer
	if err := in.expect(&o, methodOffer, methodOfferStream); err != nil {
		return err
	}
	if reason, ok := s.handler.AcceptsOffer(&o); !ok {
		return stream.Send(methodDeclined, &declined{reason})
	}
	if !s.reserve(&o) {
		return stream.Send(methodDeclined, &declined{relay.Capacity})
	}
	defer s.release(&o)
	if err := stream.Send(methodAccepted, nil); err != nil {
		return err
	}
	var c Call
	if err := in.expect(&c, methodCall); err != nil {
		return err
	}
	if len(c.Body) > o.BodyBytes {
		return eris.New("the call is larger than offered")
	}
	ctx, cancel := context.WithCancel(in.ctx)
	defer cancel()
	return s.serveCall(ctx, stream, &c)
}

func (s *Server) serveCall(ctx context.Context, stream *frame.Stream, c *Call) (err error) {
	req, err := c.request(ctx)
	if err != nil {
		return err
	}
	w := &responseWriter{stream: stream, header: http.Header{}}
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			err = eris.New("the answer was broken off")
		} else if p != nil {
			panic(p)
		}
	}()
	end, reason := s.handler.ServeRelayed(w, req, stream.Peer, c)
	if reason != nil {
		return stream.Send(methodDeclined, &declined{*reason})
	}
	if err := w.FlushError(); err != nil {
		return err
	}
	return stream.Send(methodEnd, &end)
}

// request returns the call as an HTTP request.
func (c *Call) request(ctx context.Context) (*http.Request, error) {
	u, err := url.ParseRequestURI(c.URI)
	if err != nil {
		return nil, eris.Wrap(err, "parse URI of relayed call")
	}
	if c.Header == nil {
		c.Header = http.Header{}
	}
	req := &http.Request{Method: c.Method, URL: u, RequestURI: c.URI, Host: c.Host, Header: c.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(c.Body)), ContentLength: int64(len(c.Body))}
	return req.WithContext(ctx), nil
}

// receiver reads a stream ahead, so that its end is noticed while a call is served.
type receiver struct {
	stream   *frame.Stream
	messages chan *frame.Message
	// ctx ends when the stream is lost or stopped.
	ctx    context.Context
	cancel context.CancelFunc
}

func newReceiver(ctx context.Context, s *frame.Stream) *receiver {
	r := &receiver{stream: s, messages: make(chan *frame.Message)}
	r.ctx, r.cancel = context.WithCancel(ctx)
	go r.run()
	return r
}

func (r *receiver) run() {
	defer close(r.messages)
	defer r.cancel()
	for {
		m, err := r.stream.Receive(time.Time{})
		if err != nil {
			return
		}
		select {
		case r.messages <- m:
		case <-r.ctx.Done():
			return
		}
	}
}

// expect decodes the next message, which must have one of the methods.
func (r *receiver) expect(v any, methods ...string) error {
	select {
	case m, ok := <-r.messages:
		if !ok {
			return errEnded
		}
		if !slices.Contains(methods, m.Method) {
			return eris.Errorf("message %q instead of %q", m.Method, methods)
		}
		return m.Decode(v)
	case <-time.After(streamIdleTimeout):
		return errEnded
	}
}

// stop ends the stream and its reader.
func (r *receiver) stop() {
	r.cancel()
	r.stream.Close()
}

// responseWriter sends an answer as messages. Not safe for concurrent use.
type responseWriter struct {
	stream *frame.Stream
	header http.Header
	status int
	body   []byte
	sent   bool
}

// maxPartBytes bounds the body bytes in one message.
const maxPartBytes = 256 << 10

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body = append(w.body, p...)
	if len(w.body) >= maxPartBytes {
		return len(p), w.FlushError()
	}
	return len(p), nil
}

// FlushError sends what was written; http.ResponseController calls it.
func (w *responseWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if !w.sent {
		w.sent = true
		if err := w.stream.Send(methodHead, &head{w.status, w.header}); err != nil {
			return err
		}
	}
	for len(w.body) > 0 {
		n := min(len(w.body), maxPartBytes)
		if err := w.stream.Send(methodBody, w.body[:n]); err != nil {
			return err
		}
		w.body = w.body[n:]
	}
	w.body = nil
	return nil
}
