package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/core/ratelimit"
	"cardamomwick.example/core/routing"
	"cardamomwick.example/daemon/upstream"
)

// testProtocol is a minimal upstream.Protocol.
type testProtocol struct{}

func (testProtocol) ParseCall(h http.Header) upstream.Call {
	timeout, _ := strconv.Atoi(h.Get("Timeout"))
	c := upstream.Call{ID: h.Get("Call"), Key: h.Get("Key"), LastEventID: h.Get("After"), FirstCallID: h.Get("First-Call"), Timeout: time.Duration(timeout) * time.Millisecond}
	for id := range strings.SplitSeq(h.Get("Parts"), ",") {
		if id != "" {
			c.Prompt.Parts = append(c.Prompt.Parts, upstream.Part{ID: id})
		}
	}
	return c
}

func (testProtocol) StripReserved(h http.Header) {
	for _, name := range []string{"Key", "Customer", "Server", "Priority", "Timeout"} {
		h.Del(name)
	}
}

func (testProtocol) SetCallHeaders(h http.Header, s upstream.CallHeaders) {
	h.Set("Timeout", strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	h.Set("Server", s.ServerName)
	h.Set("Customer", s.Customer)
	h.Set("After", s.LastEventID)
}

func (testProtocol) ParseAnswer(status int, h http.Header) upstream.Answer {
	a := upstream.Answer{CallID: h.Get("Call"), Signed: h.Get("Signature") != "", NotRun: h.Get("Not-Run") != "", WrongServer: status == http.StatusMisdirectedRequest}
	if value := h.Get("Limit"); value != "" {
		perSecond, err := strconv.ParseFloat(value, 64)
		a.Limit, a.BadLimit = ratelimit.Limit{Limited: err == nil, PerSecond: perSecond}, err != nil
	}
	if h.Get("Brittle") != "" {
		a.Brittle = ratelimit.Limit{Limited: true}
	}
	return a
}

func (testProtocol) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

// harness is a router with test backend servers and an HTTP front for callers.
type harness struct {
	t      *testing.T
	router *Router
	front  *httptest.Server
	fleet  []fleet.Server
	runs   atomic.Int64
	mu     sync.Mutex
	last   http.Header
}

func declared() *routing.Declaration {
	route := func(name string, s routing.Semantics, attempts int, resumable bool) routing.Route {
		return routing.Route{Name: name, Host: "127.0.0.1", PathPrefix: "/" + name + "/", Semantics: s, Timeout: 700 * time.Millisecond,
			TargetLatency: 100 * time.Millisecond, Targets: []routing.Target{{Pool: "p", Weight: 1}}, MaxAttempts: attempts, Resumable: resumable}
	}
	open := route("open", routing.Idempotent, 2, false)
	open.Public = true
	stream := route("stream", routing.Stream, 3, true)
	stream.TargetGap = 50 * time.Millisecond
	return &routing.Declaration{Version: 1, Routes: []routing.Route{open, route("once", routing.AtMostOnce, 1, false), route("safe", routing.Idempotent, 3, false),
		stream, route("chat", routing.Stream, 1, false)},
		Pools: []routing.Pool{{Name: "p"}}, Customers: []routing.Customer{{Name: "ana", Keys: []string{"key"}}}}
}

func newHarness(t *testing.T, servers ...http.HandlerFunc) *harness {
	t.Helper()
	w := &harness{t: t}
	table := routing.NewTable(declared())
	w.router = New(Options{Protocol: testProtocol{}, Name: "entry", Table: func() *routing.Table { return table },
		Entries: func() int { return 1 }, Retry: RetryLimits{Span: 10 * time.Second, Ratio: 0.2, Slack: 50}})
	w.router.started = w.router.started.Add(-w.router.opt.Retry.Span) // an instance has no slack in its first window
	for i, h := range servers {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			w.runs.Add(1)
			if _, err := io.Copy(io.Discard, r.Body); err != nil { // net/http detects a disconnect only after the body is read
				return
			}
			w.mu.Lock()
			w.last = r.Header.Clone()
			w.mu.Unlock()
			rw.Header().Set("Call", r.Header.Get("Call"))
			h(rw, r)
		}))
		t.Cleanup(s.CloseClientConnections)
		t.Cleanup(s.Close)
		w.fleet = append(w.fleet, fleet.Server{ID: fmt.Sprintf("s%d", i), Pool: "p", Address: s.Listener.Addr().String(), Slots: 6, Software: "v1"})
	}
	w.router.SetFleet(w.fleet)
	w.front = httptest.NewServer(w.router)
	t.Cleanup(w.front.Close)
	return w
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// request returns a call of the customer.
func (w *harness) request(path string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, w.front.URL+path, strings.NewReader("body"))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Call", "c1")
	req.Header.Set("Key", "key")
	return req
}

