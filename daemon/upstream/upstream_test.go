package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cardamomwick.example/daemon/internal/testport"
	"cardamomwick.example/daemon/internal/testserver"
)

// plainProtocol carries the call ID in one header.
type plainProtocol struct{}

func (plainProtocol) ParseCall(h http.Header) Call             { return Call{ID: h.Get("Call")} }
func (plainProtocol) StripReserved(http.Header)                {}
func (plainProtocol) SetCallHeaders(http.Header, CallHeaders)  {}
func (plainProtocol) SetRetryAfter(http.Header, time.Duration) {}
func (plainProtocol) ParseAnswer(_ int, h http.Header) Answer {
	return Answer{CallID: h.Get("Call"), Signed: true}
}

// script is a scripted server's handling of one connection.
type script func(conn net.Conn, requests *bufio.Reader)

func serve(t *testing.T, s script) Target {
	t.Helper()
	return Target{ID: "s", Address: testserver.Start(t, s)}
}

// readCall reads one request and returns its call ID, or "" when the connection ends.
func readCall(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	return req.Header.Get("Call")
}

func answer(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(t *testing.T, c *Client, target Target, id, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := c.Send(ctx, target, &Request{CallID: id, Method: "POST", URI: "/x", Host: "h", Header: http.Header{"Call": {id}}, Body: []byte(body), HasBody: true})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	target := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for id := readCall(r); id != ""; id = readCall(r) {
			answer(conn, id, "answer to "+id)
		}
	})
	c := NewClient(plainProtocol{}, nil)
	for i := range 5 {
		id := fmt.Sprint("call", i)
		if got, err := send(t, c, target, id, "x"); err != nil || got != "answer to "+id {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if c.Dialled() != 1 {
		t.Errorf("%d connections for five calls", c.Dialled())
	}
}

func TestNothingIsSentWhereNobodyListens(t *testing.T) {
	_, err := send(t, NewClient(plainProtocol{}, nil), Target{ID: "s", Address: testport.Reserve(t)}, "a", "x")
	var e *Error
	if !errors.As(err, &e) || e.MayHaveRun {
		t.Errorf("got %v; want certainty that nothing was sent", err)
	}
}

func TestCallOnABrokenConnectionMayHaveRun(t *testing.T) {
	target := serve(t, func(_ net.Conn, r *bufio.Reader) { readCall(r) })
	_, err := send(t, NewClient(plainProtocol{}, nil), target, "a", "x")
	var e *Error
	if !errors.As(err, &e) || !e.MayHaveRun {
		t.Errorf("got %v; the call may have run", err)
	}
}

func TestAnswerOfAnotherCallIsSkipped(t *testing.T) {
	var connections atomic.Int64
	target := serve(t, func(conn net.Conn, r *bufio.Reader) {
		connections.Add(1)
		id := readCall(r)
		answer(conn, "someone else", "not yours")
		answer(conn, id, "yours")
		readCall(r)
	})
	c := NewClient(plainProtocol{}, nil)
	for range 2 {
		if got, err := send(t, c, target, "a", "x"); err != nil || got != "yours" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if connections.Load() != 2 {
		t.Error("a connection that carried another call's answer was used again")
	}
}

func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	target := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id := readCall(r)
		answer(conn, id, "yours")
		answer(conn, id, "again")
		readCall(r)
	})
	c := NewClient(plainProtocol{}, nil)
	for _, id := range []string{"a", "b"} {
		if got, err := send(t, c, target, id, "x"); err != nil || got != "yours" {
			t.Fatalf("%s got %q, %v", id, got, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if c.Dialled() != 2 {
		t.Errorf("%d connections, want a new one for the second call", c.Dialled())
	}
}

// A server may refuse a long call before it has read it. The connection, where the
// server still expects the rest of the body, must not be reused.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	target := serve(t, func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(conn, req.Header.Get("Call"), "too long")
		time.Sleep(300 * time.Millisecond)
	})
	c := NewClient(plainProtocol{}, nil)
	for range 2 {
		if got, err := send(t, c, target, "a", strings.Repeat("x", 16<<20)); err != nil || got != "too long" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if c.Dialled() != 2 {
		t.Error("a connection whose server still expects the rest of a call was used again")
	}
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 100", "chunks": "Transfer-Encoding: chunked"} {
		target := serve(t, func(conn net.Conn, r *bufio.Reader) {
			id := readCall(r)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCall: %s\r\n%s\r\n\r\n5\r\nshort\r\n", id, head)
		})
		if got, err := send(t, NewClient(plainProtocol{}, nil), target, "a", "x"); err == nil {
			t.Errorf("%s: the truncated answer %q was taken as complete", name, got)
		}
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	target := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id := readCall(r)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCall: %s\r\n\r\nall of it", id)
	})
	if got, err := send(t, NewClient(plainProtocol{}, nil), target, "a", "x"); err != nil || got != "all of it" {
		t.Errorf("got %q, %v", got, err)
	}
	reset := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id := readCall(r)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCall: %s\r\n\r\npart of it", id)
		time.Sleep(20 * time.Millisecond)
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			t.Error(err)
		}
	})
	if got, err := send(t, NewClient(plainProtocol{}, nil), reset, "a", "x"); err == nil {
		t.Errorf("the answer %q, cut by a reset, was taken as complete", got)
	}
}

