package frame

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cardamomwick.example/daemon/internal/testport"
)

var (
	keyA = Key{"a", bytes.Repeat([]byte{1}, 32)}
	keyB = Key{"b", bytes.Repeat([]byte{2}, 32)}
)

// serve runs a transport with an echo request, and a one-way method whose texts it returns.
func serve(t *testing.T, keys []Key, filter Filter) (*Transport, chan string) {
	t.Helper()
	tr := NewTransport(testport.Reserve(t), keys, filter)
	got := make(chan string, 100)
	tr.HandleRequest("echo", func(_ context.Context, from string, body []byte) (any, error) {
		var s string
		err := msgpack.Unmarshal(body, &s)
		return s + " from " + from, err
	})
	tr.HandleOneWay("note", func(_ string, body []byte) {
		var s string
		_ = msgpack.Unmarshal(body, &s)
		got <- s
	})
	listen(t, tr)
	return tr, got
}

// listen runs a transport until the test ends.
func listen(t *testing.T, tr *Transport) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = tr.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

func call(tr *Transport, to, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var out string
	err := tr.Call(ctx, to, "echo", text, &out)
	return out, err
}

func TestCallSendAndRotation(t *testing.T) {
	server, got := serve(t, []Key{keyB, keyA}, nil)
	for _, keys := range [][]Key{{keyA}, {keyB}, {keyB, keyA}} {
		client, _ := serve(t, keys, nil)
		time.Sleep(20 * time.Millisecond)
		if out, err := call(client, server.Self(), "hi"); err != nil || out != "hi from "+client.Self() {
			t.Fatalf("%q %v", out, err)
		}
		for _, s := range []string{"1", "2", "3"} {
			if err := client.Send(server.Self(), "note", s); err != nil {
				t.Fatal(err)
			}
			if g := <-got; g != s {
				t.Fatalf("got %q, want %q", g, s)
			}
		}
	}
}

// Closing an idle connection must neither be reported as a lost peer nor lose a message.
func TestIdleLinksCloseAndReopen(t *testing.T) {
	server, got := serve(t, []Key{keyA}, nil)
	client, _ := serve(t, []Key{keyA}, nil)
	client.idle = 5 * time.Millisecond
	client.OnDown(func(a string) { t.Errorf("%s reported down", a) })
	time.Sleep(20 * time.Millisecond)
	for n := range 100 {
		time.Sleep(time.Duration(n%12) * time.Millisecond)
		if err := client.Send(server.Self(), "note", "x"); err != nil {
			t.Fatal(err)
		}
		select {
		case <-got:
		case <-time.After(2 * time.Second):
			t.Fatalf("message %d was lost", n)
		}
		if out, err := call(client, server.Self(), "hi"); err != nil || out == "" {
			t.Fatalf("call %d: %v", n, err)
		}
	}
	remaining := func() int {
		client.mu.Lock()
		defer client.mu.Unlock()
		return len(client.links)
	}
	for end := time.Now().Add(2 * time.Second); remaining() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d idle links were not removed", remaining())
		}
	}
}

func TestUnauthenticatedPeersAreRefused(t *testing.T) {
	server, _ := serve(t, []Key{keyA}, nil)
	time.Sleep(20 * time.Millisecond)
	wrong := Key{"a", bytes.Repeat([]byte{9}, 32)}
	for _, k := range []Key{keyB, wrong} {
		client, _ := serve(t, []Key{k}, nil)
		if _, err := call(client, server.Self(), "hi"); !errors.Is(err, ErrUnreachable) {
			t.Fatalf("key %s: %v, want unreachable", k.ID, err)
		}
	}
	raw, err := net.Dial("tcp", server.Self())
	if err != nil {
		t.Fatal(err)
	}
	raw.Write(bytes.Repeat([]byte{0xff}, 64))
	raw.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := raw.Read(make([]byte, 1)); err == nil {
		t.Fatal("an unauthenticated peer was answered")
	}
	for end := time.Now().Add(2 * time.Second); server.BadFrames.Load() < 3 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // a connection is closed just before it is counted
	}
	if n := server.BadFrames.Load(); n != 3 {
		t.Fatalf("%d bad connections counted, want 3", n)
	}
}

