package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cardamomwick.example/daemon/inbound"
	"cardamomwick.example/daemon/internal/testport"
)

// Engines that switch to another instance leave their connections open. These must be
// closed after the idle timeout.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const idle = 50 * time.Millisecond
	c := dialListener(t, func(address string) (*httpListener, error) {
		return newHTTPListener(inbound.New(1<<30, 1000), "control", address, http.NotFoundHandler(), idle)
	})()
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // if this fails, so does the read
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection is still open: %v", err)
	}
}

// dialListener serves a listener until the test ends, and returns a function that connects
// to it.
func dialListener(t *testing.T, listen func(address string) (*httpListener, error)) (dial func() net.Conn) {
	t.Helper()
	address := testport.Reserve(t)
	l, err := listen(address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Serve(ctx) }()
	t.Cleanup(func() { end(); <-done })
	return func() net.Conn {
		var c net.Conn
		for began := time.Now(); c == nil && time.Since(began) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
			c, _ = net.Dial("tcp", address) // fails until the listener is ready
		}
		if c == nil {
			t.Fatal("the listener did not start")
		}
		return c
	}
}

// A replica that all engines connect to simultaneously must not run out of memory and file
// descriptors: connections over the limit are closed immediately, and the others are served.
func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	dial := dialListener(t, func(address string) (*httpListener, error) {
		l, err := newHTTPListener(inbound.New(1<<30, 1000), "control", address, http.NotFoundHandler(), time.Minute)
		if err == nil {
			l.maxOpen = 2
		}
		return l, err
	})
	ask := func(c net.Conn) error {
		_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // if this fails, so does the read
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	first, second := dial(), dial()
	defer first.Close()
	if ask(first) != nil || ask(second) != nil {
		t.Fatal("connections within the limit are not served")
	}
	overLimit := dial()
	defer overLimit.Close()
	if ask(overLimit) == nil {
		t.Error("a connection over the limit is served")
	}
	second.Close()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		c := dial()
		err := ask(c)
		c.Close()
		if err == nil {
			return
		}
		if time.Since(began) > 5*time.Second {
			t.Fatal("a closed connection still counts against the limit")
		}
	}
}
