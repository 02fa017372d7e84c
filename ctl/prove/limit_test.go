//go:build prove

package prove

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cardamomwick.example/ctl/fake"
)

// An engine that announces how many requests a second it takes gets no more from all
// instances together, while the others take the rest, and its share again afterwards.
func TestAnnouncedLimitHoldsOverAllInstances(t *testing.T) {
	const (
		perSecond = 2.0
		length    = 8 * time.Second
		// slack covers the tokens that are there when the time begins.
		slack = 3
		// known is how long an announcement takes to reach the dispatcher.
		known = 2 * time.Second
	)
	w := begin(t, 5, 4)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	t.Cleanup(func() { close(stop); callers.Wait() })
	for i := range 20 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					must(t, whole(w.chat((i+n)%len(w.Instances), "mood", fmt.Sprintf("chat %d of %d", n, i), 8)))
				}
			}
		})
	}
	limit := perSecond
	must(t, w.AdjustEngine(fake.EngineAdjustment{Engine: "e1", RequestsPerSecond: &limit}))
	time.Sleep(known)
	if got, most := w.requestsIn("e1", length), int(perSecond*length.Seconds())+slack; got > most || got < most/2 {
		t.Errorf("the engine got %d requests in %v; it takes %g a second", got, length, perSecond)
	}
	must(t, w.AdjustEngine(fake.EngineAdjustment{Engine: "e1"}))
	time.Sleep(known)
	if got := w.requestsIn("e1", time.Second); got < 10 {
		t.Errorf("the engine got %d requests in the second after its limit has ended", got)
	}
}

// requestsIn counts the requests that an engine gets in some time.
func (w *world) requestsIn(engine string, length time.Duration) int {
	w.t.Helper()
	before, err := w.FakeServerState()
	must(w.t, err)
	time.Sleep(length)
	after, err := w.FakeServerState()
	must(w.t, err)
	n := after.Engines[engine].Requests - before.Engines[engine].Requests
	w.t.Logf("%s got %d requests in %v", engine, n, length)
	return n
}
