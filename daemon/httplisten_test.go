package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cardamomwick.example/daemon/internal/testport"
)

// Engines that have gone on to another instance leave their connections open; those
// must not be kept.
func TestConnectionsThatNobodyUsesAreClosed(t *testing.T) {
	const idle = 50 * time.Millisecond
	address := testport.Reserve(t)
	l, err := newHTTPListener("control", address, http.NotFoundHandler(), idle)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Serve(ctx) }()
	t.Cleanup(func() { end(); <-done })
	var c net.Conn
	for began := time.Now(); c == nil && time.Since(began) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
		c, _ = net.Dial("tcp", address) // until it listens
	}
	if c == nil {
		t.Fatal("nobody listens")
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // a read that fails tells the same
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection is still open: %v", err)
	}
}
