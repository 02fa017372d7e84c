package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"cardamomwick.example/core/fleet"
	"cardamomwick.example/daemon/internal/testserver"
)

// routeKinds are paths of all kinds of routes, with the attempts that a call may make.
var routeKinds = map[string]int64{"/once/x": 1, "/safe/x": 3, "/stream/x": 3, "/chat/x": 1}

// rawServer answers each call with given bytes and keeps its connections open.
type rawServer struct {
	// calls is the number of calls, reused that of those on a connection that had carried one before.
	calls, reused atomic.Int64
}

// newRawHarness returns a router in front of servers that answer with the bytes that answer returns.
func newRawHarness(t *testing.T, servers int, answer func(call string) string) (*harness, *rawServer) {
	t.Helper()
	w, s := newHarness(t), &rawServer{}
	for i := range servers {
		address := testserver.Start(t, func(conn net.Conn, requests *bufio.Reader) {
			s.serve(conn, requests, answer)
		})
		w.fleet = append(w.fleet, fleet.Server{ID: fmt.Sprintf("s%d", i), Pool: "p", Address: address, Slots: 6, Software: "v1"})
	}
	w.router.SetFleet(w.fleet)
	return w, s
}

func (s *rawServer) serve(conn net.Conn, requests *bufio.Reader, answer func(call string) string) {
	for n := 0; ; n++ {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.calls.Add(1)
		if n > 0 {
			s.reused.Add(1)
		}
		if _, err := io.WriteString(conn, answer(req.Header.Get("Call"))); err != nil {
			return
		}
	}
}

// expectBroken makes calls of each kind of route to servers with this answer. They must end like those
// whose connection breaks, and no connection may be used again.
func expectBroken(t *testing.T, answer func(call string) string) {
	t.Helper()
	w, s := newRawHarness(t, 3, answer)
	for path, attempts := range routeKinds {
		before := s.calls.Load()
		got := w.call(path)
		if n := s.calls.Load() - before; got.err != nil || got.status != http.StatusBadGateway || n != attempts {
			t.Errorf("%s: %q is passed on as %d %q, %v, after %d attempts; want 502 after %d", path, answer("c1"), got.status, got.body, got.err, n, attempts)
		}
	}
	if n := s.reused.Load(); n > 0 {
		t.Errorf("%d connections were used again after %q", n, answer("c1"))
	}
}

// answerWith returns an answer that is valid with the status line "HTTP/1.1 200 OK".
func answerWith(statusLine string, lines ...string) func(call string) string {
	return func(call string) string {
		head := append([]string{statusLine, "Call: " + call, "Signature: s"}, lines...)
		return strings.Join(append(head, "", ""), "\r\n")
	}
}

// Guards against an answer with an invalid status that is passed on, or skipped for the bytes that
// follow it.
func TestAnswerWithInvalidStatusIsBroken(t *testing.T) {
	followed := answerWith("HTTP/1.1 200 OK", "Content-Length: 2")
	for _, line := range []string{"HTTP/1.1 000 Trouble", "HTTP/1.1 000", "HTTP/1.1 001 X", "HTTP/1.1 020 X", "HTTP/1.1 099 X", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2x0 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK"} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			body := answerWith(line, "Content-Length: 2")
			expectBroken(t, func(call string) string { return body(call) + "ok" })
			expectBroken(t, func(call string) string { return body(call) + followed(call) + "ok" })
			expectBroken(t, answerWith(line, "Content-Length: 0"))
			expectBroken(t, func(call string) string { return line + "\r\n\r\n" + followed(call) + "ok" })
		})
	}
}

// Guards against an answer without a field, or with another body than the server sent, since a line of
// its head is not understood.
func TestAnswerWithInvalidFieldIsBroken(t *testing.T) {
	const ok, length, chunked = "HTTP/1.1 200 OK", "Content-Length: 2", "Transfer-Encoding: chunked"
	answers := map[string]func(call string) string{
		"invalid informational": func(call string) string {
			return "HTTP/1.1 103 X\r\nX Y: z\r\n\r\n" + answerWith(ok, length)(call) + "ok"
		},
		"informational with a length": func(call string) string {
			return "HTTP/1.1 103 X\r\n" + length + "\r\n\r\n" + answerWith(ok, length)(call) + "ok"
		},
		"invalid head of another call": func(call string) string {
			return answerWith(ok, "X Y: z", "Content-Length: 0")("other") + answerWith(ok, length)(call) + "ok"
		},
		"invalid refusal":      answerWith("HTTP/1.1 503 Full", "Not-Run: full", "X Y: z", "Content-Length: 0"),
		"HTTP/1.0 with chunks": answerWith("HTTP/1.0 200 OK", chunked),
		"204 with a length":    answerWith("HTTP/1.1 204 No Content", length),
	}
	for _, line := range []string{"X Y: z", "X : z", "X\t: z", "X\x00: z", "\x1bX: z", "X\x7f: z", "X\xe9: z", ": z", "no colon", "X: a\x00b", "X: a\rb",
		" X: z", "X: a\r\n b", "Content-Length : 2", "Content Length: 2", "Content-Length\x00: 2", "X: a\r\n Content-Length: 2",
		"Content-Length: +2", "Content-Length: 2, 2", "Content-Length: 2\r\nContent-Length: 3", "Content-Length:"} {
		answers[line] = func(call string) string { return answerWith(ok, line)(call) + "ok" }
		answers[line+" among others"] = func(call string) string { return answerWith(ok, "A: b", line, length, "C: d")(call) + "ok" }
	}
	for _, lines := range [][]string{{"Transfer-Encoding : chunked"}, {"Transfer-Encoding\x00: chunked"}, {"X: a\r\n Transfer-Encoding: chunked"}, {chunked, length},
		{length, "Transfer-Encoding : chunked"}, {"Transfer-Encoding: gzip, chunked"}, {chunked, chunked}} {
		answers[fmt.Sprint(lines, " with chunks")] = func(call string) string { return answerWith(ok, lines...)(call) + "2\r\nok\r\n0\r\n\r\n" }
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectBroken(t, answer)
		})
	}
}

