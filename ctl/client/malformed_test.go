package client

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"cardamomwick.example/core/httpbound"
)

// Guards against a page of an instance that is shown though its response is malformed.
func TestMalformedPageIsAnError(t *testing.T) {
	httpbound.BoundDefault()
	const rest = "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	for begin, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                       true,
		"HTTP/1.1 000 X\r\n":                        false,
		"HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\n": false,
		"HTTP/1.1 200 OK\r\nX Y: z\r\n":             false,
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n": false,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, begin+rest) // the client may have left
		}))
		if _, err := ReadLimits(context.Background(), s.Listener.Addr().String()); (err == nil) != ok {
			t.Errorf("%q: %v", begin+rest, err)
		}
		s.Close()
	}
}
