package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cardamomwick.example/daemon/internal/testserver"
)

// earlyServer answers each request, without a length, before it has read the body, and ends the
// connection.
func earlyServer(t *testing.T, pause time.Duration, end func(conn *net.TCPConn, rest io.Reader) error) *Target {
	t.Helper()
	address := testserver.Start(t, func(conn net.Conn, requests *bufio.Reader) {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart"); err != nil {
			return
		}
		time.Sleep(pause)
		_ = end(conn.(*net.TCPConn), req.Body) // the caller may have left
	})
	return &Target{Server: "s", Address: address, RequestID: "r"}
}

// Guards against a part of an answer without length that passes for all of it: the server has reset
// the connection while the call was still being written.
func TestAnswerResetDuringTheUploadIsAnError(t *testing.T) {
	ConfigureTransport()
	for name, end := range map[string]func(conn *net.TCPConn, rest io.Reader) error{
		"reset": func(conn *net.TCPConn, _ io.Reader) error {
			if err := conn.SetLinger(0); err != nil {
				return err
			}
			return conn.Close()
		},
		"close with unread bytes": func(conn *net.TCPConn, _ io.Reader) error { return conn.Close() },
		"close after a part": func(conn *net.TCPConn, rest io.Reader) error {
			if _, err := io.CopyN(io.Discard, rest, 20<<10); err != nil {
				return err
			}
			return conn.Close()
		},
	} {
		for _, n := range []int{24 << 10, 100 << 10, 900 << 10, 3 << 20} {
			for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
				for range 5 {
					a, err := Call(context.Background(), earlyServer(t, pause, end), http.MethodPost, "/x", "", "", bytes.Repeat([]byte("x"), n))
					if err == nil {
						t.Errorf("%s after %v, upload of %d bytes: the answer is %d %q", name, pause, n, a.Status, a.Body)
					}
				}
			}
		}
	}
}

// Guards against the refusal of an early answer from a server that reads the rest of the call.
func TestEarlyAnswerOfAServerThatReadsTheRestIsAnAnswer(t *testing.T) {
	ConfigureTransport()
	for _, n := range []int{4, 24 << 10, 900 << 10, 3 << 20} {
		for range 5 {
			target := earlyServer(t, 0, func(_ *net.TCPConn, rest io.Reader) error {
				_, err := io.Copy(io.Discard, rest)
				return err
			})
			a, err := Call(context.Background(), target, http.MethodPost, "/x", "", "", bytes.Repeat([]byte("x"), n))
			if err != nil || a.Status != http.StatusOK || string(a.Body) != "part" {
				t.Errorf("upload of %d bytes: %v, %v", n, a, err)
			}
		}
	}
}