func (w *harness) call(path string, headers ...string) reply {
	w.t.Helper()
	req := w.request(path)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return do(req)
}

// do sends a request and reads the whole answer.
func do(req *http.Request) reply {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err}
}

func good(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Signature", "x")
	fmt.Fprint(rw, "done")
}

func hangUp(rw http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func refuseWithoutRunning(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Not-Run", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func failing(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Signature", "x")
	rw.WriteHeader(http.StatusInternalServerError)
}

func (w *harness) expect(got reply, status int, runs int64) {
	w.t.Helper()
	if got.err != nil || got.status != status || w.runs.Load() != runs {
		w.t.Errorf("got %d %q %v after %d attempts, want %d after %d", got.status, got.body, got.err, w.runs.Load(), status, runs)
	}
}

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	w := newHarness(t, good)
	got := w.call("/once/x?q=1", "Customer", "forged", "Priority", "0")
	w.expect(got, 200, 1)
	if got.body != "done" || got.header.Get("Signature") != "x" {
		t.Errorf("got %q with signature %q", got.body, got.header.Get("Signature"))
	}
	if w.last.Get("Customer") != "ana" || w.last.Get("Key") != "" || w.last.Get("Priority") != "" || w.last.Get("Server") != "s0" {
		t.Errorf("the server got %v", w.last)
	}
	if left, _ := strconv.Atoi(w.last.Get("Timeout")); left <= 0 || left > 700 {
		t.Errorf("the server may take %d ms of a timeout of 700", left)
	}
}

func TestStatusesOfWhatIsNotDeclared(t *testing.T) {
	w := newHarness(t, good)
	w.expect(w.call("/none/x"), 404, 0)
	w.expect(w.call("/once/x", "Key", "wrong"), 401, 0)
	w.expect(w.call("/once/x", "Key", ""), 401, 0)
	w.expect(w.call("/open/x", "Key", ""), 200, 1)
}

func TestCallWithoutADeclarationGetsRetryAfter(t *testing.T) {
	w := newHarness(t, good)
	w.router.opt.Table = func() *routing.Table { return nil }
	got := w.call("/once/x")
	w.expect(got, 503, 0)
	if got.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

func TestCallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	w := newHarness(t, hangUp, hangUp)
	w.expect(w.call("/once/x"), 502, 1)
	w = newHarness(t, failing, failing)
	w.expect(w.call("/once/x"), 500, 1)
	w = newHarness(t, hangUp, hangUp)
	w.expect(w.call("/chat/x"), 502, 1)
}

