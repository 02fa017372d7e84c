//go:build prove

package prove

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cardamomwick.example/ctl/fake"
)

// An engine that announces a request limit must not get more requests than that from all
// instances together while the other engines take the rest, and must get its usual part
// again after the limit ends.
func TestAnnouncedLimitHoldsOverAllInstances(t *testing.T) {
	const (
		perSecond = 2.0
		duration  = 8 * time.Second
		// burst covers the tokens that are available at the start.
		burst = 3
		// announceDelay is the time until an announcement has reached the dispatcher.
		announceDelay = 2 * time.Second
	)
	tc := startCluster(t, 5, 4)
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
					must(t, checkCompleted(tc.chat((i+n)%len(tc.Instances), "mood", fmt.Sprintf("chat %d of %d", n, i), 8)))
				}
			}
		})
	}
	limit := perSecond
	must(t, tc.AdjustEngine(fake.EngineAdjustment{Engine: "e1", RequestsPerSecond: &limit}))
	time.Sleep(announceDelay)
	if got, most := tc.requestsDuring("e1", duration), int(perSecond*duration.Seconds())+burst; got > most || got < most/2 {
		t.Errorf("the engine got %d requests in %v; its limit is %g a second", got, duration, perSecond)
	}
	must(t, tc.AdjustEngine(fake.EngineAdjustment{Engine: "e1"}))
	time.Sleep(announceDelay)
	if got := tc.requestsDuring("e1", time.Second); got < 10 {
		t.Errorf("the engine got %d requests in the second after its limit ended", got)
	}
}

// requestsDuring counts the requests that an engine gets in the next duration.
func (tc *testCluster) requestsDuring(engine string, duration time.Duration) int {
	tc.t.Helper()
	before, err := tc.FakeServerState()
	must(tc.t, err)
	time.Sleep(duration)
	after, err := tc.FakeServerState()
	must(tc.t, err)
	n := after.Engines[engine].Requests - before.Engines[engine].Requests
	tc.t.Logf("%s got %d requests in %v", engine, n, duration)
	return n
}
