package inbound

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamomwick.example/core/membudget"
)

const waitTimeout = 10 * time.Second

// server serves a handler that answers with the length of the body.
type server struct {
	guard   *Guard
	address string
	mu      sync.Mutex
	// bodies are the bodies that were received whole, errs the errors of the others.
	bodies [][]byte
	errs   []error
}

func serve(t *testing.T, memory int64, descriptors int, limits HeadLimits, o BodyOptions) *server {
	t.Helper()
	s := &server{guard: New(memory, descriptors)}
	l, err := s.guard.Listen("test", "127.0.0.1:0", func() HeadLimits { return limits })
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, o)
		s.mu.Lock()
		if err == nil {
			s.bodies = append(s.bodies, body)
		} else {
			s.errs = append(s.errs, err)
		}
		s.mu.Unlock()
		if err != nil {
			Respond(w, err)
			return
		}
		fmt.Fprint(w, len(body))
	}
	h := &http.Server{Handler: s.guard.Handler(http.HandlerFunc(handler)), ConnContext: ConnContext, ConnState: ConnState, ReadHeaderTimeout: 2 * waitTimeout, IdleTimeout: 2 * waitTimeout}
	done := make(chan struct{})
	go func() { defer close(done); _ = h.Serve(l) }()
	t.Cleanup(func() { _ = h.Close(); <-done })
	return s
}

func (s *server) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout)) // if this fails, so does the read
	return &client{Conn: c, answers: bufio.NewReader(c)}
}

type client struct {
	net.Conn
	answers *bufio.Reader
}

func (c *client) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// answer returns the status of the next answer, and its Retry-After.
func (c *client) answer(t *testing.T) (status int, retryAfter string) {
	t.Helper()
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

func (s *server) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

const post = "POST / HTTP/1.1\r\nHost: x\r\n"

// A body must arrive unchanged whatever its length and the size of its pieces, and its memory be
// given back with the end of the request.
func TestBodiesArriveUnchanged(t *testing.T) {
	s := serve(t, 64<<20, 1000, HeadLimits{}, BodyOptions{Max: 1 << 20})
	c := s.dial(t)
	var want [][]byte
	for i, size := range []int{0, 1, 4095, 32 << 10, 32<<10 + 1, 100000, 1 << 20} {
		body := bytes.Repeat([]byte{byte('a' + i)}, size)
		want = append(want, body, body)
		c.send(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, size, body))
		c.send(t, post+"Transfer-Encoding: chunked\r\n\r\n")
		w := httputil.NewChunkedWriter(c)
		for part := body; len(part) > 0; {
			n := min(len(part), 1+size/7)
			if _, err := w.Write(part[:n]); err != nil {
				t.Fatal(err)
			}
			part = part[n:]
		}
		c.send(t, "0\r\n\r\n")
		for range 2 {
			if status, _ := c.answer(t); status != http.StatusOK {
				t.Fatalf("a body of %d bytes got status %d", size, status)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.bodies) != len(want) {
		t.Fatalf("%d bodies arrived; want %d", len(s.bodies), len(want))
	}
	for i, body := range s.bodies {
		if !bytes.Equal(body, want[i]) || cap(body) > 2*len(body)+1 {
			t.Errorf("body %d: got %d bytes with room for %d, want %d", i, len(body), cap(body), len(want[i]))
		}
	}
	s.await(t, "the memory of the bodies is free", func() bool { return s.guard.Held(membudget.Body) == 0 })
	c.Close()
	s.await(t, "the connection is free", func() bool { return s.guard.Connections() == 0 && s.guard.Held(membudget.Connection) == 0 })
}

// A body over the limit is refused by its declared length, or once it is longer.
func TestBodyOverTheLimit(t *testing.T) {
	for name, body := range map[string]string{"declared": "Content-Length: 101\r\n\r\n", "in pieces": "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101)} {
		s := serve(t, 64<<20, 1000, HeadLimits{}, BodyOptions{Max: 100})
		c := s.dial(t)
		c.send(t, post+body)
		if status, _ := c.answer(t); status != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: got status %d", name, status)
		}
	}
}

// A client that stops just short of the end of its body gets 408 at its deadline.
func TestBodyThatStopsIsRefusedAtTheDeadline(t *testing.T) {
	s := serve(t, 64<<20, 1000, HeadLimits{}, BodyOptions{Max: 1 << 20, Deadline: time.Now().Add(200 * time.Millisecond)})
	c := s.dial(t)
	c.send(t, post+"Content-Length: 100\r\n\r\n"+strings.Repeat("x", 99))
	if status, _ := c.answer(t); status != http.StatusRequestTimeout {
		t.Errorf("got status %d", status)
	}
	if s.guard.Refusals(ReasonSlow) != 1 {
		t.Error("the refusal is not counted")
	}
}

// The request of a stalled client is refused with the promise that it has not run, and says when to
// come back, as soon as another one needs its memory.
func TestStalledBodyGivesWay(t *testing.T) {
	const size = 1 << 20
	s := serve(t, 100*5*size/memoryPercent, 1000, HeadLimits{}, BodyOptions{Max: size})
	for i := range 2 {
		c := s.dial(t)
		c.send(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, size, strings.Repeat("x", size-1)))
		s.await(t, "the body has arrived", func() bool { return s.guard.Held(membudget.Body) == int64(i+1)*size })
	}
	time.Sleep(membudget.StallTime)
	c := s.dial(t)
	c.send(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, size, strings.Repeat("x", size)))
	if status, _ := c.answer(t); status != http.StatusOK {
		t.Errorf("the whole body got status %d", status)
	}
	var first error
	s.await(t, "a stalled client gave way", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.errs) > 0 {
			first = s.errs[0]
		}
		return first != nil
	})
	var refused *RefusedError
	if !errors.As(first, &refused) || refused.Status != http.StatusServiceUnavailable || refused.RetryAfter != RetryAfter {
		t.Errorf("the stalled client got %v", first)
	}
}