func TestCallThatDidNotRunIsRetriedAtAnotherServer(t *testing.T) {
	w := newHarness(t, refuseWithoutRunning, refuseWithoutRunning, good, refuseWithoutRunning)
	for range 4 {
		if got := w.call("/once/x"); got.status != 200 {
			t.Fatalf("got %d", got.status)
		}
	}
	w = newHarness(t, refuseWithoutRunning, refuseWithoutRunning)
	got := w.call("/once/x")
	w.expect(got, 503, 2)
	if got.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

func TestIdempotentCallIsRetriedWithinItsAttempts(t *testing.T) {
	w := newHarness(t, failing, failing, failing, failing, failing)
	w.expect(w.call("/safe/x"), 500, 3)
	w = newHarness(t, hangUp, hangUp, hangUp, hangUp)
	w.expect(w.call("/safe/x"), 502, 3)
}

func TestSilentServerEndsAtTheTimeout(t *testing.T) {
	w := newHarness(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	began := time.Now()
	w.expect(w.call("/once/x"), 504, 1)
	if took := time.Since(began); took < 600*time.Millisecond || took > 1200*time.Millisecond {
		t.Errorf("answered after %v, the timeout is 700ms", took)
	}
	began = time.Now()
	w.expect(w.call("/once/x", "Timeout", "200"), 504, 2)
	if took := time.Since(began); took > 600*time.Millisecond {
		t.Errorf("a caller with 200 ms waited for %v", took)
	}
}

func TestUnsignedSuccessIsNoAnswer(t *testing.T) {
	w := newHarness(t, func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, "unsigned") })
	w.expect(w.call("/once/x"), 502, 1)
}

func TestAnswerOfAnotherCallIsNoAnswer(t *testing.T) {
	w := newHarness(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Signature", "x")
		rw.Header().Set("Call", "someone else's")
		fmt.Fprint(rw, "secret")
	})
	if got := w.call("/once/x"); got.status == 200 || strings.Contains(got.body, "secret") {
		t.Errorf("got %d %q", got.status, got.body)
	}
}

// events streams events from the one after the caller's last up to number upTo. If that
// is not end, it then breaks the connection in the middle of the next event.
func events(upTo, end int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Signature", "x")
		rw.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for id := after + 1; id <= min(upTo, end); id++ {
			fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", id, id)
		}
		if upTo < end {
			fmt.Fprintf(rw, "id: %d\ndata: half an ev", upTo+1)
			if err := http.NewResponseController(rw).Flush(); err != nil {
				panic(err)
			}
			panic(http.ErrAbortHandler)
		}
	}
}

func pieces(n int) string {
	var b strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

func TestBrokenStreamGoesOnAtAnotherServer(t *testing.T) {
	calls := 0
	var mu sync.Mutex
	h := func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		calls++
		n := calls
		mu.Unlock()
		if n == 1 {
			events(4, 9)(rw, r)
			return
		}
		events(9, 9)(rw, r)
	}
	w := newHarness(t, h, h, h)
	got := w.call("/stream/x")
	if got.err != nil || got.body != pieces(9) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
}

func TestBrokenStreamThatMayNotBeResumedDoesNotLookComplete(t *testing.T) {
	w := newHarness(t, events(4, 9), events(9, 9))
	w.fleet[1].Phase = fleet.Draining
	w.router.SetFleet(w.fleet)
	got := w.call("/chat/x")
	if got.err == nil {
		t.Errorf("the broken stream ended as if it were complete: %q", got.body)
	}
	if !strings.HasPrefix(pieces(9), got.body) {
		t.Errorf("got other bytes than those of complete events: %q", got.body)
	}
}