// A server process that crashes closes its connections like one that has sent a whole answer
// without a length.
func TestCrashEndsNoAnswerWithoutLength(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCall: %s\r\n\r\nhalf", readCall(bufio.NewReader(conn)))
		conn.Close()
		l.Close()
	}()
	if got, err := send(t, NewClient(plainProtocol{}, nil), Target{ID: "s", Address: l.Addr().String()}, "1", ""); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %q, error %v", got, err)
	}
}

func TestIdleConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	target := serve(t, func(conn net.Conn, r *bufio.Reader) {
		answer(conn, readCall(r), "ok")
	})
	c := NewClient(plainProtocol{}, nil)
	for range 3 {
		if _, err := send(t, c, target, "a", "x"); err != nil {
			t.Fatalf("a call was sent on a closed connection: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A server drops idle connections and resets what arrives on them. One call is lost, and
// from then on connections that have been idle for as long are not reused.
func TestDroppedIdleConnectionsAreUsedOnce(t *testing.T) {
	dropAfter := minResetIdle + 50*time.Millisecond
	target := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		id := readCall(requests)
		answer(conn, id, "x")
		answered := time.Now()
		for {
			if _, err := requests.Peek(1); err != nil {
				return
			}
			if time.Since(answered) >= dropAfter {
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			answer(conn, readCall(requests), "x")
			answered = time.Now()
		}
	})
	c := NewClient(plainProtocol{}, nil)
	lost := 0
	for i := range 6 {
		if _, err := send(t, c, target, fmt.Sprint("call-", i), ""); err != nil {
			lost++
		}
		time.Sleep(dropAfter)
	}
	if lost != 1 {
		t.Errorf("%d of 6 calls were lost, want the first one on a dropped connection", lost)
	}
}

func TestEndOfTheCallClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	target := serve(t, func(_ net.Conn, r *bufio.Reader) {
		readCall(r)
		if _, err := r.ReadByte(); err != nil {
			close(gone)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewClient(plainProtocol{}, nil).Send(ctx, target, &Request{CallID: "a", Method: "GET", URI: "/", Host: "h"})
	if err == nil {
		t.Fatal("a cancelled call was answered")
	}
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Error("the server did not see that the caller has left")
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	target := serve(t, func(conn net.Conn, r *bufio.Reader) {
		id := readCall(r)
		<-release
		answer(conn, id, "ok")
	})
	target.MaxConnections = 1
	c := NewClient(plainProtocol{}, nil)
	done := make(chan error, 1)
	go func() {
		_, err := send(t, c, target, "a", "x")
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_, err := send(t, c, target, "b", "x")
	var e *Error
	if !errors.Is(err, ErrConnections) || !errors.As(err, &e) || e.MayHaveRun {
		t.Errorf("got %v, want ErrConnections, not sent", err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// FuzzAnswer feeds arbitrary bytes to readHead: it must return, and a call must never get
// another one's answer.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nCall: a\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nCall: b\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nCall: a\r\n\r\n")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Add("garbage")
	f.Fuzz(func(t *testing.T, bytes string) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			_, _ = io.WriteString(far, bytes)
			far.Close()
		}()
		c := NewClient(plainProtocol{}, nil)
		cn := newConn(near, nil)
		resp, err := c.readHead(cn, Target{}, &Request{CallID: "a", Method: "GET"})
		if err == nil && resp.Answer.CallID != "" && resp.Answer.CallID != "a" {
			t.Errorf("call a got the answer of %q", resp.Answer.CallID)
		}
	})
}

// At a server that accepts fewer connections than there are instances, instances that each
// keep one would lock each other out.
func TestConnectionIsClosedAfterUse(t *testing.T) {
	closed := make(chan struct{}, 2)
	target := serve(t, func(conn net.Conn, r *bufio.Reader) {
		answer(conn, readCall(r), "first")
		if readCall(r) == "" {
			closed <- struct{}{}
		}
	})
	target.MaxConnections, target.CloseAfterUse = 1, true
	c := NewClient(plainProtocol{}, nil)
	for range 2 {
		if body, err := send(t, c, target, "c", "x"); err != nil || body != "first" {
			t.Fatalf("got %q, %v", body, err)
		}
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Fatal("the connection is kept")
		}
	}
}

// Metrics did not show why connections failed: timeouts, refusals and resets all counted as
// refused calls.
func TestCausesOfFailures(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused.Close()
	_, refusedErr := net.Dial("tcp", refused.Addr().String())
	for want, err := range map[string]error{
		"refused":     refusedErr,
		"timeout":     &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded},
		"reset":       &net.OpError{Op: "read", Err: syscall.ECONNRESET},
		"closed":      io.ErrUnexpectedEOF,
		"cancelled":   &net.OpError{Op: "read", Err: net.ErrClosed},
		"connections": ErrConnections,
	} {
		if got := (&Error{Err: err}).Cause(); got != want {
			t.Errorf("%v: got %s, want %s", err, got, want)
		}
	}
}
