package backend

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"cardamomwick.example/daemon/internal/testserver"
)

// Guards against an answer that stops in its head and passes for a whole one, with an empty or short body.
func TestAnswerThatStopsInItsHeadIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
	forms := []string{head, strings.Replace(head, "Content-Length: 0\r\n", "", 1), strings.ReplaceAll(head, "\r\n", "\n"),
		strings.Replace(head, "Content-Length: 0", "Transfer-Encoding: chunked", 1), "HTTP/1.1 103 Early Hints\r\n\r\n" + head}
	for _, whole := range forms {
		for cut := range len(whole) + 1 {
			target := cutServer(t, whole[:cut])
			_, callErr := Call(context.Background(), target, http.MethodPost, "/x", "", "", []byte("body"))
			_, streamErr := Open(context.Background(), target, []byte("{}"))
			if cut < len(whole) && (callErr == nil || streamErr == nil) {
				t.Errorf("%q passes for a whole head: %v, %v", whole[:cut], callErr, streamErr)
			}
			if cut == len(whole) && streamErr != nil {
				t.Errorf("%q is refused: %v", whole, streamErr)
			}
		}
	}
}

// cutServer answers each request with some bytes and closes the connection.
func cutServer(t *testing.T, bytes string) *Target {
	t.Helper()
	return &Target{Server: "s", Address: testserver.StartFixed(t, bytes), RequestID: "r"}
}
