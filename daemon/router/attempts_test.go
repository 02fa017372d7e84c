package router

import (
	"net/http"
	"testing"
	"time"

	"cardamomwick.example/core/fleet"
)

// A server is lost without a reset and starts again under its name: its calls go
// elsewhere at once instead of waiting on connections that nobody answers.
func TestCallsAtAFormerStartEndAtOnce(t *testing.T) {
	silent := make(chan struct{})
	arrived := make(chan struct{}, 1)
	mute := func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-silent
	}
	w := newWorld(t, mute)
	t.Cleanup(func() { close(silent) }) // before the server is closed, which waits for it
	w.fleet[0].Name, w.fleet[0].StartedAt, w.fleet[0].ID = "s", 100, "s@100"
	w.router.SetFleet(w.fleet)
	spare := newWorld(t, good)
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
	if took := time.Since(start); took > leastSilence {
		t.Errorf("the call waited %v for a start that was over", took)
	}
}

// Nothing of a former start is held against the next one.
func TestNewStartBeginsWithoutBeliefs(t *testing.T) {
	w := newWorld(t, good)
	former := w.fleet[0]
	former.Name, former.StartedAt, former.ID = "s", 100, "s@100"
	w.router.SetFleet([]fleet.Server{former})
	for range 5 {
		w.router.bad(former.ID, true)
	}
	next := former
	next.StartedAt, next.ID = 200, "s@200"
	w.router.SetFleet([]fleet.Server{next})
	for _, b := range w.router.balancer.ServerStates(time.Now(), "p") {
		if b.ID != next.ID || b.Failures != 0 || b.Load.Running != 0 {
			t.Errorf("believed of the new start: %+v", b)
		}
	}
	if got := w.call("/safe/x"); got.status != http.StatusOK {
		t.Errorf("got %d", got.status)
	}
}