func TestRepeatedEventIsNotPassedOn(t *testing.T) {
	w := newHarness(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Signature", "x")
		fmt.Fprint(rw, "id: 1\ndata: a\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	})
	if got := w.call("/chat/x"); got.err == nil || strings.Count(got.body, "id: 1") > 1 {
		t.Errorf("got %q, %v", got.body, got.err)
	}
}

func TestServerSeesThatTheCallerHasLeft(t *testing.T) {
	left := make(chan struct{})
	w := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+"/stream/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Key", "key")
	if _, err := http.DefaultClient.Do(req); err == nil {
		t.Fatal("the call was answered")
	}
	select {
	case <-left:
	case <-time.After(400 * time.Millisecond):
		t.Error("the server still works for a caller that has left")
	}
}

// An entry that shuts down must refuse calls that may outlast it. It once accepted a
// stream five seconds into its shutdown and cut it off at the end.
func TestDrainingEntryTakesOnlyCallsThatEndInTime(t *testing.T) {
	w := newHarness(t, good)
	w.router.Drain(time.Now().Add(500 * time.Millisecond))
	got := w.call("/once/x")
	w.expect(got, 503, 0)
	if !strings.Contains(strings.ToLower(got.header.Get("Retry-After")), "0.0") {
		t.Errorf("Retry-After is %q", got.header.Get("Retry-After"))
	}
	w.router.Drain(time.Now().Add(5 * time.Second))
	w.expect(w.call("/once/x"), 200, 1)
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	d := declared()
	d.Limits.MaxBodyBytes = 3
	table := routing.NewTable(d)
	w := newHarness(t, good)
	w.router.opt.Table = func() *routing.Table { return table }
	w.expect(w.call("/once/x"), 413, 0)
}

// Two differing Content-Length headers, as used for request smuggling, must not reach a
// server.
func TestAmbiguousLengthIsRefused(t *testing.T) {
	w := newHarness(t, good)
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nKey: key\r\nContent-Length: 5\r\nContent-Length: 50\r\n\r\nhello")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusBadRequest || w.runs.Load() != 0 {
		t.Errorf("got %v, %v, %d runs", resp, err, w.runs.Load())
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	w := newHarness(t, failing, failing, failing)
	w.router.opt.Retry.Slack = 10
	for range 60 {
		w.call("/safe/x")
	}
	if extra := w.runs.Load() - 60; extra > 22 {
		t.Errorf("%d retries of 60 calls with a ratio of 0.2 and a slack of 10", extra)
	}
}

// An idempotent call must not spend all its time on a server that accepts it and never
// answers.
func TestSilentServerIsLeftForAnother(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	w := newHarness(t, silent, good)
	for range 4 {
		began := time.Now()
		if got := w.call("/safe/x"); got.status != 200 {
			t.Fatalf("got %d after %v", got.status, time.Since(began))
		}
	}
	w = newHarness(t, silent, silent)
	w.expect(w.call("/once/x"), 504, 1)
}

func TestStreamThatFallsSilentContinuesAtAnotherServer(t *testing.T) {
	var first atomic.Bool
	h := func(rw http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			rw.Header().Set("Signature", "x")
			fmt.Fprint(rw, "id: 1\ndata: piece 1\n\n")
			if err := http.NewResponseController(rw).Flush(); err != nil {
				panic(err)
			}
			<-r.Context().Done()
			return
		}
		events(9, 9)(rw, r)
	}
	w := newHarness(t, h, h)
	if got := w.call("/stream/x"); got.err != nil || got.body != pieces(9) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
}

// Steps of the time of day emptied the window of the retry budget.
func TestRetryBudgetHasAMonotonicClock(t *testing.T) {
	w := newHarness(t, good)
	if text := w.router.started.String(); !strings.Contains(text, " m=") {
		t.Errorf("the start %s has no monotonic time", text)
	}
}

// A call that is relayed after a failed attempt earned retries at both instances.
func TestRelayedCallEarnsRetriesOnce(t *testing.T) {
	w := newHarness(t, good)
	for counted, want := range map[bool]float64{true: 0, false: 1} {
		c := &call{router: w.router, pool: &routing.Pool{Name: fmt.Sprint(counted)}, servedFor: &servedFor{counted: counted}}
		w.router.recordArrival(c)
		if got := w.router.RetryBudgets()[c.pool.Name].Calls; got != want {
			t.Errorf("counted by the peer: %v; %v calls are recorded, want %v", counted, got, want)
		}
		if relayed := c.counted; relayed == counted {
			t.Errorf("counted by the peer: %v; the call states %v", counted, relayed)
		}
	}
}

// Each retry is taken from the budget once.
func TestRetryIsTakenFromTheBudgetOnce(t *testing.T) {
	w := newHarness(t, failing, failing, failing)
	w.router.opt.Retry.Slack = 25
	for range 6 {
		w.call("/safe/x")
	}
	if got := w.runs.Load(); got != 18 {
		t.Errorf("%d attempts for six calls with three each and a budget for all", got)
	}
}
