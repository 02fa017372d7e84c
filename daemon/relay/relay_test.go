package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomwick.example/core/relay"
	"cardamomwick.example/core/resumption"
	"cardamomwick.example/daemon/frame"
	"cardamomwick.example/daemon/internal/testport"
)

var keys = []frame.Key{{ID: "a", Secret: bytes.Repeat([]byte{1}, 32)}}

// handler is a scripted peer.
type handler struct {
	declines *relay.Decline
	serve    func(w http.ResponseWriter, req *http.Request) *relay.Decline
}

func (h *handler) AcceptsOffer(*Offer) (relay.Decline, bool) {
	if h.declines != nil {
		return *h.declines, false
	}
	return 0, true
}

func (h *handler) ServeRelayed(w http.ResponseWriter, req *http.Request, _ string, c *Call) (End, *relay.Decline) {
	d := h.serve(w, req)
	return End{Server: "s", Runs: c.Runs + 1}, d
}

// pair returns a client, and the address and server of a peer with the handler.
func pair(t *testing.T, h Handler) (c *Client, peer string, s *Server, stop context.CancelFunc) {
	t.Helper()
	server := frame.NewTransport(testport.Reserve(t), keys, nil)
	s = NewServer(server, h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(20 * time.Millisecond)
	return NewClient(frame.NewTransport(testport.Reserve(t), keys, nil)), server.Self(), s, cancel
}

func send(c *Client, ctx context.Context, peer, body string) (*Answer, error) {
	return c.Send(ctx, peer, &Offer{Pool: "p", BodyBytes: len(body)},
		&Call{Method: http.MethodPost, URI: "/x?y=1", Host: "h", Header: http.Header{"A": {"b"}}, Body: []byte(body)})
}

// all receives the rest of an answer.
func all(a *Answer) (body string, err error) {
	defer a.Close()
	for {
		part, done, err := a.Next()
		if err != nil || done {
			return body, err
		}
		body += string(part)
	}
}

func TestExchangesShareAStream(t *testing.T) {
	h := &handler{serve: func(w http.ResponseWriter, req *http.Request) *relay.Decline {
		body, _ := io.ReadAll(req.Body)
		w.Header().Set("Server-Word", req.Header.Get("A"))
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write([]byte(req.Method + req.URL.Path + req.Host + string(body)))
		return nil
	}}
	c, peer, s, _ := pair(t, h)
	for range 3 {
		a, err := send(c, context.Background(), peer, strings.Repeat("z", 600<<10))
		if err != nil {
			t.Fatal(err)
		}
		body, err := all(a)
		if err != nil || a.Status != http.StatusAccepted || a.Header.Get("Server-Word") != "b" || len(body) != 600<<10+len("POST/xh") || a.End.Runs != 1 {
			t.Fatalf("got %d, %d bytes, %v, %v, %v", a.Status, len(body), a.Header, a.End, err)
		}
		if n := len(c.idle[peer]); n != 1 {
			t.Fatalf("%d idle streams", n)
		}
	}
	if n := s.Calls(); n != 0 {
		t.Errorf("%d calls are still counted", n)
	}
}

// What a peer declines has certainly not run there, before and after the call is sent.
func TestDeclinedCallHasNotRun(t *testing.T) {
	reason := relay.NoServer
	h := &handler{declines: &reason}
	c, peer, _, _ := pair(t, h)
	var d *DeclinedError
	if _, err := send(c, context.Background(), peer, ""); !errors.As(err, &d) || d.Reason != reason {
		t.Errorf("an offer: %v", err)
	}
	h.declines = nil
	h.serve = func(http.ResponseWriter, *http.Request) *relay.Decline { return &reason }
	if _, err := send(c, context.Background(), peer, ""); !errors.As(err, &d) || d.Reason != reason {
		t.Errorf("a call: %v", err)
	}
	if _, err := send(c, context.Background(), testport.Reserve(t), ""); !errors.As(err, &d) || d.Reason != relay.Unreachable {
		t.Errorf("a peer that is gone: %v", err)
	}
}

// An answer that breaks off must not look complete, and the call may have run.
func TestBrokenExchangeIsLost(t *testing.T) {
	h := &handler{serve: func(w http.ResponseWriter, _ *http.Request) *relay.Decline {
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}}
	c, peer, _, _ := pair(t, h)
	a, err := send(c, context.Background(), peer, "")
	if err != nil {
		t.Fatal(err)
	}
	if body, err := all(a); body != "part" || !errors.Is(err, ErrLost) {
		t.Errorf("got %q, %v", body, err)
	}
	h.serve = func(http.ResponseWriter, *http.Request) *relay.Decline { panic(http.ErrAbortHandler) }
	var d *DeclinedError
	if _, err := send(c, context.Background(), peer, ""); !errors.Is(err, ErrLost) || errors.As(err, &d) {
		t.Errorf("broken off before the answer: %v", err)
	}
}

// A caller that leaves ends the call at the peer, before and during the answer.
func TestCancellationReachesThePeer(t *testing.T) {
	for _, answers := range []bool{false, true} {
		ended, began := make(chan struct{}), make(chan struct{})
		h := &handler{serve: func(w http.ResponseWriter, req *http.Request) *relay.Decline {
			if answers {
				_, _ = w.Write([]byte("part"))
				_ = http.NewResponseController(w).Flush()
			}
			close(began)
			<-req.Context().Done()
			close(ended)
			panic(http.ErrAbortHandler)
		}}
		c, peer, s, _ := pair(t, h)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-began; cancel() }()
		if a, err := send(c, ctx, peer, "body"); err == nil {
			_, _ = all(a)
		}
		select {
		case <-ended:
		case <-time.After(time.Second):
			t.Fatalf("answers %v: the call goes on at the peer", answers)
		}
		time.Sleep(20 * time.Millisecond)
		if n := s.Calls(); n != 0 {
			t.Errorf("%d calls are still counted", n)
		}
	}
}

