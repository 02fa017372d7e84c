package router

import (
	"net/http"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
)

// A server is lost without a connection reset and restarts under its name. Its calls
// must go to another server immediately instead of waiting on the dead connections.
func TestCallsAtARestartedServerEndImmediately(t *testing.T) {
	silent := make(chan struct{})
	arrived := make(chan struct{}, 1)
	silentServer := func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-silent
	}
	w := newHarness(t, silentServer)
	t.Cleanup(func() { close(silent) }) // runs before the server's Close, which waits for its handlers
	w.fleet[0].Name, w.fleet[0].StartedAt, w.fleet[0].ID = "s", 100, "s@100"
	w.router.SetFleet(w.fleet)
	spare := newHarness(t, good)
	answered := make(chan reply, 1)
	start := time.Now()
	go func() { answered <- w.call("/safe/x") }()
	<-arrived
	again := spare.fleet[0]
	again.Name, again.StartedAt, again.ID = "s", 200, "s@200"
	w.router.SetFleet([]fleet.Server{again})
	got := <-answered
	if got.status != http.StatusOK || got.body != "done" {
		t.Errorf("got %d %q, %v", got.status, got.body, got.err)
	}
	if took := time.Since(start); took > minSilenceTimeout {
		t.Errorf("the call waited %v for a server that had restarted", took)
	}
}

// Failures and load of a server before its restart don't count after it.
func TestRestartedServerBeginsWithCleanState(t *testing.T) {
	w := newHarness(t, good)
	former := w.fleet[0]
	former.Name, former.StartedAt, former.ID = "s", 100, "s@100"
	w.router.SetFleet([]fleet.Server{former})
	for range 5 {
		w.router.recordFailure(former.ID, true)
	}
	next := former
	next.StartedAt, next.ID = 200, "s@200"
	w.router.SetFleet([]fleet.Server{next})
	for _, b := range w.router.balancer.ServerStates(time.Now(), "p") {
		if b.ID != next.ID || b.Failures != 0 || b.Load.Running != 0 {
			t.Errorf("state after the restart: %+v", b)
		}
	}
	if got := w.call("/safe/x"); got.status != http.StatusOK {
		t.Errorf("got %d", got.status)
	}
}