// pair returns both ends of an authenticated connection.
func pair(t *testing.T) (client, server *Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan *Conn, 1)
	go func() {
		raw, _ := l.Accept()
		c, _ := Accept(raw, "server", []Key{keyA})
		accepted <- c
	}()
	client, err = Dial(l.Addr().String(), "client", []Key{keyA}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return client, <-accepted
}

func TestTamperedReplayedAndHugeFrames(t *testing.T) {
	body, _ := msgpack.Marshal(&Message{Kind: OneWay, Method: "note"})
	raw := func(c *Conn, seq uint64, flip bool, size uint32) []byte {
		m := mac(c.sendMAC, seq, body)
		if flip {
			m[0] ^= 1
		}
		out := binary.BigEndian.AppendUint32(nil, size)
		return append(append(out, m...), body...)
	}
	n := uint32(len(body))
	client, server := pair(t)
	client.raw.Write(raw(client, 2, false, n))
	if _, err := server.Read(); err != nil {
		t.Fatalf("a good frame: %v", err)
	}
	client.raw.Write(raw(client, 2, false, n))
	if _, err := server.Read(); !errors.Is(err, ErrMAC) {
		t.Fatalf("a replayed frame: %v", err)
	}
	client, server = pair(t)
	client.raw.Write(raw(client, 2, true, n))
	if _, err := server.Read(); !errors.Is(err, ErrMAC) {
		t.Fatalf("a tampered frame: %v", err)
	}
	client, server = pair(t)
	client.raw.Write(raw(client, 2, false, MaxBytes+1))
	if _, err := server.Read(); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("a huge frame: %v", err)
	}
}

func TestFilterDropsSilently(t *testing.T) {
	cut := true
	server, _ := serve(t, []Key{keyA}, nil)
	client, _ := serve(t, []Key{keyA}, func(peer string, incoming bool) bool { return cut && !incoming })
	time.Sleep(20 * time.Millisecond)
	if _, err := call(client, server.Self(), "hi"); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("cut: %v, want silence", err)
	}
	cut = false
	if _, err := call(client, server.Self(), "hi"); err != nil {
		t.Fatalf("healed: %v", err)
	}
}

func FuzzReadHello(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := net.Pipe()
		go func() { a.Write(data); a.Close() }()
		c, err := Accept(b, "x", []Key{keyA})
		if err == nil {
			t.Fatalf("an unauthenticated peer was accepted: %v", c.PeerAddress)
		}
		io.Copy(io.Discard, a)
	})
}

// A panic in a handler must become an error for the sender. When it ended the process, the
// sender retried at the next peer, so that a single request could end a whole group.
func TestPanickingHandlerCostsOnlyAnError(t *testing.T) {
	a, _ := serve(t, []Key{keyA}, nil)
	b := NewTransport(testport.Reserve(t), []Key{keyA}, nil)
	b.HandleRequest("boom", func(context.Context, string, []byte) (any, error) { panic("broken by its content") })
	b.HandleOneWay("boom too", func(string, []byte) { panic("broken by its content") })
	b.HandleRequest("echo", func(context.Context, string, []byte) (any, error) { return "still here", nil })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go func() { _ = b.Serve(ctx) }()
	for ctx.Err() == nil {
		if _, err := call(a, b.Self(), "is it there"); err == nil {
			break
		}
	}
	var remote *RemoteError
	if err := a.Call(ctx, b.Self(), "boom", "x", new(string)); !errors.As(err, &remote) {
		t.Errorf("got %v, want the peer's error", err)
	}
	if err := a.Send(b.Self(), "boom too", "x"); err != nil {
		t.Fatal(err)
	}
	if got, err := call(a, b.Self(), "hello"); err != nil || got != "still here" {
		t.Errorf("got %q, %v", got, err)
	}
	if n := b.Panics.Load(); n != 2 {
		t.Errorf("%d panics counted", n)
	}
}
