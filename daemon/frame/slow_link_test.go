package frame

import (
	"context"
	"testing"
	"time"

	"cardamomwick.example/daemon/internal/testport"
)

// Guards against a fleet that never recovers from the loss of all instances: a response that took
// longer than its timeout to arrive over a slow link was taken for late, and its connection for
// lost, so that it was requested and sent again and again.
func TestLargeResponseArrivesOverASlowLink(t *testing.T) {
	const size, rate = 300 << 10, 100 << 10 // bytes, bytes a second
	client, _ := serve(t, []Key{keyA}, nil)
	server := NewTransport(testport.Reserve(t), []Key{keyA}, nil)
	server.HandleRequest("large", func(context.Context, string, []byte) (any, error) { return make([]byte, size), nil })
	server.HandleRequest("never", func(ctx context.Context, _ string, _ []byte) (any, error) { <-ctx.Done(); return nil, ctx.Err() })
	listen(t, server)
	time.Sleep(20 * time.Millisecond) // until it listens
	proxy := newFaultyProxy(t, server.Self(), time.Second*proxyChunkBytes/rate)
	ctx, cancel := client.WithResponseTimeout(context.Background(), proxy.address, 700*time.Millisecond)
	defer cancel()
	var got []byte
	start := time.Now()
	if err := client.Call(ctx, proxy.address, "large", nil, &got); err != nil || len(got) != size {
		t.Fatalf("%d bytes after %v: %v", len(got), time.Since(start), err)
	}
	t.Logf("%d bytes after %v", len(got), time.Since(start))
	if n := proxy.connections(); n != 1 {
		t.Errorf("%d connections were made", n)
	}
	silentCtx, cancel := client.WithResponseTimeout(context.Background(), proxy.address, 300*time.Millisecond)
	defer cancel()
	if err := client.Call(silentCtx, proxy.address, "never", nil, &got); err == nil {
		t.Error("a call without any response has not timed out")
	}
}