// Any number of instances may be partitioned at once; the calls and bytes that one peer takes
// are bounded.
func TestServedCallsAreBounded(t *testing.T) {
	var s Server
	for range relay.MaxServed {
		if !s.reserve(&Offer{BodyBytes: 10}) {
			t.Fatal("declined below the limit")
		}
	}
	if s.reserve(&Offer{}) {
		t.Error("more calls than allowed")
	}
	s = Server{}
	if s.reserve(&Offer{BodyBytes: relay.MaxServedBytes + 1}) || s.reserve(&Offer{BodyBytes: -1}) {
		t.Error("more bytes than allowed")
	}
}

// A small machine serves less for its peers.
func TestServedBytesFollowTheMachine(t *testing.T) {
	var s Server
	s.LimitBytes(1 << 20)
	if !s.reserve(&Offer{BodyBytes: 1 << 20}) || s.reserve(&Offer{BodyBytes: 1}) {
		t.Error("the bound is not that of the machine")
	}
}

// A stream that the peer closed while it was idle must not cost a call.
func TestRestartedPeerIsDialledAgain(t *testing.T) {
	h := &handler{serve: func(w http.ResponseWriter, _ *http.Request) *relay.Decline {
		_, _ = w.Write([]byte("ok"))
		return nil
	}}
	c, peer, _, stop := pair(t, h)
	a, err := send(c, context.Background(), peer, "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := all(a); err != nil {
		t.Fatal(err)
	}
	stop()
	time.Sleep(50 * time.Millisecond)
	again := frame.NewTransport(peer, keys, nil)
	NewServer(again, h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = again.Serve(ctx) }()
	defer func() { cancel(); <-done }()
	time.Sleep(50 * time.Millisecond)
	if a, err = send(c, context.Background(), peer, ""); err != nil {
		t.Fatal(err)
	}
	if body, err := all(a); body != "ok" || err != nil {
		t.Errorf("got %q, %v", body, err)
	}
}

// A peer of an earlier build ignores where a stream began, and would continue it at a server of
// any software version. It must not take the call.
func TestPeerThatIgnoresOriginsTakesNoStream(t *testing.T) {
	earlier := frame.NewTransport(testport.Reserve(t), keys, nil)
	s := &Server{handler: &handler{serve: func(http.ResponseWriter, *http.Request) *relay.Decline { return nil }}}
	earlier.HandleStream(methodOffer, s.serve)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = earlier.Serve(ctx) }()
	defer func() { cancel(); <-done }()
	time.Sleep(20 * time.Millisecond)
	c := NewClient(frame.NewTransport(testport.Reserve(t), keys, nil))
	call := &Call{Method: http.MethodPost, URI: "/", Host: "h", Origin: &resumption.Origin{Pool: "p", Software: "v1"}}
	var d *DeclinedError
	if _, err := c.Send(context.Background(), earlier.Self(), &Offer{Pool: "p"}, call); !errors.As(err, &d) {
		t.Errorf("a stream with an origin: %v", err)
	}
	call.Origin = nil
	a, err := c.Send(context.Background(), earlier.Self(), &Offer{Pool: "p"}, call)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
}

// Guards against a peer, of this build or another one, that passes on an invalid status.
func TestHeadWithInvalidStatusLosesTheCall(t *testing.T) {
	for _, status := range []int{-1, 99, 100, 101, 199, 600, 999} {
		c, peer, _, _ := pair(t, &handler{serve: func(w http.ResponseWriter, _ *http.Request) *relay.Decline {
			w.WriteHeader(status)
			return nil
		}})
		if a, err := send(c, context.Background(), peer, "x"); !errors.Is(err, ErrLost) {
			t.Errorf("status %d: answer %v, error %v", status, a, err)
		}
	}
}

// Guards against a peer that passes on fields that no head may have.
func TestHeadWithInvalidFieldLosesTheCall(t *testing.T) {
	for name, value := range map[string]string{"X Y": "z", "X\n": "z", "": "z", "X": "a\r\nY: z", "Y": "\x00"} {
		c, peer, _, _ := pair(t, &handler{serve: func(w http.ResponseWriter, _ *http.Request) *relay.Decline {
			w.Header()[name] = []string{value}
			return nil
		}})
		if a, err := send(c, context.Background(), peer, "x"); !errors.Is(err, ErrLost) {
			t.Errorf("%q: %q: answer %v, error %v", name, value, a, err)
		}
	}
}
