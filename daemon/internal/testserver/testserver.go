// Package testserver listens for tests that script what a server writes to its connections.
package testserver

import (
	"bufio"
	"net"
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
