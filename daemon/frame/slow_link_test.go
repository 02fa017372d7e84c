package frame

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"cardamomwick.example/daemon/internal/testport"
)

// slowLink forwards connections to an address and passes on what comes back at a bounded rate, in
// bytes a second. It returns its own address and a function that counts the connections.
func slowLink(t *testing.T, address string, rate int) (string, func() int) {
	t.Helper()
	l, err := net.Listen("tcp", testport.Reserve(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	count := make(chan int, 1)
	count <- 0
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			count <- <-count + 1
			out, err := net.Dial("tcp", address)
			if err != nil {
				in.Close()
				continue
			}
			go func() { _, _ = io.Copy(out, in); out.Close() }()
			go func() { throttle(in, out, rate); in.Close() }()
		}
	}()
	return l.Addr().String(), func() int {
		n := <-count
		count <- n
		return n
	}
}

func throttle(to io.Writer, from io.Reader, rate int) {
	const period = 20 * time.Millisecond
	part := make([]byte, rate*int(period)/int(time.Second))
	for {
		n, err := from.Read(part)
		if err != nil {
			return
		}
		if _, err := to.Write(part[:n]); err != nil {
			return
		}
		time.Sleep(period)
	}
}

// Guards against a fleet that never recovers from the loss of all instances: a response that took
// longer than its timeout to arrive over a slow link was taken for late, and its connection for
// lost, so that it was requested and sent again and again.
func TestLargeResponseArrivesOverASlowLink(t *testing.T) {
	const size, rate = 300 << 10, 100 << 10
	key := []Key{{ID: "k", Secret: make([]byte, 32)}}
	server := NewTransport(testport.Reserve(t), key, nil)
	server.HandleRequest("large", func(context.Context, string, []byte) (any, error) { return make([]byte, size), nil })
	server.HandleRequest("never", func(ctx context.Context, _ string, _ []byte) (any, error) { <-ctx.Done(); return nil, ctx.Err() })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = server.Serve(ctx) }()
	address, connections := slowLink(t, server.Self(), rate)
	client := NewTransport(testport.Reserve(t), key, nil)
	time.Sleep(50 * time.Millisecond) // the server listens
	callCtx, cancel := client.WithResponseTimeout(ctx, address, 700*time.Millisecond)
	defer cancel()
	var got []byte
	start := time.Now()
	if err := client.Call(callCtx, address, "large", nil, &got); err != nil || len(got) != size {
		t.Fatalf("%d bytes after %v: %v", len(got), time.Since(start), err)
	}
	t.Logf("%d bytes after %v", len(got), time.Since(start))
	if n := connections(); n != 1 {
		t.Errorf("%d connections were made", n)
	}
	silentCtx, cancel := client.WithResponseTimeout(ctx, address, 300*time.Millisecond)
	defer cancel()
	if err := client.Call(silentCtx, address, "never", nil, &got); err == nil {
		t.Error("a call without any response has not timed out")
	}
}
