package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/daemon/internal/testserver"
)

// earlyEvent is the part of a body that an early answer has.
const earlyEvent = "id: 1\ndata: x\n\n"

// earlyServer answers a call, without a length, before it has read its body.
type earlyServer struct {
	statusLine string
	// end ends the connection; rest is the call's body.
	end func(conn *net.TCPConn, rest io.Reader) error
	// pause is the time between the answer and the end.
	pause time.Duration
}

// harness returns a router that has this server alone.
func (s *earlyServer) harness(t *testing.T) *harness {
	t.Helper()
	w := newHarness(t)
	w.fleet = []fleet.Server{{ID: "s0", Pool: "p", Address: testserver.Start(t, s.serve), Slots: 6, Software: "v1"}}
	w.router.SetFleet(w.fleet)
	return w
}

func (s *earlyServer) serve(conn net.Conn, requests *bufio.Reader) {
	req, err := http.ReadRequest(requests)
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, answerWith(s.statusLine, "Content-Type: text/event-stream")(req.Header.Get("Call"))+earlyEvent); err != nil {
		return
	}
	time.Sleep(s.pause)
	_ = s.end(conn.(*net.TCPConn), req.Body) // the caller may have left
}

// upload makes a call with a body of n bytes.
func (w *harness) upload(path string, n int) reply {
	w.t.Helper()
	req := w.request(path)
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", n))), int64(n)
	return do(req)
}

func reset(conn *net.TCPConn, _ io.Reader) error {
	if err := conn.SetLinger(0); err != nil {
		return err
	}
	return conn.Close()
}

// closeUnread closes the connection with a part of the call unread.
func closeUnread(conn *net.TCPConn, _ io.Reader) error { return conn.Close() }

// closeAtPart closes the connection when nothing is left to be read for now.
func closeAtPart(conn *net.TCPConn, rest io.Reader) error {
	if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, rest, 20<<10)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Guards against a part of an answer without length that passes for all of it: the server has reset
// the connection while the call was still being written, and the error was reported to the writer.
func TestAnswerResetDuringTheUploadIsNotComplete(t *testing.T) {
	ends := map[string]func(*net.TCPConn, io.Reader) error{"reset": reset, "close with unread bytes": closeUnread, "close after a part": closeAtPart}
	for name, end := range ends {
		for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 404 None", "HTTP/1.1 500 Failed"} {
			t.Run(fmt.Sprint(name, " ", line), func(t *testing.T) {
				t.Parallel()
				for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
					w := (&earlyServer{statusLine: line, end: end, pause: pause}).harness(t)
					for _, n := range []int{24 << 10, 100 << 10, 900 << 10, 3 << 20} {
						for path := range routeKinds {
							if got := w.upload(path, n); got.err == nil && strings.Contains(got.body, earlyEvent) {
								t.Errorf("%s, upload of %d bytes, end after %v: passed on as %d %q", path, n, pause, got.status, got.body)
							}
						}
					}
				}
			})
		}
	}
}

// Guards against the refusal of an early answer from a server that reads the rest of the call.
func TestEarlyAnswerOfAServerThatReadsTheRestIsPassedOn(t *testing.T) {
	readSlowly := func(rest io.Reader) error {
		for {
			if _, err := io.CopyN(io.Discard, rest, 256<<10); err == io.EOF {
				return nil
			} else if err != nil {
				return err
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	for name, end := range map[string]func(*net.TCPConn, io.Reader) error{
		"close": func(conn *net.TCPConn, rest io.Reader) error { return readSlowly(rest) },
		"half close before the rest": func(conn *net.TCPConn, rest io.Reader) error {
			if err := conn.CloseWrite(); err != nil {
				return err
			}
			return readSlowly(rest)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := (&earlyServer{statusLine: "HTTP/1.1 200 OK", end: end}).harness(t)
			for _, n := range []int{4, 24 << 10, 900 << 10, 3 << 20} {
				for path := range routeKinds {
					if got := w.upload(path, n); got.err != nil || got.status != http.StatusOK || got.body != earlyEvent {
						t.Errorf("%s, upload of %d bytes: passed on as %d %q, %v", path, n, got.status, got.body, got.err)
					}
				}
			}
		})
	}
}
