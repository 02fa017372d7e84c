package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/daemon/internal/testserver"
)

// cutServer answers each call with the first bytes of an answer and closes the connection.
type cutServer struct {
	// answer returns the whole answer to a call, and cut how many bytes of it are sent.
	answer func(call string) string
	cut    int
	// pause is the time between the last byte and the close.
	pause time.Duration
}

func (s *cutServer) serve(conn net.Conn, requests *bufio.Reader) {
	req, err := http.ReadRequest(requests)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	whole := s.answer(req.Header.Get("Call"))
	if _, err := io.WriteString(conn, whole[:min(s.cut, len(whole))]); err != nil {
		return
	}
	time.Sleep(s.pause)
}

// call sends a call through a router that has this server alone.
func (s *cutServer) call(t *testing.T, path string) reply {
	w := newHarness(t)
	w.fleet = []fleet.Server{{ID: "s0", Pool: "p", Address: testserver.Start(t, s.serve), Slots: 6, Software: "v1"}}
	w.router.SetFleet(w.fleet)
	return w.call(path, "Call", "c")
}

// Guards against an answer that stops in its head and passes for a whole one, with an empty or short body.
func TestAnswerThatStopsInItsHeadIsNotPassedOn(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	head := func(lines ...string) func(string) string {
		return func(call string) string {
			return "HTTP/1.1 200 OK\r\nCall: " + call + "\r\nSignature: yes\r\n" + strings.Join(append(lines, "", ""), "\r\n")
		}
	}
	forms := map[string]func(call string) string{
		"length":                 head("Content-Length: 14", "Content-Type: text/event-stream"),
		"no body":                head("Content-Length: 0"),
		"chunks":                 head("Transfer-Encoding: chunked"),
		"no framing":             head("Content-Type: text/event-stream"),
		"closing":                head("Connection: close"),
		"after an informational": func(c string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + head("Content-Length: 14")(c) },
		"bare newlines":          func(c string) string { return strings.ReplaceAll(head("Content-Length: 14")(c), "\r\n", "\n") },
		"HTTP/1.0":               func(c string) string { return strings.Replace(head("X: y")(c), "HTTP/1.1", "HTTP/1.0", 1) },
		"a lone CR at its end":   func(c string) string { return strings.TrimSuffix(head("X: y")(c), "\n") + event },
	}
	if got := (&cutServer{answer: forms["no body"], cut: 1 << 10}).call(t, "/once/x"); got.err != nil || got.status != http.StatusOK {
		t.Fatalf("a whole answer is passed on as %d, %v", got.status, got.err)
	}
	for name, answer := range forms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := len(answer("c"))
			if name == "a lone CR at its end" {
				whole++ // the head never ends
			}
			for cut := range whole {
				for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/chat/x"} {
					s := &cutServer{answer: answer, cut: cut, pause: time.Duration(cut%2) * 5 * time.Millisecond}
					if got := s.call(t, path); got.err == nil && got.status == http.StatusOK {
						t.Errorf("%s: %d bytes of %q are passed on as %d %q", path, cut, answer("c"), got.status, got.body)
					}
				}
			}
		})
	}
}
