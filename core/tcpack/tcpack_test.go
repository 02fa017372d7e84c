package tcpack

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return c.(*net.TCPConn), peer.(*net.TCPConn)
}

// await polls until the result is final.
func await(c net.Conn) error {
	for range 500 {
		if done, err := Complete(c); done || err != nil {
			return err
		}
		time.Sleep(PollInterval)
	}
	return errors.New("not complete")
}

func TestPeerThatReadsReceivesAll(t *testing.T) {
	near, far := pair(t)
	go io.Copy(io.Discard, far)
	if _, err := near.Write(make([]byte, 4<<20)); err != nil {
		t.Fatal(err)
	}
	if err := await(near); err != nil {
		t.Error(err)
	}
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Write(make([]byte, 4<<20)); err != nil {
		t.Fatal(err)
	}
	if err := await(near); err != nil {
		t.Errorf("after the peer's end of stream: %v", err)
	}
}

func TestPeerThatDoesNotReadHasNotReceivedAll(t *testing.T) {
	near, _ := pair(t)
	go near.Write(make([]byte, 32<<20))
	time.Sleep(20 * time.Millisecond)
	if done, err := Complete(near); done || err != nil {
		t.Errorf("complete %t, error %v", done, err)
	}
}

// Guards against an end of stream, read before or after a reset, that passes for an orderly end.
func TestPeerThatClosesBeforeTheEndHasNotReceivedAll(t *testing.T) {
	for name, end := range map[string]func(far *net.TCPConn) error{
		"reset": func(far *net.TCPConn) error {
			if err := far.SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		},
		"close with unread bytes": func(far *net.TCPConn) error { return far.Close() },
		"close after a part": func(far *net.TCPConn) error {
			if _, err := io.CopyN(io.Discard, far, 1<<10); err != nil {
				return err
			}
			return far.Close()
		},
	} {
		near, far := pair(t)
		written := make(chan error, 1)
		go func() {
			_, err := near.Write(make([]byte, 32<<20))
			written <- err
		}()
		time.Sleep(5 * time.Millisecond)
		if err := end(far); err != nil {
			t.Fatal(err)
		}
		if err := <-written; err == nil {
			t.Fatalf("%s: all was written", name)
		}
		if _, err := near.Read(make([]byte, 1)); err == nil {
			t.Fatalf("%s: something was read", name)
		}
		if err := await(near); !errors.Is(err, ErrNotReceived) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestClosedConnectionIsAnError(t *testing.T) {
	near, _ := pair(t)
	near.Close()
	if done, err := Complete(near); done || !errors.Is(err, net.ErrClosed) {
		t.Errorf("complete %t, error %v", done, err)
	}
}