// Guards against a body that can't be read to its end, or an invalid trailer, after which the answer
// passes for complete.
func TestAnswerWithInvalidChunksOrTrailerIsNotComplete(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	for _, end := range []string{"0\r\nX Y: z\r\n\r\n", "0\r\nX\x00: z\r\n\r\n", "0\r\n X: z\r\n\r\n", "0\r\nno colon\r\n\r\n", "zz\r\n", "-1\r\n\r\n", "2\r\nabc\r\n"} {
		for path := range routeKinds {
			w, s := newRawHarness(t, 3, func(call string) string {
				return answerWith("HTTP/1.1 200 OK", "Transfer-Encoding: chunked")(call) + chunk + end
			})
			if got := w.call(path); got.err == nil && got.status == http.StatusOK {
				t.Errorf("%s: chunks that end with %q are passed on as %d %q", path, end, got.status, got.body)
			}
			w.call(path)
			if n := s.reused.Load(); n > 0 {
				t.Errorf("%s: %d connections were used again after %q", path, n, end)
			}
		}
	}
}

// Guards against the refusal of answers that are unusual, but valid.
func TestUnusualAnswersArePassedOn(t *testing.T) {
	const body = "id: 1\ndata: x\n\n"
	length := fmt.Sprint("Content-Length: ", len(body))
	whole := func(head func(string) string) func(string) string {
		return func(call string) string { return head(call) + body }
	}
	ok := answerWith("HTTP/1.1 200 OK", length)
	for name, answer := range map[string]func(string) string{
		"no reason phrase":          whole(answerWith("HTTP/1.1 200 ", length)),
		"no space after the status": whole(answerWith("HTTP/1.1 200", length)),
		"bytes above 0x7f":          whole(answerWith("HTTP/1.1 200 \xe9\tt\xe9", length)),
		"two spaces":                whole(answerWith("HTTP/1.1  200 OK", length)),
		"newer minor version":       whole(answerWith("HTTP/1.2 200 OK", length)),
		"names in lower case":       whole(answerWith("HTTP/1.1 200 OK", strings.ToLower(length), "x-a: b")),
		"any byte of a name":        whole(answerWith("HTTP/1.1 200 OK", length, "!#$%&'*+-.^_`|~09: b")),
		"empty values":              whole(answerWith("HTTP/1.1 200 OK", length, "X:", "Y: \t ")),
		"high bytes in a value":     whole(answerWith("HTTP/1.1 200 OK", length, "X: caf\xe9 \xff")),
		"a length given twice":      whole(answerWith("HTTP/1.1 200 OK", length, length)),
		"chunks with a trailer": func(call string) string {
			return answerWith("HTTP/1.1 200 OK", "transfer-encoding: Chunked")(call) + fmt.Sprintf("%x;a=b\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(body), body)
		},
		"bare newlines": func(call string) string { return strings.ReplaceAll(ok(call), "\r\n", "\n") + body },
		"informational answers": func(call string) string {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nLink: x\r\n\r\n" + ok(call) + body
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, _ := newRawHarness(t, 1, answer)
			for path := range routeKinds {
				if got := w.call(path); got.err != nil || got.status != http.StatusOK || got.body != body {
					t.Errorf("%s: %q is passed on as %d %q, %v", path, answer("c1"), got.status, got.body, got.err)
				}
			}
		})
	}
}

// Guards against broken answers that operators can't tell from broken connections.
func TestBrokenAnswerHasACauseOfItsOwn(t *testing.T) {
	w, _ := newRawHarness(t, 1, answerWith("HTTP/1.1 000 Trouble", "Content-Length: 0"))
	w.call("/once/x")
	var text strings.Builder
	w.router.opt.Metrics.Write(&text)
	if !slices.ContainsFunc(strings.Split(text.String(), "\n"), func(line string) bool {
		return strings.HasPrefix(line, "cardamomwick_attempt_failures_total") && strings.Contains(line, `cause="malformed"`)
	}) {
		t.Error("no failure with the cause malformed is counted")
	}
}

// Guards against a stream that ends as complete, or anew, where its server has sent something invalid in
// the middle.
func TestStreamGoesOnAfterAMalformedPart(t *testing.T) {
	const first, all = 4, 9
	begin := pieces(first)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(begin), begin)
	for _, rest := range []string{"zz\r\n", "-1\r\n\r\n", "0\r\nX Y: z\r\n\r\n"} {
		for path, whole := range map[string]bool{"/stream/x": true, "/chat/x": false} {
			var calls atomic.Int64
			h := func(rw http.ResponseWriter, r *http.Request) {
				if calls.Add(1) > 1 {
					events(all, all)(rw, r)
					return
				}
				conn, _, err := http.NewResponseController(rw).Hijack()
				if err != nil {
					panic(err)
				}
				defer conn.Close()
				head := answerWith("HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
				_, _ = io.WriteString(conn, head(r.Header.Get("Call"))+chunk+rest) // the router may have closed it
			}
			got := newHarness(t, h, h, h).call(path)
			if whole && (got.err != nil || got.body != pieces(all)) || !whole && (got.err == nil || got.body != begin) {
				t.Errorf("%s, after %q: got %q, %v", path, rest, got.body, got.err)
			}
		}
	}
}
