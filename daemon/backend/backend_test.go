package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamomwick.example/core/crashserver"
	"cardamomwick.example/core/membudget"
	"cardamomwick.example/core/retry"
)

// startClosingServer starts a server that reads requests and closes the connection
// without an answer. If keep is set, it answers the first request of each connection.
func startClosingServer(t *testing.T, keep bool) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					requests.Add(1)
					if !keep || n > 0 {
						return
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

// net/http must not retry a request by itself, not even one with an idempotency key on a
// reused connection or one without a body.
func TestNothingIsSentTwice(t *testing.T) {
	ConfigureTransport()
	for _, body := range []string{"", "x"} {
		for _, keep := range []bool{false, true} {
			address, requests := startClosingServer(t, keep)
			target := &Target{RequestID: "r", Attempt: 1, Server: "s", Address: address}
			want := int64(1)
			if keep {
				if _, err := Call(context.Background(), target, "POST", "/", "", "key", []byte(body)); err != nil {
					t.Fatal(err)
				}
				want = 2
			}
			_, err := Call(context.Background(), target, "POST", "/", "", "key", []byte(body))
			var ce *CallError
			if !errors.As(err, &ce) || ce.Failure != retry.FailureUncertain || ce.Peer != "s" || ce.Step == "" {
				t.Fatalf("a broken call: %v", err)
			}
			if got := requests.Load(); got != want {
				t.Fatalf("body %q, reused connection %t: the server got %d requests, want %d", body, keep, got, want)
			}
		}
	}
}

// A refused connection is always reported as not sent. 300 in a row must not
// make a circuit breaker in the HTTP client refuse calls.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	ConfigureTransport()
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	address := l.Addr().String()
	l.Close()
	for range 300 {
		_, err := Call(context.Background(), &Target{Server: "s", Address: address}, "POST", "/", "", "", nil)
		var ce *CallError
		if !errors.As(err, &ce) || ce.Failure != retry.FailureNotSent {
			t.Fatalf("%v, want not sent, and no error of a circuit breaker", err)
		}
	}
}

func TestTruncatedStreamIsAnError(t *testing.T) {
	ConfigureTransport()
	for text, wantEnd := range map[string]bool{
		"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n": true,
		"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n":                 false,
		"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DO":        false,
		"data: {\"choi": false,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }))
		st, err := Open(context.Background(), &Target{Address: strings.TrimPrefix(s.URL, "http://")}, []byte("{}"))
		if err != nil {
			t.Fatal(err)
		}
		for err == nil {
			_, err = st.Next()
		}
		if got := errors.Is(err, io.EOF); got != wantEnd {
			t.Errorf("%q: end %t (%v), want %t", text, got, err, wantEnd)
		}
		s.Close()
	}
}

// A head without end, and lines without an event, take bounded memory and end the call early.
func TestBytesWithoutEndEndTheCall(t *testing.T) {
	ConfigureTransport()
	for name, text := range map[string]struct{ begin, repeated string }{
		"head":             {"HTTP/1.1 200 OK\r\n", "X: " + strings.Repeat("a", 1000) + "\r\n"},
		"line of a head":   {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("a", 1000)},
		"comments":         {"HTTP/1.1 200 OK\r\n\r\n", ":\n\n"},
		"line of an event": {"HTTP/1.1 200 OK\r\n\r\ndata: ", strings.Repeat("a", 1000)},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if err := crashserver.SendEndless(w, text.begin, text.repeated, 0); err != nil {
				panic(err)
			}
		}))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		st, err := Open(ctx, &Target{Address: strings.TrimPrefix(s.URL, "http://")}, []byte("{}"))
		if err == nil {
			_, err = st.Next()
			st.Close()
		}
		if err == nil || ctx.Err() != nil {
			t.Errorf("%s without end: %v, and %v of the call's time", name, err, ctx.Err())
		}
		cancel()
		s.Close()
	}
}

// Guards against calls that each hold a part of an answer without end, without a bound on the sum.
func TestAnswersWithoutEndHoldTheirPoolAtMost(t *testing.T) {
	ConfigureTransport()
	const calls, limit = 12, 10 << 20
	begin := "HTTP/1.1 200 OK\r\n\r\ndata: " + strings.Repeat("x", maxEventBytes-100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := crashserver.SendEndless(w, begin, "x", 50*time.Millisecond); err != nil {
			panic(err)
		}
	}))
	defer s.Close()
	pool := membudget.NewPool(limit)
	target := &Target{Address: strings.TrimPrefix(s.URL, "http://"), Memory: pool}
	for name, call := range map[string]func(ctx context.Context) error{
		"bodies": func(ctx context.Context) error {
			_, err := Call(ctx, target, http.MethodPost, "/x", "", "", []byte("body"))
			return err
		},
		"events": func(ctx context.Context) error {
			st, err := Open(ctx, target, []byte("{}"))
			if err != nil {
				return err
			}
			defer st.Close()
			_, err = st.Next()
			return err
		},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		var denied atomic.Int64
		var all sync.WaitGroup
		for range calls {
			all.Go(func() {
				if err := call(ctx); errors.Is(err, errNoMemory) {
					denied.Add(1)
				} else if err == nil {
					t.Errorf("%s: a part passes for all of an answer", name)
				}
			})
		}
		all.Wait()
		cancel()
		if denied.Load() < calls-limit/(maxEventBytes-100) || pool.Held() != 0 {
			t.Errorf("%s: %d of %d calls got no memory, %d bytes are held after all", name, denied.Load(), calls, pool.Held())
		}
	}
}
