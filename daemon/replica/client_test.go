package replica

import (
	"context"
	"testing"
	"time"

	"cardamomwick.example/core/state"
	"cardamomwick.example/daemon/frame"
)

// TestCancelledReadKeepsTheLeader checks that a look-up cancelled by its caller does not
// make the client abandon the leader, whereas a timeout does.
func TestCancelledReadKeepsTheLeader(t *testing.T) {
	silent := func(string, bool) bool { return true }
	tr := frame.NewTransport("127.0.0.1:1", []frame.Key{{ID: "k", Secret: make([]byte, 32)}}, silent)
	c := NewClient(tr, NewFixedDirectory([]string{"127.0.0.1:2", "127.0.0.1:3"}))
	c.leader = "127.0.0.1:2"
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, _, err := c.Lookup(ctx, state.CallKey{}); err == nil {
		t.Fatal("a cancelled look-up returned no error")
	}
	if got := c.target(); got != "127.0.0.1:2" {
		t.Fatalf("the client switched to %s after a cancelled look-up", got)
	}
	late, cancel := context.WithTimeout(context.Background(), 2*attemptTimeout)
	defer cancel()
	go func() { _, _, _ = c.Lookup(late, state.CallKey{}) }()
	for c.target() == "127.0.0.1:2" {
		if late.Err() != nil {
			t.Fatal("the client did not abandon a silent leader")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