// Heads over the limit get a final answer, also if they come in one line that does not end.
func TestHeadOverTheLimit(t *testing.T) {
	const limit = 16 << 10
	s := serve(t, 64<<20, 1000, HeadLimits{MaxBytes: limit}, BodyOptions{Max: 100})
	for name, head := range map[string]string{
		"one line":    "X-Long: " + strings.Repeat("x", limit+headSlack),
		"short lines": strings.Repeat("a:\n", (limit+headSlack)/3),
	} {
		c := s.dial(t)
		c.send(t, post+head)
		if status, _ := c.answer(t); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s: got status %d", name, status)
		}
	}
	c := s.dial(t)
	c.send(t, post+strings.Repeat("a:\n", (limit-len(post))/3)+"\r\n")
	if status, _ := c.answer(t); status != http.StatusOK {
		t.Errorf("a head of the largest size got status %d", status)
	}
}

// Empty lines before a request close the connection; net/http does not take them for a request.
func TestEmptyLinesCloseTheConnection(t *testing.T) {
	s := serve(t, 64<<20, 1000, HeadLimits{}, BodyOptions{Max: 100})
	c := s.dial(t)
	_, _ = io.WriteString(c, strings.Repeat("\r\n", 32<<10)) // the connection may be closed meanwhile
	_, _ = io.Copy(io.Discard, c)                            // until it is closed or reset
	s.await(t, "the connection is free", func() bool { return s.guard.Connections() == 0 })
}

// The memory for a head is taken before it is parsed, and given back with the end of its request.
func TestHeadsDrawOnTheBudget(t *testing.T) {
	const heads = 20
	s := serve(t, 100*6<<20/memoryPercent, 1000, HeadLimits{}, BodyOptions{Max: 100})
	var clients []*client
	for range heads {
		c := s.dial(t)
		_, _ = io.WriteString(c, post+strings.Repeat("a:\n", 5000)) // the client may be refused meanwhile
		clients = append(clients, c)
	}
	s.await(t, "heads are refused for lack of memory", func() bool { return s.guard.Refusals(ReasonMemory)+s.guard.Refusals(ReasonEvicted) > 0 })
	if held, most := s.guard.Held(membudget.Head), s.guard.Limits().Bytes; held == 0 || held > most {
		t.Errorf("heads hold %d of %d bytes", held, most)
	}
	for _, c := range clients {
		c.Close()
	}
	s.await(t, "the memory of the heads is free", func() bool { return s.guard.Held(membudget.Head) == 0 })
}

