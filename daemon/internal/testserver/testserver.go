// Package testserver listens for tests that script what a server writes to its connections.
package testserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Start serves each connection with a function until the test ends, and closes it afterwards. It returns
// the loopback address.
func Start(t testing.TB, serve func(conn net.Conn, requests *bufio.Reader)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// StartFixed answers the first request of each connection with some bytes and closes the connection.
func StartFixed(t testing.TB, answer string) (address string) {
	t.Helper()
	return Start(t, func(conn net.Conn, requests *bufio.Reader) {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			_, _ = io.WriteString(conn, answer) // the caller may have left
		}
	})
}
