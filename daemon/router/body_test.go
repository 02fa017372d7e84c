package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Bodies of calls that are refused anyway were read whole first, and held the entry's memory.
func TestRefusalsDoNotWaitForTheBody(t *testing.T) {
	w := newHarness(t)
	for name, c := range map[string]struct {
		path, key string
		length    int
		want      int
	}{
		"unknown route":                   {"/none/x", "key", 1 << 20, http.StatusNotFound},
		"unknown key":                     {"/safe/x", "other", 1 << 20, http.StatusUnauthorized},
		"declared length above the limit": {"/safe/x", "key", defaultMaxBody + 1, http.StatusRequestEntityTooLarge},
	} {
		conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // if this fails, so does the read
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nKey: %s\r\nContent-Length: %d\r\n\r\n", c.path, c.key, c.length)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("%s: got status %d, want %d", name, resp.StatusCode, c.want)
		}
	}
}
