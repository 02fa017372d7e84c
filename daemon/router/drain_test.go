package router

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a call that is passed on after the instance has seen no call in flight, and is cut
// off when its listener stops.
func TestCallAfterTheLastOneIsRefused(t *testing.T) {
	w := newHarness(t, good)
	latest := time.Now().Add(time.Minute)
	w.router.Drain(latest)
	w.expect(w.call("/once/x"), http.StatusOK, 1)
	w.router.FinishCalls(time.Now(), latest)
	for path := range routeKinds {
		w.expect(w.call(path), http.StatusServiceUnavailable, 1)
	}
}

// Guards against calls that arrive while an instance stops, on kept and new connections, and get no
// answer, or one that says falsely that they did not run.
func TestCallsDuringTheStopAreAnsweredOrRefused(t *testing.T) {
	const callers = 3
	for round := range 5 {
		var ran sync.Map
		w := newHarness(t, func(rw http.ResponseWriter, r *http.Request) {
			ran.Store(r.Header.Get("Call"), true)
			time.Sleep(10 * time.Millisecond)
			good(rw, r)
		})
		latest := time.Now().Add(time.Minute)
		w.router.Drain(latest)
		var stopped atomic.Bool
		var all sync.WaitGroup
		for n := range callers {
			all.Go(func() {
				for i := 0; !stopped.Load(); i++ {
					id := fmt.Sprintf("%d-%d-%d", round, n, i)
					got := w.call("/once/x", "Call", id)
					_, hasRun := ran.Load(id)
					if got.err != nil || hasRun != (got.status == http.StatusOK) || !hasRun && got.status != http.StatusServiceUnavailable {
						t.Errorf("call %s, run %t: %d %q, %v", id, hasRun, got.status, got.body, got.err)
					}
					time.Sleep(time.Duration(20+7*n) * time.Millisecond) // so that at times no call is in flight
				}
			})
		}
		time.Sleep(30 * time.Millisecond)
		w.router.FinishCalls(time.Now().Add(20*time.Millisecond), time.Now().Add(time.Second))
		runs := w.runs.Load()
		time.Sleep(100 * time.Millisecond)
		if later := w.runs.Load(); later != runs {
			t.Errorf("%d calls were passed on after the end", later-runs)
		}
		stopped.Store(true)
		all.Wait()
	}
}