// Idle connections of callers are closed soon after the declared time.
func TestIdleTimeoutOfTheLimits(t *testing.T) {
	s := serve(t, 64<<20, 1000, HeadLimits{IdleTimeout: 10 * time.Millisecond, Timeout: time.Hour}, BodyOptions{Max: 100})
	c := s.dial(t)
	c.send(t, post+"Content-Length: 0\r\n\r\n")
	c.answer(t)
	if _, err := c.answers.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
}

// The declared time for a head begins with its first byte, on a new connection too.
func TestHeadTimeoutOfTheLimits(t *testing.T) {
	s := serve(t, 64<<20, 1000, HeadLimits{Timeout: 10 * time.Millisecond}, BodyOptions{Max: 100})
	c := s.dial(t)
	c.send(t, post)
	if _, err := c.answers.ReadByte(); err != io.EOF {
		t.Errorf("the connection with an unfinished head: %v", err)
	}
}

// A crowd of silent connections must not keep others out.
func TestSilentConnectionsGiveWay(t *testing.T) {
	const descriptors = 80
	s := serve(t, 64<<20, descriptors, HeadLimits{}, BodyOptions{Max: 100})
	for range 2 * descriptors {
		s.dial(t)
	}
	time.Sleep(membudget.HeadStallTime)
	c := s.dial(t)
	c.send(t, post+"Content-Length: 3\r\n\r\nabc")
	if status, _ := c.answer(t); status != http.StatusOK {
		t.Errorf("got status %d", status)
	}
	if n := s.guard.Connections(); n > descriptors/descriptorShare {
		t.Errorf("%d connections are open", n)
	}
}

// A client that does not read its answer must not hold the call for ever.
func TestAnswerThatIsNotReadEnds(t *testing.T) {
	g := New(64<<20, 1000)
	l, err := g.Listen("test", "127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	l.writeTimeout = 100 * time.Millisecond
	ended := make(chan error, 1)
	endless := func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for part := make([]byte, 32<<10); err == nil; {
			_, err = w.Write(part)
		}
		ended <- err
	}
	h := &http.Server{Handler: g.Handler(http.HandlerFunc(endless)), ConnContext: ConnContext, ConnState: ConnState, ReadHeaderTimeout: waitTimeout}
	done := make(chan struct{})
	go func() { defer close(done); _ = h.Serve(l) }()
	defer func() { _ = h.Close(); <-done }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, post+"\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if g.Refusals(ReasonUnread) != 1 {
			t.Errorf("the answer ended with %v, %d are counted as unread", err, g.Refusals(ReasonUnread))
		}
	case <-time.After(waitTimeout):
		t.Error("the answer goes on")
	}
}

// Requests that come from elsewhere than a guarded listener are read within their limit only.
func TestBodyWithoutGuard(t *testing.T) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "/", strings.NewReader("abc"))
	if err != nil {
		t.Fatal(err)
	}
	w := &discardResponse{}
	if body, err := ReadBody(w, r, BodyOptions{Max: 3}); err != nil || string(body) != "abc" {
		t.Errorf("got %q, %v", body, err)
	}
}

type discardResponse struct{ header http.Header }

func (w *discardResponse) Header() http.Header {
	if w.header == nil {
		w.header = http.Header{}
	}
	return w.header
}
func (w *discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardResponse) WriteHeader(int)             {}

// The end of a head is found wherever reads cut it.
func TestHeadIsCountedAcrossReads(t *testing.T) {
	const text = "\r\nGET / HTTP/1.1\r\nHost: x\r\na:\n\r\nbody\n\n"
	for step := 1; step <= len(text); step++ {
		var h head
		for rest := text; rest != ""; {
			n := min(step, len(rest))
			h.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if want := strings.Index(text, "body"); !h.complete || h.bytes != want || h.lines != 5 {
			t.Errorf("reads of %d bytes: %+v, want %d bytes", step, h, want)
		}
	}
}
